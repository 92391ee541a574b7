"""Chooses an endpoint for each attempt of a request.

Endpoints in the same zone are preferred, then those in the same region, then the
rest; a request goes to a more distant group before it queues in a closer one. Among
the endpoints with a free slot, the choice is the one that ranks highest for the
prompt's prefix unless it is overloaded, else the less loaded of two random ones.
"""

from toucanspread.core import data, machine
from toucanspread.core.requests import endpoints

AFFINITY_CANDIDATES = 3  # highest-ranked endpoints of a prefix that are considered
AFFINITY_LOAD_FACTOR = 1.25  # times the mean load, as in bounded-load hashing
MAX_SLOWDOWN_FACTOR = 8.0  # a slow endpoint keeps some requests, to detect recovery

State = endpoints.State
HANDLERS = endpoints.HANDLERS


def can_serve(endpoint: endpoints.Endpoint, request: data.Request) -> bool:
    """Return whether a live endpoint serves exactly what the request names."""
    report = endpoint.report
    if not endpoint.is_live:
        return False
    if report.kind is data.ServiceKind.MODEL and not report.version:
        return False
    if request.model and request.model != report.model:
        return False
    if request.version and request.version != report.version:
        return False
    return not request.adapter or request.adapter in report.adapters


def choose_endpoint(
    node: machine.Node,
    request: data.Request,
    tried: frozenset[data.InstanceId] = frozenset(),
) -> endpoints.Endpoint | None:
    """Return the endpoint for a new attempt, or None if none can serve the request.

    :param tried: endpoints that have already failed or refused the request.
    """
    groups = endpoints.group_by_proximity(node, request.service)
    if request.idempotency_key and not request.repeatable:
        # Repeats of one call must reach the endpoint that keeps its answer,
        # whichever entry receives them.
        groups = [[endpoint for group in groups for endpoint in group]]
    capable: list[endpoints.Endpoint] = []
    healthy: list[endpoints.Endpoint] = []
    for group in groups:
        group_capable = [e for e in group if can_serve(e, request)]
        if tried:
            group_capable = [e for e in group_capable if e.instance_id not in tried]
        group_healthy = [e for e in group_capable if e.avoid_until_s <= node.now_s]
        with_free_slot = [e for e in group_healthy if _has_free_slot(node, e)]
        if with_free_slot:
            return _choose_by_affinity_or_load(node, request, with_free_slot)
        capable += group_capable
        healthy += group_healthy
    # An endpoint that failed recently is better than none.
    candidates = healthy or capable
    return _choose_by_load(node, candidates) if candidates else None


def compute_slowdown_factor(node: machine.Node, endpoint: endpoints.Endpoint) -> float:
    """Return the endpoint's latency relative to its service's, at least 1."""
    service_latency_s = node.routing.latency_s.get(endpoint.report.service, 0.0)
    if service_latency_s <= 0 or endpoint.latency_s <= 0:
        return 1.0
    return min(max(endpoint.latency_s / service_latency_s, 1.0), MAX_SLOWDOWN_FACTOR)


def _has_free_slot(node: machine.Node, endpoint: endpoints.Endpoint) -> bool:
    limit = max(endpoint.load.limit / compute_slowdown_factor(node, endpoint), 1.0)
    return endpoint.estimate_requests() < limit


def _choose_by_affinity_or_load(
    node: machine.Node, request: data.Request, candidates: list[endpoints.Endpoint]
) -> endpoints.Endpoint:
    affinity_hash = request.prefix_hash
    if request.idempotency_key and not request.repeatable:
        affinity_hash = endpoints.compute_stable_hash(request.idempotency_key)
    if affinity_hash:
        chosen = _choose_by_affinity(affinity_hash, candidates)
        if chosen is not None:
            return chosen
    return _choose_by_load(node, candidates)


def _choose_by_affinity(
    affinity_hash: int, candidates: list[endpoints.Endpoint]
) -> endpoints.Endpoint | None:
    """Return the highest ranked endpoint whose load is within the bound, if any."""
    mean = sum(endpoint.estimate_requests() for endpoint in candidates) / len(
        candidates
    )
    bound = AFFINITY_LOAD_FACTOR * (mean + 1)
    ranked = sorted(
        candidates,
        key=lambda e: endpoints.compute_affinity_score(e.seed, affinity_hash),
    )
    for endpoint in ranked[-1 : -AFFINITY_CANDIDATES - 1 : -1]:
        if endpoint.estimate_requests() < bound:
            return endpoint
    return None


def _choose_by_load(
    node: machine.Node, candidates: list[endpoints.Endpoint]
) -> endpoints.Endpoint:
    """Return the less loaded of two random endpoints."""
    if len(candidates) == 1:
        return candidates[0]
    first, second = node.random.sample(candidates, 2)
    if _compute_relative_load(node, second) < _compute_relative_load(node, first):
        return second
    return first


def _compute_relative_load(node: machine.Node, endpoint: endpoints.Endpoint) -> float:
    utilization = (endpoint.estimate_requests() + 1) / max(endpoint.load.limit, 1)
    return utilization * compute_slowdown_factor(node, endpoint)
