"""Queues requests at the entry while no engine could start on them soon.

For some seconds, callers may ask for more than the engines can handle: in a burst, or
when engines have crashed, switch versions or have no weights yet. An engine that gets
all requests at once answers all of them late. Requests therefore wait at the entry, and
those that can still be answered on time go first. Entries do not know the queues of the
other entries. A request that is already late therefore goes only to an engine with
several free slots, so that the last slots are left to requests on time at any entry. A
caller that has waited as long as callers usually do is asked to retry later.
"""

import enum
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from toucanspread.core.entry import priority_rules

# Limit on the engine's other prefill work; the request's own prompt is added to it.
MAX_PREFILL_BACKLOG_S = 0.10
# Two decode passes of a full engine, 80 ms each: the running one, and that of the
# first event.
FIRST_EVENT_MARGIN_S = 0.16
EXPIRING_AFTER_S = 2.0  # callers abandon a stream after about three seconds
MAX_WAIT_S = 2.8  # a caller that is rejected before it gives up retries sooner
# The same where declared priorities decide. Requests that begin later are mostly
# abandoned before their first event, and their work delays others.
MAX_DECLARED_WAIT_S = 1.3
MAX_EXPECTED_WAIT_S = 2.0  # a longer queue is of no use: callers do not wait longer
# Requests that wait for weights are late and would take the engines from later ones.
MAX_LOAD_WAIT_S = 1.0
MIN_RETRY_AFTER_S = 0.5
# Minimum of free slots at the engine; if negative, that many requests may queue there.
ON_TIME_MIN_FREE_COUNT = -2
EXPIRING_MIN_FREE_COUNT = 2
LATE_MIN_FREE_COUNT = 4
TURN_MIN_FREE_COUNT = 2  # of a late request whose size was begun too rarely


class QueueClass(enum.IntEnum):
    """Class of a queued request; lower classes go first."""

    ON_TIME = 0
    EXPIRING = 1
    LATE = 2


class QueuedRequest(Protocol):
    """A request in the queue.

    :param arrived_s: arrival time.
    :param start_deadline_s: latest time at which an engine can start for an answer on
        time.
    :param rank: declared priority; 0 is the most urgent.
    """

    arrived_s: float
    start_deadline_s: float
    rank: int


def classify(request: QueuedRequest, backlog_s: float, now_s: float) -> QueueClass:
    """Return the class of a queued request.

    :param backlog_s: time until the best engine can start on it.
    """
    if now_s + backlog_s <= request.start_deadline_s:
        return QueueClass.ON_TIME
    if now_s - request.arrived_s >= EXPIRING_AFTER_S:
        return QueueClass.EXPIRING
    return QueueClass.LATE


def sort_queue(
    requests: Iterable[QueuedRequest],
    backlog_s: float,
    now_s: float,
    has_priorities: bool = False,
    find_work: Callable[[QueuedRequest], int] | None = None,
) -> list[QueuedRequest]:
    """Return the requests in the order in which they go to engines.

    Among requests that can be on time, the one with the most time left goes first: when
    there are too many, one with little time left is late by the time it is answered.

    :param has_priorities: whether declared priorities go before the time left.
    :param find_work: returns how much was recently begun for the team of a request;
        within one priority, less goes first. None if teams don't count.
    """

    def rank(request: QueuedRequest) -> tuple[int, int, int, float]:
        queue_class = classify(request, backlog_s, now_s)
        declared_rank = request.rank if has_priorities else 0
        work = find_work(request) if find_work is not None else 0
        if queue_class is QueueClass.ON_TIME:
            return (queue_class, declared_rank, work, -request.start_deadline_s)
        return (queue_class, declared_rank, work, request.arrived_s)

    return sorted(requests, key=rank)


class EngineCapacity(NamedTuple):
    """Remaining capacity of the engine that was chosen.

    :param backlog_s: time until it can start on a new request.
    :param prefill_s: part of the backlog that is prefill of prompts.
    :param free_slots: number of additional requests that it can run concurrently.
    """

    backlog_s: float
    prefill_s: float
    free_slots: float


def can_start(
    request: QueuedRequest,
    capacity: EngineCapacity,
    now_s: float,
    has_turn: bool = False,
    allowance: priority_rules.Allowance = priority_rules.FULL_ALLOWANCE,
) -> bool:
    """Return whether a request may go to an engine now.

    A late request leaves some slots to requests of all entries that can be on time.

    :param has_turn: whether requests of its size or rank were begun too rarely.
    :param allowance: what it may use of the engine by its priority.
    """
    queue_class = classify(request, capacity.backlog_s, now_s)
    if queue_class is QueueClass.EXPIRING:
        return capacity.free_slots >= EXPIRING_MIN_FREE_COUNT
    required = ON_TIME_MIN_FREE_COUNT + allowance.reserved_slots
    if queue_class is QueueClass.LATE:
        required = LATE_MIN_FREE_COUNT + allowance.reserved_slots
    if has_turn:
        required = min(required, TURN_MIN_FREE_COUNT)
    max_prefill_s = MAX_PREFILL_BACKLOG_S * allowance.backlog_factor
    return capacity.free_slots >= required and capacity.prefill_s <= max_prefill_s


def expected_wait_s(
    queued_prefill_s: float, engine_count: int, entry_count: int
) -> float:
    """Return the expected wait of a request that joins the queue now.

    :param queued_prefill_s: time that one engine needs to start on all requests queued
        at this entry.
    :param engine_count: number of engines that accept requests; all entries share them.
    """
    if engine_count == 0:
        return float("inf")
    return queued_prefill_s * entry_count / engine_count


def retry_after_s(wait_s: float, spread: float) -> float:
    """Return the time after which a rejected caller should retry.

    :param wait_s: time that the request would have waited.
    :param spread: random number from 0 to 1, so that callers do not retry all at once.
    """
    longest_s = max(min(wait_s, MAX_EXPECTED_WAIT_S), MIN_RETRY_AFTER_S)
    return MIN_RETRY_AFTER_S + (longest_s - MIN_RETRY_AFTER_S) * spread
