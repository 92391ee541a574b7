"""Tests that no mixture of two answers of an engine is taken for one answer.

An engine may answer a request a second time, late and not whole. What is left of such
an answer goes before the answer to the next request on the connection.
"""

import collections
from typing import NamedTuple

import testtools
from twisted.internet import error, task
from twisted.python import failure

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import decisions
from toucanspread.ops.forwarding import engine_answer, forwarder_test
from toucanspread.ops.http import http1, http1_client
from toucanspread.platform import requests

FIRST_ID = b"X-Attempt-Id: id-1\r\n"
OWN_ID = b"X-Attempt-Id: id-2\r\n"
EVENTS = b"id: 1\ndata: own\n\n"
SEAL = b"X-Response-Seal: seal-%b\r\n"
STREAM_TYPE = b"Content-Type: text/event-stream\r\n"
NOT_EXECUTED = b"X-Not-Executed: 1\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


class Result(NamedTuple):
    """What an engine's answer means for a caller; None where nothing is relayed."""

    status: int | None
    seal: bytes | None
    body: bytes
    failure: decisions.DispatchFailure | None


class OwnAnswer(NamedTuple):
    """An answer to the request in progress, and what it means."""

    received: bytes
    result: Result
    ends_by_close: bool = False


def with_length(head, body):
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def in_chunks(head, body):
    chunks = forwarder_test.chunk(body[:4]) + forwarder_test.chunk(body[4:])
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + http1.LAST_CHUNK


def until_close(head, body):
    return head + b"\r\n" + body


def make_second_answers(attempt_id):
    """Return whole answers to the request before, by what they are."""
    sealed = SEAL % b"first" + attempt_id + b"X-Instance-Id: i-1\r\n"
    refused = NOT_EXECUTED + b"Retry-After: 0.5\r\n" + attempt_id
    body = b"late body"
    ok = b"HTTP/1.1 200 OK\r\nServer: e\r\n" + sealed
    return {
        "length": with_length(ok, body),
        "chunks": in_chunks(ok, body),
        "trailers": in_chunks(ok, body)[:-2] + b"X-Checksum: 5e1f\r\n\r\n",
        "stream": in_chunks(ok + STREAM_TYPE, b"id: 7\ndata: late\n\n"),
        "no length": until_close(ok, body),
        "no content": b"HTTP/1.1 204 No Content\r\n" + sealed + b"\r\n",
        "not modified": b"HTTP/1.1 304 Not Modified\r\n" + sealed + b"\r\n",
        "error": with_length(b"HTTP/1.1 500 Error\r\n" + sealed, body),
        "refusal": with_length(b"HTTP/1.1 503 Full\r\n" + refused, b""),
        "other instance": with_length(
            b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: i-2\r\n" + refused, b""
        ),
        "interim": INTERIM + with_length(ok, body),
    }


def make_own_answers():
    """Return answers to the request in progress, and what each of them means."""
    identity = SEAL % b"own" + OWN_ID
    ok = b"HTTP/1.1 200 OK\r\n" + identity
    missing = b"HTTP/1.1 404 Not Found\r\n" + identity
    broken = b"HTTP/1.1 500 Internal Server Error\r\n" + identity
    refused = b"HTTP/1.1 503 Full\r\n" + NOT_EXECUTED + OWN_ID
    moved = b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: i-2\r\n" + OWN_ID
    body = b"own body"
    served = Result(200, b"seal-own", body, None)
    streamed = Result(200, b"seal-own", EVENTS, None)
    rejected = Result(None, None, b"", decisions.DispatchFailure.REJECTED)
    misdirected = Result(None, None, b"", decisions.DispatchFailure.OTHER_INSTANCE)
    return (
        OwnAnswer(with_length(ok, body), served),
        OwnAnswer(in_chunks(ok, body), served),
        OwnAnswer(INTERIM + with_length(ok, body), served),
        OwnAnswer(until_close(ok, body), served, ends_by_close=True),
        OwnAnswer(in_chunks(ok + STREAM_TYPE, EVENTS), streamed),
        OwnAnswer(with_length(missing, body), Result(404, b"seal-own", body, None)),
        OwnAnswer(in_chunks(broken, body), Result(500, b"seal-own", body, None)),
        OwnAnswer(with_length(refused, b""), rejected),
        OwnAnswer(with_length(moved, b""), misdirected),
    )


