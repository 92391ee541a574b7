"""Handles the events of one dispatch of a caller's request.

A request that moves has two dispatches at the same time. The first of their answers
that can be used goes to the caller, and the other dispatch is cancelled.
"""

import abc
import functools
from collections.abc import Callable

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import (
    decision_context,
    decisions,
    engine_dispatch,
    engine_statement,
    forwarding,
)
from toucanspread.ops.forwarding import engine_answer, outcome_logs
from toucanspread.ops.http import (
    answer_flaws,
    http1_exchange,
    http1_pool,
    receive_memory,
)
from toucanspread.ops.telemetry import logs, metric_buffer, statement_logs

MAX_KEPT_BYTES = receive_memory.SMALL_BYTES  # of an error; no account counts it


class AbstractRequest(abc.ABC):
    """Interface of a caller's request that its dispatches use.

    :ivar exchange: the request and its answer on the caller's connection.
    :ivar stream_timing: when events were relayed to the caller.
    """

    call: entry_data.Call
    exchange: http1_exchange.Exchange
    stream_timing: outcome_logs.StreamTiming

    @property
    @abc.abstractmethod
    def state(self) -> forwarding.RequestState:
        """Return the state of the request, which makes the decisions."""

    @property
    @abc.abstractmethod
    def pool(self) -> http1_pool.ConnectionPool:
        """Return the connections to engines."""

    @abc.abstractmethod
    def make_decision_context(self) -> decision_context.Context:
        """Return the context of a decision about this request."""

    @abc.abstractmethod
    def carry_out(self, effects: list[data.Effect]) -> None:
        """Carry out decisions about the request."""

    @abc.abstractmethod
    def abandon(self, error: Exception) -> None:
        """End the request after an error, also at its engines."""


def ending_on_error(handle: Callable) -> Callable:
    """Let an error in the handling of an event end the request.

    What was decided before the error may not have been carried out, so nothing may be
    left of the request at its engines.
    """

    @functools.wraps(handle)
    def handle_or_end(handler, *arguments: object, **options: object) -> object:
        try:
            return handle(handler, *arguments, **options)
        except Exception as error:
            handler.abandon(error)
            raise

    return handle_or_end


