"""Which instance serves what: a pure function of intents and reports.

The plan shows the result to the operator and the controller derives its orders from it,
so both agree without shared state. An instance that already serves keeps its service.
"""

from collections.abc import Iterable, Mapping

import msgspec

from toucanspread.core import data, machine, rendezvous

DEPARTURE_LEAD_S = 1800.0  # replacements load this long before a window opens


class Replica(data.Record, frozen=True, array_like=True, tag=False):
    """An endpoint process as its newest report shows it.

    It is encoded as an array to stay small on the wire, where one entry sends many of
    them to another.
    """

    instance_id: data.InstanceId
    zone: data.ZoneName
    region: data.RegionName
    address: data.Address
    state: data.MemberState
    kind: data.ServiceKind
    service: data.ServiceName
    offers: data.ServiceName
    model: data.ModelName
    version: data.VersionName
    manifest_hash: data.ManifestHash
    adapters: tuple[data.AdapterName, ...]
    target_version: data.VersionName
    fence: data.FencingNumber


class Placement:
    """What each instance should serve.

    :ivar assignments: per instance, its service; "" for an instance that is free.
    :ivar members: per service, its instances.
    :ivar shortages: per service, how many instances are missing.
    :ivar departing: per instance whose window is near or open, its departure.
    """

    def __init__(self):
        self.assignments: dict[data.InstanceId, data.ServiceName] = {}
        self.members: dict[data.ServiceName, list[data.InstanceId]] = {}
        self.shortages: dict[data.ServiceName, int] = {}
        self.departing: dict[data.InstanceId, data.Departure] = {}


def collect_reported_replicas(node: machine.Node) -> dict[data.InstanceId, Replica]:
    """Return the endpoint processes that have reported and are not in state dead."""
    replicas = {}
    for member in node.membership.members.values():
        if member.identity.role is not data.Role.ENDPOINT or member.report is None:
            continue
        if member.state is data.MemberState.DEAD:
            continue
        replicas[member.identity.instance_id] = build_replica(
            member.report, member.state
        )
    return replicas


def build_replica(report: data.Report, state: data.MemberState) -> Replica:
    """Return the replica of a report; leaving in the report takes precedence."""
    identity = report.identity
    if report.state is data.MemberState.LEAVING:
        state = data.MemberState.LEAVING
    return Replica(
        identity.instance_id,
        identity.zone,
        identity.region,
        identity.address,
        state,
        report.kind,
        report.service,
        report.offers,
        report.model,
        report.version,
        report.manifest_hash,
        report.adapters,
        report.target_version,
        report.fence,
    )


def mark_dead(replica: Replica) -> Replica:
    """Return a copy of the replica in state dead."""
    return msgspec.structs.replace(replica, state=data.MemberState.DEAD)


def is_whole(replica: Replica, intent: data.Intent) -> bool:
    """Return whether a replica serves the intent's service from verified weights."""
    if replica.service != intent.service or replica.kind is not intent.kind:
        return False
    if replica.state is data.MemberState.LEAVING:
        return False
    return replica.kind is data.ServiceKind.PLAIN or replica.version != ""


def is_current(replica: Replica, intent: data.Intent) -> bool:
    """Return whether a replica is whole and serves exactly what the intent names."""
    if not is_whole(replica, intent):
        return False
    if replica.kind is data.ServiceKind.PLAIN:
        return True
    return (
        replica.model == intent.model
        and replica.manifest_hash == intent.manifest_hash
        and set(replica.adapters) == set(intent.adapters)
    )


def find_departures(
    intents: Iterable[data.Intent], wall_s: float, lead_s: float
) -> dict[data.InstanceId, data.Departure]:
    """Return the departures whose window opens within ``lead_s`` or is open."""
    departures: dict[data.InstanceId, data.Departure] = {}
    for intent in intents:
        for departure in intent.departures:
            is_near = wall_s >= departure.window_start_s - lead_s
            if is_near and wall_s < departure.window_end_s:
                departures[departure.instance_id] = departure
    return departures


