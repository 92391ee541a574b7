"""An asyncio event loop whose clock advances only when no task can run.

Code that waits with :mod:`asyncio` is run in virtual time: a simulation of many seconds
takes as long as its computations, and repeats exactly.
"""

import asyncio
import selectors


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time; it does not wait for sockets."""

    def __init__(self):
        self._now_s = 0.0
        super().__init__(_AdvancingSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    def advance(self, duration_s: float) -> None:
        """Move the clock; the selector calls this instead of waiting."""
        self._now_s += duration_s


class _AdvancingSelector(selectors.SelectSelector):
    """Advances the loop's clock instead of waiting."""

    def __init__(self, loop: VirtualTimeLoop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        """Return ready files at once, after advancing the clock by the timeout."""
        if timeout is None:
            raise RuntimeError("the simulation waits for something that never happens")
        if timeout > 0:
            self._loop.advance(timeout)
        return super().select(0)


class VirtualReactor:
    """The part of a Twisted reactor that timers need, on a virtual-time loop."""

    def __init__(self, loop: VirtualTimeLoop):
        self._loop = loop

    def seconds(self) -> float:
        """Return the virtual time in seconds."""
        return self._loop.time()

    def callLater(self, delay_s: float, callback, *arguments):  # noqa: N802
        """Call back after a delay; return the timer."""
        return _Timer(self._loop.call_later(delay_s, callback, *arguments), self._loop)


class _Timer:
    """A delayed call that can be cancelled."""

    def __init__(self, handle: asyncio.TimerHandle, loop: VirtualTimeLoop):
        self._handle = handle
        self._loop = loop

    def active(self) -> bool:
        """Return whether the call is still due."""
        return not self._handle.cancelled() and self._handle.when() > self._loop.time()

    def cancel(self) -> None:
        """Cancel the call."""
        self._handle.cancel()
