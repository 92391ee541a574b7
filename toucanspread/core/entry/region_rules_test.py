"""Tests where requests may be served, by regions and by evacuated zones."""

import random

import msgspec
import testtools

from toucanspread.core import data
from toucanspread.core.entry import (
    cluster_state,
    decisions,
    entry_directory,
    forwarding,
    forwarding_test,
    region_rules,
)
from toucanspread.core.entry import data as entry_data

HOME, OTHER = data.RegionName("home"), data.RegionName("other")
ZONES = {data.ZoneName("z1"): HOME, data.ZoneName("z2"): OTHER}


def make_route(*regions):
    return msgspec.structs.replace(
        forwarding_test.make_route(), allowed_regions=regions
    )


def make_team(*regions):
    return entry_data.Team(data.TeamName("t"), ("k",), None, regions)


class CombineTest(testtools.TestCase):
    def test_both_the_route_and_the_team_bind(self):
        self.assertIsNone(region_rules.combine(make_route(), make_team()))
        self.assertEqual({HOME}, region_rules.combine(make_route(HOME), None))
        self.assertEqual({OTHER}, region_rules.combine(make_route(), make_team(OTHER)))
        both = region_rules.combine(make_route(HOME, OTHER), make_team(OTHER))
        self.assertEqual({OTHER}, both)
        self.assertEqual(
            frozenset(), region_rules.combine(make_route(HOME), make_team(OTHER))
        )


class PlacementTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = forwarding_test.Fixture(names=())
        for name, zone in (("a", "z1"), ("bb", "z2")):
            entry = forwarding_test.make_entry(name)
            entry = msgspec.structs.replace(entry, zone=data.ZoneName(zone))
            self.fixture.registry.put(entry)

    def at(self, now_s):
        context = self.fixture.at(now_s)
        return context._replace(location=context.location._replace(regions=ZONES))

    def start(self, allowed_regions=None):
        request = forwarding.RequestState(
            forwarding_test.make_route(),
            forwarding_test.SERVICE,
            entry_data.Call("id", "h", "/p/x", None, 5.0),
            0.0,
            allowed_regions=allowed_regions,
        )
        return request, request.start(self.at(0.0))[0]

    def test_a_request_reaches_no_engine_of_another_region(self):
        """Guards against answers from a region that a team does not allow."""
        for _ in range(4):
            _, sent = self.start(frozenset({OTHER}))
            self.assertEqual("bb", sent.engine_id)

    def test_a_retry_keeps_to_the_allowed_regions(self):
        request, sent = self.start(frozenset({OTHER}))
        self.assertEqual("bb", sent.engine_id)
        effects = request.on_failure(self.at(0.1), decisions.DispatchFailure.BROKEN)
        self.assertNotIn("a", [getattr(each, "engine_id", "") for each in effects])

    def test_a_request_without_an_allowed_region_is_refused_at_once(self):
        _, rejected = self.start(frozenset())
        self.assertIsInstance(rejected, decisions.Reject)

    def test_no_request_goes_to_an_evacuated_zone(self):
        """Guards against requests that reach a zone which the operator empties."""
        self.fixture.registry.evacuations.begin(data.ZoneName("z1"))
        for _ in range(4):
            _, sent = self.start()
            self.assertEqual("bb", sent.engine_id)
        _, rejected = self.start(frozenset({HOME}))
        self.assertIsInstance(rejected, decisions.Reject)
        self.fixture.registry.evacuations.end(data.ZoneName("z1"), 1.0)
        _, sent = self.start(frozenset({HOME}))
        self.assertEqual("a", sent.engine_id)


class EvacuationEventTest(testtools.TestCase):
    def test_repeated_and_unknown_evacuations_change_nothing(self):
        cluster = cluster_state.ClusterState(8.0, 2.0)
        timing = cluster_state.ChangeTiming(1.0, 0.9)
        zone = data.ZoneName("z1")
        ended = cluster_state.EvacuationEnded(zone)
        self.assertFalse(cluster.apply(ended, timing, False))
        self.assertTrue(cluster.apply(cluster_state.EvacuationSeen(zone), timing, True))
        self.assertFalse(
            cluster.apply(cluster_state.EvacuationSeen(zone), timing, True)
        )
        self.assertTrue(cluster.apply(ended, timing, False))
        self.assertEqual(frozenset(), cluster.registry.evacuations.zones)


class DirectoryTest(testtools.TestCase):
    def make_directory(self, *records):
        directory = entry_directory.EntryDirectory()
        for name, region in records:
            record = entry_directory.EntryRecord(name, region, region, name, "c", "r")
            directory.put(record)
        return directory

    def test_addresses_of_regions_that_are_not_allowed_are_not_named(self):
        """Guards against bodies that are sent to a region which a route excludes."""
        directory = self.make_directory(("a", "r1"), ("b", "r2"), ("c", "r3"))
        found = directory.addresses_for("r1", "r1", random.Random(1), {"r2"})
        self.assertEqual({"a", "b"}, set(found))

    def test_an_entry_whose_record_has_expired_is_not_named_beside_others(self):
        """Guards against callers that connect to entries long gone."""
        directory = self.make_directory(("a", "r1"), ("b", "r1"), ("c", "r1"))
        directory.remove("c", 1.0, store_was_unavailable=True)
        found = directory.addresses_for("r1", "r1", random.Random(1))
        self.assertEqual({"a", "b"}, set(found))
        directory.remove("b", 1.0, store_was_unavailable=True)
        found = directory.addresses_for("r1", "r1", random.Random(1))
        self.assertEqual({"a", "b", "c"}, set(found))
