"""Admission control: how many requests an endpoint process runs, and which is next.

A part requests admission by an internal event. In the same step the request is
admitted, rejected or queued until a running request ends.
"""

import collections
import dataclasses

from toucanspread.core import data, effects, events, invariants
from toucanspread.core.gate import concurrency, fairness

INITIAL_LIMIT = 16
MAX_QUEUED_PER_SLOT = 2  # queued requests for each one that may run
MIN_QUEUE_LENGTH = 8
MAX_QUEUE_LENGTH = max(
    MIN_QUEUE_LENGTH, MAX_QUEUED_PER_SLOT * int(concurrency.MAX_LIMIT)
)
SERVICE_TIME_WEIGHT = 0.1  # of the newest sample in the smoothed service time
MAX_BUDGET_RATIO = 0.75
DEVIATION_FACTOR = 2.0  # nearly all runs end within this many deviations of the mean
# A run that failed in less than this many mean service times shows a short deadline,
# not a slow engine.
SLOW_FAILURE_FACTOR = 1.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0


class AdmissionRequested(data.Event):
    """Internal: a request is ready to run.

    :param deadline_s: on this process's clock.
    """

    key: data.AttemptKey
    team: data.TeamName
    priority: int
    deadline_s: float


class Admitted(data.Event):
    """Internal: the request holds a slot until it is released."""

    key: data.AttemptKey


class Rejected(data.Event):
    """Internal: the request will not run here."""

    key: data.AttemptKey
    reason: data.Reason
    retry_after_s: float


class Withdrawn(data.Event):
    """Internal: a queued request must no longer run."""

    key: data.AttemptKey


class Released(data.Event):
    """Internal: an admitted request is over and frees its slot.

    :param ok: False if the engine failed.
    :param ran: whether ``service_time_s`` is a valid sample.
    :param units: the work that was done, such as events streamed.
    """

    key: data.AttemptKey
    service_time_s: float
    ok: bool
    ran: bool = True
    units: float = 1.0


@dataclasses.dataclass
class QueuedRequest:
    """A request in the queue."""

    key: data.AttemptKey
    team: data.TeamName
    priority: int
    deadline_s: float
    queued_s: float

    @property
    def budget_s(self) -> float:
        """The time to the deadline at the moment of queueing."""
        return self.deadline_s - self.queued_s


class ServiceTime:
    """The smoothed mean and mean deviation of the service time."""

    def __init__(self):
        self.mean_s = 0.0
        self.deviation_s = 0.0

    def add_sample(self, sample_s: float) -> None:
        """Add an ended run; one that was stopped early counts with the time it took."""
        if self.mean_s == 0.0:
            self.mean_s = sample_s
            return
        error_s = sample_s - self.mean_s
        self.mean_s += SERVICE_TIME_WEIGHT * error_s
        self.deviation_s += SERVICE_TIME_WEIGHT * (abs(error_s) - self.deviation_s)

    def estimate_needed_s(self, budget_s: float) -> float:
        """Return how much time must remain until the deadline for a run to start.

        Most runs end within this time. Where service times vary widely, a request
        that still has most of its budget may start nevertheless.
        """
        high_s = self.mean_s + DEVIATION_FACTOR * self.deviation_s
        return max(self.mean_s, min(high_s, MAX_BUDGET_RATIO * budget_s))


class State:
    """The running and queued requests, and the concurrency limit.

    :param limit: how many requests run at once before latencies are known.
    :param adaptive: whether the limit follows the observed latency.
    """

    def __init__(self, limit: int = INITIAL_LIMIT, adaptive: bool = True):
        self.adaptive = adaptive
        self.concurrency = concurrency.AdaptiveLimit(limit)
        self.running: dict[data.AttemptKey, data.TeamName] = {}
        self.queue: list[QueuedRequest] = []
        self.service_time = ServiceTime()
        self.virtual_times = fairness.VirtualTimes()

    @property
    def limit(self) -> int:
        """How many requests may run at once."""
        return int(self.concurrency.value)


def get_load(node, without: data.AttemptKey | None = None) -> data.Load:
    """Return the load of this process.

    :param without: a request that is over but not yet released.
    """
    state = node.admission
    return data.Load(
        running=len(state.running) - (without in state.running),
        queued=len(state.queue),
        limit=state.limit,
        service_time_s=state.service_time.mean_s,
    )


def on_requested(node, event: AdmissionRequested) -> list:
    """Admit, queue or reject a request."""
    state = node.admission
    if len(state.running) < state.limit and not state.queue:
        state.virtual_times.activate(event.team, _find_active_teams(state))
        return [_admit(node, event.key, event.team)]
    wait_s = _estimate_wait_s(node, event.team)
    budget_s = event.deadline_s - node.now_s
    if wait_s + state.service_time.estimate_needed_s(budget_s) > budget_s:
        return [_reject(node, event, data.Reason.OVERLOADED)]
    if len(state.queue) >= _get_max_queue_length(state):
        return _displace(node, event)
    _enqueue(node, _to_queued(node, event))
    return []


def on_withdrawn(node, event: Withdrawn) -> list:
    """Remove a request from the queue."""
    state = node.admission
    state.queue = [queued for queued in state.queue if queued.key != event.key]
    return []


def on_released(node, event: Released) -> list:
    """Free the slot of a request and admit the next one from the queue."""
    state = node.admission
    running_count = len(state.running)
    state.running.pop(event.key, None)
    if event.ran:
        _record_run(node, event, running_count)
    return _admit_next(node)


def on_serving_changed(node, event: events.ServingChanged) -> list:
    """Discard the latencies of the version served before."""
    node.admission.concurrency.reset()
    node.admission.service_time = ServiceTime()
    return []


