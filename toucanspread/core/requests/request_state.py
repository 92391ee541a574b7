"""The requests in progress at an entry, and what is declared of their services."""

import dataclasses
import heapq

from toucanspread.core import data, machine
from toucanspread.core.requests import retries

# Above the endpoint's own limit on a silent engine, which it mends by itself.
FIRST_FRAME_TIMEOUT_S = 15.0
NEXT_FRAME_TIMEOUT_S = 12.0


@dataclasses.dataclass(slots=True)
class LiveRequest:
    """A request on its way.

    :param attempt: the number of the running attempt; it starts at random.
    :param attempts: how many there were.
    :param endpoint: of the running attempt; None while waiting for a retry.
    :param progress_s: when the running attempt was last heard of.
    :param delivered_bytes: payload relayed to the caller before this attempt.
    :param version: what answers a begun stream; only that may go on with it.
    :param may_have_run: an earlier attempt is not proved not to have run.
    """

    request: data.Request
    arrived_s: float
    deadline_s: float
    attempt: int = 0
    attempts: int = 0
    endpoint: data.Identity | None = None
    streamed: bool = True
    sent_s: float = 0.0
    progress_s: float = 0.0
    first_byte_s: float | None = None
    attempt_bytes: int = 0
    delivered_bytes: int = 0
    attempt_events: int = 0
    delivered_events: int = 0
    resumes: int = 0
    version: data.VersionName = data.VersionName("")
    may_have_run: bool = False
    tried: frozenset[data.InstanceId] = frozenset()
    retry_at_s: float = 0.0
    reason: data.Reason = data.Reason.NONE
    retry_after_s: float = 0.0
    detail: str = ""

    def due_s(self) -> float:
        """Return when the request has to be looked at if nothing happens."""
        if self.endpoint is None:
            return min(self.retry_at_s, self.deadline_s)
        if not self.streamed:
            # A plain answer comes as a whole; keepalives find a dead connection.
            return self.deadline_s
        silence_s = FIRST_FRAME_TIMEOUT_S
        if self.attempt_bytes:
            silence_s = NEXT_FRAME_TIMEOUT_S
        return min(self.progress_s + silence_s, self.deadline_s)

    def execution_status(self) -> retries.ExecutionStatus:
        """Return what is known of all attempts together."""
        if self.may_have_run or self.delivered_bytes:
            return retries.ExecutionStatus.MAY_HAVE_RUN
        return retries.ExecutionStatus.NOT_RUN


class State:
    """The requests in progress at this entry.

    :ivar timers: a heap of (when, request id); entries of ended requests lapse.
    """

    def __init__(self):
        self.live: dict[data.RequestId, LiveRequest] = {}
        self.timers: list[tuple[float, data.RequestId]] = []
        self.budget = retries.RetryBudget()

    def schedule(self, live: LiveRequest) -> None:
        """Look at the request again when its next time limit is reached."""
        heapq.heappush(self.timers, (live.due_s(), live.request.request_id))

    def current(self, request_id: data.RequestId, attempt: int) -> LiveRequest | None:
        """Return the request if this is its running attempt; all else is late."""
        live = self.live.get(request_id)
        if live is None or live.endpoint is None or live.attempt != attempt:
            return None
        return live


def is_repeatable_by_default(node: machine.Node, service: data.ServiceName) -> bool:
    """Return whether calls of a service may be repeated when the caller is silent."""
    intent = find_intent(node, service)
    return intent.repeatable if intent is not None else False


def find_service_kind(
    node: machine.Node, service: data.ServiceName
) -> data.ServiceKind:
    """Return whether a service streams a model's answers or answers plainly."""
    intent = find_intent(node, service)
    if intent is not None:
        return intent.kind
    for endpoint in node.routing.services.get(service, {}).values():
        return endpoint.report.kind
    return data.ServiceKind.MODEL


def find_intent(node: machine.Node, service: data.ServiceName) -> data.Intent | None:
    """Return what operators declared of a service, if anything."""
    return node.config.intents.get(service)
