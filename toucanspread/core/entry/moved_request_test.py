"""Tests a request whose silent engine keeps it until another one has begun."""

import testtools

from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import decisions, forwarding_test, retries

Failure = decisions.DispatchFailure
Obstacle = decisions.MoveObstacle
SILENT_S = 1.6


class MoveTest(testtools.TestCase):
    def start(self, names=("a", "b", "c"), allowance=1_000.0, attempts=2):
        """Start a stream whose engine has sent one event, and is silent since."""
        self.fixture = forwarding_test.Fixture(names, allowance)
        route = forwarding_test.make_route(attempts=attempts)
        self.request = self.fixture.make_request(route)
        self.request.start(self.fixture.at(0.0))
        self.request.on_stream_opened()
        self.request.on_events(0.5, "1")

    def fail(self, failure, number, now_s=SILENT_S):
        return self.request.on_failure(self.fixture.at(now_s), failure, number)

    def move(self):
        self.start()
        [sent] = self.fail(Failure.SILENT, 1)
        self.assertIsInstance(sent, decisions.SendToEngine)
        self.assertEqual([1, 2], self.request.running.live_numbers)

    def assert_at_first(self):
        self.assertFalse(self.request.is_finished)
        self.assertEqual([1], self.request.running.live_numbers)

    def test_a_stream_stays_at_its_engine_until_another_one_has_begun(self):
        self.move()
        effects = self.request.choose_dispatch(self.fixture.at(1.7), 2)
        self.assertEqual([decisions.Cancel(1)], effects)
        self.assertEqual([2], self.request.running.live_numbers)

    def test_a_stream_whose_engine_goes_on_first_does_not_move(self):
        self.move()
        effects = self.request.choose_dispatch(self.fixture.at(1.7), 1)
        self.assertEqual([decisions.Cancel(2)], effects)
        self.assert_at_first()

    def test_a_stream_that_all_others_reject_stays_at_its_engine(self):
        self.move()
        [third] = self.fail(Failure.REJECTED, 2)
        self.assertIsInstance(third, decisions.SendToEngine)
        self.assertEqual([], self.fail(Failure.REJECTED, 3))
        self.assertIs(Obstacle.NO_FREE_ENGINE, self.request.move_obstacle)
        self.assert_at_first()
        self.assertEqual(1, self.request.possible_runs)

    def test_an_engine_that_rejected_a_stream_may_get_it_later(self):
        self.start(names=("a", "b"))
        self.fail(Failure.SILENT, 1)
        self.assertEqual([], self.fail(Failure.REJECTED, 2))
        [sent] = self.fail(Failure.SILENT, 1, SILENT_S + 0.5)
        self.assertIsInstance(sent, decisions.SendToEngine)

    def test_a_stream_that_is_rejected_again_and_again_is_sent_a_few_times(
        self,
    ):
        self.start()
        for number in range(40):
            now_s = SILENT_S + 0.05 * number
            self.fail(Failure.SILENT, 1, now_s)
            while len(self.request.running.live_numbers) > 1:
                self.fail(Failure.REJECTED, self.request.running.newest.number, now_s)
        self.assert_at_first()
        self.assertEqual(retries.MAX_REJECTION_COUNT + 2, self.request.dispatches)
        self.assertIs(Obstacle.REJECTED, self.request.move_obstacle)

    def test_a_stream_without_a_retry_left_for_its_move_stays_at_its_engine(self):
        self.start(allowance=2.5)
        self.fail(Failure.SILENT, 1)
        self.assertEqual([], self.fail(Failure.REJECTED, 2))
        self.assertIs(Obstacle.RETRY_BUDGET_EXHAUSTED, self.request.move_obstacle)
        self.assert_at_first()

    def test_a_stream_whose_second_engine_breaks_off_stays_at_the_first(self):
        for failure in (Failure.BROKEN, Failure.MALFORMED, Failure.NOT_CONNECTED):
            self.move()
            self.fail(failure, 2)
            self.assertIn(1, self.request.running.live_numbers)
            self.assertFalse(self.request.is_finished)

    def test_a_failure_of_the_second_engine_is_not_answered_while_the_first_may(self):
        self.move()
        effects = self.request.on_answer(self.fixture.at(1.7), 500, 2)
        self.assertEqual([], effects)
        self.assert_at_first()

    def test_a_stream_whose_first_engine_breaks_off_goes_on_at_the_second(self):
        self.move()
        self.assertEqual([], self.fail(Failure.BROKEN, 1))
        self.assertEqual([2], self.request.running.live_numbers)

    def test_a_stream_at_two_silent_engines_stays_at_both(self):
        self.move()
        self.assertEqual([], self.fail(Failure.SILENT, 2, 2.9))
        self.assertEqual([], self.fail(Failure.SILENT, 1, 2.9))
        self.assertEqual([1, 2], self.request.running.live_numbers)

    def test_a_third_engine_is_tried_instead_of_a_second_silent_one(self):
        self.start(attempts=3)
        self.fail(Failure.SILENT, 1)
        cancelled, sent = self.fail(Failure.SILENT, 2, 2.9)
        self.assertEqual(decisions.Cancel(2), cancelled)
        self.assertIsInstance(sent, decisions.SendToEngine)
        self.assertEqual([1, 3], self.request.running.live_numbers)

    def test_no_engine_goes_on_with_a_request_that_has_ended(self):
        for end in ("on_deadline", "on_stop", "on_caller_disconnected"):
            self.move()
            effects = getattr(self.request, end)(self.fixture.at(2.0))
            cancelled = [each for each in effects if isinstance(each, decisions.Cancel)]
            self.assertEqual([1, 2], [each.number for each in cancelled])
            self.assertEqual([], self.request.running.live_numbers)

    def test_the_engines_have_no_request_left_after_a_move(self):
        self.move()
        self.request.choose_dispatch(self.fixture.at(1.7), 2)
        self.request.on_answer(self.fixture.at(2.0), 200, 2)
        engines = self.fixture.registry.of_service(forwarding_test.SERVICE.name)
        self.assertEqual([0, 0, 0], [engine.in_flight for engine in engines])

    def test_an_answer_that_comes_first_cancels_the_other_dispatch(self):
        for number, other in ((1, 2), (2, 1)):
            self.fixture = forwarding_test.Fixture()
            kind = entry_data.RequestKind.IDEMPOTENT
            route = forwarding_test.make_route(kind)
            self.request = self.fixture.make_request(route)
            self.request.start(self.fixture.at(0.0))
            self.fail(Failure.SILENT, 1)
            effects = self.request.on_answer(self.fixture.at(2.0), 200, number)
            self.assertEqual(decisions.Cancel(other), effects[0])
            self.assertIsInstance(effects[1], decisions.RelayAnswer)
