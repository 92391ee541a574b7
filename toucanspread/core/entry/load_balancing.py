"""Chooses the engine for a request.

The loads this answers. Engines with a model read one prompt after the other between
the steps that they make for their writers; a first event is late when prompts meet on
an engine, long before its places are taken. So the choice goes to the engine that
will be done soonest with the prompts it was sent. Entries of a zone tell each other
what they send, and prefer the engines of their zone, of which they know most.

Other engines work on a few requests at once, and the least busy one is chosen. A
little noise keeps entries that know the same from choosing the same.
"""

import random
from typing import NamedTuple

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import engines

NOISE_S = 0.010  # about the way between two zones and back
OTHER_ZONE_S = 0.015
OTHER_REGION_S = 0.100  # bytes between regions are dear, and less is known of there
BUSY_PLACE_S = 0.004  # each writer lengthens the steps of all
FULL_PLACE_S = 0.080  # above its places a request waits for one of them to end
AVOIDED_S = 100.0  # after every other engine
SWITCHING_S = 50.0  # an order keeps it from starting anything for a while
COLD_S = 0.050
CUT_S = 0.120  # an engine that switches cuts it, and another reads its prompt again
CUT_AGAIN_S = 3.0  # it may run on few engines
CUT_NOISE_S = 0.080  # many are cut at the same moment, and look for another engine
READING_BETWEEN = 1.4  # passes also read the prompts of others
PLAIN_PLACE_S = 0.020  # a request more on an engine without a model


class EngineRequirements(NamedTuple):
    """What a request needs of an engine.

    :param minimum_version: of the weights; 0 when any will do.
    :param excluded: engines that had the request already.
    :param likely_tokens: of the answer.
    :param was_cut: whether an engine has cut it before.
    """

    service: entry_data.Service
    minimum_version: int = 0
    excluded: frozenset[str] = frozenset()
    likely_tokens: int = 0
    was_cut: bool = False


class EntryLocation(NamedTuple):
    """Where the chooser is.

    :param entries: how many entries send requests.
    """

    zone: data.ZoneName
    regions: dict[data.ZoneName, data.RegionName]
    entries: int


def eligible_engines(
    roster: engines.EngineRegistry, ask: EngineRequirements, now_s: float
) -> list[engines.Engine]:
    """Return the engines that may take a request."""
    found = []
    profile = ask.service.profile
    for engine in roster.of_service(ask.service.name):
        if engine.entry.engine_id in ask.excluded or not engine.is_usable(now_s):
            continue
        if profile is not None:
            version = engine.complete_version(profile, now_s)
            if version == 0 or version < ask.minimum_version:
                continue
        found.append(engine)
    return found


def choose_engine(
    roster: engines.EngineRegistry,
    ask: EngineRequirements,
    place: EntryLocation,
    now_s: float,
    source: random.Random,
) -> engines.Engine | None:
    """Return the engine for a request, or None when none may take it."""
    best = None
    best_score = float("inf")
    for engine in eligible_engines(roster, ask, now_s):
        score = _score(engine, ask.service, place, now_s, source)
        score += _cut_s(engine, ask, place, now_s)
        if ask.was_cut:
            score += source.random() * CUT_NOISE_S
        if score < best_score:
            best, best_score = engine, score
    return best


def free_slots(engine: engines.Engine, place: EntryLocation, now_s: float) -> float:
    """Return how many more requests an engine can work on at once.

    Without a report, only what this entry has sent is known to be there.
    """
    if not engine.has_report(now_s):
        return float(engine.entry.slots - engine.in_flight)
    return engine.entry.slots - engine.estimated_request_count(now_s, place.entries)


def backlog_s(
    engine: engines.Engine,
    service: entry_data.Service,
    place: EntryLocation,
    now_s: float,
) -> float:
    """Return what an engine has to do before it would start on a request."""
    if engine.is_switching(now_s) or engine.is_avoided(now_s):
        return float("inf")
    excess = max(1 - free_slots(engine, place, now_s), 0.0)
    return engine.reading_s(now_s) + excess * FULL_PLACE_S


def least_backlog_s(
    roster: engines.EngineRegistry,
    service: entry_data.Service,
    place: EntryLocation,
    now_s: float,
) -> float:
    """Return the least backlog of a service's engines."""
    usable = eligible_engines(roster, EngineRequirements(service), now_s)
    found = [backlog_s(engine, service, place, now_s) for engine in usable]
    return min(found, default=float("inf"))


def expected_wait_s(
    engine: engines.Engine,
    service: entry_data.Service,
    place: EntryLocation,
    now_s: float,
) -> float:
    """Return how long a request would wait before the engine works on it."""
    busy = engine.estimated_request_count(now_s, place.entries)
    excess = max(busy + 1 - engine.entry.slots, 0.0)
    wait_s = excess * FULL_PLACE_S
    if service.profile is None:
        return wait_s + busy * PLAIN_PLACE_S
    wait_s += engine.reading_s(now_s)
    return wait_s + busy * BUSY_PLACE_S


def decode_s(profile: entry_data.ModelProfile, tokens: int) -> float:
    """Return how long an engine writes an answer, beside others that it reads."""
    passes = tokens / profile.pass_tokens + 1
    return passes * profile.pass_s * READING_BETWEEN


def _score(
    engine: engines.Engine,
    service: entry_data.Service,
    place: EntryLocation,
    now_s: float,
    source: random.Random,
) -> float:
    score = expected_wait_s(engine, service, place, now_s)
    slowness = engine.load.pace if engine.load is not None else 1.0
    score *= max(slowness, 1.0)
    score += _distance_s(engine, place) + source.random() * NOISE_S
    if engine.entry.cold_left_s > 0:
        score += COLD_S
    if engine.is_switching(now_s):
        score += SWITCHING_S
    if engine.is_avoided(now_s):
        score += AVOIDED_S
    return score


def _cut_s(
    engine: engines.Engine, ask: EngineRequirements, place: EntryLocation, now_s: float
) -> float:
    """Return the penalty for an engine that will switch before the request ends."""
    profile = ask.service.profile
    if engine.order_at_s is None or profile is None:
        return 0.0
    runs_s = decode_s(profile, ask.likely_tokens)
    wait_s = expected_wait_s(engine, ask.service, place, now_s)
    if now_s + wait_s + runs_s <= engine.order_at_s:
        return 0.0
    return CUT_AGAIN_S if ask.was_cut else CUT_S


def _distance_s(engine: engines.Engine, place: EntryLocation) -> float:
    zone = engine.entry.zone
    if zone == place.zone:
        return 0.0
    if place.regions.get(zone) == place.regions.get(place.zone):
        return OTHER_ZONE_S
    return OTHER_REGION_S
