"""Random backoffs, departures, limits, faults and changes of the membership.

Run more seeds by hand with ``SOAK_SEEDS=60 pytest standins/backoff_soak_test.py``.
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
MAX_FAULT_GAP_S = 1.0
MAX_CUT_S = 6.0
BACKOFFS_S = (0.7, 1.0, 2.0, 3.5, 6.0)
PLAN = load_faults.FaultPlan(
    ("backoff", "backoff", "backoff", "departure", "limit")
    + ("restart", "cut", "leave", "join", "crash"),
    1.0,
    DURATION_S,
    MAX_FAULT_GAP_S,
)


class Soak(load_faults.LoadFaults):
    """A load on engines that ask for backoffs and leave, with faults that overlap."""

    def __init__(self, seed: int):
        self._random = random.Random(seed)
        entry_count = self._random.choice([1, 2, 7, 18, 60, 350])
        engine_count = self._random.randint(2, 12)
        delayed = self._random.randint(0, engine_count // 2)
        profile = load_profiles.LoadProfile(
            "soak",
            ((0.0, self._random.choice([10.0, 40.0, 90.0])),),
            ((0.0, engine_count),),
            DURATION_S,
            entries=entry_count,
            engine_link_delay_s=self._random.choice([0.0, 0.3, 0.45]),
            delayed_engine_numbers=tuple(range(delayed)),
        )
        simulation = load_simulation.LoadSimulation(profile, seed)
        super().__init__(self._random, simulation, PLAN)
        self.faults.append(f"{entry_count} entries, {engine_count} engines")

    def list_violations(self) -> list[str]:
        """Return the first violations at each engine."""
        return [
            f"{engine.engine_id}: {violation}"
            for engine in self.simulation.engines
            for violation in engine.backoff.violations[:1]
            + engine.leaving.violations[:1]
        ]

    def _begin_backoff(self) -> None:
        engines = self.simulation.engines
        count = self._random.choice([1, 1, 2, len(engines)])
        for engine in self._random.sample(engines, min(count, len(engines))):
            engine.reject(
                self._random.uniform(0.05, 1.5), self._random.choice(BACKOFFS_S)
            )

    def _begin_departure(self) -> None:
        engine = self._random.choice(self.simulation.engines)
        if not engine.is_running or engine.is_leaving:
            return
        leaves_in_s = self._random.uniform(2.0, 8.0)
        engine.leave(leaves_in_s)
        self.simulation.clock.callLater(
            leaves_in_s + self._random.uniform(0.3, 3.0), self._start, engine
        )

    def _start(self, engine: simulated_cluster.SimulatedEngine) -> None:
        if not engine.is_running:
            engine.start_anew()

    def _begin_limit(self) -> None:
        engine = self._random.choice(self.simulation.engines)
        engine.limit.change(self.simulation.clock.seconds(), 2.5)
        self.simulation.clock.callLater(
            self._random.uniform(2.0, 8.0), self._end_limit, engine
        )

    def _end_limit(self, engine: simulated_cluster.SimulatedEngine) -> None:
        engine.limit.change(self.simulation.clock.seconds(), None)

    def _begin_cut(self) -> None:
        entry = self._choose_entry()
        entry.is_cut = True
        self.simulation.clock.callLater(
            self._random.uniform(0.3, MAX_CUT_S), self._end_cut, entry
        )

    def _end_cut(self, entry: simulated_cluster.SimulatedEntry) -> None:
        entry.is_cut = False

    def _begin_crash(self) -> None:
        self._random.choice(self.simulation.engines).crash()


def run_seed(seed):
    soak = Soak(seed)
    soak.run()
    return soak_seeds.SoakResult(soak.faults, soak.list_violations())


class BackoffSoakTest(testtools.TestCase):
    def test_entries_obey_what_engines_say_through_overlapping_faults(self):
        self.assertEqual([], soak_seeds.list_violations(run_seed, CI_SEED_COUNT))
