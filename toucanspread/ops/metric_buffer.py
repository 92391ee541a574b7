"""Counts and latencies of a process, kept cheaply until somebody asks for them.

Importing the metrics library costs more processor time at each start than a day's
counting. So these metrics are plain numbers and short lists; the first scrape imports
:mod:`toucanspread.ops.metrics`, and each scrape hands over what has come since.
"""

import collections
from typing import NamedTuple

MAX_PENDING = 5_000  # observations between two scrapes, a few dozen bytes each


class MetricLabel(NamedTuple):
    """One label of a series."""

    name: str
    value: str


class Series(NamedTuple):
    """A name with its labels."""

    name: str
    labels: tuple[MetricLabel, ...]


class Observation(NamedTuple):
    """One value for a histogram."""

    series: Series
    value: float


_counts: collections.Counter[Series] = collections.Counter()
_pending: collections.deque[Observation] = collections.deque(maxlen=MAX_PENDING)
_started = False


def count(name: str, amount: int = 1, **labels: str) -> None:
    """Add to a counter."""
    _counts[_series(name, labels)] += amount


def observe(name: str, value: float, **labels: str) -> None:
    """Add to a histogram; the oldest are left out where nobody scrapes."""
    if len(_pending) == MAX_PENDING:
        count("observations_left_out")
    _pending.append(Observation(_series(name, labels), value))


def render_exposition() -> bytes:
    """Return everything in the scraper's text format."""
    from toucanspread.ops import metrics

    global _started
    if not _started:
        metrics.start()
        _started = True
    for series, amount in _counts.items():
        metrics.count(series.name, amount, dict(series.labels))
    _counts.clear()
    for observation in _pending:
        labels = dict(observation.series.labels)
        metrics.observe(observation.series.name, observation.value, labels)
    _pending.clear()
    return metrics.render_exposition()


def _series(name: str, labels: dict[str, str]) -> Series:
    return Series(name, tuple(MetricLabel(*item) for item in sorted(labels.items())))
