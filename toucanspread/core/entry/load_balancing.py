"""Chooses the engine for a request.

An engine with a model prefills one prompt after the other and decodes between two
prefills. If several prompts arrive at an engine together, their first events are late
although it has free slots. The choice is therefore the engine that will be first to
finish the prompts that were sent to it. Entries of a zone notify each other of the
prompts that they send, and prefer the engines of their zone, which they know best.

An engine without a model handles a few requests concurrently, and the one with the
fewest requests is chosen. Random noise keeps entries with the same information from
choosing the same engine.
"""

import random
from typing import NamedTuple

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import engine_draw, engines

NOISE_S = 0.010  # about the round-trip time between two zones
OTHER_ZONE_PENALTY_S = 0.015
# Traffic between regions is expensive, and less is known about engines there.
OTHER_REGION_PENALTY_S = 0.100
BUSY_SLOT_PENALTY_S = 0.004  # each decoding request lengthens the steps of all
QUEUED_REQUEST_PENALTY_S = 0.080  # a request beyond the slots waits for one to end
AVOIDED_PENALTY_S = 100.0  # an avoided engine ranks after every other one
# More than the usual differences between engines, but less than the wait at full ones.
SILENT_PENALTY_S = 0.5
SWITCHING_PENALTY_S = 50.0  # an order keeps the engine from starting requests
COLD_PENALTY_S = 0.050
INTERRUPTION_PENALTY_S = 0.120  # another engine prefills an interrupted request again
REPEATED_INTERRUPTION_PENALTY_S = 3.0  # a request may run on few engines
# Many requests are interrupted at the same moment and choose another engine.
INTERRUPTED_NOISE_S = 0.080
PREFILL_SLOWDOWN_FACTOR = 1.4  # decoding alternates with prefills of other requests
# Besides the expected wait, until an engine begins on a request that is sent now.
BEGIN_MARGIN_S = 0.05
# Mean time until the load report that shows a request comes to another zone.
UNSEEN_TIME_S = 0.15
PLAIN_REQUEST_PENALTY_S = 0.020  # per request at an engine without a model


class EngineRequirements(NamedTuple):
    """Requirements of a request on its engine.

    :param minimum_version: minimum version of the weights; 0 if any version will do.
    :param excluded: ids of engines that were already tried.
    :param likely_tokens: likely number of tokens of the answer.
    :param was_interrupted: whether an engine has interrupted the request before.
    :param skips_limited: whether engines that name a limit are left out.
    :param upcoming_versions: versions from whose time on requests may not begin on
        older ones.
    :param prefill_s: time that an engine needs for the prefill of the prompt.
    :param rate_per_s: requests for the service that this entry gets in a second.
    """

    service: entry_data.Service
    minimum_version: int = 0
    excluded: frozenset[str] = frozenset()
    likely_tokens: int = 0
    was_interrupted: bool = False
    skips_limited: bool = False
    upcoming_versions: tuple[entry_data.DueVersion, ...] = ()
    prefill_s: float = 0.0
    rate_per_s: float = 0.0


class EntryLocation(NamedTuple):
    """Location of the entry that chooses.

    :param entry_count: number of entries that send requests.
    """

    zone: data.ZoneName
    regions: dict[data.ZoneName, data.RegionName]
    entry_count: int


def eligible_engines(
    registry: engines.EngineRegistry,
    requirements: EngineRequirements,
    location: EntryLocation,
    now_s: float,
) -> list[engines.Engine]:
    """Return the engines that meet the requirements, within their limits."""
    eligible = []
    for engine in _suitable_engines(registry, requirements, location, now_s):
        if engine.limit.wait_s(now_s, location.entry_count) > 0:
            continue
        if requirements.skips_limited and engine.limit.limit_per_s is not None:
            continue
        eligible.append(engine)
    return eligible


def limit_wait_s(
    registry: engines.EngineRegistry,
    requirements: EngineRequirements,
    location: EntryLocation,
    now_s: float,
) -> float:
    """Return the time until the limit of a suitable engine allows a request.

    It is infinite if no suitable engine names a limit.
    """
    waits_s = [
        engine.limit.wait_s(now_s, location.entry_count)
        for engine in _suitable_engines(registry, requirements, location, now_s)
        if engine.limit.limit_per_s is not None
    ]
    return min(waits_s, default=float("inf"))


def _suitable_engines(
    registry: engines.EngineRegistry,
    requirements: EngineRequirements,
    location: EntryLocation,
    now_s: float,
) -> list[engines.Engine]:
    """Return the engines that meet the requirements of a request."""
    suitable = []
    profile = requirements.service.profile
    for engine in registry.of_service(requirements.service.name):
        if engine.entry.engine_id in requirements.excluded or not engine.is_usable(
            now_s
        ):
            continue
        if profile is not None:
            version = engine.complete_version(profile, now_s)
            if version == 0 or version < requirements.minimum_version:
                continue
            if _would_begin_late(engine, version, requirements, location, now_s):
                continue
        suitable.append(engine)
    return suitable


def _would_begin_late(
    engine: engines.Engine,
    version: int,
    requirements: EngineRequirements,
    location: EntryLocation,
    now_s: float,
) -> bool:
    """Return whether an engine may begin on its version only when it is too old.

    :param version: the version that the engine holds.
    """
    begin_until_s = min(
        (
            upcoming.begin_until_s
            for upcoming in requirements.upcoming_versions
            if upcoming.version > version
        ),
        default=float("inf"),
    )
    if begin_until_s == float("inf"):
        return False
    if not engine.has_recent_load(now_s):
        # Only the requests of this entry are known; an estimate from them would exclude
        # the engine long before.
        location = location._replace(entry_count=1)
    wait_s = expected_wait_s(engine, requirements.service, location, now_s)
    slowdown = engine.load.pace if engine.load is not None else 1.0
    begins_in_s = (wait_s + requirements.prefill_s) * max(slowdown, 1.0)
    begins_in_s += engine.link_delay_s(now_s)
    return now_s + begins_in_s + BEGIN_MARGIN_S > begin_until_s


