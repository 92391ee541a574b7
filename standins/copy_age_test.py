"""Checks that no copy of the store claims to be younger than it is."""

import testtools

from standins import link_simulation, view_simulation

SETTLE_S = 5.0
CHANGE_COUNT = 20
CHANGE_INTERVAL_S = 0.25
STEP_S = 0.02


class CopyAgeTest(testtools.TestCase):
    def start_zone(self, route_count, region_mbps=view_simulation.REGION_LINK_MBPS):
        zone = view_simulation.ZoneSimulation(view_simulation.ZoneSize(), route_count)
        self.addCleanup(zone.close)
        zone.run(SETTLE_S)
        zone.store.machine.links = [link_simulation.Link(region_mbps)]
        return zone

    def list_false_ages(self, zone):
        """Write configurations in quick succession; return the false ages seen."""
        found = []
        for _ in range(CHANGE_COUNT):
            zone.change_configuration()
            end_s = zone.now_s + CHANGE_INTERVAL_S
            while zone.now_s < end_s:
                zone.run(STEP_S)
                found += zone.list_false_ages()
        return found

    def test_the_time_of_a_transfer_between_processes_belongs_to_the_age(self):
        self.assertEqual([], self.list_false_ages(self.start_zone(1_480)))

    def test_the_time_of_a_transfer_from_the_store_belongs_to_the_age(self):
        zone = self.start_zone(1_480, region_mbps=8.0)
        self.assertEqual([], self.list_false_ages(zone))

    def test_the_wait_of_a_connection_at_the_leader_belongs_to_the_age(self):
        zone = self.start_zone(280)
        leader = zone.leader()
        leader.machine.uplink.reserve(zone.now_s, 3_000_000)
        self.assertEqual([], self.list_false_ages(zone))
