"""Pool of client connections to other servers, and complete calls over it."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from twisted.internet import protocol

from toucanspread.core import data
from toucanspread.ops.http import answer_flaws, answer_match, http1, http1_client
from toucanspread.ops.telemetry import logs, metric_buffer

# Waiting longer does not help if a server refuses connections or is cut off.
CONNECT_TIMEOUT_S = 0.6
IDLE_TIMEOUT_FACTOR = 0.7  # servers may close a little before their idle timeout
DEFAULT_IDLE_TIMEOUT_S = 4.0  # for servers that announce no timeout
MAX_IDLE_PER_SERVER = 32
MAX_ANSWER_S = 3.0  # a slower answer is of no use to anyone who waits for it
MATCHED_STATUSES = frozenset({200, 206})  # others promise nothing that could be used
MAX_LOGGED_TARGET_LENGTH = 200
USER_TIMEOUT_S = 3.0  # the path is dead if bytes stay unacknowledged this long


class CallError(Exception):
    """A call did not return a complete answer.

    :param failure: how the exchange failed; None after a timeout.
    :param received_bytes: size of the part of the answer that was received.
    """

    def __init__(
        self,
        failure: http1_client.ExchangeFailure | None,
        detail: str,
        received_bytes: int = 0,
    ):
        super().__init__(detail)
        self.failure = failure
        self.received_bytes = received_bytes

    @property
    def sent(self) -> bool:
        """Return whether the request may have reached the server."""
        return self.failure is not http1_client.ExchangeFailure.NOT_CONNECTED


class MismatchError(CallError):
    """The answer does not show that it belongs to the call."""

    def __init__(self, detail: str):
        super().__init__(None, detail)


class Reply(NamedTuple):
    """Complete answer to a call.

    :param transfer_s: time from its head to its end.
    """

    status: int
    head: http1.AnswerHead
    body: bytes
    transfer_s: float = 0.0


class AnswerProgress(NamedTuple):
    """How much of an answer has arrived.

    :param elapsed_s: time since its head.
    """

    received_bytes: int
    length_bytes: int
    elapsed_s: float

    @property
    def share(self) -> float:
        """Return the part of the answer that has arrived."""
        return self.received_bytes / self.length_bytes

    @property
    def expected_s(self) -> float:
        """Return the time from the head to the end if the answer keeps its pace."""
        return self.elapsed_s / self.share


class OutgoingRequest:
    """Request in progress, from opening its connection to the end of its answer.

    :param render: returns the request once its connection is open; None if it must not
        be sent any more.
    """

    def __init__(
        self,
        pool: "ConnectionPool",
        address: str,
        render: Callable[[], bytes | None],
        listener,
    ):
        self._pool = pool
        self._address = address
        self._render = render
        self._listener = listener
        self._connector = None
        self._connection: http1_client.ClientConnection | None = None
        self._is_cancelled = False

    @property
    def was_sent(self) -> bool:
        """Return whether the request was sent on a connection."""
        return self._connection is not None

    @property
    def is_first_on_connection(self) -> bool:
        """Return whether its connection carried no request before."""
        return self._connection is not None and self._connection.request_count == 1

    def start(self, max_idle_s: float | None) -> None:
        """Send the request on an idle connection, or open a new one.

        :param max_idle_s: do not use a connection that has been idle for longer;
            None for no limit besides the idle timeout, 0 for a new connection.
        """
        connection = self._pool.pop_idle(self._address, max_idle_s)
        if connection is not None:
            if not self._send_on(connection):
                # Later, as the sender has to know this request before it ends.
                self._pool.reactor.callLater(0, self._report_not_sent)
            return
        if not data.is_address(self._address):
            self._pool.reactor.callLater(0, self.on_connect_failed)
            return
        host, _, port = self._address.rpartition(":")
        factory = _ConnectionFactory(self, self._pool)
        self._connector = self._pool.reactor.connectTCP(
            host, int(port), factory, timeout=CONNECT_TIMEOUT_S
        )

    def cancel(self) -> None:
        """Close the connection; the listener gets no more calls."""
        if self._is_cancelled:
            return
        self._is_cancelled = True
        if self._connection is not None:
            self._connection.cancel()
        elif self._connector is not None:
            self._connector.disconnect()

    def pause(self) -> None:
        """Stop reading the answer until :meth:`resume` is called."""
        if self._connection is not None and not self._is_cancelled:
            self._connection.pause()

    def resume(self) -> None:
        """Read the answer again."""
        if self._connection is not None and not self._is_cancelled:
            self._connection.resume()

    def on_connected(self, connection: http1_client.ClientConnection) -> None:
        """Send the request on the connection that was opened for it."""
        if self._is_cancelled:
            connection.cancel()
            return
        if not self._send_on(connection):
            self._report_not_sent()

    def on_connect_failed(self) -> None:
        """Report that the connection could not be opened."""
        if not self._is_cancelled:
            self._listener.on_failure(http1_client.ExchangeFailure.NOT_CONNECTED)

    def _send_on(self, connection: http1_client.ClientConnection) -> bool:
        """Send the request; return False if it must not be sent any more."""
        request = self._render()
        if request is None:
            connection.cancel()
            return False
        self._connection = connection
        connection.send(request, self._listener)
        return True

    def _report_not_sent(self) -> None:
        if not self._is_cancelled:
            self._listener.on_failure(http1_client.ExchangeFailure.NOT_SENT)


class _ConnectionFactory(protocol.ClientFactory):
    """Factory that opens the connection for one request."""

    noisy = False

    def __init__(self, outgoing: OutgoingRequest, pool: "ConnectionPool"):
        self._outgoing = outgoing
        self._pool = pool
        self._address = outgoing._address

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of the new connection."""
        return _PooledConnection(self._pool, self._address, self._outgoing)

    def clientConnectionFailed(self, connector, reason):  # noqa: N802
        """Report the failure to the request."""
        self._outgoing.on_connect_failed()


