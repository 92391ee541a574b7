"""Decides on one caller's request, from its arrival to its final answer.

A :class:`RequestState` gets the events of the request and returns the actions to take.
It guarantees that a request that must not be repeated runs at most once, that "not run"
is only answered when it is certain, that a stream resumes exactly where it stopped, and
that no request is answered twice.

Each decision is a function of its own module: ``engine_choice``, ``admission``,
``engine_dispatch``, ``retries``, ``silent_dispatch``, ``withdrawal``, ``crash_reports``
and ``final_answers``.
"""

from toucanspread.core import data, invariants
from toucanspread.core.entry import (
    admission,
    crash_guard,
    crash_reports,
    decision_context,
    decisions,
    engine_backoff,
    engine_choice,
    engine_dispatch,
    engine_statement,
    engines,
    final_answers,
    region_rules,
    request_dispatches,
    request_record,
    request_timing,
    retries,
    silent_dispatch,
    withdrawal,
)
from toucanspread.core.entry import data as entry_data


class RequestState:
    """State of one request.

    :param declared_rank: priority of the team; None to use that of the route.
    :param allowed_regions: regions in which it may be served; None for all.
    :ivar deadline_s: time of the request's deadline, on the clock of ``now_s``.
    :ivar rank: declared priority; 0 is the most urgent.
    :ivar start_deadline_s: latest time at which an engine can start for an answer on
        time.
    :ivar running: the dispatches that are not over.
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
        allowed_regions: region_rules.Regions | None = None,
    ):
        self.arrived_s = arrived_s
        self.timing = request_timing.RequestTiming(route, service, call, arrived_s)
        self.deadline_s = self.timing.deadline_s
        self.start_deadline_s = self.timing.start_deadline_s
        self.is_finished = False
        self.move_obstacle: decisions.MoveObstacle | None = None
        self.rank = route.priority if declared_rank is None else declared_rank
        self._record = request_record.RequestRecord(
            self.timing, self.rank, call.last_event_id, allowed_regions=allowed_regions
        )
        self.running = request_dispatches.RequestDispatches()
        self._error_number: int | None = None

    @property
    def possible_runs(self) -> int:
        """Return the number of engines that may have begun to run the request."""
        return self._record.possible_runs

    @property
    def dispatches(self) -> int:
        """Return the number of times that the request was sent to an engine."""
        return self._record.dispatches

    @property
    def last_failure(self) -> decisions.DispatchFailure | None:
        """Return how the last dispatch that failed did so; None if none did."""
        return self._record.last_failure

    @property
    def engine_id(self) -> str:
        """Return the id of the engine that has the request, or an empty string.

        During a move, it is that of the engine to which the request moves.
        """
        return self.running.newest.engine_id

    def start(
        self, context: decision_context.Context, queued_prefill_s: float = 0.0
    ) -> list[data.Effect]:
        """Send the request to an engine, queue it, or reject it.

        :param queued_prefill_s: total ``prefill_s`` of the requests that are queued for
            the service.
        """
        call = self._record.call
        context.retry_budgets.record_request(self._record.service.name, context.now_s)
        if self.must_go_elsewhere(context):
            return self._finish_unanswered(context, decisions.FailureCause.LEAVING)
        permission = context.guard.admit(call, context.now_s)
        is_trial = permission is crash_guard.Admission.TRIAL
        self._record = self._record._replace(is_trial=is_trial)
        if permission is crash_guard.Admission.REFUSED:
            return self._refuse_quarantined(context)
        effect = admission.decide_arrival(self._record, queued_prefill_s, context)
        if effect is not None:
            return self._queue_or_finish(effect)
        return self._dispatch(context)

    def resume_queued(self, context: decision_context.Context) -> list[data.Effect]:
        """Try again to send a queued request to an engine.

        Entries notice at the same time that the limit of an engine allows one more
        request, so only about one of them tries at a time.
        """
        if crash_reports.is_quarantined(self._record, context):
            return self._refuse_quarantined(context)
        draw = context.random_source.random()
        skips_limited = draw * context.location.entry_count >= 1
        return self._dispatch(context, skips_limited)

    def on_engine_head(
        self,
        context: decision_context.Context,
        statement: engine_statement.EngineStatement,
        number: int | None = None,
    ) -> list[data.Effect]:
        """Handle the head of an answer of the engine, and what that says of itself.

        :param number: of the dispatch; None for the newest one.
        """
        dispatch = self.running.find(number)
        engine, sent_s = dispatch.engine, dispatch.sent_s
        if engine is None:
            return []
        engine.record_answering(context.now_s)
        context.guard.on_engine_alive(engine.incarnation, context.now_s, sent_s)
        if statement.backoff_s is not None:
            delay_s = engine_backoff.draw_return_delay_s(
                context.location.entry_count, context.random_source
            )
            backoff_s = statement.backoff_s + delay_s
            statement = statement._replace(backoff_s=backoff_s)
        notice = engine.apply_statement(statement, sent_s, context.now_s)
        return [] if notice is None else [decisions.NotifyEntries(notice)]

    def on_begun(self, now_s: float, number: int | None = None) -> None:
        """Record that the engine has begun to answer, before the first event.

        :param number: of the dispatch; None for the newest one.
        """
        dispatch = self.running.find(number)
        self.running.replace(dispatch._replace(head_s=now_s))

    def choose_dispatch(
        self, context: decision_context.Context, number: int
    ) -> list[data.Effect]:
        """Let only a dispatch go on whose answer can be used; cancel the other one.

        It is called before what comes of that answer is processed.
        """
        effects = self.running.choose(number, context.now_s)
        if effects:
            self.move_obstacle = None
        return effects

    def on_stream_opened(self) -> list[data.Effect]:
        """Handle the head of a stream; only the first one goes to the caller."""
        newest = self.running.newest
        self.running.replace(newest._replace(is_stream=True))
        if self._record.is_stream_open:
            return []
        self._record = self._record._replace(is_stream_open=True)
        return [decisions.OpenStream()]

    def on_events(self, now_s: float, last_event_id: str | None) -> bool:
        """Record that complete events were relayed to the caller.

        :return: whether the engine has now written for so long that the prompt does not
            crash it; True once for each dispatch.
        """
        self.move_obstacle = None
        if last_event_id is not None:
            self._record = self._record._replace(last_event_id=last_event_id)
        if self._engine is not None:
            self._engine.record_answering(now_s)
        dispatch = self.running.newest
        if dispatch.first_event_s is None:
            self.running.replace(dispatch._replace(first_event_s=now_s))
            engine_dispatch.record_prefill(self._record, dispatch, now_s)
            return False
        if dispatch.has_survived or not dispatch.has_run_for_a_while(now_s):
            return False
        self.running.replace(dispatch._replace(has_survived=True))
        return bool(self._record.call.suspect_parts)

    def on_survived(self, context: decision_context.Context) -> None:
        """Handle that the prompt does not crash its engine."""
        context.guard.on_survived(self._record.call, context.now_s)

    def on_answer(
        self,
        context: decision_context.Context,
        status: int,
        number: int | None = None,
        can_be_kept: bool = False,
    ) -> list[data.Effect]:
        """Handle a complete answer of the engine, or the regular end of its stream.

        :param number: of the dispatch; None for the newest one.
        :param can_be_kept: whether the answer can be relayed later.
        """
        is_stream_open = self._record.is_stream_open
        dispatch = self.running.find(number)
        if can_be_kept and status >= 500 and not is_stream_open:
            self._error_number = dispatch.number
        is_rest_missing = is_stream_open and not dispatch.is_stream
        is_usable = status < 500 and not is_rest_missing
        if not is_usable and self.running.is_moving:
            # The engine ran it and failed; the other one may still answer.
            return self.on_failure(context, decisions.DispatchFailure.FAILED, number)
        cancellations = self.choose_dispatch(context, dispatch.number)
        if status == 200:
            crash_reports.report_whole_answer(self._record, dispatch, context)
            if dispatch.first_event_s is None:
                engine_dispatch.record_prefill(self._record, dispatch, context.now_s)
        if is_usable:
            self._end_dispatch(context, ok=True)
            return cancellations + self._finish(
                decisions.CloseStream()
                if is_stream_open
                else decisions.RelayAnswer(dispatch.number)
            )
        # The engine ran the request and reports that it failed, or does not stream.
        self._end_dispatch(context, failure_weight=1)
        if not is_stream_open and not self._can_run_again(context):
            return self._finish(decisions.RelayAnswer(dispatch.number))
        return self._retry(context, decisions.DispatchFailure.FAILED)

    def on_failure(
        self,
        context: decision_context.Context,
        failure: decisions.DispatchFailure,
        number: int | None = None,
    ) -> list[data.Effect]:
        """Handle a dispatch that failed without a complete answer.

        :param number: of the dispatch; None for the newest one.
        """
        if self.is_finished:
            return []
        is_kept = self.running.is_kept(number)
        if failure is decisions.DispatchFailure.SILENT:
            return [] if is_kept else self._on_silence(context)
        self.move_obstacle = None
        dispatch = self.running.find(number)
        self._record = self._record._replace(last_failure=failure)
        if failure is decisions.DispatchFailure.BROKEN:
            crash_reports.report_break(self._record, dispatch, context)
        engine_dispatch.record_failure(dispatch, failure, context.now_s)
        cancellations = []
        if failure in decisions.UNFINISHED_FAILURES:
            cancellations = [decisions.Cancel(dispatch.number)]
        if failure in decisions.NOT_RUN_FAILURES:
            self._record = self._record.failed_without_run(dispatch.engine_id)
        was_moving = self.running.is_moving
        weight = decisions.failure_weight(failure)
        self.running.end(dispatch, context.now_s, failure_weight=weight)
        if is_kept:
            return cancellations
        if was_moving:
            return cancellations + self._move(context)
        return cancellations + self._retry(context, failure)

    def must_be_withdrawn(
        self,
        context: decision_context.Context,
        was_sent: bool,
        number: int | None = None,
    ) -> bool:
        """Return whether its engine could begin the request on weights too old.

        :param was_sent: whether the request was sent on a connection.
        :param number: of the dispatch; None for the newest one.
        """
        return withdrawal.must_be_withdrawn(
            self._record, self.running.find(number), context, was_sent
        )

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
        """End a request that waits at an engine if it matches a quarantine.

        One that has begun at an engine stays there, and only its move ends.
        """
        if self.is_finished or self._engine is None:
            return []
        if self.running.newest.first_event_s is not None:
            return []
        if not crash_reports.is_quarantined(self._record, context):
            return []
        kept = self.running.kept
        if kept is not None and kept.first_event_s is not None:
            return self.choose_dispatch(context, kept.number)
        return self.running.cancel_all(context.now_s) + self._refuse_quarantined(
            context
        )

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
        return self.running.cancel_all(context.now_s)

    @property
    def _engine(self) -> engines.Engine | None:
        """Return the engine that has the newest dispatch."""
        return self.running.newest.engine

    def _dispatch(
        self, context: decision_context.Context, skips_limited: bool = False
    ) -> list[data.Effect]:
        """Send the request to an engine, or queue or end it without one."""
        left_s = self.deadline_s - context.now_s
        if left_s < silent_dispatch.MIN_TIME_TO_DISPATCH_S:
            cause = decisions.FailureCause.DEADLINE_EXCEEDED
            return self._finish_unanswered(context, cause)
        if self.must_go_elsewhere(context):
            return self._finish_unanswered(context, decisions.FailureCause.LEAVING)
        engine = engine_choice.choose_engine(self._record, context, skips_limited)
        if engine is None:
            effect = admission.decide_without_engine(self._record, context)
            return self._queue_or_finish(effect)
        effect = admission.decide_with_engine(self._record, engine, context)
        if effect is not None:
            return self._queue_or_finish(effect)
        return self._send_to(engine, context)

    def _send_to(
        self, engine: engines.Engine, context: decision_context.Context
    ) -> list[data.Effect]:
        self._check_unfinished()
        engine_dispatch.check(self._record, engine, context)
        effects = engine_dispatch.send(self._record, engine, context)
        version = engine_dispatch.prompt_version(self._record, engine, context.now_s)
        self._record = self._record.sent_to(engine.entry.engine_id)
        self.running.add(
            engine_dispatch.Dispatch(
                self.dispatches, engine, context.now_s, version=version
            )
        )
        return effects

    def _on_silence(self, context: decision_context.Context) -> list[data.Effect]:
        """Move the request from a silent engine, or leave it there."""
        self._record = self._record._replace(
            last_failure=decisions.DispatchFailure.SILENT
        )
        cancellations = []
        if self.running.is_moving:
            if not self._gives_up_newest(context):
                return []
            cancellations = self.running.cancel(
                self.running.newest, context.now_s, request_dispatches.SILENCE_WEIGHT
            )
        effects = self._move(context)
        if effects or not silent_dispatch.is_wait_in_vain(
            self._engine, self.move_obstacle, context
        ):
            return cancellations + effects
        cause = decisions.FailureCause.ENGINE_FAILED
        cancellations += self.running.cancel_all(
            context.now_s, request_dispatches.SILENCE_WEIGHT
        )
        return cancellations + self._finish_unanswered(context, cause)

    def _gives_up_newest(self, context: decision_context.Context) -> bool:
        """Return whether nothing is heard of the second engine, or a third can begin.

        The second engine has been silent for a while.
        """
        engine = self.running.newest.engine
        if engine.is_silent(context.now_s):
            return True
        return silent_dispatch.find_move_obstacle(self._record, engine, context) is None

    def _move(self, context: decision_context.Context) -> list[data.Effect]:
        """Send the request to another engine, too, while its silent one keeps it.

        If it can't move, :attr:`move_obstacle` tells why.
        """
        obstacle = silent_dispatch.find_move_obstacle(
            self._record, self._engine, context
        )
        engine = None
        if obstacle is None:
            engine = engine_choice.choose_move(self._record, context)
        if obstacle is None and engine is None:
            obstacle = decisions.MoveObstacle.NO_FREE_ENGINE
        self.move_obstacle = obstacle
        if obstacle is not None:
            return []
        context.retry_budgets.acquire(
            self._record.service.name, context.now_s, context.location.entry_count
        )
        return self._send_to(engine, context)

    def _can_run_again(self, context: decision_context.Context) -> bool:
        return silent_dispatch.find_run_obstacle(self._record, context) is None

    def _retry(
        self,
        context: decision_context.Context,
        failure: decisions.DispatchFailure,
    ) -> list[data.Effect]:
        """Send the request to another engine if it may be retried, else end it."""
        cause = retries.claim_retry(self._record, self.running.newest, failure, context)
        if cause is not None:
            return self._finish_unanswered(context, cause)
        return self._dispatch(context)

    def _end(
        self, context: decision_context.Context, cause: decisions.FailureCause
    ) -> list[data.Effect]:
        """End the request, also at its engine."""
        if self.is_finished:
            return []
        return self.running.cancel_all(context.now_s) + self._finish_unanswered(
            context, cause
        )

    def _end_dispatch(
        self,
        context: decision_context.Context,
        ok: bool = False,
        failure_weight: int = 0,
    ) -> None:
        newest = self.running.newest
        self.running.end(newest, context.now_s, ok, failure_weight)

    def _refuse_quarantined(
        self, context: decision_context.Context
    ) -> list[data.Effect]:
        cause = decisions.FailureCause.REQUEST_CRASHES_ENGINES
        return self._finish_unanswered(context, cause)

    def _finish_unanswered(
        self, context: decision_context.Context, cause: decisions.FailureCause
    ) -> list[data.Effect]:
        """End the request; its answer is an engine's earlier error if there is one."""
        if self._error_number is not None and not self._record.is_stream_open:
            return self._finish(decisions.RelayAnswer(self._error_number))
        effect = final_answers.make_unanswered(self._record, cause, context)
        return self._finish(effect)

    def _queue_or_finish(self, effect: data.Effect) -> list[data.Effect]:
        if isinstance(effect, decisions.Enqueue):
            return [effect]
        if self._error_number is not None and isinstance(effect, decisions.Fail):
            return self._finish(decisions.RelayAnswer(self._error_number))
        return self._finish(effect)

    def _finish(self, effect: data.Effect) -> list[data.Effect]:
        self._check_unfinished()
        if isinstance(effect, decisions.Reject):
            invariants.check(
                self.possible_runs == 0,
                invariants.Invariant.NOT_RUN_IS_PROVED,
                self._record.call.attempt_id,
            )
        self.is_finished = True
        return [effect]

    def _check_unfinished(self) -> None:
        invariants.check(
            not self.is_finished,
            invariants.Invariant.ONE_FINAL_OUTCOME,
            self._record.call.attempt_id,
        )
