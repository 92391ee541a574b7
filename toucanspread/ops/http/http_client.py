"""Small HTTP client for asyncio coroutines, based on :mod:`twisted.web`.

Every call has a timeout, and its error says whether the request may have reached the
server.
"""

import asyncio
import dataclasses
import urllib.parse
from collections.abc import AsyncIterator, Mapping

from twisted.internet import defer, endpoints, error, protocol, reactor
from twisted.python import failure
from twisted.web import client, http, http_headers, iweb
from zope.interface import implementer

from toucanspread.ops import loop

CONNECT_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 10.0  # shorter than the idle timeout of servers
MAX_CONNECTIONS_PER_HOST = 256
NOT_SENT_ERRORS = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.DNSLookupError,
)


class HttpError(Exception):
    """A call failed.

    :param sent: false only if the request cannot have reached the server.
    """

    def __init__(self, detail: str, sent: bool):
        super().__init__(detail)
        self.sent = sent


@implementer(iweb.IBodyProducer)
class _BytesProducer:
    def __init__(self, body: bytes):
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer) -> defer.Deferred:  # noqa: N802
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        return

    def resumeProducing(self) -> None:  # noqa: N802
        return

    def stopProducing(self) -> None:  # noqa: N802
        return


@implementer(iweb.IAgentEndpointFactory)
class _IpEndpointFactory:
    """Connects by IP address, without a resolver and its thread."""

    def endpointForURI(self, uri: client.URI):  # noqa: N802
        return endpoints.TCP4ClientEndpoint(
            reactor, uri.host.decode(), uri.port, timeout=CONNECT_TIMEOUT_S
        )


class _BodyReader(protocol.Protocol):
    """Puts the parts of a body into a queue; the last item is the reason of its end."""

    def __init__(self):
        self.parts: asyncio.Queue[bytes | failure.Failure] = asyncio.Queue()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.parts.put_nowait(data)

    def connectionLost(self, reason=protocol.connectionDone) -> None:  # noqa: N802
        self.parts.put_nowait(reason)


class Response:
    """Answer whose status and headers were received; its body is read as a stream."""

    def __init__(self, response: iweb.IResponse):
        self._response = response
        self._reader = _BodyReader()
        response.deliverBody(self._reader)
        self._ended = False

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self._response.code

    def get_header(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        values = self._response.headers.getRawHeaders(name)
        return values[0] if values else ""

    def get_headers(self) -> dict[str, str]:
        """Return the first value of each header, by lower-case name."""
        all_headers = self._response.headers.getAllRawHeaders()
        return {
            name.decode().lower(): values[0].decode() for name, values in all_headers
        }

    async def iter_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they are received.

        :raises HttpError: if the body is interrupted.
        """
        while True:
            part = await self._reader.parts.get()
            if isinstance(part, bytes):
                yield part
                continue
            self._ended = True
            if part.check(client.ResponseDone) is None:
                raise HttpError(f"body broke off: {part.value}", sent=True)
            return

    async def read(self, max_bytes: int) -> bytes:
        """Return the complete body.

        :raises HttpError: if it is interrupted or too large.
        """
        body = bytearray()
        async for part in self.iter_body():
            body += part
            if len(body) > max_bytes:
                self.close()
                raise HttpError(f"body over {max_bytes} bytes", sent=True)
        return bytes(body)

    def close(self) -> None:
        """Close the connection unless the body is complete."""
        transport = self._reader.transport
        if self._ended or transport is None:
            return
        self._ended = True
        transport.stopProducing()


@dataclasses.dataclass(frozen=True)
class Reply:
    """Complete answer.

    :param headers: the first value of each header, by lower-case name.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    def get_header(self, name: str, default: str = "") -> str:
        """Return the first value of a header."""
        return self.headers.get(name.lower(), default)


class HttpClient:
    """Client of one server, with a pool of connections.

    Paths are sent unchanged, so the caller must percent-encode names in them.

    :param address: the server's ``ip:port``.
    :param reuses_connections: whether a connection may carry several requests. An
        answer that names no request may then be a late copy of an earlier one.
    """

    def __init__(self, address: str, reuses_connections: bool = True):
        pool = client.HTTPConnectionPool(reactor, persistent=reuses_connections)
        pool.maxPersistentPerHost = MAX_CONNECTIONS_PER_HOST
        pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        pool.retryAutomatically = False
        self._pool = pool
        self._agent = client.Agent.usingEndpointFactory(
            reactor, _IpEndpointFactory(), pool=pool
        )
        self._base = f"http://{address}"

    @classmethod
    def from_url(cls, url: str, reuses_connections: bool = True) -> "HttpClient":
        """Return a client for the server of an ``http://ip:port`` URL."""
        return cls(urllib.parse.urlsplit(url).netloc, reuses_connections)

    async def open(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 5.0,
    ) -> Response:
        """Send a request and return the answer once its headers are received.

        :raises HttpError: if no answer is received in time.
        """
        url = self._base + path
        raw_headers = http_headers.Headers(
            {name: [value] for name, value in (headers or {}).items()}
        )
        producer = _BytesProducer(body) if body else None
        request = self._agent.request(
            method.encode(), url.encode(), raw_headers, producer
        )
        future = loop.as_future(request)
        try:
            async with asyncio.timeout(timeout_s):
                response = await future
        except TimeoutError as caught:
            # The idle connections to a server that stopped responding are probably
            # dead as well.
            self._pool.closeCachedConnections()
            raise HttpError(f"no answer in {timeout_s} s", sent=True) from caught
        except NOT_SENT_ERRORS as caught:
            raise HttpError(f"cannot connect: {caught}", sent=False) from caught
        except Exception as caught:
            raise HttpError(f"call failed: {caught!r}", sent=True) from caught
        return Response(response)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 5.0,
        max_bytes: int = 64 * 1024 * 1024,
    ) -> Reply:
        """Send a request and return the complete answer.

        :raises HttpError: if no complete answer is received in time.
        """
        response = await self.open(method, path, body, headers, timeout_s)
        try:
            async with asyncio.timeout(timeout_s):
                payload = await response.read(max_bytes)
        except TimeoutError as caught:
            raise HttpError(f"no whole body in {timeout_s} s", sent=True) from caught
        finally:
            response.close()
        return Reply(response.status, response.get_headers(), payload)

    async def close(self) -> None:
        """Close idle connections."""
        closing = self._pool.closeCachedConnections()
        await loop.as_future(closing)


def is_success(status: int) -> bool:
    """Return whether an HTTP status is in the 2xx class."""
    return http.OK <= status < http.MULTIPLE_CHOICE
