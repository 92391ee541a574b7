"""Gives orders to the endpoint processes, at the entry that holds the lease.

Each run derives the orders anew from the intents in force and the reports; the kept
state only avoids repeated messages. An instance counts towards its service's floor
only once its report shows this holder's fencing number: from then on no earlier holder
can take it away, so two holders that overlap can't break the floor together.
"""

from toucanspread.core import data, effects, events, invariants, machine, operations
from toucanspread.core.agreement import fleet_overview, leases, placement

RUN_INTERVAL_S = 1.0
# Lengthens the interval in a large fleet: a run over 7,500 replicas takes 0.1 s of
# processor time.
REPLICAS_PER_EXTRA_SECOND = 750
MAX_ORDERS_PER_S = 40
RESEND_INTERVAL_S = 3.0
REDUCTION_TIMEOUT_S = 60.0  # a reduction counts as done for this long without a report
FLOOR_ONLY_LEAD_S = 600.0  # this long before a window, only the floor delays a drain

NO_OPERATION = data.OperationId("")


class State:
    """What was recently sent under the current fencing number.

    :ivar sent_orders: per instance, the last order and when it was sent.
    :ivar reductions: per instance that was ordered to stop serving a service, that
        service and when it was ordered.
    """

    def __init__(self):
        self.fence = data.FencingNumber(0)
        self.next_run_s = 0.0
        self.sequence = 0
        self.sent_orders: dict[data.InstanceId, tuple[data.Order, float]] = {}
        self.reductions: dict[data.InstanceId, tuple[data.ServiceName, float]] = {}
        self.logged_warnings: set[str] = set()