def choose_engine(
    registry: engines.EngineRegistry,
    requirements: EngineRequirements,
    location: EntryLocation,
    now_s: float,
    random_source: random.Random,
) -> engines.Engine | None:
    """Return the best engine for a request, or None if none is eligible."""
    candidates = []
    for engine in eligible_engines(registry, requirements, location, now_s):
        score = _score(engine, requirements.service, location, now_s, random_source)
        score += _interruption_penalty_s(engine, requirements, location, now_s)
        if requirements.was_interrupted:
            score += random_source.random() * INTERRUPTED_NOISE_S
        is_load_exact = engine.entry.zone == location.zone
        candidates.append(engine_draw.Candidate(engine, score, is_load_exact))
    unseen_work_s = _estimate_unseen_work_s(requirements, location)
    return engine_draw.draw(candidates, unseen_work_s, random_source)


def _estimate_unseen_work_s(
    requirements: EngineRequirements, location: EntryLocation
) -> float:
    """Return the engine time of what all entries send before they know of it.

    An engine without a model sends no load reports; its requests are few.
    """
    profile = requirements.service.profile
    if profile is None:
        return 0.0
    request_s = requirements.prefill_s + engines.DECODE_PASSES_PER_PROMPT * (
        profile.pass_s
    )
    rate_per_s = requirements.rate_per_s * location.entry_count
    return rate_per_s * UNSEEN_TIME_S * request_s


def free_slots(engine: engines.Engine, location: EntryLocation, now_s: float) -> float:
    """Return the number of additional requests that an engine can run concurrently.

    Without a recent load report, only the requests of this entry are known.
    """
    if not engine.has_recent_load(now_s):
        return float(engine.entry.slots - engine.in_flight)
    return engine.entry.slots - engine.estimated_request_count(
        now_s, location.entry_count
    )


def backlog_s(
    engine: engines.Engine,
    service: entry_data.Service,
    location: EntryLocation,
    now_s: float,
) -> float:
    """Return the time until an engine can start on a new request."""
    if engine.is_switching(now_s) or engine.is_avoided(now_s):
        return float("inf")
    excess = max(1 - free_slots(engine, location, now_s), 0.0)
    return engine.prefill_backlog_s(now_s) + excess * QUEUED_REQUEST_PENALTY_S


def least_backlog_s(
    registry: engines.EngineRegistry,
    service: entry_data.Service,
    location: EntryLocation,
    now_s: float,
) -> float:
    """Return the shortest backlog of the engines of a service."""
    requirements = EngineRequirements(service)
    eligible = eligible_engines(registry, requirements, location, now_s)
    backlogs_s = [backlog_s(engine, service, location, now_s) for engine in eligible]
    return min(backlogs_s, default=float("inf"))


def expected_wait_s(
    engine: engines.Engine,
    service: entry_data.Service,
    location: EntryLocation,
    now_s: float,
) -> float:
    """Return the expected time until an engine would start on a request."""
    request_count = engine.estimated_request_count(now_s, location.entry_count)
    excess = max(request_count + 1 - engine.entry.slots, 0.0)
    wait_s = excess * QUEUED_REQUEST_PENALTY_S
    if service.profile is None:
        return wait_s + request_count * PLAIN_REQUEST_PENALTY_S
    wait_s += engine.prefill_backlog_s(now_s)
    return wait_s + request_count * BUSY_SLOT_PENALTY_S


def decode_s(profile: entry_data.ModelProfile, tokens: int) -> float:
    """Return the time to generate an answer while other prompts are prefilled."""
    passes = tokens / profile.pass_tokens + 1
    return passes * profile.pass_s * PREFILL_SLOWDOWN_FACTOR


def _score(
    engine: engines.Engine,
    service: entry_data.Service,
    location: EntryLocation,
    now_s: float,
    random_source: random.Random,
) -> float:
    score = expected_wait_s(engine, service, location, now_s)
    slowdown = engine.load.pace if engine.load is not None else 1.0
    score *= max(slowdown, 1.0)
    score += _distance_penalty_s(engine, location) + random_source.random() * NOISE_S
    if engine.entry.cold_left_s > 0:
        score += COLD_PENALTY_S
    if engine.is_silent(now_s):
        score += SILENT_PENALTY_S
    if engine.is_switching(now_s):
        score += SWITCHING_PENALTY_S
    if engine.is_avoided(now_s):
        score += AVOIDED_PENALTY_S
    return score


def _interruption_penalty_s(
    engine: engines.Engine,
    requirements: EngineRequirements,
    location: EntryLocation,
    now_s: float,
) -> float:
    """Return the penalty for an engine that will switch before the request ends."""
    profile = requirements.service.profile
    if engine.switch_at_s is None or profile is None:
        return 0.0
    run_s = decode_s(profile, requirements.likely_tokens)
    wait_s = expected_wait_s(engine, requirements.service, location, now_s)
    if now_s + wait_s + run_s <= engine.switch_at_s:
        return 0.0
    return (
        REPEATED_INTERRUPTION_PENALTY_S
        if requirements.was_interrupted
        else INTERRUPTION_PENALTY_S
    )


def _distance_penalty_s(engine: engines.Engine, location: EntryLocation) -> float:
    zone = engine.entry.zone
    if zone == location.zone:
        return 0.0
    if location.regions.get(zone) == location.regions.get(location.zone):
        return OTHER_ZONE_PENALTY_S
    return OTHER_REGION_PENALTY_S
