"""Decides on one caller's request, from its arrival to its final answer.

A :class:`RequestState` gets the events of the request and returns the actions to take.
It guarantees that a request that must not be repeated runs at most once, that "not run"
is only answered when it is certain, that a stream resumes exactly where it stopped, and
that no request is answered twice.
"""

from toucanspread.core import data, invariants
from toucanspread.core.entry import (
    admission_queue,
    coming_engines,
    crash_evidence,
    crash_guard,
    decision_context,
    decisions,
    engines,
    load_balancing,
    request_timing,
    silent_dispatch,
    urgency,
    withdrawal,
)
from toucanspread.core.entry import data as entry_data

MAX_REJECTION_COUNT = 3  # rejections by engines before the caller is rejected
# Non-repeatable requests use only connections that can't be closed by an idle timeout
# while the request is in transit.
FRESH_CONNECTION_S = 0.5
NEW_CONNECTION_S = 0.0
RETRY_AFTER_BASE_S = 0.25
RETRY_AFTER_SPREAD_S = 0.5
NO_ENGINE_RETRY_AFTER_S = 0.6
QUARANTINE_RETRY_AFTER_S = 2.0
LEAVING_RETRY_AFTER_S = 0.05  # another entry can take the request at once
ORDER_MARGIN_S = 1.0  # between the announced time of an order and its effect


