"""Weighted sharing of one service between teams, by start-time fair queueing.

Each team has a virtual time that advances by 1 / weight with each admitted request;
the waiting team with the least virtual time is next. A team that becomes active starts
at the least virtual time of the active teams, so that it neither saves up unused
capacity nor is charged for earlier use.
"""

from collections.abc import Iterable, Mapping

from toucanspread.core import data

DEFAULT_WEIGHT = 1.0
MIN_WEIGHT = 0.01
EVEN_TOLERANCE = 2.0  # difference in virtual time up to which teams count as even


def get_team_weight(
    team: data.TeamName, weights: Mapping[data.TeamName, float]
) -> float:
    """Return a team's weight, which is the default if no intent names the team."""
    return max(MIN_WEIGHT, weights.get(team, DEFAULT_WEIGHT))


class VirtualTimes:
    """The virtual times of the active teams."""

    def __init__(self):
        self._times: dict[data.TeamName, float] = {}

    def get(self, team: data.TeamName) -> float:
        """Return the virtual time of a team."""
        return self._times.get(team, 0.0)

    def activate(self, team: data.TeamName, active: Iterable[data.TeamName]) -> None:
        """Set a team that was idle to the least virtual time of the active teams."""
        others = set(active)
        if team in others:
            return
        # The virtual times of idle teams are no longer needed.
        self._times = {name: self.get(name) for name in others}
        self._times[team] = min(self._times.values(), default=0.0)

    def charge(
        self, team: data.TeamName, weights: Mapping[data.TeamName, float]
    ) -> None:
        """Charge a team for one admitted request."""
        cost = 1.0 / get_team_weight(team, weights)
        self._times[team] = self.get(team) + cost
