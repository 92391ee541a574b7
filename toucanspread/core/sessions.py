"""Records and replays sessions: a machine's events and effects as lines of JSON.

A golden file is such a session. A new machine must give the same effects for its
events; a difference is a change of behaviour that must be intended.
"""

import functools
from collections.abc import Iterable

import msgspec

from toucanspread.core import data, decoder, events, machine


class SessionError(Exception):
    """A session cannot be parsed."""


class Mismatch(data.Record):
    """A step whose effects differ from those of the session.

    :param line: line number in the session, from 1.
    """

    line: int
    expected: str
    found: str


def leaf_types(base: type) -> tuple[type, ...]:
    """Return the subclasses of ``base`` without subclasses of their own, by name."""
    leaves: list[type] = []
    pending = list(base.__subclasses__())
    while pending:
        kind = pending.pop()
        subclasses = kind.__subclasses__()
        pending.extend(subclasses)
        if not subclasses:
            leaves.append(kind)
    return tuple(sorted(leaves, key=lambda kind: kind.__name__))


def union_of(base: type) -> object:
    """Return the union of the leaf types of ``base``, for a decoder."""
    kinds = leaf_types(base)
    return functools.reduce(lambda left, right: left | right, kinds)


class Recorder:
    """Drives a machine and records the session.

    :param stepper: the machine to drive.
    """

    def __init__(self, stepper: machine.Machine):
        self._machine = stepper
        self._lines: list[str] = []

    @property
    def node(self) -> machine.Node:
        """Return the node of the machine."""
        return self._machine.node

    def step(self, now_s: float, event: data.Event) -> list[data.Effect]:
        """Pass an event to the machine and record it with its effects."""
        outputs = self._machine.step(now_s, event)
        self._lines.append(_encode_step(now_s, event, outputs))
        return outputs

    def text(self) -> str:
        """Return the session recorded so far."""
        return "".join(f"{line}\n" for line in self._lines)


def replay(text: str, stepper: machine.Machine) -> list[Mismatch]:
    """Pass a session's events to a new machine and return the steps that differ.

    :raises SessionError: if the text is not a session.
    """
    mismatches = []
    for number, line in enumerate(text.splitlines(), start=1):
        now_s, event = _decode_step(number, line)
        actual = _encode_step(now_s, event, stepper.step(now_s, event))
        if actual != line:
            mismatches.append(Mismatch(number, line, actual))
    return mismatches


def _encode_step(
    now_s: float, event: data.Event, outputs: Iterable[data.Effect]
) -> str:
    record = {"now_s": round(now_s, 6), "event": event, "effects": list(outputs)}
    return msgspec.json.encode(record).decode()


def _decode_step(number: int, line: str) -> tuple[float, data.Event]:
    try:
        record = decoder.parse_json(line)
        event = decoder.convert(record["event"], union_of(data.Event))
        if isinstance(event, events.MessageReceived):
            message = decoder.convert(event.message, union_of(data.Message))
            event = msgspec.structs.replace(event, message=message)
        return record["now_s"], event
    except (decoder.MalformedError, KeyError) as error:
        raise SessionError(
            f"line {number} is not a step of a session: {error}"
        ) from error
