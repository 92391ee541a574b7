"""Random limits, faults and changes of the membership, in virtual time.

Run more seeds by hand with ``SOAK_SEEDS=60 pytest standins/limit_soak_test.py``.
"""

import os
import random

import testtools

from standins import load_profiles, load_simulation, simulated_cluster

SEED_COUNT = int(os.environ.get("SOAK_SEEDS", "4"))
DURATION_S = 20.0
MAX_FAULT_GAP_S = 1.5
MAX_FAULT_S = 6.0
LIMITS_PER_S = (0.0, 0.2, 1.0, 1.0, 2.5, 7.5, 20.0)


class Soak:
    """A load on entries and engines, with faults that overlap.

    :ivar faults: the faults in the order in which they began, for messages.
    """

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
        self.simulation = load_simulation.LoadSimulation(profile, seed)
        self.faults = [f"{entry_count} entries, {engine_count} engines"]

    def run(self) -> None:
        """Run the load, and begin and end faults meanwhile."""
        self.simulation.clock.callLater(1.0, self._begin_next)
        self.simulation.run()

    def _begin_next(self) -> None:
        clock = self.simulation.clock
        if clock.seconds() > DURATION_S:
            return
        kind = self._random.choice(
            ["limit", "limit", "restart", "cut", "leave", "join", "crash"]
        )
        self.faults.append(f"{clock.seconds():.2f} {kind}")
        getattr(self, f"_begin_{kind}")()
        clock.callLater(self._random.uniform(0.0, MAX_FAULT_GAP_S), self._begin_next)

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

    def _begin_restart(self) -> None:
        self.simulation.restart_entry(self._choose_entry())

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

    def _begin_leave(self) -> None:
        if len(self.simulation.entries) > 1:
            self.simulation.remove_entry(self._choose_entry())

    def _begin_join(self) -> None:
        self.simulation.add_entry()

    def _begin_crash(self) -> None:
        engine = self._random.choice(self.simulation.engines)
        if not engine.is_running:
            return
        engine.stop()
        engine.limit.change(self.simulation.clock.seconds(), None)
        self.simulation.clock.callLater(
            self._random.uniform(0.3, MAX_FAULT_S), engine.start
        )

    def _choose_entry(self) -> simulated_cluster.SimulatedEntry:
        return self._random.choice(self.simulation.entries)


class LimitSoakTest(testtools.TestCase):
    def test_entries_keep_to_limits_through_overlapping_faults(self):
        violations = []
        for seed in range(1, SEED_COUNT + 1):
            soak = Soak(seed)
            soak.run()
            violations += [
                f"seed {seed}, {soak.faults}: {engine.engine_id}: {violation}"
                for engine in soak.simulation.engines
                for violation in engine.limit.violations[:1]
            ]
        self.assertEqual([], violations)
