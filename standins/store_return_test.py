"""Checks what the system believes after the store has returned from an older copy."""

import json

import testtools
from twisted.internet import task

from standins import platform_store_data as store_data
from standins import platform_store_state as store_state
from standins import soak_seeds, store_copies, view_simulation, view_soak_test
from toucanspread.ops.copies import newer_values
from toucanspread.platform import decoding

RECOVERED_S = 4.0  # 2 s until all is written again, and the platform's bound of 2 s
MAX_AGE_S = 2.0  # of a copy while the store answers
NAMED_VERSION_KEY = "op/version/m"
READ_S = 0.1  # for an entry that starts to read a small store


class StandInTest(testtools.TestCase):
    """The stand-ins do what the users' pages say of a drill."""

    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.state = store_state.State(self.clock)

    def write(self, key, value, lease=store_data.NO_LEASE):
        put = store_data.Put(key, value, lease)
        return self.state.commit(store_data.Transaction(puts=(put,)))

    def test_what_the_system_wrote_since_the_copy_is_lost(self):
        before = self.write("a", b"old")
        self.clock.advance(5.0)
        self.write("a", b"new")
        self.write("b", b"new")
        self.state.return_from_copy(3.0)
        self.assertEqual(b"old", self.state.get("a").value)
        self.assertIsNone(self.state.get("b"))
        self.assertEqual(before, self.state.revision)
        self.assertEqual(store_copies.FIRST_ERA + 1, self.state.era)

    def test_revisions_are_given_out_again(self):
        self.write("a", b"1")
        self.clock.advance(5.0)
        lost = self.write("b", b"2")
        self.state.return_from_copy(3.0)
        self.assertEqual(lost, self.write("c", b"3"))
        keys = [event.key for event in self.state.list_events("", lost - 1)]
        self.assertEqual(["c"], keys)

    def test_a_watch_from_a_lost_revision_reports_it(self):
        self.write("a", b"1")
        self.clock.advance(5.0)
        lost = self.write("a", b"2")
        self.state.return_from_copy(3.0)
        self.assertRaises(store_data.HistoryGoneError, self.state.list_events, "", lost)

    def test_leases_granted_since_the_copy_have_ended(self):
        old, _ = self.state.grant_lease(60.0)
        self.clock.advance(5.0)
        new, _ = self.state.grant_lease(60.0)
        self.state.return_from_copy(3.0)
        self.state.renew_lease(old)
        self.assertRaises(store_data.LeaseEndedError, self.state.renew_lease, new)

    def test_the_operator_and_engines_write_again_what_was_lost(self):
        self.state.write_unchecked("op/config", b"1")
        self.state.write_unchecked("servers/left", b"1")
        self.clock.advance(5.0)
        self.state.write_unchecked("op/config", b"2")
        self.state.delete_unchecked("servers/left")
        self.state.return_from_copy(3.0)
        self.assertEqual(b"1", self.state.get("op/config").value)
        self.clock.advance(store_copies.WRITTEN_AGAIN_S)
        self.assertEqual(b"2", self.state.get("op/config").value)
        self.assertIsNone(self.state.get("servers/left"))


class CopyAfterReturnTest(testtools.TestCase):
    """Simulates a zone whose store returns from an older copy."""

    def setUp(self):
        super().setUp()
        size = view_simulation.ZoneSize(entries=6, sidecars=2, engines=4)
        self.zone = view_simulation.ZoneSimulation(size, route_count=40)
        self.addCleanup(self.zone.close)
        self.zone.run(5.0)

    def return_from_copy(self, age_s=3.0):
        """Change the configuration some times, lose that, and let time pass."""
        self.zone.run(age_s)
        for _ in range(4):
            self.zone.change_configuration()
            self.zone.run(0.2)
        self.zone.store.return_from_copy(age_s)
        self.zone.run(RECOVERED_S)

    def test_copies_stay_fresh_after_revisions_went_back(self):
        self.return_from_copy()
        ages_s = [entry.age_s() for entry in self.zone.entries]
        self.assertLess(max(ages_s), MAX_AGE_S)

    def test_a_change_under_a_revision_that_was_given_out_before_is_not_missed(self):
        self.return_from_copy()
        for number in range(8):
            self.zone.store.write(f"servers/new-{number}", b"{}")
        self.zone.run(RECOVERED_S)
        self.assertEqual([], self.zone.list_differences())

    def test_a_record_that_only_the_lost_state_had_is_forgotten(self):
        self.zone.run(3.0)
        self.zone.store.write("entries/lost", b"{}")
        self.zone.run(1.0)
        self.zone.store.return_from_copy(2.0)
        self.zone.run(RECOVERED_S)
        self.zone.change_configuration()
        self.zone.run(RECOVERED_S)
        known = [entry.get_value("entries/lost") for entry in self.zone.entries]
        self.assertEqual([None] * len(known), known)

    def test_a_second_return_before_the_first_is_worked_off_is_followed(self):
        self.return_from_copy()
        self.zone.store.return_from_copy(1.0)
        self.zone.run(RECOVERED_S)
        self.assertEqual([], self.zone.list_differences())


