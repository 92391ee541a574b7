"""Tests answers of faulty engines that operators of other systems have reported."""

from twisted.internet import error

from toucanspread.core import data
from toucanspread.ops.forwarding import broken_answer_test, forwarder_test
from toucanspread.ops.http import http1, http1_client

HEAD = forwarder_test.HEAD
ID = b"X-Attempt-Id: id-1\r\n"
OTHER_ID = b"X-Attempt-Id: id-0\r\n"
REFUSAL = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n%bContent-Length: 0\r\n\r\n"
ANSWER = HEAD + b"Content-Length: 3\r\n\r\nown"
ERROR_TEXT = b"error text of the engine"
NON_IDEMPOTENT_REQUEST = forwarder_test.REQUEST.replace(b"/a/x", b"/a/b/x")


class IgnoringListener(http1_client.AnswerListener):
    def on_head(self, head):
        return True

    def on_body_data(self, part):
        return

    def on_end(self):
        return

    def on_failure(self, failure):
        raise AssertionError(failure)


class ErrorBeforeRetryTest(forwarder_test.ForwarderCase):
    """An engine's own error is retried, and the second engine is of no use."""

    def fail_first(self, body=ERROR_TEXT):
        head = HEAD.replace(b"200 OK", b"500 Oops")
        self.send_request().answer(
            head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        )
        self.assertEqual(2, len(self.pool.sent))
        return self.pool.sent[-1]

    def assert_first_relayed(self):
        self.assertEqual(1, self.received().count(b"HTTP/1.1"))
        self.assertIn(b"HTTP/1.1 500", self.received())
        self.assertIn(b"X-Response-Seal: s1\r\n", self.received())
        self.assertTrue(self.received().endswith(ERROR_TEXT))
        self.assertEqual(set(), self.forwarder.in_progress)

    def test_the_error_is_not_lost_if_the_second_engine_rejects_the_request(self):
        second = self.fail_first()
        while second is not None:
            second.answer(REFUSAL % ID)
            has_more = self.pool.sent[-1] is not second
            second = self.pool.sent[-1] if has_more else None
        self.assert_first_relayed()

    def test_the_error_is_not_lost_if_the_second_engine_breaks_off(self):
        self.fail_first().disconnect(error.ConnectionLost)
        self.assert_first_relayed()

    def test_the_error_is_not_lost_if_the_second_engine_sends_nothing(self):
        second = self.fail_first()
        self.clock.advance(3.2)
        self.assert_first_relayed()
        self.assertTrue(second.cancelled)

    def test_the_second_engines_answer_goes_before_the_error(self):
        self.fail_first().answer(ANSWER)
        self.assertTrue(self.received().endswith(b"own"))

    def test_a_large_error_is_not_kept(self):
        self.fail_first(b"x" * 20_000).disconnect(error.ConnectionLost)
        self.assertIn(b"HTTP/1.1 502", self.received())


class RepeatedRefusalTest(forwarder_test.ForwarderCase):
    def send_on_kept_connection(self):
        """Return a request on a connection on which another one was refused."""
        for number in (1, 2):
            first = forwarder_test.FakeOutgoingRequest(
                self.get_address("s1", number), b"", IgnoringListener()
            )
            first.answer(REFUSAL % OTHER_ID)
            self.pool.keep(first)
        for engine in self.cluster.registry.of_service(data.ServiceName("s2")):
            engine.record_failure(self.clock.seconds(), 9)
        engine = self.send_request()
        self.assertFalse(engine.is_first_on_connection)
        return engine

    def test_a_copy_before_the_answer_does_not_end_the_request(self):
        engine = self.send_on_kept_connection()
        engine.answer(REFUSAL % OTHER_ID + ANSWER)
        self.assertTrue(self.received().endswith(b"own"))
        self.assertEqual(1, len(self.pool.sent))

    def test_a_copy_behind_the_answer_belongs_to_no_request(self):
        engine = self.send_on_kept_connection()
        engine.answer(ANSWER + REFUSAL % ID)
        self.assertEqual(1, self.received().count(b"HTTP/1.1"))
        self.assertTrue(self.received().endswith(b"own"))
        self.assertFalse(engine.connection.is_free)

    def test_a_copy_without_an_id_does_not_show_that_the_request_has_not_run(self):
        engine = self.send_on_kept_connection()
        state = next(iter(self.forwarder.in_progress)).state
        engine.answer(REFUSAL % b"")
        self.assertNotIn(b"HTTP/1.1 503", self.received())
        self.assertEqual(2, state.possible_runs)
        self.assertTrue(engine.cancelled)

    def test_a_refusal_without_an_id_on_a_new_connection_is_of_the_request(self):
        engine = self.send_request()
        state = next(iter(self.forwarder.in_progress)).state
        engine.answer(REFUSAL % b"")
        self.assertEqual(2, len(self.pool.sent))
        self.assertEqual(1, state.possible_runs)

    def test_an_error_without_an_id_on_a_kept_connection_is_not_relayed(self):
        engine = self.send_on_kept_connection()
        engine.answer(
            b"HTTP/1.1 404 No\r\nX-Response-Seal: s1\r\nContent-Length: 4\r\n\r\nlate"
        )
        self.assertNotIn(b"late", self.received())