class DispatchEvents(engine_answer.DispatchListener):
    """Passes the events of one dispatch to the state of its request.

    :param number: of the dispatch among those of the request.
    :ivar answer: of the engine.
    :ivar kept_body: of an error that is relayed if no other engine answers.
    """

    def __init__(self, request: AbstractRequest, number: int):
        self.call = request.call
        self.answer: engine_answer.EngineAnswer | None = None
        self.kept_body: bytes | None = None
        self._request = request
        self._number = number

    @property
    def _state(self) -> forwarding.RequestState:
        return self._request.state

    @property
    def _dispatch(self) -> engine_dispatch.Dispatch:
        return self._state.running.find(self._number)

    def abandon(self, error: Exception) -> None:
        """End the request after an error."""
        self._request.abandon(error)

    def on_engine_head(self, statement: engine_statement.EngineStatement) -> None:
        """Record what the engine says of itself."""
        was_leaving = self._dispatch.engine_says_leaving
        effects = self._state.on_engine_head(
            self._request.make_decision_context(), statement, self._number
        )
        statement_logs.write(
            self._dispatch.engine_id,
            statement,
            has_new_limit=bool(effects),
            begins_to_leave=self._dispatch.engine_says_leaving and not was_leaving,
        )
        self._request.carry_out(effects)

    def on_begun(self, weights_version: int | None) -> None:
        """Record the begin of an answer, and log one on weights that are too old."""
        context = self._request.make_decision_context()
        self._state.on_begun(context.now_s, self._number)
        if weights_version is None or weights_version >= context.minimum_version:
            return
        metric_buffer.count("older_versions_begun")
        logs.write(
            "older_version_begun",
            id=self.call.attempt_id,
            engine=self._dispatch.engine_id,
            version=weights_version,
            minimum_version=context.minimum_version,
            engine_wait_s=self._dispatch.engine_wait_s,
        )

    def on_stream_opened(self) -> None:
        """Relay the head of a stream if no earlier dispatch has opened one."""
        self._choose()
        self._request.carry_out(self._state.on_stream_opened())

    def on_events(self, events: bytes, last_event_id: str | None) -> None:
        """Relay complete events."""
        self._choose()
        context = self._request.make_decision_context()
        if self._state.on_events(context.now_s, last_event_id):
            self._state.on_survived(context)
        self._request.stream_timing.record_events(context.now_s)
        exchange = self._request.exchange
        exchange.write(events)
        if exchange.is_blocked:
            self.answer.pause()

    def on_answer_flaw(self, flaw: answer_flaws.AnswerFlaw, status: int) -> None:
        """Log and count an answer that is not taken for that of this request."""
        metric_buffer.count("answers_rejected", why=flaw.value)
        logs.write(
            "answer_rejected",
            id=self.call.attempt_id,
            engine=self._dispatch.engine_id,
            why=flaw.value,
            status=status,
            number=self._number,
        )

    @ending_on_error
    def on_answer(self, status: int) -> None:
        """Process a complete answer of the engine."""
        context = self._request.make_decision_context()
        was_moving = self._state.running.is_moving
        can_be_kept = status >= 500 and len(self.answer.body) <= MAX_KEPT_BYTES
        if can_be_kept:
            self.kept_body = bytes(self.answer.body)
        effects = self._state.on_answer(context, status, self._number, can_be_kept)
        if was_moving:
            self._log_move(effects)
        self._request.carry_out(effects)

    @ending_on_error
    def on_failure(self, failure: decisions.DispatchFailure) -> None:
        """Handle a dispatch that ended without a complete answer."""
        engine_id = self._dispatch.engine_id
        if failure is decisions.DispatchFailure.SILENT:
            # The idle connections to a silent engine are probably dead as well.
            self._request.pool.close_idle(self.answer.address)
        context = self._request.make_decision_context()
        report_age_s = self._dispatch.report_age_s(context.now_s)
        known_obstacle = self._state.move_obstacle
        effects = self._state.on_failure(context, failure, self._number)
        obstacle = self._state.move_obstacle
        is_silent = failure is decisions.DispatchFailure.SILENT
        if is_silent and not effects and obstacle is known_obstacle:
            return
        logs.write(
            "dispatch_failed",
            id=self.call.attempt_id,
            engine=engine_id,
            why=failure.value,
            number=self._number,
            then=" ".join(effect.__struct_config__.tag for effect in effects) or "wait",
            obstacle=obstacle.value if obstacle is not None else "",
            report_age_s=report_age_s,
        )
        metric_buffer.count("dispatches_failed", why=failure.value)
        if obstacle is not None:
            metric_buffer.count("requests_not_moved", why=obstacle.value)
        self._request.carry_out(effects)

    @ending_on_error
    def withdraw_if_outdated(self) -> None:
        """Withdraw the dispatch if its engine could begin it on weights too old."""
        if self._number not in self._state.running.live_numbers:
            # The withdrawal of another dispatch has ended this one.
            return
        was_sent = self.answer.was_sent
        context = self._request.make_decision_context()
        if not self._state.must_be_withdrawn(context, was_sent, self._number):
            return
        failure = decisions.DispatchFailure.WITHDRAWN
        if not was_sent:
            failure = decisions.DispatchFailure.WITHDRAWN_UNSENT
        self.on_failure(failure)

    def _choose(self) -> None:
        """Let only this dispatch go on, since its answer can be used."""
        context = self._request.make_decision_context()
        effects = self._state.choose_dispatch(context, self._number)
        self._log_move(effects)
        self._request.carry_out(effects)

    def _log_move(self, effects: list[data.Effect]) -> None:
        """Log the end of a move, which cancels the other dispatch."""
        cancelled = [each for each in effects if isinstance(each, decisions.Cancel)]
        if not cancelled:
            return
        is_return = cancelled[0].number > self._number
        metric_buffer.count("moves_ended", is_return=str(is_return))
        logs.write(
            "move_ended",
            id=self.call.attempt_id,
            engine=self._dispatch.engine_id,
            number=self._number,
            is_return=is_return,
        )
