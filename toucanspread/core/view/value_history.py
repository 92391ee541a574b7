"""Values that keys had before, for the processes that still have them."""

from collections import deque

from toucanspread.core import data

MIN_KEPT_BYTES = 1_024  # a smaller value is sent whole
MAX_KEPT_BYTES = 6_000_000  # 22 configurations of 1,480 routes


class PastValue(data.Record):
    """A value that a key had in this copy.

    :param revision: revision of the change that wrote it.
    :param known_until: revision of the store up to which the key certainly had it.
    """

    key: str
    value: bytes
    revision: int
    known_until: int


class ValueHistory:
    """The latest past values of large keys, within one era of the store."""

    def __init__(self):
        self._values: deque[PastValue] = deque()  # in the order of their replacement
        self._values_by_key: dict[str, deque[PastValue]] = {}
        self._kept_bytes = 0

    def add(self, past: PastValue) -> None:
        """Keep a value that has just been replaced."""
        if len(past.value) < MIN_KEPT_BYTES:
            return
        self._values.append(past)
        self._values_by_key.setdefault(past.key, deque()).append(past)
        self._kept_bytes += len(past.value)
        while self._kept_bytes > MAX_KEPT_BYTES:
            self._remove_oldest()

    def find(self, key: str, revision: int) -> PastValue | None:
        """Return the past value that a key had at a revision, if that is known."""
        for past in reversed(self._values_by_key.get(key, ())):
            if past.revision > revision:
                continue
            return past if revision <= past.known_until else None
        return None

    def clear(self) -> None:
        """Forget all values, whose revisions stand for others in a later era."""
        self._values.clear()
        self._values_by_key.clear()
        self._kept_bytes = 0

    def _remove_oldest(self) -> None:
        oldest = self._values.popleft()
        self._kept_bytes -= len(oldest.value)
        values = self._values_by_key[oldest.key]
        values.popleft()
        if not values:
            del self._values_by_key[oldest.key]
