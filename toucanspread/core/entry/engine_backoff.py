"""Keeps the time for which an engine has asked this entry to send it no requests.

When the time ends, one request is sent as a trial. The others follow once the engine
has answered it without asking for another time, or if it doesn't answer soon.
"""

import random

TRIAL_S = 0.5  # until another request may follow one that has no answer yet
# Entries that were asked at the same moment don't come back at the same moment.
RETURN_INTERVAL_S = 0.02  # between two entries
MAX_RETURN_SPREAD_S = 1.0


class EngineBackoff:
    """The backoff that one engine has asked for.

    :ivar is_over: whether the engine wants requests, as its answers show since.
    """

    def __init__(self):
        self._until_s = float("-inf")
        self.is_over = True
        self._trial_sent_s = float("-inf")

    def on_answer(self, backoff_s: float | None, sent_s: float, now_s: float) -> None:
        """Apply what an answer says; a shorter time doesn't end an earlier one.

        :param backoff_s: the time that it names; None if it names none.
        :param sent_s: when the request was sent.
        """
        if backoff_s is not None:
            self._until_s = max(self._until_s, now_s + backoff_s)
            self.is_over = False
        elif sent_s >= self._until_s:
            self.is_over = True

    def record_dispatch(self, now_s: float) -> None:
        """Record a request that is sent to the engine."""
        if not self.is_over:
            self._trial_sent_s = now_s

    def left_s(self, now_s: float) -> float:
        """Return the time that is left; 0 if requests are welcome."""
        return max(self._until_s - now_s, 0.0)

    def trial_left_s(self, now_s: float) -> float:
        """Return the time until more requests may follow a trial; 0 if they may now."""
        if self.is_over:
            return 0.0
        return max(self._trial_sent_s + TRIAL_S - now_s, 0.0)


def draw_return_delay_s(entry_count: int, random_source: random.Random) -> float:
    """Return how much longer than asked this entry stays away from an engine.

    :param entry_count: number of entries that send requests.
    """
    spread_s = min(entry_count * RETURN_INTERVAL_S, MAX_RETURN_SPREAD_S)
    return random_source.random() * spread_s
