"""An overview of all endpoint processes, at the entry that holds the lease.

With few entries each hears every endpoint process, and nothing is sent here. With many,
each entry tells the holder of the lease of those endpoint processes for which it comes
first: what has changed each second, and everything now and then.
"""

from toucanspread.core import data, effects, events, machine
from toucanspread.core.agreement import leases, placement, push_schedule
from toucanspread.core.membership import reporting

INTERVAL_S = 1.0
MAX_ITEMS = 40  # told in one message
REFRESH_S = 240.0
START_S = 20.0  # after a change of holder, over which entries spread their messages
SETTLE_S = 40.0  # after which a new holder has heard of everything
EXPIRY_S = 600.0  # an entry that died is replaced by another well within


class Overview(data.Message):
    """What the sender knows of the endpoint processes for which it comes first."""

    replicas: tuple[placement.Replica, ...]


class State:
    """What this entry told the holder, or what it was told as the holder.

    :ivar heard: per endpoint process, its state and when it was told.
    :ivar told: per endpoint process, what the holder was told and when.
    """

    def __init__(self):
        self.heard: dict[data.InstanceId, tuple[placement.Replica, float]] = {}
        self.told: dict[data.InstanceId, tuple[placement.Replica, float]] = {}
        self.told_fence = data.FencingNumber(0)
        self.held_fence = data.FencingNumber(0)
        self.held_since_s = 0.0
        self.next_s = 0.0


def is_needed(node: machine.Node) -> bool:
    """Return whether entries hear only some of the endpoint processes."""
    return len(node.membership.entry_ids) >= reporting.REPORT_TO_ALL_MAX_COUNT


def is_complete(node: machine.Node) -> bool:
    """Return whether this entry knows all endpoint processes."""
    if not is_needed(node):
        return True
    state = node.fleet_overview
    if not leases.held(node) or state.held_fence != node.leases.fence:
        return False
    return node.now_s - state.held_since_s >= SETTLE_S


def replicas(node: machine.Node) -> dict[data.InstanceId, placement.Replica]:
    """Return the endpoint processes that this entry knows of."""
    found = placement.replicas(node)
    for name, (replica, _) in node.fleet_overview.heard.items():
        found.setdefault(name, replica)
    return found


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Tell the holder what it does not know, once a second."""
    state = node.fleet_overview
    if node.now_s < state.next_s:
        return []
    state.next_s = node.now_s + INTERVAL_S
    if leases.held(node):
        _hold(node)
        return []
    state.heard.clear()
    if not is_needed(node) or not node.config_gossip.controller:
        return []
    if state.told_fence != node.config_gossip.fence:
        state.told_fence = node.config_gossip.fence
        state.told.clear()
        state.next_s = node.now_s + START_S * node.random.random()
        return []
    due = _due(node)
    if not due:
        return []
    for replica in due:
        state.told[replica.instance_id] = (replica, node.now_s)
    return [effects.Send(node.config_gossip.controller, Overview(tuple(due)))]


def on_message(node: machine.Node, event: events.MessageReceived) -> list:
    """Keep what an entry tells."""
    if not isinstance(event.message, Overview):
        return []
    for replica in event.message.replicas:
        if replica.state is data.MemberState.DEAD:
            node.fleet_overview.heard.pop(replica.instance_id, None)
            continue
        node.fleet_overview.heard[replica.instance_id] = (replica, node.now_s)
    return []


def _hold(node: machine.Node) -> None:
    state = node.fleet_overview
    if state.held_fence != node.leases.fence:
        state.held_fence = node.leases.fence
        state.held_since_s = node.now_s
    for name, (_, heard_s) in [*state.heard.items()]:
        if node.now_s - heard_s > EXPIRY_S:
            del state.heard[name]


def _due(node: machine.Node) -> list[placement.Replica]:
    """Return what has changed, what is gone and what was told long ago."""
    state = node.fleet_overview
    due = []
    found = placement.replicas(node)
    for name, replica in found.items():
        if len(due) >= MAX_ITEMS:
            return due
        identity = node.membership.members[name].identity
        if push_schedule.entries_before(node, identity):
            continue
        told, told_s = state.told.get(name, (None, 0.0))
        if told != replica or node.now_s - told_s > REFRESH_S:
            due.append(replica)
    for name, (replica, _) in [*state.told.items()]:
        if name in found or len(due) >= MAX_ITEMS:
            continue
        if replica.state is data.MemberState.DEAD:
            del state.told[name]
            continue
        due.append(placement.dead(replica))
    return due


HANDLERS = {
    events.Tick: on_tick,
    events.MessageReceived: on_message,
}
