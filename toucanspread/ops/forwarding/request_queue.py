"""Queue of the requests that wait at the entry for an engine.

:mod:`toucanspread.core.entry.admission_queue` determines their order.
"""

import abc
from typing import NamedTuple

from toucanspread.core import data
from toucanspread.core.entry import (
    admission_queue,
    decision_context,
    decisions,
    forwarding,
    load_balancing,
    rank_shares,
    region_rules,
    size_shares,
    team_shares,
)
from toucanspread.core.entry import data as entry_data
from toucanspread.ops import loop

QUEUE_CHECK_INTERVAL_S = 0.015  # a fifth of an engine's time for a typical prompt


class QueueKey(NamedTuple):
    """What requests have in common that wait for the same engines."""

    service: data.ServiceName
    allowed_regions: region_rules.Regions | None


class QueueItem(abc.ABC):
    """A request that can be queued.

    :ivar allowed_regions: regions in which it may be served; None for all.
    :ivar team: name of the caller's team; None for callers without one.
    """

    service: entry_data.Service
    allowed_regions: region_rules.Regions | None = None
    team: str | None = None

    @property
    @abc.abstractmethod
    def state(self) -> forwarding.RequestState:
        """Return the state of the request, which makes the decisions."""

    @abc.abstractmethod
    def make_decision_context(self) -> decision_context.Context:
        """Return the context of a decision about this request."""

    @abc.abstractmethod
    def carry_out(self, effects: list[data.Effect]) -> None:
        """Carry out decisions about the request."""

    @property
    def queue_key(self) -> QueueKey:
        """Return which requests wait for the same engines."""
        return QueueKey(self.service.name, self.allowed_regions)

    def resume(self, has_turn: bool = False) -> bool:
        """Try again to find an engine; return whether the request stays queued.

        :param has_turn: whether requests of its size were begun too rarely.
        """
        context = self.make_decision_context()._replace(has_turn=has_turn)
        effects = self.state.resume_queued(context)
        if any(isinstance(effect, decisions.Enqueue) for effect in effects):
            return True
        self.carry_out(effects)
        return False


class RequestQueue:
    """Queued requests, retried at a fixed interval.

    Requests that may go to different engines don't wait for each other.

    :ivar shares: counts of all requests of the entry, also of those never queued.
    :ivar team_shares: work begun for teams, also of requests never queued.
    :ivar rank_shares: counts of all requests by their declared rank.
    """

    def __init__(self, reactor):
        self.shares = size_shares.SizeShares()
        self.team_shares = team_shares.TeamShares()
        self.rank_shares = rank_shares.RankShares()
        self._reactor = reactor
        self._queued: dict[QueueKey, list[QueueItem]] = {}
        self._timer = None

    def sum_prefill_s(self, key: QueueKey, rank: int | None = None) -> float:
        """Return the time that one engine would need for the queued prompts.

        :param rank: counts only requests that are not less urgent; None for all.
        """
        return sum(
            request.state.timing.prefill_s
            for request in self._queued.get(key, [])
            if rank is None or request.state.rank <= rank
        )

    def add(self, request: QueueItem) -> None:
        """Queue a request."""
        self._queued.setdefault(request.queue_key, []).append(request)
        self._start_timer()

    def remove(self, request: QueueItem) -> None:
        """Remove a request that is finished or sent to an engine."""
        key = request.queue_key
        queued = self._queued.get(key, [])
        if request in queued:
            queued.remove(request)
        if key in self._queued and not queued:
            del self._queued[key]

    def _start_timer(self) -> None:
        if self._timer is None or not self._timer.active():
            self._timer = self._reactor.callLater(
                QUEUE_CHECK_INTERVAL_S, self._resume_all
            )

    def _resume_all(self) -> None:
        for queued in list(self._queued.values()):
            try:
                self._resume_in_order(queued)
            except Exception as exception:
                loop.log_failure("queue", exception)
        if any(self._queued.values()):
            self._start_timer()

    def _resume_in_order(self, queued: list[QueueItem]) -> None:
        """Resume requests in their order until one stays queued."""
        while queued:
            ordered = _sort(queued, self.team_shares)
            if self._resume_turn(ordered):
                continue
            if ordered[0].resume():
                return
            self.remove(ordered[0])

    def _resume_turn(self, ordered: list[QueueItem]) -> bool:
        """Resume a request whose size or rank was begun too rarely.

        :return: whether one has left the queue.
        """
        for request in ordered:
            if not self._is_behind(request):
                continue
            if request.resume(has_turn=True):
                return False
            self.remove(request)
            return True
        return False

    def _is_behind(self, request: QueueItem) -> bool:
        if self.shares.is_behind(request.state.timing):
            return True
        if request.make_decision_context().priorities is None:
            return False
        return self.rank_shares.is_behind(request.state.rank)


def _sort(queued: list[QueueItem], shares: team_shares.TeamShares) -> list[QueueItem]:
    """Return requests of one service in the order in which they go to engines."""
    context = queued[0].make_decision_context()
    backlog_s = load_balancing.least_backlog_s(
        context.registry,
        queued[0].service,
        context.location,
        context.now_s,
        queued[0].allowed_regions,
    )
    by_state = {request.state: request for request in queued}
    if context.priorities is None:
        ordered = admission_queue.sort_queue(by_state, backlog_s, context.now_s)
        return [by_state[state] for state in ordered]
    ordered = admission_queue.sort_queue(
        by_state,
        backlog_s,
        context.now_s,
        has_priorities=True,
        find_work=lambda state: shares.find_step(by_state[state].team, context.now_s),
    )
    return [by_state[state] for state in ordered]
