"""Bounds the log of a process: its lines a second, and the wait for its reader.

Under load, lines of single requests are left out first, and their number is told; a
reader that does not read makes lines be left out, never the process wait.
"""

import collections
import enum
import os
from collections.abc import Callable

MAX_BUFFERED_BYTES = 262_144  # some seconds of a busy entry's lines


class LineClass(enum.Enum):
    """How much a line matters, and how many of its kind a second may have.

    A value is lines in a second, from what formatting them may cost: about 25
    microseconds a line, so that all together stay below 2% of a core.
    """

    ROUTINE = 100
    FAILURE = 200
    STATE = 200


ROUTINE_EVENTS = frozenset({"request_dispatched", "request_answered", "caller_left"})
FAILURE_EVENTS = frozenset(
    {
        "dispatch_failed",
        "request_denied",
        "request_failed",
        "request_refused",
        "request_turned_away",
        "stream_broken",
    }
)


def classify_event(event: str) -> LineClass:
    """Return how much an event's line matters."""
    if event in ROUTINE_EVENTS:
        return LineClass.ROUTINE
    if event in FAILURE_EVENTS:
        return LineClass.FAILURE
    return LineClass.STATE


class Limiter:
    """Counts lines by second.

    :param clock: returns steady seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._second = 0
        self._written: collections.Counter[LineClass] = collections.Counter()
        self._left_out: collections.Counter[LineClass] = collections.Counter()

    def try_admit(self, event: str) -> bool:
        """Tell whether a line of an event may be written now."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written.clear()
        weight = classify_event(event)
        if self._written[weight] >= weight.value:
            self._left_out[weight] += 1
            return False
        self._written[weight] += 1
        return True

    def pop_left_out_counts(self) -> dict[str, int]:
        """Return how many lines were left out since the last call, by weight."""
        found = {
            f"left_out_{weight.name.lower()}": count
            for weight, count in self._left_out.items()
        }
        self._left_out.clear()
        return found


class NonBlockingStream:
    """A text stream that drops what its reader does not take.

    :param descriptor: of the output; it is made non-blocking.
    """

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unwritten = bytearray()
        self.dropped_line_count = 0

    def write(self, text: str) -> None:
        """Take a line in, or drop it when too much is waiting."""
        if len(self._unwritten) + len(text) > MAX_BUFFERED_BYTES:
            self.dropped_line_count += 1
            return
        self._unwritten += text.encode()

    def flush(self) -> None:
        """Write what the reader takes now."""
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            # Nobody reads; the lines stay until there is room, or are dropped.
            return
        del self._unwritten[:written]
