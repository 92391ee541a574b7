"""Connections to other servers, kept for further requests, and whole calls on them."""

import asyncio
import contextlib
import socket
from typing import NamedTuple

from twisted.internet import protocol

from toucanspread.ops import http1, http1_client

CONNECT_TIMEOUT_S = 0.6  # a refused or cut server answers no sooner by waiting longer
IDLE_TIMEOUT_FACTOR = 0.7  # of a server's own idle timeout; it may close a little early
DEFAULT_IDLE_TIMEOUT_S = 4.0  # when the server names no timeout
MAX_IDLE_PER_SERVER = 32
USER_TIMEOUT_MS = 3_000  # unacknowledged bytes for this long mean a dead path


class CallError(Exception):
    """A call got no whole answer.

    :param how: how it failed; None when its time ran out.
    """

    def __init__(self, failure: http1_client.ExchangeFailure | None, detail: str):
        super().__init__(detail)
        self.failure = failure

    @property
    def sent(self) -> bool:
        """Tell whether the request may have reached the server."""
        return self.failure is not http1_client.ExchangeFailure.NOT_CONNECTED


class Reply(NamedTuple):
    """A whole answer."""

    status: int
    head: http1.AnswerHead
    body: bytes


class OutgoingRequest:
    """A request on its way, from its connection's opening to its answer's end."""

    def __init__(self, pool: "ConnectionPool", address: str, request: bytes, listener):
        self._pool = pool
        self._address = address
        self._request = request
        self._listener = listener
        self._connector = None
        self._connection: http1_client.ClientConnection | None = None
        self._cancelled = False

    def start(self, max_idle_s: float | None) -> None:
        """Send on an idle connection, or open one.

        :param max_idle_s: an idle connection that is older is not used.
        """
        connection = self._pool.pop_idle(self._address, max_idle_s)
        if connection is not None:
            self._use(connection)
            return
        host, _, port = self._address.rpartition(":")
        factory = _ConnectionFactory(self, self._pool)
        self._connector = self._pool.reactor.connectTCP(
            host, int(port), factory, timeout=CONNECT_TIMEOUT_S
        )

    def cancel(self) -> None:
        """Drop the connection; the listener hears nothing more."""
        if self._cancelled:
            return
        self._cancelled = True
        if self._connection is not None:
            self._connection.cancel()
        elif self._connector is not None:
            self._connector.disconnect()

    def on_connected(self, connection: http1_client.ClientConnection) -> None:
        """Take a connection that was opened for this request."""
        if self._cancelled:
            connection.cancel()
            return
        self._use(connection)

    def on_connect_failed(self) -> None:
        """Note that the server was not reached."""
        if not self._cancelled:
            self._listener.on_failure(http1_client.ExchangeFailure.NOT_CONNECTED)

    def _use(self, connection: http1_client.ClientConnection) -> None:
        self._connection = connection
        connection.send(self._request, self._listener)


class _ConnectionFactory(protocol.ClientFactory):
    """Opens one connection for one request."""

    noisy = False

    def __init__(self, outgoing: OutgoingRequest, pool: "ConnectionPool"):
        self._outgoing = outgoing
        self._pool = pool
        self._address = outgoing._address

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of the new connection."""
        return _PooledConnection(self._pool, self._address, self._outgoing)

    def clientConnectionFailed(self, connector, reason):  # noqa: N802
        """Tell the request."""
        self._outgoing.on_connect_failed()


class _PooledConnection(http1_client.ClientConnection):
    """A connection that hands itself to the request it was opened for."""

    def __init__(self, pool: "ConnectionPool", address: str, outgoing: OutgoingRequest):
        super().__init__(pool.reactor)
        self._outgoing = outgoing
        self.on_idle = lambda connection: pool.release(address, connection)

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        with contextlib.suppress(OSError):
            # Not every kernel knows the option; calls have timeouts besides.
            self.transport.getHandle().setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )
        outgoing, self._outgoing = self._outgoing, None
        outgoing.on_connected(self)


class ConnectionPool:
    """The connections of this process to any number of servers."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.opened_count = 0
        self._idle_connections: dict[str, list[http1_client.ClientConnection]] = {}

    def send(
        self,
        address: str,
        request: bytes,
        listener: http1_client.AnswerListener,
        max_idle_s: float | None = None,
    ) -> OutgoingRequest:
        """Send a rendered request; the listener follows its answer."""
        outgoing = OutgoingRequest(self, address, request, listener)
        outgoing.start(max_idle_s)
        return outgoing

    def pop_idle(
        self, address: str, max_idle_s: float | None
    ) -> http1_client.ClientConnection | None:
        """Return the idle connection that was used last, if one is young enough."""
        now_s = self.reactor.seconds()
        idle = self._idle_connections.get(address, [])
        while idle:
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
        """Keep a connection whose answer is complete."""
        if not connection.is_free:
            return
        idle = self._idle_connections.setdefault(address, [])
        if len(idle) >= MAX_IDLE_PER_SERVER:
            connection.cancel()
            return
        idle.append(connection)

    def drop_expired(self) -> None:
        """Close what has been idle for too long."""
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
        """Close the idle connections to a server that went silent."""
        for connection in self._idle_connections.pop(address, []):
            connection.cancel()

    async def call(
        self,
        address: str,
        head: http1.RequestHead,
        body: bytes = b"",
        timeout_s: float = 1.0,
    ) -> Reply:
        """Send a request and return its whole answer.

        :raises CallError: when none came in time.
        """
        listener = _AnswerCollector()
        if head.get(b"host") is None:
            head.headers.insert(0, http1.Header(b"Host", address.encode()))
        outgoing = self.send(address, http1.render_request(head, body), listener)
        try:
            async with asyncio.timeout(timeout_s):
                return await listener.future
        except TimeoutError as caught:
            # What went silent stays silent: the idle ones may be as this one.
            self.close_idle(address)
            raise CallError(None, f"{address}: no answer in {timeout_s} s") from caught
        finally:
            if not listener.is_finished:
                outgoing.cancel()


class _AnswerCollector(http1_client.AnswerListener):
    """Collects an answer."""

    def __init__(self):
        self.future = asyncio.get_event_loop().create_future()
        self.is_finished = False
        self._head: http1.AnswerHead | None = None
        self._body = bytearray()

    def on_head(self, head: http1.AnswerHead) -> bool:
        self._head = head
        return True

    def on_body_data(self, part: bytes) -> None:
        self._body += part

    def on_end(self) -> None:
        self.is_finished = True
        if not self.future.done():
            reply = Reply(self._head.status, self._head, bytes(self._body))
            self.future.set_result(reply)

    def on_failure(self, failure: http1_client.ExchangeFailure) -> None:
        self.is_finished = True
        if not self.future.done():
            self.future.set_exception(
                CallError(failure, f"the call was {failure.value}")
            )


def _get_idle_timeout_s(connection: http1_client.ClientConnection) -> float:
    keep_alive_s = connection.keep_alive_s
    return (
        keep_alive_s * IDLE_TIMEOUT_FACTOR
        if keep_alive_s is not None
        else DEFAULT_IDLE_TIMEOUT_S
    )
