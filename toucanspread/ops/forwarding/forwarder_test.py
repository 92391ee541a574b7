"""Tests the forwarder with fake engines and a fake clock."""

import contextlib
import random

import eliot
import msgspec
import testtools
from eliot import testing
from twisted.internet import error, task
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python import failure

from toucanspread.core import data
from toucanspread.core.entry import (
    cluster_state,
    decisions,
    engine_requirements,
    engine_statement,
    event_stream,
    fingerprints,
    guard_program,
    retry_budget,
    size_shares,
)
from toucanspread.core.entry import data as entry_data
from toucanspread.ops.forwarding import engine_answer, forwarder, request_queue
from toucanspread.ops.http import http1, http1_client, http1_pool, http1_server
from toucanspread.platform import decoding_test, requests

REQUEST = (
    b"POST /a/x HTTP/1.1\r\nHost: hulo84.example\r\nX-Attempt-Id: id-1\r\n"
    b"Api-Key: k1\r\nX-Token-Usage: 100,50\r\nX-Timeout-Ms: 3000\r\n"
    b"X-Tenant: forged\r\nContent-Length: 2\r\n\r\nhi"
)
HEAD = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nX-Attempt-Id: id-1\r\n"
MAX_TESTED_BYTES = 20_000_000
STREAM = HEAD + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data_bytes):
    return b"%x\r\n%b\r\n" % (len(data_bytes), data_bytes)


class Transport(StringTransport):
    def setTcpNoDelay(self, enabled):  # noqa: N802
        return

    def getHandle(self):  # noqa: N802
        return self

    def setsockopt(self, level, option, value):
        return

    def loseWriteConnection(self):  # noqa: N802
        self.disconnecting = True


@contextlib.contextmanager
def capture_events(name):
    """Collect the log messages of an event."""
    messages = []

    def collect(message):
        if message["message_type"] == name:
            messages.append(message)

    eliot.add_destinations(collect)
    try:
        yield messages
    finally:
        eliot.remove_destination(collect)


class FakeOutgoingRequest:
    """One request to a fake engine.

    :param connection: an idle connection to the engine; None to open one.
    """

    def __init__(self, address, request, listener, connection=None):
        self.address = address
        self.request = request
        self.connection = connection
        if connection is None:
            self.connection = http1_client.ClientConnection(task.Clock())
            self.connection.makeConnection(Transport())
        self.connection.send(request, listener)
        self.cancelled = False
        self.was_sent = True

    def cancel(self):
        self.cancelled = True

    def pause(self):
        self.connection.pause()

    def resume(self):
        self.connection.resume()

    @property
    def is_first_on_connection(self):
        return self.connection.request_count == 1

    @property
    def is_paused(self):
        return self.connection.transport.producerState == "paused"

    def answer(self, received):
        self.connection.dataReceived(received)

    def disconnect(self, kind=error.ConnectionDone):
        self.connection.connectionLost(failure.Failure(kind()))


class RecordingNotifier(forwarder.EntryNotifier):
    def __init__(self):
        self.notices = []

    def send_prompt_notice(self, notice):
        return

    def send_notice(self, notice):
        self.notices.append(notice)


class FakePool(http1_pool.ConnectionPool):
    def __init__(self, clock):
        super().__init__(clock)
        self.sent = []
        self.kept = {}

    def keep(self, outgoing):
        """Use the connection of an answered request for the next one there."""
        self.kept[outgoing.address] = outgoing.connection

    def send(self, address, render, listener, max_idle_s=None):
        connection = None if max_idle_s == 0.0 else self.kept.pop(address, None)
        outgoing = FakeOutgoingRequest(address, render(), listener, connection)
        self.sent.append(outgoing)
        return outgoing


class StarvedShares(size_shares.SizeShares):
    """Counts by which all sizes are behind."""

    def __init__(self):
        super().__init__()
        self.recorded = []

    def record_arrival(self, timing):
        self.recorded.append("arrival")

    def record_begin(self, timing):
        self.recorded.append("begin")

    def is_behind(self, timing):
        return True


