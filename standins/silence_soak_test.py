"""Random freezes of engines and sidecars beside switches and crashes, in virtual time.

Run more seeds by hand with ``SOAK_SEEDS=60 pytest standins/silence_soak_test.py``, or
one seed with ``SOAK_FIRST_SEED=7 SOAK_SEEDS=1``.
"""

import random

import testtools

from standins import load_profiles, load_simulation, soak_seeds

CI_SEED_COUNT = 8
DURATION_S = 14.0
FAULTS_FROM_S = 2.0
FAULTS_UNTIL_S = 11.0
MAX_FAULT_S = 5.0
MAX_FAULT_COUNT = 4
MAX_FAULTY_RATIO = 0.25  # of the engines, by one fault
ENTRY_COUNTS = (1, 2, 7, 18, 60)
ENGINE_RATES_PER_S = (2.5, 4.5, 6.0, 7.2)  # requests, for each engine
LOSS_RATIOS = (0.0, 0.0, 0.01, 0.05)


def draw_profile(seed):
    """Return a load with faults that overlap."""
    draw = random.Random(seed)
    engine_count = draw.randint(5, 14)
    rate_per_s = draw.choice(ENGINE_RATES_PER_S) * engine_count
    switches_s = sorted(draw.uniform(2.0, 6.0) for _ in range(draw.randint(0, 6)))
    return load_profiles.LoadProfile(
        "silence soak",
        ((0.0, rate_per_s),),
        ((0.0, engine_count),),
        DURATION_S,
        tuple(switches_s),
        entries=draw.choice(ENTRY_COUNTS),
        engine_freezes=draw_freezes(draw, engine_count),
        silent_sidecars=draw_freezes(draw, engine_count),
        engine_crashes=tuple(
            load_profiles.EngineCrashes(*freeze)
            for freeze in map(list_fields, draw_freezes(draw, engine_count))
        ),
        loss_ratio=draw.choice(LOSS_RATIOS),
    )


def list_fields(freeze):
    return freeze.at_s, freeze.engine_numbers, freeze.duration_s


def draw_freezes(draw, engine_count):
    """Return up to some freezes, of different engines each."""
    numbers = list(range(engine_count))
    draw.shuffle(numbers)
    freezes = []
    for _ in range(draw.randint(0, MAX_FAULT_COUNT)):
        count = draw.randint(1, max(round(MAX_FAULTY_RATIO * engine_count), 1))
        chosen, numbers = numbers[:count], numbers[count:]
        freezes.append(
            load_profiles.EngineFreeze(
                draw.uniform(FAULTS_FROM_S, FAULTS_UNTIL_S),
                tuple(chosen),
                draw.uniform(0.3, MAX_FAULT_S),
            )
        )
    return tuple(freezes)


def run_seed(seed):
    profile = draw_profile(seed)
    simulation = load_simulation.LoadSimulation(profile, seed)
    simulation.run()
    return soak_seeds.SoakResult(profile, simulation.leave_check.list_violations())


class SilenceSoakTest(testtools.TestCase):
    def test_engines_do_not_go_on_for_callers_that_left_through_other_faults(self):
        self.assertEqual([], soak_seeds.list_violations(run_seed, CI_SEED_COUNT))
