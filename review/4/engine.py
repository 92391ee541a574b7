"""A model engine with few slots, a queue, and requests that take their time.

A request begins when a slot is free, and is answered as a whole when it has ended. One
whose connection closes is dropped, in the queue and in a slot.
"""

import asyncio
import collections
import json
import time

from review import fleet

SLOTS = 4
WORK_S = 2.5
POLL_INTERVAL_S = 0.01
LOADING_S = 0.3
MAX_HEAD_BYTES = 65_536


class QueueingEngine:
    """An engine that holds a version of the weights and loads staged ones on order.

    :param engine_id: its id in the store.
    :ivar begun: id, version and time of each request that has begun.
    """

    def __init__(self, engine_id: str, record: fleet.Record):
        self.engine_id = engine_id
        self.version = 1
        self.born_ms = int(time.time() * 1000)
        self.begun: list[tuple[str, int, float]] = []
        self._staged = {n: fleet.make_piece(1, n) for n in range(fleet.PIECE_COUNT)}
        self._record = record
        self._queue: collections.deque[str] = collections.deque()
        self._active = 0
        self._order_count = 0
        self._loading_until_s = 0.0

    async def start(self) -> str:
        """Listen and return the address."""
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=MAX_HEAD_BYTES
        )
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                target, headers = _parse_head(head)
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length)
                if target.startswith("/-/"):
                    status, answer = self._handle_call(target, body)
                    writer.write(_make_answer(status, [], answer))
                else:
                    await self._answer_caller(reader, writer, headers)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    def _handle_call(self, target: str, body: bytes) -> tuple[int, bytes]:
        path, _, query = target.partition("?")
        number = int(query.partition("num=")[2] or -1)
        if path == "/-/report":
            return 200, json.dumps(self._make_report()).encode()
        if path == "/-/order":
            return self._accept_order(json.loads(body))
        if path.startswith("/-/stage-put/"):
            self._staged[number] = body
            return 200, b""
        if number < 0:
            return 200, json.dumps({"held": sorted(self._staged)}).encode()
        return (200, self._staged[number]) if number in self._staged else (404, b"")

    def _make_report(self) -> dict:
        layers = [{"from": 0, "to": fleet.LAYER_COUNT, "version": self.version}]
        model = {"name": fleet.MODEL, "version": self.version, "adapters": []}
        return {
            "stage": "both",
            "models": [{**model, "layers": layers}],
            "busy": time.monotonic() < self._loading_until_s,
            "sequence": self._order_count,
            "queued": len(self._queue),
            "active": self._active,
            "kv_used": 0,
            "kv_total": 90_000,
            "handles": 0,
            "pace": 1.0,
            "born": self.born_ms,
        }

    def _accept_order(self, order: dict) -> tuple[int, bytes]:
        if order["expected"] != self._order_count:
            return 409, b""
        self._order_count += 1
        self._loading_until_s = time.monotonic() + LOADING_S
        self.version = order["version"]
        self._record.write(f"{self.engine_id} loads version {self.version}")
        return 202, b""

    async def _answer_caller(self, reader, writer, headers: dict[str, str]) -> None:
        attempt_id = headers["x-attempt-id"]
        is_other = headers.get("x-expect-instance") != self.engine_id
        if is_other or not self._has_version(headers):
            writer.write(_make_answer(421, self._own_headers(attempt_id), b""))
            return
        until_s = time.monotonic() + int(headers["x-timeout-ms"]) / 1000
        self._record.write(f"{self.engine_id} gets {attempt_id}")
        self._queue.append(attempt_id)
        try:
            while not self._may_begin(attempt_id):
                _check_open(reader)
                if time.monotonic() > until_s:
                    writer.write(_make_answer(503, self._own_headers(attempt_id), b""))
                    return
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            self._queue.remove(attempt_id)
        self._active += 1
        try:
            await self._run(reader, writer, attempt_id, until_s)
        finally:
            self._active -= 1

    def _may_begin(self, attempt_id: str) -> bool:
        is_loading = time.monotonic() < self._loading_until_s
        is_first = self._queue[0] == attempt_id
        return is_first and not is_loading and self._active < SLOTS

    def _has_version(self, headers: dict[str, str]) -> bool:
        return headers.get("x-expect-version", str(self.version)) == str(self.version)

    def _own_headers(self, attempt_id: str) -> list[str]:
        return [
            f"X-Attempt-Id: {attempt_id}",
            f"X-Instance-Id: {self.engine_id}",
            "X-Not-Executed: 1",
        ]

    async def _run(self, reader, writer, attempt_id: str, until_s: float) -> None:
        version, order_count = self.version, self._order_count
        begun_s = time.monotonic()
        self.begun.append((attempt_id, version, begun_s))
        self._record.write(f"{self.engine_id} begins {attempt_id} on version {version}")
        while time.monotonic() < begun_s + WORK_S:
            _check_open(reader)
            if order_count != self._order_count or time.monotonic() > until_s:
                # An order truncates what runs; the time limit ends it, too.
                writer.transport.abort()
                raise ConnectionAbortedError
            await asyncio.sleep(POLL_INTERVAL_S)
        headers = [
            f"X-Attempt-Id: {attempt_id}",
            f"X-Instance-Id: {self.engine_id}",
            f"X-Response-Seal: {fleet.SEAL}",
            f"X-Weight-Versions: {version}",
        ]
        writer.write(_make_answer(200, headers, b"answer to " + attempt_id.encode()))


def _check_open(reader: asyncio.StreamReader) -> None:
    if reader.at_eof() or reader.exception() is not None:
        raise ConnectionResetError


def _parse_head(head: str) -> tuple[str, dict[str, str]]:
    lines = head.strip().split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return lines[0].split(" ")[1], headers


def _make_answer(status: int, headers: list[str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} Status", *headers, f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
