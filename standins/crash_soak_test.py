"""Random crashing parts, faults and changes of the membership, in virtual time.

Run more seeds by hand with ``SOAK_SEEDS=60 pytest standins/crash_soak_test.py``, or one
seed with ``SOAK_FIRST_SEED=7 SOAK_SEEDS=1``.
"""

import random

import testtools

from standins import load_faults, load_profiles, load_simulation, soak_seeds
from toucanspread.core.entry import data as entry_data

CI_SEED_COUNT = 4
FAULTS_FROM_S = 4.0
FAULTS_UNTIL_S = 18.0
MAX_FAULT_GAP_S = 2.5
MAX_FAULT_S = 4.0
REGAINED_S = 24.0  # all faults are over, and engines are back for a while
DURATION_S = 30.0
MAX_GROUP_RATIO = 0.3  # of the engines, which crash at the same moment
ENTRY_COUNTS = (1, 2, 7, 18, 60, 350)
ENGINE_RATES_PER_S = (2.5, 4.5, 6.0)  # sound requests, for each engine
CRASHING_RATES_PER_S = (3.0, 6.0, 12.0)
LOSS_RATIOS = (0.0, 0.0, 0.01, 0.05, 0.2)
ORDER_IN_S = (0.5, 2.0)
PLAN = load_faults.FaultPlan(
    ("restart", "cut", "leave", "join", "crash", "group_crash", "switch"),
    FAULTS_FROM_S,
    FAULTS_UNTIL_S,
    MAX_FAULT_GAP_S,
)


class Soak(load_faults.LoadFaults):
    """A load on entries and engines, with crashing parts and faults that overlap."""

    def __init__(self, seed: int):
        self._random = random.Random(seed)
        entry_count = self._random.choice(ENTRY_COUNTS)
        engine_count = self._random.randint(5, 14)
        rate_per_s = self._random.choice(ENGINE_RATES_PER_S) * engine_count
        profile = load_profiles.LoadProfile(
            "soak",
            ((0.0, rate_per_s),),
            ((0.0, engine_count),),
            DURATION_S,
            entries=entry_count,
            crashing_parts=self._draw_crashing_parts(),
            loss_ratio=self._random.choice(LOSS_RATIOS),
        )
        simulation = load_simulation.LoadSimulation(profile, seed)
        super().__init__(self._random, simulation, PLAN)
        self.faults += [
            f"{entry_count} entries, {engine_count} engines, {rate_per_s} requests/s, "
            f"loss {profile.loss_ratio}",
            *map(str, profile.crashing_parts),
        ]

    def list_violations(self) -> list[str]:
        """Return how the rules were broken."""
        callers = self.simulation.caller_check
        return [
            *self.simulation.crash_check.list_violations(),
            *callers.list_waits(),
            *callers.list_unresumed(),
            *callers.list_refused_parts(REGAINED_S),
            *callers.list_kept_out(FAULTS_FROM_S, REGAINED_S),
        ]

    def _draw_crashing_parts(self) -> tuple[load_profiles.CrashingPart, ...]:
        count = self._random.choice([1, 1, 2])
        return tuple(self._draw_crashing_part(number) for number in range(count))

    def _draw_crashing_part(self, number: int) -> load_profiles.CrashingPart:
        kinds = [kind.name for kind in load_profiles.REQUEST_KINDS]
        return load_profiles.CrashingPart(
            entry_data.PromptPartId(f"c{number}"),
            self._random.choice(list(load_profiles.PartPlace)),
            self._random.choice(CRASHING_RATES_PER_S),
            self._random.uniform(FAULTS_FROM_S, FAULTS_FROM_S + 2.0),
            self._random.uniform(14.0, FAULTS_UNTIL_S),
            is_of_one_caller=self._random.random() < 0.25,
            other_parts=self._random.choice(list(load_profiles.OtherParts)),
            route=self._random.choice([None, *kinds]),
        )

    def _begin_next(self) -> None:
        now_s = self.simulation.clock.seconds()
        if now_s <= FAULTS_UNTIL_S:
            self.simulation.crash_check.record_disturbance(now_s)
        super()._begin_next()

    def _begin_cut(self) -> None:
        entry = self._choose_entry()
        if entry.is_cut:
            return
        self.simulation.begin_cut(entry)
        self.simulation.clock.callLater(
            self._random.uniform(0.3, MAX_FAULT_S), self.simulation.end_cut, entry
        )

    def _begin_crash(self) -> None:
        engine = self._random.choice(self.simulation.engines)
        engine.crash(self._random.uniform(0.3, MAX_FAULT_S))

    def _begin_group_crash(self) -> None:
        engines = self.simulation.engines
        count = self._random.randint(2, max(round(MAX_GROUP_RATIO * len(engines)), 2))
        duration_s = self._random.uniform(0.3, MAX_FAULT_S)
        for engine in self._random.sample(engines, count):
            engine.crash(duration_s)

    def _begin_switch(self) -> None:
        engine = self._random.choice(self.simulation.engines)
        if engine.switch_at_s is None:
            engine.order_switch(self._random.uniform(*ORDER_IN_S))


def run_seed(seed):
    soak = Soak(seed)
    soak.run()
    return soak_seeds.SoakResult(soak.faults, soak.list_violations())


class CrashSoakTest(testtools.TestCase):
    def test_entries_keep_to_the_rules_on_crashing_parts_through_other_faults(self):
        self.assertEqual([], soak_seeds.list_violations(run_seed, CI_SEED_COUNT))
