"""Interfaces and HTTP clients of the model engine and plain services of an endpoint.

All methods are asyncio coroutines that run on the reactor's event loop.
"""

import abc
import asyncio
import urllib.parse
from collections.abc import AsyncIterator
from typing import Self

import msgspec
from twisted.web import http

from toucanspread.core import data, decoder, effects, events
from toucanspread.ops.http import http_client

CALL_TIMEOUT_S = 5.0
LOAD_TIMEOUT_S = 120.0
CHUNK_TIMEOUT_S = 30.0
STREAM_SILENCE_TIMEOUT_S = 10.0  # between two blocks of a stream
MAX_PLAIN_ANSWER_BYTES = 4 * 1024 * 1024
MAX_REFUSAL_BYTES = 64 * 1024
EVENT_END = b"\n\n"
STREAM_END = b"data: [DONE]\n\n"


class EngineError(Exception):
    """A call to an engine or a plain service failed.

    :param started: false only with proof that no part of the request was executed.
    """

    def __init__(self, detail: str, started: bool = True):
        super().__init__(detail)
        self.started = started


class EngineRefusedError(EngineError):
    """The engine answered with an error status instead of an answer.

    :param status: its HTTP status; below 500, no part of the request was executed.
    """

    def __init__(self, detail: str, status: int):
        super().__init__(detail, started=status >= http.INTERNAL_SERVER_ERROR)
        self.status = status


class StreamBrokeError(EngineError):
    """A stream ended before its end marker.

    :param events: number of complete events before the end.
    """

    def __init__(self, detail: str, events: int):
        super().__init__(detail)
        self.events = events


class MismatchedAnswerError(EngineError):
    """An answer has the id of another request; no part of it may be used."""


class Engine(abc.ABC):
    """A model engine with its staging area for chunks."""

    @abc.abstractmethod
    async def put_chunk(self, chunk_hash: data.ChunkHash, payload: bytes) -> None:
        """Stage a chunk, or a manifest, which is also addressed by its hash."""

    @abc.abstractmethod
    async def get_chunk(self, chunk_hash: data.ChunkHash) -> bytes | None:
        """Return a staged chunk, or None when it is not staged."""

    @abc.abstractmethod
    async def list_chunks(self) -> tuple[data.ChunkHash, ...]:
        """Return the hashes of all staged chunks."""

    @abc.abstractmethod
    async def delete_chunks(self, chunk_hashes: tuple[data.ChunkHash, ...]) -> None:
        """Delete staged chunks; absent chunks are no error."""

    @abc.abstractmethod
    async def send_order(
        self, order: effects.EngineOrder
    ) -> events.EngineOrderAnswered:
        """Send an order and return the engine's answer."""

    @abc.abstractmethod
    async def read_status(self) -> data.EngineStatus:
        """Return the engine's status.

        :raises EngineError: when the engine gives no usable answer.
        """

    @abc.abstractmethod
    def generate(
        self,
        request: data.Request,
        body: bytes,
        version: data.VersionName,
        resume_events: int = 0,
    ) -> AsyncIterator[bytes]:
        """Yield complete server-sent events as bytes; closing it cancels the request.

        :param version: the engine refuses unless exactly this version is active.
        :param resume_events: number of events at the start of the answer to skip.
        :raises EngineError: when the answer is not complete.
        """


class PlainService(abc.ABC):
    """A service that answers a call with a single payload."""

    @abc.abstractmethod
    async def call(self, request: data.Request, body: bytes) -> tuple[int, bytes]:
        """Return the status and payload of the service's answer.

        :raises EngineError: when there is no complete answer.
        """


class _StatusBody(msgspec.Struct):
    fence: int = 0
    active_version: str = ""
    digests: dict[str, str] = {}
    adapters: tuple[str, ...] = ()
    running: int = 0
    queued: int = 0


class _ServiceClient:
    """Base of the HTTP clients of an engine and of a plain service."""

    def __init__(self, client: http_client.HttpClient):
        self._client = client

    @classmethod
    def from_config(cls, address: data.Address) -> Self:
        """Return a client of the service at ``ip:port``.

        Nothing in the answers to orders and lists names the call that they belong to.
        """
        return cls(http_client.HttpClient(address, reuses_connections=False))

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()


