"""Recorded sessions of a gate, one with an engine and one with a plain service."""

import pathlib

import testtools

from standins import gate_harness, golden_files
from toucanspread.core import data, events, sessions
from toucanspread.core.gate import dispatch_events

GOLDEN = pathlib.Path(__file__).parent / "golden"


def record_model():
    """Record runs, a queue, refusals, an engine without a status and a drain."""
    rig = gate_harness.GateHarness(limit=1)
    recorder = sessions.Recorder(rig.machine)
    rig.machine = recorder
    rig.dispatch("r1")
    rig.dispatch("r2", stream=2)
    rig.dispatch("r1", stream=3)
    rig.dispatch("r4", stream=4, version="v0")
    rig.step(dispatch_events.RunOutputStarted("r1", 1), 0.2)
    rig.end("r1", service_time_s=0.5)
    rig.step(events.EngineStatusReported(None), 1.0)
    rig.dispatch("r5", stream=5)
    rig.step(events.EngineStatusReported(gate_harness.make_complete_status()), 1.0)
    rig.dispatch("r5", stream=6)
    rig.dispatch("r6", stream=7)
    rig.step(dispatch_events.DispatchCancelled("r2", 1, 2))
    rig.end("r2", ok=False, reason=data.Reason.CANCELLED)
    rig.step(events.ShutdownRequested(), 0.5)
    rig.step(events.DrainStarted(data.Reason.LEAVING))
    rig.dispatch("r7", stream=8)
    rig.end("r6")
    rig.step(events.Tick(), 2.0)
    return recorder


def record_plain():
    """Record claims, repeats, a lost answer, and a claim abandoned and withdrawn."""
    rig = gate_harness.GateHarness(data.ServiceKind.PLAIN, limit=4)
    recorder = sessions.Recorder(rig.machine)
    rig.machine = recorder
    key_value = gate_harness.FakeKeyValue()

    def dispatch(request_id, key, stream):
        return rig.dispatch(
            request_id, stream=stream, repeatable=False, idempotency_key=key
        )

    def lose_answer(effect):
        status = data.KvStatus.UNKNOWN
        return events.KvAnswered(effect.operation_id, status, effect.key)

    (read,) = dispatch("r1", "deposit-1", 1)
    (write,) = rig.step(key_value.carry_out(read))
    key_value.carry_out(write)
    (read,) = rig.step(lose_answer(write), 0.1)
    rig.step(key_value.carry_out(read))
    dispatch("r2", "deposit-1", 2)
    rig.end("r1")
    dispatch("r3", "deposit-1", 3)
    (read,) = dispatch("r4", "deposit-2", 4)
    (write,) = rig.step(key_value.carry_out(read))
    read, _ = rig.step(events.Tick(), 2.0)
    key_value.carry_out(write)
    dispatch("r5", "deposit-2", 5)
    (write,) = rig.step(key_value.carry_out(read))
    rig.step(key_value.carry_out(write))
    return recorder


class GateGoldenTest(testtools.TestCase):
    def check(self, name, recorder):
        path = GOLDEN / f"gate_{name}.jsonl"
        self.assertEqual([], golden_files.compare_session(path, recorder.text()))

    def test_model(self):
        self.check("model", record_model())

    def test_plain(self):
        self.check("plain", record_plain())