class ForwarderCase(testtools.TestCase):
    """Sets up a forwarder with two services of two engines each."""

    def setUp(self):
        super().setUp()
        self.start()

    def start(self):
        self.clock = self.make_clock()
        self.copy_age_s = 0.1
        self.pool = self.make_pool()
        self.cluster = cluster_state.ClusterState(8.0, 2.0)
        decoded = decoding_test.decoding.decode_configuration(
            decoding_test.encode_json(self.make_configuration())
        )
        self.cluster.apply(
            cluster_state.ConfigurationSeen(decoded),
            cluster_state.ChangeTiming(0.0, 0.0),
            False,
        )
        for service in ("s1", "s2"):
            for number in (1, 2):
                self.add_engine(service, number)
        zone = data.ZoneName("z")
        location = engine_requirements.EntryLocation(
            zone, {zone: data.RegionName("r")}, 1
        )
        self.notifier = RecordingNotifier()
        self.forwarder = forwarder.Forwarder(
            self.cluster,
            retry_budget.RetryBudget(0.2, 100.0, 10.0),
            self.pool,
            requests.PlatformDialect(),
            lambda: location,
            random.Random(1),
            self.notifier,
            lambda: guard_program.Members("n", ["n"]),
            lambda: self.copy_age_s,
            config_within_s=2.0,
        )
        self.connection = http1_server.ServerFactory(
            self.forwarder, self.clock
        ).buildProtocol(None)
        self.transport = Transport()
        self.connection.makeConnection(self.transport)

    def make_configuration(self):
        return {
            **decoding_test.CONFIG,
            "services": [
                decoding_test.CONFIG["services"][0],
                {**decoding_test.CONFIG["services"][0], "name": "s2"},
            ],
        }

    def make_clock(self):
        return task.Clock()

    def make_pool(self):
        return FakePool(self.clock)

    def add_engine(self, service, number):
        loaded = (entry_data.LoadedLayers(data.ModelName("m"), 1, 0, 4),)
        entry = entry_data.EngineEntry(
            f"{service}-{number}",
            data.ServiceName(service),
            self.get_address(service, number),
            data.ZoneName("z"),
            16,
            entry_data.EngineState.READY,
            loaded=loaded,
        )
        self.cluster.apply(
            cluster_state.EngineSeen(entry), cluster_state.ChangeTiming(0.0, 0.0), False
        )

    def get_address(self, service, number):
        return data.Address(f"{service}:{number}")

    def send_request(self, request=REQUEST):
        self.connection.dataReceived(request)
        return self.pool.sent[-1] if self.pool.sent else None

    def received(self):
        return self.transport.value()


