"""Replies of this entry that parts of prompts are sound, which others suspect.

Many entries may know it, so each waits for a while, and does not reply if another entry
has told it meanwhile or a moment ago.
"""

from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import sound_parts

MIN_INTERVAL_S = 1.0  # between replies on the same part
MAX_REPLY_COUNT = 1_024  # parts


class SoundReplies:
    """The replies that are due later."""

    def __init__(self):
        self._due_s: dict[entry_data.PromptPartId, float] = {}
        self._told = sound_parts.SoundParts()

    @property
    def next_due_s(self) -> float:
        """Return the time of the next reply; infinite without one."""
        return min(self._due_s.values(), default=float("inf"))

    def add(self, part: entry_data.PromptPartId, due_s: float, now_s: float) -> None:
        """Reply on a part at a time, unless it is told before."""
        if self._told.age_s(part, now_s) < MIN_INTERVAL_S:
            return
        if len(self._due_s) < MAX_REPLY_COUNT:
            self._due_s.setdefault(part, due_s)

    def record_told(
        self, parts: tuple[entry_data.PromptPartId, ...], now_s: float
    ) -> None:
        """Record that this or another entry has told that parts are sound."""
        for part in parts:
            self._due_s.pop(part, None)
            self._told.record(part, now_s)

    def take_due(
        self, sound: sound_parts.SoundParts, now_s: float
    ) -> list[entry_data.PartsSound]:
        """Return the notices that are due."""
        due = [part for part, due_s in self._due_s.items() if due_s <= now_s]
        for part in due:
            del self._due_s[part]
        known = [part for part in due if sound.is_sound(part, now_s)]
        notices = []
        for first in range(0, len(known), entry_data.MAX_SUSPECT_PARTS):
            batch = tuple(known[first : first + entry_data.MAX_SUSPECT_PARTS])
            age_s = max(sound.age_s(part, now_s) for part in batch)
            notices.append(entry_data.PartsSound(batch, max(age_s, 0.0)))
            self.record_told(batch, now_s)
        return notices
