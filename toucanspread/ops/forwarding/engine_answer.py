"""Receives the answer of an engine to one dispatch and classifies how it ended."""

import abc

from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import (
    decisions,
    engine_statement,
    event_stream,
    request_timing,
    stream_progress,
)
from toucanspread.ops.forwarding import dialect
from toucanspread.ops.http import (
    answer_flaws,
    http1,
    http1_client,
    http1_pool,
    receive_memory,
)

MAX_ANSWER_BYTES = 4_194_304  # the usual limit for a request
MAX_STREAM_BYTES = 16_777_216  # a caller that reads slowly leaves it in memory
UNAVAILABLE_STATUS = 503
MALFORMED_FAILURES = (
    http1_client.ExchangeFailure.MALFORMED,
    http1_client.ExchangeFailure.TOO_LARGE,
)


class DispatchListener(abc.ABC):
    """Receives the events of a dispatch."""

    call: entry_data.Call

    @abc.abstractmethod
    def on_engine_head(self, statement: engine_statement.EngineStatement) -> None:
        """Handle the head of an answer of the engine, and what that says of itself."""

    @abc.abstractmethod
    def on_begun(self, weights_version: int | None) -> None:
        """Handle that the engine has begun to answer.

        :param weights_version: version of the weights that it uses; None if not stated.
        """

    @abc.abstractmethod
    def on_stream_opened(self) -> None:
        """Handle the start of a stream."""

    @abc.abstractmethod
    def on_events(self, events: bytes, last_event_id: str | None) -> None:
        """Process complete events of a stream."""

    @abc.abstractmethod
    def on_answer(self, status: int) -> None:
        """Process a complete answer of the engine."""

    @abc.abstractmethod
    def on_failure(self, failure: decisions.DispatchFailure) -> None:
        """Handle a dispatch that ended without a complete answer."""

    def on_answer_flaw(self, flaw: answer_flaws.AnswerFlaw, status: int) -> None:
        """Record why an answer is not taken for that of the dispatch.

        :param status: that its head names.
        """
        return


