"""A stand-in for the origin of weights and for the rate-limited weight store.

It serves manifests by hash and files by byte range below one directory::

    manifests/<manifest hash>
    files/<manifest hash>/<path>

The directory holds ``<manifest hash>.json`` beside a directory ``<manifest hash>``.
All responses share one token bucket. ``PUT /faults`` sets faults, ``GET /stats``
tells what was served.
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


class Bucket:
    """Shares one rate among all responses, first come, first served."""

    def __init__(self, rate_bytes_s: float):
        self.rate_bytes_s = rate_bytes_s
        self._free_at_s = 0.0

    def delay(self, size_bytes: int) -> float:
        """Take ``size_bytes`` and return how long to wait before sending them."""
        now_s = reactor.seconds()
        self._free_at_s = max(self._free_at_s, now_s) + size_bytes / self.rate_bytes_s
        return self._free_at_s - now_s


class Origin(resource.Resource):
    """All paths of the origin."""

    isLeaf = True  # noqa: N815

    def __init__(self, directory: pathlib.Path, rate_bytes_s: float):
        super().__init__()
        self.directory = directory
        self.bucket = Bucket(rate_bytes_s)
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
        found = self._find(path)
        if found is None:
            request.setResponseCode(404)
            return b"absent\n"
        payload = self._read(request, path, found)
        if payload is None:
            request.setResponseCode(416)
            return b"range\n"
        loop.spawn(self._send(request, path, payload))
        return server.NOT_DONE_YET

    def _find(self, path: str) -> pathlib.Path | None:
        kind, _, rest = path.partition("/")
        name = f"{rest}.json" if kind == "manifests" else rest
        found = (self.directory / name).resolve()
        if kind not in ("manifests", "files"):
            return None
        if not found.is_relative_to(self.directory.resolve()):
            return None
        return found if found.is_file() else None

    def _read(self, request, path: str, found: pathlib.Path) -> bytes | None:
        size_bytes = found.stat().st_size
        request.setHeader("accept-ranges", "bytes")
        wanted = request.getHeader("range")
        if wanted is None:
            return found.read_bytes()
        match = RANGE.match(wanted)
        if match is None or int(match[1]) >= size_bytes:
            request.setHeader("content-range", f"bytes */{size_bytes}")
            return None
        first, last = int(match[1]), min(int(match[2]), size_bytes - 1)
        request.setResponseCode(206)
        request.setHeader("content-range", f"bytes {first}-{last}/{size_bytes}")
        with found.open("rb") as stream:
            stream.seek(first)
            payload = stream.read(last - first + 1)
        if self.faults.get("corrupt_path") == path and payload:
            payload = bytes([payload[0] ^ 0xFF]) + payload[1:]
        return payload

    async def _send(self, request: server.Request, path: str, payload: bytes):
        closed = request.notifyFinish()
        gone = []
        closed.addBoth(gone.append)
        request.setHeader("content-length", str(len(payload)))
        await asyncio.sleep(float(self.faults.get("delay_s", 0.0)))
        for start in range(0, len(payload), SLICE_BYTES):
            piece = payload[start : start + SLICE_BYTES]
            await asyncio.sleep(self.bucket.delay(len(piece)))
            if gone:
                return
            request.write(piece)
            self.stats["sent_bytes"] += len(piece)
            self.sent_by_file[path] = self.sent_by_file.get(path, 0) + len(piece)
        if not gone:
            request.finish()


def run(*, port: int, directory: pathlib.Path, rate_bytes_s: float) -> None:
    """Serve a directory.

    :param port: where to listen on 127.0.0.1.
    :param directory: what to serve.
    :param rate_bytes_s: the rate that all responses share.
    """
    site = server.Site(Origin(directory, rate_bytes_s))
    endpoints.TCP4ServerEndpoint(reactor, port, interface="127.0.0.1").listen(site)
    reactor.run()


if __name__ == "__main__":
    defopt.run(run)
