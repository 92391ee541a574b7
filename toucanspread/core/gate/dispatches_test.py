import msgspec
import testtools

from standins import gate_harness
from toucanspread.core import data, effects, events, invariants
from toucanspread.core.gate import (
    dispatch_events,
    dispatch_history,
    dispatch_state,
    dispatches,
    serving,
)

NOT_RUN = data.Outcome.NOT_RUN


def find_refusal(outputs: list) -> data.AnswerEnd:
    (effect,) = [
        each for each in outputs if isinstance(each, dispatch_events.RefuseDispatch)
    ]
    return effect.end


class AcceptTest(testtools.TestCase):
    def test_a_matching_request_runs_and_ends_as_done(self):
        rig = gate_harness.GateHarness()
        (start,) = rig.dispatch()
        self.assertIsInstance(start, dispatch_events.StartRun)
        self.assertEqual(gate_harness.VERSION, start.version)
        (end,) = rig.end()
        self.assertEqual(data.Outcome.DONE, end.end.outcome)
        self.assertEqual(0, end.end.load.running)

    def test_an_answer_names_the_version_on_which_its_run_started(self):
        rig = gate_harness.GateHarness()
        rig.dispatch()
        rig.node.orders.serving.version = "v2"
        (end,) = rig.end()
        self.assertEqual(gate_harness.VERSION, end.end.version)


class SwitchTest(testtools.TestCase):
    def switch(self, rig):
        rig.node.orders.phase = serving.Phase.IDLE
        rig.node.orders.serving.version = "v2"
        digests = {"v2": gate_harness.WEIGHTS_HASH}
        status = data.EngineStatus(active_version="v2", digests=digests)
        rig.step(events.EngineStatusReported(status))
        return rig.step(events.ServingChanged(data.VersionName("v2")))

    def test_a_dispatch_waits_while_the_engine_switches_versions(self):
        rig = gate_harness.GateHarness()
        rig.node.orders.phase = serving.Phase.ACTIVATING
        self.assertEqual([], rig.dispatch())
        (start,) = self.switch(rig)
        self.assertEqual("v2", start.version)

    def test_a_run_that_the_engine_refused_during_a_switch_starts_again(self):
        rig = gate_harness.GateHarness()
        rig.dispatch()
        rig.node.orders.phase = serving.Phase.ACTIVATING
        wrong = data.Reason.WRONG_VERSION
        self.assertEqual([], rig.end(ok=False, started=False, reason=wrong))
        (start,) = self.switch(rig)
        self.assertEqual("v2", start.version)

    def test_a_refused_run_of_a_named_version_does_not_start_again(self):
        rig = gate_harness.GateHarness()
        rig.dispatch(version="v1")
        wrong = data.Reason.WRONG_VERSION
        (end,) = rig.end(ok=False, started=False, reason=wrong)
        self.assertEqual((NOT_RUN, wrong), (end.end.outcome, end.end.reason))

    def test_a_dispatch_that_waits_for_a_switch_ends_at_its_deadline(self):
        rig = gate_harness.GateHarness()
        rig.node.orders.phase = serving.Phase.ACTIVATING
        rig.dispatch(budget_s=1.0)
        self.assertEqual([], rig.step(events.Tick(), after_s=0.5))
        outputs = rig.step(events.Tick(), after_s=0.6)
        ends = [effect.end for effect in outputs if hasattr(effect, "end")]
        self.assertEqual([data.Reason.DEADLINE], [end.reason for end in ends])