class ReconciliationRun:
    """One comparison of the fleet with the intents in force.

    :ivar whole_replicas: per service, the whole replicas that count towards its floor:
        live, with this holder's fencing number and not ordered to stop serving it.
    """

    def __init__(self, node: machine.Node):
        self.node = node
        self.intents = node.config.intents
        self.replicas = fleet_overview.collect_replicas(node)
        self.placement = placement.place(self.intents, self.replicas, node.wall_s)
        extra_s = len(self.replicas) / REPLICAS_PER_EXTRA_SECOND
        self.interval_s = RUN_INTERVAL_S + extra_s
        self.max_orders = int(MAX_ORDERS_PER_S * self.interval_s)
        self.orders: list[data.Order] = []
        self.whole_replicas: dict[data.ServiceName, set[data.InstanceId]] = {}
        self._find_whole_replicas()

    def _find_whole_replicas(self) -> None:
        state = self.node.controller
        for instance_id, replica in self.replicas.items():
            intent = self.intents.get(replica.service)
            if intent is None or not placement.is_whole(replica, intent):
                continue
            if replica.fence != state.fence or instance_id in state.reductions:
                continue
            if replica.state is not data.MemberState.LIVE:
                continue
            self.whole_replicas.setdefault(intent.service, set()).add(instance_id)


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Compare the fleet with the intents if this entry holds the lease."""
    state = node.controller
    if node.now_s < state.next_run_s:
        return []
    if not leases.is_held(node) or not fleet_overview.is_complete(node):
        state.next_run_s = node.now_s + RUN_INTERVAL_S
        return []
    if state.fence != node.leases.fence:
        _reset_for_new_lease(node)
    run = ReconciliationRun(node)
    state.next_run_s = node.now_s + run.interval_s
    _drop_finished(node, run)
    _order_loads(node, run)
    _order_reductions(node, run)
    return [*_send_orders(node, run), *_log_warnings(node, run)]


def _reset_for_new_lease(node: machine.Node) -> None:
    state = node.controller
    state.fence = node.leases.fence
    state.sequence = 0
    state.sent_orders.clear()
    state.reductions.clear()
    state.logged_warnings.clear()


def _drop_finished(node: machine.Node, run: ReconciliationRun) -> None:
    """Drop orders to unknown instances, and reductions that are reported or too old."""
    state = node.controller
    for instance_id in [*state.sent_orders]:
        if instance_id not in run.replicas:
            del state.sent_orders[instance_id]
    for instance_id, (service, since_s) in [*state.reductions.items()]:
        replica = run.replicas.get(instance_id)
        is_confirmed = replica is None or replica.service != service
        if is_confirmed or node.now_s - since_s > REDUCTION_TIMEOUT_S:
            del state.reductions[instance_id]


def _order_loads(node: machine.Node, run: ReconciliationRun) -> None:
    """Order loads for replicas that are not current, idle instances first."""
    pending = []
    for service in sorted(run.intents):
        intent = run.intents[service]
        for instance_id in run.placement.members.get(service, ()):
            replica = run.replicas[instance_id]
            if placement.is_current(replica, intent):
                continue
            pending.append((replica.version != "", service, instance_id))
    for _, service, instance_id in sorted(pending):
        replica = run.replicas[instance_id]
        losing_service = replica.service if replica.service != service else ""
        if losing_service in run.intents and not _try_reduce(node, run, replica):
            continue
        _add_order(node, run, instance_id, run.intents[service])


def _order_reductions(node: machine.Node, run: ReconciliationRun) -> None:
    """Order drains and releases of replicas that the loads have made superfluous."""
    for instance_id, replica in sorted(run.replicas.items()):
        if replica.state is data.MemberState.LEAVING:
            continue
        departure = run.placement.departing.get(instance_id)
        if departure is None and (
            replica.service == "" or run.placement.assignments[instance_id]
        ):
            continue
        intent = run.intents.get(replica.service)
        counts_for_floor = intent is not None and placement.is_whole(replica, intent)
        if counts_for_floor and not _try_reduce(node, run, replica):
            continue
        _add_order(node, run, instance_id, None, leave=departure is not None)


def _try_reduce(
    node: machine.Node, run: ReconciliationRun, replica: placement.Replica
) -> bool:
    """Return whether a service can spare a replica; if so, count it as gone."""
    state = node.controller
    if replica.instance_id in state.reductions:
        return True  # ordered before; the order may be repeated
    intent = run.intents[replica.service]
    members = run.placement.members[intent.service]
    _order_acknowledgements(node, run, intent)
    whole_replicas = run.whole_replicas.get(intent.service, set())
    staying = whole_replicas - {replica.instance_id}
    ready_count = sum(instance_id in staying for instance_id in members)
    departure = run.placement.departing.get(replica.instance_id)
    is_late = (
        departure is not None
        and node.wall_s > departure.window_start_s - FLOOR_ONLY_LEAD_S
    )
    if len(staying) < intent.floor or (ready_count < len(members) and not is_late):
        return False
    invariants.check(
        len(staying) >= intent.floor,
        invariants.Invariant.FLOOR_KEPT,
        f"{intent.service}: {len(staying)} whole replicas, floor {intent.floor}",
    )
    whole_replicas.discard(replica.instance_id)
    state.reductions[replica.instance_id] = (intent.service, node.now_s)
    return True


def _order_acknowledgements(
    node: machine.Node, run: ReconciliationRun, intent: data.Intent
) -> None:
    """Order whole replicas to serve what they serve, so that they report the fence."""
    for instance_id in run.placement.members[intent.service]:
        replica = run.replicas[instance_id]
        if replica.fence != node.controller.fence:
            _add_order(node, run, instance_id, intent)


def _add_order(
    node: machine.Node,
    run: ReconciliationRun,
    instance_id: data.InstanceId,
    intent: data.Intent | None,
    leave: bool = False,
) -> None:
    """Add an order, unless the same one was just sent or is being carried out."""
    state = node.controller
    if len(run.orders) >= run.max_orders:
        return
    order = _build_order(state, instance_id, intent, leave)
    previous = state.sent_orders.get(instance_id)
    if previous is not None and _has_same_target(previous[0], order):
        replica = run.replicas[instance_id]
        is_in_progress = (
            intent is not None
            and replica.target_version == intent.version != ""
            and replica.fence == state.fence
        )
        if is_in_progress or node.now_s - previous[1] < RESEND_INTERVAL_S:
            return
    state.sequence += 1
    order = _build_order(
        state, instance_id, intent, leave, operations.new_id(node, "order")
    )
    state.sent_orders[instance_id] = (order, node.now_s)
    run.orders.append(order)


def _build_order(
    state: State,
    instance_id: data.InstanceId,
    intent: data.Intent | None,
    leave: bool,
    operation_id: data.OperationId = NO_OPERATION,
) -> data.Order:
    if intent is None:
        return data.Order(
            state.fence,
            operation_id,
            instance_id,
            data.ServiceName(""),
            data.ServiceKind.MODEL,
            leave=leave,
            sequence=state.sequence,
        )
    return data.Order.from_intent(
        intent, state.fence, operation_id, instance_id, state.sequence
    )


def _has_same_target(left: data.Order, right: data.Order) -> bool:
    return order_target(left) == order_target(right)


def order_target(order: data.Order) -> tuple:
    """Return what an order requests, without its fence, sequence and id."""
    return (
        order.service,
        order.kind,
        order.model,
        order.version,
        order.manifest_hash,
        order.adapters,
        order.leave,
    )


def _send_orders(node: machine.Node, run: ReconciliationRun) -> list:
    sends: list = []
    for order in run.orders:
        sends.append(
            effects.Send(run.replicas[order.instance_id].address, order),
        )
    if sends:
        fields = {"fence": node.controller.fence, "orders": len(sends)}
        sends.append(effects.Log("controller_orders", fields))
    return sends


def _log_warnings(node: machine.Node, run: ReconciliationRun) -> list:
    """Log each shortage and each late departure once per holder."""
    warnings = []
    for service, count in run.placement.shortages.items():
        warnings.append(f"service {service} is {count} instances short")
    for instance_id, departure in run.placement.departing.items():
        replica = run.replicas.get(instance_id)
        if replica is None or replica.state is data.MemberState.LEAVING:
            continue
        if node.wall_s > departure.window_start_s - FLOOR_ONLY_LEAD_S:
            warnings.append(f"instance {instance_id} is not free for its window yet")
    outputs = []
    for line in warnings:
        if line in node.controller.logged_warnings:
            continue
        node.controller.logged_warnings.add(line)
        outputs.append(effects.Log("controller_warning", {"why": line}))
    return outputs


HANDLERS = {events.Tick: on_tick}