class RequestState:
    """State of one request.

    :param declared_rank: priority of the team; None to use that of the route.
    :ivar deadline_s: time of the request's deadline, on the clock of ``now_s``.
    :ivar start_deadline_s: latest time at which an engine can start for an answer on
        time.
    :ivar possible_runs: number of engines that may have begun to run the request.
    :ivar move_obstacle: why the request did not leave its engine when that was silent;
        None if it was not, or if the request did.
    """

    def __init__(
        self,
        route: entry_data.Route,
        service: entry_data.Service,
        call: entry_data.Call,
        arrived_s: float,
        declared_rank: int | None = None,
    ):
        self.route = route
        self.service = service
        self.call = call
        self.arrived_s = arrived_s
        self.timing = request_timing.RequestTiming(route, service, call, arrived_s)
        self.deadline_s = self.timing.deadline_s
        self.start_deadline_s = self.timing.start_deadline_s
        self._rank = route.priority if declared_rank is None else declared_rank
        self.is_finished = False
        self.possible_runs = 0
        self.dispatches = 0
        self.move_obstacle: decisions.MoveObstacle | None = None
        self._rejections = 0
        self._engine: engines.Engine | None = None
        self._sent_s = 0.0
        self._begun_s: float | None = None
        self._first_event_s: float | None = None  # of the present dispatch
        self._has_survived = False  # whether the engine wrote for a while
        self._is_trial = False
        self._tried: set[str] = set()
        self._streaming = False
        self._is_engine_streaming = False
        self._last_event_id = call.last_event_id
        self._last_failure: decisions.DispatchFailure | None = None

    @property
    def engine_id(self) -> str:
        """Return the id of the engine that has the request, or an empty string."""
        return self._engine.entry.engine_id if self._engine is not None else ""

    def engine_report_age_s(self, now_s: float) -> float | None:
        """Return the age of the last load report of the engine that has the request.

        It is None without one.
        """
        if self._engine is None or self._engine.load is None:
            return None
        return now_s - self._engine.load_received_s

    @property
    def engine_wait_s(self) -> float | None:
        """Return the time from the last dispatch until the engine began to answer.

        It is None while the engine has not begun.
        """
        return None if self._begun_s is None else self._begun_s - self._sent_s

    def start(
        self, context: decision_context.Context, queued_prefill_s: float = 0.0
    ) -> list[data.Effect]:
        """Send the request to an engine, queue it, or reject it.

        :param queued_prefill_s: total ``prefill_s`` of the requests that are queued for
            the service.
        """
        context.retry_budgets.record_request(self.service.name, context.now_s)
        if self.must_go_elsewhere(context):
            return self._finish_unanswered(context, decisions.FailureCause.LEAVING)
        admission = context.guard.admit(self.call, context.now_s)
        self._is_trial = admission is crash_guard.Admission.TRIAL
        if admission is crash_guard.Admission.REFUSED:
            return self._refuse_quarantined(context)
        if queued_prefill_s == 0.0 or not self._can_be_queued():
            return self._dispatch(context)
        requirements = self._make_requirements(context)
        engine_count = len(
            load_balancing.eligible_engines(
                context.registry, requirements, context.location, context.now_s
            )
        )
        if engine_count == 0:
            return self._queue_for_load(context, requirements, queued_prefill_s)
        wait_s = admission_queue.expected_wait_s(
            queued_prefill_s, engine_count, context.location.entry_count
        )
        if wait_s <= admission_queue.MAX_EXPECTED_WAIT_S:
            return [decisions.Enqueue()]
        return self._reject_overloaded(context, wait_s)

    def _queue_for_load(
        self,
        context: decision_context.Context,
        requirements: load_balancing.EngineRequirements,
        queued_prefill_s: float,
    ) -> list[data.Effect]:
        """Queue the request if engines soon have their weights, or reject it."""
        waits_s = coming_engines.list_waits_s(
            context.registry, requirements, context.now_s
        )
        if not waits_s:
            return self._reject_overloaded(context, float("inf"))
        wait_s = min(waits_s) + admission_queue.expected_wait_s(
            queued_prefill_s, len(waits_s), context.location.entry_count
        )
        if wait_s <= admission_queue.MAX_LOAD_WAIT_S:
            return [decisions.Enqueue()]
        return self._finish_unanswered(context, decisions.FailureCause.NO_ENGINE)

    def resume_queued(self, context: decision_context.Context) -> list[data.Effect]:
        """Try again to send a queued request to an engine.

        Entries notice at the same time that the limit of an engine allows one more
        request, so only about one of them tries at a time.
        """
        if self._is_quarantined(context):
            return self._refuse_quarantined(context)
        draw = context.random_source.random()
        skips_limited = draw * context.location.entry_count >= 1
        return self._dispatch(context, skips_limited)

    def on_engine_head(
        self, context: decision_context.Context, limit_per_s: float | None
    ) -> list[data.Effect]:
        """Handle the head of an answer of the engine.

        :param limit_per_s: the limit that the engine names in it; None if it has none.
        """
        if self._engine is None:
            return []
        self._engine.record_answering(context.now_s)
        context.guard.on_engine_alive(
            self._engine.incarnation, context.now_s, self._sent_s
        )
        notice = self._engine.limit.on_answer(limit_per_s, self._sent_s, context.now_s)
        return [] if notice is None else [decisions.NotifyEntries(notice)]

    def on_begun(self, now_s: float) -> None:
        """Record that the engine has begun to answer."""
        self._begun_s = now_s

    def on_stream_opened(self) -> list[data.Effect]:
        """Handle the head of a stream; only the first one goes to the caller."""
        self._is_engine_streaming = True
        if self._streaming:
            return []
        self._streaming = True
        return [decisions.OpenStream()]

    def on_events(self, now_s: float, last_event_id: str | None) -> bool:
        """Record that complete events were relayed to the caller.

        :return: whether the engine has now written for so long that the prompt does not
            crash it; True once for each dispatch.
        """
        if last_event_id is not None:
            self._last_event_id = last_event_id
        self.move_obstacle = None
        if self._engine is not None:
            self._engine.record_answering(now_s)
        if self._first_event_s is None:
            self._first_event_s = now_s
        if self._has_survived or not self._has_run_for_a_while(now_s):
            return False
        self._has_survived = True
        return bool(self.call.suspect_parts)

    def on_survived(self, context: decision_context.Context) -> None:
        """Handle that the prompt does not crash its engine."""
        context.guard.on_survived(self.call, context.now_s)

    def on_answer(
        self, context: decision_context.Context, status: int
    ) -> list[data.Effect]:
        """Handle a complete answer of the engine, or the regular end of its stream."""
        if status == 200:
            self._report_whole_answer(context)
        is_rest_missing = self._streaming and not self._is_engine_streaming
        if status < 500 and not is_rest_missing:
            self._release_engine(context, ok=True)
            return self._finish(
                decisions.CloseStream() if self._streaming else decisions.RelayAnswer()
            )
        # The engine ran the request and reports that it failed, or does not stream.
        self._release_engine(context, ok=False, weight=1)
        if not self._streaming and not self._can_run_again(context):
            return self._finish(decisions.RelayAnswer())
        return self._retry(context, decisions.DispatchFailure.FAILED)

    def on_failure(
        self,
        context: decision_context.Context,
        failure: decisions.DispatchFailure,
    ) -> list[data.Effect]:
        """Handle a dispatch that failed without a complete answer."""
        if self.is_finished:
            return []
        self._last_failure = failure
        number = self.dispatches
        self.move_obstacle = None
        if failure is decisions.DispatchFailure.SILENT:
            effects = self._on_silence(context)
            if effects is not None:
                return effects
        if failure is decisions.DispatchFailure.REJECTED and self._engine is not None:
            self._engine.record_rejection(context.now_s)
        if (
            failure is decisions.DispatchFailure.OTHER_INSTANCE
            and self._engine is not None
        ):
            self._engine.record_other_instance(context.now_s)
        if failure is decisions.DispatchFailure.BROKEN:
            self._report_crash(context)
        self._release_engine(
            context, ok=False, weight=decisions.failure_weight(failure)
        )
        cancellations = (
            [decisions.Cancel(number)]
            if failure in decisions.UNFINISHED_FAILURES
            else []
        )
        if failure in decisions.NOT_RUN_FAILURES:
            self.possible_runs -= 1
            self._rejections += 1
        return cancellations + self._retry(context, failure)

    def must_be_withdrawn(
        self, context: decision_context.Context, was_sent: bool
    ) -> bool:
        """Return whether its engine could begin the request on weights too old.

        Whether an engine has begun shows at the head of a stream. Of an answer that is
        no stream, it doesn't show; only a request that may run again is withdrawn then.

        :param was_sent: whether the request was sent on a connection.
        """
        engine, profile = self._engine, self.service.profile
        if engine is None or profile is None or self._begun_s is not None:
            return False
        if not withdrawal.is_too_late(engine, profile, context, was_sent):
            return False
        is_stream = self.route.kind is entry_data.RequestKind.STREAMING
        return is_stream or self.route.is_repeatable or not was_sent

    def must_go_elsewhere(self, context: decision_context.Context) -> bool:
        """Return whether the request may last longer than this entry, which leaves."""
        return self.timing.latest_end_s > context.requests_end_s

    def on_leaving(self, context: decision_context.Context) -> list[data.Effect]:
        """End a request that no engine has if it may last longer than this entry."""
        if self.is_finished or self._engine is not None:
            return []
        if not self.must_go_elsewhere(context):
            return []
        return self._finish_unanswered(context, decisions.FailureCause.LEAVING)

    def on_stop(self, context: decision_context.Context) -> list[data.Effect]:
        """End the request, since this entry stops now."""
        return self._end(context, decisions.FailureCause.LEAVING)

    def on_quarantine(self, context: decision_context.Context) -> list[data.Effect]:
        """End a request that waits at an engine if it matches a quarantine."""
        if self.is_finished or self._engine is None or self._first_event_s is not None:
            return []
        if not self._is_quarantined(context):
            return []
        self._release_engine(context, ok=False, weight=0)
        return [decisions.Cancel(self.dispatches), *self._refuse_quarantined(context)]

    def on_deadline(self, context: decision_context.Context) -> list[data.Effect]:
        """End a request whose deadline has passed."""
        return self._end(context, decisions.FailureCause.DEADLINE_EXCEEDED)

    def on_caller_disconnected(
        self, context: decision_context.Context
    ) -> list[data.Effect]:
        """Cancel the request because its caller has disconnected."""
        if self.is_finished:
            return []
        self.is_finished = True
        had_engine = self._engine is not None
        self._release_engine(context, ok=False, weight=0)
        return [decisions.Cancel(self.dispatches)] if had_engine else []

    def _dispatch(
        self, context: decision_context.Context, skips_limited: bool = False
    ) -> list[data.Effect]:
        left_s = self.deadline_s - context.now_s
        if left_s < silent_dispatch.MIN_TIME_TO_DISPATCH_S:
            return self._finish_unanswered(
                context, decisions.FailureCause.DEADLINE_EXCEEDED
            )
        if self.must_go_elsewhere(context):
            return self._finish_unanswered(context, decisions.FailureCause.LEAVING)
        engine = self._choose_engine(context, skips_limited)
        if engine is None:
            return self._wait_for_engine(context, left_s)
        if self._can_be_queued():
            alternative = self._queue_or_reject(engine, context)
            if alternative:
                return alternative
        self._check_dispatch(engine, context)
        return self._send_to(engine, context, left_s)

    def _wait_for_engine(
        self, context: decision_context.Context, left_s: float
    ) -> list[data.Effect]:
        """Queue the request until an engine can take it, or end it.

        A limit may allow it soon, or an engine may have loaded its weights soon.
        """
        limit_wait_s = self._limit_wait_s(context)
        waited_s = context.now_s - self.arrived_s
        longest_s = min(admission_queue.MAX_WAIT_S, waited_s + left_s)
        may_begin_s = waited_s + min(limit_wait_s, self._load_wait_s(context))
        if limit_wait_s == float("inf"):
            longest_s = min(longest_s, admission_queue.MAX_LOAD_WAIT_S)
        if self._can_be_queued() and may_begin_s < longest_s:
            return [decisions.Enqueue()]
        cause = decisions.FailureCause.ENGINES_LIMITED
        if limit_wait_s == float("inf"):
            cause = decisions.FailureCause.NO_ENGINE
        return self._finish_unanswered(context, cause)

    def _load_wait_s(self, context: decision_context.Context) -> float:
        """Return the time until an engine has loaded weights for the request."""
        requirements = self._make_requirements(context, frozenset(self._tried))
        waits_s = coming_engines.list_waits_s(
            context.registry, requirements, context.now_s
        )
        return min(waits_s, default=float("inf"))

    def _known_load_wait_s(self, context: decision_context.Context) -> float:
        """Return the time until an engine has loaded weights; 0 if it is unknown."""
        wait_s = self._load_wait_s(context)
        return 0.0 if wait_s == float("inf") else wait_s

    def _limit_wait_s(self, context: decision_context.Context) -> float:
        """Return the time until a suitable engine's limit allows the request."""
        tried = frozenset(self._tried)
        if self._last_failure in decisions.NOT_RUN_FAILURES:
            tried = frozenset()
        requirements = self._make_requirements(context, tried)
        return load_balancing.limit_wait_s(
            context.registry, requirements, context.location, context.now_s
        )

    def _queue_or_reject(
        self, engine: engines.Engine, context: decision_context.Context
    ) -> list[data.Effect]:
        """Return what to do instead of a dispatch; empty if the engine has capacity."""
        backlog_s = load_balancing.backlog_s(
            engine, self.service, context.location, context.now_s
        )
        free_slots = load_balancing.free_slots(engine, context.location, context.now_s)
        capacity = admission_queue.EngineCapacity(
            backlog_s, engine.prefill_backlog_s(context.now_s), free_slots
        )
        if admission_queue.can_start(self, capacity, context.now_s):
            if self._would_miss_deadline(context, backlog_s):
                return self._reject_overloaded(context, backlog_s)
            return []
        if context.now_s - self.arrived_s >= admission_queue.MAX_WAIT_S:
            return self._reject_overloaded(context, admission_queue.MAX_EXPECTED_WAIT_S)
        return [decisions.Enqueue()]

    def _send_to(
        self,
        engine: engines.Engine,
        context: decision_context.Context,
        left_s: float,
    ) -> list[data.Effect]:
        max_idle_s = self._max_idle_s(engine)
        self._engine = engine
        self._is_engine_streaming = False
        self._sent_s = context.now_s
        self._begun_s = None
        self._first_event_s = None
        self._has_survived = False
        self._tried.add(engine.entry.engine_id)
        self.dispatches += 1
        self.possible_runs += 1
        busy = engine.estimated_request_count(
            context.now_s, context.location.entry_count
        )
        busy_age_s = (
            context.now_s - engine.load_received_s if engine.load is not None else -1.0
        )
        notice = engine.record_dispatch(context.now_s)
        notices = [] if notice is None else [decisions.NotifyEntries(notice)]
        if self.service.profile is not None:
            engine.add_prompt(
                self.call.prompt_tokens, self.service.profile, context.now_s
            )
        expected_version = 0
        if self.service.profile is not None and context.minimum_version > 1:
            expected_version = engine.complete_version(
                self.service.profile, context.now_s
            )
        dispatch = decisions.SendToEngine(
            self.dispatches,
            engine.entry.engine_id,
            engine.entry.address,
            left_s,
            self.timing.silence_timeout_s,
            self._last_event_id,
            expected_version,
            max_idle_s,
            busy,
            busy_age_s,
            self._engine_priority(context.now_s),
        )
        return [dispatch, *notices]

    def _max_idle_s(self, engine: engines.Engine) -> float | None:
        """Return how long the connection to an engine may have been idle.

        A late copy of the engine's earlier refusal has the id of this request, too.
        """
        if engine.entry.engine_id in self._tried:
            return NEW_CONNECTION_S
        return None if self.route.is_repeatable else FRESH_CONNECTION_S

    def _check_dispatch(
        self, engine: engines.Engine, context: decision_context.Context
    ) -> None:
        """Check that one more engine may run the request."""
        call_id = self.call.attempt_id
        invariants.check(
            not self.is_finished, invariants.Invariant.ONE_FINAL_OUTCOME, call_id
        )
        if not self.route.is_repeatable:
            invariants.check(
                self.possible_runs == 0, invariants.Invariant.AT_MOST_ONCE, call_id
            )
        invariants.check(
            self.possible_runs < max(self.route.attempts, 1),
            invariants.Invariant.RETRY_ONLY_WHEN_SAFE,
            f"{call_id}: {self.possible_runs} engines may have run it",
        )
        if self.service.profile is not None:
            version = engine.complete_version(self.service.profile, context.now_s)
            invariants.check(
                version >= max(context.minimum_version, 1),
                invariants.Invariant.DISPATCH_ONLY_WHOLE,
                f"{call_id}: {engine.entry.engine_id} holds {version}",
            )

    def _engine_priority(self, now_s: float) -> int | None:
        if self.service.profile is None:
            return None
        kind = urgency.Urgency.LATE
        if self._last_event_id is not None:
            kind = urgency.Urgency.RESUMED
        elif now_s <= self.start_deadline_s:
            kind = urgency.Urgency.ON_TIME
        return urgency.engine_priority(kind, self._rank)

    def _choose_engine(
        self, context: decision_context.Context, skips_limited: bool
    ) -> engines.Engine | None:
        """Return an engine that has not been tried, or else one that rejected it."""
        requirements = self._make_requirements(context, frozenset(self._tried))
        requirements = requirements._replace(
            likely_tokens=self.timing.likely_tokens_left(self._last_event_id),
            was_interrupted=self.possible_runs > 0,
            skips_limited=skips_limited,
        )
        engine = load_balancing.choose_engine(
            context.registry,
            requirements,
            context.location,
            context.now_s,
            context.random_source,
        )
        if (
            engine is None
            and self._tried
            and self._last_failure in decisions.NOT_RUN_FAILURES
        ):
            requirements = requirements._replace(excluded=frozenset())
            engine = load_balancing.choose_engine(
                context.registry,
                requirements,
                context.location,
                context.now_s,
                context.random_source,
            )
        return engine

    def _make_requirements(
        self,
        context: decision_context.Context,
        excluded: frozenset[str] = frozenset(),
    ) -> load_balancing.EngineRequirements:
        return load_balancing.EngineRequirements(
            self.service,
            context.minimum_version,
            excluded,
            upcoming_versions=context.upcoming_versions,
            prefill_s=self.timing.prefill_s,
            rate_per_s=context.retry_budgets.request_rate_per_s(
                self.service.name, context.now_s
            ),
        )

    def _report_crash(self, context: decision_context.Context) -> None:
        """Report that the engine may have crashed because of the request."""
        engine = self._engine
        if engine is None or not self.call.suspect_parts:
            return
        if engine.is_leaving() or engine.is_ordered(context.now_s, ORDER_MARGIN_S):
            return
        if self._has_run_for_a_while(context.now_s):
            return
        context.guard.on_break(engine.incarnation, self.call, context.now_s)

    def _report_whole_answer(self, context: decision_context.Context) -> None:
        """Report that the engine wrote a whole answer."""
        if self._engine is None or not self.call.suspect_parts:
            return
        began_s = context.now_s
        if self._streaming:
            began_s = self._first_event_s
        if began_s is None:
            return  # a stream that had nothing left to write
        context.guard.on_whole_answer(
            self._engine.incarnation, self.call, began_s, context.now_s
        )

    def _is_quarantined(self, context: decision_context.Context) -> bool:
        return not self._is_trial and context.guard.is_quarantined(self.call)

    def _refuse_quarantined(
        self, context: decision_context.Context
    ) -> list[data.Effect]:
        return self._finish_unanswered(
            context, decisions.FailureCause.REQUEST_CRASHES_ENGINES
        )

    def _may_be_repeated(
        self,
        context: decision_context.Context,
        failure: decisions.DispatchFailure,
    ) -> bool:
        """Return whether the prompt is no danger to another engine."""
        has_run = self._has_run_for_a_while(context.now_s)
        if has_run or failure in decisions.NOT_RUN_FAILURES:
            return not self._is_quarantined(context)
        return context.guard.may_repeat(self.call)

    def _has_run_for_a_while(self, now_s: float) -> bool:
        """Return whether the engine was writing the answer without a crash."""
        began_s = self._first_event_s
        return began_s is not None and now_s - began_s > crash_evidence.JUST_BEGUN_S

    def _retry(
        self,
        context: decision_context.Context,
        failure: decisions.DispatchFailure,
    ) -> list[data.Effect]:
        """Send the request to another engine if it may be retried, else end it."""
        if not self._may_be_repeated(context, failure):
            return self._refuse_quarantined(context)
        if failure in decisions.NOT_RUN_FAILURES:
            if self._rejections > MAX_REJECTION_COUNT:
                return self._finish_unanswered(
                    context, decisions.FailureCause.ENGINES_FULL
                )
        elif not self.route.is_repeatable or self.possible_runs >= self.route.attempts:
            cause = decisions.FailureCause.ENGINE_FAILED
            if failure is decisions.DispatchFailure.WITHDRAWN:
                cause = decisions.FailureCause.WEIGHTS_OUTDATED
            return self._finish_unanswered(context, cause)
        if not context.retry_budgets.acquire(
            self.service.name, context.now_s, context.location.entry_count
        ):
            return self._finish_unanswered(
                context, decisions.FailureCause.RETRY_BUDGET_EXHAUSTED
            )
        return self._dispatch(context)

    def _would_miss_deadline(
        self, context: decision_context.Context, backlog_s: float
    ) -> bool:
        """Return whether the answer could not be complete before the deadline."""
        decode_s = load_balancing.decode_s(
            self.service.profile, self.timing.likely_tokens_left(self._last_event_id)
        )
        if context.now_s - self.arrived_s < admission_queue.EXPIRING_AFTER_S:
            return False
        needed_s = (
            min(backlog_s, admission_queue.MAX_EXPECTED_WAIT_S) + self.timing.prefill_s
        )
        return context.now_s + needed_s + decode_s > self.deadline_s

    def _reject_overloaded(
        self, context: decision_context.Context, wait_s: float
    ) -> list[data.Effect]:
        retry_s = admission_queue.retry_after_s(wait_s, context.random_source.random())
        return self._finish(
            decisions.Reject(decisions.FailureCause.ENGINES_FULL, retry_s)
        )

    def _can_be_queued(self) -> bool:
        return self.service.profile is not None and self.dispatches == 0

    def _can_run_again(self, context: decision_context.Context) -> bool:
        request = self._describe_dispatched(context)
        return silent_dispatch.find_run_obstacle(request, context) is None

    def _describe_dispatched(
        self, context: decision_context.Context
    ) -> silent_dispatch.DispatchedRequest:
        return silent_dispatch.DispatchedRequest(
            self.route,
            self.call,
            self.deadline_s,
            self.possible_runs,
            self._engine,
            self._make_requirements(context, frozenset(self._tried)),
            self.timing.latest_end_s,
        )

    def _on_silence(
        self, context: decision_context.Context
    ) -> list[data.Effect] | None:
        """Return what to do about a silent engine; None to move to another one."""
        request = self._describe_dispatched(context)
        self.move_obstacle = silent_dispatch.find_move_obstacle(request, context)
        if self.move_obstacle is None:
            return None
        if not silent_dispatch.is_wait_in_vain(request, self.move_obstacle, context):
            return []
        self._release_engine(context, ok=False)
        cancel = decisions.Cancel(self.dispatches)
        cause = decisions.FailureCause.ENGINE_FAILED
        return [cancel, *self._finish_unanswered(context, cause)]

    def _end(
        self, context: decision_context.Context, cause: decisions.FailureCause
    ) -> list[data.Effect]:
        """End the request, also at its engine."""
        if self.is_finished:
            return []
        had_engine = self._engine is not None
        self._release_engine(context, ok=False, weight=0)
        cancellations = [decisions.Cancel(self.dispatches)] if had_engine else []
        return cancellations + self._finish_unanswered(context, cause)

    def _finish_unanswered(
        self, context: decision_context.Context, cause: decisions.FailureCause
    ) -> list[data.Effect]:
        """End the request without an answer of an engine."""
        if self._streaming:
            return self._finish(decisions.BreakStream(cause))
        if self.possible_runs == 0:
            return self._finish(self._make_reject(context, cause))
        return self._finish(
            decisions.Fail(
                cause,
                timed_out=cause is decisions.FailureCause.DEADLINE_EXCEEDED,
            )
        )

    def _make_reject(
        self, context: decision_context.Context, cause: decisions.FailureCause
    ) -> decisions.Reject:
        base_s = RETRY_AFTER_BASE_S
        if cause is decisions.FailureCause.NO_ENGINE:
            base_s = max(NO_ENGINE_RETRY_AFTER_S, self._known_load_wait_s(context))
        if cause is decisions.FailureCause.REQUEST_CRASHES_ENGINES:
            base_s = QUARANTINE_RETRY_AFTER_S
        if cause is decisions.FailureCause.ENGINES_LIMITED:
            draw = context.random_source.random()
            wait_s = self._limit_wait_s(context)
            return decisions.Reject(cause, admission_queue.retry_after_s(wait_s, draw))
        if cause is decisions.FailureCause.LEAVING:
            return decisions.Reject(cause, LEAVING_RETRY_AFTER_S)
        jitter_s = context.random_source.random() * RETRY_AFTER_SPREAD_S
        return decisions.Reject(cause, base_s + jitter_s)

    def _finish(self, effect: data.Effect) -> list[data.Effect]:
        call_id = self.call.attempt_id
        invariants.check(
            not self.is_finished, invariants.Invariant.ONE_FINAL_OUTCOME, call_id
        )
        if isinstance(effect, decisions.Reject):
            invariants.check(
                self.possible_runs == 0, invariants.Invariant.NOT_RUN_IS_PROVED, call_id
            )
        self.is_finished = True
        return [effect]

    def _release_engine(
        self, context: decision_context.Context, ok: bool, weight: int = 1
    ) -> None:
        engine, self._engine = self._engine, None
        if engine is None:
            return
        engine.record_end()
        if ok:
            engine.record_success()
        elif weight:
            engine.record_failure(context.now_s, weight)
