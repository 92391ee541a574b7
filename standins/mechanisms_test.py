"""Each mechanism is taken away once, to show that the promise rests on it.

A test runs its scenario on whole machines twice: as they are, where the promise
holds, and with one mechanism taken away, where the run has to break it.
"""

import contextlib
from unittest import mock

import testtools

from standins import system_checks, system_machine
from toucanspread.core import data, events, invariants
from toucanspread.core.agreement import config_gossip, orders
from toucanspread.core.gate import (
    claims,
    compatibility,
    dispatch_events,
    dispatch_history,
    dispatches,
)
from toucanspread.core.requests import request_state, retries

BROKEN = (system_checks.PromiseViolationError, invariants.InvariantBreachError)


def without(part, *kinds):
    """Take a part's handlers of some events away."""
    kept = {kind: found for kind, found in part.HANDLERS.items() if kind not in kinds}
    return mock.patch.dict(part.HANDLERS, kept, clear=True)


def win_always(node, event: claims.ClaimRequested) -> list:
    return [claims.ClaimDecided(event.key, claims.Verdict.WON)]


class MechanismTest(testtools.TestCase):
    def check_needed(self, scenario, *mechanisms):
        """Run a scenario with and without a mechanism."""
        scenario()
        with contextlib.ExitStack() as stack:
            for mechanism in mechanisms:
                stack.enter_context(mechanism)
            self.assertRaises(BROKEN, scenario)

    def start(self, seed=1):
        run = system_machine.SystemMachine()
        run.start(seed)
        return run

    def test_claims_keep_a_repeated_key_from_running_twice(self):
        def scenario():
            run = self.start()
            run.request(0, "desk", 1)
            run.system.run(2.0)
            for entry in range(system_machine.ENTRY_COUNT):
                run.repeat(entry, 1)
                run.system.run(2.0)
            system_checks.check_callers(run.system)

        unclaimed = {
            claims.ClaimRequested: win_always,
            claims.ClaimFinished: lambda node, event: [],
        }
        self.check_needed(scenario, mock.patch.dict(claims.HANDLERS, unclaimed))

    def test_only_proof_makes_a_broken_call_not_run(self):
        def scenario():
            run = self.start()
            for _ in range(10):
                run.request(0, "desk", 1)
                run.system.run(0.05)
            for name in ("desk-0", "desk-1", "desk-2"):
                run.system.kill(data.InstanceId(name))
            run.system.run(system_machine.REQUEST_BUDGET_S + 2.0)
            system_checks.check_callers(run.system)

        hopeful = mock.patch.object(
            request_state.LiveRequest,
            "get_execution_status",
            lambda self: retries.ExecutionStatus.NOT_RUN,
        )
        self.check_needed(scenario, hopeful)

    def test_memory_of_refusals_keeps_a_late_copy_from_running(self):
        def scenario():
            run = self.start()
            system = run.system
            desk = system.processes[data.InstanceId("desk-0")].identity
            sender = system.processes[data.InstanceId("entry-0")].identity
            request = data.Request(
                data.RequestId("late"),
                data.TeamName("parents"),
                data.ServiceName("desk"),
                5.0,
                repeatable=False,
                idempotency_key=data.IdempotencyKey("late"),
            )
            dispatch = data.Dispatch(request, 1, 5.0, sender.instance_id)
            system.key_value.is_up = False
            arrived = dispatch_events.DispatchReceived(sender, dispatch, 1_000_001, 0)
            system.post(desk.instance_id, arrived)
            system.run(3.0)
            refused = system.refusals[request.request_id, 1]
            self.assertEqual(data.Outcome.NOT_RUN, refused.outcome)
            system.key_value.is_up = True
            copy = dispatch_events.DispatchReceived(sender, dispatch, 1_000_002, 0)
            system.post(desk.instance_id, copy)
            system.run(5.0)
            count = system.hosts[desk.instance_id].plain_service.executions["late"]
            if count:
                raise system_checks.PromiseViolationError("a refused copy was executed")

        forgetful = mock.patch.object(
            dispatch_history.DispatchHistory, "get", lambda self, key: None
        )
        self.check_needed(scenario, forgetful)

    def test_a_leaving_process_takes_no_new_work(self):
        def scenario():
            run = self.start()
            system = run.system
            name = data.InstanceId("engine-0")
            system.post(name, events.ShutdownRequested())
            for _ in range(40):
                run.request(0, "pool", 1)
                system.run(0.1)
            late = [at_s for at_s, where in system.runs if where == name]
            if late and max(late) > system_machine.MAX_LEAVE_S + run.started_s:
                raise system_checks.PromiseViolationError("new work after the bound")

        self.check_needed(
            scenario,
            mock.patch.object(orders, "on_shutdown", lambda node, event: []),
            without(orders, events.ShutdownRequested),
            without(dispatches, events.ShutdownRequested, events.DrainStarted),
        )

    def test_changes_reach_all_through_messages_and_watches(self):
        def scenario():
            run = self.start()
            run.upgrade(0, 0)
            run.system.run(11.0)
            revisions = {
                process.stepper.node.config.revision
                for process in run.system.processes.values()
            }
            if len(revisions) > 1:
                raise system_checks.PromiseViolationError(f"in force: {revisions}")

        self.check_needed(
            scenario, without(config_gossip, events.ConfigApplied, events.Tick)
        )

    def test_an_engine_with_other_weights_gets_no_request(self):
        def scenario():
            run = self.start()
            for name, place in run.system.hosts.items():
                if name.startswith("engine"):
                    digests = dict.fromkeys(place.engine.status.digests, "partial")
                    place.engine.status = data.EngineStatus(
                        place.engine.status.fence,
                        place.engine.status.active_version,
                        digests,
                    )
            run.system.run(3.0)
            before = len(run.system.runs)
            for _ in range(5):
                run.request(0, "pool", 1)
                run.system.run(0.3)
            if len(run.system.runs) > before:
                raise system_checks.PromiseViolationError("partial weights answered")

        self.check_needed(
            scenario,
            mock.patch.object(compatibility, "has_verified_weights", lambda node: True),
        )
