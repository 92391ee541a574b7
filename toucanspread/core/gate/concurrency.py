"""An adaptive concurrency limit that follows the observed latency.

Latency is taken per unit of work, so that a long answer does not look like a slow
engine. At the end of each window, the limit is multiplied by the ratio of the unloaded
latency to the latency of the window, and increased by its square root. It settles
where requests begin to wait for each other inside the engine.
"""

import math

MIN_LIMIT = 2.0
MAX_LIMIT = 256.0
WINDOW_S = 0.5
MIN_SAMPLES = 8
LATENCY_TOLERANCE_FACTOR = 1.5  # of the unloaded latency; up to this it is not slow
MIN_GRADIENT = 0.5
SMOOTHING_RATIO = 0.3  # of the newest window in the limit
BASELINE_SMOOTHING_RATIO = 0.2
FAILURE_FACTOR = 0.8  # multiplies the limit after a window of mostly failed runs
MIN_USED_RATIO = 0.8  # the limit grows only if at least this much of it was used


class AdaptiveLimit:
    """The concurrency limit and the samples of the current window.

    :param initial: the limit before any latency is known.
    :ivar baseline_s: the unloaded latency for each unit of work.
    """

    def __init__(self, initial: float):
        self.value = float(initial)
        self.baseline_s: float | None = None
        self._initial = float(initial)
        self._window_start_s = 0.0
        self._start_window()

    def reset(self) -> None:
        """Discard all samples and return to the initial limit."""
        self.baseline_s = None
        self.value = self._initial
        self._start_window()

    def add_sample(
        self, now_s: float, latency_s: float, units: float, running: int, ok: bool
    ) -> None:
        """Add one ended run.

        :param units: the work that it did, such as events streamed.
        :param running: how many runs there were when it ended, including itself.
        """
        self._max_running = max(self._max_running, running)
        if ok:
            sample_s = latency_s / max(1.0, units)
            self._total_s += sample_s
            self._least_s = min(self._least_s, sample_s)
            self._running_sum += running
            self._samples += 1
        else:
            self._failures += 1
        ended = self._samples + self._failures
        if ended >= MIN_SAMPLES and now_s - self._window_start_s >= WINDOW_S:
            self._end_window(now_s)

    def _end_window(self, now_s: float) -> None:
        if self._failures > self._samples:
            self._set_value(self.value * FAILURE_FACTOR)
        else:
            self._adapt()
        self._window_start_s = now_s
        self._start_window()

    def _adapt(self) -> None:
        mean_s = self._total_s / self._samples
        self._update_baseline(mean_s)
        gradient = LATENCY_TOLERANCE_FACTOR * self.baseline_s / max(mean_s, 1e-9)
        gradient = min(1.0, max(MIN_GRADIENT, gradient))
        target = self.value * gradient + math.sqrt(self.value)
        is_used = self._max_running >= MIN_USED_RATIO * self.value
        if target > self.value and not is_used:
            return
        self._set_value(self.value + SMOOTHING_RATIO * (target - self.value))

    def _update_baseline(self, mean_s: float) -> None:
        """Lower the unloaded latency at once; raise it only while hardly loaded."""
        if self.baseline_s is None or self._least_s < self.baseline_s:
            self.baseline_s = self._least_s
            return
        mean_running = self._running_sum / self._samples
        if mean_running <= MIN_LIMIT:
            # With so few concurrent runs, the window shows the unloaded latency.
            unloaded_s = mean_s / max(1.0, mean_running)
            self.baseline_s += BASELINE_SMOOTHING_RATIO * (unloaded_s - self.baseline_s)

    def _set_value(self, value: float) -> None:
        self.value = min(MAX_LIMIT, max(MIN_LIMIT, value))

    def _start_window(self) -> None:
        self._total_s = 0.0
        self._least_s = math.inf
        self._running_sum = 0
        self._samples = 0
        self._failures = 0
        self._max_running = 0
