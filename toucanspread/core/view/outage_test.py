"""What is known of an outage of the store."""

import testtools

from toucanspread.core import data
from toucanspread.core.view import outage, source_selection

NEVER = float("-inf")
OLD_S = source_selection.MAX_TRUSTED_AGE_S + 1.0
ZONES = [data.ZoneName(name) for name in ("own", "a", "b")]


class OutageTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.outage = outage.OutageTracker(ZONES[0])

    def test_it_lasted_while_every_other_zone_had_old_copies(self):
        self.outage.record_answer(ZONES[1], OLD_S, now_s=10.0)
        self.assertEqual(NEVER, self.outage.outage_until_s(ZONES))
        self.outage.record_answer(ZONES[2], OLD_S, now_s=11.0)
        self.assertEqual(10.0, self.outage.outage_until_s(ZONES))

    def test_a_zone_with_a_fresh_copy_tells_of_no_outage(self):
        self.outage.record_answer(ZONES[1], OLD_S, now_s=10.0)
        self.outage.record_answer(ZONES[2], 0.5, now_s=11.0)
        self.assertEqual(NEVER, self.outage.outage_until_s(ZONES))

    def test_processes_of_the_own_zone_count_where_there_is_no_other(self):
        self.outage.record_answer(ZONES[0], OLD_S, now_s=10.0)
        self.assertEqual(NEVER, self.outage.outage_until_s(ZONES))
        self.assertEqual(10.0, self.outage.outage_until_s(ZONES[:1]))

    def test_without_others_nothing_is_known(self):
        self.assertEqual(NEVER, self.outage.outage_until_s([]))
