"""Checks that an entry leaves an engine alone for as long as that has asked it to.

The rule and its figures are the platform's: an engine may reject a request with 503 and
name a time in ``Retry-After``, in which it wants no requests from that entry.
"""

import re
from collections.abc import Hashable
from typing import NamedTuple

KNOWN_AFTER_S = 0.5  # after the engine has answered
ALLOWED_COUNT = 2  # requests that may reach the engine in the rest of the time
VALUE_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
MAX_VALUE_S = 600.0  # of a time that an engine means


def read(value: str) -> float | None:
    """Return the seconds that a header names; None if it names no time."""
    if not VALUE_PATTERN.fullmatch(value):
        return None
    seconds = float(value)
    return seconds if seconds <= MAX_VALUE_S else None


class _Backoff(NamedTuple):
    """One answer that asks an entry for a backoff.

    :param arrivals_s: times of the requests that came in it.
    """

    answered_s: float
    until_s: float
    arrivals_s: list[float]


class BackoffRecord:
    """What one engine asks of entries, and what it gets from them.

    :ivar violations: what broke the rule.
    :ivar most_arrivals: the most requests that came in one of the times.
    """

    def __init__(self):
        self.violations: list[str] = []
        self.most_arrivals = 0
        self._backoffs: dict[Hashable, list[_Backoff]] = {}

    def record_answer(
        self, now_s: float, entry: Hashable, backoff_s: float | None
    ) -> None:
        """Record an answer with 503; it asks for no backoff if that is None."""
        if backoff_s is None:
            return
        backoff = _Backoff(now_s, now_s + backoff_s, [])
        self._backoffs.setdefault(entry, []).append(backoff)

    def record_arrival(self, now_s: float, entry: Hashable) -> None:
        """Record a request, and check it against all answers before it."""
        current = [b for b in self._backoffs.get(entry, []) if now_s < b.until_s]
        self._backoffs[entry] = current
        for backoff in current:
            if now_s < backoff.answered_s + KNOWN_AFTER_S:
                continue
            backoff.arrivals_s.append(now_s)
            self.most_arrivals = max(self.most_arrivals, len(backoff.arrivals_s))
            if len(backoff.arrivals_s) > ALLOWED_COUNT:
                self.violations.append(_describe(entry, backoff))

    def excuse(self, entry: Hashable) -> None:
        """Forget what an entry was asked for, as it may not know it any more."""
        self._backoffs.pop(entry, None)

    def reset(self) -> None:
        """Forget everything, as a new incarnation of the engine does."""
        self._backoffs.clear()


def _describe(entry: Hashable, backoff: _Backoff) -> str:
    arrivals = ", ".join(f"{at_s:.2f}" for at_s in backoff.arrivals_s)
    return (
        f"entry {entry}, told at {backoff.answered_s:.2f} to stay away until "
        f"{backoff.until_s:.2f}: requests at {arrivals}"
    )
