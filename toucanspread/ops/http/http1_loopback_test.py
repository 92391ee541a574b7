"""Tests over loopback how callers see the end of answers."""

import asyncio

import testtools
from twisted.internet import reactor

from standins import running_reactor
from toucanspread.ops import loop
from toucanspread.ops.http import http1_server, http1_test

REQUEST = b"GET /a/ HTTP/1.0\r\nHost: h\r\n\r\n"
LAST_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
LARGE_BODY = b"a" * 1_000_000


class LoopbackCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        running_reactor.start(self)
        self.handler = http1_test.RecordingHandler()
        self.factory = http1_server.ServerFactory(self.handler, reactor)
        self.port = reactor.listenTCP(0, self.factory, interface="127.0.0.1")
        self.addCleanup(self.port.stopListening)
        self.addCleanup(lambda: loop.EVENT_LOOP.run_until_complete(self.end_all()))

    async def end_all(self):
        """End the connections, whose timers other tests would see."""
        while self.factory.connections:
            for connection in list(self.factory.connections):
                connection.abort()
            await asyncio.sleep(0.01)


class UnframedAnswerTest(LoopbackCase):
    def read_answer(self, end_answer):
        """Return what an HTTP/1.0 caller reads of a started answer until its end."""

        def answer(exchange):
            exchange.start(200, [])
            exchange.write(b"part")
            # The bytes sent so far leave before a reset.
            reactor.callLater(0.02, end_answer, exchange)

        async def read():
            address = ("127.0.0.1", self.port.getHost().port)
            reader, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST)
            try:
                return await asyncio.wait_for(reader.read(), 5.0)
            finally:
                writer.close()

        self.handler.on_request = answer
        return loop.EVENT_LOOP.run_until_complete(read())

    def test_complete_answer_ends_in_order(self):
        received = self.read_answer(lambda exchange: exchange.finish())
        self.assertTrue(received.endswith(b"\r\n\r\npart"))

    def test_broken_answer_ends_with_a_reset(self):
        with testtools.ExpectedException(ConnectionResetError):
            self.read_answer(lambda exchange: exchange.abort())


class LargeAnswerTest(LoopbackCase):
    def answer(self, exchange):
        exchange.respond(200, body=LARGE_BODY + exchange.head.target)

    def answer_at_length(self, exchange):
        exchange.respond(200, body=LARGE_BODY * 20)

    async def read_late(self, requests):
        """Return what a caller reads that begins to read late, until the end."""
        address = ("127.0.0.1", self.port.getHost().port)
        reader, writer = await asyncio.open_connection(*address, limit=65_536)
        writer.write(requests)
        await asyncio.sleep(0.3)
        try:
            return await asyncio.wait_for(reader.read(), 10.0)
        finally:
            writer.close()

    def test_answers_that_are_read_late_are_complete_up_to_the_last(self):
        requests = [b"GET /%d HTTP/1.1\r\nHost: h\r\n" % i for i in range(20)]
        sent = b"\r\n".join([*requests, b""])[:-2] + b"Connection: close\r\n\r\n"
        self.handler.on_request = self.answer
        received = loop.EVENT_LOOP.run_until_complete(self.read_late(sent))
        self.assertEqual(20, received.count(b"HTTP/1.1 200 OK"))
        self.assertTrue(received.endswith(b"a/19"))
        self.assertGreater(len(received), 20 * len(LARGE_BODY))

    async def read_nothing(self, request):
        """Return how many connections are open some time after a request."""
        address = ("127.0.0.1", self.port.getHost().port)
        _, writer = await asyncio.open_connection(*address, limit=65_536)
        writer.write(request)
        try:
            await asyncio.sleep(2.5)
            return len(self.factory.connections)
        finally:
            writer.close()

    def test_connection_of_which_nothing_is_read_ends_after_the_idle_time(self):
        self.handler.limits = self.handler.limits._replace(idle_s=0.5)
        self.handler.on_request = self.answer_at_length
        open_count = loop.EVENT_LOOP.run_until_complete(self.read_nothing(LAST_REQUEST))
        self.assertEqual(0, open_count)

    async def read_slowly(self, request):
        """Return what a caller reads in parts, longer than the idle time."""
        address = ("127.0.0.1", self.port.getHost().port)
        reader, writer = await asyncio.open_connection(*address, limit=65_536)
        writer.write(request)
        received = bytearray()
        while part := await reader.read(500_000):
            received += part
            await asyncio.sleep(0.02)
        writer.close()
        return received

    def test_answer_that_is_read_slowly_may_take_longer_than_the_idle_time(self):
        self.handler.limits = self.handler.limits._replace(idle_s=0.5)
        self.handler.on_request = self.answer_at_length
        started_s = reactor.seconds()
        received = loop.EVENT_LOOP.run_until_complete(self.read_slowly(LAST_REQUEST))
        self.assertGreater(reactor.seconds() - started_s, 1.0)
        self.assertTrue(received.endswith(LARGE_BODY))
        self.assertGreater(len(received), 20 * len(LARGE_BODY))
