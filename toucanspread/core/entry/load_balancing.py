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

from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import (
    engine_draw,
    engine_obstacles,
    engine_requirements,
    engine_speed,
    engine_waits,
    engines,
    prompt_reuse,
    region_rules,
)

NOISE_S = 0.010  # about the round-trip time between two zones
OTHER_ZONE_PENALTY_S = 0.015
# Traffic between regions is expensive, and less is known about engines there.
OTHER_REGION_PENALTY_S = 0.100
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
# Mean time until the load report that shows a request comes to another zone.
UNSEEN_TIME_S = 0.15


def eligible_engines(
    registry: engines.EngineRegistry,
    requirements: engine_requirements.EngineRequirements,
    location: engine_requirements.EntryLocation,
    now_s: float,
) -> list[engines.Engine]:
    """Return the engines of a service that a request may go to."""
    choice = engine_obstacles.Choice(requirements, location, now_s)
    return [
        engine
        for engine in registry.of_service(requirements.service.name)
        if engine_obstacles.find(engine, choice) is None
    ]


def limit_wait_s(
    registry: engines.EngineRegistry,
    requirements: engine_requirements.EngineRequirements,
    location: engine_requirements.EntryLocation,
    now_s: float,
) -> float:
    """Return the time until the limit of an engine allows a request.

    It is infinite if no engine that the request may go to otherwise names a limit.
    """
    choice = engine_obstacles.Choice(requirements, location, now_s)
    waits_s = []
    for engine in registry.of_service(requirements.service.name):
        if engine.limit.limit_per_s is None:
            continue
        obstacle = engine_obstacles.find(engine, choice)
        if obstacle is None:
            waits_s.append(0.0)
        elif obstacle.cause is engine_obstacles.Cause.LIMIT_USED_UP:
            waits_s.append(obstacle.until_s - now_s)
    return min(waits_s, default=float("inf"))


def list_cold_waits_s(
    registry: engines.EngineRegistry,
    requirements: engine_requirements.EngineRequirements,
    location: engine_requirements.EntryLocation,
    now_s: float,
) -> list[float]:
    """Return the time until each cold engine may get a request of this entry.

    One that the entry leaves to others may get a request when it is cold no more.
    """
    choice = engine_obstacles.Choice(requirements, location, now_s)
    service = requirements.service
    waits_s = []
    for engine in registry.of_service(service.name):
        if not engine.is_cold(service, now_s):
            continue
        obstacle = engine_obstacles.find(engine, choice)
        if obstacle is None:
            waits_s.append(0.0)
        elif obstacle.cause is engine_obstacles.Cause.COLD:
            waits_s.append(obstacle.until_s - now_s)
    return waits_s


def wait_for_end_s(
    cause: engine_obstacles.Cause,
    registry: engines.EngineRegistry,
    requirements: engine_requirements.EngineRequirements,
    location: engine_requirements.EntryLocation,
    now_s: float,
) -> float:
    """Return the time until an obstacle ends at the first engine.

    It is infinite if no engine has it.
    """
    choice = engine_obstacles.Choice(requirements, location, now_s)
    waits_s = []
    for engine in registry.of_service(requirements.service.name):
        obstacle = engine_obstacles.find(engine, choice)
        if obstacle is not None and obstacle.cause is cause:
            waits_s.append(obstacle.until_s - now_s)
    return min(waits_s, default=float("inf"))


def choose_engine(
    registry: engines.EngineRegistry,
    requirements: engine_requirements.EngineRequirements,
    location: engine_requirements.EntryLocation,
    now_s: float,
    random_source: random.Random,
) -> engines.Engine | None:
    """Return the best engine for a request, or None if none is eligible."""
    candidates = []
    eligible = eligible_engines(registry, requirements, location, now_s)
    savings_s = _draw_savings_s(eligible, requirements, location, now_s, random_source)
    for engine in eligible:
        saved_s = savings_s.get(engine.entry.engine_id, 0.0)
        score = _score(engine, requirements, location, now_s, random_source, saved_s)
        score += _interruption_penalty_s(engine, requirements, location, now_s)
        if requirements.was_interrupted:
            score += random_source.random() * INTERRUPTED_NOISE_S
        is_load_exact = engine.entry.zone == location.zone
        candidates.append(engine_draw.Candidate(engine, score, is_load_exact))
    unseen_work_s = _estimate_unseen_work_s(requirements, location)
    return engine_draw.draw(candidates, unseen_work_s, random_source)


