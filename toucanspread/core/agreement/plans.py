"""Plans: what would happen if a proposal were accepted.

A plan is a pure function of the configuration at one revision, the proposal and the
reports. Its id names only the base revision and the proposal, so that any entry can
check a confirmation without having made the plan.
"""

import enum
import hashlib
from collections.abc import Iterable, Mapping

import msgspec

from toucanspread.core import data
from toucanspread.core.agreement import change_log, intents, placement

PLAN_ID_DIGITS = 32


class StepKind(enum.Enum):
    """What a step does to an instance."""

    LOAD = "load"
    SERVE = "serve"
    DRAIN = "drain"
    RELEASE = "release"


class Step(data.Record):
    """One step of a plan; the steps of a stage start after the previous stage."""

    stage: int
    kind: StepKind
    instance_id: data.InstanceId
    service: data.ServiceName
    version: data.VersionName = data.VersionName("")


class LinkBytes(data.Record):
    """Bytes that a plan moves over the link between two regions."""

    from_region: data.RegionName
    to_region: data.RegionName
    total_bytes: int


class Costs(data.Record):
    """The rates from which a plan estimates its time.

    :param store_region: where the origin of weights is; empty if unknown.
    """

    store_region: data.RegionName = data.RegionName("")
    origin_bytes_per_s: float = 100e6
    instance_bytes_per_s: float = 50e6
    region_link_bytes_per_s: float = 1.5e6
    load_s: float = 10.0


class Plan(data.Record):
    """What an operator is shown and then confirms.

    :param refusals: why the plan can't be confirmed.
    """

    plan_id: data.PlanId
    base_revision: data.Revision
    intents: tuple[data.Intent, ...]
    removed: tuple[data.ServiceName, ...]
    steps: tuple[Step, ...] = ()
    origin_bytes: int = 0
    link_bytes: tuple[LinkBytes, ...] = ()
    expected_s: float = 0.0
    warnings: tuple[str, ...] = ()
    refusals: tuple[str, ...] = ()


_encoder = msgspec.json.Encoder(order="deterministic")


def compute_plan_id(
    base_revision: data.Revision,
    proposed: Iterable[data.Intent],
    removed: Iterable[data.ServiceName],
) -> data.PlanId:
    """Return the id of a plan: a hash of the base revision and the proposal."""
    ordered = sorted(proposed, key=lambda intent: intent.service)
    encoded = _encoder.encode((base_revision, ordered, sorted(removed)))
    return data.PlanId(hashlib.sha256(encoded).hexdigest()[:PLAN_ID_DIGITS])


def apply_proposal(
    in_force: Mapping[data.ServiceName, data.Intent],
    proposed: Iterable[data.Intent],
    removed: Iterable[data.ServiceName],
) -> dict[data.ServiceName, data.Intent]:
    """Return the intents that would be in force."""
    result = dict(in_force)
    for service in removed:
        result.pop(service, None)
    for intent in proposed:
        result[intent.service] = intent
    return result


def make_plan(
    snapshot: change_log.Snapshot,
    proposed: tuple[data.Intent, ...],
    removed: tuple[data.ServiceName, ...],
    replicas: Mapping[data.InstanceId, placement.Replica],
    wall_s: float,
    costs: Costs,
    is_complete: bool = True,
) -> Plan:
    """Return the plan of a proposal.

    :param replicas: the endpoint processes that are known.
    :param is_complete: whether these are all; if not, a floor that they can't keep is a
        warning instead of a refusal.
    """
    in_force = {
        stamp.service: stamp.intent
        for stamp in snapshot.stamps
        if stamp.intent is not None
    }
    resulting = apply_proposal(in_force, proposed, removed)
    services = change_log.collect_services(proposed, removed)
    placed = placement.place(resulting, replicas, wall_s, lead_s=float("inf"))
    steps = _build_steps(services, resulting, replicas, placed)
    origin_bytes, link_bytes, expected_s = _estimate_transfer(
        proposed, replicas, steps, costs
    )
    refusals = _find_refusals(snapshot, in_force, proposed, removed)
    warnings = _find_warnings(proposed, placed, replicas, wall_s, expected_s)
    broken_floors = _find_broken_floors(proposed, placed)
    if origin_bytes and not costs.store_region:
        warnings.append("the origin's region is not set, bytes over links are left out")
    if is_complete:
        refusals.extend(broken_floors)
    else:
        warnings.extend(broken_floors)
        warnings.append(f"only {len(replicas)} endpoint processes are known here")
    return Plan(
        plan_id=compute_plan_id(snapshot.revision, proposed, removed),
        base_revision=snapshot.revision,
        intents=proposed,
        removed=removed,
        steps=tuple(steps),
        origin_bytes=origin_bytes,
        link_bytes=link_bytes,
        expected_s=expected_s,
        warnings=tuple(warnings),
        refusals=tuple(refusals),
    )


