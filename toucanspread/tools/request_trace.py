"""Selects the log lines of one request from the logs of several processes."""

import re
import shlex
from collections.abc import Iterable
from typing import NamedTuple

TIME_PATTERN = re.compile(r"\btime=(\d+\.\d+) event=")
HEADLINE_FIELDS = ("time", "event", "instance", "role")


class LogLine(NamedTuple):
    """A parsed log line.

    :param fields: the key=value pairs of the line, in their order.
    """

    time_s: float
    fields: dict[str, str]


def parse_line(line: str) -> LogLine | None:
    """Parse a log line; return None if the text is not one.

    Text before the time is ignored, since other tools may put a prefix there.
    """
    match = TIME_PATTERN.search(line)
    if match is None:
        return None
    try:
        words = shlex.split(line[match.start() :])
    except ValueError:
        # The line was cut off within a quoted value.
        words = line[match.start() :].split()
    pairs = (word.partition("=") for word in words if "=" in word)
    return LogLine(float(match[1]), {name: value for name, _, value in pairs})


def select_request_lines(request_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the log lines of a request in order of time."""
    selected = []
    for line in lines:
        if request_id not in line:
            continue
        parsed = parse_line(line)
        if parsed is not None and parsed.fields.get("id") == request_id:
            selected.append(parsed)
    selected.sort(key=lambda line: line.time_s)
    return selected


def format_trace(lines: list[LogLine]) -> list[str]:
    """Return one line of text per log line, with the time since the first one."""
    if not lines:
        return ["no log line of this request was found"]
    start_s = lines[0].time_s
    rendered = []
    for line in lines:
        fields = [
            f"{name}={value}"
            for name, value in line.fields.items()
            if name not in HEADLINE_FIELDS and name != "id"
        ]
        instance = line.fields.get("instance", "?")
        event = line.fields.get("event", "?")
        after_ms = (line.time_s - start_s) * 1000
        rendered.append(f"{after_ms:8.0f} ms  {instance}  {event}  {' '.join(fields)}")
    return rendered
