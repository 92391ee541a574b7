"""Gives orders to the endpoint processes, at the entry that holds the lease.

The orders are derived again and again from the intents in force and the reports; what
is remembered only saves repeated messages. An instance counts towards its service's
floor only once its report shows this holder's fencing number: from then on no earlier
holder can take it away, so two holders that overlap can't break the floor together.
"""

from toucanspread.core import data, effects, events, invariants, machine, operations
from toucanspread.core.agreement import fleet_overview, leases, placement

INTERVAL_S = 1.0
REPLICAS_PER_EXTRA_SECOND = 750  # 7,500 replicas take 0.1 s of processor time
ORDERS_PER_S = 40
RESEND_S = 3.0
REDUCED_S = 60.0  # an ordered reduction counts as done this long without a report
DRAIN_ANYWAY_S = 600.0  # before a window, replicas above the floor may go

NO_OPERATION = data.OperationId("")


class State:
    """What was sent lately, under the current fencing number."""

    def __init__(self):
        self.fence = data.FencingNumber(0)
        self.next_run_s = 0.0
        self.sequence = 0
        self.sent: dict[data.InstanceId, tuple[data.Order, float]] = {}
        self.reduced: dict[data.InstanceId, tuple[data.ServiceName, float]] = {}
        self.warned: set[str] = set()


