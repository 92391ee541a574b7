"""Limits the rate of bytes on a link by delaying transfers, without bursts."""

import asyncio
from collections.abc import Callable


class RateLimiter:
    """Limits the total rate of all users of a link, first come, first served.

    :param rate_bytes_s: rate in bytes per second; 0 for no limit.
    :param clock: returns the time in seconds.
    """

    def __init__(self, rate_bytes_s: float, clock: Callable[[], float]):
        self._rate_bytes_s = rate_bytes_s
        self._clock = clock
        self._next_free_s = 0.0
        self._rate_share = 1.0

    def set_rate_share(self, share: float) -> None:
        """Use only a share of the configured rate."""
        self._rate_share = share

    def reserve(self, size_bytes: int) -> float:
        """Reserve the link for a number of bytes.

        :return: seconds to wait before they may be sent.
        """
        if not self._rate_bytes_s:
            return 0.0
        now_s = self._clock()
        duration_s = size_bytes / (self._rate_bytes_s * self._rate_share)
        self._next_free_s = max(self._next_free_s, now_s) + duration_s
        return self._next_free_s - now_s

    async def acquire(self, size_bytes: int) -> None:
        """Wait until a number of bytes may be sent."""
        delay_s = self.reserve(size_bytes)
        if delay_s > 0:
            await asyncio.sleep(delay_s)
