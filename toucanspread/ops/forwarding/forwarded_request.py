"""Carries out the decisions about one request and logs its outcome.

:mod:`toucanspread.core.entry.forwarding` makes the decisions.
"""

import abc
import collections
import functools
from collections.abc import Callable

import msgspec

from toucanspread.core import data
from toucanspread.core.entry import (
    cluster_state,
    decision_context,
    decisions,
    engine_dispatch,
    engine_obstacles,
    engine_requirements,
    engine_statement,
    forwarding,
    request_timing,
)
from toucanspread.core.entry import data as entry_data
from toucanspread.ops.forwarding import dialect, engine_answer, request_queue
from toucanspread.ops.http import answer_flaws, http1, http1_exchange, http1_pool
from toucanspread.ops.telemetry import logs, metric_buffer, statement_logs


class AbstractForwarder(abc.ABC):
    """Interface of the forwarder that its requests use.

    :ivar queue: the requests that wait at the entry.
    :ivar in_progress: the requests that are not finished.
    """

    cluster: cluster_state.ClusterState
    pool: http1_pool.ConnectionPool
    wire_dialect: dialect.Dialect
    queue: request_queue.RequestQueue
    in_progress: set["ForwardedRequest"]

    @abc.abstractmethod
    def is_closing(self) -> bool:
        """Return whether the entry is shutting down."""

    @abc.abstractmethod
    def make_decision_context(
        self, service: entry_data.Service
    ) -> decision_context.Context:
        """Return the context of a decision about a request of a service."""

    @abc.abstractmethod
    def choose_service(self, route: entry_data.Route) -> entry_data.Service | None:
        """Choose one of a route's services at random, by their weights."""

    @abc.abstractmethod
    def notify_prompt_sent(self, sent: entry_data.PromptSent) -> None:
        """Notify the entries of the zone of a prompt that is sent to an engine."""

    @abc.abstractmethod
    def notify_limit(self, notice: entry_data.LimitNotice) -> None:
        """Notify all entries of an engine's limit and of requests under it."""


def _ending_on_error(handle: Callable) -> Callable:
    """Let an error in the handling of an event end the request.

    What was decided before the error may not have been carried out, so nothing may be
    left of the request at its engine.
    """

    @functools.wraps(handle)
    def handle_or_end(
        request: "ForwardedRequest", *arguments: object, **options: object
    ) -> object:
        try:
            return handle(request, *arguments, **options)
        except Exception as error:
            request.abandon(error)
            raise

    return handle_or_end


