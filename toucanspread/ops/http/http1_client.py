"""Client side of HTTP/1.1: one request at a time on a connection.

A listener receives the answer and how it ended: complete, interrupted or malformed.
"""

import abc
import enum

import httptools
from twisted.internet import error, protocol

from toucanspread.ops.http import answer_flaws, http1, receive_memory

MAX_HEADER_LINES = 256  # of a head and its trailers
DEFAULT_MAX_BODY_BYTES = 262_144  # of answers that consist of a few short records


class ExchangeFailure(enum.Enum):
    """How an exchange with a server failed."""

    NOT_CONNECTED = "not connected"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    TOO_LARGE = "too large"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class AnswerListener(abc.ABC):
    """Receives the answer to one request.

    :ivar max_body_bytes: limit for the body of the answer. It also applies to the
        answers to other requests that are skipped before it, taken together.
    :ivar singular_headers: lower-case names of headers whose lines must agree.
    :ivar account: counts what is held of the answer until its end.
    """

    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    singular_headers: frozenset[bytes] = http1.SINGULAR_HEADERS
    account: receive_memory.MemoryAccount = receive_memory.CALL_ANSWERS

    @property
    def held_bytes(self) -> int:
        """Return how much of the body this listener keeps."""
        return 0

    @abc.abstractmethod
    def on_head(self, head: http1.AnswerHead) -> bool:
        """Process the head of an answer.

        :return: False to skip this answer, which then belongs to another request.
        """

    @abc.abstractmethod
    def on_body_data(self, part: bytes) -> None:
        """Process a part of the body."""

    @abc.abstractmethod
    def on_end(self) -> None:
        """Process the end of a complete answer."""

    @abc.abstractmethod
    def on_failure(self, failure: ExchangeFailure) -> None:
        """Handle an exchange that ends without a complete answer."""

    def on_flaw(self, flaw: answer_flaws.AnswerFlaw, status: int) -> None:
        """Record why a head is not that of an answer to the request.

        :param status: that the head names.
        """
        return


