"""Tests how answers of engines are read and refusals classified."""

import testtools
from twisted.internet import task

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import decisions, event_stream, request_timing
from toucanspread.ops.forwarding import engine_answer
from toucanspread.ops.http import http1
from toucanspread.platform import requests


class RecordingListener(engine_answer.DispatchListener):
    """Records what an engine says of itself, and how a dispatch failed."""

    call = entry_data.Call("7", "h", "/", None)

    def __init__(self):
        self.failures = []
        self.statements = []
        self.begun_versions = []

    def on_engine_head(self, statement):
        self.statements.append(statement)

    def on_begun(self, weights_version):
        self.begun_versions.append(weights_version)

    def on_stream_opened(self):
        raise AssertionError("no stream was sent")

    def on_events(self, events, last_event_id):
        raise AssertionError("no events were sent")

    def on_answer(self, status):
        raise AssertionError("the engine refused")

    def on_failure(self, failure):
        self.failures.append(failure)


class StreamListener(RecordingListener):
    """Records what is relayed of a stream; it waits on when an engine is silent."""

    def __init__(self):
        super().__init__()
        self.relayed = b""

    def on_stream_opened(self):
        return

    def on_events(self, events, last_event_id):
        self.relayed += events


def make_answer(listener, clock=None, silence_timeout_s=1.0):
    dispatch = decisions.SendToEngine(
        1, "i-1", data.Address("a:1"), 1.0, silence_timeout_s
    )
    return engine_answer.EngineAnswer(
        listener, requests.PlatformDialect(), clock or task.Clock(), dispatch
    )


def make_head(status, **headers):
    """Return the head of an answer; underscores in names stand for dashes."""
    pairs = {"x_attempt_id": "7", **headers}
    return http1.AnswerHead(
        status,
        [
            http1.Header(name.replace("_", "-").encode(), value.encode("latin-1"))
            for name, value in pairs.items()
        ],
    )


class LimitTest(testtools.TestCase):
    def read(self, status, **headers):
        """Return the limits that are reported for the head of an answer."""
        listener = RecordingListener()
        make_answer(listener).on_head(make_head(status, **headers))
        return [statement.limit_per_s for statement in listener.statements]

    def test_sealed_answers_and_refusals_name_a_limit(self):
        self.assertEqual([2.5], self.read(500, x_response_seal="s", server_limit="2.5"))
        self.assertEqual([1.0], self.read(503, x_not_executed="1", server_limit="1"))

    def test_an_answer_without_a_limit_says_so(self):
        self.assertEqual([None], self.read(200, x_response_seal="s"))

    def test_a_value_that_is_no_decimal_number_is_no_limit(self):
        for value in ("", "x", "-1", "1e9", "nan", "inf", "²", "1,5", "9" * 400):
            limits = self.read(200, x_response_seal="s", server_limit=value)
            self.assertEqual([None], limits, value)

    def test_answers_that_the_engine_did_not_make_say_nothing_about_it(self):
        self.assertEqual([], self.read(502, server_limit="1"))
        self.assertEqual([], self.read(421, x_instance_id="i-2", server_limit="1"))
        self.assertEqual(
            [], self.read(200, x_attempt_id="6", x_response_seal="s", server_limit="1")
        )


