"""Sessions: a machine's events and effects as lines of JSON, to keep and to replay.

A golden file is such a session. Replaying its events through a fresh machine must
give the same effects; a difference is a change of behaviour that has to be meant.
"""

import functools
import json
import os
import pathlib
from collections.abc import Iterable

import msgspec

from toucanspread.core import data, events, machine

UPDATE_VARIABLE = "UPDATE_GOLDEN"  # set to 1 to rewrite golden files


class SessionError(Exception):
    """A session file cannot be read."""


class Mismatch(data.Record):
    """A step whose effects are not those of the session.

    :param line: the line in the session, from 1.
    """

    line: int
    expected: str
    found: str


def leaf_types(base: type) -> tuple[type, ...]:
    """Return all types below ``base`` that have none below them, by name."""
    found: list[type] = []
    pending = list(base.__subclasses__())
    while pending:
        kind = pending.pop()
        below = kind.__subclasses__()
        pending.extend(below)
        if not below:
            found.append(kind)
    return tuple(sorted(found, key=lambda kind: kind.__name__))


def union_of(base: type) -> object:
    """Return the union of the leaf types below ``base``, for a decoder."""
    kinds = leaf_types(base)
    return functools.reduce(lambda left, right: left | right, kinds)


class Recorder:
    """Steps a machine and keeps the session.

    :param stepper: the machine to drive.
    """

    def __init__(self, stepper: machine.Machine):
        self._machine = stepper
        self._lines: list[str] = []

    @property
    def node(self) -> machine.Node:
        """The node of the machine."""
        return self._machine.node

    def step(self, now_s: float, event: data.Event) -> list[data.Effect]:
        """Step the machine and keep the event with its effects."""
        found = self._machine.step(now_s, event)
        self._lines.append(_line(now_s, event, found))
        return found

    def text(self) -> str:
        """Return the session so far."""
        return "".join(f"{line}\n" for line in self._lines)


def replay(text: str, stepper: machine.Machine) -> list[Mismatch]:
    """Feed a session's events to a fresh machine and return what differs.

    :raises SessionError: when the text is no session.
    """
    mismatches = []
    for number, line in enumerate(text.splitlines(), start=1):
        now_s, event = _parse(number, line)
        found = _line(now_s, event, stepper.step(now_s, event))
        if found != line:
            mismatches.append(Mismatch(number, line, found))
    return mismatches


def compare_golden(path: pathlib.Path, text: str) -> list[str]:
    """Return the lines in which a session differs from its golden file.

    With the environment's ``UPDATE_GOLDEN=1`` the file is rewritten instead.
    """
    if os.environ.get(UPDATE_VARIABLE) == "1":
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        return []
    expected = path.read_text().splitlines()
    found = text.splitlines()
    differing = []
    for number in range(max(len(expected), len(found))):
        before = expected[number] if number < len(expected) else "(no line)"
        after = found[number] if number < len(found) else "(no line)"
        if before != after:
            differing.append(f"line {number + 1}: {before} became {after}")
    return differing


def _line(now_s: float, event: data.Event, found: Iterable[data.Effect]) -> str:
    record = {"now_s": round(now_s, 6), "event": event, "effects": list(found)}
    return msgspec.json.encode(record).decode()


def _parse(number: int, line: str) -> tuple[float, data.Event]:
    try:
        record = json.loads(line)
        event = msgspec.convert(record["event"], union_of(data.Event))
        if isinstance(event, events.MessageReceived):
            message = msgspec.convert(event.message, union_of(data.Message))
            event = msgspec.structs.replace(event, message=message)
        return record["now_s"], event
    except (ValueError, KeyError, msgspec.MsgspecError) as error:
        raise SessionError(f"line {number} is no step of a session: {error}") from error
