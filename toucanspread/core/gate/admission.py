"""How many requests an endpoint process runs at once, and which one is next.

The parts that ask are answered by internal events in the same step: admitted,
rejected, or queued until a running request ends.
"""

import collections
import dataclasses

from toucanspread.core import data, effects, events, invariants
from toucanspread.core.gate import concurrency, fairness

INITIAL_LIMIT = 16
MAX_QUEUED_PER_SLOT = 2  # queued requests for each that may run
MIN_QUEUE_LENGTH = 8
MAX_QUEUE_LENGTH = max(
    MIN_QUEUE_LENGTH, MAX_QUEUED_PER_SLOT * int(concurrency.MAX_LIMIT)
)
SERVICE_TIME_WEIGHT = 0.1  # of the newest sample in the smoothed service time
MOST_OF_BUDGET = 0.75
DEVIATIONS = 2.0  # above the mean, within which nearly all runs end
# A run that failed sooner than this many mean times tells of a short deadline.
SLOW_FAILURE_FACTOR = 1.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0


class AdmissionRequested(data.Event):
    """Internal: a request asks to run.

    :param deadline_s: on this process's clock.
    """

    key: data.AttemptKey
    team: data.TeamName
    priority: int
    deadline_s: float


class Admitted(data.Event):
    """Internal: the request holds a place until it is released."""

    key: data.AttemptKey


class Rejected(data.Event):
    """Internal: the request will not run here."""

    key: data.AttemptKey
    reason: data.Reason
    retry_after_s: float


class Withdrawn(data.Event):
    """Internal: a queued request is no longer wanted."""

    key: data.AttemptKey


class Released(data.Event):
    """Internal: an admitted request is over.

    :param ok: false when the engine was at fault.
    :param ran: whether ``service_time_s`` tells anything.
    :param units: the work that was done, such as events streamed.
    """

    key: data.AttemptKey
    service_time_s: float
    ok: bool
    ran: bool = True
    units: float = 1.0


@dataclasses.dataclass
class Waiting:
    """A queued request."""

    key: data.AttemptKey
    team: data.TeamName
    priority: int
    deadline_s: float
    queued_s: float

    @property
    def budget_s(self) -> float:
        """Return the time that was left when the request came."""
        return self.deadline_s - self.queued_s


class ServiceTime:
    """A smoothed service time and how far single ones are from it."""

    def __init__(self):
        self.mean_s = 0.0
        self.deviation_s = 0.0

    def add(self, sample_s: float) -> None:
        """Take in one ended run; one that was cut off counts as what it took."""
        if self.mean_s == 0.0:
            self.mean_s = sample_s
            return
        error_s = sample_s - self.mean_s
        self.mean_s += SERVICE_TIME_WEIGHT * error_s
        self.deviation_s += SERVICE_TIME_WEIGHT * (abs(error_s) - self.deviation_s)

    def needed_s(self, budget_s: float) -> float:
        """Return the time that must be left for a start to be worth it.

        Most runs must be able to end in it; but where service times vary widely, a
        request with most of its budget left may try.
        """
        high_s = self.mean_s + DEVIATIONS * self.deviation_s
        return max(self.mean_s, min(high_s, MOST_OF_BUDGET * budget_s))


class State:
    """What runs, what waits, and the limit.

    :param limit: how many run at once before latencies are known.
    :param adaptive: whether the limit follows measured latency.
    """

    def __init__(self, limit: int = INITIAL_LIMIT, adaptive: bool = True):
        self.adaptive = adaptive
        self.concurrency = concurrency.AdaptiveLimit(limit)
        self.running: dict[data.AttemptKey, data.TeamName] = {}
        self.queue: list[Waiting] = []
        self.service_time = ServiceTime()
        self.shares = fairness.Shares()

    @property
    def limit(self) -> int:
        """Return how many requests run at once."""
        return int(self.concurrency.value)


def current_load(node, without: data.AttemptKey | None = None) -> data.Load:
    """Return how busy this process is.

    :param without: a request that is over but not yet released.
    """
    state = node.admission
    return data.Load(
        running=len(state.running) - (without in state.running),
        queued=len(state.queue),
        limit=state.limit,
        service_time_s=state.service_time.mean_s,
    )


def on_wanted(node, event: AdmissionRequested) -> list:
    """Admit, queue or reject a request."""
    state = node.admission
    if len(state.running) < state.limit and not state.queue:
        state.shares.wake(event.team, _active_teams(state))
        return [_admit(node, event.key, event.team)]
    wait_s = _expected_wait_s(node, event.team)
    budget_s = event.deadline_s - node.now_s
    if wait_s + state.service_time.needed_s(budget_s) > budget_s:
        return [_reject(node, event, data.Reason.OVERLOADED)]
    if len(state.queue) >= _queue_limit(state):
        return _make_room(node, event)
    _enqueue(node, _waiting(node, event))
    return []


def on_withdrawn(node, event: Withdrawn) -> list:
    """Take a request out of the queue."""
    state = node.admission
    state.queue = [item for item in state.queue if item.key != event.key]
    return []


def on_released(node, event: Released) -> list:
    """Free a place, and give it to the next in the queue."""
    state = node.admission
    running = len(state.running)
    state.running.pop(event.key, None)
    if event.ran:
        _learn(node, event, running)
    return _admit_next(node)


def on_serving(node, event: events.ServingChanged) -> list:
    """Learn the latencies of another version afresh."""
    node.admission.concurrency.reset()
    node.admission.service_time = ServiceTime()
    return []


