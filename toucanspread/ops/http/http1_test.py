"""Tests both sides of HTTP/1.1 connections with in-memory transports."""

import gc
import socket

import hypothesis
import testtools
from hypothesis import strategies
from twisted.internet import error, task
from twisted.internet.testing import StringTransport
from twisted.python import failure

from toucanspread.ops.http import http1, http1_client, http1_server

REQUEST = (
    b"POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nContent-Length: 3\r\n\r\nabc"
)
CHUNKED = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
MAX_TESTED_BYTES = 1_000_000


class Transport(StringTransport):
    def setTcpNoDelay(self, enabled):  # noqa: N802
        return

    def getHandle(self):  # noqa: N802
        return self

    def setsockopt(self, level, option, value):
        return

    def loseWriteConnection(self):  # noqa: N802
        self.disconnecting = True


class UserTimeoutTest(testtools.TestCase):
    def test_a_time_beyond_the_largest_of_the_kernel_is_no_error(self):
        handle = socket.socket()
        self.addCleanup(handle.close)
        transport = Transport()
        transport.getHandle = lambda: handle
        http1.set_user_timeout(transport, 1e12)


class RecordingHandler(http1_server.RequestHandler):
    """Records the requests; the tests send the answers."""

    def __init__(self):
        self.exchanges = []
        self.leaving = False
        self.limits = http1_server.Limits(1_000, 100, 2.0, 10.0)

    def on_request(self, exchange):
        self.exchanges.append(exchange)

    def get_limits(self):
        return self.limits

    def is_closing(self):
        return self.leaving


class ServerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.connect()

    def connect(self):
        self.clock = task.Clock()
        self.handler = RecordingHandler()
        self.connection = http1_server.ServerFactory(
            self.handler, self.clock
        ).buildProtocol(None)
        self.transport = Transport()
        self.connection.makeConnection(self.transport)

    def receive(self, data):
        self.connection.dataReceived(data)

    def sent(self):
        return self.transport.value()

    def test_request_received_byte_by_byte_is_parsed_as_one(self):
        for position in range(len(REQUEST)):
            self.receive(REQUEST[position : position + 1])
        (exchange,) = self.handler.exchanges
        self.assertEqual(b"/a/b?c=d", exchange.head.target)
        self.assertEqual(b"abc", exchange.body)

    def test_pipelined_requests_are_answered_in_order(self):
        self.receive(REQUEST * 2)
        self.assertEqual(1, len(self.handler.exchanges))
        self.handler.exchanges[0].respond(200, body=b"one")
        self.clock.advance(0)
        self.handler.exchanges[1].respond(200, body=b"two")
        self.assertLess(self.sent().index(b"one"), self.sent().index(b"two"))

    def test_aborted_answer_has_no_final_chunk(self):
        self.receive(REQUEST)
        exchange = self.handler.exchanges[0]
        exchange.start(200, [])
        exchange.write(b"part")
        exchange.abort()
        self.assertFalse(self.sent().endswith(http1.LAST_CHUNK))
        self.assertTrue(self.transport.disconnected)

    def test_http_1_0_caller_gets_an_unframed_answer_that_ends_with_the_connection(
        self,
    ):
        self.receive(REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"))
        exchange = self.handler.exchanges[0]
        exchange.start(200, [])
        exchange.write(b"one")
        exchange.write(b"two")
        exchange.finish()
        self.assertNotIn(b"Transfer-Encoding", self.sent())
        self.assertIn(b"Connection: close", self.sent())
        self.assertTrue(self.sent().endswith(b"\r\n\r\nonetwo"))
        self.assertTrue(self.transport.disconnecting)
        self.assertFalse(self.transport.disconnected)

    def test_http_1_0_caller_that_keeps_its_connection_is_told_of_the_close(self):
        request = REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0")
        self.receive(request.replace(b"Host", b"Connection: keep-alive\r\nHost"))
        self.handler.exchanges[0].respond(200, body=b"ok")
        self.assertIn(b"Connection: close", self.sent())
        self.assertTrue(self.transport.disconnecting)

    def test_invalid_and_oversized_requests_get_their_status(self):
        cases = {
            b"GET / HTTP/1.1\r\nHost: h\r\nA: " + b"a" * 2_000 + b"\r\n\r\n": b"431",
            b"GET / HTTP/1.1\r\nA: " + b"a" * 2_000: b"431",
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n": b"413",
            b"nonsense\r\n\r\n": b"400",
        }
        for data, status in cases.items():
            self.connect()
            self.receive(data)
            self.assertEqual([], self.handler.exchanges)
            self.assertTrue(self.sent().startswith(b"HTTP/1.1 " + status), data[:40])

    def test_slow_head_times_out_and_idle_connection_closes(self):
        self.receive(b"GET / HT")
        self.clock.advance(2.1)
        self.assertIn(b"408", self.sent())
        self.connect()
        self.clock.advance(10.1)
        self.assertEqual(b"", self.sent())
        self.assertTrue(self.transport.disconnecting)

    def test_disconnection_of_the_caller_is_reported(self):
        self.receive(REQUEST)
        calls = []
        self.handler.exchanges[0].on_disconnected = lambda: calls.append(True)
        self.connection.connectionLost(failure.Failure(error.ConnectionDone()))
        self.assertEqual([True], calls)

    def test_request_that_waits_is_not_started_after_a_disconnection(self):
        self.receive(REQUEST * 2)
        self.handler.exchanges[0].respond(200)
        self.connection.connectionLost(failure.Failure(error.ConnectionDone()))
        self.clock.advance(0)
        self.assertEqual(1, len(self.handler.exchanges))

    def test_disconnection_is_reported_if_a_refusal_waits_for_the_answer(self):
        self.receive(REQUEST)
        calls = []
        self.handler.exchanges[0].on_disconnected = lambda: calls.append(True)
        self.receive(b"nonsense\r\n\r\n")
        self.assertEqual(b"", self.sent())
        self.assertEqual("producing", self.transport.producerState)
        self.connection.connectionLost(failure.Failure(error.ConnectionLost()))
        self.assertEqual([True], calls)

    def receive_malformed(self, *parts):
        """Receive parts with two sound requests; return the statuses of answers."""
        self.connect()
        for part in parts:
            self.receive(part)
        while self.answer_next():
            continue
        self.assertTrue(self.transport.disconnecting)
        heads = self.sent().split(b"HTTP/1.1 ")[1:]
        return [head[:3] for head in heads]

    def test_refusal_follows_the_answers_to_the_requests_before_it(self):
        bad, sound = b"nonsense\r\n\r\n", REQUEST + REQUEST
        expected = [b"200", b"200", b"400"]
        self.assertEqual(expected, self.receive_malformed(sound + bad))
        self.assertEqual(expected, self.receive_malformed(sound, bad))
        self.assertEqual(expected, self.receive_malformed(sound, bad, REQUEST))
        large = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n"
        statuses = self.receive_malformed(sound, large, b"a" * 101, REQUEST)
        self.assertEqual([b"200", b"200", b"413"], statuses)

    def test_refusal_is_not_mixed_into_a_started_answer(self):
        self.receive(REQUEST)
        exchange = self.handler.exchanges[0]
        exchange.start(200, [])
        exchange.write(b"one")
        self.receive(b"nonsense\r\n\r\n")
        exchange.write(b"two")
        exchange.finish()
        answer, refusal, _ = self.sent().partition(b"HTTP/1.1 400")
        body = answer.partition(b"\r\n\r\n")[2]
        self.assertEqual(b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n", body)
        self.assertEqual(b"HTTP/1.1 400", refusal)

    def test_no_refusal_follows_an_answer_that_announces_the_close(self):
        last = REQUEST.replace(b"Host", b"Connection: close\r\nHost")
        self.receive(last)
        self.receive(b"nonsense\r\n\r\n")
        self.handler.exchanges[0].respond(200)
        self.assertNotIn(b"HTTP/1.1 400", self.sent())
        self.assertTrue(self.transport.disconnecting)

    def test_leaving_entry_closes_the_connection_after_the_answer(self):
        self.receive(REQUEST)
        self.handler.leaving = True
        self.handler.exchanges[0].respond(200)
        self.assertIn(b"Connection: close", self.sent())
        self.assertTrue(self.transport.disconnecting)

    def test_leaving_entry_announces_the_close_in_the_last_answer_only(self):
        self.receive(REQUEST * 3)
        self.handler.leaving = True
        while self.answer_next():
            continue
        answers = self.sent().split(b"HTTP/1.1 200 OK")[1:]
        is_announced = [b"Connection: close" in answer for answer in answers]
        self.assertEqual([False, False, True], is_announced)
        self.assertTrue(self.transport.disconnecting)

    def test_leaving_entry_answers_a_request_that_came_during_a_stream(self):
        self.handler.leaving = True
        self.receive(REQUEST)
        self.handler.exchanges[0].start(200, [])
        self.receive(REQUEST)
        self.handler.exchanges[0].finish()
        self.clock.advance(0.01)
        self.assertEqual(2, len(self.handler.exchanges))
        self.handler.exchanges[1].respond(503)
        self.assertIn(b"HTTP/1.1 503", self.sent())
        self.assertTrue(self.transport.disconnecting)

    def test_connection_reads_nothing_more_when_the_process_is_about_to_end(self):
        self.handler.leaving = True
        self.receive(REQUEST * 2)
        self.connection.stop_reading()
        self.assertEqual("paused", self.transport.producerState)
        self.answer_next()
        self.answer_next()
        self.assertEqual(2, self.sent().count(b"HTTP/1.1 200 OK"))
        self.assertEqual("paused", self.transport.producerState)

    def test_leaving_entry_closes_the_connection_after_a_stream(self):
        self.handler.leaving = True
        self.receive(REQUEST)
        self.handler.exchanges[0].start(200, [])
        self.assertFalse(self.transport.disconnecting)
        self.handler.exchanges[0].finish()
        self.assertTrue(self.transport.disconnecting)

    def test_leaving_entry_that_answers_at_once_answers_all_that_was_read(self):
        self.handler.on_request = lambda exchange: exchange.respond(200)
        self.handler.leaving = True
        count = 2 * http1_server.PARSED_AT_ONCE_BYTES // len(REQUEST)
        self.receive(REQUEST * count)
        while not self.transport.disconnecting:
            self.clock.advance(0.01)
        self.assertEqual(count, self.sent().count(b"HTTP/1.1 200 OK"))

    def test_caller_that_goes_on_sending_requests_does_not_hold_up_a_stop(self):
        self.receive(REQUEST * 2)
        self.handler.leaving = True
        for _ in range(20):
            if self.transport.producerState == "producing":
                self.receive(REQUEST)
            if not self.answer_next():
                break
        self.assertLess(len(self.handler.exchanges), 5)
        self.assertTrue(self.transport.disconnecting)

    def test_handler_error_is_not_answered_as_a_malformed_request(self):
        def fail(exchange):
            raise RuntimeError("a fault")

        self.handler.on_request = fail
        with testtools.ExpectedException(RuntimeError):
            self.receive(REQUEST)
        self.assertEqual(b"", self.sent())
        self.assertTrue(self.transport.disconnected)

    def test_request_with_two_framings_is_rejected(self):
        self.receive(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n"
        )
        self.assertEqual([], self.handler.exchanges)

    def receive_without_end(self, beginning, repeated):
        """Return how many bytes are received until the connection is closed."""
        self.connect()
        self.receive(beginning)
        received_bytes = len(beginning)
        while not self.transport.disconnecting:
            self.receive(repeated)
            received_bytes += len(repeated)
            if received_bytes > MAX_TESTED_BYTES:
                break
        return received_bytes

    def test_trailers_and_extensions_without_end_are_refused_at_the_head_limit(self):
        cases = {
            "extension": (CHUNKED + b"1;", b"a" * 100),
            "extensions": (CHUNKED, b"1;%b\r\na\r\n" % (b"e" * 100)),
            "last extension": (CHUNKED + b"0;", b"a" * 100),
            "trailers": (CHUNKED + b"0\r\n", b"A: b\r\n"),
            "trailer name": (CHUNKED + b"0\r\n", b"a" * 100),
            "trailer value": (CHUNKED + b"0\r\nA: ", b"a" * 100),
        }
        max_bytes = 1.4 * self.handler.limits.max_head_bytes
        excessive = {}
        for name, (beginning, repeated) in cases.items():
            received_bytes = self.receive_without_end(beginning, repeated)
            if received_bytes > max_bytes:
                excessive[name] = received_bytes
                continue
            self.assertTrue(self.sent().startswith(b"HTTP/1.1 431"), name)
            self.assertEqual([], self.handler.exchanges)
        self.assertEqual({}, excessive)

    def test_large_trailers_in_one_read_are_refused(self):
        for trailers in (b"A: b\r\n" * 200, b"A: %b\r\n" % (b"a" * 1_000)):
            self.connect()
            self.receive(CHUNKED + b"0\r\n" + trailers + b"\r\n")
            self.assertTrue(self.sent().startswith(b"HTTP/1.1 431"))
            self.assertEqual([], self.handler.exchanges)

    def test_trailers_are_no_headers_of_the_request(self):
        self.receive(CHUNKED + b"0\r\nX-Tenant: forged\r\nA: b\r\n\r\n" + REQUEST)
        self.handler.exchanges[0].respond(200)
        self.clock.advance(0)
        names = [
            [header.name for header in exchange.head.headers]
            for exchange in self.handler.exchanges
        ]
        expected = [[b"Host", b"Transfer-Encoding"], [b"Host", b"X-Id"]]
        self.assertEqual(expected, [found[:2] for found in names])
        self.assertEqual([2, 3], [len(found) for found in names])

    def test_trailers_in_single_bytes_time_out(self):
        self.receive(CHUNKED + b"0\r\n")
        for _ in range(21):
            self.clock.advance(0.1)
            self.receive(b"a")
        self.assertTrue(self.sent().startswith(b"HTTP/1.1 408"))
        self.assertEqual([], self.handler.exchanges)

    def test_body_in_the_smallest_chunks_is_no_large_head(self):
        self.receive(CHUNKED)
        for _ in range(self.handler.limits.max_body_bytes):
            for part in (b"1", b"\r\n", b"a", b"\r\n"):
                self.receive(part)
        self.receive(b"0\r\nA: b\r\n\r\n")
        (exchange,) = self.handler.exchanges
        self.assertEqual(b"a" * self.handler.limits.max_body_bytes, exchange.body)

    def test_head_of_the_largest_size_leaves_room_for_body_and_framing(self):
        # Each header line counts with the four bytes that separate its parts.
        padding_bytes = self.handler.limits.max_head_bytes - len(b"/HosthXA") - 12
        for framing, body in (
            (b"Content-Length: 3", [b"abc"]),
            (b"Transfer-Encoding: chunked", [b"3\r\n", b"abc", b"\r\n0\r\n\r\n"]),
        ):
            self.connect()
            value = b"a" * (padding_bytes - len(framing.replace(b": ", b"")))
            head = b"POST / HTTP/1.1\r\nHost: h\r\n%b\r\nXA: %b\r\n\r\n"
            self.receive(head % (framing, value))
            for part in body:
                self.receive(part)
            (exchange,) = self.handler.exchanges
            self.assertEqual(b"abc", exchange.body)

    def test_head_that_begins_right_after_another_request_times_out(self):
        self.receive(REQUEST + b"GET / HT")
        self.handler.exchanges[0].respond(200)
        self.clock.advance(2.1)
        self.assertIn(b"HTTP/1.1 408", self.sent())

    def count_request_heads(self):
        gc.collect()
        return sum(isinstance(item, http1.RequestHead) for item in gc.get_objects())

    def answer_next(self):
        """Answer the request in progress with its target; return whether one was."""
        exchange = self.handler.exchanges[-1]
        if exchange.is_finished:
            return False
        exchange.respond(200, body=exchange.head.target)
        self.clock.advance(0)
        return True

    def make_requests(self, count):
        return [b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % i for i in range(count)]

    def test_a_few_pipelined_requests_do_not_stop_the_reading(self):
        for request in self.make_requests(http1_server.MAX_PIPELINED_REQUESTS):
            self.receive(request)
        self.assertEqual("producing", self.transport.producerState)

    def test_pipelined_requests_without_end_stop_the_reading_until_some_are_answered(
        self,
    ):
        requests = iter(self.make_requests(500))
        received_count = 0
        for request in requests:
            if self.transport.producerState != "producing":
                break
            self.receive(request)
            received_count += 1
        max_count = http1_server.MAX_PIPELINED_REQUESTS + 1
        self.assertLessEqual(received_count, max_count)
        self.answer_next()
        self.assertEqual("producing", self.transport.producerState)
        while self.answer_next():
            continue
        self.assertEqual(received_count, len(self.handler.exchanges))

    def test_pipelined_requests_in_one_read_are_not_all_held_as_requests(self):
        requests = self.make_requests(2_000)
        before_count = self.count_request_heads()
        self.receive(b"".join(requests) + b"GET /last HTTP/1.1\r\n")
        self.assertLess(self.count_request_heads() - before_count, 200)
        self.assertEqual("paused", self.transport.producerState)
        while self.answer_next():
            continue
        self.assertEqual("producing", self.transport.producerState)
        targets = [exchange.head.target for exchange in self.handler.exchanges]
        self.assertEqual([b"/%d" % number for number in range(2_000)], targets)
        self.receive(b"Host: h\r\n\r\n")
        self.assertEqual(b"/last", self.handler.exchanges[-1].head.target)

    def test_pipelined_requests_with_large_bodies_stop_the_reading_sooner(self):
        size_bytes = self.handler.limits.max_body_bytes
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size_bytes
        self.receive(head + bytes(size_bytes))
        self.assertEqual("producing", self.transport.producerState)
        self.receive(head + bytes(size_bytes))
        self.assertEqual("paused", self.transport.producerState)

    def test_no_request_is_started_while_its_caller_reads_no_answers(self):
        for request in self.make_requests(3):
            self.receive(request)
        self.transport.producer.pauseProducing()
        self.assertTrue(self.handler.exchanges[0].is_blocked)
        self.handler.exchanges[0].respond(200)
        self.clock.advance(0.1)
        self.assertEqual(1, len(self.handler.exchanges))
        self.transport.producer.resumeProducing()
        self.clock.advance(0)
        self.assertEqual(2, len(self.handler.exchanges))

    def test_connection_that_closes_leaves_no_producer_that_would_keep_it_open(self):
        self.receive(REQUEST)
        self.transport.producer.pauseProducing()
        self.handler.exchanges[0].respond(200)
        self.clock.advance(10.1)
        self.assertTrue(self.transport.disconnecting)
        self.assertIsNone(self.transport.producer)

    def test_upload_in_small_parts_within_the_time_limit_is_read(self):
        self.receive(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 19\r\n\r\n")
        for _ in range(19):
            self.clock.advance(0.1)
            self.receive(b"a")
        self.assertEqual(1, len(self.handler.exchanges))

    @hypothesis.given(strategies.binary(max_size=300))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_arbitrary_bytes_of_a_caller_raise_no_error(self, data):
        self.connect()
        self.receive(data)
        self.receive(REQUEST)


class RecordingListener(http1_client.AnswerListener):
    def __init__(self, own=True):
        self.own = own
        self.heads = []
        self.body = b""
        self.ends = []

    def on_head(self, head):
        self.heads.append(head)
        return self.own or head.get(b"x-id") == b"7"

    def on_body_data(self, part):
        self.body += part

    def on_end(self):
        self.ends.append("end")

    def on_failure(self, kind):
        self.ends.append(kind)


class ClientTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.connect()

    def connect(self):
        self.clock = task.Clock()
        self.connection = http1_client.ClientConnection(self.clock)
        self.transport = Transport()
        self.connection.makeConnection(self.transport)
        self.listener = RecordingListener()
        self.connection.send(b"request", self.listener)

    def disconnect(self, kind):
        self.connection.connectionLost(failure.Failure(kind()))

    def test_complete_answer_leaves_the_connection_reusable(self):
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        self.assertEqual(["end"], self.listener.ends)
        self.assertTrue(self.connection.is_free)

    def test_answer_shorter_than_its_length_is_a_failure(self):
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok")
        self.disconnect(error.ConnectionDone)
        self.assertEqual([http1_client.ExchangeFailure.CLOSED], self.listener.ends)

    def test_answer_without_length_is_complete_only_after_an_orderly_close(self):
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nok")
        self.disconnect(error.ConnectionDone)
        self.assertEqual(["end"], self.listener.ends)
        self.connect()
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nok")
        self.disconnect(error.ConnectionLost)
        self.assertEqual([http1_client.ExchangeFailure.RESET], self.listener.ends)

    def test_more_header_lines_than_the_limit_are_not_kept(self):
        lines = b"A: b\r\n" * http1_client.MAX_HEADER_LINES
        self.connection.dataReceived(b"HTTP/1.1 204 No\r\n%b\r\n" % lines)
        self.assertEqual(["end"], self.listener.ends)
        self.connect()
        self.connection.dataReceived(b"HTTP/1.1 204 No\r\n%bC: d\r\nE" % lines)
        self.assertEqual([http1_client.ExchangeFailure.TOO_LARGE], self.listener.ends)

    def test_connection_with_bytes_after_an_answer_is_not_reused(self):
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        self.connection.dataReceived(whole + whole)
        self.assertEqual(["end"], self.listener.ends)
        self.assertFalse(self.connection.is_free)
        self.connect()
        self.connection.dataReceived(whole)
        self.connection.dataReceived(whole)
        self.assertFalse(self.connection.is_free)

    def test_bytes_behind_the_head_that_answers_a_head_request_are_no_body(self):
        head = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
        for framing in (b"Content-Length: 4", b"Transfer-Encoding: chunked", b"A: b"):
            for surplus in (b"", b"4\r\nlate", b"HTTP/1.1 500 Error"):
                self.connect()
                self.listener = RecordingListener(own=False)
                self.connection.send(b"HEAD / HTTP/1.1\r\n\r\n", self.listener)
                self.connection.dataReceived(head + framing + b"\r\n\r\n" + surplus)
                self.assertEqual(["end"], self.listener.ends, (framing, surplus))
                self.assertEqual(b"", self.listener.body)
                self.assertFalse(self.connection.is_free)

    def test_trailers_are_no_headers_of_the_answer(self):
        chunked = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.connection.dataReceived(chunked + b"1\r\na\r\n0\r\nX-Seal: 8\r\n\r\n")
        self.assertEqual(["end"], self.listener.ends)
        (head,) = self.listener.heads
        self.assertIsNone(head.get(b"x-seal"))

    def test_an_answer_whose_trailers_hold_another_head_is_malformed(self):
        chunked = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n"
        other = b"HTTP/1.1 500 Error\r\nX-Id: 7\r\n\r\n"
        self.connection.dataReceived(chunked + b"1\r\na\r\n0\r\nX-Sum: 8" + other)
        self.assertEqual([http1_client.ExchangeFailure.MALFORMED], self.listener.ends)
        self.assertFalse(self.connection.is_free)

    def test_answer_to_an_earlier_request_is_skipped(self):
        self.listener.own = False
        late = b"HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 4\r\n\r\nlate"
        own = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 3\r\n\r\nown"
        self.connection.dataReceived(late + own)
        self.assertEqual((b"own", ["end"]), (self.listener.body, self.listener.ends))

    def test_unframed_answer_to_an_earlier_request_does_not_end_its_own(self):
        self.listener.own = False
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\nX-Id: 6\r\n\r\nlate")
        self.disconnect(error.ConnectionDone)
        self.assertEqual([http1_client.ExchangeFailure.CLOSED], self.listener.ends)

    def test_connection_of_an_old_server_is_reused_only_if_it_says_so(self):
        cases = {b"": False, b"Connection: keep-alive\r\n": True}
        for line, is_kept in cases.items():
            self.connect()
            head = b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n" + line
            self.connection.dataReceived(head + b"\r\nok")
            self.assertEqual(["end"], self.listener.ends)
            self.assertEqual(is_kept, self.connection.is_free)

    def test_malformed_answer_fails_the_request(self):
        self.connection.dataReceived(b"\x00\x01 nonsense\r\n\r\n")
        self.assertEqual([http1_client.ExchangeFailure.MALFORMED], self.listener.ends)

    def receive_without_end(self, beginning, repeated, own=True):
        """Return how many bytes are received until the connection is closed."""
        self.connect()
        self.listener.own = own
        self.connection.dataReceived(beginning)
        received_bytes = len(beginning)
        while not self.transport.disconnected:
            self.connection.dataReceived(repeated)
            received_bytes += len(repeated)
            if received_bytes > MAX_TESTED_BYTES:
                break
        return received_bytes

    def test_a_head_without_end_closes_the_connection_at_the_limit(self):
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        cases = {
            b"HTTP/1.1 200 OK\r\n": b"A: b\r\n",
            b"HTTP/1.1 200 OK\r\nA: ": b"a" * 100,
            b"HTTP/1.1 200 ": b"a" * 100,
            b"": b"HTTP/1.1 102 Processing\r\n\r\n",
            chunked + b"1;": b"a" * 100,
            chunked: b"1;%b\r\na\r\n" % (b"e" * 100),
            chunked + b"0\r\n": b"A: b\r\n",
        }
        excessive = {}
        for beginning, repeated in cases.items():
            received_bytes = self.receive_without_end(beginning, repeated)
            # Chunks have a credit for the line with their size.
            if received_bytes > http1.MAX_HEAD_BYTES * 1.2:
                excessive[beginning] = received_bytes
                continue
            too_large = [http1_client.ExchangeFailure.TOO_LARGE]
            self.assertEqual(too_large, self.listener.ends, beginning)
            self.assertFalse(self.connection.is_free)
        self.assertEqual({}, excessive)

    def test_a_body_without_end_closes_the_connection_at_the_limit(self):
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        cases = {
            b"HTTP/1.1 200 OK\r\n\r\n": b"a" * 100,
            b"HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n": b"a" * 100,
            chunked: b"64\r\n%b\r\n" % (b"a" * 100),
        }
        for own in (True, False):
            excessive = {}
            for beginning, repeated in cases.items():
                received_bytes = self.receive_without_end(beginning, repeated, own)
                if received_bytes > self.listener.max_body_bytes * 1.2:
                    excessive[beginning] = received_bytes
                    continue
                too_large = [http1_client.ExchangeFailure.TOO_LARGE]
                self.assertEqual(too_large, self.listener.ends, beginning)
                self.assertLessEqual(
                    len(self.listener.body), self.listener.max_body_bytes
                )
                self.assertFalse(self.connection.is_free)
            self.assertEqual({}, excessive, own)

    def test_answers_of_the_largest_size_pass_one_after_the_other(self):
        size_bytes = self.listener.max_body_bytes
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size_bytes
        for _ in range(3):
            self.connection.dataReceived(head + bytes(size_bytes))
            self.assertTrue(self.connection.is_free)
            self.connection.send(b"request", self.listener)
        self.assertEqual(["end"] * 3, self.listener.ends)

    def test_an_answer_of_the_largest_size_passes_after_a_skipped_one(self):
        self.listener.own = False
        size_bytes = self.listener.max_body_bytes
        for number in (6, 7):
            self.connection.dataReceived(
                b"HTTP/1.1 200 OK\r\nX-Id: %d\r\nContent-Length: %d\r\n\r\n"
                % (number, size_bytes)
            )
            self.connection.dataReceived(bytes(size_bytes))
        self.assertEqual(["end"], self.listener.ends)

    def test_heads_of_skipped_answers_count_towards_the_limit(self):
        late = b"HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 0\r\n\r\n"
        self.connect()
        self.listener.own = False
        for _ in range(2 * http1.MAX_HEAD_BYTES // len(late)):
            self.connection.dataReceived(late)
        too_large = [http1_client.ExchangeFailure.TOO_LARGE]
        self.assertEqual(too_large, self.listener.ends)
        self.assertTrue(self.transport.disconnected)

    def test_a_long_answer_in_small_chunks_is_no_large_head(self):
        self.connect()
        self.connection.dataReceived(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for _ in range(40_000):
            self.connection.dataReceived(b"1\r\na\r\n")
        self.connection.dataReceived(http1.LAST_CHUNK)
        self.assertEqual(["end"], self.listener.ends)
        self.assertEqual(40_000, len(self.listener.body))

    def test_each_answer_on_a_connection_may_have_a_large_head(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: " + b"a" * 50_000
        for _ in range(4):
            self.connection.dataReceived(head + b"\r\n\r\n")
            self.assertTrue(self.connection.is_free)
            self.connection.send(b"request", self.listener)
        self.assertEqual(["end"] * 4, self.listener.ends)

    def test_connection_with_another_answer_after_an_answer_is_closed(self):
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        self.connection.dataReceived(whole + whole)
        self.assertTrue(self.transport.disconnected)

    def test_answer_that_ends_while_it_is_paused_leaves_a_connection_that_is_read(
        self,
    ):
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
        self.connection.pause()
        self.assertEqual("paused", self.transport.producerState)
        self.connection.dataReceived(b"ok")
        self.assertTrue(self.connection.is_free)
        self.assertEqual("producing", self.transport.producerState)

    def test_bytes_on_an_idle_connection_close_it(self):
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        self.assertTrue(self.connection.is_free)
        self.connection.dataReceived(b"H")
        self.assertTrue(self.transport.disconnected)

    @hypothesis.given(strategies.binary(max_size=300))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_arbitrary_bytes_of_an_engine_end_the_request_once(self, data):
        self.connect()
        self.connection.dataReceived(data)
        self.disconnect(error.ConnectionLost)
        self.assertEqual(1, len(self.listener.ends))
