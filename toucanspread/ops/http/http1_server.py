"""Server side of HTTP/1.1: accepted connections, their requests and answers.

This module limits the size of requests and the time that callers may take to send
them, and answers a violation with the HTTP status for it. Everything else about a
request is left to its handler.
"""

import abc
from typing import NamedTuple

import httptools
from twisted.internet import interfaces, main, protocol
from twisted.python import failure
from zope.interface import implementer

from toucanspread.ops.http import (
    http1,
    http1_closing,
    http1_exchange,
    receive_memory,
)
from toucanspread.ops.telemetry import logs

MAX_PIPELINED_REQUESTS = 8  # waiting for the answer to an earlier one
PARSED_AT_ONCE_BYTES = 4_096  # may contain many requests
UNAVAILABLE_STATUS = 503
MEMORY_RETRY_AFTER_S = 1  # most requests are received and answered by then
START_LINE_BYTES = len(b"  HTTP/1.1\r\n\r\n")  # besides method and target


class Limits(NamedTuple):
    """Limits on the requests of callers.

    :param max_head_bytes: for the head, the chunk extensions and the trailers together.
    :param head_timeout_s: time limit for receiving a request, from its first byte.
    :param idle_s: time after which a connection without a request is closed, or one of
        which the caller reads nothing although there is more of an answer.
    """

    max_head_bytes: int = http1.MAX_HEAD_BYTES
    max_body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 5.0
    idle_s: float = 30.0


class RequestHandler(abc.ABC):
    """Answers the requests received on a port."""

    @abc.abstractmethod
    def on_request(self, exchange: http1_exchange.Exchange) -> None:
        """Answer a request whose body is complete."""

    @abc.abstractmethod
    def get_limits(self) -> Limits:
        """Return the limits that apply now."""

    @abc.abstractmethod
    def is_closing(self) -> bool:
        """Return whether connections should close after their current answer."""


def _measure(name: bytes, value: bytes) -> int:
    """Return the size in bytes of a header line."""
    return len(name) + len(value) + len(b": \r\n")


class _UnreadAnswer(receive_memory.Holder):
    """What the transport of a connection keeps until the caller reads it."""

    def __init__(self, connection: "ServerConnection"):
        self.size_bytes = 0
        self._connection = connection

    @property
    def peer(self) -> str:
        """Return the address of the caller, for logs."""
        return self._connection.peer

    def give_way(self) -> None:
        """Close the connection, so that the answer is recognisably incomplete."""
        self._connection.abort()


