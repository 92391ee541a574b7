"""Counts which sizes of requests are begun, so that the largest are not starved.

Under a lasting overload, requests that can still be answered on time go first, and a
long prompt is late sooner than a short one. The counts bound how much less often the
largest requests of a route are begun than all of its requests.

An entry knows only its own requests. Its counts fade, so that they follow the load, but
slowly enough for an entry that rarely gets a large request.
"""

import bisect
import collections
import enum

from toucanspread.core.entry import request_timing

# Lower bound of a band's begun part, as a part of that of the whole route.
MIN_RELATIVE_SHARE = 0.75
MIN_MISSING_COUNT = 0.5  # fewer requests are within the rounding
HALF_LIFE_S = 20.0
RECENT_SIZE_COUNT = 200
MIN_SIZE_COUNT = 10  # which sizes are the largest is not known from fewer
UPPER_QUANTILE = 0.7
LARGEST_QUANTILE = 0.9
MAX_ROUTE_COUNT = 1_000


class SizeBand(enum.Enum):
    """Part of the requests of a route, by the size of their prompts."""

    LOWER = "lower"
    UPPER = "upper"
    LARGEST = "largest"


class SizeShares:
    """Counts the requests of one entry that arrived and that were begun."""

    def __init__(self):
        self._routes: collections.OrderedDict[str, _RouteShares] = (
            collections.OrderedDict()
        )

    def record_arrival(self, timing: request_timing.RequestTiming) -> None:
        """Count a request that arrived."""
        if not timing.call.prompt_tokens:
            return
        route = timing.route.name
        shares = self._routes.setdefault(route, _RouteShares())
        shares.record_arrival(timing.call.prompt_tokens, timing.arrived_s)
        self._routes.move_to_end(route)
        if len(self._routes) > MAX_ROUTE_COUNT:
            self._routes.popitem(last=False)

    def record_begin(self, timing: request_timing.RequestTiming) -> None:
        """Count a request that is sent to its first engine."""
        shares = self._routes.get(timing.route.name)
        if shares is not None and timing.call.prompt_tokens:
            shares.record_begin(timing.call.prompt_tokens)

    def is_behind(self, timing: request_timing.RequestTiming) -> bool:
        """Return whether requests of this size were begun too rarely."""
        shares = self._routes.get(timing.route.name)
        return shares is not None and shares.is_behind(timing.call.prompt_tokens)


class _RouteShares:
    """The counts of one route, which fade with time."""

    def __init__(self):
        self._sizes = _RecentSizes()
        self._arrived: collections.Counter[SizeBand] = collections.Counter()
        self._begun: collections.Counter[SizeBand] = collections.Counter()
        self._faded_s: float | None = None

    def record_arrival(self, prompt_tokens: int, now_s: float) -> None:
        self._fade(now_s)
        self._sizes.add(prompt_tokens)
        self._arrived[self._sizes.find_band(prompt_tokens)] += 1.0

    def record_begin(self, prompt_tokens: int) -> None:
        self._begun[self._sizes.find_band(prompt_tokens)] += 1.0

    def is_behind(self, prompt_tokens: int) -> bool:
        band = self._sizes.find_band(prompt_tokens)
        if band is SizeBand.LOWER:
            return False
        begun_part = self._begun.total() / self._arrived.total()
        wanted = MIN_RELATIVE_SHARE * begun_part * self._arrived[band]
        return self._begun[band] + MIN_MISSING_COUNT < wanted

    def _fade(self, now_s: float) -> None:
        if self._faded_s is None:
            self._faded_s = now_s
        if now_s <= self._faded_s:
            return
        factor = 0.5 ** ((now_s - self._faded_s) / HALF_LIFE_S)
        self._faded_s = now_s
        for counts in (self._arrived, self._begun):
            for band in counts:
                counts[band] *= factor


class _RecentSizes:
    """The sizes of the last requests of a route, in tokens."""

    def __init__(self):
        self._latest: collections.deque[int] = collections.deque()
        self._ordered: list[int] = []

    def add(self, prompt_tokens: int) -> None:
        self._latest.append(prompt_tokens)
        bisect.insort(self._ordered, prompt_tokens)
        if len(self._latest) <= RECENT_SIZE_COUNT:
            return
        oldest = self._latest.popleft()
        del self._ordered[bisect.bisect_left(self._ordered, oldest)]

    def find_band(self, prompt_tokens: int) -> SizeBand:
        count = len(self._ordered)
        if count < MIN_SIZE_COUNT:
            return SizeBand.LOWER
        if prompt_tokens >= self._ordered[int(LARGEST_QUANTILE * count)]:
            return SizeBand.LARGEST
        if prompt_tokens >= self._ordered[int(UPPER_QUANTILE * count)]:
            return SizeBand.UPPER
        return SizeBand.LOWER
