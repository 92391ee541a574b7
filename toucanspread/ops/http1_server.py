"""The serving side of HTTP/1.1: callers' connections, their requests, the answers.

What callers may send, and how long they may take, is bounded here; each refusal of the
protocol has its status. Everything else about a request is its handler's.
"""

import abc
from collections.abc import Iterable
from typing import NamedTuple

import httptools
from twisted.internet import protocol

from toucanspread.ops import http1, logs


class Limits(NamedTuple):
    """What a caller may send, and how long it may take.

    :param idle_s: how long a connection without a request stays open.
    """

    max_head_bytes: int = http1.MAX_HEAD_BYTES
    max_body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 5.0
    idle_s: float = 30.0


class RequestHandler(abc.ABC):
    """Answers the requests that arrive on a port."""

    @abc.abstractmethod
    def on_request(self, exchange: "Exchange") -> None:
        """Answer a request whose body is whole."""

    @abc.abstractmethod
    def get_limits(self) -> Limits:
        """Return the bounds in force."""

    @abc.abstractmethod
    def is_closing(self) -> bool:
        """Tell whether connections should end with their current answer."""


class Exchange:
    """One request on a serving connection, and its answer.

    :param arrived_s: when its last byte had come, on the reactor's clock.
    """

    def __init__(
        self, connection: "ServerConnection", head: http1.RequestHead, body: bytes
    ):
        self.head = head
        self.body = body
        self.received_s = connection.reactor.seconds()
        self.started_s = connection.request_started_s
        self.on_disconnected = _do_nothing
        self.is_finished = False
        self._connection = connection
        self._is_chunked = False
        self._is_started = False

    @property
    def is_started(self) -> bool:
        """Tell whether a part of the answer has been sent."""
        return self._is_started

    def respond(
        self, status: int, headers: Iterable[http1.Header] = (), body: bytes = b""
    ) -> None:
        """Send a whole answer."""
        if self.is_finished:
            return
        all_headers = list(headers)
        if status not in http1.NO_BODY_STATUSES:
            all_headers.append(http1.Header(b"Content-Length", b"%d" % len(body)))
        self._send_head(status, all_headers)
        if self.head.method != b"HEAD":
            self._connection.write(body)
        self._end()

    def start(self, status: int, headers: Iterable[http1.Header]) -> None:
        """Send the start of an answer whose length is not known yet."""
        if self.is_finished:
            return
        self._is_chunked = True
        all_headers = [*headers, http1.Header(b"Transfer-Encoding", b"chunked")]
        self._send_head(status, all_headers)

    def write(self, part: bytes) -> None:
        """Send a part of an answer that was started."""
        if self.is_finished or not part:
            return
        self._connection.write(b"%x\r\n%b\r\n" % (len(part), part))

    def finish(self) -> None:
        """Complete an answer that was started."""
        if self.is_finished:
            return
        if self._is_chunked:
            self._connection.write(http1.LAST_CHUNK)
        self._end()

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete."""
        if self.is_finished:
            return
        self.is_finished = True
        self._connection.abort()

    def handle_disconnect(self) -> None:
        """Tell the request's owner that the caller has left."""
        if self.is_finished:
            return
        self.is_finished = True
        self.on_disconnected()

    def _send_head(self, status: int, headers: list[http1.Header]) -> None:
        self._is_started = True
        if self._connection.closes_after_answer(self.head):
            headers.append(http1.Header(b"Connection", b"close"))
        start_line = f"HTTP/1.1 {status} {http1.get_reason_phrase(status)}".encode()
        self._connection.write(http1.render_head(start_line, headers))

    def _end(self) -> None:
        self.is_finished = True
        self.on_disconnected = _do_nothing
        self._connection.on_exchange_finished()


def _do_nothing() -> None:
    return


