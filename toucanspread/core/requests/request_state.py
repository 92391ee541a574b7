"""The requests in progress at an entry, and lookups of their services' declarations."""

import dataclasses
import heapq

from toucanspread.core import data, machine
from toucanspread.core.requests import retries

# Above the endpoint's own limit on a silent engine, so that the endpoint can recover
# first.
FIRST_FRAME_TIMEOUT_S = 15.0
NEXT_FRAME_TIMEOUT_S = 12.0


@dataclasses.dataclass(slots=True)
class LiveRequest:
    """A request that has no final outcome yet.

    :param attempt: the number of the latest attempt, counted from a random start.
    :param attempt_count: the attempts dispatched so far.
    :param endpoint: the endpoint process of the running attempt; None while the
        request waits for a retry.
    :param progress_s: when the running attempt last showed progress.
    :param attempt_bytes: payload relayed to the caller by the running attempt.
    :param delivered_bytes: payload relayed to the caller by earlier attempts.
    :param version: the version that began the stream; only this one may resume it.
    :param may_have_run: whether an earlier attempt lacks proof that it did not run.
    """

    request: data.Request
    received_s: float
    deadline_s: float
    attempt: int = 0
    attempt_count: int = 0
    endpoint: data.Identity | None = None
    streamed: bool = True
    sent_s: float = 0.0
    progress_s: float = 0.0
    first_byte_s: float | None = None
    attempt_bytes: int = 0
    delivered_bytes: int = 0
    attempt_events: int = 0
    delivered_events: int = 0
    resume_count: int = 0
    version: data.VersionName = data.VersionName("")
    may_have_run: bool = False
    tried: frozenset[data.InstanceId] = frozenset()
    retry_at_s: float = 0.0
    reason: data.Reason = data.Reason.NONE
    retry_after_s: float = 0.0
    detail: str = ""

    def get_next_timeout_s(self) -> float:
        """Return when the timer is due: at a retry, a silence limit or the deadline."""
        if self.endpoint is None:
            return min(self.retry_at_s, self.deadline_s)
        if not self.streamed:
            # A plain answer arrives in one piece, so silence is normal until the
            # deadline; keepalives detect a dead connection.
            return self.deadline_s
        silence_s = FIRST_FRAME_TIMEOUT_S
        if self.attempt_bytes:
            silence_s = NEXT_FRAME_TIMEOUT_S
        return min(self.progress_s + silence_s, self.deadline_s)

    def get_execution_status(self) -> retries.ExecutionStatus:
        """Return the execution status over all attempts."""
        if self.may_have_run or self.delivered_bytes:
            return retries.ExecutionStatus.MAY_HAVE_RUN
        return retries.ExecutionStatus.NOT_RUN


class State:
    """The requests in progress at this entry.

    :ivar timers: a heap of (time in seconds, request id); entries of requests that
        have ended stay until their time and are then ignored.
    """

    def __init__(self):
        self.live: dict[data.RequestId, LiveRequest] = {}
        self.timers: list[tuple[float, data.RequestId]] = []
        self.retry_budget = retries.RetryBudget()

    def schedule_timer(self, live: LiveRequest) -> None:
        """Schedule a check of the request at its next time limit."""
        heapq.heappush(
            self.timers, (live.get_next_timeout_s(), live.request.request_id)
        )

    def find_attempt(
        self, request_id: data.RequestId, attempt: int
    ) -> LiveRequest | None:
        """Return the request whose running attempt this is, or None if it is over."""
        live = self.live.get(request_id)
        if live is None or live.endpoint is None or live.attempt != attempt:
            return None
        return live


def is_repeatable_by_default(node: machine.Node, service: data.ServiceName) -> bool:
    """Return whether calls of a service may be repeated if the caller does not say."""
    intent = find_intent(node, service)
    return intent.repeatable if intent is not None else False


def find_service_kind(
    node: machine.Node, service: data.ServiceName
) -> data.ServiceKind:
    """Return the kind of a service: by its intent, else by an endpoint's report."""
    intent = find_intent(node, service)
    if intent is not None:
        return intent.kind
    for endpoint in node.routing.services.get(service, {}).values():
        return endpoint.report.kind
    return data.ServiceKind.MODEL


def find_intent(node: machine.Node, service: data.ServiceName) -> data.Intent | None:
    """Return the intent that operators declared for a service, if any."""
    return node.config.intents.get(service)