class RecordingListener(engine_answer.DispatchListener):
    """Records what an entry would relay and believe of an engine's answer."""

    call = entry_data.Call("id-2", "h", "/", None)

    def __init__(self):
        self.answer = None
        self.status = None
        self.body = b""
        self.events = b""
        self.is_stream_open = False
        self.failure = None
        self.end_count = 0
        self.statements = []

    def on_engine_head(self, statement):
        self.statements.append(statement)

    def on_begun(self, weights_version):
        return

    def on_stream_opened(self):
        self.is_stream_open = True

    def on_events(self, events, last_event_id):
        self.events += events

    def on_answer(self, status):
        self.end_count += 1
        self.status = status
        self.body = bytes(self.answer.body)

    def on_failure(self, failure):
        if failure is decisions.DispatchFailure.SILENT:
            return
        self.end_count += 1
        self.failure = failure

    @property
    def result(self):
        head = self.answer.head
        if self.is_stream_open:
            seal = head.get(b"x-response-seal")
            return Result(head.status, seal, self.events, self.failure)
        if self.failure is not None or self.status is None:
            return Result(None, None, b"", self.failure)
        seal = head.get(b"x-response-seal")
        return Result(self.status, seal, self.body, None)


class IgnoringListener(http1_client.AnswerListener):
    def on_head(self, head):
        return True

    def on_body_data(self, part):
        return

    def on_end(self):
        return

    def on_failure(self, failure):
        return


class FakeOutgoingRequest:
    """A request on a connection that carried another one before."""

    is_first_on_connection = False
    was_sent = True

    def __init__(self, connection):
        self._connection = connection

    def cancel(self):
        self._connection.cancel()


def split(received):
    """Return the single bytes of what is received."""
    return [received[i : i + 1] for i in range(len(received))]


def split_around(received, position):
    """Return the parts of what is received, of one byte each around a position."""
    begin = max(position - 4, 0)
    end = position + 20
    parts = (received[:begin], *split(received[begin:end]), received[end:])
    return [part for part in parts if part]


def make_segmentations(remnant, own):
    """Return ways in which a remnant and the own answer arrive."""
    return (
        [remnant + own],
        [part for part in (remnant, own) if part],
        [remnant + own[:9], own[9:]],
        split_around(remnant + own, len(remnant)),
    )


class MixtureCase(testtools.TestCase):
    """Lets a remnant arrive before the answer to a request on a kept connection."""

    def connect(self):
        """Return a connection on which one request has been answered."""
        connection = http1_client.ClientConnection(task.Clock())
        connection.makeConnection(forwarder_test.Transport())
        connection.send(b"GET / HTTP/1.1\r\n\r\n", IgnoringListener())
        return connection

    def send(self, connection):
        """Send the next request; return what records its answer."""
        listener = RecordingListener()
        dispatch = decisions.SendToEngine(1, "i-1", data.Address("a:1"), 1.0, 1.0)
        listener.answer = engine_answer.EngineAnswer(
            listener, requests.PlatformDialect(), task.Clock(), dispatch
        )
        listener.answer.outgoing = FakeOutgoingRequest(connection)
        connection.send(b"GET / HTTP/1.1\r\n\r\n", listener.answer)
        return listener

    def receive(self, segments, own):
        """Return what the entry makes of the segments."""
        connection = self.connect()
        first = with_length(b"HTTP/1.1 200 OK\r\n" + FIRST_ID, b"x")
        connection.dataReceived(first)
        listener = self.send(connection)
        for segment in segments:
            if connection.transport.disconnected:
                break
            connection.dataReceived(segment)
        if own.ends_by_close or not listener.end_count:
            closed = failure.Failure(error.ConnectionDone())
            connection.connectionLost(closed)
        return listener

    def is_sound(self, listener, own):
        """Return whether it is the whole own answer, or a failure that says nothing."""
        if listener.end_count != 1:
            return False
        if listener.result == own.result:
            return True
        if listener.result.status is not None or listener.statements:
            return False
        return listener.failure not in decisions.NOT_RUN_FAILURES


class SecondAnswerTest(MixtureCase):
    def count_mixtures(self, attempt_id):
        """Return how many mixtures are no sound answers, by what they consist of."""
        wrong = collections.Counter()
        for kind, second in make_second_answers(attempt_id).items():
            for own in make_own_answers():
                for size_bytes in range(len(second) + 1):
                    remnant = second[:size_bytes]
                    for segments in make_segmentations(remnant, own.received):
                        listener = self.receive(segments, own)
                        if not self.is_sound(listener, own):
                            wrong[kind, own.result.status] += 1
        return dict(wrong)

    def test_own_answers_without_a_remnant_are_relayed_whole(self):
        for own in make_own_answers():
            bytewise = split(own.received)
            for segments in (*make_segmentations(b"", own.received), bytewise):
                listener = self.receive(segments, own)
                self.assertEqual(own.result, listener.result)
                self.assertEqual(1, listener.end_count)

    def test_what_is_left_of_a_second_answer_is_no_part_of_the_next(self):
        self.assertEqual({}, self.count_mixtures(FIRST_ID))

    def test_what_is_left_of_a_second_answer_without_an_id_is_no_part_of_the_next(self):
        self.assertEqual({}, self.count_mixtures(b""))