class EngineAnswer(http1_client.AnswerListener):
    """Receives the answer to one dispatch and reports its events to a listener.

    :param is_continuation: whether the caller already has events of another dispatch.
    """

    max_body_bytes = MAX_ANSWER_BYTES
    account = receive_memory.ENGINE_ANSWERS

    def __init__(
        self,
        listener: DispatchListener,
        wire_dialect: dialect.Dialect,
        reactor,
        dispatch: decisions.SendToEngine,
        is_continuation: bool = False,
    ):
        self.head: http1.AnswerHead | None = None
        self.body = bytearray()
        self.address = dispatch.address
        self.engine_id = dispatch.engine_id
        self.outgoing: http1_pool.OutgoingRequest | None = None
        self._listener = listener
        self._dialect = wire_dialect
        self.singular_headers = (
            http1.SINGULAR_HEADERS | wire_dialect.singular_answer_headers
        )
        self._flaws: set[answer_flaws.AnswerFlaw] = set()
        self._reactor = reactor
        self._properties: dialect.AnswerProperties | None = None
        self._splitter: event_stream.EventSplitter | None = None
        self._progress = stream_progress.StreamProgress()
        self._is_continuation = is_continuation
        self._after_event_id = dispatch.last_event_id
        self._is_finished = False
        self._is_paused = False
        self._silence_timeout_s = dispatch.silence_timeout_s
        self._timer = reactor.callLater(dispatch.silence_timeout_s, self._on_timeout)

    @property
    def was_sent(self) -> bool:
        """Return whether the request was sent on a connection."""
        return self.outgoing is not None and self.outgoing.was_sent

    @property
    def held_bytes(self) -> int:
        """Return how much of the body is kept; of a stream, the incomplete event."""
        if self._splitter is not None:
            return self._splitter.buffered_bytes
        return len(self.body)

    def cancel(self) -> None:
        """Cancel the dispatch."""
        self._finish()
        self._release_body()
        if self.outgoing is not None:
            self.outgoing.cancel()

    def pause(self) -> None:
        """Stop reading the answer; meanwhile, the engine doesn't count as silent."""
        if self._is_finished or self._is_paused:
            return
        self._is_paused = True
        self._timer.cancel()
        self.outgoing.pause()

    def resume(self) -> None:
        """Read the answer again."""
        if self._is_finished or not self._is_paused:
            return
        self._is_paused = False
        self._timer = self._reactor.callLater(self._silence_timeout_s, self._on_timeout)
        self.outgoing.resume()

    def on_head(self, head: http1.AnswerHead) -> bool:
        """Process the head of an answer; skip an answer to an earlier request."""
        properties = self._dialect.read_answer(head, self._listener.call)
        if not properties.is_for_request:
            self.on_flaw(answer_flaws.AnswerFlaw.OTHER_REQUEST, head.status)
            return False
        if self._may_be_of_earlier_request(properties):
            self.on_flaw(answer_flaws.AnswerFlaw.NO_ID, head.status)
            self._abandon()
            return True
        self.head = head
        self._properties = properties
        if self._is_of_engine(properties):
            self._listener.on_engine_head(properties.statement)
        if properties.is_sealed and not properties.not_run:
            self._listener.on_begun(properties.weights_version)
        if properties.is_stream and properties.is_sealed and head.status == 200:
            self._splitter = event_stream.EventSplitter(
                self._is_continuation, self._after_event_id
            )
            self.max_body_bytes = MAX_STREAM_BYTES
            self._listener.on_stream_opened()
        return True

    def on_body_data(self, part: bytes) -> None:
        """Process a part of the body."""
        if self._is_finished:
            return
        if self._splitter is None:
            self.body += part
            return
        splitter = self._splitter
        events = splitter.feed(part)
        if self._progress.record(
            splitter.has_completed_event, splitter.partial_event_bytes
        ):
            self._restart_timer()
        if self._holds_another_head(events):
            self._abandon()
            return
        if events:
            self._listener.on_events(events, splitter.last_event_id)
        if splitter.is_event_too_large or splitter.is_wrong_continuation:
            self._abandon()

    def on_end(self) -> None:
        """Classify a complete answer."""
        if self._is_finished:
            return
        self._finish()
        self._report_end()
        self._release_body()

    def _report_end(self) -> None:
        properties = self._properties
        if properties.not_run and properties.instance not in ("", self.engine_id):
            self._listener.on_failure(decisions.DispatchFailure.OTHER_INSTANCE)
        elif properties.not_run:
            self._listener.on_failure(decisions.DispatchFailure.REJECTED)
        elif not properties.is_sealed or self._holds_another_head(self.body):
            self._listener.on_failure(decisions.DispatchFailure.MALFORMED)
        elif self._splitter is not None and self._splitter.has_partial_event:
            self._listener.on_failure(decisions.DispatchFailure.BROKEN)
        else:
            self._listener.on_answer(self.head.status)

    def on_failure(self, exchange_failure: http1_client.ExchangeFailure) -> None:
        """Report an exchange that ended without a complete answer."""
        if self._is_finished:
            return
        self._finish()
        self._release_body()
        failure = decisions.DispatchFailure.BROKEN
        if exchange_failure is http1_client.ExchangeFailure.NOT_CONNECTED:
            failure = decisions.DispatchFailure.NOT_CONNECTED
        elif exchange_failure is http1_client.ExchangeFailure.NOT_SENT:
            failure = decisions.DispatchFailure.WITHDRAWN_UNSENT
        elif exchange_failure in MALFORMED_FAILURES:
            failure = decisions.DispatchFailure.MALFORMED
        self._listener.on_failure(failure)

    def on_flaw(self, flaw: answer_flaws.AnswerFlaw, status: int) -> None:
        """Report why an answer is not taken for that of the dispatch, once each."""
        if flaw in self._flaws:
            return
        self._flaws.add(flaw)
        self._listener.on_answer_flaw(flaw, status)

    def _abandon(self) -> None:
        """Cancel the dispatch, as what the engine sends can't be used."""
        self.cancel()
        self._listener.on_failure(decisions.DispatchFailure.MALFORMED)

    def _may_be_of_earlier_request(self, properties: dialect.AnswerProperties) -> bool:
        """Return whether an answer without an id may be a late copy of another one."""
        if properties.is_identified or self.outgoing is None:
            return False
        return not self.outgoing.is_first_on_connection

    def _holds_another_head(self, body: bytes) -> bool:
        """Return whether a further answer to the request begins within its body."""
        attempt_id = self._listener.call.attempt_id.encode("latin-1")
        if not answer_flaws.holds_head_of(body, attempt_id):
            return False
        self.on_flaw(answer_flaws.AnswerFlaw.HEAD_IN_BODY, self.head.status)
        return True

    def _is_of_engine(self, properties: dialect.AnswerProperties) -> bool:
        """Return whether the engine of this dispatch has made the answer."""
        if properties.instance not in ("", self.engine_id):
            return False
        if self.head.status == UNAVAILABLE_STATUS:
            return True
        return properties.is_sealed or properties.not_run

    def _on_timeout(self) -> None:
        """Report silence; the listener cancels the dispatch or keeps waiting."""
        if self._is_finished:
            return
        self._timer = self._reactor.callLater(
            request_timing.SILENCE_RECHECK_S, self._on_timeout
        )
        self._listener.on_failure(decisions.DispatchFailure.SILENT)

    def _restart_timer(self) -> None:
        self._silence_timeout_s = request_timing.STREAM_GAP_TIMEOUT_S
        if self._timer.active():
            self._timer.reset(self._silence_timeout_s)

    def _release_body(self) -> None:
        """Release what was received, as a request may be kept for longer."""
        self.body = bytearray()
        self._splitter = None

    def _finish(self) -> None:
        self._is_finished = True
        if self._timer.active():
            self._timer.cancel()
