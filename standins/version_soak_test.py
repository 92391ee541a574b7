"""Random freezes of engines across the time of a version, in virtual time.

Run more seeds by hand with ``SOAK_SEEDS=60 pytest standins/version_soak_test.py``, or
one seed with ``SOAK_FIRST_SEED=7 SOAK_SEEDS=1``.
"""

import random

import testtools

from standins import (
    load_profiles,
    load_simulation,
    silence_soak_test,
    soak_seeds,
)

CI_SEED_COUNT = 5
WITHIN_S = (4.0, 8.0)
LEARNED_WITHIN_S = (0.0, 0.3, 1.0)
ENTRY_COUNTS = (1, 18, 62)
ENGINE_RATES_PER_S = (2.5, 4.5, 6.0, 7.2, 9.0)  # requests, for each engine
RETRY_ALLOWANCES = (load_profiles.RETRY_ALLOWANCE, 20, 0)
LINK_DELAYS_S = (0.0, 0.0, 0.1, 0.25)
ENTRY_TTL_S = 3.6  # three intervals at which engines write their entries
MAX_FROZEN_BEFORE_S = 5.0  # the time of a version
MAX_FROZEN_AFTER_S = 1.5
MAX_FROZEN_RATIO = 0.4  # of the engines
FREEZE_COUNT = 3


def draw_profile(seed):
    """Return a load in which engines stand still across the time of a version."""
    draw = random.Random(seed)
    engine_count = draw.randint(4, 14)
    rate_per_s = draw.choice(ENGINE_RATES_PER_S) * engine_count
    change = load_profiles.VersionChange(
        draw.uniform(1.5, 3.0), draw.choice(WITHIN_S), draw.choice(LEARNED_WITHIN_S)
    )
    due_s = change.at_s + change.within_s
    switches_s = sorted(
        draw.uniform(due_s - 4.0, due_s + 1.0) for _ in range(draw.randint(1, 6))
    )
    crashes = silence_soak_test.draw_freezes(draw, engine_count)
    return load_profiles.LoadProfile(
        "version soak",
        ((0.0, rate_per_s),),
        ((0.0, engine_count),),
        due_s + 3.0,
        tuple(switches_s),
        entries=draw.choice(ENTRY_COUNTS),
        version_change=change,
        engine_link_delay_s=draw.choice(LINK_DELAYS_S),
        engine_freezes=draw_freezes(draw, engine_count, due_s),
        silent_sidecars=silence_soak_test.draw_freezes(draw, engine_count),
        engine_crashes=tuple(
            load_profiles.EngineCrashes(*silence_soak_test.list_fields(crash))
            for crash in crashes
        ),
        loss_ratio=draw.choice(silence_soak_test.LOSS_RATIOS),
        entry_ttl_s=ENTRY_TTL_S,
        retry_allowance=draw.choice(RETRY_ALLOWANCES),
    )


def draw_freezes(draw, engine_count, due_s):
    """Return freezes of some engines, of which each ends about a time."""
    count = max(round(MAX_FROZEN_RATIO * engine_count), 1)
    chosen = draw.sample(range(engine_count), count)
    freezes = []
    for number in range(FREEZE_COUNT):
        frozen_s = due_s - draw.uniform(0.2, MAX_FROZEN_BEFORE_S)
        back_s = due_s + draw.uniform(-0.5, MAX_FROZEN_AFTER_S)
        numbers = tuple(chosen[number::FREEZE_COUNT])
        duration_s = max(back_s - frozen_s, 0.1)
        freezes.append(load_profiles.EngineFreeze(frozen_s, numbers, duration_s))
    return tuple(freezes)


def list_violations(simulation):
    """Return how a simulation that has run broke a rule, for engines or callers."""
    return [
        *simulation.version_check.violations,
        *simulation.caller_check.list_unresumed(),
        *simulation.leave_check.list_violations(),
    ]


def run_seed(seed):
    profile = draw_profile(seed)
    simulation = load_simulation.LoadSimulation(profile, seed)
    simulation.run()
    return soak_seeds.SoakResult(profile, list_violations(simulation))


class VersionSoakTest(testtools.TestCase):
    def test_engines_that_stood_still_begin_nothing_on_weights_that_are_too_old(self):
        self.assertEqual([], soak_seeds.list_violations(run_seed, CI_SEED_COUNT))
