"""Weighted sharing of one service between teams, by start-time fair queueing.

Each team has a virtual time that advances by 1 / weight with each admitted request;
the waiting team with the least is next. A team that was idle starts at the least of
the active ones, so that it cannot save up, nor owe, what it did not use.
"""

from collections.abc import Iterable, Mapping

from toucanspread.core import data

DEFAULT_WEIGHT = 1.0
MIN_WEIGHT = 0.01
EVEN_WITHIN = 2.0  # shares by which teams may differ and still count as even


def weight_of(team: data.TeamName, weights: Mapping[data.TeamName, float]) -> float:
    """Return a team's weight; a team that no intent names has the default."""
    return max(MIN_WEIGHT, weights.get(team, DEFAULT_WEIGHT))


class Shares:
    """The virtual times of the teams that are active."""

    def __init__(self):
        self._times: dict[data.TeamName, float] = {}

    def virtual_time(self, team: data.TeamName) -> float:
        """Return how much a team was given, in shares."""
        return self._times.get(team, 0.0)

    def wake(self, team: data.TeamName, active: Iterable[data.TeamName]) -> None:
        """Bring a team that was idle up to the least of the active ones."""
        others = set(active)
        if team in others:
            return
        # What idle teams had no longer matters.
        self._times = {name: self.virtual_time(name) for name in others}
        self._times[team] = min(self._times.values(), default=0.0)

    def charge(
        self, team: data.TeamName, weights: Mapping[data.TeamName, float]
    ) -> None:
        """Count one admitted request of a team."""
        cost = 1.0 / weight_of(team, weights)
        self._times[team] = self.virtual_time(team) + cost
