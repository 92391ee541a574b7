"""Chooses the engine for a request.

The load this answers: many entries that choose at once, each with knowledge some
hundred milliseconds old, among engines that work on a batch. A choice goes to the
engine that is least busy for its places; a little noise keeps entries that know the
same from choosing the same, and an engine close by wins among equals.
"""

import random
from typing import NamedTuple

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import engines

NOISE_PLACES = 1.5  # entries that know the same differ by about one request
OTHER_ZONE_PLACES = 0.5  # what a hop to another zone is worth, in places
OTHER_REGION_PLACES = 1.0
AVOIDED_PLACES = 1_000.0  # after every other engine
SWITCHING_PLACES = 500.0  # an order keeps it from starting anything for a while
COLD_SLOWNESS = 0.5  # of an engine that has just started


class Ask(NamedTuple):
    """What a request needs of an engine.

    :param minimum_version: of the weights; 0 when any will do.
    :param excluded: engines that had the request already.
    """

    service: entry_data.Service
    minimum_version: int = 0
    excluded: frozenset[str] = frozenset()


class Place(NamedTuple):
    """Where the chooser is.

    :param entries: how many entries send requests.
    """

    zone: data.ZoneName
    regions: dict[data.ZoneName, data.RegionName]
    entries: int


def candidates(roster: engines.Roster, ask: Ask, now_s: float) -> list[engines.Engine]:
    """Return the engines that may take a request."""
    found = []
    profile = ask.service.profile
    for engine in roster.of_service(ask.service.name):
        if engine.entry.engine_id in ask.excluded or not engine.is_usable(now_s):
            continue
        if profile is not None:
            version = engine.version(profile, now_s)
            if version == 0 or version < ask.minimum_version:
                continue
        found.append(engine)
    return found


def choose(
    roster: engines.Roster, ask: Ask, place: Place, now_s: float, source: random.Random
) -> engines.Engine | None:
    """Return the engine for a request, or None when none may take it."""
    best = None
    best_score = float("inf")
    for engine in candidates(roster, ask, now_s):
        score = _score(engine, place, now_s, source)
        if score < best_score:
            best, best_score = engine, score
    return best


def free_places(engine: engines.Engine, place: Place, now_s: float) -> float:
    """Return how many more requests an engine can work on at once."""
    return engine.entry.slots - engine.expected_busy(now_s, place.entries)


def _score(
    engine: engines.Engine, place: Place, now_s: float, source: random.Random
) -> float:
    busy = engine.expected_busy(now_s, place.entries)
    busy += _distance_places(engine, place)
    busy += source.random() * NOISE_PLACES
    if engine.is_avoided(now_s):
        busy += AVOIDED_PLACES
    if engine.is_switching(now_s):
        busy += SWITCHING_PLACES
    slowness = engine.load.pace if engine.load is not None else 1.0
    if engine.entry.cold_left_s > 0:
        slowness += COLD_SLOWNESS
    return (busy + 1.0) * max(slowness, 1.0) / max(engine.entry.slots, 1)


def _distance_places(engine: engines.Engine, place: Place) -> float:
    zone = engine.entry.zone
    if zone == place.zone:
        return 0.0
    if place.regions.get(zone) == place.regions.get(place.zone):
        return OTHER_ZONE_PLACES
    return OTHER_REGION_PLACES
