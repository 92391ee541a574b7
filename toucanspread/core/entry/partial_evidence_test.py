"""Tests decisions of entries that know only some of the crashes, or chance ones."""

import testtools

from toucanspread.core.entry import crash_guard_test
from toucanspread.core.entry import data as entry_data


class PartialEvidenceTest(testtools.TestCase):
    def test_a_restarted_entry_does_not_lift_a_quarantine_whose_crashes_it_missed(self):
        cluster = crash_guard_test.Cluster()
        cluster.quarantine("P")
        cluster.restart(2)
        cluster.run(1.5)
        self.assertTrue(cluster.is_quarantined(2, "P"))
        # Each crash of the other part has a request with the first one beside it.
        for _ in range(2):
            cluster.crash((2, "Q"), (2, "P"))
        for _ in range(3):
            cluster.crash((2, "Q"))
        cluster.run(0.5)
        for number in range(3):
            self.assertTrue(cluster.is_quarantined(number, "P"), number)

    def test_one_request_at_two_crashes_by_chance_makes_a_cause_no_less_certain(self):
        cluster = crash_guard_test.Cluster(entry_count=1)
        repeated = crash_guard_test.make_call("request:r")
        for number in range(4):
            incarnation = cluster.break_off([(0, "P")])
            if number < 2:
                cluster.guard().on_break(incarnation, repeated, cluster.now_s)
            cluster.run(0.1)
        cluster.run(1.0)
        (notice, *_) = [
            sent
            for sent in cluster.programs["n0"].sent
            if isinstance(sent, entry_data.PartsQuarantined)
        ]
        self.assertEqual(("P",), notice.parts)
        self.assertFalse(notice.is_ambiguous)

    def test_two_requests_at_two_crashes_leave_a_cause_uncertain(self):
        cluster = crash_guard_test.Cluster(entry_count=1)
        for number in range(4):
            others = [(0, "Q")] if number < 2 else []
            cluster.crash((0, "P"), *others)
        cluster.run(1.0)
        (notice, *_) = [
            sent
            for sent in cluster.programs["n0"].sent
            if isinstance(sent, entry_data.PartsQuarantined)
        ]
        self.assertTrue(notice.is_ambiguous)
