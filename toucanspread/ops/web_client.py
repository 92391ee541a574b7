"""HTTP calls to the platform's services, with a timeout on each.

Connections are pooled. A call that gets no answer in time aborts its connection and
drops the idle ones, because a connection that went silent once stays silent.
"""

import dataclasses
import types
from collections.abc import Mapping

from twisted.internet import defer, error, reactor
from twisted.web import client, http_headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from toucanspread.ops import loop

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 4
IDLE_TIMEOUT_S = 30.0

_NEVER_SENT = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.DNSLookupError,
)


class WebError(Exception):
    """A call got no whole answer.

    :param sent: whether the request may have reached the server.
    """

    def __init__(self, sent: bool, detail: str):
        super().__init__(detail)
        self.sent = sent


@dataclasses.dataclass(frozen=True)
class Reply:
    """A whole answer."""

    status: int
    headers: http_headers.Headers
    body: bytes

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of a header."""
        return (self.headers.getRawHeaders(name) or [default])[0]


@implementer(IBodyProducer)
class _BytesProducer:
    """Writes a body that is wholly in memory."""

    def __init__(self, body: bytes):
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer) -> defer.Deferred:  # noqa: N802
        """Write everything at once."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Nothing is left to pause."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Nothing is left to resume."""

    def stopProducing(self) -> None:  # noqa: N802
        """Nothing is left to stop."""


class WebClient:
    """Makes HTTP calls on pooled connections."""

    def __init__(self):
        self._pool = client.HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        self._pool.retryAutomatically = False  # a repeated write may apply twice
        self._agent = client.Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool
        )

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] = types.MappingProxyType({}),
    ) -> Reply:
        """Make one call and return its whole answer.

        :raises WebError: when there is none within ``timeout_s``.
        """
        calling = defer.ensureDeferred(self._call(method, url, body, headers))
        calling.addTimeout(timeout_s, reactor)
        try:
            return await loop.wait(calling)
        except _NEVER_SENT as failure:
            raise WebError(False, f"{method} {url}: {failure}") from failure
        except (error.TimeoutError, defer.TimeoutError) as failure:
            self._pool.closeCachedConnections()
            raise WebError(True, f"{method} {url}: no answer in time") from failure
        except Exception as failure:
            raise WebError(True, f"{method} {url}: {failure!r}") from failure

    async def _call(
        self, method: str, url: str, body: bytes | None, headers: Mapping[str, str]
    ) -> Reply:
        producer = None if body is None else _BytesProducer(body)
        sent_headers = http_headers.Headers()
        for name, value in headers.items():
            sent_headers.addRawHeader(name, value)
        response = await self._agent.request(
            method.encode(), url.encode(), sent_headers, producer
        )
        received = await client.readBody(response)
        return Reply(response.code, response.headers, received)

    async def close(self) -> None:
        """Close the idle connections."""
        await loop.wait(self._pool.closeCachedConnections())
