"""An overview of all endpoint processes, at the entry that holds the lease.

With few entries, every endpoint process reports to each of them and nothing is sent
here. With many, each entry sends the holder of the lease the endpoint processes for
which it ranks first: changed ones every second, all of them at a longer interval.
"""

from toucanspread.core import data, effects, events, machine
from toucanspread.core.agreement import leases, placement, push_schedule
from toucanspread.core.membership import reporting

SEND_INTERVAL_S = 1.0
MAX_REPLICAS_PER_MESSAGE = 40
REFRESH_INTERVAL_S = 240.0
START_SPREAD_S = 20.0  # entries spread their messages over it after a change of holder
COLLECTION_TIME_S = 40.0  # after it, a new holder has received everything
EXPIRY_S = 600.0  # another entry takes over from a dead one well within this time


class Overview(data.Message):
    """What the sender knows of the endpoint processes for which it ranks first."""

    replicas: tuple[placement.Replica, ...]


class State:
    """What this entry sent to the holder, or what it received as the holder.

    :ivar received: per endpoint process, its state and when it was received.
    :ivar sent: per endpoint process, the state sent to the holder and when.
    :ivar sent_fence: the fencing number of the holder to which ``sent`` was sent.
    :ivar held_fence: the fencing number of the lease that this entry held last.
    """

    def __init__(self):
        self.received: dict[data.InstanceId, tuple[placement.Replica, float]] = {}
        self.sent: dict[data.InstanceId, tuple[placement.Replica, float]] = {}
        self.sent_fence = data.FencingNumber(0)
        self.held_fence = data.FencingNumber(0)
        self.held_since_s = 0.0
        self.next_send_s = 0.0


def is_needed(node: machine.Node) -> bool:
    """Return whether an entry gets the reports of only some endpoint processes."""
    return len(node.membership.entry_ids) >= reporting.REPORT_TO_ALL_MAX_COUNT


def is_complete(node: machine.Node) -> bool:
    """Return whether this entry knows all endpoint processes."""
    if not is_needed(node):
        return True
    state = node.fleet_overview
    if not leases.is_held(node) or state.held_fence != node.leases.fence:
        return False
    return node.now_s - state.held_since_s >= COLLECTION_TIME_S


def collect_replicas(node: machine.Node) -> dict[data.InstanceId, placement.Replica]:
    """Return the endpoint processes that this entry knows of."""
    replicas = placement.collect_reported_replicas(node)
    for instance_id, (replica, _) in node.fleet_overview.received.items():
        replicas.setdefault(instance_id, replica)
    return replicas


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Send the holder what it lacks, once a second."""
    state = node.fleet_overview
    if node.now_s < state.next_send_s:
        return []
    state.next_send_s = node.now_s + SEND_INTERVAL_S
    if leases.is_held(node):
        _update_as_holder(node)
        return []
    state.received.clear()
    if not is_needed(node) or not node.config_gossip.controller:
        return []
    if state.sent_fence != node.config_gossip.fence:
        state.sent_fence = node.config_gossip.fence
        state.sent.clear()
        state.next_send_s = node.now_s + START_SPREAD_S * node.random.random()
        return []
    due = _select_due(node)
    if not due:
        return []
    for replica in due:
        state.sent[replica.instance_id] = (replica, node.now_s)
    return [effects.Send(node.config_gossip.controller, Overview(tuple(due)))]


def on_message(node: machine.Node, event: events.MessageReceived) -> list:
    """Store the endpoint processes that another entry sent."""
    if not isinstance(event.message, Overview):
        return []
    for replica in event.message.replicas:
        if replica.state is data.MemberState.DEAD:
            node.fleet_overview.received.pop(replica.instance_id, None)
            continue
        node.fleet_overview.received[replica.instance_id] = (replica, node.now_s)
    return []


def _update_as_holder(node: machine.Node) -> None:
    state = node.fleet_overview
    if state.held_fence != node.leases.fence:
        state.held_fence = node.leases.fence
        state.held_since_s = node.now_s
    for instance_id, (_, received_s) in [*state.received.items()]:
        if node.now_s - received_s > EXPIRY_S:
            del state.received[instance_id]


def _select_due(node: machine.Node) -> list[placement.Replica]:
    """Return the endpoint processes that changed, are gone or were sent long ago."""
    state = node.fleet_overview
    due = []
    replicas = placement.collect_reported_replicas(node)
    for instance_id, replica in replicas.items():
        if len(due) >= MAX_REPLICAS_PER_MESSAGE:
            return due
        identity = node.membership.members[instance_id].identity
        if push_schedule.find_rank(node, identity):
            continue  # the entry that ranks first sends it
        sent_replica, sent_s = state.sent.get(instance_id, (None, 0.0))
        if sent_replica != replica or node.now_s - sent_s > REFRESH_INTERVAL_S:
            due.append(replica)
    for instance_id, (replica, _) in [*state.sent.items()]:
        if instance_id in replicas or len(due) >= MAX_REPLICAS_PER_MESSAGE:
            continue
        if replica.state is data.MemberState.DEAD:
            del state.sent[instance_id]
            continue
        due.append(placement.mark_dead(replica))
    return due


HANDLERS = {
    events.Tick: on_tick,
    events.MessageReceived: on_message,
}
