"""Callers of an entry's process that stops, and what became of their requests."""

import asyncio
import contextlib
import itertools
import time

import msgspec

from standins import platform_deployment

CONNECT_TIMEOUT_S = 1.0
PAUSE_S = 0.02  # between a caller's requests
NEW_CALLER_INTERVAL_S = 0.1
_numbers = itertools.count(1)


class Outcome(msgspec.Struct):
    """What became of a request that was sent whole on an open connection.

    :ivar timeout_s: the caller's time limit.
    :ivar status: of its answer; 0 without one.
    :ivar is_whole: whether the answer was complete.
    :ivar closes: whether the answer announced the end of the connection.
    """

    attempt_id: str
    sent_s: float
    timeout_s: float
    status: int = 0
    is_whole: bool = False
    closes: bool = False
    retry_after_s: float | None = None
    ended_s: float = 0.0
    body: bytes = b""

    @property
    def has_timed_out(self) -> bool:
        """Return whether it ended at its time limit."""
        duration_s = self.ended_s - self.sent_s
        return self.status == 504 and duration_s >= self.timeout_s


class RequestKind(msgspec.Struct, frozen=True):
    """The requests that a caller sends.

    :param timeout_ms: the caller's time limit.
    :param work_s: how long an engine works on each.
    """

    path: str
    timeout_ms: int
    work_s: float
    is_stream: bool = False

    def make_outcome(self) -> Outcome:
        """Return the outcome of a request that is sent now."""
        timeout_s = self.timeout_ms / 1000
        return Outcome(make_attempt_id(), time.monotonic(), timeout_s)

    def render(self, attempt_id: str) -> bytes:
        """Return one request."""
        stream = "X-Stream: 1\r\n" if self.is_stream else ""
        return (
            f"POST {self.path} HTTP/1.1\r\nHost: {platform_deployment.HOST}\r\n"
            f"X-Attempt-Id: {attempt_id}\r\nX-Timeout-Ms: {self.timeout_ms}\r\n"
            f"Api-Key: {platform_deployment.KEY}\r\nX-Work-S: {self.work_s}\r\n"
            f"{stream}Content-Length: 2\r\n\r\nhi"
        ).encode()


def make_attempt_id() -> str:
    """Return an id that no other attempt has."""
    return f"{next(_numbers):016x}"


async def connect(entry: platform_deployment.Program):
    """Return the streams of a connection; None if the entry accepts none."""
    host, _, port = entry.get_address("front").rpartition(":")
    opening = asyncio.open_connection(host, int(port))
    try:
        return await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
    except (ConnectionError, TimeoutError):
        return None


async def read_answer(reader, outcome: Outcome) -> None:
    """Read the answer to a request."""
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        await _read_answer(reader, outcome)
    outcome.ended_s = time.monotonic()


async def _read_answer(reader, outcome: Outcome) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = head.split("\r\n")
    outcome.status = int(status_line.split()[1])
    headers = {name.lower(): value.strip() for name, _, value in map(_split, lines)}
    outcome.closes = headers.get("connection", "").lower() == "close"
    if "retry-after" in headers:
        outcome.retry_after_s = float(headers["retry-after"])
    if "content-length" in headers:
        outcome.body = await reader.readexactly(int(headers["content-length"]))
    else:
        while size_bytes := int(await reader.readuntil(b"\r\n"), 16):
            outcome.body += (await reader.readexactly(size_bytes + 2))[:-2]
        await reader.readexactly(2)
    outcome.is_whole = True


def _split(line: str) -> tuple[str, str, str]:
    return line.partition(":")


async def send_in_line(entry, kinds: list[RequestKind]) -> list[Outcome]:
    """Send requests at once on a new connection and return their outcomes."""
    streams = await connect(entry)
    if streams is None:
        return []
    reader, writer = streams
    outcomes = [kind.make_outcome() for kind in kinds]
    pairs = list(zip(kinds, outcomes, strict=True))
    writer.write(b"".join(kind.render(each.attempt_id) for kind, each in pairs))
    for outcome in outcomes:
        await read_answer(reader, outcome)
    writer.close()
    return outcomes


class NewCallers:
    """Send one request each, on new connections at an interval.

    :ivar outcomes: of their requests.
    """

    def __init__(self, entry: platform_deployment.Program, kind: RequestKind):
        self.outcomes: list[Outcome] = []
        self._entry = entry
        self._kind = kind

    async def run(self) -> None:
        """Send requests until no connection can be opened, and await all answers."""
        sending = []
        while (streams := await connect(self._entry)) is not None:
            outcome = self._kind.make_outcome()
            self.outcomes.append(outcome)
            sending.append(asyncio.ensure_future(self._send(*streams, outcome)))
            await asyncio.sleep(NEW_CALLER_INTERVAL_S)
        await asyncio.gather(*sending)

    async def _send(self, reader, writer, outcome: Outcome) -> None:
        writer.write(self._kind.render(outcome.attempt_id))
        await read_answer(reader, outcome)
        writer.close()


class KeptCaller:
    """Sends one request after the other, on one connection as long as that stays.

    It goes on with a new connection, as a caller with an older list of addresses does,
    until the entry accepts none.

    :ivar outcomes: of its requests.
    """

    def __init__(self, entry: platform_deployment.Program, kind: RequestKind):
        self.outcomes: list[Outcome] = []
        self._entry = entry
        self._kind = kind

    async def run(self) -> None:
        """Send requests until no connection can be opened."""
        while (streams := await connect(self._entry)) is not None:
            reader, writer = streams
            while await self._send_next(reader, writer):
                await asyncio.sleep(PAUSE_S)
            writer.close()
            await asyncio.sleep(PAUSE_S)

    async def _send_next(self, reader, writer) -> bool:
        """Send one request; return whether the connection is kept."""
        outcome = self._kind.make_outcome()
        self.outcomes.append(outcome)
        writer.write(self._kind.render(outcome.attempt_id))
        await read_answer(reader, outcome)
        return outcome.is_whole and not outcome.closes
