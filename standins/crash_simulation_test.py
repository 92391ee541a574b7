"""Checks that a part of prompts on which engines crash is kept from the engines."""

import dataclasses

import testtools

from standins import load_profiles, load_simulation
from toucanspread.core.entry import data as entry_data

SEEDS = (1, 2)
FLAPPING_SEEDS = (1, 2, 3, 4)
RESTART_SEEDS = (1, 2, 3, 4, 5, 6)
RESTART_S = 6.0
ENDED_S = 18.0  # no more requests with the crashing part come
REGAINED_S = 22.0
PART = entry_data.PromptPartId("c")
RATE_PER_S = 6.0  # requests with the crashing part
FROM_S = 3.0


def make_part(place=load_profiles.PartPlace.MIDDLE, **options):
    """Return a crashing part with the usual rate."""
    return load_profiles.CrashingPart(PART, place, RATE_PER_S, FROM_S, **options)


def simulate(entries, crashing, seed=1, duration_s=15.0):
    """Return a simulation that has run."""
    profile = load_profiles.LoadProfile(
        "crash",
        ((0.0, 70.0),),
        ((0.0, 10),),
        duration_s,
        entries=entries,
        crashing_parts=(crashing,),
    )
    simulation = load_simulation.LoadSimulation(profile, seed)
    simulation.run()
    return simulation


def list_violations(entries, crashing):
    """Return how the rules were broken with any of the seeds."""
    return [
        f"seed {seed}: {violation}"
        for seed in SEEDS
        for violation in simulate(entries, crashing, seed).crash_check.list_violations()
    ]


class CrashSimulationTest(testtools.TestCase):
    def check(self, entries, crashing):
        self.assertEqual([], list_violations(entries, crashing))

    def test_one_entry_stops_sending_a_part_that_crashes_engines(self):
        self.check(1, make_part())

    def test_18_entries_stop_sending_a_part_that_crashes_engines(self):
        self.check(18, make_part())

    def test_350_entries_stop_sending_a_part_that_crashes_engines(self):
        self.check(350, make_part())

    def test_a_first_part_that_crashes_engines_is_not_sent(self):
        self.check(18, make_part(load_profiles.PartPlace.FIRST))

    def test_a_last_shared_part_that_crashes_engines_is_not_sent(self):
        self.check(18, make_part(load_profiles.PartPlace.LAST))

    def test_the_other_requests_of_the_only_caller_of_a_crashing_part_are_served(self):
        self.check(18, make_part(is_of_one_caller=True))


class RepeatedRequestTest(testtools.TestCase):
    def check(self, entries, rate_per_s=RATE_PER_S):
        crashing = load_profiles.CrashingPart(PART, None, rate_per_s, FROM_S)
        self.assertEqual([], list_violations(entries, crashing))

    def test_one_entry_stops_sending_a_request_that_crashes_engines_again(self):
        self.check(1)

    def test_18_entries_stop_sending_a_request_that_crashes_engines_again(self):
        self.check(18)

    def test_350_entries_stop_sending_a_request_that_crashes_engines_again(self):
        self.check(350)

    def test_a_request_that_crashes_engines_is_not_sent_when_it_comes_seldom(self):
        self.check(18, rate_per_s=0.7)


class CallersTest(testtools.TestCase):
    def check_waits(self, entries):
        waits = []
        for seed in SEEDS:
            simulation = simulate(entries, make_part(), seed)
            self.assertGreaterEqual(simulation.crash_check.count_crashes(PART), 3)
            waits += simulation.caller_check.list_waits()
        self.assertEqual([], waits)

    def check_resumed(self, entries):
        unresumed = []
        for seed in SEEDS:
            simulation = simulate(entries, make_part(), seed)
            self.assertGreater(len(simulation.caller_check.breaks), 0)
            unresumed += simulation.caller_check.list_unresumed()
        self.assertEqual([], unresumed)

    def test_callers_of_a_crashing_part_do_not_wait_at_one_entry(self):
        self.check_waits(1)

    def test_callers_of_a_crashing_part_do_not_wait_at_18_entries(self):
        self.check_waits(18)

    def test_callers_of_a_crashing_part_do_not_wait_at_350_entries(self):
        self.check_waits(350)

    def test_sound_requests_at_crashed_engines_are_resumed_by_one_entry(self):
        self.check_resumed(1)

    def test_sound_requests_at_crashed_engines_are_resumed_by_18_entries(self):
        self.check_resumed(18)

    def test_sound_requests_at_crashed_engines_are_resumed_by_350_entries(self):
        self.check_resumed(350)