@implementer(interfaces.IPushProducer, interfaces.IHalfCloseableProtocol)
class ServerConnection(
    protocol.Protocol,
    http1.ParserCallbacks,
    http1_exchange.AnswerConnection,
    receive_memory.Holder,
):
    """Connection that a caller opened.

    Requests are answered one at a time, in the order in which they were received. While
    too many of them wait, nothing more is read. No request is started while much of the
    answers before it waits for the caller to read it.

    :cvar account: counts what is held of requests.
    :cvar unread_account: counts what is held of answers that callers don't read.
    :ivar is_blocked: whether the transport holds more than it should.
    :ivar is_reset_at_end: whether the connection has to end with a reset, since an
        incomplete answer would look complete otherwise.
    """

    account = receive_memory.REQUESTS
    unread_account = receive_memory.UNREAD_ANSWERS

    def __init__(self, handler: RequestHandler, reactor, connections: set):
        http1.ParserCallbacks.__init__(self)
        self.reactor = reactor
        self.request_started_s = 0.0
        self.is_blocked = False
        self.is_reset_at_end = False
        self._handler = handler
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._body = bytearray()
        self._head: http1.RequestHead | None = None
        self._is_receiving = False
        self._framing_bytes = 0
        self._trailer_bytes = 0
        self._unparsed = bytearray()
        self._is_reading = True
        self._has_read_last = False
        self._queued: list[tuple[http1.RequestHead, bytes]] = []
        self._current: http1_exchange.Exchange | None = None
        self._reserved_bytes = 0
        self._is_closing = False
        self._is_closed = False
        self._is_aborted = False
        self._unread = _UnreadAnswer(self)
        self._close: http1_closing.OrderlyClose | None = None
        self._rejected_status = 0
        self._refusal_status = 0
        self._timer = None

    # Callbacks of Twisted

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection and start the idle timeout."""
        self._connections.add(self)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        idle_s = self._handler.get_limits().idle_s
        http1.set_user_timeout(self.transport, idle_s)
        self._start_timer(idle_s, self.close)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read requests, and start the next one."""
        if self._close is not None:
            self._close.on_received(len(data))
            return
        self._unparsed += data
        self._parse()

    def connectionLost(self, reason=protocol.connectionDone) -> None:  # noqa: N802
        """Report the disconnection to the request in progress."""
        self._is_closed = True
        self._unparsed.clear()
        self._connections.discard(self)
        self._stop_timer()
        if self._close is not None:
            self._close.stop()
        if self._current is not None:
            self._current.handle_disconnect()
            self._current = None
        self._release()
        self._update_account()
        # The transport still has what the caller hasn't read.
        self.transport = None
        self._close = None

    def readConnectionLost(self) -> None:  # noqa: N802
        """End the connection, since a caller that closes it waits for nothing."""
        if self.is_reset_at_end:
            self.abort()
            return
        self.transport.connectionLost(failure.Failure(main.CONNECTION_DONE))

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Wait for the caller to close, too."""
        if self.is_reset_at_end:
            self.is_reset_at_end = False
            http1_closing.set_reset_at_close(self.transport, False)
        if self._close is not None:
            self._close.on_sent()

    # Callbacks of the transport, for which the connection produces answers

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that the caller reads more slowly than its answer arrives."""
        self.is_blocked = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Continue after the caller has read all that was sent."""
        self.is_blocked = False
        self._unread.size_bytes = 0
        self.unread_account.update(self._unread, 0)
        if self._current is not None:
            self._current.on_drained()
        else:
            self.reactor.callLater(0, self._continue)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the connection is lost, which is reported by itself."""

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Note the first byte of a request, which may follow another one at once."""
        super().on_message_begin()
        self._start_head()

    def on_headers_complete(self) -> None:
        """Check the head of a request against the limits."""
        limits = self._handler.get_limits()
        method = self._parser.get_method()
        version = self._parser.get_http_version()
        self._head = http1.RequestHead(
            method, bytes(self._target), self._headers, version
        )
        self._body = bytearray()
        self._trailer_bytes = 0
        self._framing_bytes -= len(method) + START_LINE_BYTES
        size_bytes = sum(_measure(name, value) for name, value in self._headers)
        if size_bytes + len(self._target) > limits.max_head_bytes:
            self._reject_in_parser(431)
        length = self._head.get(b"content-length")
        if length is not None and int(length) > limits.max_body_bytes:
            self._reject_in_parser(413)
        if self._head.has_token(b"expect", b"100-continue") and self._current is None:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header line, or discard a trailer."""
        if self._head is None:
            super().on_header(name, value)
            return
        self._trailer_bytes += _measure(name, value)
        if self._trailer_bytes > self._handler.get_limits().max_head_bytes:
            self._reject_in_parser(431)

    def on_chunk_header(self) -> None:
        """Do not count the framing that every chunk has."""
        self._framing_bytes -= http1.MAX_CHUNK_FRAMING_BYTES

    def on_body(self, part: bytes) -> None:
        """Append a part of the body, up to the limit."""
        self._framing_bytes -= len(part)
        self._body += part
        if len(self._body) > self._handler.get_limits().max_body_bytes:
            self._reject_in_parser(413)

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        head, self._head = self._head, None
        self._is_receiving = False
        self._framing_bytes = 0
        self._stop_timer()
        self._queued.append((head, bytes(self._body)))
        self._body = bytearray()

    # Methods for the exchange in progress

    def write(self, payload: bytes) -> None:
        """Send bytes unless the connection is closed."""
        if self._is_closed or self._is_aborted or not payload:
            return
        self.transport.write(payload)
        if not self.is_blocked:
            return
        self._unread.size_bytes += len(payload)
        self.unread_account.update(self._unread, self._unread.size_bytes)

    def abort(self) -> None:
        """Close the connection at once."""
        if not self._is_closed:
            self._is_closing = True
            self._is_aborted = True
            self.transport.abortConnection()

    def close(self, discards: bool = False) -> None:
        """Close the connection after sending what was written.

        :param discards: whether the caller may still be sending a refused request.
        """
        if self._is_closed or self._is_aborted or self._close is not None:
            return
        self._is_closing = True
        self._stop_timer()
        self._queued.clear()
        self._unparsed.clear()
        self._body = bytearray()
        self._update_account()
        self._close = http1_closing.OrderlyClose(self.transport, self.reactor, discards)
        self._close.start()

    def stop_reading(self) -> None:
        """Leave unread what the caller still sends, so that it may send it again."""
        self._has_read_last = True
        self._pause_or_resume()

    def reset_unless_complete(self) -> None:
        """Let the connection end with a reset until everything has been sent."""
        if not self._is_closed:
            self.is_reset_at_end = True
            http1_closing.set_reset_at_close(self.transport, True)

    def closes_after_answer(self, head: http1.RequestHead, is_whole: bool) -> bool:
        """Return whether to announce that the connection closes after an answer.

        During a stream, the caller may send a further request, which is read.
        """
        is_last = head.has_token(b"connection", b"close") or not head.accepts_chunks
        if is_last or (is_whole and self._is_last_before_stop):
            self._is_closing = True
        return self._is_closing

    @property
    def peer(self) -> str:
        """Return the address of the caller, for logs."""
        peer = self.transport.getPeer()
        return f"{peer.host}:{peer.port}"

    def give_way(self) -> None:
        """Refuse what hasn't been started, as the process holds too much."""
        self._queued.clear()
        self._refuse(UNAVAILABLE_STATUS)

    def on_exchange_finished(self) -> None:
        """Continue with the next request, or close the connection."""
        self._current = None
        self._reserve(0)
        is_last = self._is_last_before_stop and not self._is_receiving
        if self._is_closing or is_last:
            if self._queued:
                logs.write("requests_unanswered", count=len(self._queued))
            self.close()
            return
        if self._refusal_status:
            self._continue_to_refusal()
            return
        limits = self._handler.get_limits()
        if self._is_receiving:
            self._start_timer(limits.head_timeout_s, self._time_out)
        else:
            self._start_timer(limits.idle_s, self.close)
        if self._queued:
            self.reactor.callLater(0, self._continue)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return self._current is None and not self._queued and not self._is_receiving

    # Internals

    @property
    def _is_last_before_stop(self) -> bool:
        """Return whether the handler stops and nothing more than one request came."""
        return self._handler.is_closing() and not self._has_further_request

    @property
    def _has_further_request(self) -> bool:
        """Return whether more was read than the request in progress."""
        return bool(self._queued or self._unparsed or self._refusal_status)

    @property
    def _is_parsing(self) -> bool:
        """Return whether requests that follow are read as such."""
        return not (self._is_closing or self._is_closed or self._refusal_status)

    def _continue(self) -> None:
        self._start_next()
        self._parse()

    def _parse(self) -> None:
        while self._unparsed and self._is_parsing and not self._is_queue_full():
            part = bytes(self._unparsed[:PARSED_AT_ONCE_BYTES])
            del self._unparsed[:PARSED_AT_ONCE_BYTES]
            self._feed(part)
            # The handler is not called from a parser callback: the parser would report
            # an error of the handler as a malformed request.
            self._start_next()
        self._pause_or_resume()
        self._update_account()

    def _update_account(self) -> None:
        held_bytes = len(self._unparsed) + len(self._body)
        held_bytes += sum(len(body) for _, body in self._queued)
        if self._is_receiving:
            line_bytes = len(self._headers) * receive_memory.HEADER_LINE_BYTES
            held_bytes += self._framing_bytes + line_bytes
        self.account.update(self, held_bytes)

    def _reserve(self, size_bytes: int) -> None:
        """Count the body of the request in progress, which can't give way any more."""
        self.account.reserve(size_bytes - self._reserved_bytes)
        self._reserved_bytes = size_bytes

    def _feed(self, part: bytes) -> None:
        self._start_head()
        self._framing_bytes += len(part)
        try:
            self._parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            # An exception inside a callback is raised as a parser error.
            self._refuse(self._rejected_status or 400)
        else:
            self._check_framing()

    def _is_queue_full(self) -> bool:
        if not self._queued:
            return False
        if len(self._queued) >= MAX_PIPELINED_REQUESTS:
            return True
        queued_bytes = sum(len(body) for _, body in self._queued)
        return queued_bytes >= self._handler.get_limits().max_body_bytes

    def _pause_or_resume(self) -> None:
        if not self._is_parsing:
            self._unparsed.clear()
            return
        if self._handler.is_closing() and self._has_further_request:
            # The answer to what has been read by now is the last one.
            self._has_read_last = True
        is_reading = not self._has_read_last and not self._is_queue_full()
        if is_reading == self._is_reading:
            return
        self._is_reading = is_reading
        if is_reading:
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()

    def _check_framing(self) -> None:
        # Chunks with less framing leave no allowance for later ones.
        self._framing_bytes = max(self._framing_bytes, 0)
        limits = self._handler.get_limits()
        if self._is_receiving and self._framing_bytes > limits.max_head_bytes:
            self._refuse(431)

    def _start_head(self) -> None:
        if self._is_receiving:
            return
        self._is_receiving = True
        self.request_started_s = self.reactor.seconds()
        if self._current is None:
            self._start_timer(self._handler.get_limits().head_timeout_s, self._time_out)

    def _continue_to_refusal(self) -> None:
        if self._queued:
            self.reactor.callLater(0, self._continue)
        else:
            self._send_refusal(self._refusal_status)

    def _time_out(self) -> None:
        self._refuse(408)

    def _start_next(self) -> None:
        if self._is_closing or self._is_closed:
            return
        if self._current is not None or self.is_blocked or not self._queued:
            return
        self._stop_timer()
        head, body = self._queued.pop(0)
        self._reserve(len(body))
        self._current = http1_exchange.Exchange(self, head, body)
        try:
            self._handler.on_request(self._current)
        except Exception as error:
            logs.write("handler_failed", kind=type(error).__name__, why=str(error))
            self.abort()
            raise

    def _reject_in_parser(self, status: int) -> None:
        self._rejected_status = status
        raise ValueError(f"request refused with status {status}: over a limit")

    def _refuse(self, status: int) -> None:
        """Answer a bad request after the answers to those before it."""
        self._refusal_status = status
        self._is_receiving = False
        self._head = None
        self._body = bytearray()
        self._unparsed.clear()
        self._update_account()
        self._stop_timer()
        if self._current is None and not self._queued:
            self._send_refusal(status)

    def _send_refusal(self, status: int) -> None:
        start_line = f"HTTP/1.1 {status} {http1.get_reason_phrase(status)}".encode()
        headers = [
            http1.Header(b"Content-Length", b"0"),
            http1.Header(b"Connection", b"close"),
        ]
        if status == UNAVAILABLE_STATUS:
            headers.append(http1.Header(b"Retry-After", b"%d" % MEMORY_RETRY_AFTER_S))
        self.write(http1.render_head(start_line, headers))
        self.close(discards=True)

    def _release(self) -> None:
        """Release what was received; the parser refers to this connection."""
        self._parser = None
        self._headers = []
        self._head = None
        self._body = bytearray()
        self._queued.clear()
        self._is_receiving = False
        self._reserve(0)
        self._unread.size_bytes = 0
        self.unread_account.update(self._unread, 0)

    def _start_timer(self, timeout_s: float, callback) -> None:
        self._stop_timer()
        self._timer = self.reactor.callLater(timeout_s, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


class ServerFactory(protocol.Factory):
    """Accepts connections for a handler.

    :param reactor: provides the clock for the timeouts.
    :ivar connections: the connections that are open.
    :ivar accepted_s: when the last one was accepted.
    """

    noisy = False

    def __init__(self, handler: RequestHandler, reactor):
        self._handler = handler
        self._reactor = reactor
        self.connections: set[ServerConnection] = set()
        self.accepted_s = reactor.seconds()

    def buildProtocol(self, addr) -> ServerConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        self.accepted_s = self._reactor.seconds()
        return ServerConnection(self._handler, self._reactor, self.connections)

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def stop_reading(self) -> None:
        """Read no more requests, as none would be answered."""
        for connection in list(self.connections):
            connection.stop_reading()

    def abort_incomplete(self) -> None:
        """Reset the connections whose answers would look complete if they ended now."""
        for connection in list(self.connections):
            if connection.is_reset_at_end:
                logs.write("answer_cut", why="end of the process")
                connection.abort()
