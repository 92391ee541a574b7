"""Checks which sizes of requests are served while callers ask for too much."""

import dataclasses

import testtools

from standins import load_profiles, load_simulation, size_check

SEEDS = (1, 2)


def list_ends(profile, entry_count):
    """Return the ends of the requests of a load with all seeds."""
    profile = dataclasses.replace(profile, entries=entry_count)
    ends = []
    for seed in SEEDS:
        ends += load_simulation.LoadSimulation(profile, seed).run().ends
    return ends


class LargeRequestTest(testtools.TestCase):
    def check(self, profile, entry_count):
        ends = list_ends(profile, entry_count)
        self.assertEqual([], size_check.list_violations(ends))

    def test_large_requests_are_served_by_one_pressed_entry(self):
        self.check(load_profiles.PRESSED_PROFILE, 1)

    def test_large_requests_are_served_by_one_crowded_entry(self):
        self.check(load_profiles.CROWDED_PROFILE, 1)

    def test_large_requests_are_served_by_18_pressed_entries(self):
        self.check(load_profiles.PRESSED_PROFILE, 18)

    def test_large_requests_are_served_by_62_crowded_entries(self):
        self.check(load_profiles.CROWDED_PROFILE, 62)
