import testtools

from standins import gate_harness, gate_simulation
from toucanspread.core import data, events
from toucanspread.core.gate import admission, concurrency, dispatch_events

SEEDS = (1, 2, 3)


def run_load(factor, seed, adaptive=True, **fields):
    rig = gate_harness.GateHarness(limit=16, adaptive=adaptive)
    sources = [gate_simulation.RequestSource("parish", factor)]
    bench = gate_simulation.GateSimulation(rig, sources, seed, **fields)
    return bench, bench.run(30.0)["parish"]


def find_refusals(outputs):
    return [
        effect.end
        for effect in outputs
        if isinstance(effect, dispatch_events.RefuseDispatch)
    ]


def find_starts(outputs):
    return [
        effect.request_id
        for effect in outputs
        if isinstance(effect, dispatch_events.StartRun)
    ]


class OverloadTest(testtools.TestCase):
    def test_goodput_does_not_collapse_under_overload(self):
        for seed in SEEDS:
            _, at_capacity = run_load(1.0, seed)
            for factor in (2.0, 4.0, 10.0):
                bench, overload = run_load(factor, seed)
                self.assertGreaterEqual(overload.done, 0.95 * at_capacity.done)
                self.assertEqual(
                    overload.offered,
                    overload.done + overload.refused + overload.unknown,
                )
                self.assertLessEqual(bench.max_queued, admission.MAX_QUEUE_LENGTH)

    def test_a_small_team_succeeds_beside_a_team_that_overloads(self):
        for seed in SEEDS:
            rig = gate_harness.GateHarness(limit=16, adaptive=True)
            sources = [
                gate_simulation.RequestSource("small", 0.2),
                gate_simulation.RequestSource("large", 10.0, priority=0),
            ]
            totals = gate_simulation.GateSimulation(rig, sources, seed).run(30.0)
            self.assertGreaterEqual(totals["small"].get_done_ratio(), 0.99)

    def test_unused_capacity_of_a_team_goes_to_the_others(self):
        shares = [data.TeamShare("idle", 9.0), data.TeamShare("parish", 1.0)]
        rig = gate_harness.GateHarness(limit=16, adaptive=True, teams=shares)
        bench = gate_simulation.GateSimulation(
            rig, [gate_simulation.RequestSource("parish", 2.0)], 1
        )
        done = bench.run(30.0)["parish"].done
        self.assertGreaterEqual(done / 30.0, 0.95 * gate_simulation.CAPACITY_PER_S)

    def test_teams_share_capacity_by_weight(self):
        shares = [data.TeamShare("heavy", 3.0), data.TeamShare("light", 1.0)]
        rig = gate_harness.GateHarness(limit=16, adaptive=True, teams=shares)
        sources = [
            gate_simulation.RequestSource("heavy", 4.0),
            gate_simulation.RequestSource("light", 4.0),
        ]
        totals = gate_simulation.GateSimulation(rig, sources, 1).run(60.0)
        ratio = totals["heavy"].done / totals["light"].done
        self.assertGreater(ratio, 2.5)
        self.assertLess(ratio, 3.5)


class DrainTest(testtools.TestCase):
    def test_a_drain_under_load_interrupts_no_run(self):
        for seed in SEEDS:
            for factor in (1.0, 4.0):
                bench, totals = run_load(factor, seed, drain_at_s=15.0)
                self.assertLessEqual(
                    totals.unknown, self.unknown_without_drain(factor, seed)
                )
                self.assertGreater(bench.refusal_counts["leaving"], 0)
                self.assertIsNotNone(bench.exited_s)
                self.assertLess(bench.exited_s, 15.0 + 5.0 + 0.2)

    def unknown_without_drain(self, factor, seed):
        """Return the number of unknown outcomes up to the drain, without a drain."""
        rig = gate_harness.GateHarness(limit=16, adaptive=True)
        sources = [gate_simulation.RequestSource("parish", factor)]
        bench = gate_simulation.GateSimulation(rig, sources, seed)
        return bench.run(15.0)["parish"].unknown


