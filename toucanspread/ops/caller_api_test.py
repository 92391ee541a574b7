import asyncio
import json
import socket

import msgspec
import testtools
import xxhash
from twisted.internet import error, testing
from twisted.python import failure

from standins import running_reactor
from toucanspread.core import data, events
from toucanspread.core.requests import requests_test
from toucanspread.ops import caller_api, dispatcher, grpc_transport, loop, runtime

HEADERS = "X-Team: a\r\nX-Deadline-S: 5\r\nX-Request-Id: q1\r\n"


class FakePeers:
    """Yields scripted frames for each dispatch; exceptions in a script are raised."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.dispatches = []
        self.replaced = []

    def replace_connection(self, address):
        self.replaced.append(address)

    def dispatch(self, address, dispatch, body):
        self.dispatches.append((address, dispatch, body))
        return self.play(dispatch)

    async def play(self, dispatch):
        for item in self.scripts.pop(0):
            await asyncio.sleep(0)
            if isinstance(item, Exception):
                raise item
            yield msgspec.structs.replace(item, attempt=dispatch.attempt)


def make_frame(sequence, payload, request_id="q1", offset_bytes=0):
    version = "v1" if sequence == 0 else ""
    return data.AnswerFrame(request_id, 0, sequence, payload, offset_bytes, version)


def make_whole_answer(*payloads, status=200):
    """Return the frames of a complete answer."""
    frames = [make_frame(n, payload) for n, payload in enumerate(payloads)]
    joined = b"".join(payloads)
    checksum = xxhash.xxh64(joined).hexdigest()
    end = data.AnswerEnd(
        "q1",
        0,
        data.Outcome.DONE,
        frames=len(frames),
        payload_bytes=len(joined),
        checksum=checksum,
        status=status,
    )
    return [*frames, end]


class CallerApiCase(testtools.TestCase):
    """Base of tests with fake peers and an in-memory connection of a caller."""

    def start(self, *scripts, reports=()):
        entry = requests_test.make_entry(*reports)
        self.now_s = 0.0
        self.host = runtime.Runtime(entry, lambda code: None, lambda: self.now_s)
        self.peers = FakePeers(*scripts)
        self.api = caller_api.CallerApi(self.host, "127.0.0.1:0", max_body_bytes=64)
        self.api.site.timeOut = None
        self.host.add(self.api)
        self.dispatcher = dispatcher.Dispatcher(self.host, self.peers, self.api)
        self.host.add(self.dispatcher)

    def call(self, line, headers="", body=b""):
        channel = self.api.site.buildProtocol(None)
        transport = testing.StringTransport()
        channel.makeConnection(transport)
        head = f"{line} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
        channel.dataReceived(head.encode() + headers.encode() + b"\r\n" + body)
        loop.EVENT_LOOP.run_until_complete(self.run_pending_tasks())
        return transport

    async def run_pending_tasks(self):
        for _ in range(50):
            await asyncio.sleep(0)

    def post(self, service, headers=HEADERS, body=b"hello"):
        return self.call(f"POST /v1/requests/{service}", headers, body)

    def split(self, transport):
        head, _, body = transport.value().partition(b"\r\n\r\n")
        return head.decode(), body


class CallerApiTest(CallerApiCase):
    def test_model_answer_is_streamed_and_ends_with_its_outcome(self):
        script = make_whole_answer(b"data: 1\n\n", b"data: 2\n\n")
        self.start(script, reports=[requests_test.make_report("p1")])
        transport = self.post("redactor")
        head, body = self.split(transport)
        self.assertIn("200 OK", head)
        self.assertIn("text/event-stream", head)
        self.assertIn(b"data: 1\n\n", body)
        self.assertIn(b"data: 2\n\n", body)
        self.assertIn(b'event: end\ndata: {"request_id":"q1","outcome":"done"', body)
        self.assertTrue(body.endswith(b"0\r\n\r\n"))
        self.assertEqual(b"hello", self.peers.dispatches[0][2])

    def test_interrupted_stream_never_looks_complete(self):
        script = [make_frame(0, b"data: 1\n\n")]
        refusal = [data.AnswerEnd("q1", 0, data.Outcome.NOT_RUN)]
        self.start(script, refusal, reports=[requests_test.make_report("p1")])
        transport = self.post("redactor")
        _, body = self.split(transport)
        self.assertIn(b"event: error", body)
        self.assertIn(b'"outcome":"unknown"', body)
        self.assertFalse(body.endswith(b"0\r\n\r\n"))
        self.assertTrue(transport.disconnecting)

    def resume(self, second):
        first = [make_frame(0, b"data: 1\n\n")]
        self.start(first, second, reports=[requests_test.make_report("p1")])
        _, body = self.split(self.post("redactor"))
        self.assertEqual(9, self.peers.dispatches[1][1].resume_from_bytes)
        self.assertEqual(1, self.peers.dispatches[1][1].resume_from_events)
        return body

    def test_resumed_stream_neither_loses_nor_repeats_events(self):
        second = make_whole_answer(b"data: 2\n\n", b"data: 3\n\n")
        second[0] = make_frame(0, b"data: 2\n\n", offset_bytes=9)
        second[1] = make_frame(1, b"data: 3\n\n", offset_bytes=18)
        body = self.resume(second)
        for number in (1, 2, 3):
            self.assertEqual(1, body.count(b"data: %d\n\n" % number))
        self.assertIn(b"event: end", body)

    def test_answer_that_starts_over_instead_of_resuming_is_rejected(self):
        body = self.resume(make_whole_answer(b"data: 1\n\n", b"data: 2\n\n"))
        self.assertEqual(1, body.count(b"data: 1\n\n"))
        self.assertIn(b"event: error", body)
        self.assertNotIn(b"event: end", body)

    def test_plain_answer_is_returned_complete_with_its_status(self):
        script = make_whole_answer(b'{"slot":', b"7}", status=201)
        reports = [requests_test.make_report("p1", requests_test.PLAIN)]
        self.start(script, reports=reports)
        head, body = self.split(self.post("reservas"))
        self.assertIn("201 Created", head)
        self.assertIn("Content-Length: 10", head)
        self.assertIn("X-Outcome: done", head)
        self.assertEqual(b'{"slot":7}', body)

    def test_mismatched_or_altered_answers_are_never_delivered(self):
        complete = make_whole_answer(b"data: 1\n\n")
        for script in (
            [make_frame(0, b"other", request_id="q9")],
            [make_frame(1, b"second first")],
            [make_frame(0, b"altered"), complete[-1]],
        ):
            reports = [requests_test.make_report("p1", requests_test.PLAIN)]
            self.start(script, reports=reports)
            head, body = self.split(self.post("reservas"))
            self.assertIn("502", head)
            self.assertEqual("unknown", json.loads(body)["outcome"])

    def test_retry_does_not_mix_two_attempts(self):
        broken = [
            make_frame(0, b"first"),
            grpc_transport.PeerError(
                "gone", sent=True, reason=data.Reason.STREAM_BROKE
            ),
        ]
        reports = [
            requests_test.make_report(name, requests_test.PLAIN)
            for name in ("p1", "p2")
        ]
        self.start(broken, make_whole_answer(b"second"), reports=reports)
        head, body = self.split(
            self.post("reservas", HEADERS + "X-Repeatable: true\r\n")
        )
        self.assertIn("200", head)
        self.assertEqual(b"second", body)

    def test_invalid_requests_are_refused_without_effect(self):
        self.start(reports=[requests_test.make_report("p1")])
        for headers in (
            "X-Team: a\r\n",
            "X-Deadline-S: 5\r\n",
            "X-Team: a\r\nX-Deadline-S: nan\r\n",
            "X-Team: a\r\nX-Deadline-S: 0\r\n",
            HEADERS + "X-Priority: urgent\r\n",
            HEADERS + "X-Repeatable: maybe\r\n",
            HEADERS + "X-Adapter: a b\r\n",
        ):
            head, body = self.split(self.post("redactor", headers))
            self.assertIn("400", head, headers)
            self.assertEqual("bad request", json.loads(body)["reason"])
        head, _ = self.split(self.post("redactor", body=b"x" * 65))
        self.assertIn("413", head)
        self.assertEqual({}, self.host.node.requests.live)
        self.assertEqual([], self.peers.dispatches)

    def test_refusal_contains_a_retry_delay(self):
        self.start()
        head, body = self.split(self.post("redactor"))
        self.assertIn("503", head)
        self.assertIn("Retry-After: ", head)
        self.assertEqual("not run", json.loads(body)["outcome"])

    def test_total_size_of_buffered_bodies_is_bounded(self):
        self.start(reports=[requests_test.make_report("p1")])
        self.api._body_bytes = caller_api.MAX_BUFFERED_BODY_BYTES - 4
        head, body = self.split(self.post("redactor"))
        self.assertIn("429", head)
        self.assertEqual("not run", json.loads(body)["outcome"])
        self.assertEqual({}, self.host.node.requests.live)

    def test_finished_request_releases_its_body_bytes(self):
        script = make_whole_answer(b"data: 1\n\n")
        self.start(script, reports=[requests_test.make_report("p1")])
        self.post("redactor")
        self.assertEqual(0, self.api._body_bytes)

    def test_request_id_is_the_default_idempotency_key(self):
        reports = [requests_test.make_report("p1", requests_test.PLAIN)]
        self.start(make_whole_answer(b"{}"), make_whole_answer(b"{}"), reports=reports)
        self.post("reservas")
        self.post("reservas", HEADERS + "Idempotency-Key: deposit-1\r\n")
        keys = [sent[1].request.idempotency_key for sent in self.peers.dispatches]
        self.assertEqual(["q1", "deposit-1"], keys)

    def test_addresses_exclude_a_draining_entry(self):
        self.start(reports=[requests_test.make_report("p1")])
        _, body = self.split(self.call("GET /v1/addresses?service=redactor&team=a"))
        self.assertEqual(["h1"], json.loads(body)["addresses"])
        self.host.post(events.ShutdownRequested())
        _, body = self.split(self.call("GET /v1/addresses?service=redactor&team=a"))
        self.assertEqual([], json.loads(body)["addresses"])

    def test_draining_entry_closes_the_connection_after_the_answer(self):
        script = make_whole_answer(b"data: 1\n\n")
        self.start(script, reports=[requests_test.make_report("p1")])
        self.host.post(events.ShutdownRequested())
        transport = self.post("redactor")
        head, body = self.split(transport)
        self.assertIn("503", head)
        self.assertIn("Connection: close", head)
        self.assertEqual("leaving", json.loads(body)["reason"])
        self.assertTrue(transport.disconnecting)

    def test_stream_in_progress_completes_while_the_entry_drains(self):
        def drain_after_the_first_frame(address, dispatch, body):
            answer = self.peers.play(dispatch)

            async def frames():
                async for item in answer:
                    yield item
                    self.host.post(events.ShutdownRequested())

            return frames()

        script = make_whole_answer(b"data: 1\n\n", b"data: 2\n\n")
        self.start(script, reports=[requests_test.make_report("p1")])
        self.peers.dispatch = drain_after_the_first_frame
        transport = self.post("redactor")
        _, body = self.split(transport)
        self.assertIn(b"data: 2\n\n", body)
        self.assertIn(b"event: end", body)
        self.assertTrue(body.endswith(b"0\r\n\r\n"))
        self.assertTrue(transport.disconnecting)

    def test_silent_connection_is_replaced_and_its_late_answer_dropped(self):
        waiting = asyncio.Event()

        async def late(dispatch):
            await waiting.wait()
            async for item in self.peers.play(dispatch):
                yield item

        reports = [requests_test.make_report(name) for name in ("p1", "p2")]
        answer = make_whole_answer(b"data: 2\n\n")
        self.start(make_whole_answer(b"data: late\n\n"), answer, reports=reports)
        dispatch = self.peers.dispatch
        self.peers.dispatch = lambda address, sent, body: late(sent)
        patient = HEADERS.replace("X-Deadline-S: 5", "X-Deadline-S: 60")
        transport = self.post("redactor", patient)
        self.peers.dispatch = dispatch
        self.peers.scripts.reverse()
        self.now_s = 16.0
        self.host.post(events.Tick())
        loop.EVENT_LOOP.run_until_complete(self.run_pending_tasks())
        waiting.set()
        loop.EVENT_LOOP.run_until_complete(self.run_pending_tasks())
        _, body = self.split(transport)
        self.assertEqual(1, len(self.peers.replaced))
        self.assertIn(b"data: 2\n\n", body)
        self.assertNotIn(b"late", body)
        self.assertIn(b"event: end", body)

    def test_answer_pauses_while_the_caller_reads_slowly(self):
        script = make_whole_answer(*(b"data: %d\n\n" % number for number in range(9)))
        self.start(script, reports=[requests_test.make_report("p1")])
        write = self.api.write

        def write_and_pause(request_id, attempt, payload):
            write(request_id, attempt, payload)
            self.api._pending["q1"].pauseProducing()

        self.api.write = write_and_pause
        transport = self.post("redactor")
        self.assertNotIn(b"event: end", transport.value())
        self.api.write = write
        self.api._pending["q1"].resumeProducing()
        loop.EVENT_LOOP.run_until_complete(self.run_pending_tasks())
        self.assertIn(b"event: end", transport.value())

    def test_request_of_a_disconnected_caller_is_removed(self):
        async def endless():
            await asyncio.sleep(3600)
            yield

        self.start(reports=[requests_test.make_report("p1")])
        self.peers.dispatch = lambda *args: endless()
        channel = self.api.site.buildProtocol(None)
        channel.makeConnection(testing.StringTransport())
        head = f"POST /v1/requests/redactor HTTP/1.1\r\nHost: x\r\n{HEADERS}"
        channel.dataReceived(f"{head}Content-Length: 0\r\n\r\n".encode())
        self.assertIn("q1", self.host.node.requests.live)
        channel.connectionLost(failure.Failure(error.ConnectionLost()))
        loop.EVENT_LOOP.run_until_complete(self.run_pending_tasks())
        self.assertEqual({}, self.host.node.requests.live)


class SlowCallerAtStopTest(CallerApiCase):
    PAYLOAD = b"a" * 4_000_000

    async def open_caller(self):
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        caller.setblocking(False)
        self.addCleanup(caller.close)
        port = self.api._listener.getHost().port
        await loop.EVENT_LOOP.sock_connect(caller, ("127.0.0.1", port))
        head = f"POST /v1/requests/reservas HTTP/1.1\r\nHost: x\r\n{HEADERS}"
        request = f"{head}Connection: close\r\nContent-Length: 5\r\n\r\nhello"
        await loop.EVENT_LOOP.sock_sendall(caller, request.encode())
        return caller

    async def stop_before_the_caller_reads(self):
        await self.api.start()
        caller = await self.open_caller()
        while not self.peers.dispatches or self.host.node.requests.live:
            await asyncio.sleep(0.01)
        stopping = asyncio.ensure_future(self.api.stop())
        await asyncio.sleep(0.2)
        has_stopped_early = stopping.done()
        received = bytearray()
        while part := await loop.EVENT_LOOP.sock_recv(caller, 1_000_000):
            received += part
        await stopping
        return has_stopped_early, bytes(received)

    def start_serving(self):
        running_reactor.start(self)
        report = requests_test.make_report("p1", requests_test.PLAIN)
        self.start(make_whole_answer(self.PAYLOAD), reports=[report])

    def test_an_idle_connection_does_not_keep_the_process(self):
        async def stop_beside_an_idle_connection():
            await self.api.start()
            host, port = "127.0.0.1", self.api._listener.getHost().port
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            await reader.readuntil(b"ok\n")
            async with asyncio.timeout(caller_api.MAX_DELIVERY_S / 5):
                await self.api.stop()
            return await reader.read()

        self.start_serving()
        idle = stop_beside_an_idle_connection()
        self.assertEqual(b"", loop.EVENT_LOOP.run_until_complete(idle))

    def test_a_caller_that_never_reads_does_not_keep_the_process(self):
        async def stop_before_a_caller_that_never_reads():
            await self.api.start()
            await self.open_caller()
            while not self.peers.dispatches or self.host.node.requests.live:
                await asyncio.sleep(0.01)
            started_s = loop.EVENT_LOOP.time()
            await self.api.stop()
            return loop.EVENT_LOOP.time() - started_s

        self.start_serving()
        self.patch(caller_api, "MAX_DELIVERY_S", 0.3)
        stopping = stop_before_a_caller_that_never_reads()
        stopped_in_s = loop.EVENT_LOOP.run_until_complete(stopping)
        self.assertGreaterEqual(stopped_in_s, 0.3)
        self.assertLess(stopped_in_s, 2.0)

    def test_process_does_not_end_before_a_slow_caller_has_its_answer(self):
        self.start_serving()
        stopping = self.stop_before_the_caller_reads()
        has_stopped_early, received = loop.EVENT_LOOP.run_until_complete(stopping)
        self.assertFalse(has_stopped_early)
        self.assertTrue(received.endswith(self.PAYLOAD))
