"""Structured logs: eliot messages, written as one line of key=value pairs each."""

import json
import sys
from collections.abc import Callable
from typing import TextIO

import eliot

from toucanspread.ops import log_limits

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
    """Return a value that holds no blank unless it is quoted."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not any(character in text for character in ' "=\n\t'):
        return text
    return json.dumps(text)


def start(
    stream: TextIO = sys.stderr,
    limiter: log_limits.Limiter | None = None,
    **always: str,
) -> None:
    """Send messages to ``stream``, with the fields ``always`` on each line.

    :param limiter: bounds the lines a second; None writes all.
    """
    eliot.add_destinations(make_line_writer(stream, limiter, always))


def make_line_writer(
    stream: TextIO, limiter: log_limits.Limiter | None, always: dict[str, str]
) -> Callable[[dict[str, object]], None]:
    """Return what writes a message to a stream, and tells what was left out."""

    def write_line(message: dict[str, object]) -> None:
        if limiter is not None:
            if not limiter.try_admit(message["message_type"]):
                return
            left_out = limiter.pop_left_out_counts()
            if left_out:
                told = {**message, "message_type": "lines_left_out"}
                kept = {key: told[key] for key in ("message_type", "timestamp")}
                stream.write(format_line({**kept, **left_out, **always}) + "\n")
        stream.write(format_line({**message, **always}) + "\n")
        stream.flush()

    return write_line


def write(event: str, **fields: object) -> None:
    """Log one event."""
    eliot.log_message(message_type=event, **fields)
