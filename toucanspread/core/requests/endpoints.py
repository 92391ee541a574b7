"""The endpoint processes that an entry can route requests to.

For each, the entry keeps the last report, the load from the report or the latest
answer, the number of its own attempts running there, and a smoothed latency.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from toucanspread.core import data, events, machine

LATENCY_WEIGHT = 0.2  # of a new sample in the smoothed latency
ANSWER_LOAD_LIFETIME_S = 0.5  # until then, reports do not replace a load from an answer
AVOID_BACKOFF_BASE_S = 0.5
AVOID_BACKOFF_MAX_S = 30.0
LEAVING_BACKOFF_S = 5.0
MAX_GROUP_SIZE = 64  # endpoints of one service and group; each costs a connection
UINT64_MASK = (1 << 64) - 1
MIX_FACTOR = 0x9E3779B97F4A7C15

UNAVAILABLE_REASONS = frozenset(
    {
        data.Reason.UNREACHABLE,
        data.Reason.SILENT,
        data.Reason.STREAM_BROKE,
        data.Reason.ENGINE_FAILED,
        data.Reason.NOT_WHOLE,
    }
)


class AttemptStarted(data.Event):
    """Internal: this entry dispatched a request to an endpoint."""

    endpoint: data.Identity


class AttemptFinished(data.Event):
    """Internal: an attempt of this entry is over.

    :param latency_s: until the first byte of a stream or the end of a plain answer;
        None if the attempt gives no information about the endpoint's speed.
    """

    endpoint: data.Identity
    reason: data.Reason
    latency_s: float | None = None
    load: data.Load | None = None


@dataclasses.dataclass(slots=True)
class Endpoint:
    """The entry's view of one endpoint process.

    :param member_state: the state in the membership view; ``report`` has the state that
        the process itself reports.
    :param instance_id: the instance that the endpoint process runs on.
    :param seed: the hash of the instance id, for rendezvous hashing.
    :param answer_load_s: when ``load`` was last set from an answer.
    :param in_flight: attempts of this entry that run at the endpoint.
    :param sent_since_load: attempts of this entry started since ``load`` was received.
    :param latency_s: smoothed; 0 until the first answer.
    :param failures: consecutive failed attempts.
    """

    report: data.Report
    instance_id: data.InstanceId
    seed: int
    load: data.Load
    member_state: data.MemberState = data.MemberState.LIVE
    answer_load_s: float = -ANSWER_LOAD_LIFETIME_S
    in_flight: int = 0
    sent_since_load: int = 0
    latency_s: float = 0.0
    failures: int = 0
    avoid_until_s: float = 0.0

    @property
    def identity(self) -> data.Identity:
        """The identity of the endpoint process."""
        return self.report.identity

    @property
    def is_live(self) -> bool:
        """Whether the endpoint accepts new requests, as far as this entry knows."""
        live = data.MemberState.LIVE
        return self.member_state is live and self.report.state is live

    def estimate_requests(self) -> int:
        """Return an estimate of the requests running and queued at the endpoint."""
        reported = self.load.running + self.load.queued + self.sent_since_load
        return max(self.in_flight, reported)


class State:
    """The endpoints that this entry may route to.

    :ivar endpoints: by instance.
    :ivar services: the same endpoints, by service.
    :ivar proximity_groups: by service, the endpoints that this entry uses, the closest
        group first; rebuilt after the endpoints of the service change.
    :ivar latency_s: the smoothed latency of each service.
    """

    def __init__(self):
        self.endpoints: dict[data.InstanceId, Endpoint] = {}
        self.services: dict[data.ServiceName, dict[data.InstanceId, Endpoint]] = {}
        self.proximity_groups: dict[data.ServiceName, list[list[Endpoint]]] = {}
        self.latency_s: dict[data.ServiceName, float] = {}

    def add(self, endpoint: Endpoint) -> None:
        """Add an endpoint under its instance and its service."""
        service = endpoint.report.service
        self.endpoints[endpoint.instance_id] = endpoint
        self.services.setdefault(service, {})[endpoint.instance_id] = endpoint
        self.proximity_groups.pop(service, None)

    def remove(self, endpoint: Endpoint) -> None:
        """Remove an endpoint."""
        service = endpoint.report.service
        del self.endpoints[endpoint.instance_id]
        del self.services[service][endpoint.instance_id]
        if not self.services[service]:
            del self.services[service]
        self.proximity_groups.pop(service, None)


def group_by_proximity(
    node: machine.Node, service: data.ServiceName
) -> list[list[Endpoint]]:
    """Return the endpoints in the same zone, in the same region and elsewhere."""
    state = node.routing
    groups = state.proximity_groups.get(service)
    if groups is None:
        groups = _build_groups(node.identity, state.services.get(service, {}).values())
        state.proximity_groups[service] = groups
    return groups


def _build_groups(
    local: data.Identity, endpoints: Iterable[Endpoint]
) -> list[list[Endpoint]]:
    same_zone, same_region, remote = [], [], []
    for endpoint in endpoints:
        identity = endpoint.identity
        if identity.zone == local.zone:
            same_zone.append(endpoint)
        elif identity.region == local.region:
            same_region.append(endpoint)
        else:
            remote.append(endpoint)
    local_seed = compute_stable_hash(local.instance_id)
    groups = []
    for group in (same_zone, same_region, remote):
        group.sort(
            key=lambda endpoint: compute_affinity_score(endpoint.seed, local_seed)
        )
        groups.append(group[:MAX_GROUP_SIZE])
    return groups


def compute_stable_hash(name: str) -> int:
    """Return a hash that is the same in every process."""
    return xxhash.xxh64_intdigest(name.encode())


def compute_affinity_score(seed: int, prefix_hash: int) -> int:
    """Return the rendezvous hashing score of an endpoint for a prefix."""
    mixed = ((seed ^ prefix_hash) * MIX_FACTOR) & UINT64_MASK
    mixed ^= mixed >> 32
    return (mixed * MIX_FACTOR) & UINT64_MASK


def _on_report(node: machine.Node, event: events.ReportReceived) -> list:
    state = node.routing
    report = event.report
    known = state.endpoints.get(report.identity.instance_id)
    if known is not None and report.identity.incarnation < known.identity.incarnation:
        return []
    if known is None or known.identity != report.identity:
        known = _add_or_replace(node, known, report)
    elif known.report.service != report.service:
        state.remove(known)
        known.report = report
        state.add(known)
    known.report = report
    if node.now_s - known.answer_load_s >= ANSWER_LOAD_LIFETIME_S:
        _apply_load(known, report.load)
    return []


def _add_or_replace(
    node: machine.Node, known: Endpoint | None, report: data.Report
) -> Endpoint:
    """Add an endpoint process that is new or was restarted."""
    if known is not None:
        node.routing.remove(known)
    instance_id = report.identity.instance_id
    seed = compute_stable_hash(instance_id)
    added = Endpoint(report, instance_id, seed, report.load)
    node.routing.add(added)
    return added


def _apply_load(endpoint: Endpoint, load: data.Load) -> None:
    endpoint.load = load
    endpoint.sent_since_load = 0


def _on_member_changed(node: machine.Node, event: events.MemberChanged) -> list:
    state = node.routing
    known = state.endpoints.get(event.identity.instance_id)
    if known is None or event.identity.incarnation < known.identity.incarnation:
        return []
    if event.state is data.MemberState.DEAD:
        state.remove(known)
        return []
    known.member_state = event.state
    return []


def _on_report_dropped(node: machine.Node, event: events.ReportDropped) -> list:
    """Stop routing to an endpoint process that now reports to other entries."""
    known = node.routing.endpoints.get(event.instance_id)
    if known is not None:
        node.routing.remove(known)
    return []


def _find_process(node: machine.Node, identity: data.Identity) -> Endpoint | None:
    """Return the endpoint if it still runs with the same incarnation, else None."""
    known = node.routing.endpoints.get(identity.instance_id)
    if known is None or known.identity.incarnation != identity.incarnation:
        return None
    return known


def _on_attempt_started(node: machine.Node, event: AttemptStarted) -> list:
    endpoint = _find_process(node, event.endpoint)
    if endpoint is not None:
        endpoint.in_flight += 1
        endpoint.sent_since_load += 1
    return []


def _on_attempt_finished(node: machine.Node, event: AttemptFinished) -> list:
    endpoint = _find_process(node, event.endpoint)
    if endpoint is None:
        return []
    endpoint.in_flight = max(endpoint.in_flight - 1, 0)
    if event.load is not None:
        _apply_load(endpoint, event.load)
        endpoint.answer_load_s = node.now_s
    else:
        endpoint.sent_since_load = max(endpoint.sent_since_load - 1, 0)
    if event.latency_s is not None:
        _record_latency(node, endpoint, event.latency_s)
    if event.reason in UNAVAILABLE_REASONS:
        endpoint.failures += 1
        backoff_s = min(
            AVOID_BACKOFF_BASE_S * 2**endpoint.failures, AVOID_BACKOFF_MAX_S
        )
        endpoint.avoid_until_s = node.now_s + backoff_s
    elif event.reason is data.Reason.LEAVING:
        endpoint.avoid_until_s = node.now_s + LEAVING_BACKOFF_S
    elif event.reason is data.Reason.NONE:
        endpoint.failures = 0
        endpoint.avoid_until_s = 0.0
    return []


def _record_latency(node: machine.Node, endpoint: Endpoint, latency_s: float) -> None:
    services = node.routing.latency_s
    service = endpoint.report.service
    endpoint.latency_s = _smooth(endpoint.latency_s, latency_s)
    services[service] = _smooth(services.get(service, 0.0), latency_s)


def _smooth(previous: float, sample: float) -> float:
    if previous <= 0:
        return sample
    return previous + LATENCY_WEIGHT * (sample - previous)


HANDLERS = {
    events.ReportReceived: _on_report,
    events.ReportDropped: _on_report_dropped,
    events.MemberChanged: _on_member_changed,
    AttemptStarted: _on_attempt_started,
    AttemptFinished: _on_attempt_finished,
}