class ForwarderTest(ForwarderCase):
    def test_engine_gets_the_request_with_replaced_headers(self):
        sent = self.send_request().request
        self.assertIn(b"X-Tenant: t\r\n", sent)
        self.assertNotIn(b"forged", sent)
        self.assertNotIn(b"k1", sent)
        self.assertIn(b"X-Expect-Instance: s", sent)
        self.assertIn(b"X-Timeout-Ms: 3000\r\n", sent)
        self.assertTrue(sent.endswith(b"\r\n\r\nhi"))

    @testing.capture_logging(None)
    def test_the_size_of_a_body_is_logged_also_after_its_answer(self, logger):
        self.send_request().answer(HEAD + b"Content-Length: 2\r\n\r\nok")
        sizes = [
            message["body_bytes"]
            for message in logger.messages
            if message["message_type"] == "request_answered"
        ]
        self.assertEqual([2], sizes)

    def test_the_log_of_a_broken_stream_tells_its_engine_silence_and_stop(self):
        engine = self.send_request()
        engine.answer(STREAM + chunk(b"id: 1\ndata: a\n\n"))
        self.forwarder.leave(2.0)
        self.clock.advance(0.5)
        with capture_events("stream_broken") as messages:
            engine.disconnect(error.ConnectionLost)
        [message] = messages
        told = [message[n] for n in ("last_failure", "quiet_s", "is_leaving")]
        self.assertEqual(["broken", 0.5, True], told)
        self.assertTrue(message["engine"].startswith("s"))

    def test_interrupted_stream_resumes_at_another_engine_within_one_answer(self):
        first = self.send_request()
        first.answer(STREAM + chunk(b"id: 1\ndata: a\n\nid: 2\nda"))
        first.answer(b"not a chunk\r\n")
        second = self.pool.sent[-1]
        self.assertIsNot(first, second)
        self.assertIn(b"Last-Event-Id: 1\r\n", second.request)
        second.answer(STREAM + chunk(b"id: 2\ndata: b\n\n") + b"0\r\n\r\n")
        got = self.received()
        self.assertEqual(1, got.count(b"HTTP/1.1 200"))
        self.assertEqual(1, got.count(b"id: 2"))
        self.assertTrue(got.endswith(http1.LAST_CHUNK))

    def test_answer_to_another_request_is_discarded(self):
        engine = self.send_request()
        late = HEAD.replace(b"id-1", b"id-0") + b"Content-Length: 4\r\n\r\nlate"
        engine.answer(late + HEAD + b"Content-Length: 3\r\n\r\nown")
        self.assertNotIn(b"late", self.received())
        self.assertTrue(self.received().endswith(b"own"))

    def test_answer_without_a_seal_is_not_relayed(self):
        self.send_request().answer(
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nContent-Length: 2\r\n\r\nno"
        )
        self.assertEqual(2, len(self.pool.sent))
        self.assertEqual(b"", self.received())

    def answer_without_end(self, engine, beginning, repeated):
        """Send bytes until the connection is closed; return how many were sent."""
        transport = engine.connection.transport
        engine.answer(beginning)
        sent_bytes = 0
        while not (engine.cancelled or transport.disconnected):
            engine.answer(repeated)
            sent_bytes += len(repeated)
            if sent_bytes > MAX_TESTED_BYTES:
                break
        return sent_bytes

    def test_answer_without_end_is_abandoned_and_retried_at_another_engine(self):
        answer = HEAD + b"\r\n"
        late_answer = answer.replace(b"id-1", b"id-0")
        cases = {
            "head": (HEAD, b"A: b\r\n" * 100, http1.MAX_HEAD_BYTES),
            "body": (answer, b"a" * 10_000, engine_answer.MAX_ANSWER_BYTES),
            "late body": (late_answer, b"a" * 10_000, engine_answer.MAX_ANSWER_BYTES),
        }
        excessive = {}
        for name, (beginning, repeated, max_bytes) in cases.items():
            self.start()
            first = self.send_request()
            sent_bytes = self.answer_without_end(first, beginning, repeated)
            if sent_bytes > max_bytes + len(repeated):
                excessive[name] = sent_bytes
                continue
            second = self.pool.sent[-1]
            self.assertIsNot(first, second)
            second.answer(HEAD + b"Content-Length: 3\r\n\r\nown")
            self.assertTrue(self.received().endswith(b"own"), name)
            self.assertNotIn(b"aaaa", self.received())
            self.assertNotIn(b"A: b", self.received())
        self.assertEqual({}, excessive)

    def test_event_without_end_is_abandoned_and_the_stream_resumed(self):
        first = self.send_request()
        event = b"id: 1\ndata: a\n\n"
        beginning = STREAM + chunk(event + b"id: 2\nda")
        repeated = chunk(b"a" * 10_000)
        sent_bytes = self.answer_without_end(first, beginning, repeated)
        self.assertLess(sent_bytes, event_stream.MAX_EVENT_BYTES * 1.1)
        second = self.pool.sent[-1]
        self.assertIn(b"Last-Event-Id: 1\r\n", second.request)
        second.answer(STREAM + chunk(b"id: 2\ndata: b\n\n") + http1.LAST_CHUNK)
        self.assertTrue(self.received().endswith(http1.LAST_CHUNK))
        self.assertNotIn(b"aaaa", self.received())

    def test_stream_of_events_without_end_is_interrupted(self):
        first = self.send_request()
        events = chunk(b"data: aaaa\n\n" * 1_000)
        sent_bytes = self.answer_without_end(first, STREAM, events)
        max_bytes = engine_answer.MAX_STREAM_BYTES * 1.1
        self.assertLess(sent_bytes, max_bytes)
        self.assertFalse(self.received().endswith(http1.LAST_CHUNK))

    def test_rejected_request_is_retried_before_the_rejection_is_relayed(self):
        rejection = (
            b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )
        self.send_request()
        for _ in range(10):
            if self.received():
                break
            self.pool.sent[-1].answer(rejection)
        self.assertIn(b"HTTP/1.1 503", self.received())
        self.assertIn(b"Retry-After: ", self.received())

    def test_invalid_and_unauthorized_requests_reach_no_engine(self):
        cases = {
            REQUEST.replace(b"/a/x", b"/b/x"): b"404",
            REQUEST.replace(b"k1", b"k9"): b"401",
            REQUEST.replace(b"X-Attempt-Id: id-1\r\n", b""): b"400",
        }
        for request, status in cases.items():
            self.transport.clear()
            self.send_request(request)
            self.clock.advance(0)
            self.assertTrue(self.received().startswith(b"HTTP/1.1 " + status))
        self.assertEqual([], self.pool.sent)

    def test_a_denial_is_logged_with_the_age_of_the_copy(self):
        self.copy_age_s = 0.5
        denied = REQUEST.replace(b"/a/x", b"/b/x").replace(b"id-1", b"denied-1")
        with capture_events("request_denied") as denials:
            self.send_request(denied)
            self.clock.advance(0)
        # Messages logged before there was any destination are captured, too.
        ages_s = [d["age_s"] for d in denials if d["id"] == "denied-1"]
        self.assertEqual([0.5], ages_s)

    def test_a_request_is_denied_only_by_a_copy_that_is_not_too_old_for_it(self):
        denied = REQUEST.replace(b"/a/x", b"/b/x")
        for age_s, status in ((2.0, b"404"), (2.1, b"503")):
            self.start()
            self.copy_age_s = age_s
            self.send_request(denied)
            self.assertTrue(self.received().startswith(b"HTTP/1.1 " + status))
        self.assertIn(b"Retry-After", self.received())

    def test_an_old_copy_still_serves_what_it_allows(self):
        self.copy_age_s = 60.0
        self.assertIsNotNone(self.send_request())

    def test_disconnected_caller_cancels_the_dispatch(self):
        engine = self.send_request()
        self.connection.connectionLost(None)
        self.assertTrue(engine.cancelled)
        self.assertEqual(set(), self.forwarder.in_progress)

    def test_request_times_out_at_its_deadline(self):
        self.send_request()
        self.clock.advance(3.2)
        self.assertIn(b"HTTP/1.1 504", self.received())

    def test_queued_request_is_sent_once_an_engine_has_capacity(self):
        for engine in self.cluster.registry.of_service(data.ServiceName("s1")):
            engine.add_prompt(
                30_000, self.cluster.route_table.services["s1"].profile, 0.0
            )
        for engine in self.cluster.registry.of_service(data.ServiceName("s2")):
            engine.add_prompt(
                30_000, self.cluster.route_table.services["s2"].profile, 0.0
            )
        self.assertIsNone(self.send_request())
        for _ in range(200):
            self.clock.advance(0.01)
        self.assertEqual(1, len(self.pool.sent))
        for service in ("s1", "s2"):
            key = request_queue.QueueKey(data.ServiceName(service), None)
            self.assertEqual(0.0, self.forwarder.queue.sum_prefill_s(key))

    def test_a_queued_request_of_a_starved_size_is_sent_and_counted(self):
        shares = StarvedShares()
        self.forwarder.queue.shares = shares
        self.test_queued_request_is_sent_once_an_engine_has_capacity()
        self.assertEqual(["arrival", "begin"], shares.recorded)

    def test_waiting_request_is_cancelled_when_its_prompt_is_quarantined(self):
        prompt = b"X-Prompt-Prefix: a:1,b:1\r\nContent-Length"
        engine = self.send_request(REQUEST.replace(b"Content-Length", prompt))
        notice = entry_data.PartsQuarantined(("a",), 0.0, 0, 30.0)
        self.forwarder.crash_notices.receive(notice)
        self.clock.advance(0)
        self.assertTrue(engine.cancelled)
        self.assertIn(b"HTTP/1.1 502", self.received())
        self.assertEqual(set(), self.forwarder.in_progress)

    def test_crashes_are_notified_to_the_other_entries(self):
        prompt = b"X-Prompt-Prefix: a:1,b:1\r\nContent-Length"
        engine = self.send_request(REQUEST.replace(b"Content-Length", prompt))
        engine.connection.connectionLost(failure.Failure(error.ConnectionLost()))
        self.clock.advance(0)
        (notice,) = self.notifier.notices
        part, fingerprint = notice.parts
        self.assertEqual("a", part)
        self.assertTrue(fingerprint.startswith(fingerprints.PREFIX))

    def test_crashes_by_requests_without_a_prompt_are_notified_to_the_other_entries(
        self,
    ):
        engine = self.send_request()
        engine.connection.connectionLost(failure.Failure(error.ConnectionLost()))
        self.clock.advance(0)
        (notice,) = self.notifier.notices
        (fingerprint,) = notice.parts
        self.assertTrue(fingerprint.startswith(fingerprints.PREFIX))

    def test_request_without_a_configuration_is_refused_with_a_retry_delay(self):
        self.cluster.route_table = None
        self.send_request()
        self.assertIn(b"HTTP/1.1 503", self.received())
        self.assertIn(b"Retry-After", self.received())

    def test_the_begin_of_a_request_on_older_weights_is_logged(self):
        service = self.cluster.route_table.services[data.ServiceName("s1")]
        named = cluster_state.VersionNamed(service.profile.model, 2)
        engine = self.send_request()
        self.cluster.apply(named, cluster_state.ChangeTiming(-8.0, -8.0), False)
        with capture_events("older_version_begun") as events:
            engine.answer(
                STREAM.replace(b"\r\n\r\n", b"\r\nX-Weight-Versions: 1\r\n\r\n")
            )
        self.assertEqual(
            [(1, 2)], [(e["version"], e["minimum_version"]) for e in events]
        )

    def test_a_request_that_cannot_be_withdrawn_does_not_keep_others_at_old_weights(
        self,
    ):
        class FailingRequest:
            def withdraw_if_outdated(self):
                raise ValueError("address of the next engine")

        service = self.cluster.route_table.services[data.ServiceName("s1")]
        engine = self.send_request()
        self.forwarder.in_progress.update(FailingRequest() for _ in range(30))
        named = cluster_state.VersionNamed(service.profile.model, 2)
        self.cluster.apply(named, cluster_state.ChangeTiming(-8.0, -8.0), False)
        self.forwarder.schedule_withdrawal(0.0)
        with capture_events("task_failed") as failures:
            self.clock.advance(0.0)
        self.assertTrue(engine.cancelled)
        self.assertEqual(30, len(failures))

    def test_a_withdrawal_of_a_held_up_entry_is_logged_as_late(self):
        self.forwarder.schedule_withdrawal(0.1)
        with capture_events("withdrawal_late") as events:
            self.clock.advance(0.3)
        (late,) = events
        self.assertAlmostEqual(0.2, late["late_s"])

    def test_a_withdrawal_on_time_is_not_logged_as_late(self):
        self.forwarder.schedule_withdrawal(0.1)
        with capture_events("withdrawal_late") as events:
            self.clock.advance(0.1)
        self.assertEqual([], events)

    def test_a_request_that_fails_in_a_quarantine_does_not_keep_others_at_engines(self):
        class FailingRequest:
            def on_quarantine(self):
                raise ValueError("address of the next engine")

        engine = self.send_request()
        (request,) = self.forwarder.in_progress
        request.state.on_quarantine = lambda context: [decisions.Cancel(1)]
        self.forwarder.in_progress.update(FailingRequest() for _ in range(30))
        with capture_events("task_failed") as failures:
            self.forwarder._on_quarantine()
        self.assertTrue(engine.cancelled)
        self.assertEqual(30, len(failures))

    def test_what_has_not_begun_is_withdrawn_from_weights_that_become_too_old(self):
        service = self.cluster.route_table.services[data.ServiceName("s1")]
        first = self.send_request()
        named = cluster_state.VersionNamed(service.profile.model, 2)
        timing = cluster_state.ChangeTiming(-7.0, -7.0)
        self.cluster.apply(named, timing, False)
        self.forwarder.schedule_withdrawal(self.cluster.withdrawal_in_s(named, 0.0))
        self.clock.advance(0.69)
        self.assertFalse(first.cancelled)
        self.clock.advance(0.02)
        self.assertTrue(first.cancelled)
        self.assertIn(b"HTTP/1.1 502", self.received())


