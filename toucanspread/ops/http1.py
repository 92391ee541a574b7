"""HTTP/1.1 on both sides of a connection, with control over how messages end.

A relay of answers has to see what a high-level client hides: a length that was not
reached, bytes after a complete answer, an answer that ends with its connection, the
answer of an earlier request. The parser is ``httptools``; what is decided about a
message stays with the caller of this module.
"""

import abc
import enum
import http
from collections.abc import Iterable
from typing import NamedTuple

import httptools
from twisted.internet import error, protocol

MAX_HEAD_BYTES = 65_536  # of an answer's or an internal request's head
LAST_CHUNK = b"0\r\n\r\n"
SINGLE_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
NO_BODY_STATUSES = frozenset({204, 304})


class Header(NamedTuple):
    """One header line."""

    name: bytes
    value: bytes


class Head:
    """The headers of a message, in their order and spelling.

    :param headers: as they came.
    """

    def __init__(self, headers: list[Header]):
        self.headers = headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None.

        :param name: in lower case.
        """
        for header in self.headers:
            if header.name.lower() == name:
                return header.value
        return None

    def count(self, name: bytes) -> int:
        """Return how many lines a header has."""
        return sum(header.name.lower() == name for header in self.headers)

    def forwardable(self, dropped: frozenset[bytes] = frozenset()) -> list[Header]:
        """Return the headers that concern more than one connection.

        :param dropped: further names to leave out, in lower case.
        """
        named = self._named_by_connection()
        kept = []
        for header in self.headers:
            lower = header.name.lower()
            if lower in SINGLE_HOP or lower in named or lower in dropped:
                continue
            kept.append(header)
        return kept

    def says(self, name: bytes, token: bytes) -> bool:
        """Tell whether a list header holds a token."""
        for header in self.headers:
            if header.name.lower() != name:
                continue
            if token in [item.strip().lower() for item in header.value.split(b",")]:
                return True
        return False

    def _named_by_connection(self) -> set[bytes]:
        value = self.get(b"connection")
        if value is None:
            return set()
        return {item.strip().lower() for item in value.split(b",")}


class RequestHead(Head):
    """The start of a request.

    :param target: path and query, as sent.
    """

    def __init__(self, method: bytes, target: bytes, headers: list[Header]):
        super().__init__(headers)
        self.method = method
        self.target = target


class AnswerHead(Head):
    """The start of an answer."""

    def __init__(self, status: int, headers: list[Header]):
        super().__init__(headers)
        self.status = status


def reason_phrase(status: int) -> str:
    """Return the usual words for a status."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"


