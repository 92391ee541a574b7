"""Quarantines that were lifted, and the notices of it that are due.

Other entries may still announce them for a moment, which must not begin them anew.
"""

from toucanspread.core.entry import crash_evidence
from toucanspread.core.entry import data as entry_data

HOLD_S = 3.0
MAX_COUNT = 64


class LiftedQuarantines:
    """The last quarantines that were lifted."""

    def __init__(self):
        self._due_s: dict[crash_evidence.PartSet, float] = {}
        self._held_until_s: dict[crash_evidence.PartSet, float] = {}

    @property
    def next_due_s(self) -> float:
        """Return the time of the next notice; infinite without one."""
        return min(self._due_s.values(), default=float("inf"))

    def add(self, parts: crash_evidence.PartSet, due_s: float, now_s: float) -> None:
        """Add a quarantine that this entry has lifted.

        :param due_s: when to notify the others, unless another entry does before.
        """
        self._hold(parts, now_s)
        if len(self._due_s) < MAX_COUNT:
            self._due_s[parts] = due_s

    def record_notice(self, parts: crash_evidence.PartSet, now_s: float) -> None:
        """Record that another entry has lifted a quarantine."""
        self._due_s.pop(parts, None)
        self._hold(parts, now_s)

    def is_held(self, parts: crash_evidence.PartSet, now_s: float) -> bool:
        """Return whether announcements of a quarantine are ignored."""
        return now_s < self._held_until_s.get(parts, 0.0)

    def take_due(self, now_s: float) -> list[entry_data.QuarantineLifted]:
        """Return the notices that are due."""
        due = [parts for parts, due_s in self._due_s.items() if due_s <= now_s]
        for parts in due:
            del self._due_s[parts]
        return [entry_data.QuarantineLifted(tuple(sorted(parts))) for parts in due]

    def _hold(self, parts: crash_evidence.PartSet, now_s: float) -> None:
        for lifted, until_s in list(self._held_until_s.items()):
            if until_s <= now_s:
                del self._held_until_s[lifted]
        if len(self._held_until_s) < MAX_COUNT:
            self._held_until_s[parts] = now_s + HOLD_S
