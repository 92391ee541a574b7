"""What callers get of the entries' decisions under the users' heaviest loads."""

import statistics

import testtools

from standins import load_profiles, load_simulation

SEEDS = (1, 2, 3)


def play(name):
    """Return the outcomes of a load, one a seed."""
    load = next(load for load in load_profiles.LOAD_PROFILES if load.name == name)
    return [load_simulation.LoadSimulation(load, seed).run() for seed in SEEDS]


class PlayedLoadTest(testtools.TestCase):
    def check(self, name, on_time, served):
        outcomes = play(name)
        shares = [outcome.on_time_ratio for outcome in outcomes]
        self.assertGreaterEqual(statistics.mean(shares), on_time)
        shares = [outcome.served_ratio for outcome in outcomes]
        self.assertGreaterEqual(statistics.mean(shares), served)

    def test_on_a_calm_day_nearly_all_are_on_time(self):
        self.check("calm", on_time=0.97, served=1.0)

    def test_below_what_engines_can_do_nobody_is_late_for_being_held(self):
        self.check("usual", on_time=0.96, served=1.0)

    def test_in_a_burst_three_quarters_are_on_time(self):
        """Engines can do two thirds of it for four seconds, and then all."""
        self.check("burst", on_time=0.75, served=0.95)

    def test_in_an_overload_most_of_what_engines_can_do_is_on_time(self):
        """Engines can do three quarters of it."""
        self.check("overload", on_time=0.55, served=0.85)

    def test_engines_that_come_back_are_not_swamped(self):
        """A sixth of the callers come while there is no engine."""
        self.check("recovery", on_time=0.63, served=0.75)
