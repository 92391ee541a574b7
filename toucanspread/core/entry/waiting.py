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
PATIENCE_S = 2.5  # callers give a stream up after about three seconds without an event


MAX_EXPECTED_WAIT_S = 2.0  # the line is as long as callers' patience
MIN_RETRY_AFTER_S = 0.5


class Standing(enum.IntEnum):
    """The order among those that wait."""

    LAST_CHANCE = 0
    ON_TIME = 1
    LATE = 2


class Waiter(Protocol):
    """A request that waits.

    :param arrived_s: when it came.
    :param on_time_until_s: when an engine has to start on it at the latest.
    """

    arrived_s: float
    on_time_until_s: float


def standing(waiter: Waiter, backlog_s: float, now_s: float) -> Standing:
    """Return where a request stands.

    :param backlog_s: what the best engine has to do before it would start on it.
    """
    if now_s - waiter.arrived_s >= PATIENCE_S:
        return Standing.LAST_CHANCE
    if now_s + backlog_s <= waiter.on_time_until_s:
        return Standing.ON_TIME
    return Standing.LATE


def in_order(waiters: Iterable[Waiter], backlog_s: float, now_s: float) -> list[Waiter]:
    """Return the requests, the one to go first at the front."""

    def rank(waiter: Waiter) -> tuple[int, float]:
        place = standing(waiter, backlog_s, now_s)
        if place is Standing.ON_TIME:
            return (place, waiter.on_time_until_s)
        return (place, waiter.arrived_s)

    return sorted(waiters, key=rank)


def may_start(waiter: Waiter, backlog_s: float, now_s: float) -> bool:
    """Tell whether a request goes to an engine now."""
    if standing(waiter, backlog_s, now_s) is Standing.LAST_CHANCE:
        return True
    return backlog_s <= MAX_BACKLOG_S


def expected_wait_s(held_work_s: float, engines: int, entries: int) -> float:
    """Return how long a request that joins the line now would wait.

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
    longest_s = max(min(wait_s, MAX_EXPECTED_WAIT_S), MIN_RETRY_AFTER_S)
    return MIN_RETRY_AFTER_S + (longest_s - MIN_RETRY_AFTER_S) * spread
