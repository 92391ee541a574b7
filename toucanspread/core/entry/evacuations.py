"""Keeps which availability zones the operator has evacuated.

While a zone is evacuated, its engines get no new requests; what they have begun ends
there. The operator's declaration lies in the store, so each entry has it with its copy
of the store, also after a restart and while the store is down.
"""

from toucanspread.core import data


class Evacuations:
    """The availability zones that are evacuated, and when earlier evacuations ended."""

    def __init__(self):
        self._zones: set[data.ZoneName] = set()
        self._ended_s: dict[data.ZoneName, float] = {}

    @property
    def zones(self) -> frozenset[data.ZoneName]:
        """Return the zones that are evacuated now."""
        return frozenset(self._zones)

    def begin(self, zone: data.ZoneName) -> bool:
        """Record that a zone is evacuated; return whether it was not before."""
        if zone in self._zones:
            return False
        self._zones.add(zone)
        return True

    def end(self, zone: data.ZoneName, now_s: float) -> bool:
        """Record that a zone may be used again; return whether it was evacuated."""
        if zone not in self._zones:
            return False
        self._zones.discard(zone)
        self._ended_s[zone] = now_s
        return True

    def is_evacuated(self, zone: data.ZoneName) -> bool:
        """Return whether engines of a zone may get no new requests."""
        return zone in self._zones

    def ended_s(self, zone: data.ZoneName) -> float:
        """Return when the last evacuation of a zone ended; minus infinity if none."""
        return self._ended_s.get(zone, float("-inf"))
