"""Sends a request to an engine, and records at the engine how the dispatch ends.

Before each dispatch it checks that one more engine may run the request.
"""

from typing import NamedTuple

from toucanspread.core import data, invariants
from toucanspread.core.entry import (
    crash_evidence,
    decision_context,
    decisions,
    engines,
    request_record,
    urgency,
)

# Non-repeatable requests use only connections that can't be closed by an idle timeout
# while the request is in transit.
FRESH_CONNECTION_S = 0.5
NEW_CONNECTION_S = 0.0


class Dispatch(NamedTuple):
    """One dispatch of a request.

    :param number: its number among those of the request, from 1.
    :param engine: the engine that has the request; None before, and after its end.
    :param head_s: when the engine began to answer, which the head shows.
    :param first_event_s: when the first complete event of its stream came.
    :param has_survived: whether the engine has written events for a while.
    :param is_stream: whether the engine answers with a stream.
    :param version: of the engine's weights at the dispatch; 0 if it does not matter.
    """

    number: int = 0
    engine: engines.Engine | None = None
    sent_s: float = 0.0
    head_s: float | None = None
    first_event_s: float | None = None
    has_survived: bool = False
    is_stream: bool = False
    version: int = 0

    @property
    def engine_id(self) -> str:
        """Return the id of the engine that has the request, or an empty string."""
        return "" if self.engine is None else self.engine.entry.engine_id

    @property
    def engine_says_leaving(self) -> bool:
        """Return whether the engine that has the request has said that it leaves."""
        return self.engine is not None and self.engine.says_leaving

    def report_age_s(self, now_s: float) -> float | None:
        """Return the age of the last load report of the engine; None without one."""
        if self.engine is None or self.engine.load is None:
            return None
        return now_s - self.engine.load_received_s

    @property
    def engine_wait_s(self) -> float | None:
        """Return the time until the engine began to answer; None if it has not."""
        return None if self.head_s is None else self.head_s - self.sent_s

    def has_run_for_a_while(self, now_s: float) -> bool:
        """Return whether the engine was writing the answer without a crash."""
        if self.first_event_s is None:
            return False
        return now_s - self.first_event_s > crash_evidence.JUST_BEGUN_S


def check(
    record: request_record.RequestRecord,
    engine: engines.Engine,
    context: decision_context.Context,
) -> None:
    """Check that one more engine may run the request."""
    call_id = record.call.attempt_id
    if not record.route.is_repeatable:
        invariants.check(
            record.possible_runs == 0, invariants.Invariant.AT_MOST_ONCE, call_id
        )
    invariants.check(
        record.possible_runs < max(record.route.attempts, 1),
        invariants.Invariant.RETRY_ONLY_WHEN_SAFE,
        f"{call_id}: {record.possible_runs} engines may have run it",
    )
    if record.service.profile is None:
        return
    version = engine.complete_version(record.service.profile, context.now_s)
    invariants.check(
        version >= max(context.minimum_version, 1),
        invariants.Invariant.DISPATCH_ONLY_WHOLE,
        f"{call_id}: {engine.entry.engine_id} holds {version}",
    )


def send(
    record: request_record.RequestRecord,
    engine: engines.Engine,
    context: decision_context.Context,
) -> list[data.Effect]:
    """Record a dispatch at its engine and return what to do for it.

    :param record: what was known before the dispatch.
    """
    effect = _make_effect(record, engine, context)
    notice = engine.record_dispatch(context.now_s)
    senders = context.location.senders
    if senders is not None and engine.is_cold(record.service, context.now_s):
        interval_s = senders.compute_interval_s(record.service.cold_per_s)
        engine.cold_start.record_dispatch(interval_s, context.now_s)
    if record.service.profile is not None:
        engine.add_prompt(
            record.call.prompt_tokens - effect.reused_tokens,
            record.service.profile,
            context.now_s,
        )
    return [effect] if notice is None else [effect, decisions.NotifyEntries(notice)]


def prompt_version(
    record: request_record.RequestRecord, engine: engines.Engine, now_s: float
) -> int:
    """Return the version with which an engine processes a prompt that it may keep.

    It is 0 if the engine keeps none.
    """
    profile = record.service.profile
    if profile is None or not profile.prefix_cache_tokens:
        return 0
    return engine.complete_version(profile, now_s)


