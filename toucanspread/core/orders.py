"""Carries out the controller's orders at an endpoint process.

An order below the highest fencing number is refused here, in place of engines that
take orders from anyone. A new version is loaded beside the one that serves, and serves
only after the engine's own digest of its weights matches the manifest's.
"""

import enum

from toucanspread.core import (
    data,
    effects,
    events,
    invariants,
    machine,
    operations,
    placement,
)

STATUS_INTERVAL_S = 0.5
ANSWER_S = 120.0  # loading a large version takes long
CHECK_S = 60.0
RETRY_S = 5.0
START_WAIT_S = 5.0  # orders wait this long for the engine's fencing number
DEPARTURE_INTERVAL_S = 1.0
LOCAL_DRAIN_LEAD_S = 120.0  # before a window, without any order
UNLOAD_DELAY_S = 10.0  # requests on the version before may still be starting
RESUME_S = 5.0  # after a restart, an order may come first

NO_SERVICE = data.ServiceName("")


class Phase(enum.Enum):
    """How far the newest order is carried out."""

    IDLE = "idle"
    STAGING = "staging"
    LOADING = "loading"
    CHECKING = "checking"
    ACTIVATING = "activating"
    CONFIRMING = "confirming"
    WAITING = "waiting"


class Serving(data.Record):
    """What this endpoint process serves, whole and verified."""

    service: data.ServiceName
    kind: data.ServiceKind
    model: data.ModelName = data.ModelName("")
    version: data.VersionName = data.VersionName("")
    manifest_hash: data.ManifestHash = data.ManifestHash("")
    weights_hash: str = ""
    adapters: tuple[data.AdapterName, ...] = ()


class State:
    """What this process serves and what it was told to serve.

    :param kind: what stands behind this process.
    :param service: the plain service that stands behind it; empty for an engine.
    :ivar target: the order being carried out, or the last that was.
    """

    def __init__(
        self,
        kind: data.ServiceKind = data.ServiceKind.MODEL,
        service: data.ServiceName = NO_SERVICE,
    ):
        self.kind = kind
        self.service = service
        self.fence = data.FencingNumber(0)
        self.sequence = 0
        self.serving: Serving | None = None
        self.draining = False
        self.target: data.Order | None = None
        self.phase = Phase.IDLE
        self.weights_hash = ""
        self.call_id = data.OperationId("")
        self.phase_s = 0.0
        self.status_s = 0.0
        self.departure_s = 0.0
        self.started_s: float | None = None
        self.fence_known = kind is data.ServiceKind.PLAIN
        self.status: data.EngineStatus | None = None
        self.retired: list[tuple[float, Serving]] = []


def on_message(node: machine.Node, event: events.MessageReceived) -> list:
    """Take in an order."""
    if not isinstance(event.message, data.Order):
        return []
    order = event.message
    state = node.orders
    if order.instance_id != node.identity.instance_id:
        return []
    if not state.fence_known:
        return [effects.Log("order_postponed", {"fence": order.fence})]
    _learn_fence(node, node.spread.fence)
    if (order.fence, order.sequence) < (state.fence, state.sequence):
        return [_refuse(node, order)]
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
        return _drain(node, data.Reason.LEAVING)
    if order.service and order.kind is not state.kind:
        return [_refuse(node, order)]
    if state.target is not None and _target(order) == _target(state.target):
        state.target = order
        return []
    return _begin(node, order)


def on_staged(node: machine.Node, event: events.VersionStaged) -> list:
    """Order the engine to load what was staged for the target."""
    state = node.orders
    if state.phase is not Phase.STAGING:
        return []
    if event.manifest_hash != state.target.manifest_hash:
        return []
    state.weights_hash = event.weights_hash
    if _is_loaded(node):
        _enter(node, Phase.CHECKING)
        return []
    return _order_engine(node, Phase.LOADING, data.OrderKind.LOAD)


def _is_loaded(node: machine.Node) -> bool:
    """Return whether the engine has the target already, as after a restart here."""
    state = node.orders
    if state.status is None:
        return False
    digest = state.status.digests.get(state.target.version)
    has_adapters = set(state.target.adapters) <= set(state.status.adapters)
    return digest == state.weights_hash and has_adapters


def on_order_answered(node: machine.Node, event: events.EngineOrderAnswered) -> list:
    """Go on after the engine took an order, or try again later."""
    state = node.orders
    if event.operation_id != state.call_id:
        return []
    state.call_id = data.OperationId("")
    if not event.accepted:
        return _fail(node, event.detail or "the engine refused an order")
    if state.phase is Phase.LOADING:
        _enter(node, Phase.CHECKING)
    elif state.phase is Phase.ACTIVATING:
        _enter(node, Phase.CONFIRMING)
    # Requests wait for the end of a change of version, so don't wait for a tick.
    state.status_s = node.now_s + STATUS_INTERVAL_S
    return [effects.ReadEngineStatus()]


