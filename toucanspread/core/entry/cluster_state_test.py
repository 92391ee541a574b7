"""Tests when older weights must no longer be used."""

import testtools

from toucanspread.core import data
from toucanspread.core.entry import cluster_state, engine_obstacles, engines
from toucanspread.core.entry import data as entry_data

MODEL = data.ModelName("m")
SERVICE = entry_data.Service(
    data.ServiceName("s"), entry_data.ModelProfile(MODEL, 4, 8, 1, 0.3)
)
WITHIN_S = 8.0


def is_usable(engine, now_s):
    """Return whether requests may be sent to an engine."""
    return engine_obstacles.find_for_all_requests(engine, now_s) is None


class MinimumVersionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cluster_state = cluster_state.ClusterState(WITHIN_S, 2.0)

    def name_version(
        self, version, received_s, earliest_s, outage_ended_s=float("-inf")
    ):
        timing = cluster_state.ChangeTiming(received_s, earliest_s, outage_ended_s)
        event = cluster_state.VersionNamed(MODEL, version)
        return self.cluster_state.apply(event, timing, False)

    def minimum(self, now_s):
        return self.cluster_state.minimum_version(SERVICE, now_s)

    def test_the_time_counts_from_when_the_version_may_have_been_named(self):
        self.name_version(2, received_s=101.0, earliest_s=100.0)
        self.assertEqual(0, self.minimum(107.0))
        self.assertEqual(2, self.minimum(100.0 + WITHIN_S - 0.01))

    def test_each_version_has_its_own_deadline(self):
        self.name_version(2, 100.0, 100.0)
        self.name_version(3, 104.0, 104.0)
        self.assertEqual(2, self.minimum(109.0))
        self.assertEqual(3, self.minimum(113.0))
        self.assertEqual(3, self.cluster_state.versions_of(MODEL).newest)

    def test_a_restarted_process_uses_older_weights_during_its_grace_period_only(self):
        self.name_version(3, received_s=50.0, earliest_s=float("-inf"))
        self.assertEqual(0, self.minimum(50.0))
        self.assertEqual(3, self.minimum(53.0))

    def test_the_grace_period_after_a_restart_is_no_longer_if_the_first_copy_is_late(
        self,
    ):
        timing = cluster_state.ChangeTiming(51.5, float("-inf"), started_s=50.0)
        named = cluster_state.VersionNamed(MODEL, 3)
        self.cluster_state.apply(named, timing, False)
        self.assertEqual(0, self.minimum(52.5))
        self.assertEqual(3, self.minimum(52.7))

    def test_a_process_that_was_disconnected_long_after_its_start_has_a_grace_period(
        self,
    ):
        timing = cluster_state.ChangeTiming(50.0, 41.0, started_s=1.0)
        named = cluster_state.VersionNamed(MODEL, 3)
        self.cluster_state.apply(named, timing, False)
        self.assertEqual(0, self.minimum(52.5))
        self.assertEqual(3, self.minimum(52.7))

    def test_the_time_counts_from_the_end_of_a_global_outage(self):
        self.name_version(3, received_s=50.0, earliest_s=42.0, outage_ended_s=49.8)
        self.assertEqual(0, self.minimum(49.8 + WITHIN_S - 0.5))
        self.assertEqual(3, self.minimum(49.8 + WITHIN_S))

    def test_an_outage_that_ended_long_before_gives_no_extra_time(self):
        self.name_version(3, received_s=50.0, earliest_s=42.0, outage_ended_s=48.0)
        self.assertEqual(3, self.minimum(53.0))

    def test_an_older_version_is_ignored(self):
        self.name_version(3, 100.0, 100.0)
        self.assertFalse(self.name_version(2, 101.0, 101.0))
        self.assertEqual(3, self.cluster_state.versions_of(MODEL).newest)

    def test_requests_may_begin_on_older_weights_until_shortly_before_the_time(self):
        self.name_version(2, 100.0, 100.0)
        named = cluster_state.VersionNamed(MODEL, 2)
        begin_until_s = 100.0 + WITHIN_S - 0.3
        (upcoming,) = self.cluster_state.upcoming_versions(SERVICE, 101.0)
        self.assertAlmostEqual(begin_until_s, upcoming.begin_until_s)
        self.assertAlmostEqual(
            begin_until_s - 101.0, self.cluster_state.withdrawal_in_s(named, 101.0)
        )

    def test_withdrawals_are_checked_for_early_enough_for_links_that_hold_bytes(self):
        delays_s = cluster_state.list_withdrawal_delays_s(7.5)
        self.assertAlmostEqual(7.5 - engines.MAX_LINK_DELAY_S, delays_s[0])
        self.assertEqual(7.5, delays_s[-1])
        self.assertEqual(sorted(delays_s), delays_s)
        self.assertEqual([0.0], cluster_state.list_withdrawal_delays_s(-0.2))

    def test_a_version_in_force_is_not_upcoming(self):
        self.name_version(2, 100.0, 100.0)
        self.name_version(3, 104.0, 104.0)
        upcoming = self.cluster_state.upcoming_versions(SERVICE, 109.0)
        self.assertEqual([3], [version.version for version in upcoming])


class RemovedEngineTest(testtools.TestCase):
    """An engine whose entry was removed answers for two more seconds."""

    def setUp(self):
        super().setUp()
        self.cluster_state = cluster_state.ClusterState(WITHIN_S, drain_s=2.0)
        entry = entry_data.EngineEntry(
            "e",
            SERVICE.name,
            data.Address("10.0.0.1:1"),
            data.ZoneName("z"),
            16,
            entry_data.EngineState.READY,
        )
        timing = cluster_state.ChangeTiming(90.0, 90.0)
        self.cluster_state.apply(cluster_state.EngineSeen(entry), timing, False)

    def remove(self, received_s, earliest_s, store_was_unavailable=False):
        """Return the engine after its entry was removed."""
        timing = cluster_state.ChangeTiming(received_s, earliest_s)
        removed = cluster_state.EngineRemoved("e")
        self.cluster_state.apply(removed, timing, store_was_unavailable)
        return self.cluster_state.registry.get("e")

    def test_no_request_is_sent_to_an_engine_that_may_have_been_gone_for_its_time(self):
        engine = self.remove(received_s=101.0, earliest_s=100.0)
        self.assertTrue(is_usable(engine, 101.4))
        self.assertFalse(is_usable(engine, 101.6))

    def test_an_engine_that_was_removed_during_a_long_outage_gets_time_to_return(self):
        engine = self.remove(received_s=110.0, earliest_s=100.0)
        self.assertTrue(is_usable(engine, 111.4))
        self.assertFalse(is_usable(engine, 111.6))

    def test_a_removal_that_was_long_on_its_way_gives_no_time_to_return(self):
        timing = cluster_state.ChangeTiming(103.0, 100.0, contact_age_s=0.8)
        self.cluster_state.apply(cluster_state.EngineRemoved("e"), timing, False)
        self.assertFalse(is_usable(self.cluster_state.registry.get("e"), 103.0))

    def test_an_engine_that_was_removed_right_after_an_outage_gets_time_to_return(self):
        engine = self.remove(101.0, 100.0, store_was_unavailable=True)
        self.assertTrue(is_usable(engine, 102.4))
