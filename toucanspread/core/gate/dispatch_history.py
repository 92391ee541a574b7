"""What became of recent dispatches, bounded in time and number.

With it a late copy of a dispatch is told from a new one: what was refused is refused
again, and what ran does not run twice.
"""

import collections
import dataclasses

from toucanspread.core import data

REMEMBER_S = 120.0  # longer than any copy of a dispatch can be under way
MAX_RECORDS = 32_768


@dataclasses.dataclass(slots=True)
class DispatchRecord:
    """What became of a dispatch.

    :param reason: why it was refused; NONE when it was not.
    """

    at_s: float
    refused: bool = False
    reason: data.Reason = data.Reason.NONE


class DispatchHistory:
    """The recent dispatches, the oldest first."""

    def __init__(self):
        self._memories: collections.OrderedDict[data.AttemptKey, DispatchRecord] = (
            collections.OrderedDict()
        )
        self._live: set[data.AttemptKey] = set()

    def __len__(self) -> int:
        return len(self._memories)

    def get(self, key: data.AttemptKey) -> DispatchRecord | None:
        """Return what became of a dispatch, or None when it is not known."""
        return self._memories.get(key)

    def accept(self, key: data.AttemptKey, now_s: float) -> None:
        """Remember a dispatch that was taken in; it stays until :meth:`finish`."""
        self._live.add(key)
        self._remember(key, DispatchRecord(now_s))

    def finish(self, key: data.AttemptKey) -> None:
        """Let an accepted dispatch be forgotten in its turn."""
        self._live.discard(key)

    def refuse(self, key: data.AttemptKey, now_s: float, reason: data.Reason) -> None:
        """Remember that a dispatch was not and will not be run."""
        self._live.discard(key)
        self._remember(key, DispatchRecord(now_s, True, reason))

    def forget(self, now_s: float) -> None:
        """Drop what is old."""
        while self._memories:
            key, memory = next(iter(self._memories.items()))
            if now_s - memory.at_s < REMEMBER_S:
                return
            if key in self._live:
                memory.at_s = now_s
                self._memories.move_to_end(key)
                continue
            del self._memories[key]

    def _remember(self, key: data.AttemptKey, memory: DispatchRecord) -> None:
        self._memories[key] = memory
        self._memories.move_to_end(key)
        while len(self._memories) > MAX_RECORDS:
            oldest, forgotten = self._memories.popitem(last=False)
            if oldest in self._live:
                # What waits or runs is not forgotten; it is far less than is kept.
                self._memories[oldest] = forgotten
