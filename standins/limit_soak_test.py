"""Random limits, faults and changes of the membership, in virtual time.

Run more seeds by hand with ``SOAK_SEEDS=60 pytest standins/limit_soak_test.py``.
"""

import random

import testtools

from standins import (
    load_faults,
    load_profiles,
    load_simulation,
    simulated_cluster,
    soak_seeds,
)

CI_SEED_COUNT = 4
DURATION_S = 20.0
MAX_FAULT_GAP_S = 1.5
MAX_FAULT_S = 6.0
LIMITS_PER_S = (0.0, 0.2, 1.0, 1.0, 2.5, 7.5, 20.0)
PLAN = load_faults.FaultPlan(
    ("limit", "limit", "restart", "cut", "leave", "join", "crash"),
    1.0,
    DURATION_S,
    MAX_FAULT_GAP_S,
)


class Soak(load_faults.LoadFaults):
    """A load on entries and engines that name limits, with faults that overlap."""

    def __init__(self, seed: int):
        self._random = random.Random(seed)
        entry_count = self._random.choice([1, 2, 7, 18, 60, 350])
        engine_count = self._random.randint(2, 12)
        profile = load_profiles.LoadProfile(
            "soak",
            ((0.0, self._random.choice([10.0, 40.0, 90.0])),),
            ((0.0, engine_count),),
            DURATION_S,
            entries=entry_count,
        )
        simulation = load_simulation.LoadSimulation(profile, seed)
        super().__init__(self._random, simulation, PLAN)
        self.faults.append(f"{entry_count} entries, {engine_count} engines")

    def _begin_limit(self) -> None:
        engines = self.simulation.engines
        count = self._random.choice([1, 1, 2, len(engines)])
        limit_per_s = self._random.choice(LIMITS_PER_S)
        for engine in self._random.sample(engines, min(count, len(engines))):
            engine.limit.change(self.simulation.clock.seconds(), limit_per_s)
            self.simulation.clock.callLater(
                self._random.uniform(2.0, 14.0), self._end_limit, engine, limit_per_s
            )

    def _end_limit(self, engine, limit_per_s: float) -> None:
        if engine.limit.limit_per_s == limit_per_s:
            engine.limit.change(self.simulation.clock.seconds(), None)

    def _begin_cut(self) -> None:
        entry = self._choose_entry()
        entry.is_cut = True
        for engine in self.simulation.engines:
            engine.limit.excuse(entry)
        self.simulation.clock.callLater(
            self._random.uniform(0.3, MAX_FAULT_S), self._end_cut, entry
        )

    def _end_cut(self, entry: simulated_cluster.SimulatedEntry) -> None:
        entry.is_cut = False
        for engine in self.simulation.engines:
            engine.limit.excuse(entry)

    def _begin_crash(self) -> None:
        engine = self._random.choice(self.simulation.engines)
        if not engine.is_running:
            return
        engine.stop()
        engine.limit.change(self.simulation.clock.seconds(), None)
        self.simulation.clock.callLater(
            self._random.uniform(0.3, MAX_FAULT_S), engine.start
        )


def run_seed(seed):
    soak = Soak(seed)
    soak.run()
    violations = [
        f"{engine.engine_id}: {violation}"
        for engine in soak.simulation.engines
        for violation in engine.limit.violations[:1]
    ]
    return soak_seeds.SoakResult(soak.faults, violations)


class LimitSoakTest(testtools.TestCase):
    def test_entries_keep_to_limits_through_overlapping_faults(self):
        self.assertEqual([], soak_seeds.list_violations(run_seed, CI_SEED_COUNT))
