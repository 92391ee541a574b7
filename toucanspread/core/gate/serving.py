"""What an endpoint process serves, and the single steps that change it.

:mod:`toucanspread.core.agreement.orders` decides which version to serve. This module
holds the state that both modules share, and the steps that load, activate and unload
versions at the engine.
"""

import enum

from toucanspread.core import data, effects, events, machine, operations

UNLOAD_DELAY_S = 10.0  # requests on the previous version may still be starting
NO_SERVICE = data.ServiceName("")


class Phase(enum.Enum):
    """How far the latest order has been carried out."""

    IDLE = "idle"
    STAGING = "staging"
    LOADING = "loading"
    CHECKING = "checking"
    ACTIVATING = "activating"
    CONFIRMING = "confirming"
    WAITING = "waiting"


class Serving(data.Record):
    """What this endpoint process serves, complete and verified."""

    service: data.ServiceName
    kind: data.ServiceKind
    model: data.ModelName = data.ModelName("")
    version: data.VersionName = data.VersionName("")
    manifest_hash: data.ManifestHash = data.ManifestHash("")
    weights_hash: str = ""
    adapters: tuple[data.AdapterName, ...] = ()


class State:
    """What this process serves, and the order that it carries out.

    :param kind: kind of backend of this process.
    :param service: the plain service behind this process; empty for an engine.
    :ivar is_load_skipped: whether an earlier status showed the target as loaded.
    :ivar target: the order being carried out, or the last one that was.
    :ivar call_id: identifies the order to the engine that is not answered yet.
    :ivar retired: replaced versions, each with the time from which to unload it.
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
        self.is_load_skipped = False
        self.call_id = data.OperationId("")
        self.phase_started_s = 0.0
        self.next_status_s = 0.0
        self.next_departure_check_s = 0.0
        self.started_s: float | None = None
        self.is_fence_known = kind is data.ServiceKind.PLAIN
        self.status: data.EngineStatus | None = None
        self.retired: list[tuple[float, Serving]] = []


def enter_phase(node: machine.Node, phase: Phase) -> None:
    """Enter a phase and record when it began."""
    node.orders.phase = phase
    node.orders.phase_started_s = node.now_s


def order_engine(
    node: machine.Node, phase: Phase, kind: data.OrderKind
) -> list[data.Effect]:
    """Order the engine to load or activate the target, and enter a phase."""
    state = node.orders
    enter_phase(node, phase)
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


def serve_target(node: machine.Node) -> list:
    """Serve the target, which is verified and active at the engine."""
    state = node.orders
    order = state.target
    enter_phase(node, Phase.IDLE)
    serving = Serving(
        order.service,
        order.kind,
        order.model,
        order.version,
        order.manifest_hash,
        state.weights_hash,
        order.adapters,
    )
    return set_current(node, serving)


def set_current(node: machine.Node, serving: Serving | None) -> list:
    """Serve ``serving`` from now on, or nothing if it is None."""
    state = node.orders
    previous = state.serving
    if serving == previous:
        return []
    state.serving = serving
    version = data.VersionName("") if serving is None else serving.version
    if previous is not None and previous.version not in ("", version):
        state.retired.append((node.now_s + UNLOAD_DELAY_S, previous))
    fields = {
        "service": "" if serving is None else serving.service,
        "version": version,
        "fence": state.fence,
    }
    return [effects.Log("serving_changed", fields), events.ServingChanged(version)]


def unload_retired(node: machine.Node) -> list:
    """Unload a replaced version once its requests have ended."""
    state = node.orders
    if not state.retired or node.now_s < state.retired[0][0]:
        return []
    _, retired = state.retired.pop(0)
    if _has_running_requests(node, retired.version):
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


def _has_running_requests(node: machine.Node, version: data.VersionName) -> bool:
    """Return whether a request still runs on a version."""
    dispatches = getattr(node, "dispatches", None)
    if dispatches is None:
        return False
    return any(
        live.running and live.version == version for live in dispatches.live.values()
    )
