"""Checks that guarantees fail without the mechanisms that ensure them.

Each test runs its scenario on a simulated system twice. With all mechanisms the
guarantee must hold; with one mechanism disabled it must be violated.
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

VIOLATIONS = (system_checks.GuaranteeViolationError, invariants.InvariantBreachError)


def disable_handlers(module, *event_types):
    """Disable a module's handlers of some events."""
    kept = {
        event_type: handler
        for event_type, handler in module.HANDLERS.items()
        if event_type not in event_types
    }
    return mock.patch.dict(module.HANDLERS, kept, clear=True)


def always_grant(node, event: claims.ClaimRequested) -> list:
    return [claims.ClaimDecided(event.key, claims.Verdict.WON)]


class MechanismTest(testtools.TestCase):
    def check_needed(self, scenario, *mechanisms):
        """Check that a scenario fails only with the mechanisms disabled."""
        scenario()
        with contextlib.ExitStack() as stack:
            for mechanism in mechanisms:
                stack.enter_context(mechanism)
            self.assertRaises(VIOLATIONS, scenario)

    def start(self, seed=1):
        run = system_machine.SystemMachine()
        run.start(seed)
        return run

    def test_claims_prevent_that_a_repeated_key_runs_twice(self):
        def scenario():
            run = self.start()
            run.request(0, "desk", 1)
            run.system.run(2.0)
            for entry in range(system_machine.ENTRY_COUNT):
                run.repeat(entry, 1)
                run.system.run(2.0)
            system_checks.check_callers(run.system)

        no_claims = {
            claims.ClaimRequested: always_grant,
            claims.ClaimFinished: lambda node, event: [],
        }
        self.check_needed(scenario, mock.patch.dict(claims.HANDLERS, no_claims))

    def test_interrupted_call_is_not_run_only_with_proof(self):
        def scenario():
            run = self.start()
            for _ in range(10):
                run.request(0, "desk", 1)
                run.system.run(0.05)
            for name in ("desk-0", "desk-1", "desk-2"):
                run.system.kill(data.InstanceId(name))
            run.system.run(system_machine.REQUEST_BUDGET_S + 2.0)
            system_checks.check_callers(run.system)

        assume_not_run = mock.patch.object(
            request_state.LiveRequest,
            "get_execution_status",
            lambda self: retries.ExecutionStatus.NOT_RUN,
        )
        self.check_needed(scenario, assume_not_run)

    def test_record_of_refusals_prevents_that_a_late_copy_runs(self):
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
            received = dispatch_events.DispatchReceived(sender, dispatch, 1_000_001, 0)
            system.post(desk.instance_id, received)
            system.run(3.0)
            refused = system.refusals[request.request_id, 1]
            self.assertEqual(data.Outcome.NOT_RUN, refused.outcome)
            system.key_value.is_up = True
            copy = dispatch_events.DispatchReceived(sender, dispatch, 1_000_002, 0)
            system.post(desk.instance_id, copy)
            system.run(5.0)
            count = system.hosts[desk.instance_id].plain_service.executions["late"]
            if count:
                raise system_checks.GuaranteeViolationError(
                    "a refused copy was executed"
                )

        no_history = mock.patch.object(
            dispatch_history.DispatchHistory, "get", lambda self, key: None
        )
        self.check_needed(scenario, no_history)

    def test_leaving_process_starts_no_new_runs(self):
        def scenario():
            run = self.start()
            system = run.system
            name = data.InstanceId("engine-0")
            system.post(name, events.ShutdownRequested())
            for _ in range(40):
                run.request(0, "pool", 1)
                system.run(0.1)
            starts_s = [at_s for at_s, instance in system.runs if instance == name]
            if starts_s and max(starts_s) > system_machine.MAX_LEAVE_S + run.started_s:
                raise system_checks.GuaranteeViolationError(
                    "a leaving process started a run"
                )

        self.check_needed(
            scenario,
            mock.patch.object(orders, "on_shutdown", lambda node, event: []),
            disable_handlers(orders, events.ShutdownRequested),
            disable_handlers(dispatches, events.ShutdownRequested, events.DrainStarted),
        )

    def test_changes_reach_all_processes_by_gossip(self):
        def scenario():
            run = self.start()
            run.upgrade(0, 0)
            run.system.run(11.0)
            revisions = {
                process.stepper.node.config.revision
                for process in run.system.processes.values()
            }
            if len(revisions) > 1:
                raise system_checks.GuaranteeViolationError(
                    f"revisions in force: {revisions}"
                )

        self.check_needed(
            scenario, disable_handlers(config_gossip, events.ConfigApplied, events.Tick)
        )

    def test_engine_with_other_weights_gets_no_request(self):
        def scenario():
            run = self.start()
            for name, host in run.system.hosts.items():
                if name.startswith("engine"):
                    digests = dict.fromkeys(host.engine.status.digests, "partial")
                    host.engine.status = data.EngineStatus(
                        host.engine.status.fence,
                        host.engine.status.active_version,
                        digests,
                    )
            run.system.run(3.0)
            before = len(run.system.runs)
            for _ in range(5):
                run.request(0, "pool", 1)
                run.system.run(0.3)
            if len(run.system.runs) > before:
                raise system_checks.GuaranteeViolationError(
                    "an engine with partial weights ran a request"
                )

        self.check_needed(
            scenario,
            mock.patch.object(compatibility, "has_verified_weights", lambda node: True),
        )
