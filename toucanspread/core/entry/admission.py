"""Decides whether a request is sent, waits at the entry, or is rejected.

:mod:`toucanspread.core.entry.admission_queue` has the order of the queue and its rules.
"""

from toucanspread.core import data
from toucanspread.core.entry import (
    admission_queue,
    coming_engines,
    decision_context,
    decisions,
    engine_choice,
    engine_requirements,
    engine_waits,
    engines,
    final_answers,
    load_balancing,
    priority_rules,
    request_record,
)


def decide_arrival(
    record: request_record.RequestRecord,
    queued_prefill_s: float,
    context: decision_context.Context,
) -> data.Effect | None:
    """Return what becomes of a new request behind a queue; None to try an engine.

    :param queued_prefill_s: total ``prefill_s`` of the requests that are queued for
        the service.
    """
    if queued_prefill_s == 0.0 or not record.can_be_queued:
        return None
    requirements = engine_choice.make_requirements(record, context)
    eligible = load_balancing.eligible_engines(
        context.registry, requirements, context.location, context.now_s
    )
    if not eligible and engine_choice.cold_wait_s(record, context) < float("inf"):
        return decide_without_engine(record, context, queued_prefill_s)
    if not eligible:
        return _queue_for_load(record, requirements, queued_prefill_s, context)
    wait_s = admission_queue.expected_wait_s(
        queued_prefill_s, len(eligible), context.location.entry_count
    )
    if wait_s <= admission_queue.MAX_EXPECTED_WAIT_S:
        return decisions.Enqueue()
    return final_answers.make_overload_rejection(wait_s, context)


def decide_without_engine(
    record: request_record.RequestRecord,
    context: decision_context.Context,
    queued_prefill_s: float = 0.0,
) -> data.Effect:
    """Queue a request until an engine can take it, or end it.

    :param queued_prefill_s: total ``prefill_s`` of the requests that wait before it.
    """
    limit_wait_s = engine_choice.limit_wait_s(record, context)
    cold_wait_s = engine_choice.cold_wait_s(record, context, queued_prefill_s)
    return_wait_s = min(
        engine_choice.backoff_wait_s(record, context),
        engine_choice.trial_wait_s(record, context),
    )
    if record.can_be_queued and (
        _may_begin_soon(record, limit_wait_s, context)
        or _may_begin_cold(record, cold_wait_s, context)
        or _may_follow_backoff(record, context)
    ):
        return decisions.Enqueue()
    cause = decisions.FailureCause.NO_ENGINE
    if return_wait_s < limit_wait_s:
        cause = decisions.FailureCause.ENGINES_BACKING_OFF
    elif limit_wait_s != float("inf"):
        cause = decisions.FailureCause.ENGINES_LIMITED
    elif cold_wait_s != float("inf"):
        return final_answers.make_cold_rejection(record, cold_wait_s, context)
    return final_answers.make_unanswered(record, cause, context)


def _may_begin_soon(
    record: request_record.RequestRecord,
    limit_wait_s: float,
    context: decision_context.Context,
) -> bool:
    """Return whether a limit soon allows a request, or engines have their weights.

    :param limit_wait_s: time until a limit allows it; infinite if none does.
    """
    is_limited = limit_wait_s != float("inf")
    load_wait_s = engine_choice.load_wait_s(record, context)
    waited_s = context.now_s - record.timing.arrived_s
    left_s = record.timing.deadline_s - context.now_s
    longest_s = min(admission_queue.MAX_WAIT_S, waited_s + left_s)
    if not is_limited:
        longest_s = min(longest_s, admission_queue.MAX_LOAD_WAIT_S)
    return waited_s + min(limit_wait_s, load_wait_s) < longest_s


def _may_begin_cold(
    record: request_record.RequestRecord,
    cold_wait_s: float,
    context: decision_context.Context,
) -> bool:
    """Return whether a cold engine can get a request soon."""
    waited_s = context.now_s - record.timing.arrived_s
    return waited_s + cold_wait_s < admission_queue.MAX_EXPECTED_WAIT_S


