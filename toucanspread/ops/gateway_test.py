"""Tests the gateway and its clients against the stand-ins, on loopback."""

import asyncio
import hashlib
import json

import testtools
import xxhash

from toucanspread.ops import loop  # isort: skip  (installs the reactor)

from twisted.internet import reactor

from standins import engine as engine_standin
from standins import engine_text, gate_harness, plain_service
from toucanspread.core import data, effects, events
from toucanspread.core.gate import dispatch_history
from toucanspread.ops import engine, gateway, runtime

WEIGHTS = b"weights of the first version"


def run(coroutine):
    return loop.EVENT_LOOP.run_until_complete(asyncio.wait_for(coroutine, 20.0))


class StandinServer:
    """Serves a stand-in on a free port."""

    def __init__(self, standin):
        self.standin = standin
        self._port = reactor.listenTCP(0, standin.make_site(), interface="127.0.0.1")
        self.address = data.Address(f"127.0.0.1:{self._port.getHost().port}")

    async def close(self):
        stopping = self._port.stopListening()
        if stopping is not None:
            await loop.as_future(stopping)


class GatewayCase(testtools.TestCase):
    """Base of tests of a gateway with a fake key-value service."""

    def start(self, rig, **services):
        self.rig = rig
        self.kv = gate_harness.FakeKeyValue()
        self.runtime = runtime.Runtime(rig.machine, on_exit=lambda code: None)
        self.gateway = gateway.Gateway(self.runtime.post, **services)
        self.runtime.add(self.gateway)
        for kind in (effects.KvWrite, effects.KvRead):
            self.runtime._handlers[kind] = lambda effect: self.runtime.post_soon(
                self.kv.carry_out(effect)
            )

    async def dispatch(
        self,
        request_id,
        body,
        budget_s=5.0,
        frames=None,
        attempt=1,
        resume=(0, 0),
        **fields,
    ):
        request = data.Request(
            data.RequestId(request_id),
            data.TeamName("parish"),
            self.rig.node.orders.serving.service,
            budget_s,
            **fields,
        )
        dispatch = data.Dispatch(
            request,
            attempt,
            budget_s,
            gate_harness.ENTRY.instance_id,
            data.Incarnation(0),
            *resume,
        )
        offset_bytes = resume[0]
        answer = self.gateway.handle(gate_harness.ENTRY, dispatch, body)
        payload = b""
        try:
            async for frame in answer:
                if isinstance(frame, data.AnswerEnd):
                    return payload, frame
                self.assertEqual(request_id, frame.request_id)
                if resume[0]:
                    self.assertEqual(offset_bytes, frame.offset_bytes)
                    offset_bytes += len(frame.payload)
                payload += frame.payload
                if frames is not None and payload:
                    return payload, None
        finally:
            await answer.aclose()
        raise AssertionError("no end")


class EngineTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.standin = engine_standin.EngineServer(tokens_per_s=2000.0, slots=4)
        self.standin.start()
        self.addCleanup(self.standin.stop)
        self.server = StandinServer(self.standin)
        self.addCleanup(lambda: run(self.server.close()))
        self.engine = engine.HttpEngine.from_config(self.server.address)
        self.addCleanup(lambda: run(self.engine.close()))
        run(self.load())
        rig = gate_harness.GateHarness()
        rig.node.orders.serving.weights_hash = hashlib.sha256(WEIGHTS).hexdigest()
        self.start(rig, model_engine=self.engine)
        self.runtime.post(events.EngineStatusReported(run(self.engine.read_status())))

    async def load(self):
        chunk = hashlib.sha256(WEIGHTS).hexdigest()
        entry = {"path": "a", "size_bytes": len(WEIGHTS), "chunks": [chunk]}
        manifest = json.dumps({"files": [entry]}).encode()
        manifest_hash = hashlib.sha256(manifest).hexdigest()
        await self.engine.put_chunk(chunk, WEIGHTS)
        await self.engine.put_chunk(manifest_hash, manifest)
        for kind in (data.OrderKind.LOAD, data.OrderKind.ACTIVATE):
            answer = await self.engine.send_order(
                effects.EngineOrder("o", kind, 2, "m", "v1", manifest_hash)
            )
            self.assertTrue(answer.accepted, answer.detail)

    def expected(self, prompt, max_tokens):
        digest = hashlib.sha256(WEIGHTS).hexdigest()
        return engine_text.generate_answer("v1", digest, prompt, max_tokens)

    def body(self, prompt="dear parish", max_tokens=20):
        return json.dumps({"prompt": prompt, "max_tokens": max_tokens}).encode()

    def assert_complete(self, payload, end, prompt="dear parish", max_tokens=20):
        self.assertEqual(data.Outcome.DONE, end.outcome, end.detail)
        self.assertEqual(xxhash.xxh64_hexdigest(payload), end.checksum)
        self.assertEqual(len(payload), end.payload_bytes)
        text, ended = engine_text.parse_events(payload)
        self.assertEqual((self.expected(prompt, max_tokens), True), (text, ended))

    def test_answer_is_relayed_completely(self):
        payload, end = run(self.dispatch("r1", self.body()))
        self.assert_complete(payload, end)

    def test_concurrent_answers_are_not_mixed_up(self):
        async def dispatch_all():
            prompts = [f"prompt {number}" for number in range(8)]
            answers = [self.dispatch(name, self.body(name)) for name in prompts]
            return zip(prompts, await asyncio.gather(*answers), strict=True)

        for prompt, (payload, end) in run(dispatch_all()):
            self.assert_complete(payload, end, prompt)

    def test_interrupted_stream_is_resumed_without_loss(self):
        self.standin.batch.faults.breaks = 2
        self.standin.batch.faults.break_after_tokens = 7
        payload, end = run(self.dispatch("r1", self.body()))
        self.assert_complete(payload, end)

    def test_entry_resumes_a_stream_after_its_connection_failed(self):
        first, end = run(self.dispatch("r1", self.body(), frames=1))
        self.assertIsNone(end)
        run(asyncio.sleep(0.05))
        resume = (len(first), first.count(b"\n\n"), "v1")
        rest, end = run(self.dispatch("r1", self.body(), attempt=2, resume=resume))
        self.assertEqual(data.Outcome.DONE, end.outcome, end.detail)
        text, ended = engine_text.parse_events(first + rest)
        self.assertEqual((self.expected("dear parish", 20), True), (text, ended))

    def test_stream_that_is_interrupted_repeatedly_ends_as_unknown(self):
        self.standin.batch.faults.breaks = 9
        self.standin.batch.faults.break_after_tokens = 7
        payload, end = run(self.dispatch("r1", self.body()))
        self.assertEqual(data.Outcome.UNKNOWN, end.outcome)
        self.assertEqual(data.Reason.STREAM_BROKE, end.reason)

    def test_stream_of_another_endpoint_is_resumed_at_its_offset(self):
        complete, _ = run(self.dispatch("r1", self.body()))
        offset = 0
        for _ in range(7):
            offset = complete.index(b"\n\n", offset) + 2
        self.rig.node.dispatches.history = dispatch_history.DispatchHistory()
        rest, end = run(self.dispatch("r1", self.body(), resume=(offset, 7, "v1")))
        self.assertEqual(complete, complete[:offset] + rest)
        self.assertEqual(xxhash.xxh64_hexdigest(rest), end.checksum)

    def test_stream_is_not_resumed_under_another_version(self):
        _, end = run(self.dispatch("r1", self.body(), resume=(100, 7, "v0")))
        self.assertEqual(data.Reason.WRONG_VERSION, end.reason)
        _, end = run(self.dispatch("r2", self.body(), resume=(100, 7)))
        self.assertEqual(data.Outcome.NOT_RUN, end.outcome)

    def test_answer_to_another_request_is_not_relayed(self):
        self.standin.batch.faults.crossed = 1
        payload, end = run(self.dispatch("r1", self.body()))
        self.assertEqual(b"", payload)
        self.assertEqual(data.Outcome.UNKNOWN, end.outcome)

    def test_run_at_a_frozen_engine_ends_at_the_deadline(self):
        self.standin.batch.faults.frozen = True
        _, end = run(self.dispatch("r1", self.body(), budget_s=0.3))
        self.assertEqual(data.Outcome.UNKNOWN, end.outcome)
        self.assertEqual(data.Reason.DEADLINE, end.reason)

    def test_answer_after_the_deadline_is_discarded(self):
        self.standin.batch.faults.late_s = 0.3
        payload, end = run(self.dispatch("r1", self.body(), budget_s=0.1))
        self.assertEqual((b"", data.Reason.DEADLINE), (payload, end.reason))
        self.standin.batch.faults.late_s = 0.0
        payload, end = run(self.dispatch("r2", self.body("another")))
        self.assert_complete(payload, end, "another")
        self.assertEqual(1, self.standin.batch.served)

    def test_refusal_by_an_engine_with_another_version_is_not_run(self):
        self.standin.weights.active_version = "v2"
        _, end = run(self.dispatch("r1", self.body()))
        self.assertEqual(data.Outcome.NOT_RUN, end.outcome)
        self.assertEqual(data.Reason.WRONG_VERSION, end.reason)

    def test_dispatch_to_an_unreachable_engine_is_not_run(self):
        run(self.server.close())
        run(self.engine.close())
        _, end = run(self.dispatch("r1", self.body()))
        self.assertEqual(data.Outcome.NOT_RUN, end.outcome)

    def test_closing_the_answer_cancels_the_run(self):
        async def dispatch_and_close():
            await self.dispatch("r1", self.body(max_tokens=4000), frames=1)
            while self.rig.node.dispatches.live or not self.standin.batch.cancelled:
                await asyncio.sleep(0.01)

        run(dispatch_and_close())
        self.assertEqual(1, self.standin.batch.cancelled)

    def test_order_with_an_old_fence_is_refused(self):
        answer = run(
            self.engine.send_order(
                effects.EngineOrder("o", data.OrderKind.ACTIVATE, 1, "m", "v1", "x")
            )
        )
        self.assertEqual((False, True), (answer.accepted, answer.stale_fence))


