"""Tests that an engine gets no requests while it has asked for none."""

import msgspec
import testtools

from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import (
    decisions,
    engine_backoff,
    engine_obstacles,
    engine_statement,
    forwarding_test,
)

REJECTED = decisions.DispatchFailure.REJECTED
SILENT = decisions.DispatchFailure.SILENT
NON_IDEMPOTENT = entry_data.RequestKind.NON_IDEMPOTENT


class BackoffCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = forwarding_test.Fixture(names=("a", "b"))

    def get(self, name):
        return self.fixture.registry.get(name)

    def ask(self, name, backoff_s, now_s=0.0):
        """Let an engine ask for a backoff in the answer to a request just sent."""
        statement = engine_statement.EngineStatement(backoff_s=backoff_s)
        self.get(name).apply_statement(statement, now_s, now_s)

    def send(self, now_s, **route):
        """Start a request; return it and the effects."""
        request = self.fixture.make_request(
            forwarding_test.make_route(**route), arrived_s=now_s
        )
        return request, request.start(self.fixture.at(now_s))

    def list_engines(self, now_s, count=3):
        """Return the engines that some requests are sent to."""
        return {self.send_and_leave(now_s).engine_id for _ in range(count)}

    def send_and_leave(self, now_s, **route):
        """Return the dispatch of a request whose caller leaves at once."""
        request, effects = self.send(now_s, **route)
        request.on_caller_disconnected(self.fixture.at(now_s))
        return effects[0]

    def reject(self, request, now_s, backoff_s, entry_count=1):
        """Let the engine of a request reject it and ask for a backoff."""
        context = self.fixture.at(now_s, entry_count)
        statement = engine_statement.EngineStatement(backoff_s=backoff_s)
        request.on_engine_head(context, statement)
        return request.on_failure(context, REJECTED)


class BackoffTest(BackoffCase):
    def test_an_engine_gets_no_requests_until_the_end_of_its_time(self):
        self.ask("a", 4.0)
        for now_s in (0.0, 0.5, 2.0, 3.99):
            self.assertEqual({"b"}, self.list_engines(now_s))
        self.assertIn("a", self.list_engines(5.0))

    def test_a_shorter_time_named_later_does_not_end_the_first_one(self):
        self.ask("a", 4.0)
        self.ask("a", 1.0, now_s=0.5)
        self.assertEqual({"b"}, self.list_engines(3.9))

    def test_a_longer_time_named_later_counts(self):
        self.ask("a", 1.0)
        self.ask("a", 4.0, now_s=0.5)
        self.assertEqual({"b"}, self.list_engines(4.4))

    def test_a_good_answer_to_an_earlier_request_does_not_end_the_time(self):
        earlier, _ = self.send(0.0)
        name = earlier.engine_id
        self.ask(name, 4.0, now_s=0.1)
        statement = engine_statement.EngineStatement()
        earlier.on_engine_head(self.fixture.at(0.2), statement)
        earlier.on_answer(self.fixture.at(0.3), 200)
        self.assertNotIn(name, self.list_engines(3.0))

    def test_a_report_that_shows_an_idle_engine_does_not_end_the_time(self):
        self.ask("a", 4.0)
        address = self.get("a").entry.address
        load = entry_data.EngineLoad(address, 0, 0, 0, 1, False)
        self.fixture.registry.apply_load(load, 1.0)
        self.assertEqual({"b"}, self.list_engines(1.1))

    def test_requests_that_may_not_be_repeated_leave_the_engine_alone(self):
        self.ask("a", 4.0)
        for _ in range(3):
            dispatch = self.send_and_leave(1.0, kind=NON_IDEMPOTENT)
            self.assertEqual("b", dispatch.engine_id)

    def test_a_rejected_request_does_not_come_back_in_the_time(self):
        request, effects = self.send(0.0)
        first = effects[0].engine_id
        effects = self.reject(request, 0.1, 4.0)
        self.assertNotEqual(first, effects[0].engine_id)
        effects = self.reject(request, 0.2, 4.0)
        self.assertIs(decisions.FailureCause.ENGINES_BACKING_OFF, effects[0].cause)

    def test_a_stream_does_not_resume_at_an_engine_in_its_time(self):
        request, effects = self.send(0.0)
        present = effects[0].engine_id
        other = ({"a", "b"} - {present}).pop()
        request.on_stream_opened()
        request.on_events(0.2, "3")
        self.ask(other, 4.0, now_s=0.3)
        broken = decisions.DispatchFailure.BROKEN
        effects = request.on_failure(self.fixture.at(0.4), broken)
        self.assertEqual([decisions.BreakStream], [type(e) for e in effects])

    def test_a_request_does_not_leave_a_silent_engine_for_one_in_its_time(self):
        request, effects = self.send(0.0)
        other = ({"a", "b"} - {effects[0].engine_id}).pop()
        self.ask(other, 4.0)
        self.assertEqual([], request.on_failure(self.fixture.at(1.0), SILENT))
        self.assertIs(decisions.MoveObstacle.NO_FREE_ENGINE, request.move_obstacle)

    def test_an_assigned_request_is_not_sent_once_the_engine_wants_none(self):
        self.assertFalse(engine_obstacles.forbids_dispatch(self.get("a"), 0.1))
        self.ask("a", 4.0)
        self.assertTrue(engine_obstacles.forbids_dispatch(self.get("a"), 3.9))
        self.assertFalse(engine_obstacles.forbids_dispatch(self.get("a"), 4.1))


