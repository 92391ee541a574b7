"""Summarizes the logs of several processes by second."""

import collections
import dataclasses
from collections.abc import Iterable

from toucanspread.tools import request_trace

ANSWERED_EVENT = "request_answered"
REFUSED_EVENTS = ("request_refused", "request_turned_away")
FAILED_EVENTS = ("request_failed", "stream_broken")
LIFECYCLE_EVENTS = ("started", "leaving", "ending")


@dataclasses.dataclass
class SecondSummary:
    """Outcomes of requests and lifecycle events of processes within one second.

    :param first_event_times_s: times from the start of an answered request to the
        first event or byte of its answer.
    :param lifecycle_events: number of processes by the event that they logged.
    """

    answered: int = 0
    refused: int = 0
    failed: int = 0
    first_event_times_s: list[float] = dataclasses.field(default_factory=list)
    lifecycle_events: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def quantile_s(self, quantile: float) -> float:
        """Return a quantile of the times to the first event; 0 if there are none."""
        if not self.first_event_times_s:
            return 0.0
        ordered = sorted(self.first_event_times_s)
        return ordered[int(quantile * (len(ordered) - 1))]


@dataclasses.dataclass
class LogSummary:
    """Summary of logs by second.

    :param start_s: time of the first log line.
    :param seconds: summaries by whole seconds since the first log line.
    :param accepted_orders: seconds since the first log line, instance and version of
        each order that an engine accepted.
    """

    start_s: float
    seconds: dict[int, SecondSummary]
    accepted_orders: list[tuple[float, str, int]]

    def count_engines_by_version(self, second: int) -> collections.Counter[int]:
        """Return the number of engines by the version of their last accepted order.

        :param second: orders up to the end of this second are counted.
        """
        latest_versions: dict[str, int] = {}
        for at_s, instance, version in self.accepted_orders:
            if at_s < second + 1:
                latest_versions[instance] = version
        return collections.Counter(latest_versions.values())


class NoLogLinesError(Exception):
    """The given files contain no log line."""


def summarize_lines(lines: Iterable[str]) -> LogSummary:
    """Return the summary of log lines, which may come in any order.

    :raises NoLogLinesError: if none of them is a log line.
    """
    parsed = [line for line in map(request_trace.parse_line, lines) if line is not None]
    if not parsed:
        raise NoLogLinesError("no log line was found in the given files")
    parsed.sort(key=lambda line: line.time_s)
    summary = LogSummary(parsed[0].time_s, {}, [])
    for line in parsed:
        _add_line(summary, line)
    return summary


def _add_line(summary: LogSummary, line: request_trace.LogLine) -> None:
    at_s = line.time_s - summary.start_s
    second = summary.seconds.setdefault(int(at_s), SecondSummary())
    event = line.fields.get("event", "")
    if event == ANSWERED_EVENT:
        second.answered += 1
        second.first_event_times_s.append(float(line.fields.get("first_s", "0")))
    elif event in REFUSED_EVENTS:
        second.refused += 1
    elif event in FAILED_EVENTS:
        second.failed += 1
    elif event in LIFECYCLE_EVENTS:
        second.lifecycle_events[event] += 1
    elif event == "order_answered" and line.fields.get("accepted") == "True":
        instance = line.fields.get("instance", "?")
        summary.accepted_orders.append(
            (at_s, instance, int(line.fields.get("version", "0")))
        )
