"""Chooses an endpoint for a request.

The part keeps what this entry knows of every endpoint process: its last report, the
load told on its answers, the attempts that this entry itself has running there, and
how fast it answers against the others of its service. A choice prefers the same
zone, then the same region, and goes further before it queues.
"""

import dataclasses

import xxhash

from toucanspread.core import data, events, machine

AFFINITY_CANDIDATES = 3  # how far down its ranking a prefix looks for room
AFFINITY_LOAD_BOUND = 1.25  # against the mean load, as in bounded-load hashing
LATENCY_WEIGHT = 0.2  # of a new sample in the smoothed latency
MAX_SLOWNESS = 8.0  # a slow endpoint keeps a trickle, so that recovery is seen
LOAD_FRESH_S = 0.5  # for so long a report does not replace an answer's load
AVOID_BASE_S = 0.5
AVOID_MAX_S = 30.0
AVOID_LEAVING_S = 5.0
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

    instance_id: data.InstanceId


class AttemptFinished(data.Event):
    """Internal: an attempt is over for this entry.

    :param latency_s: until the first byte of a stream or the whole of a plain
        answer; None when the attempt says nothing of the endpoint's speed.
    """

    instance_id: data.InstanceId
    reason: data.Reason
    latency_s: float | None = None
    load: data.Load | None = None


@dataclasses.dataclass(slots=True)
class Endpoint:
    """What this entry knows of one endpoint process.

    :param in_flight: this entry's own attempts running there.
    :param sent_since_load: own attempts started since ``load`` was heard.
    :param latency_s: smoothed; 0 until the first answer.
    :param failures: failed attempts in a row.
    """

    report: data.Report
    state: data.MemberState
    seed: int
    load: data.Load
    load_heard_s: float
    answered_s: float = -LOAD_FRESH_S
    in_flight: int = 0
    sent_since_load: int = 0
    latency_s: float = 0.0
    failures: int = 0
    avoid_until_s: float = 0.0

    @property
    def instance_id(self) -> data.InstanceId:
        """Return the instance that the endpoint process runs on."""
        return self.report.identity.instance_id

    @property
    def identity(self) -> data.Identity:
        """Return who the endpoint process is."""
        return self.report.identity

    def busy(self) -> int:
        """Return an estimate of the requests running and queued there."""
        told = self.load.running + self.load.queued + self.sent_since_load
        return max(self.in_flight, told)


class State:
    """The endpoints this entry may route to.

    :ivar endpoints: by instance.
    :ivar services: the same endpoints, by service.
    :ivar latency_s: the smoothed latency of each service.
    """

    def __init__(self):
        self.endpoints: dict[data.InstanceId, Endpoint] = {}
        self.services: dict[data.ServiceName, dict[data.InstanceId, Endpoint]] = {}
        self.latency_s: dict[data.ServiceName, float] = {}


def fits(endpoint: Endpoint, request: data.Request) -> bool:
    """Tell whether exactly what the request names is whole at the endpoint."""
    report = endpoint.report
    if endpoint.state is not data.MemberState.LIVE:
        return False
    if report.kind is data.ServiceKind.MODEL and not report.version:
        return False
    if request.model and request.model != report.model:
        return False
    if request.version and request.version != report.version:
        return False
    return not request.adapter or request.adapter in report.adapters


def choose(
    node: machine.Node,
    request: data.Request,
    tried: frozenset[data.InstanceId] = frozenset(),
) -> Endpoint | None:
    """Return the endpoint for a new attempt, or None when none fits.

    :param tried: endpoints that have failed or refused the request already.
    """
    fitting = []
    for instance_id, endpoint in node.routing.services.get(request.service, {}).items():
        if instance_id in tried or not fits(endpoint, request):
            continue
        fitting.append(endpoint)
    if not fitting:
        return None
    usable = [e for e in fitting if e.avoid_until_s <= node.now_s] or fitting
    for place in _by_place(node.identity, usable):
        with_room = [e for e in place if _has_room(node, e)]
        if with_room:
            return _pick(node, request, with_room)
    return _pick_by_load(node, usable)


def slowness(node: machine.Node, endpoint: Endpoint) -> float:
    """Return how much slower than its service an endpoint answers, from 1 up."""
    usual_s = node.routing.latency_s.get(endpoint.report.service, 0.0)
    if usual_s <= 0 or endpoint.latency_s <= 0:
        return 1.0
    return min(max(endpoint.latency_s / usual_s, 1.0), MAX_SLOWNESS)