class HttpEngine(_ServiceClient, Engine):
    """HTTP client of an engine."""

    async def put_chunk(self, chunk_hash: data.ChunkHash, payload: bytes) -> None:
        """Stage a chunk."""
        path = f"/v1/staging/{chunk_hash}"
        await self._call("PUT", path, payload, timeout_s=CHUNK_TIMEOUT_S)

    async def get_chunk(self, chunk_hash: data.ChunkHash) -> bytes | None:
        """Return a staged chunk."""
        path = f"/v1/staging/{chunk_hash}"
        try:
            return await self._call("GET", path, timeout_s=CHUNK_TIMEOUT_S)
        except EngineRefusedError as error:
            if error.status != http.NOT_FOUND:
                raise
            return None

    async def list_chunks(self) -> tuple[data.ChunkHash, ...]:
        """Return the hashes of all staged chunks."""
        payload = await self._call("GET", "/v1/staging")
        return _decode_body(payload, tuple[str, ...])

    async def delete_chunks(self, chunk_hashes: tuple[data.ChunkHash, ...]) -> None:
        """Delete staged chunks."""
        for chunk_hash in chunk_hashes:
            try:
                await self._call("DELETE", f"/v1/staging/{chunk_hash}")
            except EngineRefusedError as error:
                if error.status != http.NOT_FOUND:
                    raise

    async def send_order(
        self, order: effects.EngineOrder
    ) -> events.EngineOrderAnswered:
        """Send an order."""
        body = {
            "operation_id": order.operation_id,
            "fence": order.fence,
            "kind": order.kind.value,
            "model": order.model,
            "version": order.version,
            "manifest_hash": order.manifest_hash,
            "adapters": order.adapters,
        }
        accepted, stale, detail = True, False, ""
        try:
            await self._call(
                "POST",
                "/v1/orders",
                msgspec.json.encode(body),
                timeout_s=LOAD_TIMEOUT_S,
            )
        except EngineRefusedError as error:
            accepted, stale = False, error.status == http.CONFLICT
            detail = str(error)
        except EngineError as error:
            accepted, detail = False, str(error)
        return events.EngineOrderAnswered(order.operation_id, accepted, stale, detail)

    async def read_status(self) -> data.EngineStatus:
        """Return the engine's status."""
        body = _decode_body(await self._call("GET", "/v1/status"), _StatusBody)
        return data.EngineStatus(**msgspec.structs.asdict(body))

    async def generate(
        self,
        request: data.Request,
        body: bytes,
        version: data.VersionName,
        resume_events: int = 0,
    ) -> AsyncIterator[bytes]:
        """Yield complete server-sent events as bytes."""
        headers = {
            **_request_headers(request),
            "X-Priority": str(request.priority),
            "X-Version": version,
            "X-Adapter": request.adapter,
            "X-Resume-Events": str(resume_events),
        }
        response = await _open_response(
            self._client, "/v1/completions", body, headers, STREAM_SILENCE_TIMEOUT_S
        )
        try:
            await _check_answer_head(response, request)
            async for payload in _read_complete_events(response, request):
                yield payload
        finally:
            response.close()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> bytes:
        try:
            reply = await self._client.call(method, path, body, timeout_s=timeout_s)
        except http_client.HttpError as error:
            raise EngineError(str(error), error.sent) from error
        if not http_client.is_success(reply.status):
            detail = _format_refusal(reply.status, reply.body)
            raise EngineRefusedError(detail, reply.status)
        return reply.body


class HttpPlainService(_ServiceClient, PlainService):
    """HTTP client of a plain service."""

    async def call(self, request: data.Request, body: bytes) -> tuple[int, bytes]:
        """Return the status and payload of the service's answer."""
        headers = _request_headers(request)
        headers["Idempotency-Key"] = request.idempotency_key
        path = f"/v1/{urllib.parse.quote(request.service)}"
        response = await _open_response(
            self._client, path, body, headers, request.budget_s
        )
        try:
            _check_request_id(response, request)
            async with asyncio.timeout(request.budget_s):
                payload = await response.read(MAX_PLAIN_ANSWER_BYTES)
        except TimeoutError as error:
            raise EngineError(f"no whole answer in {request.budget_s} s") from error
        except http_client.HttpError as error:
            raise EngineError(str(error), error.sent) from error
        finally:
            response.close()
        return response.status, payload


def _request_headers(request: data.Request) -> dict[str, str]:
    return {
        "Content-Type": "application/json",
        "X-Request-Id": request.request_id,
        "X-Team": request.team,
    }


async def _open_response(
    client: http_client.HttpClient,
    path: str,
    body: bytes,
    headers: dict[str, str],
    timeout_s: float,
) -> http_client.Response:
    try:
        return await client.open("POST", path, body, headers, timeout_s)
    except http_client.HttpError as error:
        raise EngineError(str(error), error.sent) from error


def _check_request_id(response: http_client.Response, request: data.Request) -> None:
    answered_id = response.get_header("X-Request-Id")
    if answered_id != request.request_id:
        raise MismatchedAnswerError(
            f"answer of request {answered_id!r} came for {request.request_id!r}"
        )


async def _check_answer_head(
    response: http_client.Response, request: data.Request
) -> None:
    """Raise unless the answer belongs to the request and has a success status."""
    _check_request_id(response, request)
    if http_client.is_success(response.status):
        return
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            payload = await response.read(MAX_REFUSAL_BYTES)
    except (TimeoutError, http_client.HttpError):
        payload = b""
    raise EngineRefusedError(_format_refusal(response.status, payload), response.status)


async def _read_complete_events(
    response: http_client.Response, request: data.Request
) -> AsyncIterator[bytes]:
    """Yield the stream in complete events after checking the request id of each."""
    id_mark = b'"id":"' + request.request_id.encode() + b'"'
    buffered = b""
    event_count = 0
    blocks = response.iter_body()
    while True:
        try:
            # In Python 3.11, wait_for can lose a cancellation that coincides with a
            # result.
            async with asyncio.timeout(STREAM_SILENCE_TIMEOUT_S):
                block = await anext(blocks)
        except StopAsyncIteration as error:
            raise StreamBrokeError("stream ended early", event_count) from error
        except TimeoutError as error:
            detail = f"stream silent for {STREAM_SILENCE_TIMEOUT_S} s"
            raise StreamBrokeError(detail, event_count) from error
        except http_client.HttpError as error:
            raise StreamBrokeError(str(error), event_count) from error
        buffered += block
        end = buffered.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            continue
        complete, buffered = buffered[:end], buffered[end:]
        is_last = complete.endswith(STREAM_END)
        new_event_count = complete.count(EVENT_END) - is_last
        if complete.count(id_mark) != new_event_count:
            raise MismatchedAnswerError("an event carries the id of another request")
        event_count += new_event_count
        yield complete
        if is_last:
            return


def _format_refusal(status: int, payload: bytes) -> str:
    return f"status {status}: {payload[:200].decode(errors='replace')}"


def _decode_body(payload: bytes, kind: type):
    try:
        return decoder.decode_json(payload, kind)
    except decoder.MalformedError as error:
        raise EngineError(f"malformed answer: {error}") from error
