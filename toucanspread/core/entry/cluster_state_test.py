"""When older weights may no longer be used."""

import testtools

from toucanspread.core import data
from toucanspread.core.entry import cluster_state
from toucanspread.core.entry import data as entry_data

MODEL = data.ModelName("m")
SERVICE = entry_data.Service(
    data.ServiceName("s"), entry_data.ModelProfile(MODEL, 4, 8, 1, 0.3)
)
WITHIN_S = 8.0


class VersionsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.known = cluster_state.ClusterState(WITHIN_S, 2.0)

    def name(self, version, heard_s, earliest_s, outage_until_s=float("-inf")):
        news = cluster_state.ChangeTiming(heard_s, earliest_s, outage_until_s)
        named = cluster_state.VersionNamed(MODEL, version)
        return self.known.apply(named, news, False)

    def minimum(self, now_s):
        return self.known.minimum_version(SERVICE, now_s)

    def test_the_time_counts_from_when_it_may_have_been_named(self):
        self.name(2, heard_s=101.0, earliest_s=100.0)
        self.assertEqual(0, self.minimum(107.0))
        self.assertEqual(2, self.minimum(100.0 + WITHIN_S - 0.01))

    def test_each_version_has_its_own_time(self):
        self.name(2, 100.0, 100.0)
        self.name(3, 104.0, 104.0)
        self.assertEqual(2, self.minimum(109.0))
        self.assertEqual(3, self.minimum(113.0))
        self.assertEqual(3, self.known.versions_of(MODEL).newest)

    def test_a_process_that_was_started_uses_older_weights_for_a_moment_only(self):
        self.name(3, heard_s=50.0, earliest_s=float("-inf"))
        self.assertEqual(0, self.minimum(50.0))
        self.assertEqual(3, self.minimum(53.0))

    def test_after_an_outage_for_everybody_the_time_counts_from_its_end(self):
        self.name(3, heard_s=50.0, earliest_s=42.0, outage_until_s=49.8)
        self.assertEqual(0, self.minimum(49.8 + WITHIN_S - 0.5))
        self.assertEqual(3, self.minimum(49.8 + WITHIN_S))

    def test_an_outage_that_ended_before_others_heard_of_it_gives_no_time(self):
        self.name(3, heard_s=50.0, earliest_s=42.0, outage_until_s=48.0)
        self.assertEqual(3, self.minimum(53.0))

    def test_an_older_version_changes_nothing(self):
        self.name(3, 100.0, 100.0)
        self.assertFalse(self.name(2, 101.0, 101.0))
        self.assertEqual(3, self.known.versions_of(MODEL).newest)