def on_status(node: machine.Node, event: events.EngineStatusReported) -> list:
    """Learn the engine's fencing number and whether the target is whole there."""
    state = node.orders
    if event.status is None:
        return []
    state.status = event.status
    state.fence_known = True
    _learn_fence(node, event.status.fence)
    if state.phase is Phase.CHECKING:
        digest = event.status.digests.get(state.target.version)
        if digest == state.weights_hash:
            return _order_engine(node, Phase.ACTIVATING, data.OrderKind.ACTIVATE)
    if state.phase is Phase.CONFIRMING:
        digest = event.status.digests.get(state.target.version)
        active = event.status.active_version == state.target.version
        if active and digest == state.weights_hash:
            return _serve_target(node)
    return []


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Read the engine's status when it is awaited; leave before a window."""
    state = node.orders
    if state.started_s is None:
        state.started_s = node.now_s
    items = _depart(node)
    items.extend(_unload(node))
    items.extend(_resume(node))
    if not state.fence_known and node.now_s - state.started_s > START_WAIT_S:
        state.fence_known = True
    if state.phase is Phase.WAITING and node.now_s - state.phase_s > RETRY_S:
        items.extend(_begin(node, state.target))
    if _overdue(node):
        items.extend(_fail(node, f"no end of {state.phase.value}"))
    awaited = state.phase in (Phase.CHECKING, Phase.CONFIRMING)
    if (awaited or not state.fence_known) and node.now_s >= state.status_s:
        state.status_s = node.now_s + STATUS_INTERVAL_S
        items.append(effects.ReadEngineStatus())
    return items


def on_shutdown(node: machine.Node, event: events.ShutdownRequested) -> list:
    """Take no new work from here on."""
    return _drain(node, data.Reason.LEAVING)


def on_config_applied(node: machine.Node, event: events.ConfigApplied) -> list:
    """Serve a plain service that is in force, even while no controller gives orders."""
    state = node.orders
    if state.kind is not data.ServiceKind.PLAIN or state.target is not None:
        return []
    intent = node.config.intents.get(state.service)
    if intent is None or intent.kind is not data.ServiceKind.PLAIN or state.draining:
        return []
    if state.serving is not None:
        return []
    state.serving = Serving(state.service, state.kind)
    return [events.ServingChanged(data.VersionName(""))]


def _resume(node: machine.Node) -> list:
    """Serve again what the engine still holds, even while nobody gives orders.

    The intent in force names the manifest, against which the engine's digest is checked
    as after any order.
    """
    state = node.orders
    if state.target is not None or state.draining or state.status is None:
        return []
    if node.now_s - state.started_s < RESUME_S or not state.status.active_version:
        return []
    found = [
        intent
        for intent in node.config.intents.values()
        if intent.kind is data.ServiceKind.MODEL
        and intent.version == state.status.active_version
    ]
    if len(found) != 1:
        return []
    intent = found[0]
    order = data.Order(
        state.fence,
        operations.new_id(node, "resume"),
        node.identity.instance_id,
        intent.service,
        intent.kind,
        intent.model,
        intent.version,
        intent.manifest_hash,
        intent.adapters,
        intent.origin_weight,
    )
    return [effects.Log("serving_resumed", {"version": intent.version})] + _begin(
        node, order
    )


def _target(order: data.Order) -> tuple:
    return (order.service, order.model, order.manifest_hash, order.adapters)


def _learn_fence(node: machine.Node, fence: data.FencingNumber) -> None:
    if fence > node.orders.fence:
        node.orders.fence = fence
        node.orders.sequence = 0


def _refuse(node: machine.Node, order: data.Order) -> effects.Log:
    fields = {
        "fence": order.fence,
        "sequence": order.sequence,
        "highest_fence": node.orders.fence,
        "highest_sequence": node.orders.sequence,
        "operation_id": order.operation_id,
    }
    return effects.Log("order_refused", fields)


def _begin(node: machine.Node, order: data.Order) -> list:
    """Start on a target, dropping the one before."""
    state = node.orders
    items = _cancel(node)
    state.target = order
    _enter(node, Phase.IDLE)
    if order.service == "":
        return [*items, *_change_serving(node, None)]
    if order.kind is data.ServiceKind.PLAIN:
        serving = Serving(order.service, order.kind)
        return [*items, *_change_serving(node, serving)]
    serving = state.serving
    if serving is not None and _serves(serving, order):
        state.weights_hash = serving.weights_hash
        return [*items, *_serve_target(node)]
    _enter(node, Phase.STAGING)
    wanted = events.VersionWanted(
        order.model, order.version, order.manifest_hash, order.origin_weight
    )
    return [*items, wanted]


