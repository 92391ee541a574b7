"""Sums up the logs of many processes over time, for pictures and for tables."""

import collections
import dataclasses
from collections.abc import Iterable

from toucanspread.tools import request_trace

ANSWERED = "request_answered"
REFUSED = ("request_refused", "request_turned_away")
FAILED = ("request_failed", "stream_broken")
LIFE = ("started", "leaving", "ending")


@dataclasses.dataclass
class SecondSummary:
    """What callers got in one second, and what happened to processes.

    :param first_s: times to the first event or byte of what was answered.
    """

    answered: int = 0
    refused: int = 0
    failed: int = 0
    first_event_times_s: list[float] = dataclasses.field(default_factory=list)
    lifecycle_events: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def quantile_s(self, part: float) -> float:
        """Return a quantile of the times to the first event; 0 without any."""
        if not self.first_event_times_s:
            return 0.0
        ordered = sorted(self.first_event_times_s)
        return ordered[int(part * (len(ordered) - 1))]


@dataclasses.dataclass
class LogSummary:
    """The seconds of a day, counted from the first log line.

    :param orders: when each engine's process had an order answered, and for which
        version.
    """

    start_s: float
    seconds: dict[int, SecondSummary]
    accepted_orders: list[tuple[float, str, int]]

    def count_engines_by_version(self, second: int) -> collections.Counter[int]:
        """Return how many engines were last ordered to hold each version."""
        last: dict[str, int] = {}
        for at_s, instance, version in self.accepted_orders:
            if at_s < second + 1:
                last[instance] = version
        return collections.Counter(last.values())


class NoLogLinesError(Exception):
    """There is no line of a log among what was read."""


def summarize_lines(lines: Iterable[str]) -> LogSummary:
    """Return the sums of some logs' lines, in any order.

    :raises NoLogLinesError: when none of them is a log line.
    """
    parsed = [line for line in map(request_trace.parse_line, lines) if line is not None]
    if not parsed:
        raise NoLogLinesError("no log line was found")
    parsed.sort(key=lambda line: line.time_s)
    day = LogSummary(parsed[0].time_s, {}, [])
    for line in parsed:
        _add(day, line)
    return day


def _add(day: LogSummary, line: request_trace.LogLine) -> None:
    at_s = line.time_s - day.start_s
    second = day.seconds.setdefault(int(at_s), SecondSummary())
    event = line.fields.get("event", "")
    if event == ANSWERED:
        second.answered += 1
        second.first_event_times_s.append(float(line.fields.get("first_s", "0")))
    elif event in REFUSED:
        second.refused += 1
    elif event in FAILED:
        second.failed += 1
    elif event in LIFE:
        second.lifecycle_events[event] += 1
    elif event == "order_answered" and line.fields.get("accepted") == "True":
        instance = line.fields.get("instance", "?")
        day.accepted_orders.append(
            (at_s, instance, int(line.fields.get("version", "0")))
        )
