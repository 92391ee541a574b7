"""Holds requests back while no engine could start on them soon.

The load this answers: for some seconds callers ask for more than the engines can read
(a burst, engines that crashed, that switch, or that are still empty). An engine that
is sent everything at once is late with everything. Here requests wait at the entry,
and those that can still be on time go first, the one with the least time left before
the others. Those that are late anyway follow when there is room, or shortly before
their callers would give up. Nothing is refused for being late; but what could not be
answered whole before its time is over is told so at once, to come back instead.
"""

import enum
from collections.abc import Iterable
from typing import Protocol

# What an engine may have to read first; the request's own prompt comes on top.
MAX_BACKLOG_S = 0.10
MARGIN_S = 0.06  # a pass of the engine, and the way there and back
MAX_QUEUE_WAIT_S = (
    2.5  # callers give a stream up after about three seconds without an event
)


LONGEST_QUEUE_S = 2.0  # the queue is as long as callers wait
MIN_RETRY_AFTER_S = 0.5


class QueueClass(enum.IntEnum):
    """The order among those that wait."""

    EXPIRING = 0
    ON_TIME = 1
    LATE = 2


class Waiter(Protocol):
    """A request that waits.

    :param arrived_s: when it came.
    :param on_time_until_s: when an engine has to start on it at the latest.
    """

    arrived_s: float
    on_time_until_s: float


def queue_class(waiter: Waiter, backlog_s: float, now_s: float) -> QueueClass:
    """Return the class of a waiting request.

    :param backlog_s: what the best engine has to do before it would start on it.
    """
    if now_s - waiter.arrived_s >= MAX_QUEUE_WAIT_S:
        return QueueClass.EXPIRING
    if now_s + backlog_s <= waiter.on_time_until_s:
        return QueueClass.ON_TIME
    return QueueClass.LATE


def in_order(waiters: Iterable[Waiter], backlog_s: float, now_s: float) -> list[Waiter]:
    """Return the requests, the one to go first at the front."""

    def rank(waiter: Waiter) -> tuple[int, float]:
        place = queue_class(waiter, backlog_s, now_s)
        if place is QueueClass.ON_TIME:
            return (place, waiter.on_time_until_s)
        return (place, waiter.arrived_s)

    return sorted(waiters, key=rank)


def may_start(waiter: Waiter, backlog_s: float, now_s: float) -> bool:
    """Tell whether a request goes to an engine now."""
    if queue_class(waiter, backlog_s, now_s) is QueueClass.EXPIRING:
        return True
    return backlog_s <= MAX_BACKLOG_S


def expected_wait_s(held_work_s: float, engines: int, entries: int) -> float:
    """Return how long a request that joins the queue now would wait.

    :param held_work_s: what one engine would need to start on all that wait here.
    :param engines: that take requests; the entries share them.
    """
    if engines == 0:
        return float("inf")
    return held_work_s * entries / engines


def retry_after_s(wait_s: float, spread: float) -> float:
    """Return when a caller that is turned away should come back.

    :param wait_s: how long it would have waited.
    :param spread: from 0 to 1, so that not all come back at once.
    """
    longest_s = max(min(wait_s, LONGEST_QUEUE_S), MIN_RETRY_AFTER_S)
    return MIN_RETRY_AFTER_S + (longest_s - MIN_RETRY_AFTER_S) * spread
