"""Tells an outage of the store for everybody from one that only this process sees.

The load this answers: a version that was named is heard of late, after the store was
away. Whoever was cut off alone has to reckon that the others have had it for long;
when nobody could hear of it, all have the whole time for it, counted from the outage.
"""

from collections.abc import Iterable

from toucanspread.core import data
from toucanspread.core.view import source_selection


class OutageTracker:
    """When each availability zone was last known to be without the store.

    :param zone: of this process.
    """

    def __init__(self, zone: data.ZoneName):
        self._zone = zone
        self._old_s: dict[data.ZoneName, float] = {}

    def record_answer(self, zone: data.ZoneName, age_s: float, now_s: float) -> None:
        """Note how old the copy is that a process of a zone has handed on."""
        if age_s > source_selection.MAX_TRUSTED_AGE_S:
            self._old_s[zone] = now_s

    def outage_until_s(self, zones: Iterable[data.ZoneName]) -> float:
        """Return until when all zones were without the store, as far as is known.

        :param zones: of the other processes. In its own zone, a process asks one that
            is as badly off as itself; that one counts only where there is no other.
        """
        others = set(zones) - {self._zone}
        asked = others or {self._zone}
        return min(self._old_s.get(zone, float("-inf")) for zone in asked)
