"""Buffers counts and observations of a process until they are scraped.

Importing the metrics library costs more processor time at each start than a day of
counting. The buffer therefore holds plain numbers and a bounded list; the first scrape
imports :mod:`toucanspread.ops.telemetry.metrics`, and each scrape moves the values
there.
"""

import collections
from collections.abc import Callable
from typing import NamedTuple

# Observations between two scrapes; each takes a few dozen bytes.
MAX_PENDING_OBSERVATIONS = 5_000


class MetricLabel(NamedTuple):
    """A label of a series."""

    name: str
    value: str


class Series(NamedTuple):
    """A metric name with its labels."""

    name: str
    labels: tuple[MetricLabel, ...]


class Observation(NamedTuple):
    """A value of a histogram."""

    series: Series
    value: float


_counts: collections.Counter[Series] = collections.Counter()
_pending_observations: collections.deque[Observation] = collections.deque(
    maxlen=MAX_PENDING_OBSERVATIONS
)
_gauges: dict[Series, Callable[[], float]] = {}
_started = False


def count(name: str, amount: int = 1, **labels: str) -> None:
    """Add an amount to a counter."""
    _counts[_make_series(name, labels)] += amount


def observe(name: str, value: float, **labels: str) -> None:
    """Record a value of a histogram.

    If the buffer is full because nothing scrapes it, the oldest value is dropped.
    """
    if len(_pending_observations) == MAX_PENDING_OBSERVATIONS:
        count("observations_left_out")
    _pending_observations.append(Observation(_make_series(name, labels), value))


def watch(name: str, read: Callable[[], float], **labels: str) -> None:
    """Read a value at each scrape, as a gauge."""
    _gauges[_make_series(name, labels)] = read


def render_exposition() -> bytes:
    """Return all metrics in the Prometheus text format and empty the buffer."""
    from toucanspread.ops.telemetry import metrics

    global _started
    if not _started:
        metrics.start()
        _started = True
    for series, amount in _counts.items():
        metrics.count(series.name, amount, dict(series.labels))
    _counts.clear()
    for observation in _pending_observations:
        labels = dict(observation.series.labels)
        metrics.observe(observation.series.name, observation.value, labels)
    _pending_observations.clear()
    for series, read in _gauges.items():
        metrics.set_gauge(series.name, read(), dict(series.labels))
    return metrics.render_exposition()


def _make_series(name: str, labels: dict[str, str]) -> Series:
    return Series(name, tuple(MetricLabel(*item) for item in sorted(labels.items())))
