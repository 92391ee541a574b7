"""The state of a dispatch while it waits or runs, and its metric labels."""

import dataclasses

from toucanspread.core import data

# Callers choose these values, and each one creates a time series.
MAX_LABELLED_TEAMS = 64
MAX_LABELLED_PRIORITY = 9
OTHER_TEAMS = "others"


@dataclasses.dataclass
class LiveDispatch:
    """An accepted dispatch that is queued, waits or runs.

    :param deadline_s: on this process's own clock.
    :param version: the version that its run was started on.
    """

    dispatch: data.Dispatch
    stream: int
    body_hash: int
    deadline_s: float
    received_s: float
    admitted: bool = False
    claimed: bool = False
    running: bool = False
    version: data.VersionName = data.VersionName("")
    cancelled: bool = False
    restart_count: int = 0

    @property
    def key(self) -> data.AttemptKey:
        """The key of the dispatch in this process."""
        return (self.dispatch.request.request_id, self.dispatch.attempt)


class MetricLabels:
    """Metric labels of requests, with a bounded number of values."""

    def __init__(self):
        self._teams: set[data.TeamName] = set()

    def for_request(self, request: data.Request) -> dict[str, str]:
        """Return the labels of a request."""
        if len(self._teams) < MAX_LABELLED_TEAMS:
            self._teams.add(request.team)
        team = request.team if request.team in self._teams else OTHER_TEAMS
        priority = min(MAX_LABELLED_PRIORITY, request.priority)
        return {"team": team, "class": str(priority)}
