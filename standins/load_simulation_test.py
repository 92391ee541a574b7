"""Checks the outcomes of entries' decisions under the users' heaviest loads."""

import statistics

import testtools

from standins import load_profiles, load_simulation

SEEDS = (1, 2, 3)


def run_seeds(name):
    """Return the outcomes of a load profile, one for each seed."""
    load = next(load for load in load_profiles.LOAD_PROFILES if load.name == name)
    return [load_simulation.LoadSimulation(load, seed).run() for seed in SEEDS]


class LoadSimulationTest(testtools.TestCase):
    def check(self, name, on_time, served):
        outcomes = run_seeds(name)
        ratios = [outcome.on_time_ratio for outcome in outcomes]
        self.assertGreaterEqual(statistics.mean(ratios), on_time)
        ratios = [outcome.served_ratio for outcome in outcomes]
        self.assertGreaterEqual(statistics.mean(ratios), served)

    def test_nearly_all_are_on_time_under_a_calm_load(self):
        self.check("calm", on_time=0.97, served=1.0)

    def test_queueing_makes_few_requests_late_below_capacity(self):
        self.check("usual", on_time=0.96, served=1.0)

    def test_three_quarters_are_on_time_in_a_burst(self):
        """The capacity is two thirds of the load for four seconds, then all of it."""
        self.check("burst", on_time=0.75, served=0.95)

    def test_most_of_the_capacity_is_on_time_in_an_overload(self):
        """The capacity is three quarters of the load."""
        self.check("overload", on_time=0.55, served=0.85)

    def test_engines_that_return_are_not_overloaded(self):
        """A sixth of the requests are sent while there is no engine."""
        self.check("recovery", on_time=0.63, served=0.75)
