"""Tests the times of a planned stop."""

import testtools

from toucanspread.ops import planned_stop

LEAVING_S = 100.0
GRACES_S = (0.0, 0.5, 1.0, 2.0, 3.0, 8.0, 30.0)


class StopTimesTest(testtools.TestCase):
    def test_requests_and_process_end_within_any_grace(self):
        for grace_s in GRACES_S:
            times = planned_stop.StopTimes.from_grace(LEAVING_S, grace_s)
            self.assertLessEqual(LEAVING_S, times.requests_end_s)
            self.assertLessEqual(times.requests_end_s, times.exit_s)
            self.assertLessEqual(times.exit_s, LEAVING_S + grace_s)

    def test_the_margins_take_no_more_than_the_last_sixth_of_a_grace(self):
        for grace_s in GRACES_S:
            times = planned_stop.StopTimes.from_grace(LEAVING_S, grace_s)
            margin_s = LEAVING_S + grace_s - times.requests_end_s
            self.assertLessEqual(margin_s, grace_s / 6 + 1e-9)
            self.assertLessEqual(margin_s, 0.5 + 1e-9)

    def test_a_negative_grace_ends_at_once(self):
        times = planned_stop.StopTimes.from_grace(LEAVING_S, -1.0)
        self.assertEqual((LEAVING_S, LEAVING_S), times)
