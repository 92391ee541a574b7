"""Summarizes from entries' logs which sizes of requests are served.

A mean over a route can hide that its largest requests are hardly ever served.
"""

from collections.abc import Iterable
from typing import NamedTuple

from toucanspread.tools import log_summary, request_trace

LEFT_EVENT = "caller_left"
UNSERVED_EVENTS = (*log_summary.REFUSED_EVENTS, *log_summary.FAILED_EVENTS, LEFT_EVENT)
# Parts of a route's attempts in ascending order of the prompt's tokens.
BAND_LIMITS = (0.0, 0.5, 0.7, 0.9, 1.0)
SUCCESS_STATUS = "200"


class Attempt(NamedTuple):
    """An attempt of a caller, as its entry logged its end."""

    route: str
    prompt_tokens: int
    is_served: bool


class RouteSummary(NamedTuple):
    """The served part of a route's attempts.

    :param band_ratios: served parts by band of sizes, the largest last.
    """

    route: str
    attempt_count: int
    served_ratio: float
    band_ratios: tuple[float, ...]


def summarize(attempts: Iterable[Attempt]) -> list[RouteSummary]:
    """Return a summary for each route that has sized attempts."""
    by_route: dict[str, list[Attempt]] = {}
    for attempt in attempts:
        by_route.setdefault(attempt.route, []).append(attempt)
    return [_summarize_route(route, by_route[route]) for route in sorted(by_route)]


def parse_attempts(lines: Iterable[str]) -> list[Attempt]:
    """Return the attempts of log lines that name the size of a prompt."""
    attempts = []
    for line in map(request_trace.parse_line, lines):
        if line is None or not int(line.fields.get("tokens", "0")):
            continue
        event = line.fields.get("event")
        is_answer = event == log_summary.ANSWERED_EVENT
        if not is_answer and event not in UNSERVED_EVENTS:
            continue
        attempts.append(
            Attempt(
                line.fields.get("route", "?"),
                int(line.fields["tokens"]),
                is_answer and line.fields.get("status") == SUCCESS_STATUS,
            )
        )
    return attempts


def format_lines(lines: Iterable[str]) -> list[str]:
    """Return a table of the served parts by route and size."""
    table = ["route        attempts  served  to .5   to .7   to .9   largest tenth"]
    for summary in summarize(parse_attempts(lines)):
        ratios = "   ".join(f"{ratio:.3f}" for ratio in summary.band_ratios)
        table.append(
            f"{summary.route:12} {summary.attempt_count:8}  "
            f"{summary.served_ratio:.3f}   {ratios}"
        )
    return table


def _summarize_route(route: str, attempts: list[Attempt]) -> RouteSummary:
    ordered = sorted(attempts, key=lambda attempt: attempt.prompt_tokens)
    count = len(ordered)
    band_ratios = []
    for lower, upper in zip(BAND_LIMITS, BAND_LIMITS[1:], strict=False):
        band = ordered[int(lower * count) : int(upper * count)]
        band_ratios.append(_served_ratio(band))
    return RouteSummary(route, count, _served_ratio(ordered), tuple(band_ratios))


def _served_ratio(attempts: list[Attempt]) -> float:
    if not attempts:
        return 0.0
    return sum(attempt.is_served for attempt in attempts) / len(attempts)
