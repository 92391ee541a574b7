"""A clock for simulations with many timers.

Twisted's own clock for tests sorts all of its timers each time that one is added.
"""

import functools
import heapq
import itertools

from twisted.internet import base, task


class _Timer(base.DelayedCall):
    """A timer that tells each change of its time.

    :ivar on_moved: called with the timer when its time has changed.
    """

    on_moved = staticmethod(lambda timer: None)

    def reset(self, delay_s: float) -> None:
        """Fire after a delay from now instead."""
        super().reset(delay_s)
        self.on_moved(self)

    def delay(self, delay_s: float) -> None:
        """Fire later than before by a delay."""
        super().delay(delay_s)
        self.on_moved(self)


class VirtualClock(task.Clock):
    """A clock that keeps its timers in a heap.

    Timers of the same time fire in the order in which they were added.
    """

    def __init__(self):
        super().__init__()
        self._heap: list[tuple[float, int, base.DelayedCall]] = []
        self._numbers = itertools.count()

    def callLater(self, delay_s: float, call, *arguments, **options):  # noqa: N802
        """Call a function after a delay; return the timer."""
        number = next(self._numbers)
        timer = _Timer(
            self.seconds() + delay_s,
            call,
            arguments,
            options,
            _do_nothing,
            _do_nothing,
            self.seconds,
        )
        timer.on_moved = functools.partial(self._push, number)
        self._push(number, timer)
        return timer

    def getDelayedCalls(self) -> list[base.DelayedCall]:  # noqa: N802
        """Return the timers that are due later."""
        timers = {id(timer): timer for _, _, timer in self._heap if timer.active()}
        return list(timers.values())

    @property
    def next_due_s(self) -> float:
        """Return the time at which the next timer fires; infinite without one."""
        self._drop_inactive()
        return self._heap[0][0] if self._heap else float("inf")

    def advance(self, duration_s: float) -> None:
        """Move the time forward and fire the timers that are due then."""
        self.rightNow += duration_s
        while self.next_due_s <= self.seconds():
            _, _, timer = heapq.heappop(self._heap)
            timer.called = 1
            timer.func(*timer.args, **timer.kw)

    def _push(self, number: int, timer: base.DelayedCall) -> None:
        heapq.heappush(self._heap, (timer.getTime(), number, timer))

    def _drop_inactive(self) -> None:
        """Remove what is no timer's time any more from the head of the heap."""
        while self._heap:
            due_s, _, timer = self._heap[0]
            if timer.active() and timer.getTime() == due_s:
                return
            heapq.heappop(self._heap)


def _do_nothing(timer: base.DelayedCall) -> None:
    return