class SharedAddressTest(forwarder_test.ForwarderCase):
    def get_address(self, service, number):
        return data.Address("shared:1")

    def check(self, refusal):
        self.start()
        first = self.send_request()
        self.pool.keep(first)
        first.answer(refusal)
        second = self.pool.sent[-1]
        self.assertIsNot(first, second)
        self.assertEqual(first.address, second.address)
        self.assertIsNot(first.connection, second.connection)

    def test_a_copy_of_a_refusal_is_not_the_answer_of_the_next_instance_there(self):
        self.check(REFUSAL % ID)
        instance = b"X-Instance-Id: s1-9\r\n"
        self.check(b"HTTP/1.1 421 No\r\n%b%bContent-Length: 0\r\n\r\n" % (instance, ID))


class RejectedAnswerTest(forwarder_test.ForwarderCase):
    def read_lines(self, received):
        """Return the reasons that are logged for what an engine sends."""
        self.start()
        engine = self.send_request()
        with forwarder_test.capture_events("answer_rejected") as lines:
            lines.clear()  # of lines from before, which were kept until now
            engine.answer(received)
        for line in lines:
            self.assertEqual("id-1", line["id"])
            self.assertEqual(engine.address.replace(":", "-"), line["engine"])
        return [line["why"] for line in lines]

    def test_the_log_tells_why_an_answer_is_not_that_of_the_request(self):
        late = HEAD.replace(b"id-1", b"id-0") + b"Content-Length: 4\r\n\r\nlate"
        self.assertEqual(["other request"], self.read_lines(late + ANSWER))
        mixed = b"HTTP/1.1 200 O" + ANSWER
        self.assertEqual(["second status line"], self.read_lines(mixed))
        two_ids = ANSWER.replace(ID, ID + OTHER_ID)
        self.assertEqual(["conflicting headers"], self.read_lines(two_ids))
        self.assertEqual([], self.read_lines(ANSWER))

    def test_an_answer_whose_singular_headers_differ_is_not_relayed(self):
        lines = (
            OTHER_ID,
            b"X-Response-Seal: s2\r\n",
            b"X-Instance-Id: s1-1\r\nX-Instance-Id: s1-9\r\n",
            b"Content-Type: text/event-stream\r\nContent-Type: text/plain\r\n",
            b"Content-Length: 4\r\n",
        )
        for line in lines:
            self.start()
            self.send_request().answer(ANSWER.replace(ID, ID + line))
            self.assertEqual(b"", self.received(), line)
            self.assertEqual(2, len(self.pool.sent), line)

    def test_many_late_answers_to_one_request_are_one_line(self):
        self.assertEqual(
            ["other request"], self.read_lines(REFUSAL % OTHER_ID * 100 + ANSWER)
        )


class ErrorInStreamTest(forwarder_test.ForwarderCase):
    def check(self, answer):
        """Let a stream break off and the next engine give an answer."""
        self.start()
        first = self.send_request()
        first.answer(forwarder_test.STREAM)
        first.answer(forwarder_test.chunk(broken_answer_test.FIRST))
        first.disconnect(error.ConnectionLost)
        second = self.pool.sent[-1]
        self.assertIsNot(first, second)
        second.answer(answer)
        second.disconnect()
        received = self.received()
        self.assertNotIn(ERROR_TEXT, received)
        self.assertEqual(1, received.count(b"HTTP/1.1"))
        self.assertTrue(
            received.endswith(forwarder_test.chunk(broken_answer_test.FIRST))
        )
        self.assertNotIn(http1.LAST_CHUNK, received)

    def test_an_error_of_the_next_engine_is_no_part_of_the_stream(self):
        length = b"Content-Length: %d\r\n\r\n" % len(ERROR_TEXT)
        chunked = b"Transfer-Encoding: chunked\r\n\r\n"
        stream_type = b"Content-Type: text/event-stream\r\n"
        chunks = forwarder_test.chunk(ERROR_TEXT) + http1.LAST_CHUNK
        for status in (b"200 OK", b"400 Bad", b"404 No", b"500 Error", b"503 Full"):
            sealed = HEAD.replace(b"200 OK", status)
            unsealed = b"HTTP/1.1 %b\r\n%b" % (status, ID)
            for head in (sealed, unsealed):
                self.check(head + length + ERROR_TEXT)
                self.check(head + chunked + chunks)
                self.check(head + b"\r\n" + ERROR_TEXT)
                self.check(head + stream_type + length + ERROR_TEXT)

    def test_a_head_in_the_middle_of_the_next_engines_stream_is_not_relayed(self):
        text = b"HTTP/1.1 500 Error\r\nContent-Length: 9\r\n\r\n" + ERROR_TEXT
        self.check(forwarder_test.STREAM + forwarder_test.chunk(text))
        self.check(forwarder_test.STREAM + text)
        self.check(text)


