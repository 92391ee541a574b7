"""Throttles transfers in favour of live requests.

The baseline is the time of a unit of work while no transfer is active. During a
transfer, a mean time clearly above the baseline halves the share of the link that
transfers may use; otherwise the share grows step by step. It never falls below a
minimum, so that weights also arrive under steady load.
"""

from toucanspread.core import data, machine
from toucanspread.core.gate import admission

INTERVAL_S = 1.0
MIN_RATE_SHARE = 0.25
RATE_SHARE_STEP = 0.1
SLOWDOWN_FACTOR = 1.3  # a mean up to this multiple of the baseline is not slow
MIN_SAMPLE_COUNT = 4
SMOOTHING_FACTOR = 0.2


class SetRateShare(data.Effect):
    """Limit the transfer rates to a share of their configured values.

    :param share: from ``MIN_RATE_SHARE`` to 1.
    """

    share: float


class Throttle:
    """Derives the share of the link for transfers from the times of live requests.

    :ivar rate_share: the share, from ``MIN_RATE_SHARE`` to 1; it limits the transfer
        rates and the number of requests in flight.
    :ivar baseline_s: smoothed time of a unit of work while no transfer is active.
    """

    def __init__(self):
        self.rate_share = 1.0
        self.baseline_s = 0.0
        self.next_interval_s = 0.0
        self._total_s = 0.0
        self._sample_count = 0

    def record_request(self, unit_s: float) -> None:
        """Record the time per unit of work of a finished request."""
        self._total_s += unit_s
        self._sample_count += 1

    def end_interval(self, is_transferring: bool) -> bool:
        """Evaluate the samples of an interval; return whether the share changed.

        :param is_transferring: whether a transfer is active to or from this process.
        """
        previous_share = self.rate_share
        has_enough_samples = self._sample_count >= MIN_SAMPLE_COUNT
        mean_s = self._total_s / self._sample_count if self._sample_count else 0.0
        self._total_s, self._sample_count = 0.0, 0
        if not is_transferring:
            self._update_baseline(mean_s, has_enough_samples)
            self.rate_share = 1.0
        elif (
            has_enough_samples
            and self.baseline_s
            and mean_s > SLOWDOWN_FACTOR * self.baseline_s
        ):
            self.rate_share = max(MIN_RATE_SHARE, self.rate_share / 2)
        else:
            self.rate_share = min(1.0, self.rate_share + RATE_SHARE_STEP)
        return self.rate_share != previous_share

    def _update_baseline(self, mean_s: float, has_enough_samples: bool) -> None:
        if not has_enough_samples:
            return
        if not self.baseline_s:
            self.baseline_s = mean_s
        self.baseline_s += SMOOTHING_FACTOR * (mean_s - self.baseline_s)


def on_released(node: machine.Node, event: admission.Released) -> list:
    """Record the time of a live request that the engine has run."""
    if event.ok and event.ran:
        node.transfer.throttle.record_request(
            event.service_time_s / max(1.0, event.units)
        )
    return []


def update_rate_share(node: machine.Node) -> list:
    """Adjust the share once per interval."""
    throttle = node.transfer.throttle
    if node.now_s < throttle.next_interval_s:
        return []
    throttle.next_interval_s = node.now_s + INTERVAL_S
    current = node.transfer.current
    if not throttle.end_interval(current is not None and current.is_active()):
        return []
    return [SetRateShare(throttle.rate_share)]
