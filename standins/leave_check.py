"""Checks that engines stop to work for callers that have left.

The rule and its figures are the platform's. It can't be kept by closing connections
alone, since an engine that stands still notices no close.
"""

import collections

MAX_WORK_S = 0.5  # after the caller has left
MAX_WORK_RATIO = 0.25  # of the requests whose callers left
ALLOWED_COUNT = 3  # fewer are not judged


class LeaveCheck:
    """Counts the requests whose callers left while an engine had them."""

    def __init__(self):
        self._left_count = 0
        self._went_on_count = 0
        self._dispatches_s: dict[str, list[float]] = collections.defaultdict(list)

    def record_left(self, went_on: bool) -> None:
        """Record that a caller left.

        :param went_on: whether the engine had the request ``MAX_WORK_S`` later.
        """
        self._left_count += 1
        self._went_on_count += went_on

    def record_dispatch(self, now_s: float, engine_id: str) -> None:
        """Record that an entry sent a request to an engine."""
        self._dispatches_s[engine_id].append(now_s)

    def count_dispatches(self, engine_id: str, from_s: float, until_s: float) -> int:
        """Return the number of requests that were sent to an engine in a time."""
        return sum(from_s <= at_s < until_s for at_s in self._dispatches_s[engine_id])

    def list_violations(self) -> list[str]:
        """Return how the rule was broken."""
        if self._went_on_count <= ALLOWED_COUNT:
            return []
        if self._went_on_count <= MAX_WORK_RATIO * self._left_count:
            return []
        return [
            f"GONE: engines went on with {self._went_on_count} of {self._left_count} "
            f"requests {MAX_WORK_S} s after their callers had left"
        ]
