"""Tests that the membership benchmark yields plausible values on small fleets."""

import testtools

from benches import bench_membership


class BenchMembershipTest(testtools.TestCase):
    def test_small_fleet_is_measured(self):
        self.patch(bench_membership, "WARM_UP_S", 5.0)
        self.patch(bench_membership, "STEADY_STATE_S", 2.0)
        found = bench_membership.measure(6)
        self.assertTrue(found["entry_sent_bytes_s_mean"] > 0)
        self.assertTrue(0 < found["entry_death_known_by_all_s"] < 20)
        self.assertTrue(0 < found["endpoint_death_known_s"] < 20)
        self.assertEqual(6, found["entries_per_endpoint_min"])

    def test_zone_loss_leaves_no_wrong_view_of_entries(self):
        self.patch(bench_membership, "WARM_UP_S", 5.0)
        found = bench_membership.measure_zone_loss(10)
        self.assertEqual(0, found["zone_loss_wrong_beliefs"])