class _PooledConnection(http1_client.ClientConnection):
    """Connection that starts the request it was opened for, then joins the pool."""

    def __init__(self, pool: "ConnectionPool", address: str, outgoing: OutgoingRequest):
        super().__init__(pool.reactor)
        self._outgoing = outgoing
        self.on_idle = lambda connection: pool.release(address, connection)

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        http1.set_user_timeout(self.transport, USER_TIMEOUT_S)
        outgoing, self._outgoing = self._outgoing, None
        outgoing.on_connected(self)


class ConnectionPool:
    """Idle connections by server, reused for further requests."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.opened_count = 0
        self._idle_connections: dict[str, list[http1_client.ClientConnection]] = {}

    def send(
        self,
        address: str,
        render: Callable[[], bytes | None],
        listener: http1_client.AnswerListener,
        max_idle_s: float | None = None,
    ) -> OutgoingRequest:
        """Send a request; the listener receives its answer after this has returned.

        :param render: returns the request once its connection is open, as the request
            may name the time that is left; None if it must not be sent any more.
        """
        outgoing = OutgoingRequest(self, address, render, listener)
        outgoing.start(max_idle_s)
        return outgoing

    def pop_idle(
        self, address: str, max_idle_s: float | None
    ) -> http1_client.ClientConnection | None:
        """Remove and return the most recently used idle connection.

        :param max_idle_s: close connections that have been idle for longer; None for no
            limit besides the idle timeout, 0 to use none and keep all.
        :return: None when no idle connection can be used.
        """
        now_s = self.reactor.seconds()
        idle = self._idle_connections.get(address, [])
        while idle and max_idle_s != 0.0:
            connection = idle.pop()
            limit_s = _get_idle_timeout_s(connection)
            if max_idle_s is not None:
                limit_s = min(limit_s, max_idle_s)
            if connection.is_free and now_s - connection.idle_since_s < limit_s:
                return connection
            connection.cancel()
        self.opened_count += 1
        return None

    def release(self, address: str, connection: http1_client.ClientConnection) -> None:
        """Keep a connection for reuse after a complete answer."""
        if not connection.is_free:
            return
        idle = self._idle_connections.setdefault(address, [])
        if len(idle) >= MAX_IDLE_PER_SERVER:
            connection.cancel()
            return
        idle.append(connection)

    def drop_expired(self) -> None:
        """Close the connections whose idle timeout has passed."""
        now_s = self.reactor.seconds()
        for address, idle in list(self._idle_connections.items()):
            kept = []
            for connection in idle:
                age_s = now_s - connection.idle_since_s
                if connection.is_free and age_s < _get_idle_timeout_s(connection):
                    kept.append(connection)
                else:
                    connection.cancel()
            if kept:
                self._idle_connections[address] = kept
            else:
                del self._idle_connections[address]

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server that stopped responding."""
        for connection in self._idle_connections.pop(address, []):
            connection.cancel()

    async def call(
        self,
        address: str,
        head: http1.RequestHead,
        body: bytes = b"",
        timeout_s: float = 1.0,
        stall_timeout_s: float | None = None,
        max_body_bytes: int = http1_client.DEFAULT_MAX_BODY_BYTES,
        has_own_connection: bool = False,
        on_arriving: Callable[[AnswerProgress], None] | None = None,
        matcher: answer_match.AnswerMatcher | None = None,
    ) -> Reply:
        """Send a request and return its complete answer.

        A GET is sent once more, on a connection for this call only, if its answer does
        not match. Other requests may have been executed.

        :param timeout_s: time limit for the complete answer. If a stall timeout is
            given, an answer of which bytes keep arriving may take longer, but not
            longer than ``MAX_ANSWER_S``.
        :param stall_timeout_s: time limit for the next bytes of an answer; None if only
            ``timeout_s`` applies.
        :param max_body_bytes: limit for the body of the answer.
        :param has_own_connection: whether to use a connection for this call only, as an
            answer to an earlier call must not be taken for its own.
        :param on_arriving: called when a part of an answer with status 200 and with a
            known length arrives.
        :param matcher: compares a successful answer with the call; None if nothing in
            it can be compared. An answer that does not match is not used, and its
            connection is closed.
        :raises CallError: if no complete answer within the limits is received in time.
        """
        if head.get(b"host") is None:
            head.headers.insert(0, http1.Header(b"Host", address.encode()))
        started_s = self.reactor.seconds()

        def call_once(timeout_s: float, has_own_connection: bool) -> Awaitable[Reply]:
            listener = _AnswerCollector(max_body_bytes, self.reactor.seconds, address)
            listener.on_arriving = on_arriving
            return self._call_once(
                address,
                head,
                body,
                listener,
                matcher,
                timeout_s,
                stall_timeout_s,
                has_own_connection,
            )

        try:
            return await call_once(timeout_s, has_own_connection)
        except MismatchError:
            left_s = timeout_s - (self.reactor.seconds() - started_s)
            if has_own_connection or head.method != b"GET" or left_s <= 0:
                raise
        return await call_once(left_s, has_own_connection=True)

    async def _call_once(
        self,
        address: str,
        head: http1.RequestHead,
        body: bytes,
        listener: "_AnswerCollector",
        matcher: answer_match.AnswerMatcher | None,
        timeout_s: float,
        stall_timeout_s: float | None,
        has_own_connection: bool,
    ) -> Reply:
        request = http1.render_request(head, body)
        max_idle_s = 0.0 if has_own_connection else None
        outgoing = self.send(address, lambda: request, listener, max_idle_s)
        if matcher is not None:
            listener.check_answer = _make_check(matcher, outgoing, address, head)
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                if stall_timeout_s is not None:
                    listener.on_progress = _make_extension(timeout, stall_timeout_s)
                return await listener.future
        except TimeoutError as caught:
            # The idle connections to a server that stopped responding are probably
            # dead as well.
            self.close_idle(address)
            raise CallError(
                None,
                f"{address}: no complete answer in time ({timeout_s} s), "
                f"{listener.received_bytes} bytes of it received",
                listener.received_bytes,
            ) from caught
        finally:
            if has_own_connection or not listener.is_finished:
                outgoing.cancel()


