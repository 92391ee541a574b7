"""Tests that promises counted from an acknowledgement are kept in a simulated site."""

import testtools

from standins import promise_engine, promise_faults, promise_simulation
from standins.promise_check import Promise

CALM_S = 4.0
SHOWN_COUNT = 5
BURST_FACTOR = 2.6
MAX_EXCESS_S = 0.02  # delays of the network


class PromiseTest(testtools.TestCase):
    def start_site(self, size, seed=1):
        site = promise_simulation.Site(size, seed)
        self.addCleanup(site.close)
        return site

    def assert_kept(self, site, promise):
        """Check one promise; each test is about one, and the soak about all."""
        self.assertGreater(site.probe_count, 0)
        found = [str(v) for v in site.violations if v.promise is promise]
        self.assertEqual([], found[:SHOWN_COUNT])

    def change_in_quick_succession(self, site):
        for _ in range(promise_faults.BURST_COUNT):
            site.change_configuration()
            site.run(promise_faults.BURST_S / promise_faults.BURST_COUNT)
        site.run(CALM_S)

    def test_one_change_of_the_configuration_is_in_force_in_time(self):
        site = self.start_site(promise_simulation.SMALL_SITE)
        site.change_configuration()
        site.run(CALM_S)
        self.assert_kept(site, Promise.CONFIGURATION)

    def test_a_burst_of_changes_is_in_force_in_time_at_18_entries(self):
        site = self.start_site(promise_simulation.SMALL_SITE)
        self.change_in_quick_succession(site)
        self.assert_kept(site, Promise.CONFIGURATION)

    def test_a_burst_of_changes_is_in_force_in_time_at_60_entries(self):
        site = self.start_site(promise_simulation.GROWN_SITE)
        self.change_in_quick_succession(site)
        self.assert_kept(site, Promise.CONFIGURATION)

    def test_a_burst_is_in_force_in_time_while_the_store_refuses_the_leaders(self):
        site = self.start_site(promise_simulation.SMALL_SITE)
        leaders = [site.leader_of(zone) for zone in site.zones]
        site.store.refused = {leader.machine.address for leader in leaders}
        self.change_in_quick_succession(site)
        self.assert_kept(site, Promise.CONFIGURATION)

    def test_no_request_reaches_an_engine_that_has_left(self):
        site = self.start_site(promise_simulation.SMALL_SITE)
        staying = site.list_staying_engines()
        staying[0].drain(gone_after_s=3.0)
        staying[1].end()
        site.run(CALM_S)
        self.assert_kept(site, Promise.DRAIN)

    def test_no_request_reaches_a_draining_engine_behind_pieces_of_weights(self):
        site = self.start_site(promise_simulation.SMALL_SITE)
        for engine in site.list_staying_engines():
            engine.narrow(promise_engine.NARROW_LINK_MBPS)
        site.name_version()
        site.run(promise_engine.MAX_ORIGIN_DELAY_S)
        site.list_staying_engines()[0].drain(gone_after_s=3.0)
        site.run(CALM_S)
        self.assert_kept(site, Promise.DRAIN)

    def test_no_request_begins_on_an_older_version_over_usual_links(self):
        site = self.start_site(promise_simulation.SMALL_SITE)
        for engine in site.list_staying_engines():
            engine.narrow(promise_engine.LINK_MBPS)
        self.name_version(site)

    def test_no_request_begins_on_an_older_version_over_narrow_links(self):
        site = self.start_site(promise_simulation.SMALL_SITE)
        for engine in site.list_staying_engines():
            engine.narrow(promise_engine.NARROW_LINK_MBPS)
        self.name_version(site)

    def test_no_request_begins_on_an_older_version_named_during_a_burst(self):
        site = self.start_site(promise_simulation.SMALL_SITE)
        for _ in range(promise_faults.BURST_COUNT // 2):
            site.change_configuration()
            site.run(promise_faults.BURST_S / promise_faults.BURST_COUNT)
        self.name_version(site)

    def test_no_copy_claims_to_be_newer_than_it_is_during_a_burst(self):
        site = self.start_site(promise_simulation.SMALL_SITE)
        self.change_in_quick_succession(site)
        self.assertLess(site.longest_excess_s, MAX_EXCESS_S)

    def test_no_request_reaches_an_evacuated_zone(self):
        site = self.start_site(promise_simulation.SMALL_SITE)
        zone = site.zones[1]
        site.evacuate(zone)
        site.run(site.size.bounds.evacuation_s)
        begun = site.begin_count
        site.run(CALM_S)
        self.assertGreater(site.begin_count, begun)
        self.assert_kept(site, Promise.EVACUATION)

    def test_cold_engines_get_few_requests_after_an_evacuation_during_a_burst(self):
        site = self.start_site(promise_simulation.SMALL_SITE)
        site.request_factor = BURST_FACTOR
        site.evacuate(site.zones[1])
        site.run(CALM_S)
        site.take_back(site.zones[1])
        site.run(CALM_S)
        self.assertGreater(site.cold_arrival_count, 0)
        self.assert_kept(site, Promise.COLD)

    def test_cold_engines_get_few_requests_after_a_restart_during_a_burst(self):
        for size in (promise_simulation.SMALL_SITE, promise_simulation.GROWN_SITE):
            site = self.start_site(size)
            site.request_factor = BURST_FACTOR
            site.restart_engines(site.zones[1], promise_faults.ENGINES_DOWN_S)
            site.run(promise_faults.ENGINES_DOWN_S + CALM_S)
            self.assertGreater(site.cold_arrival_count, 0)
            self.assert_kept(site, Promise.COLD)

    def test_requests_are_served_only_in_the_regions_that_their_route_allows(self):
        site = self.start_site(promise_simulation.SMALL_SITE)
        site.has_restricted_route = True
        site.restart_engines(site.zones[0], promise_faults.ENGINES_DOWN_S)
        site.run(CALM_S)
        self.assert_kept(site, Promise.REGION)

    def name_version(self, site):
        site.name_version()
        site.run(site.size.bounds.version_s + CALM_S)
        self.assertGreater(site.begin_count, 0)
        self.assert_kept(site, Promise.VERSION)


class CheckTest(testtools.TestCase):
    """Tests that the simulation notices promises that are not kept."""

    def start_site(self):
        site = promise_simulation.Site(promise_simulation.SMALL_SITE, 1)
        self.addCleanup(site.close)
        return site

    def list_promises(self, site):
        return {violation.promise for violation in site.violations}

    def test_an_entry_that_denies_by_an_old_copy_violates_the_configuration_promise(
        self,
    ):
        site = self.start_site()
        site.entries["z1-0"].configuration_within_s = float("inf")
        site.entries["z1-0"].machine.is_cut = True
        site.change_configuration()
        site.run(CALM_S)
        found = {(v.promise, v.machine) for v in site.violations}
        self.assertEqual({(Promise.CONFIGURATION, "z1-0")}, found)

    def test_an_entry_that_was_disturbed_is_excused(self):
        site = self.start_site()
        site.disturbances.begin("z1-0")
        site.entries["z1-0"].machine.is_cut = True
        site.change_configuration()
        site.run(CALM_S)
        self.assertEqual([], site.violations)

    def test_requests_to_an_engine_whose_leaving_is_unknown_are_noticed(self):
        site = self.start_site()
        engine = site.list_staying_engines()[0]
        engine.leaving_since_s = site.now_s
        site.run(CALM_S)
        self.assertEqual({Promise.DRAIN}, self.list_promises(site))

    def test_begins_on_an_older_version_that_is_unknown_are_noticed(self):
        site = self.start_site()
        site.versions.record(site.now_s, 2)
        site.run(site.size.bounds.version_s + CALM_S)
        self.assertEqual({Promise.VERSION}, self.list_promises(site))

    def test_requests_to_a_zone_whose_evacuation_is_unknown_are_noticed(self):
        site = self.start_site()
        site.evacuated_s[site.zones[1]] = site.now_s
        site.run(site.size.bounds.evacuation_s + CALM_S)
        self.assertEqual({Promise.EVACUATION}, self.list_promises(site))

    def test_too_many_requests_to_an_engine_that_is_not_known_to_be_cold_are_noticed(
        self,
    ):
        site = self.start_site()
        site.request_factor = BURST_FACTOR
        for engine in site.list_staying_engines()[1:]:
            engine.end()
        site.list_staying_engines()[0].cold_until_s = float("inf")
        site.run(CALM_S)
        self.assertIn(Promise.COLD, self.list_promises(site))

    def test_requests_to_a_region_that_is_not_allowed_are_noticed(self):
        site = self.start_site()
        site.has_restricted_route = True
        for engine in site.list_staying_engines():
            # Only the check sees the new zone; the records still have the old one.
            engine.zone = site.zones[2]
        site.run(CALM_S)
        self.assertEqual({Promise.REGION}, self.list_promises(site))