class BrokenHeadTest(forwarder_test.ForwarderCase):
    def check(self, beginning, kind):
        self.start()
        engine = self.send_request()
        engine.answer(beginning)
        engine.disconnect(kind)
        self.assertNotIn(b"HTTP/1.1 200", self.received(), (beginning, kind))
        self.assertEqual(2, len(self.pool.sent), (beginning, kind))

    def check_heads(self, head):
        """Break a head off behind each of its bytes but the last."""
        for size_bytes in range(len(head)):
            for kind in (error.ConnectionDone, error.ConnectionLost):
                self.check(head[:size_bytes], kind)

    def test_an_answer_whose_head_breaks_off_is_not_relayed(self):
        self.check_heads(HEAD + b"\r\n")
        self.check_heads(HEAD + b"Content-Length: 3\r\n\r\n")

    def test_a_stream_whose_head_breaks_off_is_not_opened(self):
        self.check_heads(forwarder_test.STREAM)

    def test_a_head_that_breaks_off_behind_an_interim_answer_is_not_relayed(self):
        self.check_heads(b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + b"\r\n")

    def test_a_head_that_breaks_off_behind_an_answer_to_another_is_not_relayed(self):
        other = HEAD.replace(b"id-1", b"id-0") + b"Content-Length: 2\r\n\r\nno"
        self.check_heads(other + HEAD + b"\r\n")
        unframed = HEAD.replace(b"id-1", b"id-0") + b"\r\n"
        self.check(unframed + b"no", error.ConnectionDone)


class UnknownStatusTest(forwarder_test.ForwarderCase):
    """An engine in trouble answers with a status that HTTP does not know."""

    STATUSES = (b"000", b"001", b"042", b"099", b"199", b"600", b"700", b"999")

    def answer_with(self, engine, status):
        head = HEAD.replace(b"200", status)
        engine.answer(head + b"X-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nwrong")

    def test_a_request_that_may_be_repeated_goes_on_at_another_engine(self):
        """Guards against callers that get the answer, or wait for their time limit."""
        for status in self.STATUSES:
            self.start()
            first = self.send_request()
            self.answer_with(first, status)
            self.assertEqual(2, len(self.pool.sent), status)
            self.assertFalse(first.connection.is_free)
            self.pool.sent[-1].answer(ANSWER)
            self.assertTrue(self.received().endswith(b"own"))
            self.assertNotIn(b"wrong", self.received())

    def test_a_request_that_may_not_be_repeated_fails_at_once(self):
        """Guards against a "not run" for a request that may have run."""
        for status in self.STATUSES:
            self.start()
            self.answer_with(self.send_request(NON_IDEMPOTENT_REQUEST), status)
            self.assertEqual(1, len(self.pool.sent), status)
            self.assertIn(b"HTTP/1.1 502", self.received(), status)

    def test_the_status_is_logged_and_counts_against_the_engine(self):
        with forwarder_test.capture_events("answer_rejected") as messages:
            self.answer_with(self.send_request(), b"000")
        [message] = messages
        self.assertEqual(("unknown status", 0), (message["why"], message["status"]))
        engine = self.cluster.registry.get(message["engine"])
        self.assertGreater(engine.failures, 0)

    def test_interim_answers_are_still_followed_by_the_answer(self):
        for status in (b"100", b"102", b"103"):
            self.start()
            engine = self.send_request()
            engine.answer(b"HTTP/1.1 %b Wait\r\n\r\n" % status + ANSWER)
            self.assertTrue(self.received().endswith(b"own"), status)
