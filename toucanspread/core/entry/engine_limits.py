"""Keeps the requests of all entries together to the limit that an engine names.

An engine in need names in its answers how many requests per second it accepts from all
entries together. Each entry counts its own requests and those of the others, which
notify it of every request to such an engine, and sends only what the limit still
allows. Besides, each entry keeps to a part of the limit, so that the sum stays bounded
while some notices are lost.
"""

import math

from toucanspread.core.entry import data as entry_data

# A limit of 0 is treated as this one: without any request, an entry would not learn
# that the engine has stopped to name it.
MIN_LIMIT_PER_S = 0.1
# Requests are not spread evenly over entries.
PART_FACTOR = 1.5
MIN_PART_BURST = 2.0  # requests
BURST_S = 1.0  # requests of this time may be sent at once after a pause
# An answer to a request that was sent earlier than this after the limit was last named
# does not show that the engine has stopped to name it.
HOLD_S = 1.0


class _TokenBucket:
    """A bucket of tokens, one for each request that may be sent."""

    def __init__(self, level: float, now_s: float):
        self._level = level
        self._updated_s = now_s

    def wait_s(self, now_s: float, rate_per_s: float, capacity: float) -> float:
        """Return the time until there is a token; 0 if there is one now."""
        elapsed_s = max(now_s - self._updated_s, 0.0)
        self._level = min(self._level + elapsed_s * rate_per_s, capacity)
        self._updated_s = max(now_s, self._updated_s)
        return max(1.0 - self._level, 0.0) / rate_per_s

    def take(self, count: int) -> None:
        """Take tokens, also some that are not there yet."""
        self._level -= count


class EngineLimit:
    """The limit that one engine names, and what is left of it.

    :param engine_id: id of the engine, for notices.
    :ivar limit_per_s: requests per second from all entries together; None while the
        engine names no limit.
    """

    def __init__(self, engine_id: str):
        self.limit_per_s: float | None = None
        self._engine_id = engine_id
        self._evidence_s = float("-inf")
        self._shared = _TokenBucket(0.0, 0.0)
        self._part = _TokenBucket(0.0, 0.0)

    def on_answer(
        self, limit_per_s: float | None, sent_s: float, now_s: float
    ) -> entry_data.LimitNotice | None:
        """Apply what an answer of the engine says.

        :param limit_per_s: the limit that it names; None if it names none.
        :param sent_s: when the request was sent.
        :return: what to notify the other entries of; None if nothing changed.
        """
        is_unchanged = limit_per_s == self.limit_per_s
        evidence_s = sent_s if limit_per_s is None else now_s
        if not self._update(limit_per_s, evidence_s, now_s) or is_unchanged:
            return None
        age_s = now_s - evidence_s
        return entry_data.LimitNotice(self._engine_id, limit_per_s, age_s)

    def on_notice(self, notice: entry_data.LimitNotice, now_s: float) -> None:
        """Apply what another entry knows of the limit, and count its requests."""
        evidence_s = now_s - max(notice.age_s, 0.0)
        self._update(notice.limit_per_s, evidence_s, now_s)
        self._shared.take(max(notice.dispatches, 0))

    def wait_s(self, now_s: float, entry_count: int) -> float:
        """Return the time until this entry may send a request; 0 if it may now.

        :param entry_count: number of entries that send requests.
        """
        if self.limit_per_s is None:
            return 0.0
        rate_per_s = max(self.limit_per_s, MIN_LIMIT_PER_S)
        part_per_s = rate_per_s * PART_FACTOR / max(entry_count, 1)
        shared_burst = 1.0 + rate_per_s * BURST_S
        part_burst = max(part_per_s * BURST_S, MIN_PART_BURST)
        return max(
            self._shared.wait_s(now_s, rate_per_s, shared_burst),
            self._part.wait_s(now_s, part_per_s, part_burst),
        )

    def record_dispatch(self, now_s: float) -> entry_data.LimitNotice | None:
        """Count a request; return the notice to the other entries under a limit."""
        if self.limit_per_s is None:
            return None
        self._shared.take(1)
        self._part.take(1)
        age_s = now_s - self._evidence_s
        return entry_data.LimitNotice(
            self._engine_id, self.limit_per_s, age_s, dispatches=1
        )

    def _update(
        self, limit_per_s: float | None, evidence_s: float, now_s: float
    ) -> bool:
        """Apply a limit if it is newer than the known one; return whether it is."""
        if limit_per_s is None:
            is_new = evidence_s >= self._evidence_s + HOLD_S
        else:
            is_valid = math.isfinite(limit_per_s) and limit_per_s >= 0
            is_new = is_valid and evidence_s >= self._evidence_s
        if not is_new:
            return False
        if self.limit_per_s is None:
            self._shared = _TokenBucket(0.0, now_s)
            self._part = _TokenBucket(1.0, now_s)
        self.limit_per_s = limit_per_s
        self._evidence_s = evidence_s
        return True
