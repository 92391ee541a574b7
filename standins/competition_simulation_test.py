"""Checks what each kind of request gets while callers compete for the engines."""

import testtools

from standins import load_profiles, load_simulation


def run(entry_count, has_priorities):
    """Return the outcome of a burst of the least urgent kind."""
    load = load_profiles.make_competition(entry_count, has_priorities)
    return load_simulation.LoadSimulation(load, seed=1).run()


class CompetitionTest(testtools.TestCase):
    def check(self, entry_count):
        outcome = run(entry_count, has_priorities=True)
        urgent, patient = outcome.of_kind("urgent"), outcome.of_kind("patient")
        self.assertGreater(urgent.on_time_ratio, 0.8)
        self.assertGreater(urgent.served_ratio, patient.served_ratio)
        self.assertGreater(patient.on_time_ratio, 0.2)
        return urgent

    def test_a_burst_of_a_patient_kind_does_not_make_urgent_requests_late(self):
        """Guards against a burst at which the most urgent kind is served worst."""
        urgent = self.check(18)
        before = run(18, has_priorities=False).of_kind("urgent")
        self.assertGreater(urgent.on_time_ratio, before.on_time_ratio + 0.2)

    def test_many_entries_that_see_few_requests_keep_urgent_ones_on_time(self):
        """Guards against rules that need a long queue at each entry."""
        self.check(62)