def record_prefill(
    record: request_record.RequestRecord, dispatch: Dispatch, now_s: float
) -> None:
    """Record at the engine that it has processed the prompt and may hold it.

    If its weights have changed since the dispatch, it is not known with which version
    it processed the prompt.
    """
    engine = dispatch.engine
    if engine is None or not dispatch.version:
        return
    if engine.was_restarted:
        return
    if prompt_version(record, engine, now_s) != dispatch.version:
        return
    capacity_tokens = record.service.profile.prefix_cache_tokens
    engine.held_prompts.record_answer(
        record.call, capacity_tokens, dispatch.version, now_s
    )


def record_failure(
    dispatch: Dispatch, failure: decisions.DispatchFailure, now_s: float
) -> None:
    """Record at the engine what it tells of itself by a failure."""
    if dispatch.engine is None:
        return
    if failure is decisions.DispatchFailure.REJECTED:
        dispatch.engine.record_rejection(now_s)
    if failure is decisions.DispatchFailure.OTHER_INSTANCE:
        dispatch.engine.record_other_instance(now_s)


def end(
    dispatch: Dispatch, now_s: float, ok: bool = False, failure_weight: int = 0
) -> Dispatch:
    """Record at the engine that it no longer has the request.

    :param ok: whether the engine answered.
    :param failure_weight: how much the end counts towards avoiding the engine.
    """
    engine = dispatch.engine
    if engine is None:
        return dispatch
    engine.record_end()
    if ok:
        engine.record_success()
    elif failure_weight:
        engine.record_failure(now_s, failure_weight)
    return dispatch._replace(engine=None)


def _make_effect(
    record: request_record.RequestRecord,
    engine: engines.Engine,
    context: decision_context.Context,
) -> decisions.SendToEngine:
    now_s = context.now_s
    return decisions.SendToEngine(
        record.dispatches + 1,
        engine.entry.engine_id,
        engine.entry.address,
        record.timing.deadline_s - now_s,
        record.timing.silence_timeout_s,
        record.last_event_id,
        _expected_version(record, engine, context),
        _max_idle_s(record, engine),
        engine.estimated_request_count(now_s, context.location.entry_count),
        now_s - engine.load_received_s if engine.load is not None else -1.0,
        _engine_priority(record, context),
        engine.is_avoided(now_s),
        engine.backoff.left_s(now_s),
        _cold_left_s(record, engine, now_s),
        _reused_tokens(record, engine, now_s),
    )


def _reused_tokens(
    record: request_record.RequestRecord, engine: engines.Engine, now_s: float
) -> int:
    profile = record.service.profile
    if profile is None:
        return 0
    return engine.find_held(record.call, profile, now_s).tokens


def _cold_left_s(
    record: request_record.RequestRecord, engine: engines.Engine, now_s: float
) -> float:
    if not engine.is_cold(record.service, now_s):
        return 0.0
    return engine.cold_until_s(record.service) - now_s


def _expected_version(
    record: request_record.RequestRecord,
    engine: engines.Engine,
    context: decision_context.Context,
) -> int:
    if record.service.profile is None or context.minimum_version <= 1:
        return 0
    return engine.complete_version(record.service.profile, context.now_s)


def _max_idle_s(
    record: request_record.RequestRecord, engine: engines.Engine
) -> float | None:
    """Return how long the connection to an engine may have been idle.

    A late copy of the engine's earlier refusal has the id of this request, too.
    """
    if engine.entry.engine_id in record.tried:
        return NEW_CONNECTION_S
    return None if record.route.is_repeatable else FRESH_CONNECTION_S


def _engine_priority(
    record: request_record.RequestRecord, context: decision_context.Context
) -> int | None:
    if record.service.profile is None:
        return None
    kind = urgency.Urgency.LATE
    if record.last_event_id is not None:
        kind = urgency.Urgency.RESUMED
    elif context.has_turn or context.now_s <= record.timing.start_deadline_s:
        kind = urgency.Urgency.ON_TIME
    return urgency.engine_priority(kind, record.rank)
