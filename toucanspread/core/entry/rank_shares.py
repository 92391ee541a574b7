"""Keeps a small share of the begun requests for each declared rank.

Under a lasting overload, more urgent requests could take all that the engines can
begin. A rank of which an entry has begun too small a part gets a turn. An entry knows
only its own requests; its counts fade, so that they follow the load.
"""

import collections

MIN_BEGUN_SHARE = 0.1  # of the requests of a rank that arrived
MIN_MISSING_COUNT = 0.5  # fewer requests are within the rounding
HALF_LIFE_S = 10.0


class RankShares:
    """Counts the requests of one entry that arrived and that were begun, by rank."""

    def __init__(self):
        self._arrived: collections.Counter[int] = collections.Counter()
        self._begun: collections.Counter[int] = collections.Counter()
        self._faded_s: float | None = None

    def record_arrival(self, rank: int, now_s: float) -> None:
        """Count a request that arrived."""
        self._fade(now_s)
        self._arrived[rank] += 1.0

    def record_begin(self, rank: int) -> None:
        """Count a request that is sent to its first engine."""
        self._begun[rank] += 1.0

    def is_behind(self, rank: int) -> bool:
        """Return whether requests of a rank were begun too rarely."""
        wanted = MIN_BEGUN_SHARE * self._arrived[rank]
        return self._begun[rank] + MIN_MISSING_COUNT < wanted

    def _fade(self, now_s: float) -> None:
        if self._faded_s is not None and now_s > self._faded_s:
            factor = 0.5 ** ((now_s - self._faded_s) / HALF_LIFE_S)
            for counts in (self._arrived, self._begun):
                for rank in counts:
                    counts[rank] *= factor
        self._faded_s = now_s