def on_drain(node, event: events.DrainStarted) -> list:
    """Send away what is queued."""
    state = node.admission
    items = [Rejected(item.key, data.Reason.LEAVING, 0.0) for item in state.queue]
    state.queue.clear()
    return items


def on_tick(node, event: events.Tick) -> list:
    """Reject at once what can no longer meet its deadline."""
    state = node.admission
    if not state.queue:
        return []
    late = [item for item in state.queue if _is_late(node, item)]
    if not late:
        return []
    items = [_reject(node, item, data.Reason.DEADLINE) for item in late]
    gone = {item.key for item in late}
    state.queue = [item for item in state.queue if item.key not in gone]
    return items


HANDLERS = {
    AdmissionRequested: on_wanted,
    Withdrawn: on_withdrawn,
    Released: on_released,
    events.DrainStarted: on_drain,
    events.ServingChanged: on_serving,
    events.Tick: on_tick,
}


def _admit(node, key: data.AttemptKey, team: data.TeamName) -> Admitted:
    state = node.admission
    state.running[key] = team
    state.shares.charge(team, team_weights(node))
    return Admitted(key)


def _admit_next(node) -> list:
    state = node.admission
    items: list = []
    while state.queue and len(state.running) < state.limit:
        chosen = _next(node)
        state.queue.remove(chosen)
        if _is_late(node, chosen):
            items.append(_reject(node, chosen, data.Reason.DEADLINE))
            continue
        items.append(_admit(node, chosen.key, chosen.team))
    return items


def _is_late(node, waiting: Waiting) -> bool:
    needed_s = node.admission.service_time.needed_s(waiting.budget_s)
    return node.now_s + needed_s > waiting.deadline_s


def _next(node) -> Waiting:
    """Return the next of the queue.

    Teams that are about even compete by priority, then by deadline.
    """
    state = node.admission
    shares = state.shares
    least = min(shares.virtual_time(item.team) for item in state.queue)
    return min(
        state.queue,
        key=lambda item: (
            shares.virtual_time(item.team) > least + fairness.EVEN_WITHIN,
            item.priority,
            item.deadline_s,
        ),
    )


def _waiting(node, event: AdmissionRequested) -> Waiting:
    return Waiting(event.key, event.team, event.priority, event.deadline_s, node.now_s)


def _enqueue(node, waiting: Waiting) -> None:
    state = node.admission
    state.shares.wake(waiting.team, _active_teams(state))
    state.queue.append(waiting)
    invariants.check(
        len(state.queue) <= MAX_QUEUE_LENGTH,
        invariants.Invariant.QUEUE_BOUND,
        f"{len(state.queue)} queued at a limit of {state.limit}",
    )


def _make_room(node, event: AdmissionRequested) -> list:
    """Reject one of the team furthest over its share, newcomer or queued."""
    state = node.admission
    newcomer = _waiting(node, event)
    candidates = [*state.queue, newcomer]
    counts = collections.Counter(item.team for item in candidates)
    shares = team_weights(node)
    fullest = max(
        counts, key=lambda team: counts[team] / fairness.weight_of(team, shares)
    )
    victim = max(
        (item for item in candidates if item.team == fullest),
        key=lambda item: (item.priority, item.deadline_s),
    )
    rejected = _reject(node, victim, data.Reason.OVERLOADED)
    if victim is newcomer:
        return [rejected]
    state.queue.remove(victim)
    _enqueue(node, newcomer)
    return [rejected, effects.Count("gate_displaced", 1, {"team": victim.team})]


def _active_teams(state: State) -> set[data.TeamName]:
    return {*state.running.values(), *(item.team for item in state.queue)}


def team_weights(node) -> dict[data.TeamName, float]:
    """Return the weights of the teams that share the service served here."""
    serving = node.orders.serving
    if serving is None:
        return {}
    intent = node.config.intents.get(serving.service)
    if intent is None:
        return {}
    return {share.team: share.weight for share in intent.teams}


def _reject(
    node, waiting: Waiting | AdmissionRequested, reason: data.Reason
) -> Rejected:
    wait_s = _expected_wait_s(node, waiting.team)
    retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return Rejected(waiting.key, reason, retry_after_s)


def _expected_wait_s(node, team: data.TeamName) -> float:
    """Return how long one more request of a team would wait.

    The team waits for its own queued requests at its share of the throughput, but
    never for more than all that are queued.
    """
    state = node.admission
    shares = team_weights(node)
    queued = collections.Counter(item.team for item in state.queue)
    queued[team] += 1
    total_weight = sum(fairness.weight_of(name, shares) for name in queued)
    ahead = queued[team] * total_weight / fairness.weight_of(team, shares)
    position = min(ahead, len(state.queue) + 1)
    return position * state.service_time.mean_s / max(1, state.limit)


def _queue_limit(state: State) -> int:
    return max(MIN_QUEUE_LENGTH, MAX_QUEUED_PER_SLOT * state.limit)


def _learn(node, event: Released, running: int) -> None:
    state = node.admission
    is_slow = event.service_time_s >= SLOW_FAILURE_FACTOR * state.service_time.mean_s
    if not event.ok and not is_slow:
        return
    state.service_time.add(event.service_time_s)
    if state.adaptive:
        state.concurrency.add(
            node.now_s, event.service_time_s, event.units, running, event.ok
        )
