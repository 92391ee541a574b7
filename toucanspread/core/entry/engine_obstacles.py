"""Answers whether an engine may get a request now, and if not, why and until when.

Each reason that forbids an engine to a request is a check here, and only here. What
only makes another engine the better choice is a penalty of
:mod:`toucanspread.core.entry.load_balancing`.
"""

import enum
from typing import NamedTuple

from toucanspread.core.entry import (
    cold_engines,
    engine_requirements,
    engine_waits,
    engines,
)
from toucanspread.core.entry import data as entry_data

# Besides the expected wait, until an engine begins on a request that is sent now.
BEGIN_MARGIN_S = 0.05
UNKNOWN_S = float("inf")


class Cause(enum.Enum):
    """Why an engine may not get a request."""

    EVACUATED = "zone evacuated"
    DRAINING = "draining"
    SAYS_LEAVING = "says that it leaves"
    RESTARTED = "restarted"
    ENTRY_OUTDATED = "entry outdated"
    ENTRY_REMOVED = "entry removed"
    TRIED = "tried"
    OTHER_REGION = "region not allowed"
    NO_WEIGHTS = "no weights"
    BEGINS_LATE = "begins late"
    BACKOFF = "backoff"
    TRIAL = "trial after backoff"
    LIMIT_USED_UP = "limit used up"
    LIMIT_LEFT_TO_OTHERS = "limit left to others"
    COLD = "cold"


class Obstacle(NamedTuple):
    """Why an engine may not get a request, and how long.

    :param until_s: time at which that ends; infinite if it is not known.
    """

    cause: Cause
    until_s: float = UNKNOWN_S


class Choice(NamedTuple):
    """What a choice among engines depends on."""

    requirements: engine_requirements.EngineRequirements
    location: engine_requirements.EntryLocation
    now_s: float


def find(engine: engines.Engine, choice: Choice) -> Obstacle | None:
    """Return why an engine may not get a request, or None if it may.

    Backoff and limit are looked at last, so that they are the only obstacle if named.
    """
    return (
        find_for_all_requests(engine, choice.now_s)
        or _check_tried(engine, choice)
        or _check_region(engine, choice)
        or _check_weights(engine, choice)
        or _check_backoff(engine, choice)
        or _check_limit(engine, choice)
        or _check_cold(engine, choice)
    )


def find_for_all_requests(engine: engines.Engine, now_s: float) -> Obstacle | None:
    """Return why an engine may get no request at all, or None if it may."""
    if engine.is_evacuated:
        return Obstacle(Cause.EVACUATED)
    if engine.entry.state is not entry_data.EngineState.READY:
        return Obstacle(Cause.DRAINING)
    if engine.says_leaving:
        return Obstacle(Cause.SAYS_LEAVING)
    if engine.was_restarted:
        return Obstacle(Cause.RESTARTED)
    if now_s < engine.stale_until_s:
        return Obstacle(Cause.ENTRY_OUTDATED, engine.stale_until_s)
    # An expired entry may be written again, so its engine stays usable for a while.
    if engine.usable_until_s is not None and now_s >= engine.usable_until_s:
        return Obstacle(Cause.ENTRY_REMOVED)
    return None


def forbids_dispatch(
    engine: engines.Engine,
    now_s: float,
    service: entry_data.Service | None = None,
    assigned_s: float | None = None,
) -> bool:
    """Return whether an engine may not get a request that was assigned to it before.

    :param service: of the engine; None if it doesn't matter whether that is cold.
    :param assigned_s: when the request was assigned to the engine.
    """
    if find_for_all_requests(engine, now_s) is not None:
        return True
    if engine.backoff.left_s(now_s) > 0:
        return True
    if service is None or assigned_s is None or not engine.is_cold(service, now_s):
        return False
    return now_s - assigned_s > cold_engines.MAX_ASSIGNED_AGE_S


def _check_tried(engine: engines.Engine, choice: Choice) -> Obstacle | None:
    if engine.entry.engine_id in choice.requirements.excluded:
        return Obstacle(Cause.TRIED)
    return None


def _check_region(engine: engines.Engine, choice: Choice) -> Obstacle | None:
    allowed = choice.requirements.allowed_regions
    if allowed is None or choice.location.regions.get(engine.entry.zone) in allowed:
        return None
    return Obstacle(Cause.OTHER_REGION)


def _check_weights(engine: engines.Engine, choice: Choice) -> Obstacle | None:
    profile = choice.requirements.service.profile
    if profile is None:
        return None
    version = engine.complete_version(profile, choice.now_s)
    if version == 0 or version < choice.requirements.minimum_version:
        return Obstacle(Cause.NO_WEIGHTS)
    if _would_begin_late(engine, version, choice):
        return Obstacle(Cause.BEGINS_LATE)
    return None


def _check_backoff(engine: engines.Engine, choice: Choice) -> Obstacle | None:
    if engine.backoff.is_over:
        return None
    left_s = engine.backoff.left_s(choice.now_s)
    if left_s > 0:
        return Obstacle(Cause.BACKOFF, choice.now_s + left_s)
    trial_left_s = engine.backoff.trial_left_s(choice.now_s)
    if trial_left_s > 0 and choice.requirements.skips_trials:
        return Obstacle(Cause.TRIAL, choice.now_s + trial_left_s)
    return None


def _check_limit(engine: engines.Engine, choice: Choice) -> Obstacle | None:
    if engine.limit.limit_per_s is None:
        return None
    wait_s = engine.limit.wait_s(choice.now_s, choice.location.entry_count)
    if wait_s > 0:
        return Obstacle(Cause.LIMIT_USED_UP, choice.now_s + wait_s)
    if choice.requirements.skips_limited:
        return Obstacle(Cause.LIMIT_LEFT_TO_OTHERS)
    return None


def _check_cold(engine: engines.Engine, choice: Choice) -> Obstacle | None:
    service, now_s = choice.requirements.service, choice.now_s
    senders = choice.location.senders
    if senders is None or not engine.is_cold(service, now_s):
        return None
    cold_per_s = service.cold_per_s
    if not senders.is_sender(engine.entry.engine_id, engine.entry.zone, cold_per_s):
        return Obstacle(Cause.COLD, engine.cold_until_s(service))
    wait_s = engine.cold_start.wait_s(now_s)
    return Obstacle(Cause.COLD, now_s + wait_s) if wait_s > 0 else None


def _would_begin_late(engine: engines.Engine, version: int, choice: Choice) -> bool:
    """Return whether an engine may begin on its version only when it is too old.

    :param version: the version that the engine holds.
    """
    requirements, location, now_s = choice
    if not requirements.upcoming_versions:
        return False
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
    wait_s = engine_waits.expected_wait_s(engine, requirements.service, location, now_s)
    slowdown = engine.load.pace if engine.load is not None else 1.0
    begins_in_s = (wait_s + requirements.prefill_s) * max(slowdown, 1.0)
    begins_in_s += engine.link_delay_s(now_s)
    return now_s + begins_in_s + BEGIN_MARGIN_S > begin_until_s
