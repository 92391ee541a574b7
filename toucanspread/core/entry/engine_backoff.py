"""Keeps the time for which an engine has asked this entry to send it no requests."""


class EngineBackoff:
    """The backoff that one engine has asked for.

    :ivar until_s: time until which it wants no requests from this entry.
    """

    def __init__(self):
        self.until_s = float("-inf")

    def on_answer(self, backoff_s: float | None, now_s: float) -> None:
        """Apply what an answer says; a shorter time doesn't end an earlier one.

        :param backoff_s: the time that it names; None if it names none.
        """
        if backoff_s is not None:
            self.until_s = max(self.until_s, now_s + backoff_s)

    def left_s(self, now_s: float) -> float:
        """Return the time that is left; 0 if requests are welcome."""
        return max(self.until_s - now_s, 0.0)