class Run:
    """One look through the fleet.

    :ivar wholes: per service, the acknowledged whole replicas that stay.
    """

    def __init__(self, node: machine.Node):
        self.node = node
        self.intents = node.config.intents
        self.replicas = fleet_overview.replicas(node)
        self.placed = placement.place(self.intents, self.replicas, node.wall_s)
        extra_s = len(self.replicas) / REPLICAS_PER_EXTRA_SECOND
        self.interval_s = INTERVAL_S + extra_s
        self.max_orders = int(ORDERS_PER_S * self.interval_s)
        self.orders: list[data.Order] = []
        self.wholes: dict[data.ServiceName, set[data.InstanceId]] = {}
        self._count_wholes()

    def _count_wholes(self) -> None:
        state = self.node.controller
        for name, replica in self.replicas.items():
            intent = self.intents.get(replica.service)
            if intent is None or not placement.is_whole(replica, intent):
                continue
            if replica.fence != state.fence or name in state.reduced:
                continue
            if replica.state is not data.MemberState.LIVE:
                continue
            self.wholes.setdefault(intent.service, set()).add(name)


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Look through the fleet if this entry holds the lease."""
    state = node.controller
    if node.now_s < state.next_run_s:
        return []
    if not leases.held(node) or not fleet_overview.is_complete(node):
        state.next_run_s = node.now_s + INTERVAL_S
        return []
    if state.fence != node.leases.fence:
        _take_over(node)
    run = Run(node)
    state.next_run_s = node.now_s + run.interval_s
    _forget(node, run)
    _order_loads(node, run)
    _order_reductions(node, run)
    return [*_send(node, run), *_warn(node, run)]


def _take_over(node: machine.Node) -> None:
    state = node.controller
    state.fence = node.leases.fence
    state.sequence = 0
    state.sent.clear()
    state.reduced.clear()
    state.warned.clear()


def _forget(node: machine.Node, run: Run) -> None:
    """Drop what reports have confirmed or what has waited too long."""
    state = node.controller
    for name in [*state.sent]:
        if name not in run.replicas:
            del state.sent[name]
    for name, (service, since_s) in [*state.reduced.items()]:
        replica = run.replicas.get(name)
        is_seen = replica is None or replica.service != service
        if is_seen or node.now_s - since_s > REDUCED_S:
            del state.reduced[name]


def _order_loads(node: machine.Node, run: Run) -> None:
    """Order what makes replicas whole; an instance that serves nothing comes first."""
    waiting = []
    for service in sorted(run.intents):
        intent = run.intents[service]
        for name in run.placed.members.get(service, ()):
            replica = run.replicas[name]
            if placement.is_current(replica, intent):
                continue
            waiting.append((replica.version != "", service, name))
    for _, service, name in sorted(waiting):
        replica = run.replicas[name]
        takes_from = replica.service if replica.service != service else ""
        if takes_from in run.intents and not _may_reduce(node, run, replica):
            continue
        _give(node, run, name, run.intents[service])


def _order_reductions(node: machine.Node, run: Run) -> None:
    """Order drains and releases, for what the loads have made superfluous."""
    for name, replica in sorted(run.replicas.items()):
        if replica.state is data.MemberState.LEAVING:
            continue
        departure = run.placed.departing.get(name)
        if departure is None and (replica.service == "" or run.placed.services[name]):
            continue
        intent = run.intents.get(replica.service)
        counts = intent is not None and placement.is_whole(replica, intent)
        if counts and not _may_reduce(node, run, replica):
            continue
        _give(node, run, name, None, leave=departure is not None)


def _may_reduce(node: machine.Node, run: Run, replica: placement.Replica) -> bool:
    """Return whether a service can spare a replica, and count it as gone if so."""
    state = node.controller
    if replica.instance_id in state.reduced:
        return True  # ordered before; the order may be repeated
    intent = run.intents[replica.service]
    members = run.placed.members[intent.service]
    _acknowledge(node, run, intent)
    wholes = run.wholes.get(intent.service, set())
    staying = wholes - {replica.instance_id}
    ready = sum(name in staying for name in members)
    departure = run.placed.departing.get(replica.instance_id)
    late = (
        departure is not None
        and node.wall_s > departure.window_start_s - DRAIN_ANYWAY_S
    )
    if len(staying) < intent.floor or (ready < len(members) and not late):
        return False
    invariants.check(
        len(staying) >= intent.floor,
        invariants.Invariant.FLOOR_KEPT,
        f"{intent.service}: {len(staying)} whole replicas, floor {intent.floor}",
    )
    wholes.discard(replica.instance_id)
    state.reduced[replica.instance_id] = (intent.service, node.now_s)
    return True


def _acknowledge(node: machine.Node, run: Run, intent: data.Intent) -> None:
    """Repeat to whole replicas what they serve, so that they learn the fence."""
    for name in run.placed.members[intent.service]:
        replica = run.replicas[name]
        if replica.fence != node.controller.fence:
            _give(node, run, name, intent)


def _give(
    node: machine.Node,
    run: Run,
    name: data.InstanceId,
    intent: data.Intent | None,
    leave: bool = False,
) -> None:
    """Add an order, unless it is on its way or under way."""
    state = node.controller
    if len(run.orders) >= run.max_orders:
        return
    order = _order(state, name, intent, leave)
    sent = state.sent.get(name)
    if sent is not None and _same(sent[0], order):
        replica = run.replicas[name]
        under_way = (
            intent is not None
            and replica.target_version == intent.version != ""
            and replica.fence == state.fence
        )
        if under_way or node.now_s - sent[1] < RESEND_S:
            return
    state.sequence += 1
    order = _order(state, name, intent, leave, operations.new_id(node, "order"))
    state.sent[name] = (order, node.now_s)
    run.orders.append(order)


def _order(
    state: State,
    name: data.InstanceId,
    intent: data.Intent | None,
    leave: bool,
    operation_id: data.OperationId = NO_OPERATION,
) -> data.Order:
    if intent is None:
        return data.Order(
            state.fence,
            operation_id,
            name,
            data.ServiceName(""),
            data.ServiceKind.MODEL,
            leave=leave,
            sequence=state.sequence,
        )
    return data.Order(
        state.fence,
        operation_id,
        name,
        intent.service,
        intent.kind,
        intent.model,
        intent.version,
        intent.manifest_hash,
        intent.adapters,
        intent.origin_weight,
        sequence=state.sequence,
    )


def _same(left: data.Order, right: data.Order) -> bool:
    return target_of(left) == target_of(right)


def target_of(order: data.Order) -> tuple:
    """Return what an order asks for, without its fence, sequence and id."""
    return (
        order.service,
        order.kind,
        order.model,
        order.version,
        order.manifest_hash,
        order.adapters,
        order.leave,
    )


def _send(node: machine.Node, run: Run) -> list:
    sends: list = []
    for order in run.orders:
        sends.append(
            effects.Send(run.replicas[order.instance_id].address, order),
        )
    if sends:
        fields = {"fence": node.controller.fence, "orders": len(sends)}
        sends.append(effects.Log("controller_orders", fields))
    return sends


def _warn(node: machine.Node, run: Run) -> list:
    """Log each shortage and each late departure once per holder."""
    lines = []
    for service, count in run.placed.short.items():
        lines.append(f"service {service} is {count} instances short")
    for name, departure in run.placed.departing.items():
        replica = run.replicas.get(name)
        if replica is None or replica.state is data.MemberState.LEAVING:
            continue
        if node.wall_s > departure.window_start_s - DRAIN_ANYWAY_S:
            lines.append(f"instance {name} is not free for its window yet")
    items = []
    for line in lines:
        if line in node.controller.warned:
            continue
        node.controller.warned.add(line)
        items.append(effects.Log("controller_warning", {"why": line}))
    return items


HANDLERS = {events.Tick: on_tick}