class FailingDecisionTest(ForwarderCase):
    """The entry of an engine makes each choice of an engine of its service fail."""

    def send_and_name_version(self):
        """Return an engine whose weights become too old, and that is not to begin."""
        engine = self.send_request()
        self.add_failing_engine()
        service = self.cluster.route_table.services[data.ServiceName("s1")]
        named = cluster_state.VersionNamed(service.profile.model, 2)
        self.cluster.apply(named, cluster_state.ChangeTiming(-8.0, -8.0), False)
        self.forwarder.schedule_withdrawal(0.0)
        self.clock.advance(0.0)
        return engine

    def add_failing_engine(self):
        engine = self.cluster.registry.get(self.sent_engine_id())
        loaded = (entry_data.LoadedLayers(data.ModelName("m"), 2, 0, 4),)
        entry = msgspec.structs.replace(
            engine.entry, engine_id="odd", address="odd:1", slots=10**400, loaded=loaded
        )
        self.cluster.apply(
            cluster_state.EngineSeen(entry), cluster_state.ChangeTiming(0.0, 0.0), False
        )

    def sent_engine_id(self):
        return self.pool.sent[-1].address.replace(":", "-")

    def test_a_withdrawal_of_which_the_rest_fails_is_logged_once(self):
        with capture_events("request_abandoned") as abandoned:
            self.send_and_name_version()
        self.assertEqual(1, len(abandoned))

    def test_a_withdrawal_of_which_the_rest_fails_reaches_the_engine(self):
        engine = self.send_and_name_version()
        self.assertTrue(engine.cancelled)

    def test_an_answer_on_old_weights_is_not_relayed_after_a_failed_withdrawal(self):
        engine = self.send_and_name_version()
        engine.answer(STREAM + chunk(b"id: 1\ndata: a\n\n") + http1.LAST_CHUNK)
        self.assertIn(b"HTTP/1.1 502", self.received())
        self.assertNotIn(b"data: a", self.received())
        self.assertEqual(set(), self.forwarder.in_progress)

    def test_a_request_whose_retry_fails_is_ended_at_once(self):
        self.send_request()
        self.add_failing_engine()
        self.assertRaises(OverflowError, self.pool.sent[-1].disconnect)
        self.assertIn(b"HTTP/1.1 502", self.received())
        self.assertEqual(set(), self.forwarder.in_progress)

    def test_an_error_at_the_end_of_an_answer_is_logged(self):
        engine = self.send_request()
        (request,) = self.forwarder.in_progress
        request.state.on_answer = self.fail_to_decide
        with capture_events("request_abandoned") as abandoned:
            engine.answer(HEAD + b"Content-Length: 2\r\n\r\nok")
        self.assertIn(b"HTTP/1.1 502", self.received())
        self.assertEqual(["ValueError"], [message["kind"] for message in abandoned])

    def fail_to_decide(self, *arguments):
        raise ValueError("odd")