def render_head(start: bytes, headers: Iterable[Header]) -> bytes:
    """Return the bytes of a message's head."""
    lines = [start]
    lines.extend(b"%b: %b" % header for header in headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def render_request(head: RequestHead, body: bytes) -> bytes:
    """Return the bytes of a request whose body is whole."""
    headers = list(head.headers)
    if body or head.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append(Header(b"Content-Length", b"%d" % len(body)))
    return render_head(b"%b %b HTTP/1.1" % (head.method, head.target), headers) + body


class _Parsing:
    """Collects what the parser calls back with; the base of both sides."""

    def __init__(self):
        self._headers: list[Header] = []
        self._target = bytearray()

    def on_message_begin(self) -> None:
        self._headers = []
        self._target = bytearray()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append(Header(name, value))


# --- the serving side ---------------------------------------------------------------


class Bounds(NamedTuple):
    """What a caller may send, and how long it may take.

    :param idle_s: how long a connection without a request stays open.
    """

    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 5.0
    idle_s: float = 30.0


class Handler(abc.ABC):
    """Answers the requests that arrive on a port."""

    @abc.abstractmethod
    def on_request(self, exchange: "Exchange") -> None:
        """Answer a request whose body is whole."""

    @abc.abstractmethod
    def bounds(self) -> Bounds:
        """Return the bounds in force."""

    @abc.abstractmethod
    def is_closing(self) -> bool:
        """Tell whether connections should end with their current answer."""


class Exchange:
    """One request on a serving connection, and its answer.

    :param arrived_s: when its last byte had come, on the reactor's clock.
    """

    def __init__(self, connection: "ServerConnection", head: RequestHead, body: bytes):
        self.head = head
        self.body = body
        self.arrived_s = connection.reactor.seconds()
        self.began_s = connection.request_began_s
        self.on_lost = _nothing
        self.is_over = False
        self._connection = connection
        self._chunked = False
        self._started = False

    @property
    def is_started(self) -> bool:
        """Tell whether a part of the answer has been sent."""
        return self._started

    def respond(
        self, status: int, headers: Iterable[Header] = (), body: bytes = b""
    ) -> None:
        """Send a whole answer."""
        if self.is_over:
            return
        sent = list(headers)
        if status not in NO_BODY_STATUSES:
            sent.append(Header(b"Content-Length", b"%d" % len(body)))
        self._send_head(status, sent)
        if self.head.method != b"HEAD":
            self._connection.write(body)
        self._end()

    def start(self, status: int, headers: Iterable[Header]) -> None:
        """Send the start of an answer whose length is not known yet."""
        if self.is_over:
            return
        self._chunked = True
        sent = [*headers, Header(b"Transfer-Encoding", b"chunked")]
        self._send_head(status, sent)

    def write(self, piece: bytes) -> None:
        """Send a part of an answer that was started."""
        if self.is_over or not piece:
            return
        self._connection.write(b"%x\r\n%b\r\n" % (len(piece), piece))

    def finish(self) -> None:
        """Complete an answer that was started."""
        if self.is_over:
            return
        if self._chunked:
            self._connection.write(LAST_CHUNK)
        self._end()

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete."""
        if self.is_over:
            return
        self.is_over = True
        self._connection.abort()

    def lost(self) -> None:
        """Tell the request's owner that the caller has left."""
        if self.is_over:
            return
        self.is_over = True
        self.on_lost()

    def _send_head(self, status: int, headers: list[Header]) -> None:
        self._started = True
        if self._connection.ends_after_answer(self.head):
            headers.append(Header(b"Connection", b"close"))
        start = f"HTTP/1.1 {status} {reason_phrase(status)}".encode()
        self._connection.write(render_head(start, headers))

    def _end(self) -> None:
        self.is_over = True
        self.on_lost = _nothing
        self._connection.exchange_ended()


def _nothing() -> None:
    return


class ServerConnection(protocol.Protocol, _Parsing):
    """A connection that a caller opened.

    Requests are answered in the order in which they came, one at a time.
    """

    def __init__(self, handler: Handler, reactor, connections: set):
        _Parsing.__init__(self)
        self.reactor = reactor
        self.request_began_s = 0.0
        self._handler = handler
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._body = bytearray()
        self._head: RequestHead | None = None
        self._head_bytes = 0
        self._waiting: list[tuple[RequestHead, bytes]] = []
        self._current: Exchange | None = None
        self._closing = False
        self._closed = False
        self._refused_status = 0
        self._timer = None

    # twisted's side

    def connectionMade(self) -> None:  # noqa: N802
        """Start waiting for a request."""
        self._connections.add(self)
        self.transport.setTcpNoDelay(True)
        self._wait(self._handler.bounds().idle_s, self.close)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed the parser."""
        if self._closing:
            return
        if self._head is None:
            if self._head_bytes == 0:
                self._begin_head()
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            # A refusal inside a callback surfaces as an error of the parser.
            self._refuse(self._refused_status or 400)
        else:
            bounds = self._handler.bounds()
            if self._head is None and self._head_bytes > bounds.max_head_bytes:
                self._refuse(431)

    def connectionLost(self, reason=protocol.connectionDone) -> None:  # noqa: N802
        """Tell the owner of the request in progress."""
        self._closed = True
        self._connections.discard(self)
        self._stop_timer()
        if self._current is not None:
            self._current.lost()

    # the parser's side

    def on_headers_complete(self) -> None:
        """Check the head of a request."""
        bounds = self._handler.bounds()
        method = self._parser.get_method()
        self._head = RequestHead(method, bytes(self._target), self._headers)
        self._body = bytearray()
        size = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size + len(self._target) > bounds.max_head_bytes:
            self._stop_parsing(431)
        length = self._head.get(b"content-length")
        if length is not None and int(length) > bounds.max_body_bytes:
            self._stop_parsing(413)
        if self._head.says(b"expect", b"100-continue") and self._current is None:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, piece: bytes) -> None:
        """Collect the body of a request."""
        self._body += piece
        if len(self._body) > self._handler.bounds().max_body_bytes:
            self._stop_parsing(413)

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        head, self._head = self._head, None
        self._head_bytes = 0
        self._stop_timer()
        self._waiting.append((head, bytes(self._body)))
        self._body = bytearray()
        self._start_next()

    # what an exchange uses

    def write(self, piece: bytes) -> None:
        """Send bytes if the caller is still there."""
        if not self._closed and piece:
            self.transport.write(piece)

    def abort(self) -> None:
        """Close at once."""
        if not self._closed:
            self._closing = True
            self.transport.abortConnection()

    def close(self) -> None:
        """Close once what was written has gone out."""
        if not self._closed:
            self._closing = True
            self.transport.loseConnection()

    def ends_after_answer(self, head: RequestHead) -> bool:
        """Tell whether the connection closes after the answer to a request."""
        if head.says(b"connection", b"close") or self._handler.is_closing():
            self._closing = True
        return self._closing

    def exchange_ended(self) -> None:
        """Go on with the next request, or close."""
        self._current = None
        if self._closing:
            self.close()
            return
        self._wait(self._handler.bounds().idle_s, self.close)
        if self._waiting:
            self.reactor.callLater(0, self._start_next)

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is being read or answered."""
        return self._current is None and not self._waiting and not self._head_bytes

    # inside

    def _begin_head(self) -> None:
        self.request_began_s = self.reactor.seconds()
        if self._current is None:
            self._wait(self._handler.bounds().head_timeout_s, self._time_out)

    def _time_out(self) -> None:
        self._refuse(408)

    def _start_next(self) -> None:
        if self._current is not None or not self._waiting or self._closed:
            return
        self._stop_timer()
        head, body = self._waiting.pop(0)
        self._current = Exchange(self, head, body)
        self._handler.on_request(self._current)

    def _stop_parsing(self, status: int) -> None:
        self._refused_status = status
        raise ValueError(f"the request is refused with {status}")

    def _refuse(self, status: int) -> None:
        self._closing = True
        self._stop_timer()
        if self._current is not None:
            # The answer in progress would be mixed with the refusal.
            self._current.abort()
            return
        start = f"HTTP/1.1 {status} {reason_phrase(status)}".encode()
        headers = [Header(b"Content-Length", b"0"), Header(b"Connection", b"close")]
        self.write(render_head(start, headers))
        self.close()

    def _wait(self, seconds: float, then) -> None:
        self._stop_timer()
        self._timer = self.reactor.callLater(seconds, then)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


class Server(protocol.Factory):
    """Accepts connections for a handler.

    :param reactor: whose clock bounds what callers may take.
    """

    noisy = False

    def __init__(self, handler: Handler, reactor):
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


# --- the calling side ---------------------------------------------------------------


class Broken(enum.Enum):
    """How an exchange with a server failed."""

    NOT_CONNECTED = "not connected"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    CANCELLED = "cancelled"


class AnswerListener(abc.ABC):
    """Follows the answer to one request."""

    @abc.abstractmethod
    def on_head(self, head: AnswerHead) -> bool:
        """Take the start of an answer; False passes this whole answer over."""

    @abc.abstractmethod
    def on_piece(self, piece: bytes) -> None:
        """Take a part of the body."""

    @abc.abstractmethod
    def on_end(self) -> None:
        """Note that the answer is complete."""

    @abc.abstractmethod
    def on_broken(self, how: Broken) -> None:
        """Note that the answer will not be complete."""


class ClientConnection(protocol.Protocol, _Parsing):
    """A connection that this process opened, for one request at a time."""

    def __init__(self, reactor):
        _Parsing.__init__(self)
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        self.used = 0
        self.is_open = False
        self.on_idle = lambda connection: None
        self._reactor = reactor
        self._parser = httptools.HttpResponseParser(self)
        self._listener: AnswerListener | None = None
        self._head: AnswerHead | None = None
        self._passed_over = False
        self._ends_by_close = False
        self._reusable = True

    def send(self, request: bytes, listener: AnswerListener) -> None:
        """Send a rendered request and follow its answer."""
        self.used += 1
        self._listener = listener
        self.transport.write(request)

    def cancel(self) -> None:
        """Drop the connection, and with it the request in progress."""
        self._listener = None
        self._reusable = False
        if self.is_open:
            self.transport.abortConnection()

    @property
    def is_free(self) -> bool:
        """Tell whether another request may be sent."""
        return self.is_open and self._reusable and self._listener is None

    # twisted's side

    def connectionMade(self) -> None:  # noqa: N802
        """Note that the connection is there."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed the parser; bytes that nobody waits for end the connection."""
        if self._listener is None:
            self.cancel()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._break(Broken.MALFORMED)

    def connectionLost(self, reason=protocol.connectionDone) -> None:  # noqa: N802
        """End an answer that has no length, or note that it broke off."""
        self.is_open = False
        if self._listener is None:
            return
        orderly = reason.check(error.ConnectionDone)
        if orderly and self._ends_by_close and self._head is not None:
            self._complete()
            return
        self._break(Broken.CLOSED if orderly else Broken.RESET)

    # the parser's side

    def on_headers_complete(self) -> None:
        """Hand the head of an answer on."""
        status = self._parser.get_status_code()
        if self._listener is None:
            # Bytes after a complete answer belong to no request.
            self._reusable = False
            return
        self._head = AnswerHead(status, self._headers)
        if status < 200:
            return
        self._read_keep_alive(self._head)
        self._passed_over = not self._listener.on_head(self._head)

    def on_body(self, piece: bytes) -> None:
        """Hand a part of an answer on."""
        if self._listener is not None and not self._passed_over:
            self._listener.on_piece(piece)

    def on_message_complete(self) -> None:
        """End an answer, or get ready for the one that follows it."""
        if self._listener is None or self._head is None or self._head.status < 200:
            return
        if self._passed_over:
            self._head = None
            self._passed_over = False
            return
        self._complete()

    # inside

    def _read_keep_alive(self, head: AnswerHead) -> None:
        if head.says(b"connection", b"close"):
            self._reusable = False
        framed = (
            head.get(b"content-length") is not None
            or head.says(b"transfer-encoding", b"chunked")
            or head.status in NO_BODY_STATUSES
        )
        self._ends_by_close = not framed
        if not framed:
            self._reusable = False
        value = head.get(b"keep-alive")
        if value is None:
            return
        for item in value.split(b","):
            name, _, number = item.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.keep_alive_s = float(number)

    def _complete(self) -> None:
        listener, self._listener = self._listener, None
        self._head = None
        self.idle_since_s = self._reactor.seconds()
        if not self._reusable and self.is_open:
            self.transport.loseConnection()
        listener.on_end()
        if self.is_free:
            # After the caller's feed: bytes that follow in it show first.
            self._reactor.callLater(0, self.on_idle, self)

    def _break(self, how: Broken) -> None:
        listener, self._listener = self._listener, None
        self._reusable = False
        if self.is_open:
            self.transport.abortConnection()
        if listener is not None:
            listener.on_broken(how)
