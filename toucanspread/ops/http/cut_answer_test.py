"""Tests over loopback that nothing but its caller or its engine cuts an answer."""

import asyncio
import socket

from toucanspread.ops import loop
from toucanspread.ops.http import http1_closing, http1_loopback_test, http1_server

REQUEST = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
OLD_REQUEST = b"GET / HTTP/1.0\r\nHost: h\r\n\r\n"
LARGE_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1500000\r\n\r\n"
MALFORMED = b"no request\r\n\r\n"
BODY = b"a" * 1_500_000
PART = b"a" * 65_536
RECEIVE_BUFFER_BYTES = 65_536
LARGE_BUFFER_BYTES = 1_000_000
PART_BYTES = 65_536
READ_TIMEOUT_S = 8.0
LIMITS = http1_server.Limits(1_000, 100, 2.0, 10.0)


class CutAnswerCase(http1_loopback_test.LoopbackCase):
    """Has one caller whose small receive buffer fills its link.

    :ivar pause_s: between two reads of the caller.
    """

    def setUp(self):
        super().setUp()
        self.pause_s = 0.01
        self.received = bytearray()
        self.handler.limits = LIMITS
        self.handler.on_request = self.answer

    def answer(self, exchange):
        exchange.respond(200, body=BODY)

    async def connect(self, buffer_bytes=RECEIVE_BUFFER_BYTES):
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        caller.setblocking(False)
        self.addCleanup(caller.close)
        address = ("127.0.0.1", self.port.getHost().port)
        await loop.EVENT_LOOP.sock_connect(caller, address)
        return caller

    async def send(self, caller, payload):
        await loop.EVENT_LOOP.sock_sendall(caller, payload)
        await asyncio.sleep(0.05)

    async def read(self, caller, size_bytes):
        """Read steadily until so many bytes or the end; return how it ended."""
        try:
            while len(self.received) < size_bytes:
                part = await loop.EVENT_LOOP.sock_recv(caller, PART_BYTES)
                if not part:
                    return "closed"
                self.received += part
                await asyncio.sleep(self.pause_s)
        except ConnectionResetError:
            return "reset"
        return "open"

    def run_caller(self, coroutine):
        return loop.EVENT_LOOP.run_until_complete(
            asyncio.wait_for(coroutine, READ_TIMEOUT_S)
        )

    def count_whole(self):
        """Return the number of whole answers that the caller has."""
        return self.received.count(BODY)


class CloseTest(CutAnswerCase):
    async def cross_the_close(self):
        caller = await self.connect()
        self.handler.leaving = True
        await self.send(caller, REQUEST % 1)
        # The answer is on its way, and the connection isn't read any more.
        await self.send(caller, REQUEST % 2)
        return await self.read(caller, 10 * len(BODY))

    def test_answer_is_whole_if_a_further_request_crosses_the_close(self):
        ended = self.run_caller(self.cross_the_close())
        self.assertEqual((1, "closed"), (self.count_whole(), ended))

    def test_request_that_crosses_the_close_is_neither_run_nor_read(self):
        targets = []

        def answer(exchange):
            targets.append(exchange.head.target)
            self.answer(exchange)

        self.handler.on_request = answer
        self.run_caller(self.cross_the_close())
        self.assertEqual([b"/1"], targets)

    async def keep_open(self):
        """Return how many connections are open some time after their close."""
        caller = await self.connect()
        self.handler.leaving = True
        await self.send(caller, REQUEST % 1)
        self.assertEqual("closed", await self.read(caller, 10 * len(BODY)))
        await self.send(caller, REQUEST % 2)
        await asyncio.sleep(http1_closing.LINGER_S + 0.5)
        return len(self.factory.connections)

    def test_caller_that_does_not_close_holds_no_connection(self):
        self.assertEqual(0, self.run_caller(self.keep_open()))

    async def read_nothing(self):
        """Return how many connections of a caller that reads nothing are open."""
        caller = await self.connect()
        self.handler.on_request = lambda exchange: exchange.respond(200, body=PART * 4)
        self.handler.leaving = True
        await self.send(caller, REQUEST % 1)
        await asyncio.sleep(http1_closing.MAX_LINGER_S + 0.5)
        return len(self.factory.connections)

    def test_caller_that_reads_nothing_holds_no_connection(self):
        self.assertEqual(0, self.run_caller(self.read_nothing()))

    async def send_large_request(self):
        caller = await self.connect()
        await self.send(caller, LARGE_HEAD + BODY)
        return await self.read(caller, 10 * len(BODY))

    def test_refusal_reaches_a_caller_that_reads_only_after_sending_everything(self):
        ended = self.run_caller(self.send_large_request())
        self.assertEqual("closed", ended)
        self.assertTrue(self.received.startswith(b"HTTP/1.1 413 "))

    async def stop_between_requests(self):
        caller = await self.connect()
        self.handler.on_request = self.handler.exchanges.append
        await self.send(caller, REQUEST % 1 + REQUEST % 2)
        self.handler.leaving = True
        self.handler.on_request = self.answer
        self.handler.exchanges[0].respond(200, body=BODY)
        return await self.read(caller, 10 * len(BODY))

    def test_requests_read_before_a_planned_stop_are_all_answered(self):
        self.run_caller(self.stop_between_requests())
        self.assertEqual(2, self.count_whole())


