"""Carries out the controller's orders at an endpoint process.

An order below the highest known fencing number is refused here, on behalf of engines
that accept orders from anyone. A new version is loaded beside the one that is served,
and is served only after the engine's own digest of its weights matches the manifest's.
"""

from toucanspread.core import data, effects, events, invariants, machine, operations
from toucanspread.core.agreement import placement
from toucanspread.core.gate import serving

STATUS_INTERVAL_S = 0.5
ENGINE_ORDER_TIMEOUT_S = 120.0  # loading a large version takes a long time
CHECK_TIMEOUT_S = 60.0
RETRY_DELAY_S = 5.0
FENCE_WAIT_S = 5.0  # orders wait this long for the engine's fencing number
DEPARTURE_CHECK_INTERVAL_S = 1.0
LOCAL_DRAIN_LEAD_S = 120.0  # before a window, even without an order
RESUME_DELAY_S = 5.0  # after a restart, since an order may arrive first

# Other modules refer to the state and the phases by the name of this module.
State = serving.State
Phase = serving.Phase


def on_message(node: machine.Node, event: events.MessageReceived) -> list:
    """Carry out an order, or refuse one of an earlier holder."""
    if not isinstance(event.message, data.Order):
        return []
    order = event.message
    state = node.orders
    if order.instance_id != node.identity.instance_id:
        return []
    if not state.is_fence_known:
        return [effects.Log("order_postponed", {"fence": order.fence})]
    _raise_fence(node, node.config_gossip.fence)
    if (order.fence, order.sequence) < (state.fence, state.sequence):
        return [_log_refusal(node, order)]
    invariants.check(
        order.fence >= state.fence,
        invariants.Invariant.FENCE_NEVER_DECREASES,
        f"{order.fence} after {state.fence}",
    )
    state.fence = order.fence
    state.sequence = order.sequence
    if state.draining:
        return []
    if order.leave:
        return _start_drain(node, data.Reason.LEAVING)
    if order.service and order.kind is not state.kind:
        return [_log_refusal(node, order)]
    if state.target is not None and _target_of(order) == _target_of(state.target):
        state.target = order
        return []
    return _start_target(node, order)


def on_staged(node: machine.Node, event: events.VersionStaged) -> list:
    """Order the engine to load the target once it is staged."""
    state = node.orders
    if state.phase is not serving.Phase.STAGING:
        return []
    if event.manifest_hash != state.target.manifest_hash:
        return []
    state.weights_hash = event.weights_hash
    state.is_load_skipped = _is_target_loaded(node)
    if state.is_load_skipped:
        serving.enter_phase(node, serving.Phase.CHECKING)
        return []
    return serving.order_engine(node, serving.Phase.LOADING, data.OrderKind.LOAD)


def _is_target_loaded(node: machine.Node) -> bool:
    """Return whether the engine holds the target already, as after a restart here."""
    state = node.orders
    if state.status is None:
        return False
    digest = state.status.digests.get(state.target.version)
    has_adapters = set(state.target.adapters) <= set(state.status.adapters)
    return digest == state.weights_hash and has_adapters


def on_order_answered(node: machine.Node, event: events.EngineOrderAnswered) -> list:
    """Continue after the engine accepted an order, or retry later."""
    state = node.orders
    if event.operation_id != state.call_id:
        return []
    state.call_id = data.OperationId("")
    if not event.accepted:
        return _schedule_retry(node, event.detail or "the engine refused an order")
    if state.phase is serving.Phase.LOADING:
        serving.enter_phase(node, serving.Phase.CHECKING)
    elif state.phase is serving.Phase.ACTIVATING:
        serving.enter_phase(node, serving.Phase.CONFIRMING)
    # Requests are held until the version change ends, so this doesn't wait for a tick.
    state.next_status_s = node.now_s + STATUS_INTERVAL_S
    return [effects.ReadEngineStatus()]


