"""Stand-in for an engine that works on each request for as long as the request says.

It records what it received, and whether the connection ended before its answer did.
"""

import asyncio
import time

import msgspec

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
BODY = b"whole"
EVENT_INTERVAL_S = 0.1
MAX_HEAD_BYTES = 65_536


class Received(msgspec.Struct):
    """A request that reached the engine.

    :ivar cut_s: when its connection ended before the answer was complete.
    :ivar is_rejected: whether the engine rejected it without running it.
    :ivar pauses: whether the engine will pause once while it works on it.
    """

    attempt_id: str
    at_s: float
    work_s: float
    answered_s: float | None = None
    cut_s: float | None = None
    is_rejected: bool = False
    pauses: bool = False


class WorkingEngine:
    """Serves requests that name the time of their work in ``X-Work-S``.

    :ivar received: all requests, in the order of their receipt.
    """

    def __init__(self):
        self.received: list[Received] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen on the loopback interface and return the address."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=MAX_HEAD_BYTES
        )
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def find(self, attempt_id: str) -> list[Received]:
        """Return what was received of a caller's attempt."""
        return [each for each in self.received if each.attempt_id == attempt_id]

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                await self._answer_next(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    async def _answer_next(self, reader, writer) -> None:
        headers = _parse_headers(await reader.readuntil(b"\r\n\r\n"))
        await reader.readexactly(int(headers.get("content-length", 0)))
        work_s = float(headers["x-work-s"])
        received = Received(headers["x-attempt-id"], time.monotonic(), work_s)
        self.received.append(received)
        caller_end = asyncio.ensure_future(reader.read(1))
        try:
            await self._answer(writer, headers, received, caller_end)
        finally:
            caller_end.cancel()
            await asyncio.wait({caller_end})

    async def _answer(self, writer, headers, received, caller_end) -> None:
        head = (
            f"HTTP/1.1 200 OK\r\nX-Response-Seal: {SEAL}\r\n"
            f"X-Attempt-Id: {received.attempt_id}\r\n"
        ).encode()
        if "x-stream" in headers:
            sent_count = int(headers.get("last-event-id", 0))
            await self._write_stream(writer, head, received, caller_end, sent_count)
        else:
            await self._write_answer(writer, head, received, caller_end)

    async def _write_answer(self, writer, head, received, caller_end) -> None:
        await self._work(received.work_s, received, caller_end)
        writer.write(head + b"Content-Length: %d\r\n\r\n%b" % (len(BODY), BODY))
        received.answered_s = time.monotonic()

    async def _write_stream(
        self, writer, head, received, caller_end, sent_count
    ) -> None:
        writer.write(head + b"Content-Type: text/event-stream\r\n")
        writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
        event_count = round(received.work_s / EVENT_INTERVAL_S)
        for number in range(1 + sent_count, 1 + event_count):
            await self._work(EVENT_INTERVAL_S, received, caller_end)
            event = b"id: %d\ndata: a\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")
        received.answered_s = time.monotonic()

    async def _work(self, duration_s, received, caller_end) -> None:
        await asyncio.wait({caller_end}, timeout=duration_s)
        if caller_end.done():
            received.cut_s = time.monotonic()
            raise ConnectionAbortedError


def _parse_headers(head: bytes) -> dict[str, str]:
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = [line.partition(":") for line in lines if line]
    return {name.lower(): value.strip() for name, _, value in pairs}
