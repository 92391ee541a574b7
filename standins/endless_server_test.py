"""Tests that answers without end are abandoned at a limit, over loopback."""

import asyncio

import testtools

from toucanspread.ops import loop  # isort: skip  (installs the reactor)

from twisted.internet import reactor

from standins import endless_server
from toucanspread.ops import http1, http1_client, http1_pool

TIMEOUT_S = 1.0
# What the server has sent beyond the limit waits in the sockets of both sides.
SOCKETS_BYTES = 8 * 1024 * 1024


def run(coroutine):
    return loop.EVENT_LOOP.run_until_complete(coroutine)


class EndlessAnswerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.pool = http1_pool.ConnectionPool(reactor)

    def start_server(self, answer):
        server = endless_server.EndlessServer(answer)
        port = reactor.listenTCP(0, server, interface="127.0.0.1")
        self.addCleanup(lambda: run(loop.as_future(port.stopListening())))
        return server, f"127.0.0.1:{port.getHost().port}"

    def check_abandoned(self, answers, max_sent_bytes):
        """Check that calls fail before their time is up and close the connection."""
        failures = {name: self.call(answer) for name, answer in answers.items()}
        sizes_bytes = {name: sent_bytes for name, (_, sent_bytes) in failures.items()}
        excessive = {
            n: size for n, size in sizes_bytes.items() if size > max_sent_bytes
        }
        self.assertEqual({}, excessive)
        too_large = http1_client.ExchangeFailure.TOO_LARGE
        expected = {name: too_large for name in answers}
        kinds = {name: error.failure for name, (error, _) in failures.items()}
        self.assertEqual(expected, kinds)

    def call(self, answer):
        """Return the error of a call, and how many bytes the server has sent by then.

        The connection has to be closed, and none may be left for another call.
        """
        server, address = self.start_server(answer)
        head = http1.RequestHead(b"GET", b"/", [])
        call = self.pool.call(address, head, timeout_s=TIMEOUT_S)
        error = self.assertRaises(http1_pool.CallError, run, call)
        run(self.wait_for_close(server))
        self.assertIsNone(self.pool.pop_idle(address, None))
        return error, server.sent_bytes

    async def wait_for_close(self, server):
        async with asyncio.timeout(TIMEOUT_S):
            while server.closed_count < server.opened_count:
                await asyncio.sleep(0.01)

    def test_a_call_abandons_a_head_without_end(self):
        self.check_abandoned(
            endless_server.ENDLESS_HEADS, http1.MAX_HEAD_BYTES + SOCKETS_BYTES
        )