def _make_check(
    matcher: answer_match.AnswerMatcher,
    outgoing: OutgoingRequest,
    address: str,
    head: http1.RequestHead,
) -> Callable[[Reply], None]:
    """Return a function that closes the connection if an answer does not match."""

    def check(reply: Reply) -> None:
        if reply.status not in MATCHED_STATUSES:
            return
        match = matcher.match(reply.head, reply.body)
        if match is answer_match.Match.OWN:
            return
        is_first = outgoing.is_first_on_connection
        if match is answer_match.Match.UNNAMED and is_first:
            return
        outgoing.cancel()
        metric_buffer.count("answers_mismatched", match=match.value)
        logs.write(
            "answer_mismatched",
            source=address,
            target=head.target.decode("latin-1")[:MAX_LOGGED_TARGET_LENGTH],
            match=match.value,
            is_first_on_connection=is_first,
        )
        raise MismatchError(f"{address}: the answer is to another call")

    return check


def _make_extension(
    timeout: asyncio.Timeout, stall_timeout_s: float
) -> Callable[[], None]:
    """Return a function that extends a timeout because bytes have arrived."""
    loop = asyncio.get_running_loop()
    latest_s = loop.time() + MAX_ANSWER_S

    def extend() -> None:
        deadline_s = min(loop.time() + stall_timeout_s, latest_s)
        if not timeout.expired() and deadline_s > timeout.when():
            timeout.reschedule(deadline_s)

    return extend


