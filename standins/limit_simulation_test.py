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

    def test_a_limit_is_used_while_callers_ask_for_more(self):
        limits = (load_profiles.LimitChange(3.0, 10, 2.5),)
        simulation = simulate(18, limits)
        for engine in simulation.engines:
            rate_per_s = engine.limit.count_arrivals(5.0, 14.0) / 9.0
            self.assertGreater(rate_per_s, 0.8 * 2.5)

    def test_callers_are_served_while_the_limits_suffice_for_them(self):
        limits = (load_profiles.LimitChange(3.0, 10, 2.5),)
        simulation = simulate(18, limits, rate_per_s=20.0)
        self.assertGreater(simulation.outcome.served_ratio, 0.99)

    def test_engines_are_used_as_before_once_they_name_no_limit(self):
        limits = (
            load_profiles.LimitChange(3.0, 10, 1.0),
            load_profiles.LimitChange(6.0, 10, None),
        )
        simulation = simulate(18, limits, duration_s=20.0)
        for engine in simulation.engines:
            rate_per_s = engine.limit.count_arrivals(12.0, 20.0) / 8.0
            self.assertGreater(rate_per_s, 0.5 * 70.0 / 10)

    def test_an_engine_with_a_limit_is_not_flooded_after_a_pause(self):
        profile = load_profiles.LoadProfile(
            "pause",
            ((0.0, 70.0), (3.0, 0.2), (8.0, 200.0)),
            ((0.0, 1),),
            12.0,
            entries=60,
            limits=(load_profiles.LimitChange(1.0, 1, 1.0),),
        )
        simulation = load_simulation.LoadSimulation(profile, seed=1)
        simulation.run()
        # Including the requests of entries that know of the limit from others only.
        received = simulation.engines[0].limit.count_arrivals(8.0, 12.0)
        self.assertLessEqual(received, 11)
        self.assertGreaterEqual(received, 3)
