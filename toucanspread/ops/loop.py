"""The one event loop: twisted's reactor on asyncio, so that gRPC shares the thread.

Importing this module installs the reactor; :mod:`toucanspread.ops` imports it before
anything else can install another one. Coroutines run as asyncio tasks by
:func:`spawn`; a twisted ``Deferred`` is awaited in them through :func:`as_future`.
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
    """Run a coroutine as a task; an error that nobody awaits is logged."""
    task = EVENT_LOOP.create_task(coroutine)
    _tasks.add(task)
    task.add_done_callback(_finish)
    return task


def cancel_all() -> None:
    """Cancel every task, as the last thing before the loop ends."""
    for task in list(_tasks):
        task.cancel()


def as_future(deferred: defer.Deferred) -> asyncio.Future:
    """Return a future of a deferred's result, to await in a task."""
    return deferred.asFuture(EVENT_LOOP)


def _finish(task: asyncio.Task) -> None:
    _tasks.discard(task)
    if task.cancelled() or task.exception() is None:
        return
    failure = task.exception()
    eliot.log_message(
        message_type="task_failed",
        kind=type(failure).__name__,
        why=str(failure),
    )
