"""Tests which requests go first at an engine."""

import testtools

from toucanspread.core.entry import urgency


class UrgencyTest(testtools.TestCase):
    def test_resumed_streams_precede_requests_on_time_and_those_precede_late_ones(self):
        order = (
            urgency.Urgency.RESUMED,
            urgency.Urgency.ON_TIME,
            urgency.Urgency.LATE,
        )
        for first, second in zip(order, order[1:], strict=False):
            self.assertLess(
                urgency.engine_priority(first, 9), urgency.engine_priority(second, 0)
            )

    def test_declared_ranks_decide_within_an_urgency(self):
        ranks = [
            urgency.engine_priority(urgency.Urgency.ON_TIME, rank) for rank in (0, 1, 2)
        ]
        self.assertEqual(sorted(set(ranks)), ranks)

    def test_priorities_are_in_the_range_of_engines(self):
        for kind in urgency.Urgency:
            for rank in (-3, 0, 1, 200):
                self.assertIn(urgency.engine_priority(kind, rank), range(10))
