"""Stand-in for the origin of weights and for the rate-limited weight store.

It serves manifests by hash, and byte ranges of files, at these paths::

    manifests/<manifest hash>
    files/<manifest hash>/<path>

The served directory contains a file ``<manifest hash>.json`` and a directory
``<manifest hash>`` for each version. All responses share one token bucket.
``PUT /faults`` sets faults; ``GET /stats`` returns what was served.
"""

import asyncio
import json
import pathlib
import re

import defopt

from toucanspread.ops import loop  # isort: skip  # installs the reactor

from twisted.internet import endpoints, reactor
from twisted.web import resource, server

SLICE_BYTES = 64 * 1024
RANGE = re.compile(r"bytes=(\d+)-(\d+)$")


class TokenBucket:
    """A token bucket for all responses, first come, first served."""

    def __init__(self, rate_bytes_s: float):
        self.rate_bytes_s = rate_bytes_s
        self._free_at_s = 0.0

    def reserve(self, size_bytes: int) -> float:
        """Reserve ``size_bytes``; return the seconds until they may be sent."""
        now_s = reactor.seconds()
        self._free_at_s = max(self._free_at_s, now_s) + size_bytes / self.rate_bytes_s
        return self._free_at_s - now_s


class Origin(resource.Resource):
    """The resource of all paths of the origin."""

    isLeaf = True  # noqa: N815

    def __init__(self, directory: pathlib.Path, rate_bytes_s: float):
        super().__init__()
        self.directory = directory
        self.bucket = TokenBucket(rate_bytes_s)
        self.faults: dict[str, float | bool | str] = {}
        self.stats: dict[str, int] = {"requests": 0, "sent_bytes": 0, "refused": 0}
        self.sent_by_file: dict[str, int] = {}

    def render_PUT(self, request: server.Request) -> bytes:  # noqa: N802
        """Set faults: ``refuse``, ``delay_s``, ``rate_bytes_s``, ``corrupt_path``."""
        self.faults = json.load(request.content)
        self.bucket.rate_bytes_s = float(
            self.faults.get("rate_bytes_s", self.bucket.rate_bytes_s)
        )
        return b""

    def render_GET(self, request: server.Request):  # noqa: N802
        """Serve a manifest, a range of a file, or the statistics."""
        path = request.path.decode().lstrip("/")
        if path == "stats":
            return json.dumps({**self.stats, "files": self.sent_by_file}).encode()
        self.stats["requests"] += 1
        if self.faults.get("refuse"):
            self.stats["refused"] += 1
            request.setResponseCode(503)
            request.setHeader("retry-after", "1")
            return b"refused\n"
        file_path = self._find_file(path)
        if file_path is None:
            request.setResponseCode(404)
            return b"absent\n"
        payload = self._read_range(request, path, file_path)
        if payload is None:
            request.setResponseCode(416)
            return b"range\n"
        loop.spawn(self._send(request, path, payload))
        return server.NOT_DONE_YET

    def _find_file(self, path: str) -> pathlib.Path | None:
        kind, _, rest = path.partition("/")
        name = f"{rest}.json" if kind == "manifests" else rest
        file_path = (self.directory / name).resolve()
        if kind not in ("manifests", "files"):
            return None
        if not file_path.is_relative_to(self.directory.resolve()):
            return None
        return file_path if file_path.is_file() else None

    def _read_range(self, request, path: str, file_path: pathlib.Path) -> bytes | None:
        size_bytes = file_path.stat().st_size
        request.setHeader("accept-ranges", "bytes")
        range_header = request.getHeader("range")
        if range_header is None:
            return file_path.read_bytes()
        match = RANGE.match(range_header)
        if match is None or int(match[1]) >= size_bytes:
            request.setHeader("content-range", f"bytes */{size_bytes}")
            return None
        first, last = int(match[1]), min(int(match[2]), size_bytes - 1)
        request.setResponseCode(206)
        request.setHeader("content-range", f"bytes {first}-{last}/{size_bytes}")
        with file_path.open("rb") as stream:
            stream.seek(first)
            payload = stream.read(last - first + 1)
        if self.faults.get("corrupt_path") == path and payload:
            payload = bytes([payload[0] ^ 0xFF]) + payload[1:]
        return payload

    async def _send(self, request: server.Request, path: str, payload: bytes):
        finished = request.notifyFinish()
        endings = []
        finished.addBoth(endings.append)
        request.setHeader("content-length", str(len(payload)))
        await asyncio.sleep(float(self.faults.get("delay_s", 0.0)))
        for start in range(0, len(payload), SLICE_BYTES):
            piece = payload[start : start + SLICE_BYTES]
            await asyncio.sleep(self.bucket.reserve(len(piece)))
            if endings:
                return
            request.write(piece)
            self.stats["sent_bytes"] += len(piece)
            self.sent_by_file[path] = self.sent_by_file.get(path, 0) + len(piece)
        if not endings:
            request.finish()


def run(*, port: int, directory: pathlib.Path, rate_bytes_s: float) -> None:
    """Serve a directory until the process is stopped.

    :param port: TCP port to listen on, on 127.0.0.1.
    :param directory: the directory to serve.
    :param rate_bytes_s: rate that all responses share.
    """
    site = server.Site(Origin(directory, rate_bytes_s))
    endpoints.TCP4ServerEndpoint(reactor, port, interface="127.0.0.1").listen(site)
    reactor.run()


if __name__ == "__main__":
    defopt.run(run)