def _serves(serving: Serving, order: data.Order) -> bool:
    return (
        serving.model == order.model
        and serving.manifest_hash == order.manifest_hash
        and serving.adapters == order.adapters
    )


def _cancel(node: machine.Node) -> list:
    """Stop the transfer of a target that is wanted no longer."""
    state = node.orders
    state.call_id = data.OperationId("")
    if state.phase is not Phase.STAGING:
        return []
    return [events.VersionCancelled(state.target.manifest_hash)]


def _enter(node: machine.Node, phase: Phase) -> None:
    node.orders.phase = phase
    node.orders.phase_s = node.now_s


def _overdue(node: machine.Node) -> bool:
    state = node.orders
    waited_s = node.now_s - state.phase_s
    if state.phase in (Phase.LOADING, Phase.ACTIVATING):
        return waited_s > ANSWER_S
    if state.phase in (Phase.CHECKING, Phase.CONFIRMING):
        return waited_s > CHECK_S
    return False


def _fail(node: machine.Node, why: str) -> list:
    """Wait a little, then carry out the target from the start."""
    state = node.orders
    state.call_id = data.OperationId("")
    _enter(node, Phase.WAITING)
    fields = {"why": why, "version": state.target.version}
    return [effects.Log("order_failed", fields), effects.ReadEngineStatus()]


def _order_engine(
    node: machine.Node, phase: Phase, kind: data.OrderKind
) -> list[data.Effect]:
    state = node.orders
    _enter(node, phase)
    state.call_id = operations.new_id(node, "engine")
    order = state.target
    return [
        effects.EngineOrder(
            state.call_id,
            kind,
            state.fence,
            order.model,
            order.version,
            order.manifest_hash,
            order.adapters,
        )
    ]


def _serve_target(node: machine.Node) -> list:
    state = node.orders
    order = state.target
    _enter(node, Phase.IDLE)
    serving = Serving(
        order.service,
        order.kind,
        order.model,
        order.version,
        order.manifest_hash,
        state.weights_hash,
        order.adapters,
    )
    return _change_serving(node, serving)


def _change_serving(node: machine.Node, serving: Serving | None) -> list:
    state = node.orders
    before = state.serving
    if serving == before:
        return []
    state.serving = serving
    version = data.VersionName("") if serving is None else serving.version
    if before is not None and before.version not in ("", version):
        state.retired.append((node.now_s + UNLOAD_DELAY_S, before))
    fields = {
        "service": "" if serving is None else serving.service,
        "version": version,
        "fence": state.fence,
    }
    return [effects.Log("serving_changed", fields), events.ServingChanged(version)]


def _unload(node: machine.Node) -> list:
    """Unload versions that were replaced, once their requests have ended."""
    state = node.orders
    if not state.retired or node.now_s < state.retired[0][0]:
        return []
    _, retired = state.retired.pop(0)
    if _runs(node, retired.version):
        state.retired.append((node.now_s + UNLOAD_DELAY_S, retired))
        return []
    versions = {state.target.version if state.target else ""}
    versions.add(state.serving.version if state.serving else "")
    if retired.version in versions:
        return []
    return [
        effects.EngineOrder(
            operations.new_id(node, "unload"),
            data.OrderKind.UNLOAD,
            state.fence,
            retired.model,
            retired.version,
            retired.manifest_hash,
        )
    ]


def _runs(node: machine.Node, version: data.VersionName) -> bool:
    """Return whether a request still runs on a version."""
    gate = getattr(node, "gate", None)
    if gate is None:
        return False
    return any(work.running and work.version == version for work in gate.work.values())


def _depart(node: machine.Node) -> list:
    """Leave before a window in force, also while nobody gives orders."""
    state = node.orders
    if state.draining or node.now_s < state.departure_s:
        return []
    state.departure_s = node.now_s + DEPARTURE_INTERVAL_S
    leaving = placement.departures(
        node.config.intents.values(), node.wall_s, LOCAL_DRAIN_LEAD_S
    )
    if node.identity.instance_id not in leaving:
        return []
    return _drain(node, data.Reason.LEAVING)


def _drain(node: machine.Node, reason: data.Reason) -> list:
    """Start to drain, once; what runs is left to end."""
    state = node.orders
    if state.draining:
        return []
    state.draining = True
    items = _cancel(node)
    _enter(node, Phase.IDLE)
    fields = {"reason": reason.value}
    return [effects.Log("drain_started", fields), *items, events.DrainStarted(reason)]


HANDLERS = {
    events.MessageReceived: on_message,
    events.VersionStaged: on_staged,
    events.EngineOrderAnswered: on_order_answered,
    events.EngineStatusReported: on_status,
    events.ShutdownRequested: on_shutdown,
    events.ConfigApplied: on_config_applied,
    events.Tick: on_tick,
}
