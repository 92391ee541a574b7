"""The gateway and its clients against the stand-ins, on loopback."""

import asyncio
import hashlib
import json

import testtools
import xxhash

from toucanspread.ops import loop  # isort: skip  (installs the reactor)

from twisted.internet import reactor

from standins import engine as engine_standin
from standins import engine_text, gate_fakes, plain_service
from toucanspread.core import data, effects, events
from toucanspread.core.gate import dispatch_history
from toucanspread.ops import engine, gateway, runtime

WEIGHTS = b"weights of the first version"


def run(coroutine):
    return loop.EVENT_LOOP.run_until_complete(asyncio.wait_for(coroutine, 20.0))


class StandinServer:
    """A stand-in on a free port."""

    def __init__(self, standin):
        self.standin = standin
        self._port = reactor.listenTCP(0, standin.site(), interface="127.0.0.1")
        self.address = data.Address(f"127.0.0.1:{self._port.getHost().port}")

    async def close(self):
        stopping = self._port.stopListening()
        if stopping is not None:
            await loop.as_future(stopping)


class GatewayCase(testtools.TestCase):
    """A gateway over the real parts, with the key-value service as a fake."""

    def start(self, rig, **ends):
        self.rig = rig
        self.kv = gate_fakes.FakeKeyValue()
        self.runtime = runtime.Runtime(rig.machine, on_exit=lambda code: None)
        self.gateway = gateway.Gateway(self.runtime.post, **ends)
        self.runtime.add(self.gateway)
        for kind in (effects.KvWrite, effects.KvRead):
            self.runtime._handlers[kind] = lambda effect: self.runtime.post_soon(
                self.kv.carry_out(effect)
            )

    async def ask(
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
            gate_fakes.ENTRY.instance_id,
            data.Incarnation(0),
            *resume,
        )
        offset_bytes = resume[0]
        answer = self.gateway.handle(gate_fakes.ENTRY, dispatch, body)
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
        self.served = StandinServer(self.standin)
        self.addCleanup(lambda: run(self.served.close()))
        self.engine = engine.HttpEngine.from_config(self.served.address)
        self.addCleanup(lambda: run(self.engine.close()))
        run(self.load())
        rig = gate_fakes.Rig()
        rig.node.orders.serving.weights_hash = hashlib.sha256(WEIGHTS).hexdigest()
        self.start(rig, model_engine=self.engine)
        self.runtime.post(events.EngineStatusReported(run(self.engine.status())))

    async def load(self):
        chunk = hashlib.sha256(WEIGHTS).hexdigest()
        entry = {"path": "a", "size_bytes": len(WEIGHTS), "chunks": [chunk]}
        manifest = json.dumps({"files": [entry]}).encode()
        manifest_hash = hashlib.sha256(manifest).hexdigest()
        await self.engine.put_chunk(chunk, WEIGHTS)
        await self.engine.put_chunk(manifest_hash, manifest)
        for kind in (data.OrderKind.LOAD, data.OrderKind.ACTIVATE):
            answer = await self.engine.order(
                effects.EngineOrder("o", kind, 2, "m", "v1", manifest_hash)
            )
            self.assertTrue(answer.accepted, answer.detail)

    def expected(self, prompt, max_tokens):
        digest = hashlib.sha256(WEIGHTS).hexdigest()
        return engine_text.answer("v1", digest, prompt, max_tokens)

    def body(self, prompt="dear parish", max_tokens=20):
        return json.dumps({"prompt": prompt, "max_tokens": max_tokens}).encode()

    def assert_complete(self, payload, end, prompt="dear parish", max_tokens=20):
        self.assertEqual(data.Outcome.DONE, end.outcome, end.detail)
        self.assertEqual(xxhash.xxh64_hexdigest(payload), end.checksum)
        self.assertEqual(len(payload), end.payload_bytes)
        text, ended = engine_text.text_of_events(payload)
        self.assertEqual((self.expected(prompt, max_tokens), True), (text, ended))

    def test_an_answer_is_relayed_whole(self):
        payload, end = run(self.ask("r1", self.body()))
        self.assert_complete(payload, end)

    def test_answers_at_once_are_each_their_own(self):
        async def ask_all():
            prompts = [f"prompt {number}" for number in range(8)]
            asked = [self.ask(name, self.body(name)) for name in prompts]
            return zip(prompts, await asyncio.gather(*asked), strict=True)

        for prompt, (payload, end) in run(ask_all()):
            self.assert_complete(payload, end, prompt)

    def test_a_broken_stream_is_resumed_without_loss(self):
        self.standin.batch.faults.breaks = 2
        self.standin.batch.faults.break_after_tokens = 7
        payload, end = run(self.ask("r1", self.body()))
        self.assert_complete(payload, end)

    def test_an_entry_resumes_a_stream_where_its_connection_broke(self):
        first, end = run(self.ask("r1", self.body(), frames=1))
        self.assertIsNone(end)
        run(asyncio.sleep(0.05))
        resume = (len(first), first.count(b"\n\n"), "v1")
        rest, end = run(self.ask("r1", self.body(), attempt=2, resume=resume))
        self.assertEqual(data.Outcome.DONE, end.outcome, end.detail)
        text, ended = engine_text.text_of_events(first + rest)
        self.assertEqual((self.expected("dear parish", 20), True), (text, ended))

    def test_a_stream_that_keeps_breaking_ends_unknown(self):
        self.standin.batch.faults.breaks = 9
        self.standin.batch.faults.break_after_tokens = 7
        payload, end = run(self.ask("r1", self.body()))
        self.assertEqual(data.Outcome.UNKNOWN, end.outcome)
        self.assertEqual(data.Reason.STREAM_BROKE, end.reason)

    def test_an_answer_goes_on_where_another_endpoint_left_off(self):
        whole, _ = run(self.ask("r1", self.body()))
        cut = 0
        for _ in range(7):
            cut = whole.index(b"\n\n", cut) + 2
        self.rig.node.dispatches.history = dispatch_history.DispatchHistory()
        rest, end = run(self.ask("r1", self.body(), resume=(cut, 7, "v1")))
        self.assertEqual(whole, whole[:cut] + rest)
        self.assertEqual(xxhash.xxh64_hexdigest(rest), end.checksum)

    def test_an_answer_does_not_go_on_under_another_version(self):
        _, end = run(self.ask("r1", self.body(), resume=(100, 7, "v0")))
        self.assertEqual(data.Reason.WRONG_VERSION, end.reason)
        _, end = run(self.ask("r2", self.body(), resume=(100, 7)))
        self.assertEqual(data.Outcome.NOT_RUN, end.outcome)

    def test_a_crossed_answer_is_not_relayed(self):
        self.standin.batch.faults.crossed = 1
        payload, end = run(self.ask("r1", self.body()))
        self.assertEqual(b"", payload)
        self.assertEqual(data.Outcome.UNKNOWN, end.outcome)

    def test_a_frozen_engine_ends_at_the_deadline(self):
        self.standin.batch.faults.frozen = True
        _, end = run(self.ask("r1", self.body(), budget_s=0.3))
        self.assertEqual(data.Outcome.UNKNOWN, end.outcome)
        self.assertEqual(data.Reason.DEADLINE, end.reason)

    def test_an_answer_after_the_deadline_reaches_nobody(self):
        self.standin.batch.faults.late_s = 0.3
        payload, end = run(self.ask("r1", self.body(), budget_s=0.1))
        self.assertEqual((b"", data.Reason.DEADLINE), (payload, end.reason))
        self.standin.batch.faults.late_s = 0.0
        payload, end = run(self.ask("r2", self.body("another")))
        self.assert_complete(payload, end, "another")
        self.assertEqual(1, self.standin.batch.served)

    def test_an_engine_that_moved_on_refuses_and_nothing_ran(self):
        self.standin.weights.active_version = "v2"
        _, end = run(self.ask("r1", self.body()))
        self.assertEqual(data.Outcome.NOT_RUN, end.outcome)
        self.assertEqual(data.Reason.WRONG_VERSION, end.reason)

    def test_an_unreachable_engine_ran_nothing(self):
        run(self.served.close())
        run(self.engine.close())
        _, end = run(self.ask("r1", self.body()))
        self.assertEqual(data.Outcome.NOT_RUN, end.outcome)

    def test_a_closed_answer_cancels_the_run(self):
        async def ask_and_leave():
            await self.ask("r1", self.body(max_tokens=4000), frames=1)
            while self.rig.node.dispatches.live or not self.standin.batch.cancelled:
                await asyncio.sleep(0.01)

        run(ask_and_leave())
        self.assertEqual(1, self.standin.batch.cancelled)

    def test_an_old_fence_is_refused(self):
        answer = run(
            self.engine.order(
                effects.EngineOrder("o", data.OrderKind.ACTIVATE, 1, "m", "v1", "x")
            )
        )
        self.assertEqual((False, True), (answer.accepted, answer.stale_fence))