class StartAfterReturnTest(testtools.TestCase):
    def test_an_entry_that_starts_after_a_return_takes_no_older_configuration(self):
        size = view_simulation.ZoneSize(entries=6, sidecars=0, engines=4)
        zone = view_simulation.ZoneSimulation(size, route_count=40)
        self.addCleanup(zone.close)
        zone.run(8.0)
        zone.change_configuration()
        zone.run(1.0)
        newest = read_version(zone.entries[0])
        zone.store.return_from_copy(2.0)
        zone.run(0.1)
        started = zone.add_entry()
        versions = []
        for _ in range(20):
            zone.run(0.1)
            versions.append(read_version(started))
        self.assertGreaterEqual(min(v for v in versions if v is not None), newest)

    def start_leader_after_return(self, prepare=None):
        """Start an entry that reads the store itself after a return.

        :param prepare: called with the zone when the newest configuration is in force.
        :return: the zone, the entry, and the newest configuration's version.
        """
        size = view_simulation.ZoneSize(entries=5, sidecars=0, engines=4)
        zone = view_simulation.ZoneSimulation(size, route_count=40)
        self.addCleanup(zone.close)
        zone.store.write(NAMED_VERSION_KEY, make_named_version(2))
        zone.run(8.0)
        zone.change_configuration()
        zone.store.write(NAMED_VERSION_KEY, make_named_version(3))
        zone.run(1.0)
        newest = read_version(zone.leader())
        if prepare is not None:
            prepare(zone)
        zone.store.return_from_copy(2.0)
        zone.run(0.1)
        started = zone.add_entry()
        self.assertEqual(started, zone.leader())
        return zone, started, newest

    def test_an_entry_that_leads_its_zone_takes_no_older_values(self):
        zone, started, newest = self.start_leader_after_return()
        zone.run(0.4)
        self.assertEqual(newest, read_version(started))
        self.assertEqual(make_named_version(3), started.get_value(NAMED_VERSION_KEY))

    def test_a_peer_that_lies_behind_does_not_hide_the_newest_configuration(self):
        def take_back_copy(zone):
            zone.rank_entries()[0].machine.is_cut = True
            zone.change_configuration()
            zone.run(1.5)
            zone.rank_entries()[0].machine.is_cut = False

        zone, started, newest = self.start_leader_after_return(take_back_copy)
        zone.run(0.4)
        self.assertEqual(newest + 1, read_version(started))

    def test_silent_peers_delay_a_start_only_by_a_bounded_time(self):
        def silence(zone):
            for entry in zone.entries:
                entry.machine.handle = None

        zone, started, _ = self.start_leader_after_return(silence)
        zone.run(newer_values.ANSWER_TIMEOUT_S + READ_S)
        self.assertIsNotNone(read_version(started))

    def test_peers_that_are_cut_off_delay_a_start_only_by_a_bounded_time(self):
        def cut(zone):
            for entry in zone.entries:
                entry.machine.is_cut = True

        zone, started, _ = self.start_leader_after_return(cut)
        zone.run(newer_values.ANSWER_TIMEOUT_S + READ_S)
        self.assertIsNotNone(read_version(started))

    def test_a_copy_that_was_cut_off_gets_what_the_store_has_lost(self):
        size = view_simulation.ZoneSize(entries=5, sidecars=0, engines=4)
        zone = view_simulation.ZoneSimulation(size, route_count=40)
        self.addCleanup(zone.close)
        zone.run(8.0)
        leader = zone.leader()
        leader.machine.is_cut = True
        zone.change_configuration()
        zone.run(1.9)
        newest = max(read_version(entry) for entry in zone.entries)
        self.assertLess(read_version(leader), newest)
        zone.store.return_from_copy(2.0)
        leader.machine.is_cut = False
        zone.run(0.9)
        self.assertEqual(newest, read_version(leader))


class StartOfAllTest(testtools.TestCase):
    def test_entries_that_all_start_at_once_do_not_wait_for_each_other(self):
        asking_s = self.start_all()
        self.patch(newer_values, "ASKED_COUNT", 0)
        self.assertLess(asking_s - self.start_all(), 0.02)

    def start_all(self):
        """Return when the last entry has a configuration."""
        size = view_simulation.ZoneSize(entries=18, sidecars=0, engines=4)
        zone = view_simulation.ZoneSimulation(size, route_count=280)
        self.addCleanup(zone.close)
        zone.run(3.0)
        return max(min(entry.received_s.values()) for entry in zone.entries)


def make_named_version(version):
    """Return the value with which the operator names a version of a model."""
    return json.dumps({"model": "m", "version": version}).encode()


def read_version(entry):
    """Return the version of the configuration that an entry has, or None."""
    value = entry.get_value(decoding.CONFIGURATION_KEY)
    return None if value is None else json.loads(value)["version"]


def run_seed_of_returns(seed):
    kinds = (*view_soak_test.FAULT_KINDS, "return", "return")
    soak = view_soak_test.Soak(seed, kinds)
    soak.run()
    soak.zone.run(view_soak_test.CALM_S)
    soak.zone.change_configuration()
    soak.zone.run(view_soak_test.IN_FORCE_WITHIN_S)
    violations = soak.zone.list_differences()[:1]
    soak.zone.close()
    return soak_seeds.SoakResult(soak.faults, violations)


class ReturnSoakTest(testtools.TestCase):
    """More seeds by hand: ``SOAK_SEEDS=60 pytest standins/store_return_test.py``."""

    def test_copies_follow_the_store_after_returns_among_other_faults(self):
        seed_count = view_soak_test.CI_SEED_COUNT
        self.assertEqual(
            [], soak_seeds.list_violations(run_seed_of_returns, seed_count)
        )
