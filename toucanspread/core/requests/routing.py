"""Chooses an endpoint for a request.

A choice prefers the same zone, then the same region, and goes further before it
queues. Among endpoints with room it takes the one that ranks highest for the
prompt's prefix while that is not overloaded, and else the better of two random ones.
"""

from toucanspread.core import data, machine
from toucanspread.core.requests import endpoints

AFFINITY_CANDIDATES = 3  # how far down its ranking a prefix looks for room
AFFINITY_LOAD_BOUND = 1.25  # against the mean load, as in bounded-load hashing
MAX_SLOWNESS = 8.0  # a slow endpoint keeps a trickle, so that recovery is seen

State = endpoints.State
HANDLERS = endpoints.HANDLERS


def can_serve(endpoint: endpoints.Endpoint, request: data.Request) -> bool:
    """Tell whether exactly what the request names is whole at the endpoint."""
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
    """Return the endpoint for a new attempt, or None when none fits.

    :param tried: endpoints that have failed or refused the request already.
    """
    places = endpoints.group_by_proximity(node, request.service)
    if request.idempotency_key and not request.repeatable:
        # Repeats of one call meet where its answer is kept, whatever their entry.
        places = [[endpoint for place in places for endpoint in place]]
    fitting: list[endpoints.Endpoint] = []
    sound: list[endpoints.Endpoint] = []
    for place in places:
        fitting_here = [e for e in place if can_serve(e, request)]
        if tried:
            fitting_here = [e for e in fitting_here if e.instance_id not in tried]
        sound_here = [e for e in fitting_here if e.avoid_until_s <= node.now_s]
        with_room = [e for e in sound_here if _has_room(node, e)]
        if with_room:
            return _pick(node, request, with_room)
        fitting += fitting_here
        sound += sound_here
    # Endpoints that failed lately are better than none.
    candidates = sound or fitting
    return _pick_by_load(node, candidates) if candidates else None


def slowdown_factor(node: machine.Node, endpoint: endpoints.Endpoint) -> float:
    """Return how much slower than its service an endpoint answers, from 1 up."""
    usual_s = node.routing.latency_s.get(endpoint.report.service, 0.0)
    if usual_s <= 0 or endpoint.latency_s <= 0:
        return 1.0
    return min(max(endpoint.latency_s / usual_s, 1.0), MAX_SLOWNESS)


def _has_room(node: machine.Node, endpoint: endpoints.Endpoint) -> bool:
    limit = max(endpoint.load.limit / slowdown_factor(node, endpoint), 1.0)
    return endpoint.busy() < limit


def _pick(
    node: machine.Node, request: data.Request, candidates: list[endpoints.Endpoint]
) -> endpoints.Endpoint:
    wanted = request.prefix_hash
    if request.idempotency_key and not request.repeatable:
        wanted = endpoints.stable_hash(request.idempotency_key)
    if wanted:
        chosen = _pick_by_prefix(wanted, candidates)
        if chosen is not None:
            return chosen
    return _pick_by_load(node, candidates)


def _pick_by_prefix(
    prefix_hash: int, candidates: list[endpoints.Endpoint]
) -> endpoints.Endpoint | None:
    """Return the highest ranked endpoint whose load is within the bound."""
    mean = sum(endpoint.busy() for endpoint in candidates) / len(candidates)
    bound = AFFINITY_LOAD_BOUND * (mean + 1)
    ranked = sorted(
        candidates, key=lambda e: endpoints.affinity_score(e.seed, prefix_hash)
    )
    for endpoint in ranked[-1 : -AFFINITY_CANDIDATES - 1 : -1]:
        if endpoint.busy() < bound:
            return endpoint
    return None


def _pick_by_load(
    node: machine.Node, candidates: list[endpoints.Endpoint]
) -> endpoints.Endpoint:
    """Return the better of two random endpoints."""
    if len(candidates) == 1:
        return candidates[0]
    first, second = node.random.sample(candidates, 2)
    if _pressure(node, second) < _pressure(node, first):
        return second
    return first


def _pressure(node: machine.Node, endpoint: endpoints.Endpoint) -> float:
    share = (endpoint.busy() + 1) / max(endpoint.load.limit, 1)
    return share * slowdown_factor(node, endpoint)