def _by_place(here: data.Identity, endpoints: list[Endpoint]) -> list[list[Endpoint]]:
    zone, region, beyond = [], [], []
    for endpoint in endpoints:
        identity = endpoint.identity
        if identity.zone == here.zone:
            zone.append(endpoint)
        elif identity.region == here.region:
            region.append(endpoint)
        else:
            beyond.append(endpoint)
    return [zone, region, beyond]


def _has_room(node: machine.Node, endpoint: Endpoint) -> bool:
    limit = max(endpoint.load.limit / slowness(node, endpoint), 1.0)
    return endpoint.busy() < limit


def _pick(
    node: machine.Node, request: data.Request, endpoints: list[Endpoint]
) -> Endpoint:
    if request.prefix_hash:
        chosen = _pick_by_prefix(request.prefix_hash, endpoints)
        if chosen is not None:
            return chosen
    return _pick_by_load(node, endpoints)


def _pick_by_prefix(prefix_hash: int, endpoints: list[Endpoint]) -> Endpoint | None:
    """Return the highest ranked endpoint whose load is within the bound."""
    mean = sum(endpoint.busy() for endpoint in endpoints) / len(endpoints)
    bound = AFFINITY_LOAD_BOUND * (mean + 1)
    ranked = sorted(endpoints, key=lambda e: affinity(e.seed, prefix_hash))
    for endpoint in ranked[-1 : -AFFINITY_CANDIDATES - 1 : -1]:
        if endpoint.busy() < bound:
            return endpoint
    return None


def affinity(seed: int, prefix_hash: int) -> int:
    """Return the rendezvous score of an endpoint for a prefix."""
    mixed = ((seed ^ prefix_hash) * MIX_FACTOR) & UINT64_MASK
    mixed ^= mixed >> 32
    return (mixed * MIX_FACTOR) & UINT64_MASK


def _pick_by_load(node: machine.Node, endpoints: list[Endpoint]) -> Endpoint:
    """Return the better of two random endpoints."""
    if len(endpoints) == 1:
        return endpoints[0]
    first, second = node.random.sample(endpoints, 2)
    if _pressure(node, second) < _pressure(node, first):
        return second
    return first


def _pressure(node: machine.Node, endpoint: Endpoint) -> float:
    share = (endpoint.busy() + 1) / max(endpoint.load.limit, 1)
    return share * slowness(node, endpoint)


def _on_report(node: machine.Node, event: events.ReportReceived) -> list:
    state = node.routing
    report = event.report
    instance_id = report.identity.instance_id
    known = state.endpoints.get(instance_id)
    if known is not None:
        if report.identity.incarnation < known.identity.incarnation:
            return []
        _forget(state, instance_id)
    if known is None or report.identity.incarnation > known.identity.incarnation:
        known = Endpoint(
            report=report,
            state=report.state,
            seed=xxhash.xxh64_intdigest(instance_id.encode()),
            load=report.load,
            load_heard_s=node.now_s,
        )
    known.report = report
    known.state = report.state
    if node.now_s - known.answered_s >= LOAD_FRESH_S:
        _take_load(node, known, report.load)
    state.endpoints[instance_id] = known
    state.services.setdefault(report.service, {})[instance_id] = known
    return []


def _take_load(node: machine.Node, endpoint: Endpoint, load: data.Load) -> None:
    endpoint.load = load
    endpoint.load_heard_s = node.now_s
    endpoint.sent_since_load = 0


def _forget(state: State, instance_id: data.InstanceId) -> None:
    endpoint = state.endpoints.pop(instance_id)
    service = endpoint.report.service
    state.services[service].pop(instance_id)
    if not state.services[service]:
        del state.services[service]


def _on_member(node: machine.Node, event: events.MemberChanged) -> list:
    state = node.routing
    known = state.endpoints.get(event.identity.instance_id)
    if known is None or event.identity.incarnation < known.identity.incarnation:
        return []
    if event.state is data.MemberState.DEAD:
        _forget(state, event.identity.instance_id)
        return []
    known.state = event.state
    return []


def _on_started(node: machine.Node, event: AttemptStarted) -> list:
    endpoint = node.routing.endpoints.get(event.instance_id)
    if endpoint is not None:
        endpoint.in_flight += 1
        endpoint.sent_since_load += 1
    return []


def _on_finished(node: machine.Node, event: AttemptFinished) -> list:
    endpoint = node.routing.endpoints.get(event.instance_id)
    if endpoint is None:
        return []
    endpoint.in_flight = max(endpoint.in_flight - 1, 0)
    if event.load is not None:
        _take_load(node, endpoint, event.load)
        endpoint.answered_s = node.now_s
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
    events.MemberChanged: _on_member,
    AttemptStarted: _on_started,
    AttemptFinished: _on_finished,
}
