"""A server that repeats its answers, for tests of what takes one for another.

It sends a copy of the last answer on a connection again where the next one is expected,
and the next one a little later.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from toucanspread.ops.http import http1

LATE_S = 0.02


class RepeatingServer:
    """Answers calls, and repeats the last answer on a connection before each.

    :param answer: coroutine that returns the status, the body and perhaps the headers
        of the answer to a method and target.
    :ivar targets: of the calls that were received.
    """

    def __init__(self, answer: Callable[[str, str], Awaitable[tuple]]):
        self.targets: list[str] = []
        self._answer = answer
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen, and return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(self, reader, writer) -> None:
        last = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(_read_length(head))
                writer.write(last)
                await asyncio.sleep(LATE_S if last else 0)
                method, target, _ = head.decode().split(" ", 2)
                self.targets.append(target)
                status, content, *headers = await self._answer(method, target)
                length = http1.Header(b"Content-Length", b"%d" % len(content))
                start_line = b"HTTP/1.1 %d OK" % status
                all_headers = [*(headers[0] if headers else ()), length]
                last = http1.render_head(start_line, all_headers) + content
                writer.write(last)
        writer.close()


def _read_length(head: bytes) -> int:
    """Return the length of the body that a head states."""
    _, found, rest = head.lower().partition(b"content-length: ")
    return int(rest.partition(b"\r\n")[0]) if found else 0
