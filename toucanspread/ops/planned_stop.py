"""Times of a planned stop, at whose end the platform kills the process."""

from typing import NamedTuple, Self

# Each margin is this share of the grace period, at most MAX_MARGIN_S.
MARGIN_RATIO = 1 / 12
MAX_MARGIN_S = 0.25


class StopTimes(NamedTuple):
    """Times of a planned stop.

    :param requests_end_s: time at which requests in progress end; what they are
        answered still has to reach their callers.
    :param exit_s: time at which the process exits whatever is in progress.
    """

    requests_end_s: float
    exit_s: float

    @classmethod
    def from_grace(cls, leaving_s: float, grace_s: float) -> Self:
        """Return the times of a stop.

        :param leaving_s: time of the signal to terminate.
        :param grace_s: time from the signal until the platform kills the process.
        """
        grace_s = max(grace_s, 0.0)
        margin_s = min(grace_s * MARGIN_RATIO, MAX_MARGIN_S)
        exit_s = leaving_s + grace_s - margin_s
        return cls(exit_s - margin_s, exit_s)