class ClientConnection(protocol.Protocol, http1.ParserCallbacks, receive_memory.Holder):
    """Outgoing connection that carries one request at a time.

    All that is received for a request besides bodies, such as heads, interim answers,
    chunk extensions and trailers, may take up to ``http1.MAX_HEAD_BYTES``.
    """

    def __init__(self, reactor):
        http1.ParserCallbacks.__init__(self)
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        self.request_count = 0
        self.is_open = False
        self.on_idle = lambda connection: None
        self._reactor = reactor
        self._parser = httptools.HttpResponseParser(self)
        self._listener: AnswerListener | None = None
        self._head: http1.AnswerHead | None = None
        self._reason_phrase = bytearray()
        self._is_answer_skipped = False
        self._is_body_allowed = True
        self._ends_by_close = False
        self._is_reusable = True
        self._is_paused = False
        self._framing_bytes = 0
        self._body_bytes = 0

    def send(self, request: bytes, listener: AnswerListener) -> None:
        """Send a rendered request and pass its answer to the listener."""
        self.request_count += 1
        self._listener = listener
        self._is_body_allowed = not request.startswith(b"HEAD ")
        self._framing_bytes = 0
        self._body_bytes = 0
        self.transport.write(request)

    def cancel(self) -> None:
        """Close the connection and abandon the request in progress."""
        self._take_listener()
        self._is_reusable = False
        if self.is_open:
            self.transport.abortConnection()

    def pause(self) -> None:
        """Stop reading the answer until :meth:`resume` is called."""
        if self.is_open and self._listener is not None and not self._is_paused:
            self._is_paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Read the answer again."""
        if self.is_open and self._is_paused:
            self._is_paused = False
            self.transport.resumeProducing()

    @property
    def is_free(self) -> bool:
        """Return whether another request can be sent."""
        return self.is_open and self._is_reusable and self._listener is None

    @property
    def peer(self) -> str:
        """Return the address of the server, for logs."""
        peer = self.transport.getPeer()
        return f"{peer.host}:{peer.port}"

    def give_way(self) -> None:
        """End the exchange, since the process holds too much."""
        self._fail(ExchangeFailure.TOO_LARGE)

    # Callbacks of Twisted

    def connectionMade(self) -> None:  # noqa: N802
        """Mark the connection as open."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed the parser, or close the connection if no request is in progress."""
        if self._listener is None:
            self.cancel()
            return
        self._framing_bytes += len(data)
        try:
            self._feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(ExchangeFailure.MALFORMED)
        else:
            self._check_framing()
            self._update_account()

    def connectionLost(self, reason=protocol.connectionDone) -> None:  # noqa: N802
        """Complete an answer that ends with the connection, or report a failure."""
        self.is_open = False
        self._end_answer(reason)
        # The parser refers to this connection, and may hold much of a head.
        self._parser = None
        self._headers = []

    def _end_answer(self, reason) -> None:
        if self._listener is None:
            return
        is_orderly = reason.check(error.ConnectionDone)
        is_own = self._head is not None and not self._is_answer_skipped
        if is_orderly and self._ends_by_close and is_own:
            self._complete()
            return
        self._fail(ExchangeFailure.CLOSED if is_orderly else ExchangeFailure.RESET)

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Discard the head of the previous message."""
        super().on_message_begin()
        self._reason_phrase = bytearray()

    def on_status(self, part: bytes) -> None:
        """Append a part of the reason phrase."""
        self._reason_phrase += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header line, up to the limit."""
        if len(self._headers) >= MAX_HEADER_LINES:
            self._fail(ExchangeFailure.TOO_LARGE)
            raise ValueError("too many header lines")
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Pass the head of an answer to the listener."""
        status = self._parser.get_status_code()
        if self._listener is None:
            # Bytes after a complete answer do not belong to any request.
            self.cancel()
            return
        self._head = http1.AnswerHead(status, self._headers)
        self._headers = []  # those of the trailers, from now on
        if not answer_flaws.is_known_status(status):
            self._fail_flawed(answer_flaws.AnswerFlaw.UNKNOWN_STATUS)
            return
        if not self._is_of_one_message(self._head, bytes(self._reason_phrase)):
            return
        if status < 200:
            return
        self._read_persistence(self._head)
        self._is_answer_skipped = not self._listener.on_head(self._head)
        if self._is_answer_skipped:
            return
        self._body_bytes = 0
        if not self._is_body_allowed and self._listener is not None:
            # The parser waits for the body that the head describes.
            self._is_reusable = False
            self._complete()

    def on_chunk_header(self) -> None:
        """Do not count the framing that every chunk has."""
        self._framing_bytes -= http1.MAX_CHUNK_FRAMING_BYTES

    def on_body(self, part: bytes) -> None:
        """Pass a part of the body to the listener."""
        self._framing_bytes -= len(part)
        self._body_bytes += len(part)
        if self._listener is None:
            return
        if self._body_bytes > self._listener.max_body_bytes:
            self._fail(ExchangeFailure.TOO_LARGE)
        elif not self._is_answer_skipped:
            self._listener.on_body_data(part)

    def on_message_complete(self) -> None:
        """Complete an answer, or expect the next one after a skipped answer."""
        if self._listener is None or self._head is None or self._head.status < 200:
            return
        if not self._is_of_one_message(http1.Head(self._headers)):
            return
        if self._is_answer_skipped:
            self._head = None
            self._is_answer_skipped = False
            return
        self._complete()

    # Internals

    def _feed(self, data: bytes) -> None:
        """Feed the parser, and close the connection if an answer ends before the data.

        The last byte goes by itself: the parser says neither how much it has read nor
        that it has skipped line ends after an answer.
        """
        if self._ends_by_close:
            self._parser.feed_data(data)
            return
        self._parser.feed_data(data[:-1])
        if self._listener is None:
            self.cancel()
            return
        self._parser.feed_data(data[-1:])

    def _is_of_one_message(self, head: http1.Head, reason_phrase: bytes = b"") -> bool:
        """Return whether a head or trailers have no flaw; end the exchange if not."""
        flaw = answer_flaws.find_flaw(
            reason_phrase, head, self._listener.singular_headers
        )
        if flaw is None:
            return True
        self._fail_flawed(flaw)
        return False

    def _fail_flawed(self, flaw: answer_flaws.AnswerFlaw) -> None:
        self._listener.on_flaw(flaw, self._head.status)
        self._fail(ExchangeFailure.MALFORMED)

    def _check_framing(self) -> None:
        # Chunks with less framing leave no allowance for later ones.
        self._framing_bytes = max(self._framing_bytes, 0)
        if self._listener is not None and self._framing_bytes > http1.MAX_HEAD_BYTES:
            self._fail(ExchangeFailure.TOO_LARGE)

    def _update_account(self) -> None:
        if self._listener is None:
            return
        head_bytes = (
            self._framing_bytes + len(self._headers) * receive_memory.HEADER_LINE_BYTES
        )
        held_bytes = head_bytes + self._listener.held_bytes
        self._listener.account.update(self, held_bytes)

    def _take_listener(self) -> AnswerListener | None:
        """End the exchange, for which nothing is held from now on."""
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.account.update(self, 0)
        return listener

    def _read_persistence(self, head: http1.AnswerHead) -> None:
        if not self._parser.should_keep_alive():
            self._is_reusable = False
        has_framing = (
            head.get(b"content-length") is not None
            or head.has_token(b"transfer-encoding", b"chunked")
            or head.status in http1.NO_BODY_STATUSES
        )
        self._ends_by_close = not has_framing
        if not has_framing:
            self._is_reusable = False
        value = head.get(b"keep-alive")
        if value is None:
            return
        for item in value.split(b","):
            name, _, number = item.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.keep_alive_s = float(number)

    def _complete(self) -> None:
        listener = self._take_listener()
        self._head = None
        self.resume()
        self.idle_since_s = self._reactor.seconds()
        if not self._is_reusable and self.is_open:
            self.transport.loseConnection()
        listener.on_end()
        if self.is_free:
            # Deferred until the parser has read the rest of the received bytes, which
            # may show that the connection cannot be reused.
            self._reactor.callLater(0, self.on_idle, self)

    def _fail(self, failure: ExchangeFailure) -> None:
        listener = self._take_listener()
        self._is_reusable = False
        if self.is_open:
            self.transport.abortConnection()
        if listener is not None:
            listener.on_failure(failure)
