"""Tests the guarantees of one request's answer."""

import random

import testtools

from toucanspread.core import data
from toucanspread.core.entry import (
    admission_queue,
    crash_evidence,
    crash_guard_test,
    decision_context,
    decisions,
    engine_requirements,
    engine_statement,
    engines,
    forwarding,
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


class Fixture:
    """Some engines and the context of decisions."""

    def __init__(self, names=("a", "b", "c"), allowance=1_000.0):
        self.registry = engines.EngineRegistry(2.0)
        for name in names:
            self.registry.put(make_entry(name))
        self.retry_budgets = retry_budget.RetryBudget(0.2, allowance, 10.0)
        self.random_source = random.Random(7)
        self.guard = crash_guard_test.make_guard()
        self.minimum_version = 0

    def at(self, now_s, entry_count=1, requests_end_s=float("inf")):
        regions = {ZONE: data.RegionName("g")}
        location = engine_requirements.EntryLocation(ZONE, regions, entry_count)
        return decision_context.Context(
            now_s,
            self.registry,
            self.retry_budgets,
            location,
            self.random_source,
            self.guard,
            self.minimum_version,
            requests_end_s=requests_end_s,
        )

    def make_request(self, route, call=None, arrived_s=0.0):
        call = call or entry_data.Call("id", "h", "/p/x", None, 5.0)
        return forwarding.RequestState(route, SERVICE, call, arrived_s)


class ForwardingTest(testtools.TestCase):
    def assert_only(self, kind, effects):
        self.assertEqual([kind], [type(effect) for effect in effects])
        return effects[0]

    def test_a_request_that_must_not_be_repeated_runs_once(self):
        fixture = Fixture()
        route = make_route(entry_data.RequestKind.NON_IDEMPOTENT, attempts=3)
        request = fixture.make_request(route)
        self.assert_only(decisions.SendToEngine, request.start(fixture.at(0.0)))
        effects = request.on_failure(fixture.at(0.1), decisions.DispatchFailure.BROKEN)
        failed = self.assert_only(decisions.Fail, effects)
        self.assertFalse(failed.timed_out)

    def test_a_rejected_request_goes_to_another_engine(self):
        fixture = Fixture()
        route = make_route(entry_data.RequestKind.NON_IDEMPOTENT, attempts=1)
        request = fixture.make_request(route)
        first = self.assert_only(decisions.SendToEngine, request.start(fixture.at(0.0)))
        effects = request.on_failure(
            fixture.at(0.1), decisions.DispatchFailure.REJECTED
        )
        second = self.assert_only(decisions.SendToEngine, effects)
        self.assertNotEqual(first.engine_id, second.engine_id)

    def test_a_request_is_rejected_only_if_no_engine_may_have_run_it(self):
        fixture = Fixture(names=("a",))
        request = fixture.make_request(make_route())
        request.start(fixture.at(0.0))
        effects = request.on_failure(fixture.at(0.1), decisions.DispatchFailure.BROKEN)
        self.assert_only(decisions.Fail, effects)

    def test_a_request_without_an_engine_is_rejected_at_once(self):
        fixture = Fixture(names=())
        request = fixture.make_request(make_route())
        rejected = self.assert_only(decisions.Reject, request.start(fixture.at(0.0)))
        self.assertGreater(rejected.retry_after_s, 0)

    def make_coming_fixture(self, coming_in_s, coming_version=1):
        """Return engines without weights that report when they will have them."""
        fixture = Fixture(names=())
        for name in ("a", "b"):
            fixture.registry.put(make_entry(name, loaded=()))
        for engine in fixture.registry.of_service(SERVICE.name):
            load = entry_data.EngineLoad(
                engine.entry.address,
                engine.entry.born_ms,
                0,
                0,
                0,
                False,
                coming_version=coming_version,
                coming_in_s=coming_in_s,
            )
            engine.apply_load(load, 0.0)
        return fixture

    def test_a_queued_request_that_may_outlast_its_entry_is_refused_at_once(self):
        fixture = self.make_coming_fixture(coming_in_s=0.9)
        request = fixture.make_request(make_route())
        self.assert_only(decisions.Enqueue, request.start(fixture.at(0.0)))
        fits = request.on_leaving(fixture.at(0.1, requests_end_s=6.0))
        self.assertEqual([], fits)
        effects = request.on_leaving(fixture.at(0.1, requests_end_s=5.0))
        rejected = self.assert_only(decisions.Reject, effects)
        self.assertIs(decisions.FailureCause.LEAVING, rejected.cause)
        self.assertTrue(request.is_finished)

    def test_a_request_that_must_not_be_repeated_fails_if_its_entry_stops(self):
        fixture = Fixture()
        route = make_route(entry_data.RequestKind.NON_IDEMPOTENT)
        request = fixture.make_request(route)
        request.start(fixture.at(0.0))
        cancel, failed = request.on_stop(fixture.at(1.0, requests_end_s=1.0))
        self.assertIsInstance(cancel, decisions.Cancel)
        self.assertIsInstance(failed, decisions.Fail)

    def test_a_request_waits_for_an_engine_that_soon_has_its_weights(self):
        fixture = self.make_coming_fixture(coming_in_s=0.9)
        request = fixture.make_request(make_route())
        self.assert_only(decisions.Enqueue, request.start(fixture.at(0.0)))
        self.assert_only(decisions.Enqueue, request.resume_queued(fixture.at(0.8)))
        for engine in fixture.registry.of_service(SERVICE.name):
            load = entry_data.EngineLoad(
                engine.entry.address, engine.entry.born_ms, 0, 0, 1, False
            )
            engine.apply_load(load, 1.0)
        sent = request.resume_queued(fixture.at(1.0))
        self.assert_only(decisions.SendToEngine, sent)

    def test_a_request_that_no_engine_will_serve_in_time_is_rejected_at_once(self):
        for fixture in (
            self.make_coming_fixture(admission_queue.MAX_LOAD_WAIT_S + 0.1),
            self.make_coming_fixture(coming_in_s=None),
        ):
            request = fixture.make_request(make_route())
            self.assert_only(decisions.Reject, request.start(fixture.at(0.0)))

    def test_a_rejected_caller_is_told_to_come_back_when_engines_have_their_weights(
        self,
    ):
        fixture = self.make_coming_fixture(coming_in_s=3.5)
        request = fixture.make_request(make_route())
        rejected = self.assert_only(decisions.Reject, request.start(fixture.at(0.0)))
        self.assertGreaterEqual(rejected.retry_after_s, 3.5)

    def test_a_request_does_not_wait_for_weights_that_are_too_old_for_it(self):
        kinds = {}
        for coming_version in (1, 2):
            fixture = self.make_coming_fixture(0.5, coming_version)
            fixture.minimum_version = 2
            request = fixture.make_request(make_route())
            [effect] = request.start(fixture.at(0.0))
            kinds[coming_version] = type(effect)
        self.assertEqual({1: decisions.Reject, 2: decisions.Enqueue}, kinds)

    def test_no_more_requests_wait_for_weights_than_engines_can_serve_in_time(self):
        fixture = self.make_coming_fixture(coming_in_s=0.4)
        context = fixture.at(0.0, entry_count=10)
        request = fixture.make_request(make_route())
        self.assert_only(decisions.Enqueue, request.start(context, 0.1))
        request = fixture.make_request(make_route())
        rejected = self.assert_only(decisions.Reject, request.start(context, 0.2))
        self.assertIs(decisions.FailureCause.NO_ENGINE, rejected.cause)

    def test_a_request_that_cannot_be_queued_does_not_wait_for_weights(self):
        fixture = self.make_coming_fixture(coming_in_s=0.5)
        fixture.registry.put(make_entry("ccc"))
        request = fixture.make_request(make_route())
        self.assert_only(decisions.SendToEngine, request.start(fixture.at(0.0)))
        fixture.registry.put(make_entry("ccc", loaded=()))
        effects = request.on_failure(
            fixture.at(0.1), decisions.DispatchFailure.REJECTED
        )
        rejected = self.assert_only(decisions.Reject, effects)
        self.assertIs(decisions.FailureCause.NO_ENGINE, rejected.cause)

    def test_a_stream_resumes_after_its_last_event(self):
        fixture = Fixture()
        request = fixture.make_request(make_route())
        request.start(fixture.at(0.0))
        self.assert_only(decisions.OpenStream, request.on_stream_opened())
        request.on_events(0.4, "7")
        effects = request.on_failure(fixture.at(0.5), decisions.DispatchFailure.BROKEN)
        resumed = self.assert_only(decisions.SendToEngine, effects)
        self.assertEqual("7", resumed.last_event_id)
        self.assertEqual([], request.on_stream_opened())
        self.assert_only(decisions.CloseStream, request.on_answer(fixture.at(0.9), 200))

    def test_a_stream_may_resume_after_an_event_id_that_is_no_number(self):
        for event_id in ("\u00b2", "x", "", "-1", "9" * 5_000):
            fixture = Fixture()
            call = entry_data.Call("id", "h", "/p/x", None, 5.0, event_id)
            request = fixture.make_request(make_route(), call)
            sent = self.assert_only(
                decisions.SendToEngine, request.start(fixture.at(0.0))
            )
            self.assertEqual(event_id, sent.last_event_id)

    def test_a_stream_that_is_not_resumable_is_broken(self):
        fixture = Fixture()
        request = fixture.make_request(make_route(resumable=False))
        request.start(fixture.at(0.0))
        request.on_stream_opened()
        effects = request.on_failure(fixture.at(0.5), decisions.DispatchFailure.BROKEN)
        self.assert_only(decisions.BreakStream, effects)

    def test_a_request_runs_on_no_more_engines_than_its_route_allows(self):
        fixture = Fixture(names=("a", "b", "c", "d"))
        request = fixture.make_request(make_route(attempts=2))
        request.start(fixture.at(0.0))
        request.on_failure(fixture.at(0.1), decisions.DispatchFailure.BROKEN)
        effects = request.on_failure(fixture.at(0.2), decisions.DispatchFailure.BROKEN)
        self.assert_only(decisions.Fail, effects)

    def test_a_request_comes_back_to_an_engine_on_a_new_connection_only(self):
        for kind in entry_data.RequestKind:
            fixture = Fixture(names=("a",))
            request = fixture.make_request(make_route(kind))
            effects = request.start(fixture.at(0.0))
            first = self.assert_only(decisions.SendToEngine, effects)
            self.assertNotEqual(0.0, first.max_idle_s)
            rejected = decisions.DispatchFailure.REJECTED
            effects = request.on_failure(fixture.at(0.1), rejected)
            again = self.assert_only(decisions.SendToEngine, effects)
            self.assertEqual(0.0, again.max_idle_s, kind)

    def test_a_failure_is_final_without_a_retry_budget(self):
        fixture = Fixture(allowance=0.0)
        request = fixture.make_request(make_route())
        request.start(fixture.at(0.0))
        effects = request.on_failure(fixture.at(0.1), decisions.DispatchFailure.BROKEN)
        self.assert_only(decisions.Fail, effects)

    def start_stream(self, fixture):
        """Return a stream of which the caller has the first event."""
        request = fixture.make_request(make_route())
        self.assert_only(decisions.SendToEngine, request.start(fixture.at(0.0)))
        self.assert_only(decisions.OpenStream, request.on_stream_opened())
        request.on_events(0.5, "1")
        return request

    def test_a_pause_of_a_stream_does_not_end_it_without_a_retry_budget(self):
        fixture = Fixture(allowance=0.0)
        request = self.start_stream(fixture)
        effects = request.on_failure(fixture.at(1.6), decisions.DispatchFailure.SILENT)
        self.assertEqual([], effects)
        self.assertIs(
            decisions.MoveObstacle.RETRY_BUDGET_EXHAUSTED, request.move_obstacle
        )

    def test_the_obstacle_names_the_attempts_of_a_request_at_a_second_silent_engine(
        self,
    ):
        request = self.start_stream(fixture := Fixture())
        silent = decisions.DispatchFailure.SILENT
        effects = request.on_failure(fixture.at(1.6), silent)
        sent = self.assert_only(decisions.SendToEngine, effects)
        self.assertIsNone(request.move_obstacle)
        effects = request.choose_dispatch(fixture.at(1.7), sent.number)
        self.assert_only(decisions.Cancel, effects)
        self.assertEqual([], request.on_failure(fixture.at(2.7), silent))
        self.assertIs(decisions.MoveObstacle.ATTEMPTS_USED, request.move_obstacle)

    def test_a_pause_of_a_stream_does_not_end_it_while_other_engines_are_limited(self):
        fixture = Fixture(names=("a", "b"))
        request = self.start_stream(fixture)
        for engine in fixture.registry.of_service(SERVICE.name):
            engine.limit.on_answer(0.2, 0.0, 0.6)
            engine.record_dispatch(0.7)
            engine.record_dispatch(0.7)
        effects = request.on_failure(fixture.at(1.6), decisions.DispatchFailure.SILENT)
        self.assertEqual([], effects)
        self.assertIs(decisions.MoveObstacle.NO_FREE_ENGINE, request.move_obstacle)

    def test_an_engines_error_is_retried_before_it_is_relayed(self):
        fixture = Fixture()
        route = make_route(entry_data.RequestKind.IDEMPOTENT, attempts=2)
        request = fixture.make_request(route)
        request.start(fixture.at(0.0))
        effects = request.on_answer(fixture.at(0.1), 500)
        self.assert_only(decisions.SendToEngine, effects)
        effects = request.on_answer(fixture.at(0.2), 500)
        self.assert_only(decisions.RelayAnswer, effects)

    def test_the_deadline_ends_the_request_and_cancels_the_dispatch(self):
        fixture = Fixture()
        request = fixture.make_request(make_route())
        request.start(fixture.at(0.0))
        effects = request.on_deadline(fixture.at(6.0))
        kinds = [type(effect) for effect in effects]
        self.assertEqual([decisions.Cancel, decisions.Fail], kinds)
        self.assertTrue(effects[1].timed_out)

    def test_a_disconnect_of_the_caller_cancels_the_dispatch(self):
        fixture = Fixture()
        request = fixture.make_request(make_route())
        request.start(fixture.at(0.0))
        effects = request.on_caller_disconnected(fixture.at(0.2))
        self.assert_only(decisions.Cancel, effects)
        self.assertEqual([], request.on_deadline(fixture.at(6.0)))

    def test_a_dispatch_carries_the_remaining_time(self):
        fixture = Fixture()
        call = entry_data.Call("id", "h", "/p/x", None, 2.0)
        request = fixture.make_request(make_route(), call)
        sent = self.assert_only(decisions.SendToEngine, request.start(fixture.at(0.5)))
        self.assertAlmostEqual(1.5, sent.budget_s)

    def test_a_request_is_queued_while_engines_have_a_prefill_backlog(self):
        fixture = Fixture(names=("a",))
        fixture.registry.get("a").add_prompt(20_000, PROFILE, 0.0)
        request = fixture.make_request(make_route())
        self.assert_only(decisions.Enqueue, request.start(fixture.at(0.0)))
        self.assert_only(decisions.Enqueue, request.resume_queued(fixture.at(0.5)))
        self.assert_only(decisions.SendToEngine, request.resume_queued(fixture.at(2.1)))

    def test_a_queued_request_is_dispatched_before_its_caller_gives_up(self):
        fixture = Fixture(names=("a",))
        fixture.registry.get("a").add_prompt(90_000, PROFILE, 0.0)
        request = fixture.make_request(make_route())
        self.assert_only(decisions.Enqueue, request.start(fixture.at(0.0)))
        expiring_s = admission_queue.EXPIRING_AFTER_S
        self.assert_only(
            decisions.SendToEngine, request.resume_queued(fixture.at(expiring_s))
        )

    def test_a_queued_request_is_rejected_before_its_caller_gives_up(self):
        fixture = Fixture(names=("a",))
        engine = fixture.registry.get("a")
        for _ in range(16 - admission_queue.ON_TIME_MIN_FREE_COUNT + 1):
            engine.record_dispatch(0.0)
        request = fixture.make_request(make_route())
        self.assert_only(decisions.Enqueue, request.start(fixture.at(0.0)))
        before = fixture.at(admission_queue.MAX_WAIT_S - 0.01)
        self.assert_only(decisions.Enqueue, request.resume_queued(before))
        late = fixture.at(admission_queue.MAX_WAIT_S)
        self.assert_only(decisions.Reject, request.resume_queued(late))

    def test_an_engine_whose_address_is_reused_gets_no_requests_for_a_while(self):
        """After a power failure, the store still lists engines that are gone."""
        fixture = Fixture(names=("a",))
        request = fixture.make_request(make_route())
        self.assert_only(decisions.SendToEngine, request.start(fixture.at(0.0)))
        other = decisions.DispatchFailure.OTHER_INSTANCE
        rejected = request.on_failure(fixture.at(0.01), other)
        self.assert_only(decisions.Reject, rejected)
        second = fixture.make_request(make_route())
        self.assert_only(decisions.Reject, second.start(fixture.at(0.02)))
        later = fixture.at(0.02 + engines.STALE_ENTRY_BACKOFF_S)
        third = fixture.make_request(make_route())
        self.assert_only(decisions.SendToEngine, third.start(later))

    def test_a_dispatch_carries_the_urgency_of_the_request(self):
        fixture = Fixture()
        first = fixture.make_request(make_route())
        on_time = self.assert_only(decisions.SendToEngine, first.start(fixture.at(0.0)))
        older = fixture.make_request(make_route(), arrived_s=-1.0)
        late = self.assert_only(decisions.SendToEngine, older.start(fixture.at(0.0)))
        first.on_stream_opened()
        first.on_events(0.2, "3")
        effects = first.on_failure(fixture.at(0.3), decisions.DispatchFailure.BROKEN)
        resumed = self.assert_only(decisions.SendToEngine, effects)
        self.assertLess(resumed.priority, on_time.priority)
        self.assertLess(on_time.priority, late.priority)

    def test_a_late_request_leaves_the_last_slots_to_others(self):
        fixture = Fixture(names=("a",))
        engine = fixture.registry.get("a")
        for _ in range(16 - admission_queue.LATE_MIN_FREE_COUNT + 1):
            engine.record_dispatch(0.0)
        older = fixture.make_request(make_route(), arrived_s=-1.0)
        self.assert_only(decisions.Enqueue, older.start(fixture.at(0.0)))
        first = fixture.make_request(make_route())
        self.assert_only(decisions.SendToEngine, first.start(fixture.at(0.0)))

    def test_a_queued_request_is_rejected_at_its_deadline(self):
        fixture = Fixture(names=("a",))
        fixture.registry.get("a").add_prompt(90_000, PROFILE, 0.0)
        request = fixture.make_request(make_route())
        request.start(fixture.at(0.0))
        self.assert_only(decisions.Reject, request.on_deadline(fixture.at(1.0)))

    def test_a_request_is_rejected_at_once_when_the_queue_is_too_long(self):
        fixture = Fixture()
        request = fixture.make_request(make_route())
        rejected = self.assert_only(
            decisions.Reject, request.start(fixture.at(0.0), queued_prefill_s=9.0)
        )
        self.assertLessEqual(
            rejected.retry_after_s, admission_queue.MAX_EXPECTED_WAIT_S
        )
        joining = fixture.make_request(make_route()).start(
            fixture.at(0.0), queued_prefill_s=1.0
        )
        self.assert_only(decisions.Enqueue, joining)

    def test_a_request_that_cannot_end_before_its_deadline_is_rejected(self):
        fixture = Fixture(names=("a",))
        fixture.registry.get("a").add_prompt(90_000, PROFILE, 0.0)
        call = entry_data.Call("id", "h", "/p/x", None, 4.0, likely_tokens=200)
        request = fixture.make_request(make_route(), call)
        self.assert_only(decisions.Enqueue, request.start(fixture.at(0.0)))
        late = fixture.at(admission_queue.EXPIRING_AFTER_S + 0.1)
        self.assert_only(decisions.Reject, request.resume_queued(late))

    def test_a_request_goes_to_another_engine_while_a_limit_is_used_up(self):
        fixture = Fixture(names=("a", "b"))
        fixture.registry.get("a").limit.on_answer(1.0, 0.0, 0.0)
        for _ in range(5):
            request = fixture.make_request(make_route())
            sent, *_ = request.start(fixture.at(0.0))
            self.assertEqual("b", sent.engine_id)

    def test_a_request_waits_for_a_limit_that_soon_allows_it(self):
        fixture = Fixture(names=("a",))
        fixture.registry.get("a").limit.on_answer(1.0, 0.0, 0.0)
        request = fixture.make_request(make_route())
        self.assert_only(decisions.Enqueue, request.start(fixture.at(0.5)))
        sent, notified = request.resume_queued(fixture.at(1.1))
        self.assertEqual("a", sent.engine_id)
        self.assertEqual(1, notified.notice.dispatches)

    def test_a_request_that_no_limit_allows_in_time_is_rejected_at_once(self):
        fixture = Fixture(names=("a",))
        fixture.registry.get("a").limit.on_answer(0.1, 0.0, 0.0)
        request = fixture.make_request(make_route())
        effects = request.start(fixture.at(0.0, entry_count=18))
        rejected = self.assert_only(decisions.Reject, effects)
        self.assertIs(decisions.FailureCause.ENGINES_LIMITED, rejected.cause)
        self.assertLessEqual(
            rejected.retry_after_s, admission_queue.MAX_EXPECTED_WAIT_S
        )

    def test_a_request_that_cannot_be_queued_is_rejected_while_limits_are_used_up(self):
        fixture = Fixture(names=("a",))
        request = fixture.make_request(make_route())
        request.start(fixture.at(0.0))
        notified = request.on_engine_head(
            fixture.at(0.1), engine_statement.EngineStatement(limit_per_s=1.0)
        )
        self.assert_only(decisions.NotifyEntries, notified)
        failure = decisions.DispatchFailure.REJECTED
        effects = request.on_failure(fixture.at(0.1), failure)
        rejected = self.assert_only(decisions.Reject, effects)
        self.assertIs(decisions.FailureCause.ENGINES_LIMITED, rejected.cause)

    def test_a_request_that_every_engine_has_had_does_not_blame_limits(self):
        fixture = Fixture(names=("a",))
        request = fixture.make_request(make_route())
        request.start(fixture.at(0.0))
        fixture.registry.get("a").limit.on_answer(1.0, 0.0, 0.1)
        effects = request.on_failure(fixture.at(0.1), decisions.DispatchFailure.BROKEN)
        failed = self.assert_only(decisions.Fail, effects)
        self.assertIs(decisions.FailureCause.NO_ENGINE, failed.cause)

    def test_older_weights_are_not_used_once_newer_ones_are_due(self):
        fixture = Fixture(names=("a",))
        fixture.registry.put(
            make_entry("bb", (entry_data.LoadedLayers(PROFILE.model, 2, 0, 4),))
        )
        fixture.minimum_version = 2
        request = fixture.make_request(make_route())
        sent = self.assert_only(decisions.SendToEngine, request.start(fixture.at(0.0)))
        self.assertEqual("bb", sent.engine_id)
        self.assertEqual(2, sent.expected_version)


class WithdrawalTest(testtools.TestCase):
    """A version comes into force while requests are at engines with an older one."""

    def setUp(self):
        super().setUp()
        self.fixture = Fixture()

    def send(self, route):
        """Return a request that is at an engine whose weights are now too old."""
        request = self.fixture.make_request(route)
        sent = request.start(self.fixture.at(0.0))[0]
        self.fixture.minimum_version = 2
        others = {"a", "b", "c"} - {sent.engine_id}
        loaded = (entry_data.LoadedLayers(PROFILE.model, 2, 0, 4),)
        for name in others:
            self.fixture.registry.put(make_entry(name, loaded))
        return request

    def withdraw(self, request, was_sent=True):
        """Return the effects of the withdrawal, or None if it is not withdrawn."""
        context = self.fixture.at(1.0)
        if not request.must_be_withdrawn(context, was_sent):
            return None
        failure = decisions.DispatchFailure.WITHDRAWN
        if not was_sent:
            failure = decisions.DispatchFailure.WITHDRAWN_UNSENT
        return request.on_failure(context, failure)

    def test_a_stream_that_has_not_begun_goes_to_an_engine_with_newer_weights(self):
        effects = self.withdraw(self.send(make_route()))
        self.assertEqual(
            [decisions.Cancel, decisions.SendToEngine], [type(e) for e in effects]
        )
        self.assertEqual(2, effects[1].expected_version)

    def test_a_stream_that_has_begun_stays_at_its_engine(self):
        request = self.send(make_route())
        request.on_begun(0.5)
        self.assertIsNone(self.withdraw(request))

    def test_a_stream_that_was_resumed_and_has_not_begun_again_is_withdrawn(self):
        route = make_route(attempts=3)
        request = self.fixture.make_request(route)
        request.start(self.fixture.at(0.0))
        request.on_begun(0.2)
        request.on_stream_opened()
        request.on_events(0.3, "3")
        broken = decisions.DispatchFailure.BROKEN
        request.on_failure(self.fixture.at(0.4), broken)
        self.fixture.minimum_version = 2
        self.assertIsNotNone(self.withdraw(request))

    def test_a_request_at_an_engine_with_the_newer_weights_stays_there(self):
        request = self.send(make_route())
        loaded = (entry_data.LoadedLayers(PROFILE.model, 2, 0, 4),)
        self.fixture.registry.put(make_entry(request.engine_id, loaded))
        self.assertIsNone(self.withdraw(request))

    def test_a_stream_that_must_not_run_twice_fails_after_its_withdrawal(self):
        effects = self.withdraw(self.send(make_route(resumable=False)))
        self.assertEqual([decisions.Cancel, decisions.Fail], [type(e) for e in effects])
        cause = decisions.FailureCause.WEIGHTS_OUTDATED
        self.assertEqual(cause, effects[1].cause)

    def test_a_request_that_was_not_sent_goes_elsewhere_although_it_runs_only_once(
        self,
    ):
        route = make_route(entry_data.RequestKind.NON_IDEMPOTENT, attempts=1)
        effects = self.withdraw(self.send(route), was_sent=False)
        self.assertEqual(
            [decisions.Cancel, decisions.SendToEngine], [type(e) for e in effects]
        )

    def test_an_answer_that_may_be_running_unseen_is_not_given_up(self):
        route = make_route(entry_data.RequestKind.NON_IDEMPOTENT, attempts=1)
        self.assertIsNone(self.withdraw(self.send(route)))

    def test_withdrawals_arrive_in_time_over_a_link_that_holds_bytes(self):
        request = self.send(make_route())
        engine = self.fixture.registry.get(request.engine_id)
        load = entry_data.EngineLoad(
            engine.entry.address, 0, 1, 0, 1, False, link_delay_s=0.6
        )
        engine.apply_load(load, 0.5)
        upcoming = (entry_data.DueVersion(2, 2.0),)
        for now_s, minimum_version, expected in (
            (1.3, 1, False),
            (1.4, 1, True),
            (1.4, 2, True),
        ):
            context = self.fixture.at(now_s)._replace(
                upcoming_versions=upcoming, minimum_version=minimum_version
            )
            self.assertIs(expected, request.must_be_withdrawn(context, was_sent=True))

    def test_a_sent_request_may_begin_until_its_withdrawal_arrives(self):
        request = self.send(make_route())
        upcoming = (entry_data.DueVersion(2, 2.0),)
        context = self.fixture.at(1.9)._replace(upcoming_versions=upcoming)
        self.assertFalse(request.must_be_withdrawn(context, was_sent=True))
        self.assertTrue(request.must_be_withdrawn(context, was_sent=False))

    def test_an_engine_is_not_blamed_for_what_was_withdrawn(self):
        request = self.send(make_route())
        engine = self.fixture.registry.get(request.engine_id)
        self.withdraw(request)
        self.assertEqual((0, 0), (engine.failures, engine.in_flight))

    def test_a_request_that_could_begin_only_too_late_is_rejected_at_once(self):
        upcoming = (entry_data.DueVersion(2, 5.0),)
        request = self.fixture.make_request(make_route(), arrived_s=4.96)
        context = self.fixture.at(4.96)._replace(upcoming_versions=upcoming)
        effects = request.start(context)
        self.assertEqual([decisions.Reject], [type(e) for e in effects])


class CrashTest(testtools.TestCase):
    """Tests what happens to requests whose prompts may crash engines."""

    def setUp(self):
        super().setUp()
        self.fixture = Fixture(names=("a", "b", "c", "d", "e"))

    def make_request(self, *parts, arrived_s=0.0, attempt_id="id"):
        call = entry_data.Call(attempt_id, "h", "/p/x", None, 5.0, prompt_parts=parts)
        return self.fixture.make_request(make_route(), call, arrived_s)

    def break_off(self, request, now_s):
        broken = decisions.DispatchFailure.BROKEN
        effects = request.on_failure(self.fixture.at(now_s), broken)
        return [type(effect) for effect in effects]

    def crash(self, now_s, after_s=None, attempt_id="id"):
        """Let an engine crash on a request, maybe a while after its first event."""
        request = self.make_request("P", attempt_id=attempt_id)
        sent, *_ = request.start(self.fixture.at(now_s))
        request.on_stream_opened()
        if after_s is not None:
            request.on_events(now_s, "1")
            now_s += after_s
        effects = self.break_off(request, now_s)
        self.fixture.registry.remove(sent.engine_id, now_s)
        return effects

    def quarantine(self, *parts):
        notice = entry_data.PartsQuarantined(parts, 0.0, 0, 30.0)
        self.fixture.guard.on_notice(notice, 0.0)

    def count_crashes(self, part="P"):
        return len(self.fixture.guard.evidence.crashes_of_part(part))

    def test_a_quarantined_request_is_refused_at_once_and_has_not_run(self):
        self.quarantine("P")
        request = self.make_request("a", "P", "b")
        (rejected,) = request.start(self.fixture.at(0.0))
        self.assertIsInstance(rejected, decisions.Reject)
        cause = decisions.FailureCause.REQUEST_CRASHES_ENGINES
        self.assertIs(cause, rejected.cause)
        self.assertTrue(0.0 < rejected.retry_after_s < 5.0)
        (sent,) = self.make_request("a", "b").start(self.fixture.at(0.0))
        self.assertIsInstance(sent, decisions.SendToEngine)

    def test_a_queued_request_is_refused_once_it_is_quarantined(self):
        fixture = self.fixture = Fixture(names=("a",))
        fixture.registry.get("a").add_prompt(20_000, PROFILE, 0.0)
        request = self.make_request("P")
        request.start(fixture.at(0.0))
        self.quarantine("P")
        (rejected,) = request.resume_queued(fixture.at(2.1))
        self.assertIsInstance(rejected, decisions.Reject)

    def test_a_request_that_waits_at_an_engine_is_cancelled_by_a_quarantine(self):
        waiting = self.make_request("P")
        begun = self.make_request("P")
        other = self.make_request("a")
        for request in (waiting, begun, other):
            request.start(self.fixture.at(0.0))
        begun.on_stream_opened()
        begun.on_events(0.1, "1")
        self.quarantine("P")
        context = self.fixture.at(0.2)
        kinds = [type(effect) for effect in waiting.on_quarantine(context)]
        self.assertEqual([decisions.Cancel, decisions.Fail], kinds)
        self.assertEqual([], waiting.on_quarantine(context))
        self.assertEqual([], begun.on_quarantine(context))
        self.assertEqual([], other.on_quarantine(context))

    def test_a_broken_request_that_is_quarantined_is_not_sent_again(self):
        request = self.make_request("P")
        request.start(self.fixture.at(0.0))
        self.quarantine("P")
        self.assertEqual([decisions.Fail], self.break_off(request, 0.1))

    def test_a_rejected_request_that_is_quarantined_is_not_sent_again(self):
        request = self.make_request("P")
        request.start(self.fixture.at(0.0))
        self.quarantine("P")
        rejection = decisions.DispatchFailure.REJECTED
        (rejected,) = request.on_failure(self.fixture.at(0.1), rejection)
        self.assertIsInstance(rejected, decisions.Reject)

    def test_a_request_of_a_part_with_three_crashes_is_not_sent_again(self):
        self.assertEqual([decisions.SendToEngine], self.crash(0.0, 0.01, "i"))
        self.assertEqual([decisions.SendToEngine], self.crash(0.1, 0.01, "j"))
        self.assertEqual([decisions.BreakStream], self.crash(0.2, 0.01, "k"))
        self.assertEqual(3, self.count_crashes())

    def test_a_request_that_ran_for_a_while_is_not_suspect_and_resumes(self):
        for number in range(3):
            effects = self.crash(float(number), crash_evidence.JUST_BEGUN_S + 0.1)
            self.assertEqual([decisions.SendToEngine], effects)
        self.assertEqual(0, self.count_crashes())

    def test_a_resumed_request_is_suspect_again_until_its_next_event(self):
        request = self.make_request("P")
        request.start(self.fixture.at(0.0))
        request.on_stream_opened()
        request.on_events(0.1, "1")
        self.break_off(request, 1.0)
        self.assertEqual(0, self.count_crashes())
        self.break_off(request, 1.1)
        self.assertEqual(1, self.count_crashes())

    def test_an_order_to_switch_versions_is_no_crash(self):
        for name in ("a", "b", "c", "d", "e"):
            engine = self.fixture.registry.get(name)
            load = entry_data.EngineLoad(engine.entry.address, 0, 1, 0, 1, False)
            engine.apply_load(load, 0.0)
            engine.switch_at_s = 0.2
        for _ in range(3):
            self.crash(0.1)
        self.assertEqual(0, self.count_crashes())

    def test_an_engine_that_leaves_does_not_crash(self):
        request = self.make_request("P")
        (sent,) = request.start(self.fixture.at(0.0))
        self.fixture.registry.remove(sent.engine_id, 0.1)
        self.break_off(request, 0.2)
        self.assertEqual(0, self.count_crashes())

    def test_an_engine_that_writes_for_a_while_shows_that_parts_are_sound(self):
        self.crash(0.0)
        request = self.make_request("P")
        request.start(self.fixture.at(0.1))
        self.assertFalse(request.on_events(0.2, "1"))
        self.assertFalse(request.on_events(0.5, "2"))
        self.assertTrue(request.on_events(0.8, "3"))
        self.assertFalse(request.on_events(0.9, "4"))
        request.on_survived(self.fixture.at(0.8))
        self.assertEqual(0, self.count_crashes())

    def test_only_a_whole_answer_shows_that_parts_are_sound(self):
        cases = ((404, 1, 0.9, 1), (200, 0, 0.9, 1), (200, 1, 0.3, 1), (200, 1, 0.9, 0))
        for status, events, end_s, expected in cases:
            self.fixture = Fixture(names=("a", "b", "c", "d", "e"))
            self.crash(0.0)
            request = self.make_request("P")
            request.start(self.fixture.at(0.1))
            request.on_stream_opened()
            for _ in range(events):
                request.on_events(0.2, "1")
            request.on_answer(self.fixture.at(end_s), status)
            case = (status, events, end_s)
            self.assertEqual(expected, self.count_crashes(), str(case))

    def test_a_trial_may_go_to_another_engine_only_if_it_did_not_run(self):
        self.quarantine("P")
        request = self.make_request("P", arrived_s=30.0)
        (sent,) = request.start(self.fixture.at(30.0))
        self.assertIsInstance(sent, decisions.SendToEngine)
        self.assertEqual([], request.on_quarantine(self.fixture.at(30.0)))
        rejection = decisions.DispatchFailure.REJECTED
        (sent,) = request.on_failure(self.fixture.at(30.1), rejection)
        self.assertIsInstance(sent, decisions.SendToEngine)
        self.assertEqual([decisions.Fail], self.break_off(request, 30.2))
        (rejected,) = self.make_request("P").start(self.fixture.at(40.0))
        self.assertIsInstance(rejected, decisions.Reject)
