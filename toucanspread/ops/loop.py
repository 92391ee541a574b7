"""The event loop: twisted's reactor on asyncio, so that gRPC runs in the same thread.

Importing this module installs the reactor; :mod:`toucanspread.ops` imports it before
another module can install a different one. :func:`spawn` runs a coroutine as an asyncio
task; a coroutine awaits a twisted ``Deferred`` through :func:`as_future`.
"""

import asyncio
import contextlib
from collections.abc import Coroutine

import eliot
from twisted.internet import asyncioreactor, defer, error

EVENT_LOOP = asyncio.new_event_loop()

with contextlib.suppress(error.ReactorAlreadyInstalledError):
    asyncioreactor.install(EVENT_LOOP)

_tasks: set[asyncio.Task] = set()


def spawn(coroutine: Coroutine) -> asyncio.Task:
    """Run a coroutine as a task and log the exception if it fails."""
    task = EVENT_LOOP.create_task(coroutine)
    _tasks.add(task)
    task.add_done_callback(_on_task_done)
    return task


def cancel_all() -> None:
    """Cancel all tasks; to be called last before the loop stops."""
    for task in list(_tasks):
        task.cancel()


def as_future(deferred: defer.Deferred) -> asyncio.Future:
    """Return a future of a deferred's result, which a coroutine can await."""
    return deferred.asFuture(EVENT_LOOP)


def _on_task_done(task: asyncio.Task) -> None:
    _tasks.discard(task)
    if task.cancelled() or task.exception() is None:
        return
    exception = task.exception()
    eliot.log_message(
        message_type="task_failed",
        kind=type(exception).__name__,
        why=str(exception),
    )
