"""Tests of calls whose answers arrive slowly or stop, over simulated links."""

import testtools

from standins import link_simulation, virtual_time
from toucanspread.ops.http import http1, http1_pool

TIMEOUT_S = 0.5


class SlowAnswerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = virtual_time.VirtualTimeLoop()
        self.addCleanup(self.loop.close)
        self.network = link_simulation.Network(self.loop)
        caller = self.network.add_machine("caller:1", 100.0)
        self.pool = link_simulation.SimulatedPool(self.network, caller)

    def call(self, mbps, size_bytes, stall_timeout_s):
        """Request an answer over a link; return its size."""
        server = self.network.add_machine("server:1", mbps)
        server.handle = lambda exchange: exchange.respond(200, body=bytes(size_bytes))
        head = http1.RequestHead(b"GET", b"/", [])
        call = self.pool.call(
            "server:1", head, b"", TIMEOUT_S, stall_timeout_s, max_body_bytes=size_bytes
        )
        return len(self.loop.run_until_complete(call).body)

    def test_an_answer_that_keeps_arriving_is_not_abandoned(self):
        self.assertEqual(300_000, self.call(1.2, 300_000, TIMEOUT_S))
        self.assertGreater(self.loop.time(), 2.0)

    def test_an_answer_without_a_stall_timeout_has_to_be_complete_in_time(self):
        self.assertRaises(http1_pool.CallError, self.call, 1.2, 300_000, None)
        self.assertAlmostEqual(TIMEOUT_S, self.loop.time())

    def test_an_answer_that_stops_is_abandoned(self):
        self.assertRaises(http1_pool.CallError, self.call, 0.04, 300_000, TIMEOUT_S)
        self.assertLess(self.loop.time(), 2.0)

    def test_an_answer_that_arrives_too_slowly_ends_at_the_limit(self):
        self.assertRaises(http1_pool.CallError, self.call, 0.1, 300_000, TIMEOUT_S)
        self.assertAlmostEqual(http1_pool.MAX_ANSWER_S, self.loop.time())

    def test_a_server_without_any_answer_is_abandoned_in_time(self):
        self.network.add_machine("silent:1", 1.0)
        head = http1.RequestHead(b"GET", b"/", [])
        call = self.pool.call("silent:1", head, b"", TIMEOUT_S, TIMEOUT_S)
        self.assertRaises(http1_pool.CallError, self.loop.run_until_complete, call)
        self.assertAlmostEqual(TIMEOUT_S, self.loop.time())