def event(number):
    return f"data: {number}\n\n".encode()


class ScriptedEngine:
    """Yields what each script says; an exception breaks the stream."""

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
    def ask_of(self, *scripts):
        self.engine = ScriptedEngine(*scripts)
        self.start(gate_fakes.Rig(), model_engine=self.engine)
        return run(self.ask("r1", b"{}"))

    def test_a_connection_that_fails_on_a_resume_is_tried_again(self):
        payload, end = self.ask_of(
            [event(0), event(1), engine.StreamBrokeError("broke", 2)],
            [engine.EngineError("no answer")],
            [event(2)],
        )
        self.assertEqual([0, 2, 2], self.engine.resumed)
        self.assertEqual(b"".join(map(event, range(3))), payload)
        self.assertEqual(data.Outcome.DONE, end.outcome)

    def test_a_resume_that_keeps_failing_is_a_broken_stream(self):
        _, end = self.ask_of(
            [event(0), engine.StreamBrokeError("broke", 1)],
            [engine.EngineError("no answer", started=False)],
            [engine.EngineError("no answer", started=False)],
        )
        self.assertEqual(data.Outcome.UNKNOWN, end.outcome)
        self.assertEqual(data.Reason.STREAM_BROKE, end.reason)

    def test_a_crossed_answer_on_a_resume_ends_it(self):
        payload, end = self.ask_of(
            [event(0), engine.StreamBrokeError("broke", 1)],
            [engine.MismatchedAnswerError("of another")],
        )
        self.assertEqual((event(0), data.Outcome.UNKNOWN), (payload, end.outcome))


class PlainTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.standin = plain_service.PlainServer()
        self.served = StandinServer(self.standin)
        self.addCleanup(lambda: run(self.served.close()))
        self.plain = engine.HttpPlainService.from_config(self.served.address)
        self.addCleanup(lambda: run(self.plain.close()))
        self.start(gate_fakes.Rig(data.ServiceKind.PLAIN), plain_service=self.plain)

    def ask_once(self, request_id, body=b"{}"):
        return self.ask(request_id, body, repeatable=False, idempotency_key="k")

    def test_a_repeat_gets_the_first_answer(self):
        first, _ = run(self.ask_once("r1"))
        second, end = run(self.ask_once("r2"))
        self.assertEqual(first, second)
        self.assertEqual(data.Outcome.DONE, end.outcome)
        self.assertEqual({"k": 1}, dict(self.standin.executions))

    def test_another_body_under_the_same_key_gets_no_answer(self):
        run(self.ask_once("r1"))
        payload, end = run(self.ask_once("r2", b'{"other": 1}'))
        self.assertEqual((b"", data.Reason.DUPLICATE), (payload, end.reason))

    def test_a_lost_answer_is_unknown_and_never_repeated(self):
        self.standin.faults.lose_answers = 1
        _, end = run(self.ask_once("r1"))
        self.assertEqual(data.Outcome.UNKNOWN, end.outcome)
        _, end = run(self.ask_once("r2"))
        self.assertEqual(data.Outcome.UNKNOWN, end.outcome)
        self.assertEqual({"k": 1}, dict(self.standin.executions))

    def test_a_crossed_answer_is_not_relayed(self):
        self.standin.faults.crossed = 1
        payload, end = run(self.ask_once("r1"))
        self.assertEqual((b"", data.Outcome.UNKNOWN), (payload, end.outcome))

    def test_a_call_goes_on_when_its_entry_leaves(self):
        self.standin.faults.slow_s = 0.1

        async def ask_and_leave():
            asking = loop.spawn(self.ask_once("r1"))
            while not self.rig.node.claims.held:
                await asyncio.sleep(0.005)
            asking.cancel()
            while self.rig.node.dispatches.live:
                await asyncio.sleep(0.01)

        run(ask_and_leave())
        self.assertEqual({"k": 1}, dict(self.standin.executions))
        _, end = run(self.ask_once("r2"))
        self.assertEqual(data.Outcome.DONE, end.outcome)
