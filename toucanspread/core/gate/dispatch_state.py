"""What the gate keeps of a dispatch while it waits or runs, and its metrics' labels."""

import dataclasses

from toucanspread.core import data

# Callers choose these values, and each makes a time series of its own.
MAX_LABELLED_TEAMS = 64
MAX_LABELLED_PRIORITY = 9
OTHER_TEAMS = "others"


@dataclasses.dataclass
class LiveDispatch:
    """An admitted or queued dispatch.

    :param deadline_s: on this process's own clock.
    """

    dispatch: data.Dispatch
    stream: int
    body_hash: int
    deadline_s: float
    arrived_s: float
    admitted: bool = False
    claimed: bool = False
    running: bool = False
    version: data.VersionName = data.VersionName("")
    gone: bool = False
    restarts: int = 0

    @property
    def key(self) -> data.AttemptKey:
        """Return what names the work in this process."""
        return (self.dispatch.request.request_id, self.dispatch.attempt)


class MetricLabels:
    """Labels of requests for metrics, bounded in number."""

    def __init__(self):
        self._teams: set[data.TeamName] = set()

    def of(self, request: data.Request) -> dict[str, str]:
        """Return the labels of a request."""
        if len(self._teams) < MAX_LABELLED_TEAMS:
            self._teams.add(request.team)
        team = request.team if request.team in self._teams else OTHER_TEAMS
        priority = min(MAX_LABELLED_PRIORITY, request.priority)
        return {"team": team, "class": str(priority)}
