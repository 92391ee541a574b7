"""Metrics by OpenTelemetry, read by a scraper over HTTP.

Instruments are made on first use. Histograms carry the team and the class of a
request as attributes, so that each team's and class's distribution is seen.
"""

from opentelemetry import metrics as api
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

_meter = api.get_meter("toucanspread")
_counters: dict[str, api.Counter] = {}
_histograms: dict[str, api.Histogram] = {}


def start() -> None:
    """Install the provider; metrics before this call are lost."""
    api.set_meter_provider(MeterProvider([PrometheusMetricReader()]))


def count(name: str, amount: int, attributes: dict[str, str]) -> None:
    """Add to a counter."""
    if name not in _counters:
        _counters[name] = _meter.create_counter(name)
    _counters[name].add(amount, attributes)


def observe(name: str, value: float, attributes: dict[str, str]) -> None:
    """Record a value in a histogram."""
    if name not in _histograms:
        _histograms[name] = _meter.create_histogram(name)
    _histograms[name].record(value, attributes)


def render_exposition() -> bytes:
    """Return all metrics in the scraper's text format."""
    return generate_latest(REGISTRY)
