"""Tests the detection of a global outage of the store."""

import testtools

from toucanspread.core import data
from toucanspread.core.view import outage, source_selection

NEVER = float("-inf")
STALE_AGE_S = source_selection.MAX_TRUSTED_AGE_S + 1.0
ZONES = [data.ZoneName(name) for name in ("own", "a", "b")]


class OutageTrackerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.tracker = outage.OutageTracker(ZONES[0])

    def test_an_outage_lasts_while_all_other_zones_have_stale_copies(self):
        self.tracker.record_answer(ZONES[1], STALE_AGE_S, now_s=10.0)
        self.assertEqual(NEVER, self.tracker.outage_until_s(ZONES))
        self.tracker.record_answer(ZONES[2], STALE_AGE_S, now_s=11.0)
        self.assertEqual(10.0, self.tracker.outage_until_s(ZONES))

    def test_a_zone_with_a_fresh_copy_disproves_an_outage(self):
        self.tracker.record_answer(ZONES[1], STALE_AGE_S, now_s=10.0)
        self.tracker.record_answer(ZONES[2], 0.5, now_s=11.0)
        self.assertEqual(NEVER, self.tracker.outage_until_s(ZONES))

    def test_the_own_zone_counts_only_if_there_is_no_other(self):
        self.tracker.record_answer(ZONES[0], STALE_AGE_S, now_s=10.0)
        self.assertEqual(NEVER, self.tracker.outage_until_s(ZONES))
        self.assertEqual(10.0, self.tracker.outage_until_s(ZONES[:1]))

    def test_no_outage_is_known_without_other_processes(self):
        self.assertEqual(NEVER, self.tracker.outage_until_s([]))
