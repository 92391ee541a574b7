"""Tells the story of one request from the logs of many processes."""

import re
import shlex
from collections.abc import Iterable
from typing import NamedTuple

TIME_PATTERN = re.compile(r"\btime=(\d+\.\d+) event=")
HEADLINE_FIELDS = ("time", "event", "instance", "role")


class LogLine(NamedTuple):
    """One line of a log.

    :param fields: its key=value pairs, in their order.
    """

    time_s: float
    fields: dict[str, str]


def parse(line: str) -> LogLine | None:
    """Return a log line, whatever stands before its time, or None for other text."""
    found = TIME_PATTERN.search(line)
    if found is None:
        return None
    try:
        words = shlex.split(line[found.start() :])
    except ValueError:
        # A line that was cut off within a quoted value.
        words = line[found.start() :].split()
    pairs = (word.partition("=") for word in words if "=" in word)
    return LogLine(float(found[1]), {name: value for name, _, value in pairs})


def story(request_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines of a request, the earliest first."""
    found = []
    for line in lines:
        if request_id not in line:
            continue
        parsed = parse(line)
        if parsed is not None and parsed.fields.get("id") == request_id:
            found.append(parsed)
    found.sort(key=lambda line: line.time_s)
    return found


def render(lines: list[LogLine]) -> list[str]:
    """Return one readable line for each of a request's log lines."""
    if not lines:
        return ["no line of this request was found"]
    start_s = lines[0].time_s
    rendered = []
    for line in lines:
        others = [
            f"{name}={value}"
            for name, value in line.fields.items()
            if name not in HEADLINE_FIELDS and name != "id"
        ]
        where = line.fields.get("instance", "?")
        event = line.fields.get("event", "?")
        after_ms = (line.time_s - start_s) * 1000
        rendered.append(f"{after_ms:8.0f} ms  {where}  {event}  {' '.join(others)}")
    return rendered
