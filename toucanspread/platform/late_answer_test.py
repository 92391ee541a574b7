"""Tests over loopback that no call takes the answer to an earlier one for its own.

The stand-in sends a copy of the last answer on a connection again where the next one is
expected, and the next one a little later.
"""

import asyncio
import contextlib
import json
from types import SimpleNamespace

import testtools
from twisted.internet import reactor

from standins import running_reactor
from toucanspread.core import data
from toucanspread.core.weights import piece_placement
from toucanspread.ops import loop
from toucanspread.ops.http import http1, http1_pool
from toucanspread.ops.pieces import piece_cache
from toucanspread.platform import engine, entry_handlers

LATE_S = 0.02
CLOSE_S = 0.02  # until both ends of a connection are closed
MAX_PIECE_BYTES = 65_536


class RepeatingServer:
    """Answers calls, and repeats the last answer on a connection before each.

    :param answer: coroutine that returns status and body for a method and target.
    :ivar targets: of the calls that were received.
    """

    def __init__(self, answer):
        self.targets = []
        self._answer = answer
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve(self, reader, writer):
        last = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(read_length(head))
                writer.write(last)
                await asyncio.sleep(LATE_S if last else 0)
                method, target, _ = head.decode().split(" ", 2)
                self.targets.append(target)
                status, content = await self._answer(method, target)
                last = b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%b" % (
                    status,
                    len(content),
                    content,
                )
                writer.write(last)
        writer.close()


def read_length(head):
    """Return the length of the body that a head states."""
    _, found, rest = head.lower().partition(b"content-length: ")
    return int(rest.partition(b"\r\n")[0]) if found else 0


class LateAnswerTestCase(testtools.TestCase):
    """Calls a server that repeats its answers."""

    def setUp(self):
        super().setUp()
        running_reactor.start(self)
        self.pool = http1_pool.ConnectionPool(reactor)

    def run_async(self, coroutine):
        return loop.EVENT_LOOP.run_until_complete(coroutine)

    def start_server(self, answer):
        """Start a server and return its address."""
        self.server = RepeatingServer(answer)
        address = self.run_async(self.server.start())
        self.addCleanup(self.server.server.close)
        self.addCleanup(self.close_connections, address)
        return address

    def close_connections(self, address):
        # A test of trial that runs later fails if any is left.
        self.pool.close_idle(address)
        self.run_async(asyncio.sleep(CLOSE_S))

    def call(self, coroutine):
        """Return the result of a call once its connection is idle."""

        async def call():
            result = await coroutine
            await asyncio.sleep(0)
            return result

        return self.run_async(call())


class OriginTest(LateAnswerTestCase):
    def make_origin(self, answer):
        address = self.start_server(answer)
        return engine.Origin(self.pool, lambda: address, lambda _: MAX_PIECE_BYTES)

    async def make_manifest(self, method, target):
        version = int(target.rpartition("=")[2])
        digests = [f"digest of {version}"]
        manifest = {"model": "m", "version": version, "digests": digests}
        return 200, json.dumps(manifest).encode()

    async def make_unnamed_manifest(self, method, target):
        return 200, json.dumps({"digests": [target]}).encode()

    def test_the_manifest_of_another_version_is_not_taken(self):
        origin = self.make_origin(self.make_manifest)
        for version in (5, 6, 7, 8):
            digests = self.call(origin.read_digests("m", version))
            self.assertEqual((f"digest of {version}",), digests)

    def test_a_manifest_without_a_version_is_not_taken_for_another(self):
        origin = self.make_origin(self.make_unnamed_manifest)
        for version in (5, 6, 7, 8):
            digests = self.call(origin.read_digests("m", version))
            self.assertEqual((f"/-/manifest/m?version={version}",), digests)

    def test_a_manifest_of_another_model_is_not_taken(self):
        async def answer(method, target):
            model = target.rpartition("/")[2].partition("?")[0]
            manifest = {"model": model, "version": 5, "digests": [model]}
            return 200, json.dumps(manifest).encode()

        origin = self.make_origin(answer)
        for model in ("a", "b", "a"):
            self.assertEqual((model,), self.call(origin.read_digests(model, 5)))

    def test_an_origin_that_only_has_another_version_is_asked_twice_at_most(self):
        async def answer(method, target):
            return await self.make_manifest(method, "version=5")

        origin = self.make_origin(answer)
        with testtools.ExpectedException(piece_cache.PieceError):
            self.call(origin.read_digests("m", 6))
        self.assertLessEqual(len(self.server.targets), 2)


class Exchange:
    """A request to an entry, and its answer."""

    def __init__(self, target):
        self.head = http1.RequestHead(b"GET", target.encode(), [])
        self.on_disconnected = None

    def respond(self, status, headers=(), body=b""):
        self.status = status
        self.headers = headers
        self.body = body


class Pieces:
    """Digests that an entry has in memory."""

    async def get_digests(self, model, version):
        return (f"digest of {version}",)

    def peek_digests(self, key):
        return None


class EntryManifestTest(LateAnswerTestCase):
    """A sidecar or an entry asks another entry for manifests."""

    async def answer(self, method, target):
        exchange = Exchange(target)
        program = SimpleNamespace(pieces=Pieces(), is_leaving=False)
        self.patch(loop, "spawn", self.spawned.append)
        entry_handlers.ControlHandler(program).on_request(exchange)
        await self.spawned.pop()
        return exchange.status, exchange.body

    async def answer_as_before_names(self, method, target):
        return await self.answer(method, target.replace("&named=1", ""))

    def check(self, answer):
        self.spawned = []
        address = self.start_server(answer)
        for version in (5, 6, 7):
            key = piece_placement.PieceKey(
                data.ModelName("m"), version, piece_placement.MANIFEST_NUMBER
            )
            digests = self.call(piece_cache.fetch_digests(self.pool, address, key))
            self.assertEqual((f"digest of {version}",), digests)

    def test_the_manifest_of_another_version_is_not_taken_from_an_entry(self):
        self.check(self.answer)

    def test_no_manifest_of_an_entry_of_an_earlier_release_is_taken_for_another(self):
        self.check(self.answer_as_before_names)
