"""Begins random faults and changes of the membership while a load is simulated."""

import random
from typing import NamedTuple

from standins import load_simulation, simulated_cluster


class FaultPlan(NamedTuple):
    """What may begin, and when.

    :param kinds: names of the faults, the more often the likelier.
    """

    kinds: tuple[str, ...]
    from_s: float
    until_s: float
    max_gap_s: float


class LoadFaults:
    """Begins faults that overlap; ``_begin_KIND`` begins one of a kind.

    :ivar faults: the faults in the order in which they began, for messages.
    """

    def __init__(
        self,
        random_source: random.Random,
        simulation: load_simulation.LoadSimulation,
        plan: FaultPlan,
    ):
        self._random = random_source
        self.simulation = simulation
        self._plan = plan
        self.faults: list[str] = []

    def run(self) -> None:
        """Run the load, and begin and end faults meanwhile."""
        self.simulation.clock.callLater(self._plan.from_s, self._begin_next)
        self.simulation.run()

    def _begin_next(self) -> None:
        clock = self.simulation.clock
        if clock.seconds() > self._plan.until_s:
            return
        kind = self._random.choice(self._plan.kinds)
        self.faults.append(f"{clock.seconds():.2f} {kind}")
        getattr(self, f"_begin_{kind}")()
        wait_s = self._random.uniform(0.0, self._plan.max_gap_s)
        clock.callLater(wait_s, self._begin_next)

    def _begin_restart(self) -> None:
        self.simulation.restart_entry(self._choose_entry())

    def _begin_leave(self) -> None:
        if len(self.simulation.entries) > 1:
            self.simulation.remove_entry(self._choose_entry())

    def _begin_join(self) -> None:
        self.simulation.add_entry()

    def _choose_entry(self) -> simulated_cluster.SimulatedEntry:
        return self._random.choice(self.simulation.entries)