class ForwardedRequest(engine_answer.DispatchListener, request_queue.QueueItem):
    """One caller's request: carries out the decisions about it."""

    def __init__(
        self,
        forwarder: AbstractForwarder,
        exchange: http1_exchange.Exchange,
        call: entry_data.Call,
        route: entry_data.Route,
        team: entry_data.Team | None,
    ):
        self.exchange = exchange
        self._body_bytes = len(exchange.body)
        self._forwarder = forwarder
        self._route = route
        self._team = team.name if team is not None else None
        self._team_priority = team.priority if team is not None else None
        self.service = forwarder.choose_service(route)
        self.call = _bound_prompt(call, route, self.service)
        self._state: forwarding.RequestState | None = None
        self._answer: engine_answer.EngineAnswer | None = None
        self._addresses: set[data.Address] = set()
        self._deadline_timer = None
        self._stream_timing = _StreamTiming()
        self._handlers = {
            decisions.SendToEngine: self._send,
            decisions.NotifyEntries: self._notify_entries,
            decisions.Enqueue: self._enqueue,
            decisions.Cancel: self._cancel,
            decisions.RelayAnswer: self._relay_answer,
            decisions.OpenStream: self._open_stream,
            decisions.CloseStream: self._close_stream,
            decisions.BreakStream: self._break_stream,
            decisions.Reject: self._reject,
            decisions.Fail: self._fail,
        }

    def start(self) -> None:
        """Start the request; its deadline counts from the receipt of its first byte."""
        if self.service is None:
            self._reject(decisions.Reject(decisions.FailureCause.NO_ENGINE, 1.0))
            return
        started_s = self.exchange.started_s
        self._state = forwarding.RequestState(
            self._route,
            self.service,
            self.call,
            started_s,
            self._team_priority,
        )
        self._forwarder.in_progress.add(self)
        self.exchange.on_disconnected = self._on_caller_disconnected
        self.exchange.on_drained = self._on_caller_drained
        reactor = self._forwarder.pool.reactor
        remaining_s = self._state.deadline_s - reactor.seconds()
        wait_s = max(remaining_s + request_timing.ENGINE_ANSWER_SLACK_S, 0.0)
        self._deadline_timer = reactor.callLater(wait_s, self._on_deadline)
        queue = self._forwarder.queue
        queue.shares.record_arrival(self._state.timing)
        queued_prefill_s = queue.sum_prefill_s(self.service.name)
        self.carry_out(
            self._state.start(self.make_decision_context(), queued_prefill_s)
        )

    @_ending_on_error
    def resume(self, has_turn: bool = False) -> bool:
        """Try again to find an engine; return whether the request stays queued."""
        return super().resume(has_turn)

    @property
    def state(self) -> forwarding.RequestState:
        """Return the state of the request, which makes the decisions."""
        return self._state

    def make_decision_context(self) -> decision_context.Context:
        """Return the context of a decision about this request."""
        return self._forwarder.make_decision_context(self.service)

    # Events of the engine's answer

    def on_engine_head(self, statement: engine_statement.EngineStatement) -> None:
        """Record what the engine says of itself."""
        was_leaving = self._state.engine_says_leaving
        effects = self._state.on_engine_head(self.make_decision_context(), statement)
        statement_logs.write(
            self._state.engine_id,
            statement,
            has_new_limit=bool(effects),
            begins_to_leave=self._state.engine_says_leaving and not was_leaving,
        )
        self.carry_out(effects)

    def on_begun(self, weights_version: int | None) -> None:
        """Record the begin of an answer, and log one on weights that are too old."""
        context = self.make_decision_context()
        self._state.on_begun(context.now_s)
        if weights_version is None or weights_version >= context.minimum_version:
            return
        metric_buffer.count("older_versions_begun")
        logs.write(
            "older_version_begun",
            id=self.call.attempt_id,
            engine=self._state.engine_id,
            version=weights_version,
            minimum_version=context.minimum_version,
            engine_wait_s=self._state.engine_wait_s,
        )

    def on_stream_opened(self) -> None:
        """Relay the head of a stream if no earlier dispatch has opened one."""
        self.carry_out(self._state.on_stream_opened())

    def on_events(self, events: bytes, last_event_id: str | None) -> None:
        """Relay complete events."""
        now_s = self._forwarder.pool.reactor.seconds()
        if self._state.on_events(now_s, last_event_id):
            self._state.on_survived(self.make_decision_context())
        self._stream_timing.record_events(now_s)
        self.exchange.write(events)
        if self.exchange.is_blocked:
            self._answer.pause()

    def on_answer_flaw(self, flaw: answer_flaws.AnswerFlaw) -> None:
        """Log and count an answer that is not taken for that of this request."""
        metric_buffer.count("answers_rejected", why=flaw.value)
        logs.write(
            "answer_rejected",
            id=self.call.attempt_id,
            engine=self._state.engine_id,
            why=flaw.value,
            number=self._state.dispatches,
        )

    @_ending_on_error
    def on_answer(self, status: int) -> None:
        """Process a complete answer of the engine."""
        self.carry_out(self._state.on_answer(self.make_decision_context(), status))

    @_ending_on_error
    def on_failure(self, failure: decisions.DispatchFailure) -> None:
        """Handle a dispatch that ended without a complete answer."""
        engine_id = self._state.engine_id
        number = self._state.dispatches
        if failure is decisions.DispatchFailure.SILENT:
            # The idle connections to a silent engine are probably dead as well.
            self._forwarder.pool.close_idle(self._answer.address)
        context = self.make_decision_context()
        report_age_s = self._state.engine_report_age_s(context.now_s)
        known_obstacle = self._state.move_obstacle
        effects = self._state.on_failure(context, failure)
        obstacle = self._state.move_obstacle
        if not effects and obstacle is known_obstacle:
            return
        logs.write(
            "dispatch_failed",
            id=self.call.attempt_id,
            engine=engine_id,
            why=failure.value,
            number=number,
            then=" ".join(effect.__struct_config__.tag for effect in effects) or "wait",
            obstacle=obstacle.value if obstacle is not None else "",
            report_age_s=report_age_s,
        )
        metric_buffer.count("dispatches_failed", why=failure.value)
        if obstacle is not None:
            metric_buffer.count("requests_not_moved", why=obstacle.value)
        self.carry_out(effects)

    @_ending_on_error
    def withdraw_if_outdated(self) -> None:
        """Withdraw the request if its engine could begin it on weights too old."""
        if self._answer is None:
            return
        was_sent = self._answer.was_sent
        if not self._state.must_be_withdrawn(self.make_decision_context(), was_sent):
            return
        failure = decisions.DispatchFailure.WITHDRAWN
        if not was_sent:
            failure = decisions.DispatchFailure.WITHDRAWN_UNSENT
        self.on_failure(failure)

    @_ending_on_error
    def on_quarantine(self) -> None:
        """Handle the begin of a quarantine of prompts that crash engines."""
        self.carry_out(self._state.on_quarantine(self.make_decision_context()))

    def on_leaving(self) -> None:
        """Handle that the entry leaves."""
        self.carry_out(self._state.on_leaving(self.make_decision_context()))

    def on_stop(self) -> None:
        """End the request, since the entry stops now."""
        if self._state.engine_id and not self._answer.was_sent:
            self.on_failure(decisions.DispatchFailure.WITHDRAWN_UNSENT)
        self.carry_out(self._state.on_stop(self.make_decision_context()))

    # Events of the caller and the clock

    @_ending_on_error
    def _on_caller_disconnected(self) -> None:
        engine_id = self._state.engine_id
        now_s = self._forwarder.pool.reactor.seconds()
        logs.write(
            "caller_left",
            id=self.call.attempt_id,
            route=self._route.name,
            engine=engine_id,
            after_s=now_s - self.exchange.started_s,
            **self._measure_size(),
        )
        metric_buffer.count("requests_left")
        self.carry_out(self._state.on_caller_disconnected(self.make_decision_context()))

    def _on_caller_drained(self) -> None:
        if self._answer is not None:
            self._answer.resume()

    @_ending_on_error
    def _on_deadline(self) -> None:
        self.carry_out(self._state.on_deadline(self.make_decision_context()))

    # Decisions

    def carry_out(self, effects: list[data.Effect]) -> None:
        """Carry out decisions, and release resources after the final answer."""
        for effect in effects:
            self._handlers[type(effect)](effect)
        if self._state is not None and self._state.is_finished:
            self._release()

    def abandon(self, error: Exception) -> None:
        """End the request after an error, also at its engine."""
        if self in self._forwarder.in_progress:
            self._log_error(error)
        if self._answer is not None:
            self._answer.cancel()
        self._release()
        if self.exchange.is_started:
            self.exchange.abort()
        else:
            headers = self._forwarder.wire_dialect.make_own_answer_headers(
                self.call, None
            )
            self.exchange.respond(502, headers)
        # Nobody waits for the request any more, as if its caller had left.
        self._state.on_caller_disconnected(self.make_decision_context())

    def _log_error(self, error: Exception) -> None:
        # A parser whose callback raises passes on another error, which names nothing.
        metric_buffer.count("requests_abandoned")
        logs.write(
            "request_abandoned",
            id=self.call.attempt_id,
            engine=self._state.engine_id,
            kind=type(error).__name__,
            why=str(error),
        )

    def _release(self) -> None:
        self._forwarder.in_progress.discard(self)
        self._forwarder.queue.remove(self)
        if self._deadline_timer is not None and self._deadline_timer.active():
            self._deadline_timer.cancel()

    def _send(self, effect: decisions.SendToEngine) -> None:
        forwarder = self._forwarder
        self._answer = engine_answer.EngineAnswer(
            self,
            forwarder.wire_dialect,
            forwarder.pool.reactor,
            effect,
            is_continuation=self._stream_timing.first_s is not None,
        )
        if self.call.prompt_tokens:
            forwarder.notify_prompt_sent(
                entry_data.PromptSent(
                    effect.engine_id, self.service.name, self.call.prompt_tokens
                )
            )
        if effect.number == 1:
            forwarder.queue.shares.record_begin(self._state.timing)
        metric_buffer.count("dispatches")
        logs.write(
            "request_dispatched",
            id=self.call.attempt_id,
            route=self._route.name,
            engine=effect.engine_id,
            number=effect.number,
            busy=effect.busy,
            busy_age_s=effect.busy_age_s,
            is_avoided=effect.is_avoided,
            backoff_left_s=effect.backoff_left_s,
            expected_version=effect.expected_version,
            configuration=forwarder.cluster.route_table.version,
        )
        outgoing = forwarder.pool.send(
            effect.address,
            functools.partial(self._render_for_engine, effect),
            self._answer,
            self._choose_max_idle_s(effect),
        )
        self._answer.outgoing = outgoing

    def _choose_max_idle_s(self, effect: decisions.SendToEngine) -> float | None:
        """Return how long the connection to an engine may have been idle.

        Another instance may have the address of one that had the request. A late copy
        of an answer there has the id of this request, too.
        """
        if effect.address in self._addresses:
            return engine_dispatch.NEW_CONNECTION_S
        self._addresses.add(effect.address)
        return effect.max_idle_s

    def _render_for_engine(self, effect: decisions.SendToEngine) -> bytes | None:
        """Return the request with the time that is left now.

        It is None if the engine may not get it any more.
        """
        context = self.make_decision_context()
        engine = context.registry.get(effect.engine_id)
        if engine is None or engine_obstacles.forbids_dispatch(engine, context.now_s):
            return None
        if self._state.must_be_withdrawn(context, was_sent=False):
            return None
        if self._state.must_go_elsewhere(context):
            return None
        left_s = self._state.deadline_s - self._forwarder.pool.reactor.seconds()
        head = self._forwarder.wire_dialect.make_engine_head(
            self.exchange.head,
            msgspec.structs.replace(effect, budget_s=min(effect.budget_s, left_s)),
            self._team,
        )
        return http1.render_request(head, self.exchange.body)

    def _notify_entries(self, effect: decisions.NotifyEntries) -> None:
        self._forwarder.notify_limit(effect.notice)

    def _enqueue(self, effect: decisions.Enqueue) -> None:
        self._forwarder.queue.add(self)
        metric_buffer.count("requests_held")

    def _cancel(self, effect: decisions.Cancel) -> None:
        if self._answer is not None:
            self._answer.cancel()

    def _relay_answer(self, effect: decisions.RelayAnswer) -> None:
        answer = self._answer
        metric_buffer.count("requests_answered", status=str(answer.head.status))
        self._observe_first_byte(answer.head.status)
        self.exchange.respond(
            answer.head.status,
            answer.head.get_forwardable_headers(),
            bytes(answer.body),
        )
        self._log_answer(answer.head.status)

    def _open_stream(self, effect: decisions.OpenStream) -> None:
        head = self._answer.head
        self._observe_first_byte(head.status)
        self.exchange.start(head.status, head.get_forwardable_headers())

    def _close_stream(self, effect: decisions.CloseStream) -> None:
        metric_buffer.count("requests_answered", status="200")
        self.exchange.finish()
        self._log_answer(200)

    def _break_stream(self, effect: decisions.BreakStream) -> None:
        self._log_end("stream_broken", effect.cause)
        metric_buffer.count(
            "streams_broken",
            why=effect.cause.value,
            is_leaving=str(self._forwarder.is_closing()),
        )
        self.exchange.abort()

    def _reject(self, effect: decisions.Reject) -> None:
        self._log_end("request_refused", effect.cause, effect.retry_after_s)
        metric_buffer.count("requests_refused", why=effect.cause.value)
        headers = self._forwarder.wire_dialect.make_own_answer_headers(
            self.call, effect.retry_after_s
        )
        self.exchange.respond(503, headers)

    def _fail(self, effect: decisions.Fail) -> None:
        self._log_end("request_failed", effect.cause)
        metric_buffer.count("requests_failed", why=effect.cause.value)
        headers = self._forwarder.wire_dialect.make_own_answer_headers(self.call, None)
        self.exchange.respond(504 if effect.timed_out else 502, headers)

    def _log_answer(self, status: int) -> None:
        now_s = self._forwarder.pool.reactor.seconds()
        first_s = (
            self._stream_timing.first_s
            if self._stream_timing.first_s is not None
            else now_s
        )
        logs.write(
            "request_answered",
            id=self.call.attempt_id,
            route=self._route.name,
            status=status,
            first_s=first_s - self.exchange.started_s,
            longest_pause_s=self._stream_timing.longest_pause_s,
            after_s=now_s - self.exchange.started_s,
            dispatches=self._state.dispatches,
            engine_wait_s=self._state.engine_wait_s,
            **self._measure_size(),
        )

    def _measure_size(self) -> dict[str, int]:
        """Return the fields of a log line that tell the size of the request."""
        return {
            "tokens": self.call.prompt_tokens,
            "output_tokens": self.call.output_tokens,
            "body_bytes": self._body_bytes,
        }

    def _log_end(
        self, event: str, cause: decisions.FailureCause, retry_after_s: float = 0.0
    ) -> None:
        now_s = self._forwarder.pool.reactor.seconds()
        minimum_version, causes = self._list_obstacles()
        counts = collections.Counter(causes)
        logs.write(
            event,
            id=self.call.attempt_id,
            route=self._route.name,
            why=cause.value,
            after_s=now_s - self.exchange.started_s,
            engine=self._answer.engine_id if self._answer is not None else "",
            last_failure=self._name_last_failure(),
            quiet_s=self._stream_timing.measure_quiet_s(now_s),
            is_leaving=self._forwarder.is_closing(),
            dispatches=self._state.dispatches if self._state else 0,
            retry_after_s=retry_after_s,
            engines_known=len(causes),
            engines_usable=counts.pop(None, 0),
            obstacles=",".join(f"{c.value}:{n}" for c, n in counts.items()),
            minimum_version=minimum_version,
            configuration=self._forwarder.cluster.route_table.version,
            **self._measure_size(),
        )

    def _name_last_failure(self) -> str:
        failure = self._state.last_failure if self._state is not None else None
        return failure.value if failure is not None else ""

    def _list_obstacles(
        self,
    ) -> tuple[int, list[engine_obstacles.Cause | None]]:
        """Return the minimum version, and why each engine may get no request."""
        if self.service is None:
            return 0, []
        context = self.make_decision_context()
        requirements = engine_requirements.EngineRequirements(
            self.service,
            context.minimum_version,
            upcoming_versions=context.upcoming_versions,
        )
        choice = engine_obstacles.Choice(requirements, context.location, context.now_s)
        causes = []
        for engine in context.registry.of_service(self.service.name):
            obstacle = engine_obstacles.find(engine, choice)
            causes.append(None if obstacle is None else obstacle.cause)
        return context.minimum_version, causes

    def _observe_first_byte(self, status: int) -> None:
        now_s = self._forwarder.pool.reactor.seconds()
        seconds = now_s - self.exchange.started_s
        metric_buffer.observe(
            "first_byte_seconds", seconds, kind=self._route.kind.value
        )


class _StreamTiming:
    """Times at which the events of a stream were relayed."""

    def __init__(self):
        self.first_s: float | None = None
        self.longest_pause_s = 0.0
        self._last_s = 0.0

    def record_events(self, now_s: float) -> None:
        """Record that events were relayed."""
        if self.first_s is None:
            self.first_s = now_s
        else:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self._last_s)
        self._last_s = now_s

    def measure_quiet_s(self, now_s: float) -> float | None:
        """Return the time since the last event; None before the first one."""
        return None if self.first_s is None else now_s - self._last_s


def _bound_prompt(
    call: entry_data.Call, route: entry_data.Route, service: entry_data.Service | None
) -> entry_data.Call:
    """Return a call whose prompt takes an engine no longer than the route allows."""
    if service is None or service.profile is None:
        return call
    max_tokens = int(route.timeout_s * service.profile.read_per_s)
    if call.prompt_tokens <= max_tokens:
        return call
    return msgspec.structs.replace(call, prompt_tokens=max_tokens)
