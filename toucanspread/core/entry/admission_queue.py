"""Holds requests back while no engine could start on them soon.

The load this answers: for some seconds callers ask for more than the engines can do
(a burst, engines that crashed, that switch, or that are still empty). An engine that
is sent everything at once is late with everything. Here requests wait at the entry,
and those that can still be on time go first. Entries do not know what waits at the
others, so what is late anyway goes only to engines with several places free: the last
places are left for what can be on time, wherever it waits. Callers that have waited
as long as callers do are told to come back instead.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple, Protocol

# What an engine may have to read first; the request's own prompt comes on top.
MAX_PREFILL_BACKLOG_S = 0.10
# Two passes of a full engine, of 80 ms each: the one on its way, and the first event's.
FIRST_EVENT_MARGIN_S = 0.16
EXPIRING_AFTER_S = 2.0  # callers give a stream up after about three seconds
MAX_WAIT_S = 2.8  # and come back sooner when they are told to before
MAX_QUEUE_S = 2.0  # the queue is as long as callers wait
MIN_RETRY_AFTER_S = 0.5
# Places that an engine must have free; if negative, so many may wait at it.
ON_TIME_MIN_FREE_COUNT = -2
EXPIRING_MIN_FREE_COUNT = 2
LATE_MIN_FREE_COUNT = 4


class QueueClass(enum.IntEnum):
    """The order among those that wait."""

    ON_TIME = 0
    EXPIRING = 1
    LATE = 2


class QueuedRequest(Protocol):
    """A request that waits.

    :param arrived_s: when it came.
    :param on_time_until_s: when an engine has to start on it at the latest.
    """

    arrived_s: float
    start_deadline_s: float


def classify(waiter: QueuedRequest, backlog_s: float, now_s: float) -> QueueClass:
    """Return the class of a waiting request.

    :param backlog_s: what the best engine has to do before it would start on it.
    """
    if now_s + backlog_s <= waiter.start_deadline_s:
        return QueueClass.ON_TIME
    if now_s - waiter.arrived_s >= EXPIRING_AFTER_S:
        return QueueClass.EXPIRING
    return QueueClass.LATE


def sort_queue(
    waiters: Iterable[QueuedRequest], backlog_s: float, now_s: float
) -> list[QueuedRequest]:
    """Return the requests, the one to go first at the front.

    Of those that can be on time, the one with the most time left goes first: when not
    all can be, one with little left is late by the time it is answered.
    """

    def rank(waiter: QueuedRequest) -> tuple[int, float]:
        place = classify(waiter, backlog_s, now_s)
        if place is QueueClass.ON_TIME:
            return (place, -waiter.start_deadline_s)
        return (place, waiter.arrived_s)

    return sorted(waiters, key=rank)


class EngineCapacity(NamedTuple):
    """What the engine that was chosen has left.

    :param backlog_s: what it has to do before it would start on a request.
    :param reading_s: the part of it that is reading prompts.
    :param free_places: how many more requests it can work on at once.
    """

    backlog_s: float
    reading_s: float
    free_places: float


def can_start(waiter: QueuedRequest, room: EngineCapacity, now_s: float) -> bool:
    """Tell whether a request goes to an engine now.

    What is late leaves some places to requests of all entries that can be on time.
    """
    place = classify(waiter, room.backlog_s, now_s)
    if place is QueueClass.EXPIRING:
        return room.free_places >= EXPIRING_MIN_FREE_COUNT
    wanted = (
        ON_TIME_MIN_FREE_COUNT if place is QueueClass.ON_TIME else LATE_MIN_FREE_COUNT
    )
    return room.free_places >= wanted and room.reading_s <= MAX_PREFILL_BACKLOG_S


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
    longest_s = max(min(wait_s, MAX_QUEUE_S), MIN_RETRY_AFTER_S)
    return MIN_RETRY_AFTER_S + (longest_s - MIN_RETRY_AFTER_S) * spread
