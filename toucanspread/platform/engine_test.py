"""Tests over loopback that no call to an engine takes an older answer for its own.

The stand-in sends a copy of the last answer on a connection again where the next one is
expected, and the next one a little later.
"""

import asyncio
import hashlib

import testtools
from twisted.internet import reactor

from standins import running_reactor
from toucanspread.core.weights import staging_events
from toucanspread.ops import loop
from toucanspread.ops.http import http1_pool
from toucanspread.ops.pieces import engine_control, piece_cache
from toucanspread.platform import engine

LATE_S = 0.02
CLOSE_S = 0.02  # until both ends of a connection are closed
MAX_PIECE_BYTES = 65_536
ORDER = staging_events.SendOrder(2, staging_events.SwitchMode.TRUNCATE, 0)


class RepeatingEngine:
    """Answers calls, and repeats the last answer on a connection before each.

    :ivar connection_count: number of connections that were opened.
    """

    def __init__(self):
        self.connection_count = 0
        self.report_count = 0
        self.order_status = 202
        self.put_status = 201
        self.pieces = {}
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve(self, reader, writer):
        self.connection_count += 1
        last = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(read_length(head))
                writer.write(last)
                await asyncio.sleep(LATE_S if last else 0)
                method, target, _ = head.split(b" ", 2)
                status, content = self.answer(method, target.decode(), body)
                last = b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%b" % (
                    status,
                    len(content),
                    content,
                )
                writer.write(last)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def answer(self, method, target, body):
        number = int(target.partition("num=")[2] or -1)
        if target == "/-/report":
            self.report_count += 1
            return 200, b'{"sequence":%d,"born":5}' % self.report_count
        if target == "/-/order":
            return self.order_status, b""
        if method == b"PUT":
            self.pieces[number] = body
            return self.put_status, b""
        if number < 0:
            return 200, b'{"held":[%s]}' % b",".join(b"%d" % n for n in self.pieces)
        return 200, self.pieces[number]


def read_length(head):
    """Return the length of the body that a head states."""
    _, found, rest = head.lower().partition(b"content-length: ")
    return int(rest.partition(b"\r\n")[0]) if found else 0


class OlderAnswerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        running_reactor.start(self)
        self.peer = RepeatingEngine()
        address = self.run_async(self.peer.start())
        self.addCleanup(self.peer.server.close)
        self.pool = http1_pool.ConnectionPool(reactor)
        self.engine = engine.LocalEngine(self.pool, address, MAX_PIECE_BYTES)
        self.addCleanup(self.close_connections, address)

    def close_connections(self, address):
        # A test of trial that runs later fails if any is left.
        self.pool.close_idle(address)
        self.engine._report_pool.close_idle(address)
        self.run_async(asyncio.sleep(CLOSE_S))

    def run_async(self, coroutine):
        return loop.EVENT_LOOP.run_until_complete(coroutine)

    def call(self, coroutine):
        """Return the result of a call once its connection is idle."""

        async def call():
            result = await coroutine
            await asyncio.sleep(0)
            return result

        return self.run_async(call())

    def test_order_does_not_take_the_answer_to_a_read_for_its_own(self):
        self.peer.order_status = 409
        self.call(self.engine.list_pieces("m"))
        self.assertFalse(self.call(self.engine.send_order("m", ORDER)))

    def test_order_does_not_take_the_answer_to_a_report_for_its_own(self):
        self.peer.order_status = 409
        self.call(self.engine.read_report())
        self.assertFalse(self.call(self.engine.send_order("m", ORDER)))

    def test_order_does_not_take_the_answer_to_an_earlier_order_for_its_own(self):
        self.assertTrue(self.call(self.engine.send_order("m", ORDER)))
        self.peer.order_status = 409
        self.assertFalse(self.call(self.engine.send_order("m", ORDER)))

    def test_piece_is_not_taken_as_staged_by_the_answer_to_an_order(self):
        self.call(self.engine.send_order("m", ORDER))
        self.peer.put_status = 507
        with testtools.ExpectedException(engine_control.EngineError):
            self.call(self.engine.put_piece("m", 0, b"piece"))

    def test_order_that_has_begun_is_accepted(self):
        self.assertTrue(self.call(self.engine.send_order("m", ORDER)))

    def test_report_does_not_take_a_list_for_an_engine_that_holds_nothing(self):
        self.call(self.engine.list_pieces("m"))
        self.assertEqual(5, self.call(self.engine.read_report()).born_ms)

    def test_report_is_at_most_one_behind(self):
        for number in range(6):
            count = self.call(self.engine.read_report()).orders
            self.assertGreaterEqual(count, number)
            # Shorter than the interval of reports.
            self.run_async(asyncio.sleep(5 * LATE_S))

    def test_no_older_piece_passes_for_a_spoilt_one(self):
        self.peer.pieces = {0: b"a", 1: b"spoilt", 2: b"c"}
        digests = [hashlib.sha256(piece).hexdigest() for piece in (b"a", b"b", b"c")]
        for number in (0, 1, 2, 1, 1):
            piece = self.call(self.engine.get_piece("m", number))
            self.assertFalse(number == 1 and piece_cache.has_digest(piece, digests[1]))
