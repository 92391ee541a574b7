"""Tests over loopback how callers see the end of an answer of unknown length."""

import asyncio

import testtools
from twisted.internet import reactor

from standins import running_reactor
from toucanspread.ops import http1_server, http1_test, loop

REQUEST = b"GET /a/ HTTP/1.0\r\nHost: h\r\n\r\n"


class UnframedAnswerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        running_reactor.start(self)
        self.handler = http1_test.RecordingHandler()
        factory = http1_server.ServerFactory(self.handler, reactor)
        self.port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.addCleanup(self.port.stopListening)

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
