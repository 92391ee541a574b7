"""The promises of one request's answer."""

import random

import testtools

from toucanspread.core import data
from toucanspread.core.entry import (
    admission_queue,
    decisions,
    engines,
    forwarding,
    load_balancing,
    retry_budget,
)
from toucanspread.core.entry import data as entry_data

ZONE = data.ZoneName("z1")
PROFILE = entry_data.ModelProfile(data.ModelName("m"), 4, 8, 1024, 0.3)
SERVICE = entry_data.Service(data.ServiceName("pool"), PROFILE)
LAYERS = (entry_data.LoadedLayers(PROFILE.model, 1, 0, 4),)


def make_route(kind=entry_data.RequestKind.STREAMING, attempts=2, resumable=True):
    shares = (entry_data.Share(SERVICE.name, 1.0),)
    return entry_data.Route(
        "r", "h", "/p/", kind, 6.0, 0.4, 1, shares, attempts, resumable=resumable
    )


def make_entry(name, loaded=LAYERS):
    return entry_data.EngineEntry(
        name,
        SERVICE.name,
        data.Address(f"10.0.0.1:{len(name)}"),
        ZONE,
        16,
        entry_data.EngineState.READY,
        loaded=loaded,
    )


class Scene:
    """Some engines, and the surroundings of decisions."""

    def __init__(self, names=("a", "b", "c"), allowance=1_000.0):
        self.registry = engines.EngineRegistry(2.0)
        for name in names:
            self.registry.put(make_entry(name))
        self.retry_budgets = retry_budget.RetryBudget(0.2, allowance, 10.0)
        self.source = random.Random(7)
        self.minimum_version = 0

    def at(self, now_s):
        place = load_balancing.EntryLocation(ZONE, {ZONE: data.RegionName("g")}, 1)
        return forwarding.DecisionContext(
            now_s,
            self.registry,
            self.retry_budgets,
            place,
            self.source,
            self.minimum_version,
        )

    def forward(self, route, call=None, arrived_s=0.0):
        call = call or entry_data.Call("id", "h", "/p/x", None, 5.0)
        return forwarding.RequestState(route, SERVICE, call, arrived_s)