class ServerConnection(protocol.Protocol, http1.ParserCallbacks):
    """A connection that a caller opened.

    Requests are answered in the order in which they came, one at a time.
    """

    def __init__(self, handler: RequestHandler, reactor, connections: set):
        http1.ParserCallbacks.__init__(self)
        self.reactor = reactor
        self.request_started_s = 0.0
        self._handler = handler
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._body = bytearray()
        self._head: http1.RequestHead | None = None
        self._head_bytes = 0
        self._queued: list[tuple[http1.RequestHead, bytes]] = []
        self._current: Exchange | None = None
        self._is_closing = False
        self._is_closed = False
        self._rejected_status = 0
        self._timer = None

    # twisted's side

    def connectionMade(self) -> None:  # noqa: N802
        """Start waiting for a request."""
        self._connections.add(self)
        self.transport.setTcpNoDelay(True)
        self._start_timer(self._handler.get_limits().idle_s, self.close)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed the parser."""
        if self._is_closing:
            return
        if self._head is None:
            if self._head_bytes == 0:
                self._start_head()
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            # A refusal inside a callback surfaces as an error of the parser.
            self._refuse(self._rejected_status or 400)
        else:
            limits = self._handler.get_limits()
            if self._head is None and self._head_bytes > limits.max_head_bytes:
                self._refuse(431)
        # Not from within the parser, which would take an error of the handler for
        # one of the caller.
        self._start_next()

    def connectionLost(self, reason=protocol.connectionDone) -> None:  # noqa: N802
        """Tell the owner of the request in progress."""
        self._is_closed = True
        self._connections.discard(self)
        self._stop_timer()
        if self._current is not None:
            self._current.handle_disconnect()

    # the parser's side

    def on_headers_complete(self) -> None:
        """Check the head of a request."""
        limits = self._handler.get_limits()
        method = self._parser.get_method()
        self._head = http1.RequestHead(method, bytes(self._target), self._headers)
        self._body = bytearray()
        size_bytes = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size_bytes + len(self._target) > limits.max_head_bytes:
            self._reject_in_parser(431)
        length = self._head.get(b"content-length")
        if length is not None and int(length) > limits.max_body_bytes:
            self._reject_in_parser(413)
        if self._head.has_token(b"expect", b"100-continue") and self._current is None:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, part: bytes) -> None:
        """Collect the body of a request."""
        self._body += part
        if len(self._body) > self._handler.get_limits().max_body_bytes:
            self._reject_in_parser(413)

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        head, self._head = self._head, None
        self._head_bytes = 0
        self._stop_timer()
        self._queued.append((head, bytes(self._body)))
        self._body = bytearray()

    # what an exchange uses

    def write(self, payload: bytes) -> None:
        """Send bytes if the caller is still there."""
        if not self._is_closed and payload:
            self.transport.write(payload)

    def abort(self) -> None:
        """Close at once."""
        if not self._is_closed:
            self._is_closing = True
            self.transport.abortConnection()

    def close(self) -> None:
        """Close once what was written has gone out."""
        if not self._is_closed:
            self._is_closing = True
            self.transport.loseConnection()

    def closes_after_answer(self, head: http1.RequestHead) -> bool:
        """Tell whether the connection closes after the answer to a request."""
        if head.has_token(b"connection", b"close") or self._handler.is_closing():
            self._is_closing = True
        return self._is_closing

    def on_exchange_finished(self) -> None:
        """Go on with the next request, or close."""
        self._current = None
        if self._is_closing:
            self.close()
            return
        self._start_timer(self._handler.get_limits().idle_s, self.close)
        if self._queued:
            self.reactor.callLater(0, self._start_next)

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is being read or answered."""
        return self._current is None and not self._queued and not self._head_bytes

    # inside

    def _start_head(self) -> None:
        self.request_started_s = self.reactor.seconds()
        if self._current is None:
            self._start_timer(self._handler.get_limits().head_timeout_s, self._time_out)

    def _time_out(self) -> None:
        self._refuse(408)

    def _start_next(self) -> None:
        if self._current is not None or not self._queued or self._is_closing:
            return
        self._stop_timer()
        head, body = self._queued.pop(0)
        self._current = Exchange(self, head, body)
        try:
            self._handler.on_request(self._current)
        except Exception as error:
            logs.write("handler_failed", kind=type(error).__name__, why=str(error))
            self.abort()
            raise

    def _reject_in_parser(self, status: int) -> None:
        self._rejected_status = status
        raise ValueError(f"the request is refused with {status}")

    def _refuse(self, status: int) -> None:
        self._is_closing = True
        self._stop_timer()
        if self._current is not None:
            # The answer in progress would be mixed with the refusal.
            self._current.abort()
            return
        start_line = f"HTTP/1.1 {status} {http1.get_reason_phrase(status)}".encode()
        headers = [
            http1.Header(b"Content-Length", b"0"),
            http1.Header(b"Connection", b"close"),
        ]
        self.write(http1.render_head(start_line, headers))
        self.close()

    def _start_timer(self, timeout_s: float, callback) -> None:
        self._stop_timer()
        self._timer = self.reactor.callLater(timeout_s, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


class ServerFactory(protocol.Factory):
    """Accepts connections for a handler.

    :param reactor: whose clock bounds what callers may take.
    """

    noisy = False

    def __init__(self, handler: RequestHandler, reactor):
        self._handler = handler
        self._reactor = reactor
        self.connections: set[ServerConnection] = set()

    def buildProtocol(self, addr) -> ServerConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return ServerConnection(self._handler, self._reactor, self.connections)

    def close_idle(self) -> None:
        """Close the connections on which nothing is in progress."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()