class FailingQueuedDispatchTest(ForwarderCase):
    """A queued request can't be sent, as the sending itself fails."""

    def send_queued(self):
        """Queue a request, and let it be sent once the engines have read others."""
        for name in ("s1", "s2"):
            profile = self.cluster.route_table.services[name].profile
            for engine in self.cluster.registry.of_service(data.ServiceName(name)):
                engine.add_prompt(30_000, profile, 0.0)
        self.assertIsNone(self.send_request())
        self.pool.send = self.fail_to_send
        for _ in range(200):
            self.clock.advance(0.01)

    def fail_to_send(self, *arguments):
        self.send_count += 1
        raise ValueError("port of the engine")

    def test_a_queued_request_that_could_not_be_sent_is_not_sent_again(self):
        self.send_count = 0
        self.send_queued()
        self.assertEqual(1, self.send_count)
        self.assertIn(b"HTTP/1.1 502", self.received())
        self.assertEqual(set(), self.forwarder.in_progress)


class SlowCallerTest(ForwarderCase):
    """Plays a caller that doesn't read its stream for some time."""

    EVENT = b"id: 1\ndata: a\n\n"

    def open_blocked_stream(self):
        """Return an engine of whose stream the caller reads no more."""
        engine = self.send_request()
        engine.answer(STREAM)
        self.transport.producer.pauseProducing()
        engine.answer(chunk(self.EVENT))
        return engine

    def test_engine_is_not_read_until_the_caller_has_read(self):
        engine = self.open_blocked_stream()
        self.assertTrue(engine.is_paused)
        self.transport.producer.resumeProducing()
        self.assertFalse(engine.is_paused)
        engine.answer(chunk(self.EVENT) + http1.LAST_CHUNK)
        self.assertEqual(2, self.received().count(self.EVENT))
        self.assertTrue(self.received().endswith(http1.LAST_CHUNK))

    def test_stream_that_ends_while_its_caller_does_not_read_is_complete(self):
        engine = self.send_request()
        engine.answer(STREAM)
        self.transport.producer.pauseProducing()
        engine.answer(chunk(self.EVENT) + http1.LAST_CHUNK)
        self.assertTrue(self.received().endswith(http1.LAST_CHUNK))
        self.assertTrue(engine.connection.is_free)
        self.assertFalse(engine.is_paused)

    def test_disconnection_while_the_engine_is_not_read_cancels_the_dispatch(self):
        engine = self.open_blocked_stream()
        self.assertEqual("producing", self.transport.producerState)
        self.connection.connectionLost(failure.Failure(error.ConnectionDone()))
        self.assertTrue(engine.cancelled)
        self.assertEqual(set(), self.forwarder.in_progress)

    def test_deadline_applies_while_the_engine_is_not_read(self):
        engine = self.open_blocked_stream()
        self.clock.advance(2.9)
        self.assertFalse(engine.cancelled)
        self.clock.advance(0.4)
        self.assertTrue(engine.cancelled)
        self.assertTrue(self.transport.disconnected)
        self.assertEqual(1, len(self.pool.sent))

    def test_stream_resumed_for_a_caller_that_does_not_read_is_paused_as_well(self):
        first = self.open_blocked_stream()
        first.disconnect(error.ConnectionLost)
        second = self.pool.sent[-1]
        self.assertIsNot(first, second)
        second.answer(STREAM + chunk(b"id: 2\ndata: b\n\n"))
        self.assertTrue(second.is_paused)
        self.transport.producer.resumeProducing()
        self.assertFalse(second.is_paused)


