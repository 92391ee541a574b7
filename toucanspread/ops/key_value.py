"""Interface to the platform's key-value service, its HTTP client and effect adapter.

The client uses the published HTTP protocol of Consul's KV store and sessions. A key's
version is its ``ModifyIndex``, which increases over all keys and deletions. The
``ModifyIndex`` at which a lease was acquired serves as its fencing number.
"""

import abc
import asyncio
import base64
import dataclasses
import json
import time
from collections.abc import Awaitable, Callable, Mapping
from urllib.parse import quote

from toucanspread.core import data, decoder, effects, events
from toucanspread.ops import loop, runtime
from toucanspread.ops.http import http_client
from toucanspread.ops.telemetry import logs

CALL_TIMEOUT_S = 2.0
WATCH_GRACE_S = 2.0  # the service may answer a watch slightly after its wait

Status = data.KvStatus


class KeyValueError(Exception):
    """A call to the key-value service got no usable answer.

    :param sent: whether the service may have executed the call.
    """

    def __init__(self, sent: bool, detail: str):
        super().__init__(detail)
        self.sent = sent


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of a call."""

    status: data.KvStatus
    value: bytes = b""
    version: int = 0
    fence: data.FencingNumber = data.FencingNumber(0)
    holder: str = ""


@dataclasses.dataclass(frozen=True)
class _KeyState:
    """State of a key at the service.

    :param index: index of the key's last change, which may be its deletion.
    """

    index: int
    value: bytes = b""
    version: int = 0
    session: str = ""


class KeyValueService(abc.ABC):
    """The operations that the system needs of the key-value service.

    Every method raises :class:`KeyValueError` when it gets no usable answer.
    """

    @abc.abstractmethod
    async def read(self, key: str) -> Result:
        """Return OK or ABSENT."""

    @abc.abstractmethod
    async def watch(self, key: str, after_version: int, wait_s: float) -> Result:
        """Return OK or ABSENT on a change, UNCHANGED at the end of the wait."""

    @abc.abstractmethod
    async def write(self, key: str, value: bytes, expected_version: int) -> Result:
        """Return OK or CONFLICT; the version is 0 when it could not be read back."""

    @abc.abstractmethod
    async def delete(self, key: str, expected_version: int) -> Result:
        """Return OK or CONFLICT."""

    @abc.abstractmethod
    async def acquire(self, key: str, holder: str, ttl_s: float) -> Result:
        """Return OK with the fencing number, or CONFLICT with the holder."""

    @abc.abstractmethod
    async def renew(self, key: str, fence: data.FencingNumber) -> Result:
        """Return OK, or CONFLICT when the lease is lost for certain."""

    @abc.abstractmethod
    async def release(self, key: str, fence: data.FencingNumber) -> Result:
        """Return OK, or CONFLICT when the lease was lost before."""

    async def close(self) -> None:
        """Close open connections."""
        return


class HttpKeyValueService(KeyValueService):
    """Client of the HTTP protocol.

    Its calls are few, and most answers name none, so each has its own connection.

    :param url: base URL, such as ``http://10.0.0.5:8500``.
    """

    def __init__(self, url: str):
        self._client = http_client.HttpClient.from_url(url, reuses_connections=False)
        self._sessions: dict[str, str] = {}

    async def read(self, key: str) -> Result:
        """Read a key."""
        return _make_result(await self._read_key_state(key))

    async def watch(self, key: str, after_version: int, wait_s: float) -> Result:
        """Wait for a change of a key.

        Answers carry the index of the last change. The index of an absent key may be
        above ``after_version`` from the start, so the watch continues from that index.
        """
        deadline_s = time.monotonic() + wait_s
        index = max(after_version, 1)
        while True:
            remaining_s = max(deadline_s - time.monotonic(), 0.0)
            state = await self._read_key_state(key, index, remaining_s)
            if state.version and state.version != after_version:
                return _make_result(state)
            if after_version and not state.version:
                return _make_result(state)
            if state.index == index or time.monotonic() >= deadline_s:
                return Result(Status.UNCHANGED, version=after_version)
            index = state.index

    async def write(self, key: str, value: bytes, expected_version: int) -> Result:
        """Write a key if its version is the expected one."""
        path = f"{_kv_path(key)}?cas={expected_version}"
        if not await self._write_conditionally("PUT", path, value):
            return Result(Status.CONFLICT)
        return Result(Status.OK, value, await self._read_back_version(key, value))

    async def delete(self, key: str, expected_version: int) -> Result:
        """Delete a key if its version is the expected one."""
        path = f"{_kv_path(key)}?cas={expected_version}"
        is_deleted = await self._write_conditionally("DELETE", path)
        return Result(Status.OK if is_deleted else Status.CONFLICT)

    async def acquire(self, key: str, holder: str, ttl_s: float) -> Result:
        """Acquire a lease; renew it if this client already holds it."""
        state = await self._read_key_state(key)
        if state.session and state.session == self._sessions.get(key):
            renewed = await self.renew(key, data.FencingNumber(state.version))
            if renewed.status is Status.OK:
                return renewed
        elif state.session:
            return Result(Status.CONFLICT, holder=state.value.decode(errors="replace"))
        session = await self._create_session(ttl_s)
        self._sessions[key] = session
        try:
            path = f"{_kv_path(key)}?acquire={session}"
            await self._write_conditionally("PUT", path, holder.encode())
        except KeyValueError as error:
            if not error.sent:
                raise
            # The answer was lost; the session of the key shows whether it was acquired.
        state = await self._read_key_state(key)
        is_held = state.session == session
        return Result(
            Status.OK if is_held else Status.CONFLICT,
            fence=data.FencingNumber(state.version if is_held else 0),
            holder=state.value.decode(errors="replace"),
        )

    async def renew(self, key: str, fence: data.FencingNumber) -> Result:
        """Renew a lease by its session."""
        session = self._sessions.get(key)
        if session is None:
            return Result(Status.CONFLICT)
        reply = await self._call("PUT", f"/v1/session/renew/{session}", b"")
        if reply.status == 404:
            del self._sessions[key]
            return Result(Status.CONFLICT)
        return Result(Status.OK, fence=fence)

    async def release(self, key: str, fence: data.FencingNumber) -> Result:
        """Release a lease by ending its session."""
        session = self._sessions.pop(key, None)
        if session is None:
            return Result(Status.CONFLICT)
        await self._call("PUT", f"/v1/session/destroy/{session}", b"")
        return Result(Status.OK, fence=fence)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()

    async def _create_session(self, ttl_s: float) -> str:
        fields = {"TTL": f"{ttl_s:g}s", "Behavior": "release", "LockDelay": "0s"}
        reply = await self._call("PUT", "/v1/session/create", json.dumps(fields))
        return _parse_json(reply)["ID"]

    async def _read_key_state(
        self, key: str, index: int = 0, wait_s: float = 0.0
    ) -> _KeyState:
        path = _kv_path(key)
        timeout_s = CALL_TIMEOUT_S
        if index:
            path += f"?index={index}&wait={wait_s:.3f}s"
            timeout_s = wait_s + WATCH_GRACE_S
        reply = await self._call("GET", path, timeout_s=timeout_s)
        changed_index = int(reply.get_header("x-consul-index", "0"))
        if reply.status == 404:
            return _KeyState(changed_index)
        row = _parse_json(reply)[0]
        value = base64.b64decode(row["Value"] or "")
        session = row.get("Session", "")
        return _KeyState(changed_index, value, row["ModifyIndex"], session)

    async def _read_back_version(self, key: str, value: bytes) -> int:
        try:
            state = await self._read_key_state(key)
        except KeyValueError:
            return 0
        return state.version if state.value == value else 0

    async def _write_conditionally(
        self, method: str, path: str, body: bytes | None = None
    ) -> bool:
        return _parse_json(await self._call(method, path, body)) is True

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | str | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> http_client.Reply:
        payload = body.encode() if isinstance(body, str) else body or b""
        try:
            reply = await self._client.call(method, path, payload, timeout_s=timeout_s)
        except http_client.HttpError as error:
            raise KeyValueError(error.sent, f"{method} {path}: {error}") from error
        if reply.status >= 500:
            raise KeyValueError(True, f"{method} {path}: status {reply.status}")
        if reply.status >= 400 and reply.status != 404:
            raise KeyValueError(False, f"{method} {path}: status {reply.status}")
        return reply


class KeyValueAdapter(runtime.Adapter):
    """Executes the key-value effects and posts their results."""

    def __init__(
        self, service: KeyValueService, post: Callable[[data.Event], None]
    ) -> None:
        self._service = service
        self._post = post
        self._calls: set[asyncio.Task] = set()

    def handlers(self) -> Mapping[type, runtime.EffectHandler]:
        """Return the handlers of the key-value effects."""
        service = self._service
        return {
            effects.KvRead: lambda e: self._start_call(e, service.read(e.key), False),
            effects.KvWatch: lambda e: self._start_call(
                e, service.watch(e.key, e.after_version, e.wait_s), False
            ),
            effects.KvWrite: lambda e: self._start_call(
                e, service.write(e.key, e.value, e.expected_version), True
            ),
            effects.KvDelete: lambda e: self._start_call(
                e, service.delete(e.key, e.expected_version), True
            ),
            effects.LeaseAcquire: lambda e: self._start_call(
                e, service.acquire(e.key, e.holder, e.ttl_s), True
            ),
            effects.LeaseRenew: lambda e: self._start_call(
                e, service.renew(e.key, e.fence), True
            ),
            effects.LeaseRelease: lambda e: self._start_call(
                e, service.release(e.key, e.fence), True
            ),
        }

    async def stop(self) -> None:
        """Cancel the calls in progress and close the service."""
        for call in list(self._calls):
            call.cancel()
        await self._service.close()

    def _start_call(
        self, effect: data.Effect, call: Awaitable[Result], is_write: bool
    ) -> None:
        call_task = loop.spawn(self._run_call(effect, call, is_write))
        self._calls.add(call_task)
        call_task.add_done_callback(self._calls.discard)

    async def _run_call(
        self, effect: data.Effect, call: Awaitable[Result], is_write: bool
    ) -> None:
        result = await _resolve_call(call, is_write)
        self._post(
            events.KvAnswered(
                effect.operation_id,
                result.status,
                effect.key,
                result.value,
                result.version,
                result.fence,
                result.holder,
            )
        )


async def _resolve_call(call: Awaitable[Result], is_write: bool) -> Result:
    """Return the result of a call, even if it got no usable answer.

    A read without an answer is UNKNOWN; a write that was not sent is NOT_APPLIED.
    """
    try:
        return await call
    except KeyValueError as error:
        logs.write("key_value_failed", sent=error.sent, why=str(error))
        if is_write and not error.sent:
            return Result(Status.NOT_APPLIED)
        return Result(Status.UNKNOWN)


def _kv_path(key: str) -> str:
    return f"/v1/kv/{quote(key)}"


def _make_result(state: _KeyState) -> Result:
    if not state.version:
        return Result(Status.ABSENT)
    holder = state.value.decode(errors="replace") if state.session else ""
    return Result(Status.OK, state.value, state.version, holder=holder)


def _parse_json(reply: http_client.Reply) -> object:
    try:
        return decoder.parse_json(reply.body)
    except decoder.MalformedError as error:
        raise KeyValueError(
            True, f"malformed answer of the key-value service: {error}"
        ) from error
