"""Tests over loopback how callers see the end of answers."""

import asyncio

import testtools
from twisted.internet import reactor

from standins import running_reactor
from toucanspread.ops import http1_server, http1_test, loop

REQUEST = b"GET /a/ HTTP/1.0\r\nHost: h\r\n\r\n"
LARGE_BODY = b"a" * 1_000_000


class LoopbackCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        running_reactor.start(self)
        self.handler = http1_test.RecordingHandler()
        factory = http1_server.ServerFactory(self.handler, reactor)
        self.port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.addCleanup(self.port.stopListening)


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