def _draw_savings_s(
    eligible: list[engines.Engine],
    requirements: engine_requirements.EngineRequirements,
    location: engine_requirements.EntryLocation,
    now_s: float,
    random_source: random.Random,
) -> dict[str, float]:
    """Return the prefill time that engines save which hold the prompt's beginning.

    A random number is drawn only if there is such an engine.
    """
    profile, call = requirements.service.profile, requirements.call
    if profile is None or call is None or not profile.prefix_cache_tokens:
        return {}
    holders = []
    for engine in eligible:
        match = engine.find_held(call, profile, now_s)
        if not match.tokens:
            continue
        pace = engine.load.pace if engine.has_recent_load(now_s) else 1.0
        pace = max(pace, 1.0)
        saved_s = match.tokens / profile.read_per_s
        cost_s = max(requirements.prefill_s - saved_s, 1 / profile.read_per_s)
        holders.append(
            prompt_reuse.Holder(
                engine.entry.engine_id,
                saved_s * pace,
                cost_s * pace,
                engine_waits.free_slots(engine, location, now_s),
                match.rate_per_s,
            )
        )
    if not holders:
        return {}
    return prompt_reuse.draw_savings_s(
        holders, location.entry_count, UNSEEN_TIME_S, random_source.random()
    )


def _estimate_unseen_work_s(
    requirements: engine_requirements.EngineRequirements,
    location: engine_requirements.EntryLocation,
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


def least_backlog_s(
    registry: engines.EngineRegistry,
    service: entry_data.Service,
    location: engine_requirements.EntryLocation,
    now_s: float,
    allowed_regions: region_rules.Regions | None = None,
) -> float:
    """Return the shortest backlog of the engines of a service.

    :param allowed_regions: regions of the engines; None for all.
    """
    requirements = engine_requirements.EngineRequirements(
        service, allowed_regions=allowed_regions
    )
    eligible = eligible_engines(registry, requirements, location, now_s)
    backlogs_s = [
        engine_waits.backlog_s(engine, service, location, now_s) for engine in eligible
    ]
    return min(backlogs_s, default=float("inf"))


def decode_s(profile: entry_data.ModelProfile, tokens: int) -> float:
    """Return the time to generate an answer while other prompts are prefilled."""
    passes = tokens / profile.pass_tokens + 1
    return passes * profile.pass_s * PREFILL_SLOWDOWN_FACTOR


def _score(
    engine: engines.Engine,
    requirements: engine_requirements.EngineRequirements,
    location: engine_requirements.EntryLocation,
    now_s: float,
    random_source: random.Random,
    saved_s: float = 0.0,
) -> float:
    """Return the expected wait and the penalties for the use of an engine.

    :param saved_s: prefill time that the engine saves by what it holds of the prompt.
    """
    service = requirements.service
    score = engine_waits.expected_wait_s(engine, service, location, now_s)
    slowdown = engine.load.pace if engine.load is not None else 1.0
    score *= max(slowdown, 1.0)
    if engine.has_recent_load(now_s):
        score += engine_speed.first_event_delay_s(
            slowdown, requirements.prefill_s, service.profile
        )
    score += engine.link_delay_s(now_s) - saved_s
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
    requirements: engine_requirements.EngineRequirements,
    location: engine_requirements.EntryLocation,
    now_s: float,
) -> float:
    """Return the penalty for an engine that will switch before the request ends."""
    profile = requirements.service.profile
    if engine.switch_at_s is None or profile is None:
        return 0.0
    run_s = decode_s(profile, requirements.likely_tokens)
    wait_s = engine_waits.expected_wait_s(engine, requirements.service, location, now_s)
    if now_s + wait_s + run_s <= engine.switch_at_s:
        return 0.0
    return (
        REPEATED_INTERRUPTION_PENALTY_S
        if requirements.was_interrupted
        else INTERRUPTION_PENALTY_S
    )


def _distance_penalty_s(
    engine: engines.Engine, location: engine_requirements.EntryLocation
) -> float:
    zone = engine.entry.zone
    if zone == location.zone:
        return 0.0
    if location.regions.get(zone) == location.regions.get(location.zone):
        return OTHER_ZONE_PENALTY_S
    return OTHER_REGION_PENALTY_S