def _build_steps(
    services: set[data.ServiceName],
    resulting: Mapping[data.ServiceName, data.Intent],
    replicas: Mapping[data.InstanceId, placement.Replica],
    placed: placement.Placement,
) -> list[Step]:
    """Return the steps, loads first, then drains."""
    loads = []
    drains = []
    for instance_id, replica in sorted(replicas.items()):
        service = placed.assignments[instance_id]
        if service in services:
            intent = resulting[service]
            if not placement.is_current(replica, intent):
                kind = StepKind.LOAD
                if intent.kind is data.ServiceKind.PLAIN:
                    kind = StepKind.SERVE
                loads.append(Step(1, kind, instance_id, service, intent.version))
        if replica.service not in services or replica.service == service:
            continue
        kind = StepKind.DRAIN if instance_id in placed.departing else StepKind.RELEASE
        if replica.state is not data.MemberState.LEAVING and service == "":
            drains.append(Step(2, kind, instance_id, replica.service, replica.version))
    return loads + drains


def _find_refusals(
    snapshot: change_log.Snapshot,
    in_force: Mapping[data.ServiceName, data.Intent],
    proposed: tuple[data.Intent, ...],
    removed: tuple[data.ServiceName, ...],
) -> list[str]:
    refusals = []
    for intent in proposed:
        refusals.extend(str(error) for error in intents.validate(intent))
    names = [intent.service for intent in proposed] + list(removed)
    if len(set(names)) != len(names):
        refusals.append("a service is named twice")
    for service in removed:
        if service not in in_force:
            refusals.append(f"service {service}: can't be removed, it is not in force")
    if not names:
        refusals.append("the proposal changes nothing")
    change_bytes = change_log.count_change_bytes(
        data.Change(snapshot.revision, data.OperationId(""), data.PlanId(""), proposed)
    )
    if (
        change_log.count_stamps_bytes(snapshot.stamps) + 2 * change_bytes
        > change_log.MAX_SNAPSHOT_BYTES
    ):
        refusals.append("the configuration would be larger than the service holds")
    return refusals


def _find_broken_floors(
    proposed: tuple[data.Intent, ...], placed: placement.Placement
) -> list[str]:
    broken_floors = []
    for intent in proposed:
        available = len(placed.members.get(intent.service, ()))
        if available < intent.floor:
            broken_floors.append(
                f"service {intent.service}: only {available} instances can serve it, "
                f"the floor is {intent.floor}"
            )
    return broken_floors


def _find_warnings(
    proposed: tuple[data.Intent, ...],
    placed: placement.Placement,
    replicas: Mapping[data.InstanceId, placement.Replica],
    wall_s: float,
    expected_s: float,
) -> list[str]:
    warnings = []
    zones = {replica.zone for replica in replicas.values()}
    for intent in proposed:
        where = f"service {intent.service}"
        for zone in intent.zones:
            # Not a refusal, since the zone may be unreachable for a while.
            if zone not in zones:
                warnings.append(f"{where}: no endpoint process is known in zone {zone}")
        shortage = placed.shortages.get(intent.service, 0)
        if shortage:
            warnings.append(f"{where}: {shortage} instances too few for its replicas")
        whole_count = sum(
            placement.is_whole(replica, intent) for replica in replicas.values()
        )
        if 0 < whole_count < intent.floor:
            warnings.append(
                f"{where}: {whole_count} whole replicas now, below the floor"
            )
        if intent.kind is data.ServiceKind.MODEL and not intent.weights_bytes:
            warnings.append(f"{where}: size of the weights unknown, bytes are guesses")
        for departure in intent.departures:
            warning = _find_departure_warning(departure, replicas, wall_s, expected_s)
            if warning:
                warnings.append(f"{where}: {departure.instance_id} {warning}")
    return warnings


def _find_departure_warning(
    departure: data.Departure,
    replicas: Mapping[data.InstanceId, placement.Replica],
    wall_s: float,
    expected_s: float,
) -> str:
    if departure.window_end_s <= wall_s:
        return "has a window that is over"
    if departure.instance_id not in replicas:
        return "is not known here"
    if wall_s + expected_s > departure.window_start_s:
        return "can't be replaced before its window opens"
    return ""


def _estimate_transfer(
    proposed: tuple[data.Intent, ...],
    replicas: Mapping[data.InstanceId, placement.Replica],
    steps: list[Step],
    costs: Costs,
) -> tuple[int, tuple[LinkBytes, ...], float]:
    """Return estimates of the bytes from the origin, those over links, and the time."""
    origin_bytes = 0
    bytes_by_region: dict[data.RegionName, int] = {}
    slowest_s = 0.0
    for intent in proposed:
        loads = [
            replicas[step.instance_id]
            for step in steps
            if step.kind is StepKind.LOAD and step.service == intent.service
        ]
        if not loads:
            continue
        copies = 1 if intent.origin_weight >= 0.5 else min(4, len(loads))
        origin_bytes += copies * intent.weights_bytes
        slowest_s = max(slowest_s, intent.weights_bytes / costs.instance_bytes_per_s)
        for region in {replica.region for replica in loads}:
            if costs.store_region not in ("", region):
                bytes_by_region[region] = (
                    bytes_by_region.get(region, 0) + intent.weights_bytes
                )
    link_bytes = []
    for region, total_bytes in sorted(bytes_by_region.items()):
        link_bytes.append(LinkBytes(costs.store_region, region, total_bytes))
        slowest_s = max(slowest_s, total_bytes / costs.region_link_bytes_per_s)
    slowest_s = max(slowest_s, origin_bytes / costs.origin_bytes_per_s)
    has_loads = any(step.kind is StepKind.LOAD for step in steps)
    expected_s = slowest_s + costs.load_s if has_loads else 0.0
    return origin_bytes, tuple(link_bytes), expected_s
