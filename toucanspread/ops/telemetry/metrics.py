"""OpenTelemetry metrics in the Prometheus text format.

Instruments are created on first use. Histograms have the team and the class of a
request as attributes, so that the distribution of each team and class is visible.
"""

from opentelemetry import metrics as api
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

_meter = api.get_meter("toucanspread")
_counters: dict[str, api.Counter] = {}
_histograms: dict[str, api.Histogram] = {}
_gauges: dict = {}


def start() -> None:
    """Install the meter provider; metrics recorded before this call are lost."""
    api.set_meter_provider(MeterProvider([PrometheusMetricReader()]))


def count(name: str, amount: int, attributes: dict[str, str]) -> None:
    """Add an amount to a counter."""
    if name not in _counters:
        _counters[name] = _meter.create_counter(name)
    _counters[name].add(amount, attributes)


def observe(name: str, value: float, attributes: dict[str, str]) -> None:
    """Record a value in a histogram."""
    if name not in _histograms:
        _histograms[name] = _meter.create_histogram(name)
    _histograms[name].record(value, attributes)


def set_gauge(name: str, value: float, attributes: dict[str, str]) -> None:
    """Set a gauge."""
    if name not in _gauges:
        _gauges[name] = _meter.create_gauge(name)
    _gauges[name].set(value, attributes)


def render_exposition() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