class StatementTest(testtools.TestCase):
    def read(self, status, **headers):
        """Return what an engine is understood to say by the head of an answer."""
        listener = RecordingListener()
        make_answer(listener).on_head(make_head(status, **headers))
        return listener.statements[0]

    def test_a_rejection_names_a_time_without_requests(self):
        for value, backoff_s in (("4", 4.0), ("2.5", 2.5), (" 0 ", 0.0), ("600", 600)):
            statement = self.read(503, x_not_executed="1", retry_after=value)
            self.assertEqual(backoff_s, statement.backoff_s, value)
            self.assertEqual((), statement.unreadable)

    def test_a_503_names_a_time_whatever_else_it_says(self):
        self.assertEqual(3.0, self.read(503, retry_after="3").backoff_s)
        sealed = self.read(503, x_response_seal="s", retry_after="3")
        self.assertEqual(3.0, sealed.backoff_s)

    def test_only_a_503_names_a_time(self):
        for status in (200, 421, 429, 500, 504):
            statement = self.read(status, x_response_seal="s", retry_after="3")
            self.assertIsNone(statement.backoff_s, status)
            self.assertEqual((), statement.unreadable)

    def test_a_value_that_is_no_time_is_named_and_harms_nothing(self):
        values = ("", "-5", "1e9", "nan", "inf", "²", "1,5", "4 s", "9" * 5_000, "601")
        date = "Wed, 21 Oct 2026 07:28:00 GMT"
        for value in (*values, "999999999", date):
            statement = self.read(503, x_not_executed="1", retry_after=value)
            self.assertIsNone(statement.backoff_s, value)
            self.assertEqual(("retry-after",), statement.unreadable, value)

    def test_the_longest_of_several_times_counts(self):
        headers = make_head(503, x_not_executed="1").headers
        for value in (b"x", b"2", b"7.5", b"3"):
            headers.append(http1.Header(b"Retry-After", value))
        statement = requests.read_statement(http1.AnswerHead(503, headers))
        self.assertEqual(7.5, statement.backoff_s)
        self.assertEqual(("retry-after",), statement.unreadable)

    def test_every_answer_may_say_that_the_engine_leaves(self):
        for status in (200, 429, 500, 503):
            statement = self.read(status, x_response_seal="s", server_leaving="1")
            self.assertTrue(statement.is_leaving, status)
        self.assertFalse(self.read(200, x_response_seal="s").is_leaving)

    def test_a_value_other_than_1_does_not_say_that_the_engine_leaves(self):
        for value in ("", "0", "2", "-1", "1.0", "true", "1, 1", "1" * 5_000):
            statement = self.read(200, x_response_seal="s", server_leaving=value)
            self.assertFalse(statement.is_leaving, value)
            self.assertEqual(("server-leaving",), statement.unreadable, value)


class BegunTest(testtools.TestCase):
    def read(self, status, **headers):
        """Return the versions on which the engine has begun, by the answer's head."""
        listener = RecordingListener()
        make_answer(listener).on_head(make_head(status, **headers))
        return listener.begun_versions

    def test_an_answer_says_on_which_weights_it_began(self):
        begun = self.read(200, x_response_seal="s", x_weight_versions="3")
        self.assertEqual([3], begun)

    def test_an_answer_with_an_unreadable_version_has_begun_all_the_same(self):
        for value in ("", "x", "-1", "2,3", "\xb2", "9" * 5_000):
            begun = self.read(200, x_response_seal="s", x_weight_versions=value)
            self.assertEqual([None], begun, value)

    def test_a_rejected_request_has_not_begun(self):
        rejection = {"x_not_executed": "1", "x_weight_versions": "3"}
        self.assertEqual([], self.read(503, **rejection))
        self.assertEqual([], self.read(503, x_response_seal="s", **rejection))


class Outgoing:
    """Records whether the request to the engine was cancelled or paused."""

    is_cancelled = False
    is_paused = False

    def pause(self):
        self.is_paused = True

    def resume(self):
        self.is_paused = False

    def cancel(self):
        self.is_cancelled = True


class EndlessEventTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.listener = StreamListener()
        self.answer = make_answer(self.listener)
        self.answer.outgoing = Outgoing()
        head = make_head(200, x_response_seal="s", content_type="text/event-stream")
        self.assertTrue(self.answer.on_head(head))

    def receive(self, part, count):
        """Return how many times a part is received until the request is cancelled."""
        for number in range(count):
            if self.answer.outgoing.is_cancelled:
                return number
            self.answer.on_body_data(part)
        return count

    def test_an_event_without_end_is_abandoned_after_the_events_before_it(self):
        limit_count = event_stream.MAX_EVENT_BYTES // 1_000
        self.answer.on_body_data(b"id: 1\ndata: a\n\ndata: ")
        count = self.receive(b"a" * 1_000, 2 * limit_count)
        self.assertLessEqual(count, limit_count + 1)
        malformed = decisions.DispatchFailure.MALFORMED
        self.assertEqual([malformed], self.listener.failures)
        self.answer.on_body_data(b"\n\ndata: b\n\n")
        self.assertEqual(b"id: 1\ndata: a\n\n", self.listener.relayed)
        self.assertEqual([malformed], self.listener.failures)

    def test_a_large_event_in_small_parts_is_relayed(self):
        count = event_stream.MAX_EVENT_BYTES // 1_000 - 1
        self.assertEqual(count, self.receive(b"a" * 1_000, count))
        self.answer.on_body_data(b"\n\n")
        self.assertEqual(count * 1_000 + 2, len(self.listener.relayed))
        self.assertEqual([], self.listener.failures)


class RefusalTest(testtools.TestCase):
    def refuse(self, *headers):
        """Return the failures reported for a 421 answer with the given headers."""
        listener = RecordingListener()
        answer = make_answer(listener)
        head = http1.AnswerHead(421, [http1.Header(b"X-Attempt-Id", b"7"), *headers])
        self.assertTrue(answer.on_head(head))
        answer.on_end()
        return listener.failures

    def test_refusal_by_another_engine_at_the_address_names_it(self):
        failures = self.refuse(http1.Header(b"X-Instance-Id", b"i-2"))
        self.assertEqual([decisions.DispatchFailure.OTHER_INSTANCE], failures)

    def test_refusal_by_the_expected_engine_is_a_rejection(self):
        failures = self.refuse(http1.Header(b"X-Instance-Id", b"i-1"))
        self.assertEqual([decisions.DispatchFailure.REJECTED], failures)

    def test_refusal_without_an_engine_id_is_a_rejection(self):
        self.assertEqual([decisions.DispatchFailure.REJECTED], self.refuse())