def on_drain_started(node, event: events.DrainStarted) -> list:
    """Reject all queued requests."""
    state = node.admission
    outputs = [Rejected(queued.key, data.Reason.LEAVING, 0.0) for queued in state.queue]
    state.queue.clear()
    return outputs


def on_tick(node, event: events.Tick) -> list:
    """Reject the queued requests that can no longer meet their deadline."""
    state = node.admission
    if not state.queue:
        return []
    late = [queued for queued in state.queue if _is_late(node, queued)]
    if not late:
        return []
    outputs = [_reject(node, queued, data.Reason.DEADLINE) for queued in late]
    rejected_keys = {queued.key for queued in late}
    state.queue = [queued for queued in state.queue if queued.key not in rejected_keys]
    return outputs


HANDLERS = {
    AdmissionRequested: on_requested,
    Withdrawn: on_withdrawn,
    Released: on_released,
    events.DrainStarted: on_drain_started,
    events.ServingChanged: on_serving_changed,
    events.Tick: on_tick,
}


def _admit(node, key: data.AttemptKey, team: data.TeamName) -> Admitted:
    state = node.admission
    state.running[key] = team
    state.virtual_times.charge(team, get_team_weights(node))
    return Admitted(key)


def _admit_next(node) -> list:
    state = node.admission
    outputs: list = []
    while state.queue and len(state.running) < state.limit:
        chosen = _choose_next(node)
        state.queue.remove(chosen)
        if _is_late(node, chosen):
            outputs.append(_reject(node, chosen, data.Reason.DEADLINE))
            continue
        outputs.append(_admit(node, chosen.key, chosen.team))
    return outputs


def _is_late(node, queued: QueuedRequest) -> bool:
    needed_s = node.admission.service_time.estimate_needed_s(queued.budget_s)
    return node.now_s + needed_s > queued.deadline_s


def _choose_next(node) -> QueuedRequest:
    """Return the queued request to admit next.

    Among teams with about the same virtual time, the priority decides, then the
    deadline.
    """
    state = node.admission
    virtual_times = state.virtual_times
    least = min(virtual_times.get(queued.team) for queued in state.queue)
    return min(
        state.queue,
        key=lambda queued: (
            virtual_times.get(queued.team) > least + fairness.EVEN_TOLERANCE,
            queued.priority,
            queued.deadline_s,
        ),
    )


def _to_queued(node, event: AdmissionRequested) -> QueuedRequest:
    return QueuedRequest(
        event.key, event.team, event.priority, event.deadline_s, node.now_s
    )


def _enqueue(node, queued: QueuedRequest) -> None:
    state = node.admission
    state.virtual_times.activate(queued.team, _find_active_teams(state))
    state.queue.append(queued)
    invariants.check(
        len(state.queue) <= MAX_QUEUE_LENGTH,
        invariants.Invariant.QUEUE_BOUND,
        f"{len(state.queue)} queued at a limit of {state.limit}",
    )


def _displace(node, event: AdmissionRequested) -> list:
    """Reject one request of the team that exceeds its share most, queued or new."""
    state = node.admission
    new = _to_queued(node, event)
    candidates = [*state.queue, new]
    counts = collections.Counter(queued.team for queued in candidates)
    weights = get_team_weights(node)
    team_over_share = max(
        counts, key=lambda team: counts[team] / fairness.get_team_weight(team, weights)
    )
    displaced = max(
        (queued for queued in candidates if queued.team == team_over_share),
        key=lambda queued: (queued.priority, queued.deadline_s),
    )
    rejected = _reject(node, displaced, data.Reason.OVERLOADED)
    if displaced is new:
        return [rejected]
    state.queue.remove(displaced)
    _enqueue(node, new)
    return [rejected, effects.Count("gate_displaced", 1, {"team": displaced.team})]


def _find_active_teams(state: State) -> set[data.TeamName]:
    return {*state.running.values(), *(queued.team for queued in state.queue)}


def get_team_weights(node) -> dict[data.TeamName, float]:
    """Return the weights of the teams that share the service served here."""
    serving = node.orders.serving
    if serving is None:
        return {}
    intent = node.config.intents.get(serving.service)
    if intent is None:
        return {}
    return {share.team: share.weight for share in intent.teams}


def _reject(
    node, request: QueuedRequest | AdmissionRequested, reason: data.Reason
) -> Rejected:
    wait_s = _estimate_wait_s(node, request.team)
    retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return Rejected(request.key, reason, retry_after_s)


def _estimate_wait_s(node, team: data.TeamName) -> float:
    """Return how long one more request of a team would wait.

    It waits for the queued requests of its team at the team's share of the
    throughput, but at most for all queued requests.
    """
    state = node.admission
    weights = get_team_weights(node)
    queued_counts = collections.Counter(queued.team for queued in state.queue)
    queued_counts[team] += 1
    total_weight = sum(
        fairness.get_team_weight(name, weights) for name in queued_counts
    )
    ahead = queued_counts[team] * total_weight / fairness.get_team_weight(team, weights)
    position = min(ahead, len(state.queue) + 1)
    return position * state.service_time.mean_s / max(1, state.limit)


def _get_max_queue_length(state: State) -> int:
    return max(MIN_QUEUE_LENGTH, MAX_QUEUED_PER_SLOT * state.limit)


def _record_run(node, event: Released, running_count: int) -> None:
    state = node.admission
    is_slow = event.service_time_s >= SLOW_FAILURE_FACTOR * state.service_time.mean_s
    if not event.ok and not is_slow:
        return
    state.service_time.add_sample(event.service_time_s)
    if state.adaptive:
        state.concurrency.add_sample(
            node.now_s, event.service_time_s, event.units, running_count, event.ok
        )