class FlappingTest(testtools.TestCase):
    def check(self, entries):
        refused = []
        for seed in FLAPPING_SEEDS:
            profile = dataclasses.replace(
                load_profiles.FLAPPING_PROFILE, entries=entries
            )
            simulation = load_simulation.LoadSimulation(profile, seed)
            simulation.run()
            self.assertGreater(len(simulation.caller_check.breaks), 100)
            refused += [
                f"seed {seed}: {violation}"
                for violation in simulation.caller_check.list_refused_parts()
            ]
        self.assertEqual([], refused)

    def test_flapping_engines_make_one_entry_refuse_no_sound_part(self):
        self.check(1)

    def test_flapping_engines_make_18_entries_refuse_no_sound_part(self):
        self.check(18)

    def test_flapping_engines_make_350_entries_refuse_no_sound_part(self):
        self.check(350)


class RestartTest(testtools.TestCase):
    def check(self, entries):
        violations = []
        for seed in RESTART_SEEDS:
            simulation = self.simulate(entries, seed)
            violations += [
                f"seed {seed}: {violation}"
                for violation in [
                    *simulation.crash_check.list_violations(),
                    *simulation.caller_check.list_refused_parts(REGAINED_S),
                    *simulation.caller_check.list_kept_out(FROM_S, REGAINED_S),
                ]
            ]
        self.assertEqual([], violations)

    def simulate(self, entries, seed):
        """Return a simulation in which all entries are restarted at once."""
        part = make_part(
            load_profiles.PartPlace.FIRST,
            until_s=ENDED_S,
            other_parts=load_profiles.OtherParts.SAME,
        )
        profile = load_profiles.LoadProfile(
            "restart",
            ((0.0, 40.0),),
            ((0.0, 10),),
            26.0,
            entries=entries,
            crashing_parts=(part,),
        )
        simulation = load_simulation.LoadSimulation(profile, seed)
        for entry in simulation.entries:
            simulation.clock.callLater(RESTART_S, simulation.restart_entry, entry)
        simulation.run()
        return simulation

    def test_a_restart_of_the_only_entry_keeps_no_sound_part_out_for_long(self):
        self.check(1)

    def test_a_restart_of_both_entries_keeps_no_sound_part_out_for_long(self):
        self.check(2)

    def test_a_restart_of_18_entries_keeps_no_sound_part_out_for_long(self):
        self.check(18)


class CrashTest(testtools.TestCase):
    def test_engines_are_used_again_after_the_last_crash(self):
        simulation = simulate(18, make_part(until_s=3.5))
        self.assertGreater(simulation.crash_check.count_crashes(PART), 0)
        for engine in simulation.engines:
            rate_per_s = engine.limit.count_arrivals(10.0, 15.0) / 5.0
            self.assertGreater(rate_per_s, 0.5 * 70.0 / 10)

    def test_crashed_engines_accept_nothing_and_come_back_as_new_ones(self):
        simulation = load_simulation.LoadSimulation(
            load_profiles.LoadProfile("none", ((0.0, 70.0),), ((0.0, 1),), 10.0), 1
        )
        engine = simulation.engines[0]
        simulation.clock.callLater(4.0, engine.begin_answer, PART)
        simulation.run()
        self.assertEqual(1, simulation.crash_check.count_crashes(PART))
        self.assertEqual(0, engine.limit.count_arrivals(4.11, 7.012))
        self.assertGreater(engine.limit.count_arrivals(7.2, 10.0), 0)
        self.assertAlmostEqual(7_000, engine.entry.born_ms, delta=111)

    def test_engines_crash_before_and_after_the_first_event_of_an_answer(self):
        simulation = simulate(18, make_part(until_s=3.5))
        breaks = [
            broken.has_begun
            for broken in simulation.caller_check.breaks
            if broken.prompt.crashing_part is not None and broken.runs == 1
        ]
        self.assertIn(True, breaks)
        self.assertIn(False, breaks)

    def test_requests_that_crash_engines_are_not_counted_with_the_others(self):
        simulation = simulate(18, make_part(until_s=3.5), duration_s=4.0)
        totals = simulation.outcome
        outcomes = totals.on_time + totals.late + totals.refused + totals.abandoned
        self.assertEqual(totals.request_count, outcomes)
        self.assertEqual(0, simulation.crashing_outcome.on_time)
