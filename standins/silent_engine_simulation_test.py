"""Checks what becomes of requests at engines that stand still."""

import testtools

from standins import leave_check, load_profiles, load_simulation

SEEDS = (1, 2, 3)
FROZEN_S = 5.2
FREEZE_DURATION_S = 4.5
HEARD_UNTIL_S = FROZEN_S + 1.6  # the longest time between two load reports
# Engines switch until shortly before, which uses up the retries of some entries.
SWITCH_TIMES_S = (3.0, 3.4, 3.8, 4.2, 4.6, 5.0)
SILENT_SIDECARS = tuple(range(0, 14, 2)) + (1,)


def simulate(entries, seed, rate_per_s=100.0, **options):
    """Return a simulation of 14 engines that has run."""
    profile = load_profiles.LoadProfile(
        "silence", ((0.0, rate_per_s),), ((0.0, 14),), 12.0, entries=entries, **options
    )
    simulation = load_simulation.LoadSimulation(profile, seed)
    simulation.run()
    return simulation


class StandingStillTest(testtools.TestCase):
    def check_leaving(self, entries, engine_numbers):
        violations = []
        for simulation in self.simulate_freezes(entries, engine_numbers):
            violations += [
                f"seed {simulation.seed}: {violation}"
                for violation in simulation.leave_check.list_violations()
            ]
        self.assertEqual([], violations)

    def check_dispatches(self, entries, engine_numbers):
        counts = [
            simulation.leave_check.count_dispatches(
                f"e{number}", HEARD_UNTIL_S, FROZEN_S + FREEZE_DURATION_S
            )
            for simulation in self.simulate_freezes(entries, engine_numbers)
            for number in engine_numbers
        ]
        self.assertLessEqual(max(counts), leave_check.ALLOWED_COUNT)

    def simulate_freezes(self, entries, engine_numbers):
        freeze = load_profiles.EngineFreeze(FROZEN_S, engine_numbers, FREEZE_DURATION_S)
        return [
            simulate(
                entries, seed, switch_times_s=SWITCH_TIMES_S, engine_freezes=(freeze,)
            )
            for seed in SEEDS
        ]

    def test_callers_of_18_entries_do_not_leave_requests_at_an_engine_that_is_frozen(
        self,
    ):
        self.check_leaving(18, (1,))

    def test_callers_of_18_entries_do_not_leave_requests_at_two_engines_that_are_frozen(
        self,
    ):
        self.check_leaving(18, (1, 4))

    def test_callers_of_62_entries_do_not_leave_requests_at_an_engine_that_is_frozen(
        self,
    ):
        self.check_leaving(62, (1,))

    def test_18_entries_send_nothing_to_a_silent_engine_while_others_serve(self):
        self.check_dispatches(18, (1,))

    def test_62_entries_send_nothing_to_a_silent_engine_while_others_serve(self):
        self.check_dispatches(62, (1, 4))


class SilentSidecarTest(testtools.TestCase):
    def check(self, entries):
        silence = load_profiles.EngineFreeze(4.0, SILENT_SIDECARS, 4.0)
        for seed in SEEDS:
            usual = simulate(entries, seed)
            silent = simulate(entries, seed, silent_sidecars=(silence,))
            self.assertGreaterEqual(
                silent.outcome.served_ratio, 0.99 * usual.outcome.served_ratio
            )
            self.assertGreaterEqual(
                silent.outcome.on_time_ratio, 0.9 * usual.outcome.on_time_ratio
            )

    def test_engines_whose_sidecars_are_silent_serve_as_before(self):
        self.check(18)

    def test_engines_whose_sidecars_are_silent_serve_62_entries_as_before(self):
        self.check(62)
