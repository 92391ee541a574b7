"""Makes the final answer to a request that no engine answers.

Its status tells the caller whether the request may have run; if it did not, also when
to come back. Callers are given different times so that they do not return all at once.
"""

from toucanspread.core import data
from toucanspread.core.entry import (
    admission_queue,
    decision_context,
    decisions,
    engine_choice,
    request_record,
)

RETRY_AFTER_BASE_S = 0.25
RETRY_AFTER_SPREAD_S = 0.5
NO_ENGINE_RETRY_AFTER_S = 0.6
QUARANTINE_RETRY_AFTER_S = 2.0
LEAVING_RETRY_AFTER_S = 0.05  # another entry can take the request at once


def make_unanswered(
    record: request_record.RequestRecord,
    cause: decisions.FailureCause,
    context: decision_context.Context,
) -> data.Effect:
    """Return the final answer to a request that no engine answers."""
    if record.is_stream_open:
        return decisions.BreakStream(cause)
    if record.possible_runs == 0:
        return _make_rejection(record, cause, context)
    timed_out = cause is decisions.FailureCause.DEADLINE_EXCEEDED
    return decisions.Fail(cause, timed_out=timed_out)


def make_overload_rejection(
    wait_s: float, context: decision_context.Context
) -> decisions.Reject:
    """Return the rejection of a request that would wait too long in the queue.

    :param wait_s: time that it would have waited.
    """
    cause = decisions.FailureCause.ENGINES_FULL
    return _make_waiting_rejection(cause, wait_s, context)


def make_cold_rejection(
    record: request_record.RequestRecord,
    wait_s: float,
    context: decision_context.Context,
) -> data.Effect:
    """Return the final answer to a request that has no turn at cold engines.

    :param wait_s: time that it would have waited.
    """
    cause = decisions.FailureCause.ENGINES_COLD
    if record.is_stream_open or record.possible_runs:
        return make_unanswered(record, cause, context)
    return _make_waiting_rejection(cause, wait_s, context)


def _make_rejection(
    record: request_record.RequestRecord,
    cause: decisions.FailureCause,
    context: decision_context.Context,
) -> decisions.Reject:
    """Return the rejection of a request that did not run."""
    if cause is decisions.FailureCause.ENGINES_LIMITED:
        wait_s = engine_choice.limit_wait_s(record, context)
        return _make_waiting_rejection(cause, wait_s, context)
    if cause is decisions.FailureCause.LEAVING:
        return decisions.Reject(cause, LEAVING_RETRY_AFTER_S)
    base_s = RETRY_AFTER_BASE_S
    if cause is decisions.FailureCause.NO_ENGINE:
        base_s = max(NO_ENGINE_RETRY_AFTER_S, _known_load_wait_s(record, context))
    if cause is decisions.FailureCause.ENGINES_BACKING_OFF:
        base_s = max(base_s, _known_backoff_s(record, context))
    if cause is decisions.FailureCause.REQUEST_CRASHES_ENGINES:
        base_s = QUARANTINE_RETRY_AFTER_S
    jitter_s = context.random_source.random() * RETRY_AFTER_SPREAD_S
    return decisions.Reject(cause, base_s + jitter_s)


def _make_waiting_rejection(
    cause: decisions.FailureCause, wait_s: float, context: decision_context.Context
) -> decisions.Reject:
    """Return a rejection whose caller comes back within the time of the wait."""
    draw = context.random_source.random()
    return decisions.Reject(cause, admission_queue.retry_after_s(wait_s, draw))


def _known_backoff_s(
    record: request_record.RequestRecord, context: decision_context.Context
) -> float:
    """Return the time until the first backoff ends; 0 if only trials last."""
    wait_s = engine_choice.backoff_wait_s(record, context)
    return 0.0 if wait_s == float("inf") else wait_s


def _known_load_wait_s(
    record: request_record.RequestRecord, context: decision_context.Context
) -> float:
    """Return the time until an engine has loaded weights; 0 if it is unknown."""
    wait_s = engine_choice.load_wait_s(record, context)
    return 0.0 if wait_s == float("inf") else wait_s
