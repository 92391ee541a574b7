"""Carries out the decisions about one request and logs its outcome.

:mod:`toucanspread.core.entry.forwarding` makes the decisions.
"""

import abc
import functools

import msgspec

from toucanspread.core import data
from toucanspread.core.entry import (
    cluster_state,
    decision_context,
    decisions,
    engine_dispatch,
    engine_obstacles,
    forwarding,
    region_rules,
    request_timing,
)
from toucanspread.core.entry import data as entry_data
from toucanspread.ops.forwarding import (
    dialect,
    dispatch_events,
    engine_answer,
    outcome_logs,
    request_queue,
)
from toucanspread.ops.http import http1, http1_exchange, http1_pool
from toucanspread.ops.telemetry import logs, metric_buffer


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


class ForwardedRequest(dispatch_events.AbstractRequest, request_queue.QueueItem):
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
        self._forwarder = forwarder
        self._route = route
        self.team = team.name if team is not None else None
        self._team_priority = team.priority if team is not None else None
        self.allowed_regions = region_rules.combine(route, team)
        self.service = forwarder.choose_service(route)
        self.call = _bound_prompt(call, route, self.service)
        self._state: forwarding.RequestState | None = None
        self._dispatches: dict[int, dispatch_events.DispatchEvents] = {}
        self._addresses: set[data.Address] = set()
        self._deadline_timer = None
        self.stream_timing = outcome_logs.StreamTiming()
        self._outcome_log = outcome_logs.OutcomeLog(
            self.call, route, exchange.started_s, len(exchange.body), self.stream_timing
        )
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
            self.allowed_regions,
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
        queue.rank_shares.record_arrival(self._state.rank, self._now_s)
        context = self.make_decision_context()
        rank = self._state.rank if context.priorities is not None else None
        queued_prefill_s = queue.sum_prefill_s(self.queue_key, rank)
        self.carry_out(self._state.start(context, queued_prefill_s))

    @dispatch_events.ending_on_error
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

    @property
    def pool(self) -> http1_pool.ConnectionPool:
        """Return the connections to engines."""
        return self._forwarder.pool

    @property
    def _answer(self) -> engine_answer.EngineAnswer | None:
        """Return the answer that the caller gets; None before the first dispatch."""
        if self._state is None or not self._dispatches:
            return None
        return self._dispatches[self._state.running.newest.number].answer

    # Events of the entry

    def withdraw_if_outdated(self) -> None:
        """Withdraw the request if an engine could begin it on weights too old."""
        for number in self._state.running.live_numbers:
            self._dispatches[number].withdraw_if_outdated()

    @dispatch_events.ending_on_error
    def on_quarantine(self) -> None:
        """Handle the begin of a quarantine of prompts that crash engines."""
        self.carry_out(self._state.on_quarantine(self.make_decision_context()))

    def on_leaving(self) -> None:
        """Handle that the entry leaves."""
        self.carry_out(self._state.on_leaving(self.make_decision_context()))

    def on_stop(self) -> None:
        """End the request, since the entry stops now."""
        if self._state.engine_id and not self._answer.was_sent:
            newest = self._dispatches[self._state.running.newest.number]
            newest.on_failure(decisions.DispatchFailure.WITHDRAWN_UNSENT)
        self.carry_out(self._state.on_stop(self.make_decision_context()))

    # Events of the caller and the clock

    @dispatch_events.ending_on_error
    def _on_caller_disconnected(self) -> None:
        self._outcome_log.write_caller_left(self._state.engine_id, self._now_s)
        metric_buffer.count("requests_left")
        self.carry_out(self._state.on_caller_disconnected(self.make_decision_context()))

    def _on_caller_drained(self) -> None:
        if self._answer is not None:
            self._answer.resume()

    @dispatch_events.ending_on_error
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
            # A parser whose callback raises passes on another error, naming nothing.
            metric_buffer.count("requests_abandoned")
            self._outcome_log.write_abandoned(self._state.engine_id, error)
        for dispatch in self._dispatches.values():
            dispatch.answer.cancel()
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

    def _release(self) -> None:
        self._forwarder.in_progress.discard(self)
        self._forwarder.queue.remove(self)
        if self._deadline_timer is not None and self._deadline_timer.active():
            self._deadline_timer.cancel()

    def _send(self, effect: decisions.SendToEngine) -> None:
        forwarder = self._forwarder
        dispatch = dispatch_events.DispatchEvents(self, effect.number)
        dispatch.answer = engine_answer.EngineAnswer(
            dispatch,
            forwarder.wire_dialect,
            forwarder.pool.reactor,
            effect,
            is_continuation=self.stream_timing.first_s is not None,
        )
        self._dispatches[effect.number] = dispatch
        if self.call.prompt_tokens:
            forwarder.notify_prompt_sent(
                entry_data.PromptSent(
                    effect.engine_id,
                    self.service.name,
                    self.call.prompt_tokens - effect.reused_tokens,
                )
            )
        if effect.number == 1:
            forwarder.queue.shares.record_begin(self._state.timing)
            forwarder.queue.rank_shares.record_begin(self._state.rank)
            forwarder.queue.team_shares.record_begin(
                self.team, self.call.prompt_tokens, self._now_s
            )
        metric_buffer.count("dispatches")
        if effect.cold_left_s > 0:
            metric_buffer.count("dispatches_to_cold_engines")
        if effect.reused_tokens:
            metric_buffer.count("prompt_tokens_reused", effect.reused_tokens)
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
            cold_left_s=effect.cold_left_s,
            reused_tokens=effect.reused_tokens,
            expected_version=effect.expected_version,
            configuration=forwarder.cluster.route_table.version,
        )
        outgoing = forwarder.pool.send(
            effect.address,
            functools.partial(self._render_for_engine, effect),
            dispatch.answer,
            self._choose_max_idle_s(effect),
        )
        dispatch.answer.outgoing = outgoing

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
        assigned_s = self._state.running.find(effect.number).sent_s
        if engine is None or engine_obstacles.forbids_dispatch(
            engine, context.now_s, self.service, assigned_s
        ):
            return None
        if self._state.must_be_withdrawn(context, False, effect.number):
            return None
        if self._state.must_go_elsewhere(context):
            return None
        left_s = self._state.deadline_s - self._now_s
        head = self._forwarder.wire_dialect.make_engine_head(
            self.exchange.head,
            msgspec.structs.replace(effect, budget_s=min(effect.budget_s, left_s)),
            self.team,
        )
        return http1.render_request(head, self.exchange.body)

    def _notify_entries(self, effect: decisions.NotifyEntries) -> None:
        self._forwarder.notify_limit(effect.notice)

    def _enqueue(self, effect: decisions.Enqueue) -> None:
        self._forwarder.queue.add(self)
        metric_buffer.count("requests_held")

    def _cancel(self, effect: decisions.Cancel) -> None:
        self._dispatches[effect.number].answer.cancel()

    def _relay_answer(self, effect: decisions.RelayAnswer) -> None:
        dispatch = self._dispatches[effect.number]
        answer = dispatch.answer
        body = dispatch.kept_body
        if body is None:
            body = bytes(answer.body)
        status = answer.head.status
        metric_buffer.count("requests_answered", status=str(status))
        self._observe_first_byte(status)
        self.exchange.respond(status, answer.head.get_forwardable_headers(), body)
        self._outcome_log.write_answer(status, self._state, self._now_s)

    def _open_stream(self, effect: decisions.OpenStream) -> None:
        head = self._answer.head
        self._observe_first_byte(head.status)
        self.exchange.start(head.status, head.get_forwardable_headers())

    def _close_stream(self, effect: decisions.CloseStream) -> None:
        metric_buffer.count("requests_answered", status="200")
        self.exchange.finish()
        self._outcome_log.write_answer(200, self._state, self._now_s)

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

    @property
    def _now_s(self) -> float:
        return self._forwarder.pool.reactor.seconds()

    def _log_end(
        self, event: str, cause: decisions.FailureCause, retry_after_s: float = 0.0
    ) -> None:
        state, answer = self._state, self._answer
        failure = state.last_failure if state is not None else None
        fields = {
            "engine": answer.engine_id if answer is not None else "",
            "last_failure": failure.value if failure is not None else "",
            "is_leaving": self._forwarder.is_closing(),
            "dispatches": state.dispatches if state is not None else 0,
            "retry_after_s": retry_after_s,
            "configuration": self._forwarder.cluster.route_table.version,
        }
        context = None
        if self.service is not None:
            context = self.make_decision_context()
        self._outcome_log.write_end(
            event, cause, fields, self.service, context, self._now_s
        )

    def _observe_first_byte(self, status: int) -> None:
        seconds = self._now_s - self.exchange.started_s
        metric_buffer.observe(
            "first_byte_seconds", seconds, kind=self._route.kind.value
        )


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
