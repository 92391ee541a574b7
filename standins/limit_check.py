"""Records what a simulated engine with a limit receives, and checks the limit.

The rule and its figures are the platform's: from some time after an engine first named
its limit, the requests of the entries that know of it are counted in each span of time.
"""

import bisect
from collections.abc import Hashable

STABLE_S = 3.0  # after the engine first named its limit
KNOWN_AFTER_S = 0.5  # after an entry passed on an answer that names the limit
SPAN_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


class LimitRecord:
    """Limit of one engine, and the requests that it received while naming it.

    :ivar limit_per_s: the limit that it names now; None if it names none.
    """

    def __init__(self):
        self.limit_per_s: float | None = None
        self.violations: list[str] = []
        self._arrivals_s: list[float] = []
        self._named_s = 0.0
        self._known_s: dict[Hashable, float] = {}
        self._counted_s: list[float] = []

    def change(self, now_s: float, limit_per_s: float | None) -> None:
        """Name another limit from now on."""
        self.limit_per_s = limit_per_s
        self._named_s = now_s
        self._known_s = {}
        self._counted_s = []

    def record_answer(self, now_s: float, entry: Hashable) -> float | None:
        """Record an answer to an entry; return the limit that is named in it."""
        if self.limit_per_s is not None:
            self._known_s.setdefault(entry, now_s)
        return self.limit_per_s

    def excuse(self, entry: Hashable) -> None:
        """Do not count an entry from now on, until it gets another answer."""
        self._known_s.pop(entry, None)

    def count_arrivals(self, from_s: float, until_s: float) -> int:
        """Return the number of requests in a span of time, with and without a limit."""
        return sum(from_s <= arrival_s < until_s for arrival_s in self._arrivals_s)

    def record_arrival(self, now_s: float, entry: Hashable) -> None:
        """Record a request, and check the span of time that it ends."""
        self._arrivals_s.append(now_s)
        if self.limit_per_s is None:
            return
        known_s = self._known_s.get(entry)
        if known_s is None or now_s < known_s + KNOWN_AFTER_S:
            return
        self._counted_s.append(now_s)
        if now_s < self._named_s + STABLE_S:
            return
        first = bisect.bisect_right(self._counted_s, now_s - SPAN_S)
        count = len(self._counted_s) - first
        allowed = ALLOWED_FACTOR * self.limit_per_s * SPAN_S + ALLOWED_EXTRA
        if count > allowed:
            self.violations.append(
                f"{now_s:.2f}: {count} requests in {SPAN_S} s with a limit of "
                f"{self.limit_per_s} per second, allowed {allowed:.1f}"
            )