def on_status(node: machine.Node, event: events.EngineStatusReported) -> list:
    """Record the engine's fencing number; continue once it holds the whole target."""
    state = node.orders
    if event.status is None:
        return []
    state.status = event.status
    state.is_fence_known = True
    _raise_fence(node, event.status.fence)
    if state.phase not in (serving.Phase.CHECKING, serving.Phase.CONFIRMING):
        return []
    is_whole = event.status.digests.get(state.target.version) == state.weights_hash
    if state.phase is serving.Phase.CONFIRMING:
        is_active = event.status.active_version == state.target.version
        return serving.serve_target(node) if is_whole and is_active else []
    if is_whole:
        return serving.order_engine(
            node, serving.Phase.ACTIVATING, data.OrderKind.ACTIVATE
        )
    if not state.is_load_skipped:
        return []
    state.is_load_skipped = False  # the engine unloaded it after the earlier status
    return serving.order_engine(node, serving.Phase.LOADING, data.OrderKind.LOAD)


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Read the engine's status while it is awaited; drain before a window."""
    state = node.orders
    if state.started_s is None:
        state.started_s = node.now_s
    outputs = _drain_for_departure(node)
    outputs.extend(serving.unload_retired(node))
    outputs.extend(_resume_serving(node))
    if not state.is_fence_known and node.now_s - state.started_s > FENCE_WAIT_S:
        state.is_fence_known = True
    if (
        state.phase is serving.Phase.WAITING
        and node.now_s - state.phase_started_s > RETRY_DELAY_S
    ):
        outputs.extend(_start_target(node, state.target))
    if _is_overdue(node):
        outputs.extend(_schedule_retry(node, f"no end of {state.phase.value}"))
    is_status_awaited = state.phase in (
        serving.Phase.CHECKING,
        serving.Phase.CONFIRMING,
    )
    if (
        is_status_awaited or not state.is_fence_known
    ) and node.now_s >= state.next_status_s:
        state.next_status_s = node.now_s + STATUS_INTERVAL_S
        outputs.append(effects.ReadEngineStatus())
    return outputs


def on_shutdown(node: machine.Node, event: events.ShutdownRequested) -> list:
    """Start to drain; no new work is accepted from here on."""
    return _start_drain(node, data.Reason.LEAVING)


def on_config_applied(node: machine.Node, event: events.ConfigApplied) -> list:
    """Serve a plain service that is in force, even while there is no controller."""
    state = node.orders
    if state.kind is not data.ServiceKind.PLAIN or state.target is not None:
        return []
    intent = node.config.intents.get(state.service)
    if intent is None or intent.kind is not data.ServiceKind.PLAIN or state.draining:
        return []
    if state.serving is not None:
        return []
    state.serving = serving.Serving(state.service, state.kind)
    return [events.ServingChanged(data.VersionName(""))]


def _resume_serving(node: machine.Node) -> list:
    """Serve again what the engine still holds, even while there is no controller.

    The intent in force names the manifest against which the engine's digest is checked,
    as after any order.
    """
    state = node.orders
    if state.target is not None or state.draining or state.status is None:
        return []
    if node.now_s - state.started_s < RESUME_DELAY_S or not state.status.active_version:
        return []
    candidates = [
        intent
        for intent in node.config.intents.values()
        if intent.kind is data.ServiceKind.MODEL
        and intent.version == state.status.active_version
    ]
    if len(candidates) != 1:
        return []
    intent = candidates[0]
    operation_id = operations.new_id(node, "resume")
    order = data.Order.from_intent(
        intent, state.fence, operation_id, node.identity.instance_id
    )
    return [
        effects.Log("serving_resumed", {"version": intent.version})
    ] + _start_target(node, order)


def _target_of(order: data.Order) -> tuple:
    return (order.service, order.model, order.manifest_hash, order.adapters)


def _raise_fence(node: machine.Node, fence: data.FencingNumber) -> None:
    if fence > node.orders.fence:
        node.orders.fence = fence
        node.orders.sequence = 0


