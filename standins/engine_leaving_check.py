"""Checks that an entry sends nothing new to an engine that has said that it leaves.

The rule and its figures are the platform's: an engine that leaves says so in each of
its answers. What callers send some time after an entry has passed on such an answer may
not reach the engine from that entry.
"""

from collections.abc import Hashable

DRAIN_S = 2.0  # after the entry has passed on an answer that says so


class LeavingRecord:
    """What one engine tells entries, and what it gets from them.

    :ivar violations: what broke the rule.
    """

    def __init__(self):
        self.violations: list[str] = []
        self._told_s: dict[Hashable, float] = {}

    def record_answer(self, now_s: float, entry: Hashable, is_leaving: bool) -> None:
        """Record an answer that an entry passes on."""
        if is_leaving:
            self._told_s.setdefault(entry, now_s)

    def record_arrival(self, sent_s: float, entry: Hashable) -> None:
        """Record a request.

        :param sent_s: when its caller has sent it.
        """
        told_s = self._told_s.get(entry)
        if told_s is not None and sent_s > told_s + DRAIN_S:
            self.violations.append(
                f"entry {entry}, told at {told_s:.2f}: a request of {sent_s:.2f}"
            )

    def excuse(self, entry: Hashable) -> None:
        """Forget what an entry was told, as it may not know it any more."""
        self._told_s.pop(entry, None)

    def reset(self) -> None:
        """Forget everything, as a new incarnation of the engine does."""
        self._told_s.clear()
