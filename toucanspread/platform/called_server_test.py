"""Tests over loopback that engine and origin get no calls while they want none."""

import asyncio

import testtools
from twisted.internet import reactor
from twisted.web import resource, server

from standins import running_reactor
from toucanspread.core import data
from toucanspread.core.weights import piece_placement
from toucanspread.ops import loop
from toucanspread.ops.http import http1_pool
from toucanspread.ops.pieces import engine_control, piece_cache
from toucanspread.platform import engine

BACKOFF_S = 0.3
CLOSE_S = 0.02  # until both ends of a connection are closed
KEY = piece_placement.PieceKey(data.ModelName("m"), 1, 0)
MAX_PIECE_BYTES = 1_000


class RejectingServer(resource.Resource):
    """Rejects calls with 503 while ``retry_after`` is set.

    :ivar paths: the paths of the calls.
    """

    isLeaf = True  # noqa: N815

    def __init__(self):
        super().__init__()
        self.paths = []
        self.retry_after = None

    def render(self, request):
        self.paths.append(request.path)
        if self.retry_after is not None:
            request.setResponseCode(503)
            request.setHeader("retry-after", self.retry_after)
            return b""
        if request.path == b"/-/report":
            return b'{"sequence":0,"born":5}'
        return b"bytes"


class CalledServerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        running_reactor.start(self)
        self.server = RejectingServer()
        self.addresses = [self.listen(), self.listen()]
        self.address = self.addresses[0]
        self.pool = http1_pool.ConnectionPool(reactor)
        self.engine = engine.LocalEngine(self.pool, self.address, MAX_PIECE_BYTES)
        self.origin = engine.Origin(
            self.pool, lambda: self.address, lambda model: MAX_PIECE_BYTES
        )
        self.addCleanup(self.close_connections)

    def listen(self):
        """Return one more address of the server."""
        port = reactor.listenTCP(0, server.Site(self.server), interface="127.0.0.1")
        self.addCleanup(lambda: self.run_async(loop.as_future(port.stopListening())))
        return data.Address(f"127.0.0.1:{port.getHost().port}")

    def close_connections(self):
        # A test of trial that runs later fails if any is left.
        for address in self.addresses:
            self.pool.close_idle(address)
            self.engine._report_pool.close_idle(address)
        self.run_async(asyncio.sleep(CLOSE_S))

    def run_async(self, coroutine):
        return loop.EVENT_LOOP.run_until_complete(coroutine)

    def check_fails(self, kind, coroutine):
        with testtools.ExpectedException(kind):
            self.run_async(coroutine)

    def check_backoff(self, kind, call):
        self.server.retry_after = str(BACKOFF_S)
        self.check_fails(kind, call())
        self.server.retry_after = None
        for _ in range(5):
            self.check_fails(kind, call())
        self.assertEqual(1, len(self.server.paths))

    def wait_for_end(self):
        self.run_async(asyncio.sleep(BACKOFF_S))

    def test_an_engine_gets_no_calls_of_its_sidecar_in_the_time_that_it_names(self):
        self.check_backoff(engine_control.EngineError, self.engine.read_report)
        self.check_fails(
            engine_control.EngineError, self.engine.put_piece("m", 0, b"piece")
        )
        self.assertEqual(1, len(self.server.paths))
        self.wait_for_end()
        self.assertEqual(5, self.run_async(self.engine.read_report()).born_ms)

    def test_the_origin_gets_no_calls_in_the_time_that_it_names(self):
        self.check_backoff(piece_cache.PieceError, lambda: self.origin.read_piece(KEY))
        self.check_fails(piece_cache.PieceError, self.origin.read_digests("m", 1))
        self.assertEqual(1, len(self.server.paths))
        self.wait_for_end()
        self.assertEqual(b"bytes", self.run_async(self.origin.read_piece(KEY)))

    def test_a_rejection_without_a_time_is_tried_again(self):
        self.server.retry_after = "soon"
        for _ in range(3):
            self.check_fails(piece_cache.PieceError, self.origin.read_piece(KEY))
        self.assertEqual(3, len(self.server.paths))

    def test_an_origin_at_another_address_owes_nothing(self):
        self.check_backoff(piece_cache.PieceError, lambda: self.origin.read_piece(KEY))
        self.address = self.addresses[1]
        self.assertEqual(b"bytes", self.run_async(self.origin.read_piece(KEY)))