class SlowConnectionTest(ForwarderCase):
    """The connection to an engine is open only some time after the dispatch."""

    def make_clock(self):
        return MemoryReactorClock()

    def make_pool(self):
        return http1_pool.ConnectionPool(self.clock)

    def test_an_engine_gets_no_more_time_than_is_left_when_its_connection_is_open(self):
        self.connection.dataReceived(REQUEST)
        _, _, factory, _, _ = self.clock.tcpClients[0]
        self.clock.advance(0.55)
        engine = factory.buildProtocol(None)
        transport = Transport()
        engine.makeConnection(transport)
        self.assertIn(b"X-Timeout-Ms: 2450\r\n", transport.value())

    def open_after(self, change):
        """Return what an engine gets if a change comes while its connection opens."""
        self.connection.dataReceived(REQUEST)
        host, port, factory, _, _ = self.clock.tcpClients[0]
        change(f"{host}-{port}")
        engine = factory.buildProtocol(None)
        transport = Transport()
        engine.makeConnection(transport)
        return transport.value()

    def test_an_engine_that_leaves_while_its_connection_opens_gets_nothing(self):
        def leave(engine_id):
            engine = self.cluster.registry.get(engine_id)
            draining = entry_data.EngineState.DRAINING
            engine.entry = msgspec.structs.replace(engine.entry, state=draining)

        self.assertEqual(b"", self.open_after(leave))
        first, second = self.clock.tcpClients
        self.assertNotEqual(first[:2], second[:2])

    def test_an_engine_that_asks_for_a_pause_while_its_connection_opens_gets_nothing(
        self,
    ):
        def ask(engine_id):
            statement = engine_statement.EngineStatement(backoff_s=4.0)
            self.cluster.registry.get(engine_id).apply_statement(statement, 0.0, 0.0)

        self.assertEqual(b"", self.open_after(ask))
        first, second = self.clock.tcpClients
        self.assertNotEqual(first[:2], second[:2])

    def test_weights_that_become_too_old_while_a_connection_opens_are_not_used(self):
        service = self.cluster.route_table.services[data.ServiceName("s1")]
        named = cluster_state.VersionNamed(service.profile.model, 2)
        timing = cluster_state.ChangeTiming(-8.0, -8.0)
        received = self.open_after(lambda _: self.cluster.apply(named, timing, False))
        self.assertEqual(b"", received)
        self.assertIn(b"HTTP/1.1 503", self.received())

    def test_an_entry_that_leaves_while_a_connection_opens_sends_nothing_too_long(self):
        received = self.open_after(lambda _: self.forwarder.leave(2.0))
        self.assertEqual(b"", received)
        self.assertIn(b"HTTP/1.1 503", self.received())
        self.assertIn(b"Connection: close", self.received())

    def test_an_entry_that_leaves_while_a_connection_opens_sends_what_ends_in_time(
        self,
    ):
        received = self.open_after(lambda _: self.forwarder.leave(4.0))
        self.assertIn(b"X-Timeout-Ms: 3000\r\n", received)

    def test_an_entry_that_stops_while_a_connection_opens_promises_not_run(self):
        received = self.open_after(self.stop)
        self.assertEqual(b"", received)
        self.assertIn(b"HTTP/1.1 503", self.received())

    def stop(self, engine_id):
        self.forwarder.leave(self.clock.seconds())
        self.forwarder.end_requests()
        self.assertEqual(set(), self.forwarder.in_progress)


