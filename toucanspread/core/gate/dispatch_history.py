"""The results of recent dispatches, bounded in time and number.

The history tells a late copy of a dispatch from a new one: a dispatch that was refused
is refused again, and one that ran does not run twice.
"""

import collections
import dataclasses

from toucanspread.core import data

RETENTION_S = 120.0  # longer than any copy of a dispatch can be in transit
MAX_RECORDS = 32_768


@dataclasses.dataclass(slots=True)
class DispatchRecord:
    """The result of one dispatch.

    :param at_s: when it was recorded, in seconds of the process's clock.
    :param reason: why it was refused; NONE if it was accepted.
    """

    at_s: float
    refused: bool = False
    reason: data.Reason = data.Reason.NONE


class DispatchHistory:
    """The records of recent dispatches, the oldest first."""

    def __init__(self):
        self._records: collections.OrderedDict[data.AttemptKey, DispatchRecord] = (
            collections.OrderedDict()
        )
        self._live: set[data.AttemptKey] = set()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: data.AttemptKey) -> DispatchRecord | None:
        """Return the record of a dispatch, or None if there is none."""
        return self._records.get(key)

    def record_accepted(self, key: data.AttemptKey, now_s: float) -> None:
        """Record an accepted dispatch; it is kept until :meth:`mark_finished`."""
        self._live.add(key)
        self._store(key, DispatchRecord(now_s))

    def mark_finished(self, key: data.AttemptKey) -> None:
        """Allow an accepted dispatch to be dropped once it is old."""
        self._live.discard(key)

    def record_refused(
        self, key: data.AttemptKey, now_s: float, reason: data.Reason
    ) -> None:
        """Record that a dispatch did not run and never will."""
        self._live.discard(key)
        self._store(key, DispatchRecord(now_s, True, reason))

    def drop_old(self, now_s: float) -> None:
        """Drop the records that are older than the retention time."""
        while self._records:
            key, record = next(iter(self._records.items()))
            if now_s - record.at_s < RETENTION_S:
                return
            if key in self._live:
                record.at_s = now_s
                self._records.move_to_end(key)
                continue
            del self._records[key]

    def _store(self, key: data.AttemptKey, record: DispatchRecord) -> None:
        self._records[key] = record
        self._records.move_to_end(key)
        while len(self._records) > MAX_RECORDS:
            oldest, dropped = self._records.popitem(last=False)
            if oldest in self._live:
                # Dispatches that wait or run are kept; there are far fewer of them
                # than MAX_RECORDS.
                self._records[oldest] = dropped