class ForwardingTest(testtools.TestCase):
    def assert_only(self, kind, effects):
        self.assertEqual([kind], [type(effect) for effect in effects])
        return effects[0]

    def test_what_may_not_be_repeated_runs_once(self):
        scene = Scene()
        route = make_route(entry_data.RequestKind.NON_IDEMPOTENT, attempts=3)
        request = scene.forward(route)
        self.assert_only(decisions.SendToEngine, request.start(scene.at(0.0)))
        effects = request.on_failure(scene.at(0.1), decisions.DispatchFailure.BROKEN)
        failed = self.assert_only(decisions.Fail, effects)
        self.assertFalse(failed.timed_out)

    def test_a_rejection_lets_it_go_to_another_engine(self):
        scene = Scene()
        route = make_route(entry_data.RequestKind.NON_IDEMPOTENT, attempts=1)
        request = scene.forward(route)
        first = self.assert_only(decisions.SendToEngine, request.start(scene.at(0.0)))
        effects = request.on_failure(scene.at(0.1), decisions.DispatchFailure.REJECTED)
        second = self.assert_only(decisions.SendToEngine, effects)
        self.assertNotEqual(first.engine_id, second.engine_id)

    def test_not_run_is_said_only_when_no_engine_may_have_run_it(self):
        scene = Scene(names=("a",))
        request = scene.forward(make_route())
        request.start(scene.at(0.0))
        effects = request.on_failure(scene.at(0.1), decisions.DispatchFailure.BROKEN)
        self.assert_only(decisions.Fail, effects)

    def test_without_an_engine_it_is_refused_at_once(self):
        scene = Scene(names=())
        request = scene.forward(make_route())
        refused = self.assert_only(decisions.Reject, request.start(scene.at(0.0)))
        self.assertGreater(refused.retry_after_s, 0)

    def test_a_stream_goes_on_after_its_last_event(self):
        scene = Scene()
        request = scene.forward(make_route())
        request.start(scene.at(0.0))
        self.assert_only(decisions.OpenStream, request.on_stream_opened())
        request.on_events("7")
        effects = request.on_failure(scene.at(0.5), decisions.DispatchFailure.BROKEN)
        again = self.assert_only(decisions.SendToEngine, effects)
        self.assertEqual("7", again.last_event_id)
        self.assertEqual([], request.on_stream_opened())
        self.assert_only(decisions.CloseStream, request.on_answer(scene.at(0.9), 200))

    def test_a_stream_that_may_not_go_on_is_broken_off(self):
        scene = Scene()
        request = scene.forward(make_route(resumable=False))
        request.start(scene.at(0.0))
        request.on_stream_opened()
        effects = request.on_failure(scene.at(0.5), decisions.DispatchFailure.BROKEN)
        self.assert_only(decisions.BreakStream, effects)

    def test_a_request_runs_on_no_more_engines_than_its_route_allows(self):
        scene = Scene(names=("a", "b", "c", "d"))
        request = scene.forward(make_route(attempts=2))
        request.start(scene.at(0.0))
        request.on_failure(scene.at(0.1), decisions.DispatchFailure.BROKEN)
        effects = request.on_failure(scene.at(0.2), decisions.DispatchFailure.BROKEN)
        self.assert_only(decisions.Fail, effects)

    def test_without_budget_a_failure_is_final(self):
        scene = Scene(allowance=0.0)
        request = scene.forward(make_route())
        request.start(scene.at(0.0))
        effects = request.on_failure(scene.at(0.1), decisions.DispatchFailure.BROKEN)
        self.assert_only(decisions.Fail, effects)

    def test_a_failure_of_the_engine_is_tried_elsewhere_before_it_is_passed_on(self):
        scene = Scene()
        route = make_route(entry_data.RequestKind.IDEMPOTENT, attempts=2)
        request = scene.forward(route)
        request.start(scene.at(0.0))
        effects = request.on_answer(scene.at(0.1), 500)
        self.assert_only(decisions.SendToEngine, effects)
        effects = request.on_answer(scene.at(0.2), 500)
        self.assert_only(decisions.RelayAnswer, effects)

    def test_time_over_is_told_at_once_and_stops_the_engine(self):
        scene = Scene()
        request = scene.forward(make_route())
        request.start(scene.at(0.0))
        effects = request.on_deadline(scene.at(6.0))
        kinds = [type(effect) for effect in effects]
        self.assertEqual([decisions.Cancel, decisions.Fail], kinds)
        self.assertTrue(effects[1].timed_out)

    def test_a_caller_that_leaves_stops_the_engine(self):
        scene = Scene()
        request = scene.forward(make_route())
        request.start(scene.at(0.0))
        effects = request.on_caller_disconnected(scene.at(0.2))
        self.assert_only(decisions.Cancel, effects)
        self.assertEqual([], request.on_deadline(scene.at(6.0)))

    def test_the_engine_is_given_what_is_left_of_the_time(self):
        scene = Scene()
        call = entry_data.Call("id", "h", "/p/x", None, 2.0)
        request = scene.forward(make_route(), call)
        sent = self.assert_only(decisions.SendToEngine, request.start(scene.at(0.5)))
        self.assertAlmostEqual(1.5, sent.budget_s)

    def test_a_request_is_held_back_while_engines_have_much_to_read(self):
        scene = Scene(names=("a",))
        scene.registry.get("a").add_prompt(20_000, PROFILE, 0.0)
        request = scene.forward(make_route())
        self.assert_only(decisions.Hold, request.start(scene.at(0.0)))
        self.assert_only(decisions.Hold, request.resume_held(scene.at(0.5)))
        self.assert_only(decisions.SendToEngine, request.resume_held(scene.at(2.1)))

    def test_a_held_request_goes_before_its_caller_gives_up(self):
        scene = Scene(names=("a",))
        scene.registry.get("a").add_prompt(90_000, PROFILE, 0.0)
        request = scene.forward(make_route())
        self.assert_only(decisions.Hold, request.start(scene.at(0.0)))
        patience_s = admission_queue.EXPIRING_AFTER_S
        self.assert_only(
            decisions.SendToEngine, request.resume_held(scene.at(patience_s))
        )

    def test_a_held_request_is_told_to_come_back_before_its_caller_gives_up(self):
        scene = Scene(names=("a",))
        engine = scene.registry.get("a")
        for _ in range(16 - admission_queue.ON_TIME_MIN_FREE_COUNT + 1):
            engine.sent()
        request = scene.forward(make_route())
        self.assert_only(decisions.Hold, request.start(scene.at(0.0)))
        almost = scene.at(admission_queue.MAX_WAIT_S - 0.01)
        self.assert_only(decisions.Hold, request.resume_held(almost))
        late = scene.at(admission_queue.MAX_WAIT_S)
        self.assert_only(decisions.Reject, request.resume_held(late))

    def test_an_engine_whose_place_another_has_taken_gets_nothing_for_a_while(self):
        """After a loss of power the store still names engines that are gone."""
        scene = Scene(names=("a",))
        request = scene.forward(make_route())
        self.assert_only(decisions.SendToEngine, request.start(scene.at(0.0)))
        other = decisions.DispatchFailure.OTHER_INSTANCE
        refused = request.on_failure(scene.at(0.01), other)
        self.assert_only(decisions.Reject, refused)
        second = scene.forward(make_route())
        self.assert_only(decisions.Reject, second.start(scene.at(0.02)))
        later = scene.at(0.02 + engines.STALE_ENTRY_BACKOFF_S)
        third = scene.forward(make_route())
        self.assert_only(decisions.SendToEngine, third.start(later))

    def test_an_engine_hears_how_urgent_a_request_is(self):
        scene = Scene()
        first = scene.forward(make_route())
        on_time = self.assert_only(decisions.SendToEngine, first.start(scene.at(0.0)))
        older = scene.forward(make_route(), arrived_s=-1.0)
        late = self.assert_only(decisions.SendToEngine, older.start(scene.at(0.0)))
        first.on_stream_opened()
        first.on_events("3")
        effects = first.on_failure(scene.at(0.3), decisions.DispatchFailure.BROKEN)
        resumed = self.assert_only(decisions.SendToEngine, effects)
        self.assertLess(resumed.priority, on_time.priority)
        self.assertLess(on_time.priority, late.priority)

    def test_one_that_is_late_leaves_the_last_places_to_others(self):
        scene = Scene(names=("a",))
        engine = scene.registry.get("a")
        for _ in range(16 - admission_queue.LATE_MIN_FREE_COUNT + 1):
            engine.sent()
        older = scene.forward(make_route(), arrived_s=-1.0)
        self.assert_only(decisions.Hold, older.start(scene.at(0.0)))
        first = scene.forward(make_route())
        self.assert_only(decisions.SendToEngine, first.start(scene.at(0.0)))

    def test_a_held_request_that_runs_out_of_time_did_not_run(self):
        scene = Scene(names=("a",))
        scene.registry.get("a").add_prompt(90_000, PROFILE, 0.0)
        request = scene.forward(make_route())
        request.start(scene.at(0.0))
        self.assert_only(decisions.Reject, request.on_deadline(scene.at(1.0)))

    def test_a_line_longer_than_callers_wait_turns_away_at_once(self):
        scene = Scene()
        request = scene.forward(make_route())
        refused = self.assert_only(
            decisions.Reject, request.start(scene.at(0.0), held_work_s=9.0)
        )
        self.assertLessEqual(refused.retry_after_s, admission_queue.MAX_QUEUE_S)
        joining = scene.forward(make_route()).start(scene.at(0.0), held_work_s=1.0)
        self.assert_only(decisions.Hold, joining)

    def test_what_cannot_end_in_time_is_not_begun(self):
        scene = Scene(names=("a",))
        scene.registry.get("a").add_prompt(90_000, PROFILE, 0.0)
        call = entry_data.Call("id", "h", "/p/x", None, 4.0, likely_tokens=200)
        request = scene.forward(make_route(), call)
        self.assert_only(decisions.Hold, request.start(scene.at(0.0)))
        late = scene.at(admission_queue.EXPIRING_AFTER_S + 0.1)
        self.assert_only(decisions.Reject, request.resume_held(late))

    def test_old_weights_are_not_used_when_newer_ones_are_due(self):
        scene = Scene(names=("a",))
        scene.registry.put(
            make_entry("bb", (entry_data.LoadedLayers(PROFILE.model, 2, 0, 4),))
        )
        scene.minimum_version = 2
        request = scene.forward(make_route())
        sent = self.assert_only(decisions.SendToEngine, request.start(scene.at(0.0)))
        self.assertEqual("bb", sent.engine_id)
        self.assertEqual(2, sent.expected_version)
