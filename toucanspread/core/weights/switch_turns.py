"""Plans when the engine beside this process switches to a new version.

An engine that switches interrupts its requests and takes no others until it has loaded
the version. The other engines read the prompts of the interrupted requests again. If
many engines switched at the same moment, all others would fall behind for seconds. Each
engine therefore has its own turn, spread evenly over the time that the operator's rules
leave after the pieces have come. Since the links of the engines are alike, all of them
have the pieces at about the same time.
"""

from collections.abc import Iterable
from typing import NamedTuple

from toucanspread.core import data

MAX_TURN_SPACING_S = 1.2  # most running requests end within this time


class EnginePlacement(NamedTuple):
    """The address and zone of an engine of the same service."""

    address: data.Address
    zone: data.ZoneName


class SwitchTiming(NamedTuple):
    """When an engine may switch to a version, on the clock of ``now_s``.

    :param due_s: from when on no request may start on an older version.
    :param turn: the engine's part of the time between staging and ``due_s``, from 0 for
        the first engine to below 1 for the last one.
    :param max_spread_s: time within which all engines switch if more is left.
    """

    due_s: float
    turn: float = 0.0
    max_spread_s: float = 0.0

    def order_at_s(self, staged_s: float, load_s: float) -> float:
        """Return the earliest time at which the engine is ordered to switch.

        :param staged_s: when all pieces are there.
        :param load_s: seconds that an engine takes to load the version.
        """
        available_s = max(self.due_s - load_s - staged_s, 0.0)
        return staged_s + self.turn * min(available_s, self.max_spread_s)


IMMEDIATE = SwitchTiming(due_s=float("inf"))


def plan_switch(
    own: EnginePlacement, engines: Iterable[EnginePlacement], due_s: float
) -> SwitchTiming:
    """Return the timing of an engine's switch; each zone is spread over all turns.

    :param engines: of the same service, as far as they are known.
    """
    placements = {*engines, own}
    by_zone: dict[data.ZoneName, list[EnginePlacement]] = {}
    for placement in sorted(placements):
        by_zone.setdefault(placement.zone, []).append(placement)

    def rank(placement: EnginePlacement) -> tuple[float, data.ZoneName]:
        in_zone = by_zone[placement.zone]
        return ((in_zone.index(placement) + 0.5) / len(in_zone), placement.zone)

    ranked = sorted(placements, key=rank)
    return SwitchTiming(
        due_s,
        ranked.index(own) / len(ranked),
        (len(ranked) - 1) * MAX_TURN_SPACING_S,
    )
