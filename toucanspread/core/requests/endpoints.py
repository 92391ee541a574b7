"""What an entry knows of the endpoint processes it routes to.

For each it keeps the last report, the load told on its answers, the attempts that
this entry itself has running there, and how fast it answers.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from toucanspread.core import data, events, machine

LATENCY_WEIGHT = 0.2  # of a new sample in the smoothed latency
LOAD_FRESH_S = 0.5  # for so long a report does not replace an answer's load
AVOID_BASE_S = 0.5
AVOID_MAX_S = 30.0
AVOID_LEAVING_S = 5.0
MAX_GROUP_SIZE = 64  # endpoints of one service and place; each costs a connection
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
    """Internal: an attempt is over for this entry.

    :param latency_s: until the first byte of a stream or the whole of a plain
        answer; None when the attempt says nothing of the endpoint's speed.
    """

    endpoint: data.Identity
    reason: data.Reason
    latency_s: float | None = None
    load: data.Load | None = None


@dataclasses.dataclass(slots=True)
class Endpoint:
    """What this entry knows of one endpoint process.

    :param member_state: what membership believes; the report tells its own state.
    :param instance_id: the instance that the endpoint process runs on.
    :param in_flight: this entry's own attempts running there.
    :param sent_since_load: own attempts started since ``load`` was heard.
    :param latency_s: smoothed; 0 until the first answer.
    :param failures: failed attempts in a row.
    """

    report: data.Report
    instance_id: data.InstanceId
    seed: int
    load: data.Load
    member_state: data.MemberState = data.MemberState.LIVE
    answered_s: float = -LOAD_FRESH_S
    in_flight: int = 0
    sent_since_load: int = 0
    latency_s: float = 0.0
    failures: int = 0
    avoid_until_s: float = 0.0

    @property
    def identity(self) -> data.Identity:
        """Return who the endpoint process is."""
        return self.report.identity

    @property
    def is_live(self) -> bool:
        """Tell whether the endpoint takes new work, as far as is known."""
        live = data.MemberState.LIVE
        return self.member_state is live and self.report.state is live

    def busy(self) -> int:
        """Return an estimate of the requests running and queued there."""
        told = self.load.running + self.load.queued + self.sent_since_load
        return max(self.in_flight, told)


class State:
    """The endpoints this entry may route to.

    :ivar endpoints: by instance.
    :ivar services: the same endpoints, by service.
    :ivar places: those that this entry uses, by service, the nearest place first;
        made again when the endpoints of a service change.
    :ivar latency_s: the smoothed latency of each service.
    """

    def __init__(self):
        self.endpoints: dict[data.InstanceId, Endpoint] = {}
        self.services: dict[data.ServiceName, dict[data.InstanceId, Endpoint]] = {}
        self.places: dict[data.ServiceName, list[list[Endpoint]]] = {}
        self.latency_s: dict[data.ServiceName, float] = {}

    def add(self, endpoint: Endpoint) -> None:
        """Put an endpoint below its instance and its service."""
        service = endpoint.report.service
        self.endpoints[endpoint.instance_id] = endpoint
        self.services.setdefault(service, {})[endpoint.instance_id] = endpoint
        self.places.pop(service, None)

    def remove(self, endpoint: Endpoint) -> None:
        """Take an endpoint out again."""
        service = endpoint.report.service
        del self.endpoints[endpoint.instance_id]
        del self.services[service][endpoint.instance_id]
        if not self.services[service]:
            del self.services[service]
        self.places.pop(service, None)


def group_by_proximity(
    node: machine.Node, service: data.ServiceName
) -> list[list[Endpoint]]:
    """Return the endpoints in the same zone, in the same region and beyond."""
    state = node.routing
    found = state.places.get(service)
    if found is None:
        found = _subsets(node.identity, state.services.get(service, {}).values())
        state.places[service] = found
    return found


def _subsets(
    here: data.Identity, endpoints: Iterable[Endpoint]
) -> list[list[Endpoint]]:
    zone, region, beyond = [], [], []
    for endpoint in endpoints:
        identity = endpoint.identity
        if identity.zone == here.zone:
            zone.append(endpoint)
        elif identity.region == here.region:
            region.append(endpoint)
        else:
            beyond.append(endpoint)
    seed = stable_hash(here.instance_id)
    found = []
    for place in (zone, region, beyond):
        place.sort(key=lambda endpoint: affinity_score(endpoint.seed, seed))
        found.append(place[:MAX_GROUP_SIZE])
    return found


def stable_hash(name: str) -> int:
    """Return a hash that is the same in every process."""
    return xxhash.xxh64_intdigest(name.encode())


def affinity_score(seed: int, prefix_hash: int) -> int:
    """Return the rendezvous score of an endpoint for a prefix."""
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
        known = _replace(node, known, report)
    elif known.report.service != report.service:
        state.remove(known)
        known.report = report
        state.add(known)
    known.report = report
    if node.now_s - known.answered_s >= LOAD_FRESH_S:
        _take_load(known, report.load)
    return []


def _replace(
    node: machine.Node, known: Endpoint | None, report: data.Report
) -> Endpoint:
    """Take in an endpoint process that was not known, or was restarted."""
    if known is not None:
        node.routing.remove(known)
    instance_id = report.identity.instance_id
    seed = stable_hash(instance_id)
    fresh = Endpoint(report, instance_id, seed, report.load)
    node.routing.add(fresh)
    return fresh


def _take_load(endpoint: Endpoint, load: data.Load) -> None:
    endpoint.load = load
    endpoint.sent_since_load = 0


def _on_member(node: machine.Node, event: events.MemberChanged) -> list:
    state = node.routing
    known = state.endpoints.get(event.identity.instance_id)
    if known is None or event.identity.incarnation < known.identity.incarnation:
        return []
    if event.state is data.MemberState.DEAD:
        state.remove(known)
        return []
    known.member_state = event.state
    return []


def _on_report_lost(node: machine.Node, event: events.ReportLost) -> list:
    """Route no more to an endpoint process whose load is no longer told here."""
    known = node.routing.endpoints.get(event.instance_id)
    if known is not None:
        node.routing.remove(known)
    return []


def _same_process(node: machine.Node, identity: data.Identity) -> Endpoint | None:
    known = node.routing.endpoints.get(identity.instance_id)
    if known is None or known.identity.incarnation != identity.incarnation:
        return None
    return known


def _on_started(node: machine.Node, event: AttemptStarted) -> list:
    endpoint = _same_process(node, event.endpoint)
    if endpoint is not None:
        endpoint.in_flight += 1
        endpoint.sent_since_load += 1
    return []


def _on_finished(node: machine.Node, event: AttemptFinished) -> list:
    endpoint = _same_process(node, event.endpoint)
    if endpoint is None:
        return []
    endpoint.in_flight = max(endpoint.in_flight - 1, 0)
    if event.load is not None:
        _take_load(endpoint, event.load)
        endpoint.answered_s = node.now_s
    else:
        endpoint.sent_since_load = max(endpoint.sent_since_load - 1, 0)
    if event.latency_s is not None:
        _learn_latency(node, endpoint, event.latency_s)
    if event.reason in UNAVAILABLE_REASONS:
        endpoint.failures += 1
        pause_s = min(AVOID_BASE_S * 2**endpoint.failures, AVOID_MAX_S)
        endpoint.avoid_until_s = node.now_s + pause_s
    elif event.reason is data.Reason.LEAVING:
        endpoint.avoid_until_s = node.now_s + AVOID_LEAVING_S
    elif event.reason is data.Reason.NONE:
        endpoint.failures = 0
        endpoint.avoid_until_s = 0.0
    return []


def _learn_latency(node: machine.Node, endpoint: Endpoint, latency_s: float) -> None:
    services = node.routing.latency_s
    service = endpoint.report.service
    endpoint.latency_s = _smooth(endpoint.latency_s, latency_s)
    services[service] = _smooth(services.get(service, 0.0), latency_s)


def _smooth(before: float, sample: float) -> float:
    if before <= 0:
        return sample
    return before + LATENCY_WEIGHT * (sample - before)


HANDLERS = {
    events.ReportReceived: _on_report,
    events.ReportLost: _on_report_lost,
    events.MemberChanged: _on_member,
    AttemptStarted: _on_started,
    AttemptFinished: _on_finished,
}
