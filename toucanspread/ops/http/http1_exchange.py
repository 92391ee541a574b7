"""One request on an accepted connection and its answer."""

import abc
from collections.abc import Iterable

from toucanspread.ops.http import http1


class AnswerConnection(abc.ABC):
    """Connection on which the answers to requests are sent.

    :ivar reactor: provides the clock.
    :ivar request_started_s: when the first byte of the last request was received.
    :ivar is_blocked: whether the transport holds more than it should.
    """

    request_started_s: float
    is_blocked: bool

    @abc.abstractmethod
    def write(self, payload: bytes) -> None:
        """Send bytes unless the connection is closed."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection at once."""

    @abc.abstractmethod
    def reset_unless_complete(self) -> None:
        """Let the connection end with a reset until everything has been sent."""

    @abc.abstractmethod
    def closes_after_answer(self, head: http1.RequestHead, is_whole: bool) -> bool:
        """Return whether to announce that the connection closes after an answer.

        :param head: of the request.
        :param is_whole: whether all of the answer follows at once.
        """

    @abc.abstractmethod
    def on_exchange_finished(self) -> None:
        """Continue with the next request, or close the connection."""


class Exchange:
    """One request on an accepted connection, and its answer.

    :ivar body: empty once the exchange is finished.
    :ivar received_s: when its last byte was received, on the reactor's clock.
    :ivar started_s: when its first byte was received, on the reactor's clock.
    :ivar on_disconnected: called if the caller disconnects before the answer is
        complete.
    :ivar on_drained: called when the caller has read what kept the answer blocked.
    """

    def __init__(
        self, connection: AnswerConnection, head: http1.RequestHead, body: bytes
    ):
        self.head = head
        self.body = body
        self.received_s = connection.reactor.seconds()
        self.started_s = connection.request_started_s
        self.on_disconnected = _do_nothing
        self.on_drained = _do_nothing
        self.is_finished = False
        self._connection = connection
        self._is_chunked = False
        self._is_started = False

    @property
    def _has_no_body(self) -> bool:
        """Return whether the answer consists of its head only."""
        return self.head.method == b"HEAD"

    @property
    def is_started(self) -> bool:
        """Return whether a part of the answer has been sent."""
        return self._is_started

    @property
    def is_blocked(self) -> bool:
        """Return whether much of the answer waits for the caller to read it."""
        return self._connection.is_blocked

    def respond(
        self, status: int, headers: Iterable[http1.Header] = (), body: bytes = b""
    ) -> None:
        """Send a complete answer."""
        if self.is_finished:
            return
        all_headers = list(headers)
        if status not in http1.NO_BODY_STATUSES:
            all_headers.append(http1.Header(b"Content-Length", b"%d" % len(body)))
        self._send_head(status, all_headers, is_whole=True)
        if not self._has_no_body:
            self._connection.write(body)
        self._end()

    def start(self, status: int, headers: Iterable[http1.Header]) -> None:
        """Send the head of an answer whose length is not known yet.

        It is sent in chunks; to an HTTP/1.0 caller, it ends with the connection, in
        order if it is complete and by a reset otherwise.
        """
        if self.is_finished:
            return
        self._is_chunked = self.head.accepts_chunks
        all_headers = list(headers)
        if self._is_chunked:
            all_headers.append(http1.Header(b"Transfer-Encoding", b"chunked"))
        else:
            self._connection.reset_unless_complete()
        self._send_head(status, all_headers, is_whole=False)

    def write(self, part: bytes) -> None:
        """Send a part of the body of a started answer."""
        if self.is_finished or not part or self._has_no_body:
            return
        if not self._is_chunked:
            self._connection.write(part)
            return
        self._connection.write(b"%x\r\n%b\r\n" % (len(part), part))

    def finish(self) -> None:
        """Complete a started answer."""
        if self.is_finished:
            return
        if self._is_chunked and not self._has_no_body:
            self._connection.write(http1.LAST_CHUNK)
        self._end()

    def abort(self) -> None:
        """Close the connection so that the answer is recognisably incomplete."""
        if self.is_finished:
            return
        self.is_finished = True
        self.body = b""
        self._connection.abort()

    def handle_disconnect(self) -> None:
        """Report that the caller has disconnected, unless the answer is complete."""
        if self.is_finished:
            return
        self.is_finished = True
        self.body = b""
        self.on_disconnected()

    def _send_head(
        self, status: int, headers: list[http1.Header], is_whole: bool
    ) -> None:
        self._is_started = True
        if self._connection.closes_after_answer(self.head, is_whole):
            headers.append(http1.Header(b"Connection", b"close"))
        start_line = f"HTTP/1.1 {status} {http1.get_reason_phrase(status)}".encode()
        self._connection.write(http1.render_head(start_line, headers))

    def _end(self) -> None:
        self.is_finished = True
        self.body = b""
        self.on_disconnected = _do_nothing
        self.on_drained = _do_nothing
        self._connection.on_exchange_finished()


def _do_nothing() -> None:
    return
