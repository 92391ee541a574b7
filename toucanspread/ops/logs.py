"""Structured logs: eliot messages, written as one line of key=value pairs each."""

import json
import sys
from typing import TextIO

import eliot

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


def start(stream: TextIO = sys.stderr, **always: str) -> None:
    """Send every message to ``stream``, with the fields ``always`` on each line."""

    def write_line(message: dict[str, object]) -> None:
        stream.write(format_line({**message, **always}) + "\n")
        stream.flush()

    eliot.add_destinations(write_line)


def write(event: str, **fields: object) -> None:
    """Log one event."""
    eliot.log_message(message_type=event, **fields)
