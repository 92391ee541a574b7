"""Checks that requests don't begin on weights that are older than they may be."""

import testtools

from standins import load_profiles, load_simulation

SEEDS = (1, 2, 3)
WITHIN_S = 4.0
NAMED_S = 3.0
DURATION_S = 12.0


NAMED = load_profiles.VersionChange(NAMED_S, WITHIN_S)


# Two pieces of weights on the users' links of sidecars take 0.167 s (49,152 bytes each,
# 4.7 Mbit/s); half as much again for what else is on the way.
LINK_DELAY_S = 0.25


def simulate(
    entries,
    rate_per_s,
    switch_times_s,
    seed,
    version_change=NAMED,
    link_delay_s=0.0,
):
    """Return a simulation that has run."""
    profile = load_profiles.LoadProfile(
        "version",
        ((0.0, rate_per_s),),
        ((0.0, 7),),
        DURATION_S,
        switch_times_s=switch_times_s,
        entries=entries,
        version_change=version_change,
        engine_link_delay_s=link_delay_s,
    )
    simulation = load_simulation.LoadSimulation(profile, seed)
    simulation.run()
    return simulation


class VersionSimulationTest(testtools.TestCase):
    def check(self, entries, rate_per_s, switch_times_s, link_delay_s=0.0):
        violations = []
        for seed in SEEDS:
            simulation = simulate(
                entries, rate_per_s, switch_times_s, seed, link_delay_s=link_delay_s
            )
            violations += [
                f"seed {seed}: {violation}"
                for violation in simulation.version_check.violations
            ]
        self.assertEqual([], violations)

    def test_one_entrys_requests_do_not_wait_until_their_engines_weights_are_too_old(
        self,
    ):
        self.check(1, 82.0, (9.0,))

    def test_requests_do_not_wait_at_engines_until_their_weights_are_too_old(self):
        self.check(18, 82.0, (9.0,))

    def test_requests_of_350_entries_do_not_wait_until_weights_are_too_old(self):
        self.check(350, 82.0, (9.0,))

    def test_requests_do_not_begin_on_the_old_weights_of_engines_that_are_late(self):
        self.check(18, 70.0, (5.0, 6.0, 8.5))

    def test_requests_do_not_begin_late_if_withdrawals_queue_behind_pieces(self):
        self.check(18, 70.0, (5.0, 6.0, 8.5), LINK_DELAY_S)

    def test_requests_of_350_entries_do_not_begin_late_if_withdrawals_queue(self):
        self.check(350, 82.0, (9.0,), LINK_DELAY_S)

    def test_the_time_for_a_version_costs_no_requests_if_engines_switch_before(self):
        switch_times_s = (4.0, 4.9, 5.8)
        for seed in SEEDS:
            named = simulate(18, 42.0, switch_times_s, seed)
            without = simulate(18, 42.0, switch_times_s, seed, version_change=None)
            self.assertEqual(without.outcome.served_ratio, named.outcome.served_ratio)

    def test_engines_are_used_until_shortly_before_their_weights_are_too_old(self):
        simulation = simulate(18, 42.0, (9.0,), seed=1)
        due_s = NAMED_S + WITHIN_S
        counts = [
            engine.limit.count_arrivals(due_s - 1.0, due_s - 0.5)
            for engine in simulation.engines
        ]
        self.assertGreater(sum(counts), 0.5 * 42.0 * 0.5)


CROWDED_RATES_PER_S = ((0.0, 60.0), (2.2, 110.0))
HELD_NAMED = load_profiles.VersionChange(1.0, 3.0)
NARROWED_LINK = load_profiles.LinkProfile(((0.0, 4.7), (2.0, 1.2), (9.0, 4.7)))
NORMAL_LINK = load_profiles.LinkProfile(((0.0, 4.7),))
LONG_LINK_DELAY_S = 0.5


def simulate_held(entries, seed, link=None, link_delay_s=0.0):
    """Return a simulation that has run, in which bytes to engines are held."""
    profile = load_profiles.LoadProfile(
        "held",
        CROWDED_RATES_PER_S,
        ((0.0, 7),),
        4.6,
        switch_times_s=(9.0,),
        entries=entries,
        version_change=HELD_NAMED,
        engine_link_delay_s=link_delay_s,
        engine_link=link,
    )
    simulation = load_simulation.LoadSimulation(profile, seed)
    simulation.run()
    return simulation


class HeldBytesTest(testtools.TestCase):
    def check(self, entries, link=None, link_delay_s=0.0):
        violations = []
        for seed in SEEDS:
            simulation = simulate_held(entries, seed, link, link_delay_s)
            violations += [
                f"seed {seed}: {violation}"
                for violation in simulation.version_check.violations
            ]
        self.assertEqual([], violations)

    def test_pieces_on_links_of_the_usual_rate_make_no_request_begin_late(self):
        self.check(18, NORMAL_LINK)

    def test_one_entrys_requests_do_not_begin_late_behind_pieces_on_narrow_links(self):
        self.check(1, NARROWED_LINK)

    def test_requests_of_18_entries_do_not_begin_late_behind_pieces_on_narrow_links(
        self,
    ):
        self.check(18, NARROWED_LINK)

    def test_requests_of_62_entries_do_not_begin_late_behind_pieces_on_narrow_links(
        self,
    ):
        self.check(62, NARROWED_LINK)

    def test_requests_of_350_entries_do_not_begin_late_behind_pieces_on_narrow_links(
        self,
    ):
        self.check(350, NARROWED_LINK)

    def test_one_entrys_requests_do_not_begin_late_if_all_bytes_are_held(self):
        self.check(1, link_delay_s=LONG_LINK_DELAY_S)

    def test_requests_of_18_entries_do_not_begin_late_if_all_bytes_are_held(self):
        self.check(18, link_delay_s=LONG_LINK_DELAY_S)

    def test_requests_of_62_entries_do_not_begin_late_if_all_bytes_are_held(self):
        self.check(62, link_delay_s=LONG_LINK_DELAY_S)

    def test_requests_of_350_entries_do_not_begin_late_if_all_bytes_are_held(self):
        self.check(350, link_delay_s=LONG_LINK_DELAY_S)