class SurplusTest(MixtureCase):
    def test_a_connection_with_a_remnant_behind_an_answer_is_not_free(self):
        free = []
        first = make_second_answers(FIRST_ID)
        remnants = [*first.values(), b"\r\n", b"\n", b"HTTP", b"0\r\n\r\n", b"\x00"]
        for kind in ("length", "chunks", "no content", "error", "refusal"):
            for remnant in remnants:
                for size_bytes in range(1, len(remnant) + 1):
                    surplus = remnant[:size_bytes]
                    for segments in make_segmentations(first[kind], surplus):
                        connection = self.connect()
                        for segment in segments:
                            connection.dataReceived(segment)
                        if connection.is_free:
                            free.append((kind, surplus))
        self.assertEqual([], free[:10], len(free))

    def test_a_connection_without_surplus_bytes_is_free(self):
        first = make_second_answers(FIRST_ID)
        for kind in ("length", "chunks", "no content", "error", "refusal"):
            for segments in make_segmentations(b"", first[kind]):
                connection = self.connect()
                for segment in segments:
                    connection.dataReceived(segment)
                self.assertTrue(connection.is_free, kind)
                self.assertFalse(connection.transport.disconnected, kind)


class CallerTest(forwarder_test.ForwarderCase):
    """Lets the engine of a request that may run once send a remnant first."""

    def send_on_kept_connection(self):
        for number in (1, 2):
            first = forwarder_test.FakeOutgoingRequest(
                self.get_address("s2", number), b"", IgnoringListener()
            )
            first.answer(with_length(b"HTTP/1.1 200 OK\r\n" + FIRST_ID, b"x"))
            self.pool.keep(first)
        request = forwarder_test.REQUEST.replace(b"/a/x", b"/a/b/x")
        engine = self.send_request(request.replace(b"id-1", b"id-2"))
        self.assertFalse(engine.is_first_on_connection)
        return engine

    def test_a_request_that_ran_is_neither_sent_again_nor_promised_not_to_run(self):
        own = with_length(b"HTTP/1.1 200 OK\r\n" + SEAL % b"own" + OWN_ID, b"own body")
        second_answers = make_second_answers(FIRST_ID)
        for kind in ("refusal", "other instance", "no content", "length"):
            second = second_answers[kind]
            for size_bytes in range(len(second) + 1):
                self.start()
                engine = self.send_on_kept_connection()
                engine.answer(second[:size_bytes] + own)
                engine.disconnect()
                self.clock.advance(0.1)
                status = self.received()[:12]
                self.assertIn(status, (b"HTTP/1.1 200", b"HTTP/1.1 502"))
                is_whole = self.received().endswith(b"\r\n\r\nown body")
                self.assertEqual(status == b"HTTP/1.1 200", is_whole)
                self.assertEqual(1, len(self.pool.sent))


class FilledBodyTest(MixtureCase):
    """The own answer breaks off, and a second one to the same request follows."""

    OWN = b"HTTP/1.1 200 OK\r\n" + OWN_ID + b"X-Response-Seal: seal-own\r\n"
    SECOND = b"HTTP/1.1 500 Error\r\n" + OWN_ID + b"Content-Length: 3\r\n\r\nbad"

    def check_not_relayed(self, head, body):
        for received in (split(head + body), [head + body]):
            connection = self.connect()
            connection.dataReceived(
                with_length(b"HTTP/1.1 200 OK\r\n" + FIRST_ID, b"x")
            )
            listener = self.send(connection)
            for segment in received:
                if not connection.transport.disconnected:
                    connection.dataReceived(segment)
            if not listener.end_count:
                connection.connectionLost(failure.Failure(error.ConnectionDone()))
            self.assertEqual(decisions.DispatchFailure.MALFORMED, listener.failure)
            self.assertIsNone(listener.status)
            self.assertNotIn(b"500", listener.events)

    def test_a_body_that_a_second_answer_fills_up_is_not_relayed(self):
        body = b"abcde" + self.SECOND
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        self.check_not_relayed(self.OWN + length, body)
        self.check_not_relayed(self.OWN + b"\r\n", body)

    def test_an_event_that_holds_a_second_answer_is_not_relayed(self):
        stream = self.OWN + b"Content-Type: text/event-stream\r\n\r\n"
        self.check_not_relayed(stream, b"id: 1\ndata: a\n\ndata: b" + self.SECOND)