class HeldUpEntryTest(ForwarderCase):
    """The entry is held up between the choice of an engine and the sending."""

    HELD_UP_S = 0.6

    def make_clock(self):
        return MemoryReactorClock()

    def make_pool(self):
        return http1_pool.ConnectionPool(self.clock)

    def connect(self):
        """Open the connection that the entry asked for last; return its other end."""
        engine = self.clock.tcpClients[-1][2].buildProtocol(None)
        engine.makeConnection(Transport())
        return engine

    def load(self, engine_id, version):
        engine = self.cluster.registry.get(engine_id)
        loaded = (entry_data.LoadedLayers(data.ModelName("m"), version, 0, 4),)
        engine.entry = msgspec.structs.replace(engine.entry, loaded=loaded)
        return engine

    def name_version(self, version, due_in_s):
        service = self.cluster.route_table.services[data.ServiceName("s1")]
        named = cluster_state.VersionNamed(service.profile.model, version)
        named_s = self.clock.seconds() + due_in_s - 8.0
        timing = cluster_state.ChangeTiming(named_s, named_s)
        self.cluster.apply(named, timing, False)

    def dispatch_held_up(self):
        """Return the second engine of a request whose first one got too old.

        The first has an idle connection, and weights that are due to be replaced.
        """
        self.connection.dataReceived(REQUEST)
        host, port, _, _, _ = self.clock.tcpClients[0]
        first_id = f"{host}-{port}"
        second_id = f"{host}-{3 - port}"
        self.connect().dataReceived(HEAD + b"Content-Length: 2\r\n\r\nok")
        self.clock.advance(0.0)
        self.load(first_id, 1)
        self.load(second_id, 2).in_flight = 8
        self.name_version(2, due_in_s=0.9)
        self.transport.clear()
        self.notifier.send_prompt_notice = self.hold_up
        self.connection.dataReceived(REQUEST)
        self.clock.advance(0.0)
        self.assertEqual([(host, port), (host, 3 - port)], self.list_targets())
        return self.connect()

    def hold_up(self, notice):
        self.notifier.send_prompt_notice = lambda notice: None
        self.clock.rightNow += self.HELD_UP_S

    def list_targets(self):
        return [client[:2] for client in self.clock.tcpClients]

    def test_a_caller_that_leaves_ends_the_dispatch_after_one_that_was_not_sent(self):
        engine = self.dispatch_held_up()
        self.assertIn(b"POST /a/x", engine.transport.value())
        self.connection.connectionLost(failure.Failure(error.ConnectionDone()))
        self.assertTrue(engine.transport.disconnecting)

    def test_a_request_that_an_engine_has_is_not_answered_as_one_that_has_not_run(self):
        engine = self.dispatch_held_up()
        self.name_version(3, due_in_s=0.2)
        self.forwarder.schedule_withdrawal(0.0)
        self.clock.advance(0.0)
        self.assertIn(b"HTTP/1.1 502", self.received())
        self.assertTrue(engine.transport.disconnecting)


