"""Checks that entries send nothing new to engines whose answers say that they leave."""

import testtools

from standins import (
    backoff_simulation_test,
    engine_backoff_test,
    load_profiles,
    platform_programs_test,
)

LEAVES_IN_S = 5.0  # after the first answer that says so; two of them are allowed


def list_violations(simulation):
    """Return the last violation at each engine."""
    return [v for engine in simulation.engines for v in engine.leaving.violations[-1:]]


class LeavingSimulationTest(testtools.TestCase):
    def simulate(self, entries, *departures, **options):
        simulation = backoff_simulation_test.simulate(
            entries, (), departures=departures, **options
        )
        self.assertEqual([], list_violations(simulation))
        return simulation

    def test_entries_send_nothing_new_to_engines_that_say_that_they_leave(self):
        for entries in (1, 18):
            departure = load_profiles.EngineDeparture(3.0, (0, 1, 2), LEAVES_IN_S)
            simulation = self.simulate(entries, departure, rate_per_s=50.0)
            self.assertGreater(simulation.outcome.served_ratio, 0.99)

    def test_350_entries_send_nothing_new_to_an_engine_that_says_that_it_leaves(self):
        departure = load_profiles.EngineDeparture(3.0, (0,), LEAVES_IN_S)
        self.simulate(350, departure)

    def test_streams_at_an_engine_that_says_that_it_leaves_end_in_peace(self):
        departure = load_profiles.EngineDeparture(3.0, (0,), LEAVES_IN_S)
        simulation = self.simulate(1, departure, rate_per_s=20.0)
        self.assertEqual(0, simulation.outcome.refused)
        self.assertEqual(0, simulation.outcome.abandoned)


class LeavingProgramsTest(engine_backoff_test.BackoffTestCase):
    engine_count = 2

    def test_a_ready_engine_gets_nothing_new_once_its_answers_say_that_it_leaves(self):
        self.engines[0].is_leaving = True
        answers = platform_programs_test.run(self.send_steadily(3.5))
        self.assertEqual([], self.engines[0].leaving.violations[-1:])
        self.assertEqual({200}, {answer.status for answer in answers})