def _log_refusal(node: machine.Node, order: data.Order) -> effects.Log:
    fields = {
        "fence": order.fence,
        "sequence": order.sequence,
        "highest_fence": node.orders.fence,
        "highest_sequence": node.orders.sequence,
        "operation_id": order.operation_id,
    }
    return effects.Log("order_refused", fields)


def _start_target(node: machine.Node, order: data.Order) -> list:
    """Start on a target and cancel the previous one."""
    state = node.orders
    outputs = _cancel_staging(node)
    state.target = order
    serving.enter_phase(node, serving.Phase.IDLE)
    if order.service == "":
        return [*outputs, *serving.set_current(node, None)]
    if order.kind is data.ServiceKind.PLAIN:
        wanted = serving.Serving(order.service, order.kind)
        return [*outputs, *serving.set_current(node, wanted)]
    current = state.serving
    if current is not None and _is_serving(current, order):
        state.weights_hash = current.weights_hash
        return [*outputs, *serving.serve_target(node)]
    serving.enter_phase(node, serving.Phase.STAGING)
    request = events.VersionRequested(
        order.model, order.version, order.manifest_hash, order.origin_weight
    )
    return [*outputs, request]


def _is_serving(current: serving.Serving, order: data.Order) -> bool:
    return (
        current.model == order.model
        and current.manifest_hash == order.manifest_hash
        and current.adapters == order.adapters
    )


def _cancel_staging(node: machine.Node) -> list:
    """Stop the transfer of a target that is no longer wanted."""
    state = node.orders
    state.call_id = data.OperationId("")
    if state.phase is not serving.Phase.STAGING:
        return []
    return [events.VersionCancelled(state.target.manifest_hash)]


def _is_overdue(node: machine.Node) -> bool:
    state = node.orders
    waited_s = node.now_s - state.phase_started_s
    if state.phase in (serving.Phase.LOADING, serving.Phase.ACTIVATING):
        return waited_s > ENGINE_ORDER_TIMEOUT_S
    if state.phase in (serving.Phase.CHECKING, serving.Phase.CONFIRMING):
        return waited_s > CHECK_TIMEOUT_S
    return False


def _schedule_retry(node: machine.Node, why: str) -> list:
    """Log a failure and carry out the target again from the start after a delay."""
    state = node.orders
    state.call_id = data.OperationId("")
    serving.enter_phase(node, serving.Phase.WAITING)
    fields = {"why": why, "version": state.target.version}
    return [effects.Log("order_failed", fields), effects.ReadEngineStatus()]


def _drain_for_departure(node: machine.Node) -> list:
    """Drain before a window in force, also while there is no controller."""
    state = node.orders
    if state.draining or node.now_s < state.next_departure_check_s:
        return []
    state.next_departure_check_s = node.now_s + DEPARTURE_CHECK_INTERVAL_S
    leaving = placement.find_departures(
        node.config.intents.values(), node.wall_s, LOCAL_DRAIN_LEAD_S
    )
    if node.identity.instance_id not in leaving:
        return []
    return _start_drain(node, data.Reason.LEAVING)


def _start_drain(node: machine.Node, reason: data.Reason) -> list:
    """Start to drain, if not started before; running requests may still finish."""
    state = node.orders
    if state.draining:
        return []
    state.draining = True
    outputs = _cancel_staging(node)
    serving.enter_phase(node, serving.Phase.IDLE)
    fields = {"reason": reason.value}
    return [effects.Log("drain_started", fields), *outputs, events.DrainStarted(reason)]


HANDLERS = {
    events.MessageReceived: on_message,
    events.VersionStaged: on_staged,
    events.EngineOrderAnswered: on_order_answered,
    events.EngineStatusReported: on_status,
    events.ShutdownRequested: on_shutdown,
    events.ConfigApplied: on_config_applied,
    events.Tick: on_tick,
}
