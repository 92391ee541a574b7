"""The part of the shared budget of further dispatches that this entry may spend.

All entries together may send a service only so many requests beyond the first of
each. An entry cannot ask the others each time, so each keeps to its own part: a share
of the requests that it saw itself, and its part of the fixed allowance. When an entry
dies, its part is unused until the others have noticed; when one is added, the parts
overlap for as long, which the margin covers.
"""

import collections

from toucanspread.core import data

BOUND_SHARE_RATIO = 0.6  # overlaps of parts and windows stay within the bound


class RetryBudget:
    """The requests and the further dispatches of the last window, by service.

    :param ratio: further dispatches that a request earns, over all entries.
    :param allowance: further dispatches that a service has in any window besides.
    :param window_s: the length of the window.
    """

    def __init__(self, ratio: float, allowance: float, window_s: float):
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: dict[data.ServiceName, collections.deque[float]] = {}
        self._further: dict[data.ServiceName, collections.deque[float]] = {}

    def record_request(self, service: data.ServiceName, now_s: float) -> None:
        """Note a caller's request."""
        self._recent(self._requests, service, now_s).append(now_s)

    def acquire(self, service: data.ServiceName, now_s: float, entries: int) -> bool:
        """Spend one further dispatch; False when the part is used up.

        :param entries: how many entries share the allowance.
        """
        requests = self._recent(self._requests, service, now_s)
        further = self._recent(self._further, service, now_s)
        part = self._ratio * len(requests) + self._allowance / max(entries, 1)
        if len(further) + 1 > part * BOUND_SHARE_RATIO:
            return False
        further.append(now_s)
        return True

    def _recent(
        self,
        times: dict[data.ServiceName, collections.deque[float]],
        service: data.ServiceName,
        now_s: float,
    ) -> collections.deque[float]:
        found = times.setdefault(service, collections.deque())
        while found and now_s - found[0] > self._window_s:
            found.popleft()
        return found
