"""A concurrency limit that follows measured latency.

Latencies are compared per unit of work, so that a long answer is not taken for a slow
engine. Once a window the limit is multiplied by how much slower than the unloaded
latency the last samples were, and given room to grow by its square root: it settles
where requests begin to wait for each other inside the engine.
"""

import math

MIN_LIMIT = 2.0
MAX_LIMIT = 256.0
WINDOW_S = 0.5
MIN_SAMPLES = 8
TOLERANCE = 1.5  # times the unloaded latency that counts as not slowed down
MIN_GRADIENT = 0.5
SMOOTHING = 0.3  # of the newest window in the limit
BASELINE_SMOOTHING = 0.2
FAILURE_FACTOR = 0.8  # of the limit after a window in which most runs failed
USED_SHARE = 0.8  # a limit that is used less than this does not grow


class AdaptiveLimit:
    """The limit with the samples of the current window.

    :param initial: the limit before any latency is known.
    """

    def __init__(self, initial: float):
        self.value = float(initial)
        self.baseline_s: float | None = None
        self._initial = float(initial)
        self._window_start_s = 0.0
        self._clear()

    def reset(self) -> None:
        """Forget what was learnt, as after a change of what is served."""
        self.baseline_s = None
        self.value = self._initial
        self._clear()

    def add(
        self, now_s: float, latency_s: float, units: float, running: int, ok: bool
    ) -> None:
        """Take in one ended run.

        :param units: the work that it did, such as events streamed.
        :param running: how many ran when it ended, with it.
        """
        self._most_running = max(self._most_running, running)
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
            self._set(self.value * FAILURE_FACTOR)
        else:
            self._follow()
        self._window_start_s = now_s
        self._clear()

    def _follow(self) -> None:
        mean_s = self._total_s / self._samples
        self._learn_baseline(mean_s)
        gradient = TOLERANCE * self.baseline_s / max(mean_s, 1e-9)
        gradient = min(1.0, max(MIN_GRADIENT, gradient))
        wanted = self.value * gradient + math.sqrt(self.value)
        is_used = self._most_running >= USED_SHARE * self.value
        if wanted > self.value and not is_used:
            return
        self._set(self.value + SMOOTHING * (wanted - self.value))

    def _learn_baseline(self, mean_s: float) -> None:
        """Follow the unloaded latency down at once, up only when unloaded."""
        if self.baseline_s is None or self._least_s < self.baseline_s:
            self.baseline_s = self._least_s
            return
        mean_running = self._running_sum / self._samples
        if mean_running <= MIN_LIMIT:
            # Hardly anything ran beside these, so this is what the work takes now.
            unloaded_s = mean_s / max(1.0, mean_running)
            self.baseline_s += BASELINE_SMOOTHING * (unloaded_s - self.baseline_s)

    def _set(self, value: float) -> None:
        self.value = min(MAX_LIMIT, max(MIN_LIMIT, value))

    def _clear(self) -> None:
        self._total_s = 0.0
        self._least_s = math.inf
        self._running_sum = 0
        self._samples = 0
        self._failures = 0
        self._most_running = 0