class PlannedStopTest(ForwarderCase):
    def test_a_request_that_outlasts_the_stop_ends_at_its_engine_too(self):
        engine = self.send_request()
        self.forwarder.leave(2.0)
        self.assertFalse(engine.cancelled)
        self.clock.advance(2.0)
        self.forwarder.end_requests()
        self.assertTrue(engine.cancelled)
        self.assertIn(b"HTTP/1.1 502", self.received())
        self.assertIn(b"Connection: close", self.received())

    def test_a_stream_that_outlasts_the_stop_is_reset(self):
        engine = self.send_request()
        engine.answer(STREAM + chunk(b"id: 1\ndata: a\n\n"))
        self.forwarder.leave(2.0)
        self.forwarder.end_requests()
        self.assertTrue(engine.cancelled)
        self.assertTrue(self.transport.disconnected)
        self.assertFalse(self.received().endswith(http1.LAST_CHUNK))

    def test_a_request_of_which_a_part_came_during_a_stream_is_answered(self):
        engine = self.send_request()
        engine.answer(STREAM + chunk(b"id: 1\ndata: a\n\n"))
        self.forwarder.leave(2.0)
        self.connection.dataReceived(REQUEST[:-1])
        engine.answer(http1.LAST_CHUNK)
        self.clock.advance(0.1)
        self.connection.dataReceived(REQUEST[-1:])
        self.assertEqual(1, self.received().count(b"HTTP/1.1 503"))
        self.assertIn(b"Connection: close", self.received())
        self.assertTrue(self.transport.disconnecting)

    def test_a_stream_that_breaks_off_is_not_resumed_past_the_stop(self):
        first = self.send_request()
        first.answer(STREAM + chunk(b"id: 1\ndata: a\n\n"))
        self.forwarder.leave(2.0)
        first.disconnect(error.ConnectionLost)
        self.assertEqual([first], self.pool.sent)
        self.assertTrue(self.transport.disconnected)

    def test_a_stream_that_breaks_off_is_resumed_if_it_ends_before_the_stop(self):
        first = self.send_request()
        first.answer(STREAM + chunk(b"id: 1\ndata: a\n\n"))
        self.forwarder.leave(4.0)
        first.disconnect(error.ConnectionLost)
        self.assertEqual(2, len(self.pool.sent))

    def test_a_silent_engine_keeps_a_request_that_may_not_move_past_the_stop(self):
        first = self.send_request()
        self.forwarder.leave(2.0)
        self.clock.advance(1.5)
        self.assertFalse(first.cancelled)
        first.answer(HEAD + b"Content-Length: 3\r\n\r\nown")
        self.assertTrue(self.received().endswith(b"own"))

    def test_a_rejected_request_is_not_sent_again_past_the_stop(self):
        first = self.send_request()
        self.forwarder.leave(2.0)
        first.answer(
            b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual([first], self.pool.sent)
        self.assertIn(b"HTTP/1.1 503", self.received())
        self.assertIn(b"Retry-After: 0.05", self.received())

    def test_requests_in_line_behind_one_that_outlasts_the_stop_are_refused(self):
        self.send_request(REQUEST * 3)
        self.forwarder.leave(2.0)
        self.clock.advance(2.0)
        self.forwarder.end_requests()
        while not self.transport.disconnecting:
            self.clock.advance(0.01)
        self.assertEqual(1, len(self.pool.sent))
        self.assertEqual(1, self.received().count(b"HTTP/1.1 502"))
        self.assertEqual(2, self.received().count(b"HTTP/1.1 503"))