class RefuseTest(testtools.TestCase):
    def check_refused(self, rig, reason, **fields):
        end = find_refusal(rig.dispatch(**fields))
        self.assertEqual((NOT_RUN, reason), (end.outcome, end.reason))

    def test_a_dispatch_for_something_not_served_is_refused(self):
        wrong = data.Reason.WRONG_VERSION
        self.check_refused(gate_harness.GateHarness(), wrong, model="other")
        self.check_refused(gate_harness.GateHarness(), wrong, version="v9")
        self.check_refused(gate_harness.GateHarness(), wrong, adapter="x")
        unknown = data.Reason.UNKNOWN_SERVICE
        self.check_refused(gate_harness.GateHarness(), unknown, service="other")
        self.check_refused(
            gate_harness.GateHarness(), data.Reason.DEADLINE, budget_s=0.0
        )

    def test_an_engine_without_the_complete_version_gets_no_requests(self):
        rig = gate_harness.GateHarness()
        partial = data.EngineStatus(active_version="v1", digests={"v1": "other"})
        rig.step(events.EngineStatusReported(partial))
        self.check_refused(rig, data.Reason.NOT_WHOLE)

    def test_an_engine_without_a_status_gets_no_requests(self):
        rig = gate_harness.GateHarness()
        rig.step(events.EngineStatusReported(None))
        self.check_refused(rig, data.Reason.ENGINE_FAILED)

    def test_a_dispatch_for_an_earlier_incarnation_ends_as_unknown(self):
        rig = gate_harness.GateHarness(incarnation=2)
        request = data.Request("r1", "parish", gate_harness.MODEL_SERVICE, 5.0)
        dispatch = data.Dispatch(request, 1, 5.0, "entry-1", data.Incarnation(1))
        outputs = rig.step(
            dispatch_events.DispatchReceived(gate_harness.ENTRY, dispatch, 1)
        )
        self.assertEqual(data.Outcome.UNKNOWN, find_refusal(outputs).outcome)
        self.assertEqual({}, rig.node.dispatches.live)

    def test_a_late_copy_of_a_refused_dispatch_is_refused(self):
        rig = gate_harness.GateHarness()
        rig.step(events.EngineStatusReported(None))
        rig.dispatch()
        rig.step(events.EngineStatusReported(gate_harness.make_complete_status()))
        self.check_refused(rig, data.Reason.ENGINE_FAILED, stream=2)

    def test_a_late_copy_of_a_run_that_did_not_start_is_refused(self):
        rig = gate_harness.GateHarness()
        rig.dispatch()
        rig.end(ok=False, started=False)
        self.check_refused(rig, data.Reason.ENGINE_FAILED, stream=2)

    def test_the_history_drops_the_oldest_refusals_but_no_running_dispatch(self):
        rig = gate_harness.GateHarness()
        rig.dispatch("running")
        rig.step(events.EngineStatusReported(None))
        for number in range(dispatch_history.MAX_RECORDS + 10):
            rig.dispatch(f"r{number}", stream=number)
        self.assertEqual(dispatch_history.MAX_RECORDS, len(rig.node.dispatches.history))
        rig.step(events.EngineStatusReported(gate_harness.make_complete_status()))
        end = find_refusal(rig.dispatch("running", stream=2))
        self.assertEqual(data.Outcome.UNKNOWN, end.outcome)

    def test_a_copy_of_a_running_dispatch_ends_as_unknown(self):
        rig = gate_harness.GateHarness()
        rig.dispatch()
        end = find_refusal(rig.dispatch(stream=2))
        self.assertEqual(data.Outcome.UNKNOWN, end.outcome)

    def test_a_queued_dispatch_is_refused_once_the_weights_are_partial(self):
        rig = gate_harness.GateHarness(limit=1)
        rig.dispatch("r1")
        rig.dispatch("r2")
        rig.node.dispatches.engine_status = msgspec.structs.replace(
            rig.node.dispatches.engine_status, digests={}
        )
        self.assertEqual(data.Reason.NOT_WHOLE, find_refusal(rig.end("r1")).reason)


class CancelTest(testtools.TestCase):
    def test_a_repeatable_run_is_cancelled_when_its_entry_cancels(self):
        rig = gate_harness.GateHarness()
        rig.dispatch()
        outputs = rig.step(dispatch_events.DispatchCancelled("r1", 1, 1))
        self.assertEqual([dispatch_events.CancelRun("r1", 1)], outputs)

    def test_cancelling_a_copy_does_not_cancel_the_run(self):
        rig = gate_harness.GateHarness()
        rig.dispatch()
        self.assertEqual([], rig.step(dispatch_events.DispatchCancelled("r1", 1, 2)))


class DrainTest(testtools.TestCase):
    def drain(self, rig):
        rig.step(events.ShutdownRequested())
        return rig.step(events.DrainStarted(data.Reason.LEAVING))

    def test_a_draining_process_exits_only_when_nothing_runs(self):
        rig = gate_harness.GateHarness(limit=1)
        rig.dispatch("r1")
        rig.dispatch("r2")
        queued = find_refusal(self.drain(rig))
        self.assertEqual(
            ("r2", data.Reason.LEAVING), (queued.request_id, queued.reason)
        )
        self.assertEqual(data.Reason.LEAVING, find_refusal(rig.dispatch("r3")).reason)
        self.assertNotIn(effects.Exit(), rig.step(events.Tick(), 2.0))
        rig.end("r1")
        self.assertIn(effects.Exit(), rig.step(events.Tick(), 0.1))

    def test_a_dispatch_received_after_the_drain_cannot_start(self):
        rig = gate_harness.GateHarness()
        self.drain(rig)
        request = data.Request("r1", "parish", gate_harness.MODEL_SERVICE, 5.0)
        dispatch = data.Dispatch(request, 1, 5.0, "entry-1")
        rig.now_s = 1.0
        rig.node.now_s = 1.0
        live = dispatch_state.LiveDispatch(dispatch, 1, 0, 9.0, received_s=1.0)
        self.assertRaises(
            invariants.InvariantBreachError, dispatches._start, rig.node, live
        )


class MetricsTest(testtools.TestCase):
    def test_many_team_names_create_a_bounded_number_of_time_series(self):
        rig = gate_harness.GateHarness(limit=200)
        labels = set()
        for number in range(200):
            rig.dispatch(f"r{number}", stream=number, team=f"team-{number}")
            ended = dispatch_events.RunEnded(f"r{number}", 1, True, 200, True, "", 0.1)
            for effect in rig.machine.step(rig.now_s, ended):
                if isinstance(effect, effects.Observe):
                    labels.add(effect.attributes["team"])
        self.assertEqual(dispatch_state.MAX_LABELLED_TEAMS + 1, len(labels))
