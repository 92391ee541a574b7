"""Distinguishes a global outage of the store from one that affects this process only.

During an outage, a process learns late that the operator named a new version. If only
this process was disconnected, it has to assume that the others have known the version
for that time. If the store was unavailable to all, every process has the full time to
begin with the new version, counted from the end of the outage.
"""

from collections.abc import Iterable

from toucanspread.core import data
from toucanspread.core.view import source_selection


class OutageTracker:
    """Records when each availability zone was last known to be without the store.

    :param zone: availability zone of this process.
    """

    def __init__(self, zone: data.ZoneName):
        self._zone = zone
        self._stale_s: dict[data.ZoneName, float] = {}

    def record_answer(self, zone: data.ZoneName, age_s: float, now_s: float) -> None:
        """Record the age of the copy that a process of a zone served."""
        if age_s > source_selection.MAX_TRUSTED_AGE_S:
            self._stale_s[zone] = now_s

    def outage_until_s(self, zones: Iterable[data.ZoneName]) -> float:
        """Return the time until which all zones were known to be without the store.

        :param zones: zones of the other processes. This process's own zone counts only
            if there is no other, because there it asks a process that shares its
            outage.
        """
        others = set(zones) - {self._zone}
        relevant = others or {self._zone}
        return min(self._stale_s.get(zone, float("-inf")) for zone in relevant)
