import testtools

from standins import gate_fakes, virtual_engine
from toucanspread.core import data, events
from toucanspread.core.gate import admission, concurrency, dispatch_events

SEEDS = (1, 2, 3)


def load(factor, seed, adaptive=True, **fields):
    rig = gate_fakes.Rig(limit=16, adaptive=adaptive)
    sources = [virtual_engine.Source("parish", factor)]
    bench = virtual_engine.Bench(rig, sources, seed, **fields)
    return bench, bench.run(30.0)["parish"]


def refusals(found):
    return [
        item.end for item in found if isinstance(item, dispatch_events.RefuseDispatch)
    ]


def starts(found):
    return [
        item.request_id for item in found if isinstance(item, dispatch_events.StartRun)
    ]


class OverloadTest(testtools.TestCase):
    def test_goodput_does_not_collapse(self):
        for seed in SEEDS:
            _, at_once = load(1.0, seed)
            for factor in (2.0, 4.0, 10.0):
                bench, over = load(factor, seed)
                self.assertGreaterEqual(over.done, 0.95 * at_once.done)
                self.assertEqual(over.offered, over.done + over.refused + over.unknown)
                self.assertLessEqual(bench.most_queued, admission.MAX_QUEUE_LENGTH)

    def test_a_small_team_keeps_its_success_beside_a_flood(self):
        for seed in SEEDS:
            rig = gate_fakes.Rig(limit=16, adaptive=True)
            sources = [
                virtual_engine.Source("small", 0.2),
                virtual_engine.Source("large", 10.0, priority=0),
            ]
            totals = virtual_engine.Bench(rig, sources, seed).run(30.0)
            self.assertGreaterEqual(totals["small"].share_done(), 0.99)

    def test_what_a_team_leaves_goes_to_the_others(self):
        shares = [data.TeamShare("idle", 9.0), data.TeamShare("parish", 1.0)]
        rig = gate_fakes.Rig(limit=16, adaptive=True, teams=shares)
        bench = virtual_engine.Bench(rig, [virtual_engine.Source("parish", 2.0)], 1)
        done = bench.run(30.0)["parish"].done
        self.assertGreaterEqual(done / 30.0, 0.95 * virtual_engine.CAPACITY_PER_S)

    def test_teams_share_by_weight(self):
        shares = [data.TeamShare("heavy", 3.0), data.TeamShare("light", 1.0)]
        rig = gate_fakes.Rig(limit=16, adaptive=True, teams=shares)
        sources = [
            virtual_engine.Source("heavy", 4.0),
            virtual_engine.Source("light", 4.0),
        ]
        totals = virtual_engine.Bench(rig, sources, 1).run(60.0)
        ratio = totals["heavy"].done / totals["light"].done
        self.assertGreater(ratio, 2.5)
        self.assertLess(ratio, 3.5)


class DrainTest(testtools.TestCase):
    def test_a_drain_under_load_cuts_nothing(self):
        for seed in SEEDS:
            for factor in (1.0, 4.0):
                bench, totals = load(factor, seed, drain_at_s=15.0)
                self.assertLessEqual(totals.unknown, self.cut_before(factor, seed))
                self.assertGreater(bench.refused_for["leaving"], 0)
                self.assertIsNotNone(bench.exited_s)
                self.assertLess(bench.exited_s, 15.0 + 5.0 + 0.2)

    def cut_before(self, factor, seed):
        """Return how many deadlines passed without a drain, up to its time."""
        rig = gate_fakes.Rig(limit=16, adaptive=True)
        sources = [virtual_engine.Source("parish", factor)]
        bench = virtual_engine.Bench(rig, sources, seed)
        return bench.run(15.0)["parish"].unknown


class QueueTest(testtools.TestCase):
    def test_the_queue_goes_by_priority_then_deadline(self):
        rig = gate_fakes.Rig(limit=1)
        rig.dispatch("running")
        rig.dispatch("late", stream=2, budget_s=9.0)
        rig.dispatch("soon", stream=3, budget_s=8.0)
        rig.dispatch("urgent", stream=4, priority=0)
        order = ["running"]
        while len(order) < 4:
            order += starts(rig.end(order[-1]))
        self.assertEqual(["running", "urgent", "soon", "late"], order)

    def test_a_full_queue_rejects_the_least_urgent_of_the_fullest_team(self):
        rig = gate_fakes.Rig(limit=1)
        rig.dispatch("running", team="large")
        for number in range(admission.MIN_QUEUE_LENGTH):
            budget_s = 20.0 + number
            rig.dispatch(f"r{number}", stream=number, budget_s=budget_s, team="large")
        (end,) = refusals(rig.dispatch("small", stream=99, team="small"))
        self.assertEqual(f"r{admission.MIN_QUEUE_LENGTH - 1}", end.request_id)
        self.assertEqual(data.Reason.OVERLOADED, end.reason)
        self.assertGreater(end.retry_after_s, 0.0)

    def test_what_cannot_meet_its_deadline_is_refused_at_once(self):
        rig = gate_fakes.Rig(limit=1)
        rig.dispatch("first")
        rig.end("first", service_time_s=2.0)
        rig.dispatch("running", stream=2)
        (end,) = refusals(rig.dispatch("hopeless", stream=3, budget_s=3.0))
        self.assertEqual(data.Outcome.NOT_RUN, end.outcome)
        rig.dispatch("waiting", stream=4, budget_s=5.0)
        (end,) = refusals(rig.step(events.Tick(), 3.5))
        self.assertEqual(
            ("waiting", data.Reason.DEADLINE), (end.request_id, end.reason)
        )

    def test_a_cancelled_request_leaves_the_queue(self):
        rig = gate_fakes.Rig(limit=1)
        rig.dispatch("running")
        rig.dispatch("queued", stream=2)
        rig.step(dispatch_events.DispatchCancelled("queued", 1, 2))
        self.assertEqual([], rig.node.admission.queue)
        self.assertEqual([], starts(rig.end("running")))


class ConcurrencyTest(testtools.TestCase):
    def test_the_limit_settles_near_where_the_engine_saturates(self):
        for seed in SEEDS:
            bench, _ = load(4.0, seed)
            limit = bench.rig.node.admission.limit
            self.assertGreaterEqual(limit, virtual_engine.SATURATING_BATCH)
            self.assertLessEqual(limit, 2.5 * virtual_engine.SATURATING_BATCH)

    def test_an_engine_that_gets_slow_still_gives_whole_answers(self):
        for seed in SEEDS:
            _, slow = load(2.0, seed, slow_at_s=10.0, slow_factor=2.0)
            expected = 30.0 * virtual_engine.CAPACITY_PER_S * (1 / 3 + 2 / 3 / 2)
            self.assertGreaterEqual(slow.done, 0.75 * expected)

    def test_an_unused_limit_does_not_grow(self):
        bench, _ = load(0.2, 1)
        self.assertEqual(16, bench.rig.node.admission.limit)

    def test_another_version_is_learnt_afresh(self):
        bench, _ = load(2.0, 1)
        bench.rig.step(events.ServingChanged(data.VersionName("v2")))
        self.assertIsNone(bench.rig.node.admission.concurrency.baseline_s)

    def test_failures_shrink_the_limit_to_no_less_than_its_least(self):
        limit = concurrency.AdaptiveLimit(16)
        for number in range(1000):
            limit.add(number * 0.1, 1.0, 1.0, 16, ok=False)
        self.assertEqual(concurrency.MIN_LIMIT, limit.value)
