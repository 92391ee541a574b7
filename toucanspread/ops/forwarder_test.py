"""Tests the forwarder with fake engines and a fake clock."""

import random

import testtools
from twisted.internet import error, task
from twisted.internet.testing import StringTransport
from twisted.python import failure

from toucanspread.core import data
from toucanspread.core.entry import (
    cluster_state,
    guard_program,
    load_balancing,
    retry_budget,
)
from toucanspread.core.entry import data as entry_data
from toucanspread.ops import (
    forwarder,
    http1,
    http1_client,
    http1_pool,
    http1_server,
)
from toucanspread.platform import decoding_test, requests

REQUEST = (
    b"POST /a/x HTTP/1.1\r\nHost: hulo84.example\r\nX-Attempt-Id: id-1\r\n"
    b"Api-Key: k1\r\nX-Token-Usage: 100,50\r\nX-Timeout-Ms: 3000\r\n"
    b"X-Tenant: forged\r\nContent-Length: 2\r\n\r\nhi"
)
HEAD = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nX-Attempt-Id: id-1\r\n"
STREAM = HEAD + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data_bytes):
    return b"%x\r\n%b\r\n" % (len(data_bytes), data_bytes)


class Transport(StringTransport):
    def setTcpNoDelay(self, enabled):  # noqa: N802
        return


class FakeOutgoingRequest:
    """One request to a fake engine."""

    def __init__(self, address, request, listener):
        self.address = address
        self.request = request
        self.connection = http1_client.ClientConnection(task.Clock())
        self.connection.makeConnection(Transport())
        self.connection.send(request, listener)
        self.cancelled = False

    def cancel(self):
        self.cancelled = True

    def answer(self, received):
        self.connection.dataReceived(received)


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

    def send(self, address, request, listener, max_idle_s=None):
        outgoing = FakeOutgoingRequest(address, request, listener)
        self.sent.append(outgoing)
        return outgoing


class ForwarderTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.pool = FakePool(self.clock)
        self.cluster = cluster_state.ClusterState(8.0, 2.0)
        config = {
            **decoding_test.CONFIG,
            "services": [
                decoding_test.CONFIG["services"][0],
                {**decoding_test.CONFIG["services"][0], "name": "s2"},
            ],
        }
        decoded = decoding_test.decoding.decode_configuration(
            decoding_test.encode_json(config)
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
        location = load_balancing.EntryLocation(zone, {zone: data.RegionName("r")}, 1)
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
        )
        self.connection = http1_server.ServerFactory(
            self.forwarder, self.clock
        ).buildProtocol(None)
        self.transport = Transport()
        self.connection.makeConnection(self.transport)

    def add_engine(self, service, number):
        loaded = (entry_data.LoadedLayers(data.ModelName("m"), 1, 0, 4),)
        entry = entry_data.EngineEntry(
            f"{service}-{number}",
            data.ServiceName(service),
            data.Address(f"{service}:{number}"),
            data.ZoneName("z"),
            16,
            entry_data.EngineState.READY,
            loaded=loaded,
        )
        self.cluster.apply(
            cluster_state.EngineSeen(entry), cluster_state.ChangeTiming(0.0, 0.0), False
        )

    def send_request(self, request=REQUEST):
        self.connection.dataReceived(request)
        return self.pool.sent[-1] if self.pool.sent else None

    def received(self):
        return self.transport.value()

    def test_engine_gets_the_request_with_replaced_headers(self):
        sent = self.send_request().request
        self.assertIn(b"X-Tenant: t\r\n", sent)
        self.assertNotIn(b"forged", sent)
        self.assertNotIn(b"k1", sent)
        self.assertIn(b"X-Expect-Instance: s", sent)
        self.assertIn(b"X-Timeout-Ms: 3000\r\n", sent)
        self.assertTrue(sent.endswith(b"\r\n\r\nhi"))

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
        self.assertEqual(
            0.0, self.forwarder.queue.sum_prefill_s(data.ServiceName("s1"))
        )
        self.assertEqual(
            0.0, self.forwarder.queue.sum_prefill_s(data.ServiceName("s2"))
        )

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
        self.assertEqual(("a",), notice.parts)

    def test_request_without_a_configuration_is_refused_with_a_retry_delay(self):
        self.cluster.route_table = None
        self.send_request()
        self.assertIn(b"HTTP/1.1 503", self.received())
        self.assertIn(b"Retry-After", self.received())
