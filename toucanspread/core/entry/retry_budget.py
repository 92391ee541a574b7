"""Limits the retries of one entry to its part of the retry budget of a service.

All entries together may send a service only a limited number of dispatches beyond the
first of each request. An entry cannot coordinate each retry with the others. It keeps
to its own part instead: a ratio of the requests that it received, and its part of the
fixed allowance. The part of an entry that dies is unused until the others have detected
it. After an entry is added, the parts overlap until the others have detected it;
``USABLE_PART_RATIO`` allows for that.
"""

import collections

from toucanspread.core import data

# An entry uses only this ratio of its part, so that overlaps of parts and windows stay
# within the limit.
USABLE_PART_RATIO = 0.6
MIN_RATE_TIME_S = 1.0  # a rate over a shorter time says little


class RetryBudget:
    """Counts the requests and retries of the last window, by service.

    :param ratio: number of retries that each request adds, over all entries.
    :param allowance: additional retries of a service in any window, over all entries.
    :param window_s: length of the window.
    """

    def __init__(self, ratio: float, allowance: float, window_s: float):
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: dict[data.ServiceName, collections.deque[float]] = {}
        self._retries: dict[data.ServiceName, collections.deque[float]] = {}

    def record_request(self, service: data.ServiceName, now_s: float) -> None:
        """Count a caller's request."""
        self._recent(self._requests, service, now_s).append(now_s)

    def request_rate_per_s(self, service: data.ServiceName, now_s: float) -> float:
        """Return the mean rate of the requests to this entry in the last window."""
        requests = self._recent(self._requests, service, now_s)
        if not requests:
            return 0.0
        return len(requests) / min(
            max(now_s - requests[0], MIN_RATE_TIME_S), self._window_s
        )

    def acquire(
        self, service: data.ServiceName, now_s: float, entry_count: int
    ) -> bool:
        """Count one retry; return False if this entry's part is exhausted.

        :param entry_count: number of entries that share the allowance.
        """
        if not self.allows_retry(service, now_s, entry_count):
            return False
        self._retries[service].append(now_s)
        return True

    def allows_retry(
        self, service: data.ServiceName, now_s: float, entry_count: int
    ) -> bool:
        """Return whether this entry's part allows one more retry, without counting it.

        :param entry_count: number of entries that share the allowance.
        """
        requests = self._recent(self._requests, service, now_s)
        retries = self._recent(self._retries, service, now_s)
        part = self._ratio * len(requests) + self._allowance / max(entry_count, 1)
        return len(retries) + 1 <= part * USABLE_PART_RATIO

    def _recent(
        self,
        times: dict[data.ServiceName, collections.deque[float]],
        service: data.ServiceName,
        now_s: float,
    ) -> collections.deque[float]:
        recent = times.setdefault(service, collections.deque())
        while recent and now_s - recent[0] > self._window_s:
            recent.popleft()
        return recent
