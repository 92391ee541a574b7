"""The event loop: twisted's reactor on asyncio, so that gRPC runs in the same thread.

Importing this module installs the reactor; :mod:`toucanspread.ops` imports it before
another module can install a different one. :func:`spawn` runs a coroutine as an asyncio
task, :func:`supervise` one that has to run for the life of the process, and
:func:`call_periodically` calls a function again and again. A coroutine awaits a twisted
``Deferred`` through :func:`as_future`.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable, Coroutine

import eliot
from twisted.internet import asyncioreactor, defer, error, main, task

from toucanspread.ops.telemetry import metric_buffer

RESTART_DELAY_S = 0.5  # of a task that has failed

EVENT_LOOP = asyncio.new_event_loop()


def read_clock_s() -> float:
    """Return the seconds since the machine was started.

    The clock does not follow the system clock, which may be set while the process runs.
    It goes on while the machine is suspended, so that ages and deadlines stay right.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _install_reactor() -> None:
    """Install a reactor and an event loop whose timers use :func:`read_clock_s`."""
    EVENT_LOOP.time = read_clock_s
    reactor = asyncioreactor.AsyncioSelectorReactor(EVENT_LOOP)
    reactor.seconds = read_clock_s
    with contextlib.suppress(error.ReactorAlreadyInstalledError):
        main.installReactor(reactor)


_install_reactor()

_tasks: set[asyncio.Task] = set()


def spawn(coroutine: Coroutine) -> asyncio.Task:
    """Run a coroutine as a task and log the exception if it fails."""
    spawned = EVENT_LOOP.create_task(coroutine)
    _tasks.add(spawned)
    spawned.add_done_callback(_on_task_done)
    return spawned


def supervise(
    name: str,
    run: Callable[[], Coroutine],
    restart_delay_s: float = RESTART_DELAY_S,
) -> asyncio.Task:
    """Run a coroutine function as a task, again after each unexpected exception.

    :param name: of the task, for logs and metrics.
    """
    return spawn(_run_again_after_failures(name, run, restart_delay_s))


def call_periodically(
    name: str, interval_s: float, function: Callable[[], None], clock=None
) -> task.LoopingCall:
    """Call a function at an interval, also after it has raised an exception.

    :param name: of the call, for logs and metrics.
    :param clock: the reactor if None.
    """

    def call() -> None:
        try:
            function()
        except Exception as exception:
            log_failure(name, exception)

    periodic = task.LoopingCall(call)
    if clock is not None:
        periodic.clock = clock
    periodic.start(interval_s, now=False)
    return periodic


def cancel_all() -> None:
    """Cancel all tasks; to be called last before the loop stops."""
    for spawned in list(_tasks):
        spawned.cancel()


def as_future(deferred: defer.Deferred) -> asyncio.Future:
    """Return a future of a deferred's result, which a coroutine can await."""
    return deferred.asFuture(EVENT_LOOP)


def log_failure(name: str, exception: BaseException) -> None:
    """Log and count an unexpected exception of a part that goes on.

    :param name: of the part.
    """
    metric_buffer.count("task_failures", task=name)
    eliot.log_message(
        message_type="task_failed",
        name=name,
        kind=type(exception).__name__,
        why=str(exception),
    )


async def _run_again_after_failures(
    name: str, run: Callable[[], Coroutine], restart_delay_s: float
) -> None:
    while True:
        try:
            await run()
            return
        except Exception as exception:
            log_failure(name, exception)
        await asyncio.sleep(restart_delay_s)


def _on_task_done(done: asyncio.Task) -> None:
    _tasks.discard(done)
    if done.cancelled() or done.exception() is None:
        return
    log_failure(done.get_coro().__name__, done.exception())