class _AnswerCollector(http1_client.AnswerListener):
    """Collects a complete answer.

    :param max_body_bytes: limit for its body.
    :param read_clock_s: returns the time.
    :param address: of the server, for logs.
    :ivar on_progress: called when a part of the answer has arrived.
    :ivar on_arriving: called when a part of a good answer of known length has arrived.
    :ivar check_answer: raises :class:`MismatchError` for the answer to another call.
    """

    def __init__(
        self,
        max_body_bytes: int,
        read_clock_s: Callable[[], float],
        address: str = "",
    ):
        self._address = address
        self.max_body_bytes = max_body_bytes
        self._read_clock_s = read_clock_s
        self._head_s = 0.0
        self.on_progress: Callable[[], None] = _do_nothing
        self.on_arriving: Callable[[AnswerProgress], None] | None = None
        self.check_answer: Callable[[Reply], None] = _accept
        self._length_bytes: int | None = None
        self.future = asyncio.get_event_loop().create_future()
        self.is_finished = False
        self._head: http1.AnswerHead | None = None
        self._body = bytearray()

    @property
    def received_bytes(self) -> int:
        """Return the number of bytes of the body that were received."""
        return len(self._body)

    @property
    def held_bytes(self) -> int:
        return len(self._body)

    def on_head(self, head: http1.AnswerHead) -> bool:
        self._head = head
        self._head_s = self._read_clock_s()
        length = data.parse_count(
            (head.get(b"content-length") or b"").decode("latin-1")
        )
        self._length_bytes = length
        if length is not None and length > self.max_body_bytes:
            # The call ends now, and takes up the link no longer.
            self._fail(http1_client.ExchangeFailure.TOO_LARGE)
        self.on_progress()
        return True

    def on_body_data(self, part: bytes) -> None:
        self._body += part
        self.on_progress()
        self._report_progress()

    def on_end(self) -> None:
        self.is_finished = True
        if self.future.done():
            return
        transfer_s = self._read_clock_s() - self._head_s
        body = bytes(self._body)
        reply = Reply(self._head.status, self._head, body, transfer_s)
        try:
            self.check_answer(reply)
        except MismatchError as error:
            self.future.set_exception(error)
        else:
            self.future.set_result(reply)

    def on_failure(self, failure: http1_client.ExchangeFailure) -> None:
        self.is_finished = True
        self._fail(failure)

    def on_flaw(self, flaw: answer_flaws.AnswerFlaw, status: int) -> None:
        metric_buffer.count("answers_rejected", why=flaw.value)
        logs.write(
            "answer_rejected", source=self._address, why=flaw.value, status=status
        )

    def _report_progress(self) -> None:
        if self.on_arriving is None or self._head.status != 200:
            return
        if not self._length_bytes or not self._body:
            return
        elapsed_s = self._read_clock_s() - self._head_s
        self.on_arriving(AnswerProgress(len(self._body), self._length_bytes, elapsed_s))

    def _fail(self, failure: http1_client.ExchangeFailure) -> None:
        if not self.future.done():
            self.future.set_exception(
                CallError(failure, f"exchange failed: {failure.value}")
            )


def _do_nothing() -> None:
    return


def _accept(reply: Reply) -> None:
    return


def _get_idle_timeout_s(connection: http1_client.ClientConnection) -> float:
    keep_alive_s = connection.keep_alive_s
    return (
        keep_alive_s * IDLE_TIMEOUT_FACTOR
        if keep_alive_s is not None
        else DEFAULT_IDLE_TIMEOUT_S
    )