def place(
    intents: Mapping[data.ServiceName, data.Intent],
    replicas: Mapping[data.InstanceId, Replica],
    wall_s: float,
    lead_s: float = DEPARTURE_LEAD_S,
) -> Placement:
    """Return what each replica should serve; those that already serve keep it."""
    result = Placement()
    result.departing = find_departures(intents.values(), wall_s, lead_s)
    usable = {
        instance_id: replica
        for instance_id, replica in replicas.items()
        if replica.state is not data.MemberState.LEAVING
        and instance_id not in result.departing
    }
    assigned = _keep_current(intents, usable, result)
    for service in sorted(intents):
        _assign_free(intents[service], usable, assigned, result)
    for instance_id in replicas:
        result.assignments.setdefault(instance_id, data.ServiceName(""))
    return result


def _keep_current(
    intents: Mapping[data.ServiceName, data.Intent],
    usable: Mapping[data.InstanceId, Replica],
    result: Placement,
) -> set[data.InstanceId]:
    """Let each service keep its instances, up to its count of replicas."""
    current: dict[data.ServiceName, list[Replica]] = {name: [] for name in intents}
    for replica in usable.values():
        intent = intents.get(replica.service)
        if intent is not None and _can_serve(replica, intent):
            current[intent.service].append(replica)
    assigned = set()
    for service, intent in intents.items():
        ordered = _sort_by_preference(intent, current[service])
        chosen = _choose_balanced(ordered, intent.replicas, {})
        result.members[service] = [replica.instance_id for replica in chosen]
        for replica in chosen:
            assigned.add(replica.instance_id)
            result.assignments[replica.instance_id] = service
    return assigned


def _assign_free(
    intent: data.Intent,
    usable: Mapping[data.InstanceId, Replica],
    assigned: set[data.InstanceId],
    result: Placement,
) -> None:
    """Assign free instances to a service that has too few."""
    members = result.members[intent.service]
    missing = intent.replicas - len(members)
    if missing <= 0:
        return
    free = [
        replica
        for replica in usable.values()
        if replica.instance_id not in assigned and _can_serve(replica, intent)
    ]
    counts: dict[data.ZoneName, int] = {}
    for instance_id in members:
        zone = usable[instance_id].zone
        counts[zone] = counts.get(zone, 0) + 1
    chosen = _choose_balanced(_sort_by_preference(intent, free), missing, counts)
    for replica in chosen:
        assigned.add(replica.instance_id)
        members.append(replica.instance_id)
        result.assignments[replica.instance_id] = intent.service
    if len(chosen) < missing:
        result.shortages[intent.service] = missing - len(chosen)


def _can_serve(replica: Replica, intent: data.Intent) -> bool:
    if replica.kind is not intent.kind:
        return False
    if intent.zones and replica.zone not in intent.zones:
        return False
    if replica.kind is data.ServiceKind.PLAIN:
        return replica.offers in ("", intent.service)
    return True


def _sort_by_preference(
    intent: data.Intent, replicas: Iterable[Replica]
) -> list[Replica]:
    """Return replicas ordered by the work that they need, then by rendezvous hash."""

    def key(replica: Replica) -> tuple:
        return (
            not is_current(replica, intent),
            not is_whole(replica, intent),
            replica.target_version != intent.version,
            replica.version != "",
            -rendezvous.compute_weight(intent.service, replica.instance_id),
        )

    return sorted(replicas, key=key)


def _choose_balanced(
    ordered: list[Replica], count: int, counts: dict[data.ZoneName, int]
) -> list[Replica]:
    """Choose up to ``count`` replicas, each from the zone with the fewest so far."""
    counts = dict(counts)
    queues: dict[data.ZoneName, list[Replica]] = {}
    for replica in reversed(ordered):
        queues.setdefault(replica.zone, []).append(replica)
    chosen: list[Replica] = []
    while queues and len(chosen) < count:
        zone = min(queues, key=lambda name: (counts.get(name, 0), name))
        chosen.append(queues[zone].pop())
        counts[zone] = counts.get(zone, 0) + 1
        if not queues[zone]:
            del queues[zone]
    return chosen