def event(number):
    return f"data: {number}\n\n".encode()


class ScriptedEngine:
    """Yields the items of one script per run; an exception interrupts the stream."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.resumed = []

    async def generate(self, request, body, version, resume_events=0):
        self.resumed.append(resume_events)
        for item in self.scripts.pop(0):
            if isinstance(item, Exception):
                raise item
            yield item


class ResumeTest(GatewayCase):
    def run_scripts(self, *scripts):
        self.engine = ScriptedEngine(*scripts)
        self.start(gate_harness.GateHarness(), model_engine=self.engine)
        return run(self.dispatch("r1", b"{}"))

    def test_resume_is_retried_after_a_failed_connection(self):
        payload, end = self.run_scripts(
            [event(0), event(1), engine.StreamBrokeError("broke", 2)],
            [engine.EngineError("no answer")],
            [event(2)],
        )
        self.assertEqual([0, 2, 2], self.engine.resumed)
        self.assertEqual(b"".join(map(event, range(3))), payload)
        self.assertEqual(data.Outcome.DONE, end.outcome)

    def test_resume_that_keeps_failing_is_reported_as_a_broken_stream(self):
        _, end = self.run_scripts(
            [event(0), engine.StreamBrokeError("broke", 1)],
            [engine.EngineError("no answer", started=False)],
            [engine.EngineError("no answer", started=False)],
        )
        self.assertEqual(data.Outcome.UNKNOWN, end.outcome)
        self.assertEqual(data.Reason.STREAM_BROKE, end.reason)

    def test_mismatched_answer_to_a_resume_ends_the_run(self):
        payload, end = self.run_scripts(
            [event(0), engine.StreamBrokeError("broke", 1)],
            [engine.MismatchedAnswerError("of another")],
        )
        self.assertEqual((event(0), data.Outcome.UNKNOWN), (payload, end.outcome))


class PlainTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.standin = plain_service.PlainServer()
        self.server = StandinServer(self.standin)
        self.addCleanup(lambda: run(self.server.close()))
        self.plain = engine.HttpPlainService.from_config(self.server.address)
        self.addCleanup(lambda: run(self.plain.close()))
        self.start(
            gate_harness.GateHarness(data.ServiceKind.PLAIN), plain_service=self.plain
        )

    def call_once(self, request_id, body=b"{}"):
        return self.dispatch(request_id, body, repeatable=False, idempotency_key="k")

    def test_repeated_call_gets_the_first_answer(self):
        first, _ = run(self.call_once("r1"))
        second, end = run(self.call_once("r2"))
        self.assertEqual(first, second)
        self.assertEqual(data.Outcome.DONE, end.outcome)
        self.assertEqual({"k": 1}, dict(self.standin.executions))

    def test_another_body_under_the_same_key_is_refused(self):
        run(self.call_once("r1"))
        payload, end = run(self.call_once("r2", b'{"other": 1}'))
        self.assertEqual((b"", data.Reason.DUPLICATE), (payload, end.reason))

    def test_call_with_a_lost_answer_is_unknown_and_never_repeated(self):
        self.standin.faults.lose_answers = 1
        _, end = run(self.call_once("r1"))
        self.assertEqual(data.Outcome.UNKNOWN, end.outcome)
        _, end = run(self.call_once("r2"))
        self.assertEqual(data.Outcome.UNKNOWN, end.outcome)
        self.assertEqual({"k": 1}, dict(self.standin.executions))

    def test_answer_to_another_request_is_not_relayed(self):
        self.standin.faults.crossed = 1
        payload, end = run(self.call_once("r1"))
        self.assertEqual((b"", data.Outcome.UNKNOWN), (payload, end.outcome))

    def test_call_continues_after_its_entry_disconnects(self):
        self.standin.faults.slow_s = 0.1

        async def call_and_disconnect():
            task = loop.spawn(self.call_once("r1"))
            while not self.rig.node.claims.held:
                await asyncio.sleep(0.005)
            task.cancel()
            while self.rig.node.dispatches.live:
                await asyncio.sleep(0.01)

        run(call_and_disconnect())
        self.assertEqual({"k": 1}, dict(self.standin.executions))
        _, end = run(self.call_once("r2"))
        self.assertEqual(data.Outcome.DONE, end.outcome)


class AnswerCacheTest(testtools.TestCase):
    def test_answer_stored_again_under_its_key_is_counted_once(self):
        cache = gateway.AnswerCache()
        cache.add(("other", 1), 200, b"other")
        payload = b"x" * gateway.MAX_CACHED_ANSWER_BYTES
        repeats = gateway.MAX_CACHED_BYTES // gateway.MAX_CACHED_ANSWER_BYTES
        for _ in range(repeats):
            cache.add(("r1", 1), 200, payload)
        self.assertEqual((200, b"other"), cache.get(("other", 1)))
        self.assertEqual((200, payload), cache.get(("r1", 1)))