class StalledStreamTest(testtools.TestCase):
    """Feeds streams in virtual time."""

    GAP_S = request_timing.STREAM_GAP_TIMEOUT_S

    def open_stream(self, silence_timeout_s=GAP_S):
        self.clock = task.Clock()
        self.listener = StreamListener()
        self.answer = make_answer(self.listener, self.clock, silence_timeout_s)
        head = make_head(200, x_response_seal="s", content_type="text/event-stream")
        self.answer.on_head(head)

    def send(self, *pieces, every_s):
        for piece in pieces:
            self.clock.advance(every_s)
            self.answer.on_body_data(piece)

    def assert_sound(self):
        self.assertEqual([], self.listener.failures)

    def assert_silent(self, at_least=1):
        self.assertGreaterEqual(len(self.listener.failures), at_least)
        kinds = set(self.listener.failures)
        self.assertEqual({decisions.DispatchFailure.SILENT}, kinds)

    def test_a_byte_now_and_then_without_an_event_is_silence(self):
        self.open_stream()
        self.send(b"id: 1\n\n", every_s=0.1)
        self.send(*[b"x"] * 120, every_s=0.5)
        self.assert_silent(at_least=50)

    def test_comments_now_and_then_without_an_event_are_silence(self):
        for comment in (
            b":\n",
            b": keep-alive\n\n",
            b":" + b"x" * 500 + b"\n\n",
            b"\n",
        ):
            self.open_stream()
            self.send(b"id: 1\n\n", every_s=0.1)
            self.send(*[comment] * 120, every_s=0.5)
            self.assert_silent(at_least=50)
            self.assertEqual(b"id: 1\n\n" + comment * 120, self.listener.relayed)

    def test_comments_in_single_bytes_are_silence(self):
        self.open_stream()
        self.send(b"id: 1\n\n", every_s=0.1)
        self.send(*[b":", b"\n"] * 60, every_s=0.5)
        self.assert_silent(at_least=50)

    def test_first_event_in_single_bytes_is_silence(self):
        self.open_stream(silence_timeout_s=4.0)
        self.send(*[b"x"] * 120, every_s=0.5)
        self.assert_silent(at_least=50)

    def test_an_event_slower_than_the_minimum_rate_is_silence(self):
        self.open_stream()
        self.send(b"id: 1\n\n", every_s=0.1)
        rate = request_timing.STREAM_MIN_BYTES_PER_S
        self.send(*[b"x" * int(rate * 0.1 * 0.8)] * 300, every_s=0.1)
        self.assert_silent(at_least=10)

    def test_an_event_faster_than_the_minimum_rate_is_kept(self):
        self.open_stream()
        self.send(b"id: 1\n\n", every_s=0.1)
        rate = request_timing.STREAM_MIN_BYTES_PER_S
        self.send(*[b"x" * int(rate * 0.1 * 1.3)] * 300, every_s=0.1)
        self.assert_sound()

    def test_large_event_in_small_pieces_over_a_squeezed_link_is_kept(self):
        self.open_stream()
        self.send(b"id: 1\n\n", every_s=0.1)
        # 0.3 Mbit/s, shared by 100 streams, is 375 bytes/s for each.
        self.send(*[b"x" * 15] * 1_000, every_s=0.04)
        self.send(b"\n\n", every_s=0.04)
        self.assert_sound()
        self.assertEqual(7 + 15_002, len(self.listener.relayed))

    def test_event_that_is_cut_once_by_a_late_segment_is_kept(self):
        self.open_stream()
        for number in range(20):
            self.send(b"id: %d\n" % number, b"\n", every_s=0.9 * self.GAP_S)
        self.assert_sound()

    def test_engine_in_prefill_has_the_time_until_the_first_event(self):
        for comments in (0, 30):
            self.open_stream(silence_timeout_s=4.0)
            self.send(*[b": waiting\n\n"] * comments, every_s=0.1)
            self.clock.advance(3.9 - 0.1 * comments)
            self.answer.on_body_data(b"id: 1\n\n")
            self.assert_sound()

    def open_paused_stream(self):
        """Open a stream that is paused after its first event."""
        self.open_stream()
        self.answer.outgoing = Outgoing()
        self.send(b"id: 1\n\n", every_s=0.1)
        self.answer.pause()
        self.assertTrue(self.answer.outgoing.is_paused)

    def test_time_in_which_the_stream_is_paused_is_no_silence(self):
        self.open_paused_stream()
        # The rest of what was read before the pause.
        self.answer.on_body_data(b"id: 2\n\n")
        self.clock.advance(10 * self.GAP_S)
        self.assert_sound()
        self.answer.resume()
        self.assertFalse(self.answer.outgoing.is_paused)
        self.clock.advance(0.9 * self.GAP_S)
        self.assert_sound()

    def test_silence_after_a_pause_is_reported(self):
        self.open_paused_stream()
        self.clock.advance(0.5 * self.GAP_S)
        self.answer.resume()
        self.clock.advance(1.1 * self.GAP_S)
        self.assert_silent()

    def test_cancelled_dispatch_is_not_resumed(self):
        self.open_paused_stream()
        self.answer.cancel()
        self.answer.resume()
        self.assertTrue(self.answer.outgoing.is_paused)
        self.clock.advance(10 * self.GAP_S)
        self.assert_sound()

    def test_stream_goes_on_after_a_preemption(self):
        self.open_stream()
        self.send(b"id: 1\n\n", b"id: 2\n\n", every_s=0.9 * self.GAP_S)
        self.assert_sound()
        self.send(b"id: 3\n\n", every_s=1.5 * self.GAP_S)
        self.assert_silent()
        self.send(b"id: 4\n\n", every_s=0.9 * self.GAP_S)
        self.assertEqual(1, len(self.listener.failures))
        self.assertTrue(self.listener.relayed.endswith(b"id: 4\n\n"))
