"""Checks that entries leave engines alone for as long as those ask them to."""

import testtools

from standins import load_profiles, load_simulation

SEEDS = (1, 2)
ENGINE_COUNT = 10
ALL_ENGINES = tuple(range(ENGINE_COUNT))


def simulate(entries, rejections, rate_per_s=70.0, duration_s=12.0, seed=1, **options):
    """Return a simulation that has run."""
    profile = load_profiles.LoadProfile(
        "backoffs",
        ((0.0, rate_per_s),),
        ((0.0, ENGINE_COUNT),),
        duration_s,
        entries=entries,
        rejections=rejections,
        **options,
    )
    simulation = load_simulation.LoadSimulation(profile, seed)
    simulation.run()
    return simulation


def list_violations(simulation):
    """Return the last violation at each engine."""
    return [v for engine in simulation.engines for v in engine.backoff.violations[-1:]]


class BackoffSimulationTest(testtools.TestCase):
    def check(self, entries, *rejections, rate_per_s=70.0):
        for seed in SEEDS:
            simulation = simulate(entries, rejections, rate_per_s, seed=seed)
            self.assertEqual([], list_violations(simulation), f"seed {seed}")

    def test_one_entry_leaves_alone_an_engine_that_asks_for_it(self):
        self.check(1, load_profiles.RejectionPeriod(3.0, (0, 1), 0.3, 4.0))

    def test_18_entries_leave_alone_engines_that_ask_for_it(self):
        period = load_profiles.RejectionPeriod(3.0, (0, 1, 2), 1.0, 5.0)
        self.check(18, period, rate_per_s=90.0)

    def test_entries_leave_all_engines_alone_if_all_ask_for_it(self):
        self.check(18, load_profiles.RejectionPeriod(3.0, ALL_ENGINES, 1.0, 3.0))

    def check_slow_links(self, delayed_engines):
        periods = (
            load_profiles.RejectionPeriod(3.0, (0, 1, 2), 0.5, 3.0),
            load_profiles.RejectionPeriod(7.0, (0, 1, 2), 0.5, 3.0),
        )
        for entries in (1, 2, 18):
            simulation = simulate(
                entries,
                periods,
                engine_link_delay_s=1.0,
                delayed_engine_numbers=delayed_engines,
            )
            self.assertEqual([], list_violations(simulation), f"{entries} entries")

    def test_few_requests_are_on_their_way_to_an_engine_with_a_slow_link(self):
        self.check_slow_links((0, 1, 2))

    def test_few_requests_are_on_their_way_if_the_links_of_all_engines_are_slow(self):
        self.check_slow_links(ALL_ENGINES)

    def test_a_shorter_time_named_later_does_not_end_a_longer_one(self):
        self.check(
            1,
            load_profiles.RejectionPeriod(3.0, (0,), 0.2, 4.0),
            load_profiles.RejectionPeriod(3.21, (0,), 0.3, 1.0),
        )
