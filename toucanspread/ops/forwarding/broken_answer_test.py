"""Tests that an answer that ends early is never passed on as complete."""

from twisted.internet import error

from toucanspread.core import data
from toucanspread.ops.forwarding import forwarder_test
from toucanspread.ops.http import http1

HEAD = forwarder_test.HEAD
UNFRAMED_STREAM = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
STREAM = forwarder_test.STREAM
FIRST = b"id: 1\ndata: a\n\n"
SECOND = b"id: 2\ndata: b\n\n"
CUT = b"id: 2\nda"
CALLERS_START = b"HTTP/1.1 200"


def make_stream_with_length(body):
    """Return a stream whose head states the length of its body."""
    length = b"Content-Length: %d\r\n" % len(body)
    return HEAD + b"Content-Type: text/event-stream\r\n" + length + b"\r\n" + body


class BrokenAnswerTest(forwarder_test.ForwarderCase):
    def finish_elsewhere(self, first):
        """Let the engine that takes over send the second event, and check the whole."""
        second = self.pool.sent[-1]
        self.assertIsNot(first, second)
        self.assertNotIn(CUT, self.received())
        self.assertFalse(self.received().endswith(http1.LAST_CHUNK))
        self.assertIn(b"Last-Event-Id: 1\r\n", second.request)
        second.answer(STREAM + forwarder_test.chunk(SECOND) + http1.LAST_CHUNK)
        self.check_complete(FIRST, SECOND)

    def check_complete(self, *events):
        """Check that the caller's answer is whole and has exactly these events."""
        _, _, body = self.received().partition(b"\r\n\r\n")
        chunks = b"".join(forwarder_test.chunk(event) for event in events)
        self.assertEqual(chunks + http1.LAST_CHUNK, body)
        self.assertEqual(1, self.received().count(CALLERS_START))

    def test_unframed_answer_is_relayed_whole_after_its_orderly_end(self):
        engine = self.send_request()
        engine.answer(HEAD + b"\r\nab")
        engine.answer(b"cd")
        self.assertEqual(b"", self.received())
        engine.disconnect()
        self.assertIn(b"Content-Length: 4\r\n", self.received())
        self.assertTrue(self.received().endswith(b"\r\n\r\nabcd"))
        self.assertFalse(engine.connection.is_free)

    def test_unframed_answer_that_is_reset_is_not_relayed(self):
        engine = self.send_request()
        engine.answer(HEAD + b"\r\nabcd")
        engine.disconnect(error.ConnectionLost)
        self.assertNotIn(b"abcd", self.received())
        self.assertIsNot(engine, self.pool.sent[-1])

    def test_unframed_stream_is_complete_after_its_last_event(self):
        engine = self.send_request()
        engine.answer(UNFRAMED_STREAM + FIRST)
        engine.answer(SECOND)
        self.assertFalse(self.received().endswith(http1.LAST_CHUNK))
        engine.disconnect()
        self.check_complete(FIRST, SECOND)

    def test_unframed_stream_that_ends_inside_an_event_is_resumed(self):
        engine = self.send_request()
        engine.answer(UNFRAMED_STREAM + FIRST + CUT)
        engine.disconnect()
        self.finish_elsewhere(engine)

    def test_unframed_stream_that_is_reset_after_an_event_is_resumed(self):
        engine = self.send_request()
        engine.answer(UNFRAMED_STREAM + FIRST)
        engine.disconnect(error.ConnectionLost)
        self.finish_elsewhere(engine)

    def test_chunked_stream_that_ends_inside_an_event_is_resumed(self):
        engine = self.send_request()
        engine.answer(STREAM + forwarder_test.chunk(FIRST + CUT) + http1.LAST_CHUNK)
        self.finish_elsewhere(engine)

    def test_chunked_stream_without_its_last_chunk_is_resumed(self):
        engine = self.send_request()
        engine.answer(STREAM + forwarder_test.chunk(FIRST))
        engine.disconnect()
        self.finish_elsewhere(engine)

    def test_stream_with_a_length_that_ends_inside_an_event_is_resumed(self):
        engine = self.send_request()
        engine.answer(make_stream_with_length(FIRST + CUT))
        self.finish_elsewhere(engine)

    def test_stream_shorter_than_its_length_is_resumed(self):
        engine = self.send_request()
        engine.answer(make_stream_with_length(FIRST + SECOND)[: -len(SECOND)])
        engine.disconnect()
        self.finish_elsewhere(engine)

    def test_byte_order_mark_is_relayed_at_the_start_of_the_answer_only(self):
        mark = b"\xef\xbb\xbf"
        first = self.send_request()
        first.answer(UNFRAMED_STREAM + mark + FIRST + CUT)
        first.disconnect()
        second = self.pool.sent[-1]
        self.assertIn(b"Last-Event-Id: 1\r\n", second.request)
        second.answer(UNFRAMED_STREAM + mark + SECOND)
        second.disconnect()
        self.check_complete(mark + FIRST, SECOND)

    def test_last_event_without_its_blank_line_is_resumed(self):
        engine = self.send_request()
        engine.answer(UNFRAMED_STREAM + FIRST + SECOND[:-1])
        engine.disconnect()
        self.finish_elsewhere(engine)

    def test_broken_stream_that_no_engine_takes_over_is_not_completed(self):
        for service in ("s1", "s2"):
            for engine in self.cluster.registry.of_service(data.ServiceName(service)):
                engine.record_failure(self.clock.seconds(), 9)
        engine = self.send_request()
        engine.answer(UNFRAMED_STREAM + FIRST + CUT)
        engine.disconnect()
        for outgoing in self.pool.sent[1:]:
            outgoing.disconnect(error.ConnectionLost)
        self.clock.advance(9.0)
        self.assertNotIn(http1.LAST_CHUNK, self.received())
        self.assertTrue(self.transport.disconnected)

    def test_answer_that_is_no_stream_does_not_complete_a_stream(self):
        for status in (b"200 OK", b"204 No Content", b"404 Not Found"):
            self.start()
            first = self.send_request()
            first.answer(UNFRAMED_STREAM + FIRST + CUT)
            first.disconnect()
            head = HEAD.replace(b"200 OK", status)
            self.pool.sent[-1].answer(head + b"Content-Length: 0\r\n\r\n")
            self.assertNotIn(http1.LAST_CHUNK, self.received(), status)
            self.assertTrue(self.transport.disconnected)