class IncarnationTest(BackoffCase):
    def restart(self, name, now_s):
        entry = forwarding_test.make_entry(name)
        restarted = msgspec.structs.replace(entry, born_ms=round(now_s * 1000))
        self.fixture.registry.put(restarted)

    def test_a_new_incarnation_owes_nothing(self):
        self.ask("a", 4.0)
        self.restart("a", 1.0)
        self.assertIn("a", self.list_engines(1.1))

    def test_a_late_answer_of_an_old_incarnation_binds_no_new_one(self):
        request, effects = self.send(0.0)
        name = effects[0].engine_id
        self.restart(name, 1.0)
        self.reject(request, 1.1, 4.0)
        self.assertIn(name, self.list_engines(1.2))

    def test_an_engine_whose_entry_expires_and_comes_back_is_still_left_alone(self):
        self.ask("a", 10.0)
        self.fixture.registry.remove("a", 0.5)
        self.fixture.registry.drop_removed(8.0)
        self.fixture.registry.put(forwarding_test.make_entry("a"))
        self.assertEqual({"b"}, self.list_engines(9.0))


class AllEnginesTest(BackoffCase):
    def ask_all(self, *backoffs_s):
        for name, backoff_s in zip("ab", backoffs_s, strict=True):
            self.ask(name, backoff_s)

    def test_callers_are_refused_at_once_until_the_earliest_end(self):
        self.ask_all(5.0, 3.0)
        _, effects = self.send(1.0)
        self.assertIs(decisions.FailureCause.ENGINES_BACKING_OFF, effects[0].cause)
        self.assertGreaterEqual(effects[0].retry_after_s, 2.0)
        self.assertLess(effects[0].retry_after_s, 3.0)

    def test_callers_are_told_different_times(self):
        self.ask_all(3.0, 3.0)
        times_s = {self.send(0.0)[1][0].retry_after_s for _ in range(20)}
        self.assertGreater(len(times_s), 10)

    def test_a_request_that_can_still_be_on_time_waits_for_the_end(self):
        self.ask_all(3.0, 3.0)
        request, effects = self.send(2.9)
        self.assertEqual([decisions.Enqueue], [type(e) for e in effects])
        effects = request.resume_queued(self.fixture.at(3.01))
        self.assertEqual([decisions.SendToEngine], [type(e) for e in effects])

    def test_a_sooner_limit_of_another_engine_is_named_instead(self):
        self.ask("a", 5.0)
        self.get("b").limit.on_answer(0.1, 0.0, 0.0)
        context = self.fixture.at(0.0, entry_count=2)
        request = self.fixture.make_request(forwarding_test.make_route())
        effects = request.start(context)
        self.assertEqual([decisions.Reject], [type(e) for e in effects])
        self.assertLessEqual(effects[0].retry_after_s, 5.5)


class ReturnTest(BackoffCase):
    def test_one_request_tries_an_engine_before_the_others_follow(self):
        self.ask("a", 1.0)
        self.ask("b", 9.0)
        trial, effects = self.send(1.1)
        self.assertEqual("a", effects[0].engine_id)
        waiting, effects = self.send(1.11)
        self.assertEqual([decisions.Enqueue], [type(e) for e in effects])
        statement = engine_statement.EngineStatement()
        trial.on_engine_head(self.fixture.at(1.2), statement)
        effects = waiting.resume_queued(self.fixture.at(1.21))
        self.assertEqual("a", effects[0].engine_id)

    def test_requests_follow_a_trial_without_an_answer_after_a_while(self):
        self.ask("a", 1.0)
        self.ask("b", 9.0)
        self.send(1.1)
        _, effects = self.send(1.1 + engine_backoff.TRIAL_S + 0.01)
        self.assertEqual("a", effects[0].engine_id)

    def test_a_request_that_can_not_wait_follows_a_trial_at_once(self):
        self.get("a").backoff.on_answer(1.0, 0.0, 0.0)
        self.get("b").backoff.on_answer(9.0, 0.0, 0.0)
        trial, _ = self.send(1.1)
        self.reject(trial, 1.2, 1.0)
        again, effects = self.send(2.3)
        self.assertEqual("a", effects[0].engine_id)
        broken = decisions.DispatchFailure.NOT_CONNECTED
        effects = again.on_failure(self.fixture.at(2.31), broken)
        self.assertEqual("a", effects[0].engine_id)

    def test_entries_that_were_asked_together_come_back_one_after_the_other(self):
        random_source = self.fixture.random_source
        delays_s = [
            engine_backoff.draw_return_delay_s(350, random_source) for _ in range(350)
        ]
        self.assertGreater(max(delays_s) - min(delays_s), 0.9)
        self.assertLess(max(delays_s), engine_backoff.MAX_RETURN_SPREAD_S)
        self.assertGreaterEqual(min(delays_s), 0.0)
