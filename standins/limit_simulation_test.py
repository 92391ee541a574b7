"""Checks that all entries together keep to the limits that engines name."""

import testtools

from standins import load_profiles, load_simulation

SEEDS = (1, 2)


def simulate(entries, limits, rate_per_s=70.0, engines=10, duration_s=14.0, seed=1):
    """Return a simulation that has run."""
    profile = load_profiles.LoadProfile(
        "limits",
        ((0.0, rate_per_s),),
        ((0.0, engines),),
        duration_s,
        entries=entries,
        limits=limits,
    )
    simulation = load_simulation.LoadSimulation(profile, seed)
    simulation.run()
    return simulation


def list_violations(simulation):
    """Return the first violation of each engine's limit."""
    return [v for engine in simulation.engines for v in engine.limit.violations[:1]]


class LimitSimulationTest(testtools.TestCase):
    def check(self, entries, limit_per_s, engine_count=2):
        limits = (load_profiles.LimitChange(3.0, engine_count, limit_per_s),)
        for seed in SEEDS:
            simulation = simulate(entries, limits, seed=seed)
            self.assertEqual([], list_violations(simulation), f"seed {seed}")

    def test_one_entry_keeps_to_the_limit_that_an_engine_names(self):
        self.check(1, 1.0)

    def test_18_entries_together_keep_to_the_limit_that_an_engine_names(self):
        self.check(18, 1.0)

    def test_350_entries_together_keep_to_the_limit_that_an_engine_names(self):
        self.check(350, 1.0)

    def test_entries_keep_to_the_limits_when_every_engine_names_one(self):
        self.check(18, 2.5, engine_count=10)
