"""Estimates how soon an engine can start on one more request."""

from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import engine_requirements, engines

BUSY_SLOT_PENALTY_S = 0.004  # each decoding request lengthens the steps of all
QUEUED_REQUEST_PENALTY_S = 0.080  # a request beyond the slots waits for one to end
PLAIN_REQUEST_PENALTY_S = 0.020  # per request at an engine without a model


def free_slots(
    engine: engines.Engine, location: engine_requirements.EntryLocation, now_s: float
) -> float:
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
    location: engine_requirements.EntryLocation,
    now_s: float,
) -> float:
    """Return the time until an engine can start on a new request."""
    if engine.is_switching(now_s) or engine.is_avoided(now_s):
        return float("inf")
    excess = max(1 - free_slots(engine, location, now_s), 0.0)
    return engine.prefill_backlog_s(now_s) + excess * QUEUED_REQUEST_PENALTY_S


def expected_wait_s(
    engine: engines.Engine,
    service: entry_data.Service,
    location: engine_requirements.EntryLocation,
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