class QueueTest(testtools.TestCase):
    def test_queued_requests_start_by_priority_then_deadline(self):
        rig = gate_harness.GateHarness(limit=1)
        rig.dispatch("running")
        rig.dispatch("late", stream=2, budget_s=9.0)
        rig.dispatch("soon", stream=3, budget_s=8.0)
        rig.dispatch("urgent", stream=4, priority=0)
        order = ["running"]
        while len(order) < 4:
            order += find_starts(rig.end(order[-1]))
        self.assertEqual(["running", "urgent", "soon", "late"], order)

    def test_a_full_queue_rejects_the_least_urgent_of_the_largest_team(self):
        rig = gate_harness.GateHarness(limit=1)
        rig.dispatch("running", team="large")
        for number in range(admission.MIN_QUEUE_LENGTH):
            budget_s = 20.0 + number
            rig.dispatch(f"r{number}", stream=number, budget_s=budget_s, team="large")
        (end,) = find_refusals(rig.dispatch("small", stream=99, team="small"))
        self.assertEqual(f"r{admission.MIN_QUEUE_LENGTH - 1}", end.request_id)
        self.assertEqual(data.Reason.OVERLOADED, end.reason)
        self.assertGreater(end.retry_after_s, 0.0)

    def test_a_request_that_cannot_meet_its_deadline_is_refused_at_once(self):
        rig = gate_harness.GateHarness(limit=1)
        rig.dispatch("first")
        rig.end("first", service_time_s=2.0)
        rig.dispatch("running", stream=2)
        (end,) = find_refusals(rig.dispatch("too late", stream=3, budget_s=3.0))
        self.assertEqual(data.Outcome.NOT_RUN, end.outcome)
        rig.dispatch("waiting", stream=4, budget_s=5.0)
        (end,) = find_refusals(rig.step(events.Tick(), 3.5))
        self.assertEqual(
            ("waiting", data.Reason.DEADLINE), (end.request_id, end.reason)
        )

    def test_a_cancelled_request_is_removed_from_the_queue(self):
        rig = gate_harness.GateHarness(limit=1)
        rig.dispatch("running")
        rig.dispatch("queued", stream=2)
        rig.step(dispatch_events.DispatchCancelled("queued", 1, 2))
        self.assertEqual([], rig.node.admission.queue)
        self.assertEqual([], find_starts(rig.end("running")))


class ConcurrencyTest(testtools.TestCase):
    def test_the_limit_settles_near_the_saturation_point_of_the_engine(self):
        for seed in SEEDS:
            bench, _ = run_load(4.0, seed)
            limit = bench.harness.node.admission.limit
            self.assertGreaterEqual(limit, gate_simulation.SATURATION_BATCH)
            self.assertLessEqual(limit, 2.5 * gate_simulation.SATURATION_BATCH)

    def test_goodput_follows_an_engine_that_becomes_slow(self):
        for seed in SEEDS:
            _, slow = run_load(2.0, seed, slow_at_s=10.0, slow_factor=2.0)
            expected = 30.0 * gate_simulation.CAPACITY_PER_S * (1 / 3 + 2 / 3 / 2)
            self.assertGreaterEqual(slow.done, 0.75 * expected)

    def test_an_unused_limit_does_not_grow(self):
        bench, _ = run_load(0.2, 1)
        self.assertEqual(16, bench.harness.node.admission.limit)

    def test_a_new_version_resets_the_latency_baseline(self):
        bench, _ = run_load(2.0, 1)
        bench.harness.step(events.ServingChanged(data.VersionName("v2")))
        self.assertIsNone(bench.harness.node.admission.concurrency.baseline_s)

    def test_failures_reduce_the_limit_to_no_less_than_its_minimum(self):
        limit = concurrency.AdaptiveLimit(16)
        for number in range(1000):
            limit.add_sample(number * 0.1, 1.0, 1.0, 16, ok=False)
        self.assertEqual(concurrency.MIN_LIMIT, limit.value)