def _may_follow_backoff(
    record: request_record.RequestRecord, context: decision_context.Context
) -> bool:
    """Return whether to wait for the end of an engine's backoff, or of its trial."""
    backoff_wait_s = engine_choice.backoff_wait_s(record, context)
    if context.now_s + backoff_wait_s <= record.timing.start_deadline_s:
        return True
    if engine_choice.trial_wait_s(record, context) == float("inf"):
        return False
    waited_s = context.now_s - record.timing.arrived_s
    return waited_s < admission_queue.MAX_LOAD_WAIT_S


def decide_with_engine(
    record: request_record.RequestRecord,
    engine: engines.Engine,
    context: decision_context.Context,
) -> data.Effect | None:
    """Return what becomes of a request instead of a dispatch to an engine.

    It is None if the request goes to the engine.
    """
    if not record.can_be_queued:
        return None
    capacity = _measure_capacity(record, engine, context)
    allowance = priority_rules.FULL_ALLOWANCE
    if context.priorities is not None:
        # A late request, whatever its rank, can start at an idle engine.
        most_slots = engine.entry.slots - admission_queue.LATE_MIN_FREE_COUNT
        allowance = context.priorities.find_allowance(record.rank, most_slots)
    if admission_queue.can_start(
        record.timing, capacity, context.now_s, context.has_turn, allowance
    ):
        if _would_miss_deadline(record, capacity.backlog_s, context):
            return final_answers.make_overload_rejection(capacity.backlog_s, context)
        return None
    max_wait_s = admission_queue.MAX_WAIT_S
    if context.priorities is not None:
        max_wait_s = admission_queue.MAX_DECLARED_WAIT_S
    if context.now_s - record.timing.arrived_s >= max_wait_s:
        return final_answers.make_overload_rejection(
            admission_queue.MAX_EXPECTED_WAIT_S, context
        )
    return decisions.Enqueue()


def _queue_for_load(
    record: request_record.RequestRecord,
    requirements: engine_requirements.EngineRequirements,
    queued_prefill_s: float,
    context: decision_context.Context,
) -> data.Effect:
    """Queue a request if engines soon have their weights, or end it."""
    waits_s = coming_engines.list_waits_s(context.registry, requirements, context.now_s)
    if not waits_s and engine_choice.backoff_wait_s(record, context) != float("inf"):
        return decide_without_engine(record, context)
    if not waits_s:
        return final_answers.make_overload_rejection(float("inf"), context)
    wait_s = min(waits_s) + admission_queue.expected_wait_s(
        queued_prefill_s, len(waits_s), context.location.entry_count
    )
    if wait_s <= admission_queue.MAX_LOAD_WAIT_S:
        return decisions.Enqueue()
    cause = decisions.FailureCause.NO_ENGINE
    return final_answers.make_unanswered(record, cause, context)


def _measure_capacity(
    record: request_record.RequestRecord,
    engine: engines.Engine,
    context: decision_context.Context,
) -> admission_queue.EngineCapacity:
    now_s, location = context.now_s, context.location
    return admission_queue.EngineCapacity(
        engine_waits.backlog_s(engine, record.service, location, now_s),
        engine.prefill_backlog_s(now_s),
        engine_waits.free_slots(engine, location, now_s),
    )


def _would_miss_deadline(
    record: request_record.RequestRecord,
    backlog_s: float,
    context: decision_context.Context,
) -> bool:
    """Return whether the answer could not be complete before the deadline."""
    timing = record.timing
    if context.now_s - timing.arrived_s < admission_queue.EXPIRING_AFTER_S:
        return False
    decode_s = load_balancing.decode_s(
        record.service.profile, record.likely_tokens_left
    )
    needed_s = min(backlog_s, admission_queue.MAX_EXPECTED_WAIT_S) + timing.prefill_s
    return context.now_s + needed_s + decode_s > timing.deadline_s
