"""Random faults between the processes of a zone and the store, in virtual time.

Run more seeds by hand with ``SOAK_SEEDS=60 pytest standins/view_soak_test.py``.
"""

import random

import testtools

from standins import link_simulation, soak_seeds, view_simulation

CI_SEED_COUNT = 4
IN_FORCE_WITHIN_S = 3.0  # the platform's bound at 101 machines
CALM_S = 4.0  # bounds hold again this long after the last fault
STEP_COUNT = 25
WATCHED_S = 20.0
VERSION_KEY = "op/version/m"
OTHER_BYTES = 200_000  # what the store sends besides configurations while it is watched


FAULT_KINDS = ("silent", "cut", "refused", "narrow")


class Soak:
    """A zone with random faults that overlap, and random changes.

    :param kinds: the kinds of faults; "return" takes the store back to an older copy.
    :ivar faults: the faults in the order in which they began, for messages.
    """

    def __init__(self, seed: int, kinds: tuple[str, ...] = FAULT_KINDS):
        self._kinds = kinds
        self._random = random.Random(seed)
        size = view_simulation.ZoneSize(
            entries=self._random.randint(1, 14),
            sidecars=self._random.randint(0, 4),
            engines=8,
        )
        route_count = self._random.choice([40, 280, 1_480])
        self.zone = view_simulation.ZoneSimulation(size, route_count, seed)
        self.faults: list[str] = [str(size)]
        self._ends: list[tuple[float, object]] = []

    def run(self) -> None:
        """Begin and end faults and change the configuration for a while."""
        for _ in range(STEP_COUNT):
            self._begin(self._random.choice(self._kinds))
            if self._random.random() < 0.6:
                self.zone.change_configuration()
            self.zone.run(self._random.uniform(0.0, 1.5))
            self._end_due(self.zone.now_s)
        self._end_due(float("inf"))

    def _begin(self, kind: str) -> None:
        self.faults.append(f"{self.zone.now_s:.2f} {kind}")
        if kind == "return":
            self.zone.store.return_from_copy(self._random.uniform(1.0, 10.0))
            return
        duration_s = self._random.uniform(0.3, 6.0)
        if kind == "narrow":
            undo = self._narrow_region_link()
        elif kind == "refused":
            undo = self._refuse_some()
        else:
            undo = self._fail_one(kind)
        self._ends.append((self.zone.now_s + duration_s, undo))

    def _narrow_region_link(self):
        machine = self.zone.store.machine
        machine.links = [link_simulation.Link(5.0)]

        def undo():
            machine.links = [link_simulation.Link(view_simulation.REGION_LINK_MBPS)]

        return undo

    def _refuse_some(self):
        processes = self.zone.entries + self.zone.sidecars
        count = max(len(processes) // 3, 1)
        chosen = {p.machine.address for p in self._random.sample(processes, count)}
        self.zone.store.refused |= chosen

        def undo():
            self.zone.store.refused -= chosen

        return undo

    def _fail_one(self, kind: str):
        # The first in rank is the one on which the others depend.
        ranked = self.zone.rank_entries()
        index = min(int(self._random.expovariate(0.7)), len(ranked) - 1)
        machine = ranked[index].machine
        handle = ranked[index].handle_request
        if kind == "silent":
            machine.handle = None
        else:
            machine.is_cut = True

        def undo():
            machine.handle = handle
            machine.is_cut = False

        return undo

    def _end_due(self, now_s: float) -> None:
        due = [undo for at_s, undo in self._ends if at_s <= now_s]
        self._ends = [end for end in self._ends if end[0] > now_s]
        for undo in due:
            undo()


def run_seed(seed):
    soak = Soak(seed)
    soak.run()
    soak.zone.run(CALM_S)
    violations = find_violations(soak.zone)
    soak.zone.close()
    return soak_seeds.SoakResult(soak.faults, violations)


class ViewSoakTest(testtools.TestCase):
    def test_changes_are_in_force_in_time_after_overlapping_faults(self):
        self.assertEqual([], soak_seeds.list_violations(run_seed, CI_SEED_COUNT))


def find_violations(zone: view_simulation.ZoneSimulation) -> list[str]:
    """Return what a zone without faults does not keep."""
    violations = []
    revisions = {max(entry.received_s, default=0) for entry in zone.entries}
    if revisions != {zone.configuration_revision}:
        violations.append(f"newest is {zone.configuration_revision}, not {revisions}")
    before_bytes = zone.store.machine.uplink.sent_bytes
    zone.store.write(VERSION_KEY, b"%d" % zone.store.revision)
    revision, written_s = zone.change_configuration(), zone.now_s
    delay_s = zone.longest_delay_s(revision, written_s, WATCHED_S)
    if delay_s >= IN_FORCE_WITHIN_S:
        violations.append(f"in force after {delay_s:.2f} s")
    zone.run(IN_FORCE_WITHIN_S)
    processes = zone.entries + zone.sidecars
    if len({process.get_value(VERSION_KEY) for process in processes}) > 1:
        violations.append("a process does not know the version")
    age_s = max(process.age_s() for process in processes)
    if age_s >= IN_FORCE_WITHIN_S:
        violations.append(f"a copy is {age_s:.2f} s old")
    sent_bytes = zone.store.machine.uplink.sent_bytes - before_bytes
    allowed_bytes = 4 * len(zone.encode_configuration()) + OTHER_BYTES
    if sent_bytes > allowed_bytes:
        violations.append(f"the store sent {sent_bytes} bytes for one change")
    return violations
