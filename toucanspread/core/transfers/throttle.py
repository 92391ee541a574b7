"""Lets live requests go first: slows transfers while requests take longer than before.

The usual time of a unit of work is learnt while nothing is moved. While a transfer
runs, a clearly longer time halves its share of the link; a usual one gives it back
step by step. A share never falls below a floor, so that weights arrive under steady
load as well.
"""

from toucanspread.core import data, machine
from toucanspread.core.gate import admission

INTERVAL_S = 1.0
MIN_SHARE = 0.25
STEP = 0.1
TOLERANCE = 1.3  # times the usual time that counts as not slowed down
MIN_SAMPLES = 4
SMOOTHING = 0.2


class SetRateShare(data.Effect):
    """Use this share of the transfer rates and of the requests in flight."""

    share: float


class Throttle:
    """The share and what it follows from.

    :ivar usual_s: a smoothed time of a unit of work while nothing is moved.
    """

    def __init__(self):
        self.share = 1.0
        self.usual_s = 0.0
        self.next_s = 0.0
        self._total_s = 0.0
        self._samples = 0

    def add(self, unit_s: float) -> None:
        """Take in one ended request."""
        self._total_s += unit_s
        self._samples += 1

    def end_interval(self, is_moving: bool) -> bool:
        """Follow the samples of an interval; return whether the share changed."""
        before = self.share
        enough = self._samples >= MIN_SAMPLES
        mean_s = self._total_s / self._samples if self._samples else 0.0
        self._total_s, self._samples = 0.0, 0
        if not is_moving:
            self._learn(mean_s, enough)
            self.share = 1.0
        elif enough and self.usual_s and mean_s > TOLERANCE * self.usual_s:
            self.share = max(MIN_SHARE, self.share / 2)
        else:
            self.share = min(1.0, self.share + STEP)
        return self.share != before

    def _learn(self, mean_s: float, enough: bool) -> None:
        if not enough:
            return
        if not self.usual_s:
            self.usual_s = mean_s
        self.usual_s += SMOOTHING * (mean_s - self.usual_s)


def on_released(node: machine.Node, event: admission.Released) -> list:
    """Take in the time of a live request."""
    if event.ok and event.ran:
        node.transfer.throttle.add(event.service_time_s / max(1.0, event.units))
    return []


def update(node: machine.Node) -> list:
    """Once an interval, follow the live requests' times."""
    pace = node.transfer.throttle
    if node.now_s < pace.next_s:
        return []
    pace.next_s = node.now_s + INTERVAL_S
    current = node.transfer.current
    if not pace.end_interval(current is not None and current.is_moving()):
        return []
    return [SetRateShare(pace.share)]
