"""Holds requests back, and lets them go on in their order.

The order is :mod:`toucanspread.core.entry.admission_queue`'s.
"""

import abc

from toucanspread.core import data
from toucanspread.core.entry import (
    admission_queue,
    decisions,
    forwarding,
    load_balancing,
)
from toucanspread.core.entry import data as entry_data

QUEUE_CHECK_INTERVAL_S = 0.015  # a fifth of what an engine needs for a usual prompt


class QueueItem(abc.ABC):
    """A request that can be held back."""

    service: entry_data.Service

    @property
    @abc.abstractmethod
    def state(self) -> forwarding.RequestState:
        """Return what is decided about the request."""

    @abc.abstractmethod
    def make_decision_context(self) -> forwarding.DecisionContext:
        """Return what decisions look at."""

    @abc.abstractmethod
    def carry_out(self, effects: list[data.Effect]) -> None:
        """Do what was decided about the request."""

    def resume(self) -> bool:
        """Look for an engine again; return whether the request stays held back."""
        effects = self.state.resume_queued(self.make_decision_context())
        if any(isinstance(effect, decisions.Enqueue) for effect in effects):
            return True
        self.carry_out(effects)
        return False


class RequestQueue:
    """The requests that are held back, by service."""

    def __init__(self, reactor):
        self._reactor = reactor
        self._queued: dict[data.ServiceName, list[QueueItem]] = {}
        self._timer = None

    def sum_prefill_s(self, service: data.ServiceName) -> float:
        """Return what one engine would need to start on all that are held back."""
        queued = self._queued.get(service, [])
        return sum(request.state.prefill_s for request in queued)

    def add(self, request: QueueItem) -> None:
        """Hold a request back."""
        self._queued.setdefault(request.service.name, []).append(request)
        self._start_timer()

    def remove(self, request: QueueItem) -> None:
        """Forget a request that is over or on its way."""
        queued = self._queued.get(request.service.name, [])
        if request in queued:
            queued.remove(request)

    def _start_timer(self) -> None:
        if self._timer is None or not self._timer.active():
            self._timer = self._reactor.callLater(
                QUEUE_CHECK_INTERVAL_S, self._resume_all
            )

    def _resume_all(self) -> None:
        for queued in list(self._queued.values()):
            self._resume_in_order(queued)
        if any(self._queued.values()):
            self._start_timer()

    def _resume_in_order(self, queued: list[QueueItem]) -> None:
        """Let requests go on in their order, until one has to stay."""
        while queued:
            context = queued[0].make_decision_context()
            backlog_s = load_balancing.least_backlog_s(
                context.registry, queued[0].service, context.location, context.now_s
            )
            by_state = {request.state: request for request in queued}
            order = admission_queue.sort_queue(by_state, backlog_s, context.now_s)
            request = by_state[order[0]]
            if request.resume():
                return
            self.remove(request)
