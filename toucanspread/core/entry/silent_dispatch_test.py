"""Tests what becomes of a request at an engine of which nothing is heard."""

import testtools

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import decisions, engines, forwarding_test

SILENT = decisions.DispatchFailure.SILENT
OVERDUE_S = engines.LOAD_REPORT_MAX_AGE_S + 0.1


class SilentDispatchTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = forwarding_test.Fixture(names=("a", "bb"))

    def report(self, name, now_s):
        address = data.Address(f"10.0.0.1:{len(name)}")
        load = entry_data.EngineLoad(address, 0, 0, 0, 1, False)
        self.fixture.registry.apply_load(load, now_s)

    def start_reported(self, route):
        """Return a request and its engine; both engines have reported."""
        for name in ("a", "bb"):
            self.report(name, 0.0)
        request = self.fixture.make_request(route)
        request.start(self.fixture.at(0.0))
        return request, request.engine_id

    def silence(self, silent_name):
        """Let only the other engine report."""
        for name in {"a", "bb"} - {silent_name}:
            self.report(name, OVERDUE_S)

    def test_a_request_without_attempts_does_not_stay_at_an_engine_that_stands_still(
        self,
    ):
        request, name = self.start_reported(forwarding_test.make_route())
        request.on_failure(self.fixture.at(0.1), decisions.DispatchFailure.BROKEN)
        name = request.engine_id
        self.silence(name)
        effects = request.on_failure(self.fixture.at(OVERDUE_S), SILENT)
        self.assertEqual(
            [decisions.Cancel, decisions.Fail], [type(effect) for effect in effects]
        )

    def test_a_begun_stream_is_broken_off_so_that_its_caller_can_resume_it(self):
        route = forwarding_test.make_route(attempts=1)
        request, name = self.start_reported(route)
        request.on_stream_opened()
        request.on_events(0.05, "1")
        self.silence(name)
        effects = request.on_failure(self.fixture.at(OVERDUE_S + 0.1), SILENT)
        self.assertEqual(
            [decisions.Cancel, decisions.BreakStream],
            [type(effect) for effect in effects],
        )

    def test_a_stop_ends_no_stream_at_an_engine_that_stands_still(self):
        for attempts, end_s in ((1, 9.0), (2, 3.0)):
            route = forwarding_test.make_route(attempts=attempts)
            request, name = self.start_reported(route)
            request.on_stream_opened()
            request.on_events(0.05, "1")
            self.silence(name)
            context = self.fixture.at(OVERDUE_S + 0.1, requests_end_s=end_s)
            self.assertEqual([], request.on_failure(context, SILENT))
            self.assertIsNotNone(request.move_obstacle)
            request.on_stop(context)

    def test_a_request_stays_at_a_slow_engine_that_reports(self):
        route = forwarding_test.make_route(attempts=1)
        request, name = self.start_reported(route)
        self.report(name, OVERDUE_S)
        self.assertEqual([], request.on_failure(self.fixture.at(OVERDUE_S), SILENT))

    def test_a_request_that_must_not_run_again_stays_at_a_silent_engine(self):
        route = forwarding_test.make_route(resumable=False)
        request, name = self.start_reported(route)
        self.silence(name)
        self.assertEqual([], request.on_failure(self.fixture.at(OVERDUE_S), SILENT))

    def test_a_request_leaves_a_silent_engine_for_one_without_a_free_slot(self):
        request, name = self.start_reported(forwarding_test.make_route())
        self.silence(name)
        for engine in self.fixture.registry.of_service(forwarding_test.SERVICE.name):
            for _ in range(20):
                engine.record_dispatch(OVERDUE_S)
        [sent] = request.on_failure(self.fixture.at(OVERDUE_S), SILENT)
        self.assertIsInstance(sent, decisions.SendToEngine)
        self.assertNotEqual(name, sent.engine_id)
        effects = request.choose_dispatch(self.fixture.at(OVERDUE_S), sent.number)
        self.assertEqual([decisions.Cancel(1)], effects)