class BehindAnswerTest(CutAnswerCase):
    async def send_malformed(self):
        caller = await self.connect()
        self.handler.on_request = self.handler.exchanges.append
        await self.send(caller, REQUEST % 1)
        await self.send(caller, MALFORMED)
        self.handler.exchanges[0].respond(200, body=BODY)
        return await self.read(caller, 10 * len(BODY))

    def test_malformed_request_behind_a_sound_one_does_not_cut_its_answer(self):
        self.run_caller(self.send_malformed())
        self.assertEqual(1, self.count_whole())


class SteadyCallerTest(CutAnswerCase):
    async def read_two_answers(self):
        caller = await self.connect()
        await self.send(caller, REQUEST % 1 + REQUEST % 2)
        return await self.read(caller, 2 * len(BODY) + 100)

    def test_request_behind_a_slowly_read_answer_outlasts_the_idle_time(self):
        self.handler.limits = LIMITS._replace(idle_s=1.0)
        self.pause_s = 0.1
        self.run_caller(self.read_two_answers())
        self.assertEqual(2, self.count_whole())

    async def read_one_answer(self):
        caller = await self.connect(LARGE_BUFFER_BYTES)
        await self.send(caller, REQUEST % 1)
        return await self.read(caller, 2 * len(BODY) + 60)

    def test_kernel_does_not_cut_an_answer_that_is_read_steadily_in_small_parts(self):
        # The window opens only after the caller has read half of its buffer.
        self.handler.limits = LIMITS._replace(idle_s=2.0)
        self.handler.on_request = lambda exchange: exchange.respond(200, body=2 * BODY)
        self.pause_s = 0.1
        self.run_caller(self.read_one_answer())
        self.assertEqual(2, self.count_whole())


class UnframedAnswerTest(CutAnswerCase):
    """Has a caller of HTTP/1.0, whose answers end with the connection."""

    def start_answer(self, exchange):
        exchange.start(200, [])
        exchange.write(BODY)

    def finish_answer(self, exchange):
        self.start_answer(exchange)
        exchange.finish()

    def finish_large_answer(self, exchange):
        self.start_answer(exchange)
        exchange.write(10 * BODY)
        exchange.finish()

    async def close_own_side(self):
        caller = await self.connect()
        await self.send(caller, OLD_REQUEST)
        caller.shutdown(socket.SHUT_WR)
        return await self.read(caller, 10 * len(BODY))

    def test_answer_cut_since_its_caller_closed_its_side_does_not_look_complete(self):
        self.handler.on_request = self.start_answer
        self.assertEqual("reset", self.run_caller(self.close_own_side()))

    async def end_process(self):
        caller = await self.connect()
        await self.send(caller, OLD_REQUEST)
        self.factory.abort_incomplete()
        return await self.read(caller, 10 * len(BODY))

    def test_answer_in_progress_at_the_end_of_the_process_does_not_look_complete(self):
        self.handler.on_request = self.start_answer
        self.assertEqual("reset", self.run_caller(self.end_process()))

    def test_answer_on_its_way_at_the_end_of_the_process_does_not_look_complete(self):
        self.handler.on_request = self.finish_large_answer
        self.assertEqual("reset", self.run_caller(self.end_process()))

    async def read_answer(self):
        caller = await self.connect()
        await self.send(caller, OLD_REQUEST)
        await self.send(caller, OLD_REQUEST)
        return await self.read(caller, 10 * len(BODY))

    def test_complete_answer_ends_in_order_although_a_request_crosses_the_close(self):
        self.handler.on_request = self.finish_answer
        ended = self.run_caller(self.read_answer())
        self.assertEqual((1, "closed"), (self.count_whole(), ended))
