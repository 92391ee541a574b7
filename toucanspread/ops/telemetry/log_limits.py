"""Limits the log of a process by lines per second and by unread bytes.

Under load, lines about single requests are left out first, and their number is logged.
If the reader of the log does not read, lines are dropped and the process never blocks.
"""

import collections
import enum
import os
from collections.abc import Callable

MAX_BUFFERED_BYTES = 262_144  # some seconds of a busy entry's log lines


class LineClass(enum.Enum):
    """Classes of log lines, each with a limit of its own."""

    ROUTINE = "routine"
    FAILURE = "failure"
    STATE = "state"


# A line takes about 25 microseconds, so all lines take less than 2% of a core.
MAX_LINES_PER_S = {
    LineClass.ROUTINE: 100,
    LineClass.FAILURE: 200,
    LineClass.STATE: 200,
}
ROUTINE_EVENTS = frozenset({"request_dispatched", "request_answered", "caller_left"})
FAILURE_EVENTS = frozenset(
    {
        "answer_rejected",
        "dispatch_failed",
        "older_version_begun",
        "engine_crash_suspected",
        "holder_gave_way",
        "request_denied",
        "request_failed",
        "request_refused",
        "request_turned_away",
        "stream_broken",
    }
)


def classify_event(event: str) -> LineClass:
    """Return the class of an event's log line."""
    if event in ROUTINE_EVENTS:
        return LineClass.ROUTINE
    if event in FAILURE_EVENTS:
        return LineClass.FAILURE
    return LineClass.STATE


class Limiter:
    """Limits log lines per second by class.

    :param clock: returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._second = 0
        self._written: collections.Counter[LineClass] = collections.Counter()
        self._left_out: collections.Counter[LineClass] = collections.Counter()

    def try_admit(self, event: str) -> bool:
        """Return whether a line of an event may be written now, and count it."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written.clear()
        line_class = classify_event(event)
        if self._written[line_class] >= MAX_LINES_PER_S[line_class]:
            self._left_out[line_class] += 1
            return False
        self._written[line_class] += 1
        return True

    def pop_left_out_counts(self) -> dict[str, int]:
        """Return and reset the numbers of lines left out, by their field name."""
        counts = {
            f"left_out_{line_class.value}": count
            for line_class, count in self._left_out.items()
        }
        self._left_out.clear()
        return counts


class NonBlockingStream:
    """A text stream that drops lines if its reader does not keep up.

    :param descriptor: file descriptor of the output, which is made non-blocking.
    :ivar dropped_line_count: number of lines dropped since the start.
    """

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = bytearray()
        self.dropped_line_count = 0

    def write(self, text: str) -> None:
        """Buffer a line, or drop it if the buffer is full."""
        if len(self._buffer) + len(text) > MAX_BUFFERED_BYTES:
            self.dropped_line_count += 1
            return
        self._buffer += text.encode()

    def flush(self) -> None:
        """Write as much of the buffer as the output accepts without blocking."""
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            # The output is full because its reader is slow; the lines stay buffered.
            return
        del self._buffer[:written]
