"""Structured logs: each eliot message becomes one line of key=value pairs."""

import json
import sys
from collections.abc import Callable
from typing import TextIO

import eliot

from toucanspread.ops.telemetry import log_limits

HIDDEN_FIELDS = frozenset({"task_uuid", "task_level", "message_type"})


def format_line(message: dict[str, object]) -> str:
    """Return an eliot message as ``time=... event=... key=value ...``."""
    pairs = [f"time={message['timestamp']:.3f}", f"event={message['message_type']}"]
    for key, value in message.items():
        if key in HIDDEN_FIELDS or key == "timestamp":
            continue
        pairs.append(f"{key}={format_value(value)}")
    return " ".join(pairs)


def format_value(value: object) -> str:
    """Return a value as text, quoted if it is empty or has a separator in it."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not any(character in text for character in ' "=\n\t'):
        return text
    return json.dumps(text)


def start(
    stream: TextIO = sys.stderr,
    limiter: log_limits.Limiter | None = None,
    **constant_fields: str,
) -> None:
    """Write log messages to a stream.

    :param limiter: limits the lines per second; None writes all.
    :param constant_fields: fields that are added to each line.
    """
    eliot.add_destinations(make_line_writer(stream, limiter, constant_fields))


def make_line_writer(
    stream: TextIO, limiter: log_limits.Limiter | None, constant_fields: dict[str, str]
) -> Callable[[dict[str, object]], None]:
    """Return a function that writes a message to a stream.

    A line ``lines_left_out`` with the numbers of lines that the limiter rejected goes
    before the next line that it admits.
    """

    def write_line(message: dict[str, object]) -> None:
        if limiter is not None:
            if not limiter.try_admit(message["message_type"]):
                return
            left_out = limiter.pop_left_out_counts()
            if left_out:
                notice = {**message, "message_type": "lines_left_out"}
                header = {key: notice[key] for key in ("message_type", "timestamp")}
                stream.write(
                    format_line({**header, **left_out, **constant_fields}) + "\n"
                )
        stream.write(format_line({**message, **constant_fields}) + "\n")
        stream.flush()

    return write_line


def write(event: str, **fields: object) -> None:
    """Log an event with its fields."""
    eliot.log_message(message_type=event, **fields)
