"""How many requests an endpoint process runs at once, and which one is next.

The parts that ask are answered by internal events in the same step: admitted,
rejected, or queued until a running request ends.
"""

import collections
import dataclasses

from toucanspread.core import data, effects, events, fairness, invariants

INITIAL_LIMIT = 16
MAX_QUEUE_PER_LIMIT = 2  # queued requests for each that may run
MIN_QUEUE = 8
SERVICE_TIME_WEIGHT = 0.1  # of the newest sample in the smoothed service time
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0

Key = tuple[data.RequestId, int]


class AdmissionWanted(data.Event):
    """Internal: a request asks to run.

    :param deadline_s: on this process's clock.
    """

    key: Key
    team: data.TeamName
    priority: int
    deadline_s: float


class Admitted(data.Event):
    """Internal: the request holds a place until it is released."""

    key: Key


class Rejected(data.Event):
    """Internal: the request will not run here."""

    key: Key
    reason: data.Reason
    retry_after_s: float


class Withdrawn(data.Event):
    """Internal: a queued request is no longer wanted."""

    key: Key


class Released(data.Event):
    """Internal: an admitted request is over.

    :param ran: whether ``service_time_s`` tells anything.
    """

    key: Key
    service_time_s: float
    ok: bool
    ran: bool = True


@dataclasses.dataclass
class Waiting:
    """A queued request."""

    key: Key
    team: data.TeamName
    priority: int
    deadline_s: float
    queued_s: float


class State:
    """What runs, what waits, and the limit."""

    def __init__(self, limit: int = INITIAL_LIMIT):
        self.limit = float(limit)
        self.running: dict[Key, data.TeamName] = {}
        self.queue: list[Waiting] = []
        self.service_time_s = 0.0
        self.shares = fairness.Shares()


def load(node, without: Key | None = None) -> data.Load:
    """Return how busy this process is.

    :param without: a request that is over but not yet released.
    """
    state = node.limits
    return data.Load(
        running=len(state.running) - (without in state.running),
        queued=len(state.queue),
        limit=int(state.limit),
        service_time_s=state.service_time_s,
    )


def on_wanted(node, event: AdmissionWanted) -> list:
    """Admit, queue or reject a request."""
    state = node.limits
    if len(state.running) < int(state.limit) and not state.queue:
        state.shares.wake(event.team, _active_teams(state))
        return [_admit(node, event.key, event.team)]
    wait_s = _expected_wait_s(state, len(state.queue) + 1)
    if node.now_s + wait_s + state.service_time_s > event.deadline_s:
        return [_reject(state, event.key, data.Reason.OVERLOADED)]
    if len(state.queue) >= _queue_limit(state):
        return _make_room(node, event)
    _enqueue(node, event)
    return []


def on_withdrawn(node, event: Withdrawn) -> list:
    """Take a request out of the queue."""
    state = node.limits
    state.queue = [item for item in state.queue if item.key != event.key]
    return []


def on_released(node, event: Released) -> list:
    """Free a place, and give it to the next in the queue."""
    state = node.limits
    state.running.pop(event.key, None)
    if event.ran and event.ok:
        _learn(state, event.service_time_s)
    return _admit_next(node)


def on_drain(node, event: events.DrainStarted) -> list:
    """Send away what is queued."""
    state = node.limits
    items = [Rejected(item.key, data.Reason.LEAVING, 0.0) for item in state.queue]
    state.queue.clear()
    return items


def on_tick(node, event: events.Tick) -> list:
    """Reject at once what can no longer meet its deadline."""
    state = node.limits
    if not state.queue:
        return []
    late = [
        item
        for item in state.queue
        if node.now_s + state.service_time_s > item.deadline_s
    ]
    if not late:
        return []
    items = [_reject(state, item.key, data.Reason.DEADLINE) for item in late]
    gone = {item.key for item in late}
    state.queue = [item for item in state.queue if item.key not in gone]
    return items


HANDLERS = {
    AdmissionWanted: on_wanted,
    Withdrawn: on_withdrawn,
    Released: on_released,
    events.DrainStarted: on_drain,
    events.Tick: on_tick,
}


def _admit(node, key: Key, team: data.TeamName) -> Admitted:
    state = node.limits
    state.running[key] = team
    state.shares.charge(team, weights(node))
    return Admitted(key)


def _admit_next(node) -> list:
    state = node.limits
    items: list = []
    while state.queue and len(state.running) < int(state.limit):
        chosen = _next(node)
        state.queue.remove(chosen)
        if node.now_s + state.service_time_s > chosen.deadline_s:
            items.append(_reject(state, chosen.key, data.Reason.DEADLINE))
            continue
        items.append(_admit(node, chosen.key, chosen.team))
    return items


def _next(node) -> Waiting:
    """Return the next of the queue.

    Teams that are about even compete by priority, then by deadline.
    """
    state = node.limits
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


def _enqueue(node, event: AdmissionWanted) -> None:
    state = node.limits
    state.shares.wake(event.team, _active_teams(state))
    state.queue.append(
        Waiting(event.key, event.team, event.priority, event.deadline_s, node.now_s)
    )
    invariants.check(
        len(state.queue) <= _queue_limit(state),
        invariants.Invariant.QUEUE_BOUND,
        f"{len(state.queue)} queued at a limit of {state.limit}",
    )


def _make_room(node, event: AdmissionWanted) -> list:
    """Let a newcomer take the place of one of the team furthest over its share."""
    state = node.limits
    counts = collections.Counter(item.team for item in state.queue)
    counts[event.team] += 1
    shares = weights(node)
    fullest = max(counts, key=lambda team: counts[team] / shares.get(team, 1.0))
    if fullest == event.team:
        return [_reject(state, event.key, data.Reason.OVERLOADED)]
    victim = max(
        (item for item in state.queue if item.team == fullest),
        key=lambda item: (item.priority, item.deadline_s),
    )
    state.queue.remove(victim)
    rejected = _reject(state, victim.key, data.Reason.OVERLOADED)
    _enqueue(node, event)
    return [rejected, effects.Count("gate_displaced", 1, {"team": victim.team})]


def _active_teams(state: State) -> set[data.TeamName]:
    return {*state.running.values(), *(item.team for item in state.queue)}


def weights(node) -> dict[data.TeamName, float]:
    """Return the weights of the teams that share the service served here."""
    serving = node.orders.serving
    if serving is None:
        return {}
    intent = node.config.intents.get(serving.service)
    if intent is None:
        return {}
    return {share.team: share.weight for share in intent.teams}


def _reject(state: State, key: Key, reason: data.Reason) -> Rejected:
    wait_s = _expected_wait_s(state, len(state.queue) + 1)
    retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return Rejected(key, reason, retry_after_s)


def _expected_wait_s(state: State, position: int) -> float:
    return position * state.service_time_s / max(1, int(state.limit))


def _queue_limit(state: State) -> int:
    return max(MIN_QUEUE, MAX_QUEUE_PER_LIMIT * int(state.limit))


def _learn(state: State, service_time_s: float) -> None:
    if state.service_time_s == 0.0:
        state.service_time_s = service_time_s
        return
    state.service_time_s += SERVICE_TIME_WEIGHT * (
        service_time_s - state.service_time_s
    )
