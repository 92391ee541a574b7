"""Tests over loopback that no dispatch takes an older answer for its own."""

import asyncio
import contextlib

from twisted.internet import reactor

from standins import running_reactor
from toucanspread.core import data
from toucanspread.ops import loop
from toucanspread.ops.forwarding import forwarder_test
from toucanspread.ops.http import http1_pool

REFUSAL = (
    b"HTTP/1.1 503 Full\r\nX-Attempt-Id: id-1\r\nX-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
ANSWER = forwarder_test.HEAD + b"Content-Length: 3\r\n\r\nown"
LATE_S = 0.05


class RefusingEngine:
    """Refuses its first request, and repeats the refusal before the next answer.

    :ivar run_count: number of requests that it has run.
    """

    def __init__(self):
        self.run_count = 0
        self.refusal_count = 0

    async def serve(self, reader, writer):
        last = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\nhi")
                writer.write(last)
                last = self.answer()
                await asyncio.sleep(LATE_S)
                writer.write(last)
        writer.close()

    def answer(self):
        if not self.refusal_count:
            self.refusal_count += 1
            return REFUSAL
        self.run_count += 1
        return ANSWER


class LoopbackCase(forwarder_test.ForwarderCase):
    """Forwards to engines over loopback."""

    def make_clock(self):
        return reactor

    def make_pool(self):
        return http1_pool.ConnectionPool(reactor)

    def listen(self, engine):
        """Serve the connections to an engine; return its address."""
        starting = asyncio.start_server(engine.serve, "127.0.0.1", 0)
        server = loop.EVENT_LOOP.run_until_complete(starting)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return data.Address(f"{host}:{port}")


class RepeatedRefusalTest(LoopbackCase):
    def start(self):
        running_reactor.start(self)
        self.addCleanup(lambda: loop.EVENT_LOOP.run_until_complete(self.close()))
        self.engines = [RefusingEngine(), RefusingEngine()]
        self.addresses = [self.listen(engine) for engine in self.engines]
        super().start()

    async def close(self):
        """Close the caller's connection and those to engines."""
        self.connection.connectionLost()
        for address in self.addresses:
            self.pool.close_idle(address)
        await asyncio.sleep(0.01)

    def get_address(self, service, number):
        return self.addresses[number - 1]

    async def wait_for_answer(self):
        for _ in range(100):
            await asyncio.sleep(0.01)
            if self.received():
                return

    def test_late_copy_of_a_refusal_is_not_the_answer_of_a_second_dispatch(self):
        self.connection.dataReceived(forwarder_test.REQUEST)
        loop.EVENT_LOOP.run_until_complete(self.wait_for_answer())
        self.assertTrue(self.received().endswith(b"own"), self.received())
        self.assertEqual([1, 1], [engine.refusal_count for engine in self.engines])
        self.assertEqual(1, sum(engine.run_count for engine in self.engines))
