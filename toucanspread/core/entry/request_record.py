"""What is known of one request whenever something is decided about it."""

from typing import NamedTuple

from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import decisions, region_rules, request_timing


class RequestRecord(NamedTuple):
    """What is known of one request.

    :param rank: priority of its team or its route; 0 is the most urgent.
    :param last_event_id: the last event that the caller has; None before the first.
    :param is_trial: whether it tries if a quarantine can end.
    :param dispatches: number of times that it was sent to an engine.
    :param possible_runs: number of engines that may have begun to run it.
    :param rejections: number of dispatches that certainly did not run.
    :param tried: ids of the engines that it was sent to.
    :param not_run_at: ids of those that certainly did not run it.
    :param last_failure: how the last dispatch failed; None if none did.
    :param is_stream_open: whether the caller has the head of a stream.
    :param allowed_regions: regions in which it may be served; None for all.
    """

    timing: request_timing.RequestTiming
    rank: int
    last_event_id: str | None
    is_trial: bool = False
    dispatches: int = 0
    possible_runs: int = 0
    rejections: int = 0
    tried: frozenset[str] = frozenset()
    not_run_at: frozenset[str] = frozenset()
    last_failure: decisions.DispatchFailure | None = None
    is_stream_open: bool = False
    allowed_regions: region_rules.Regions | None = None

    @property
    def route(self) -> entry_data.Route:
        """Return the route of the request."""
        return self.timing.route

    @property
    def service(self) -> entry_data.Service:
        """Return the service whose engines can answer the request."""
        return self.timing.service

    @property
    def call(self) -> entry_data.Call:
        """Return what the caller asks for."""
        return self.timing.call

    @property
    def can_be_queued(self) -> bool:
        """Return whether the request may wait at the entry for an engine."""
        return self.service.profile is not None and self.dispatches == 0

    @property
    def possibly_run_at(self) -> frozenset[str]:
        """Return the ids of the engines that may have begun to run it."""
        return self.tried - self.not_run_at

    @property
    def likely_tokens_left(self) -> int:
        """Return the likely number of tokens of the rest of the answer."""
        return self.timing.likely_tokens_left(self.last_event_id)

    def sent_to(self, engine_id: str) -> "RequestRecord":
        """Return the record after one more dispatch."""
        return self._replace(
            dispatches=self.dispatches + 1,
            possible_runs=self.possible_runs + 1,
            tried=self.tried | {engine_id},
            not_run_at=self.not_run_at - {engine_id},
        )

    def failed_without_run(self, engine_id: str) -> "RequestRecord":
        """Return the record after a dispatch that the engine certainly did not run."""
        return self._replace(
            possible_runs=self.possible_runs - 1,
            rejections=self.rejections + 1,
            not_run_at=self.not_run_at | {engine_id},
        )
