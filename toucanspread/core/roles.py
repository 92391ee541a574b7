"""Builds the two machines of the system: that of an entry and that of an endpoint.

A daemon, a test or an external benchmark builds the same machines here and drives them
by events only.
"""

from toucanspread.core import data, machine
from toucanspread.core.agreement import (
    config,
    config_gossip,
    config_watch,
    confirmations,
    controller,
    fleet_overview,
    leases,
    orders,
    plan_requests,
    plans,
)
from toucanspread.core.gate import admission, claims, dispatches
from toucanspread.core.membership import membership, reporting
from toucanspread.core.requests import draining, entry_selection, requests, routing
from toucanspread.core.transfers import tracker, transfer, transfer_state

# Membership comes first so that the other parts see the members of the current step.
ENTRY_PARTS = (
    membership,
    config_gossip,
    config_watch,
    leases,
    fleet_overview,
    plan_requests,
    confirmations,
    controller,
    tracker,
    routing,
    requests,
    entry_selection,
    draining,
)
ENDPOINT_PARTS = (
    membership,
    config_gossip,
    orders,
    transfer,
    claims,
    admission,
    dispatches,
    reporting,
)


class EndpointOptions(data.Record):
    """Options of an endpoint machine.

    :param kind: kind of backend of the process.
    :param service: the plain service behind the process; empty for an engine.
    :param concurrency: concurrency limit until latencies are known.
    :param origin_region: region of the origin of weights.
    """

    kind: data.ServiceKind
    service: data.ServiceName = data.ServiceName("")
    concurrency: int = admission.INITIAL_LIMIT
    origin_region: data.RegionName = data.RegionName("")


def build_entry(
    identity: data.Identity,
    seed: int,
    seeds: tuple[data.Address, ...] = (),
    costs: plans.Costs | None = None,
) -> machine.Machine:
    """Return a new machine of an entry.

    :param seeds: addresses to contact while the instance list is unavailable.
    :param costs: transfer and load rates with which plans estimate their duration.
    """
    node = machine.Node(
        identity,
        seed,
        membership=membership.State(seeds),
        config=config.State(),
        config_gossip=config_gossip.State(),
        config_watch=config_watch.State(),
        fleet_overview=fleet_overview.State(),
        plan_requests=plan_requests.State(costs),
        confirmations=confirmations.State(),
        leases=leases.State(),
        controller=controller.State(),
        tracker=tracker.State(),
        routing=routing.State(),
        requests=requests.State(),
        entry_selection=entry_selection.State(),
        draining=draining.State(),
    )
    return machine.Machine(node, [part.HANDLERS for part in ENTRY_PARTS])


def build_endpoint(
    identity: data.Identity,
    seed: int,
    options: EndpointOptions,
    seeds: tuple[data.Address, ...] = (),
) -> machine.Machine:
    """Return a new machine of an endpoint process."""
    node = machine.Node(
        identity,
        seed,
        membership=membership.State(seeds),
        config=config.State(),
        config_gossip=config_gossip.State(),
        orders=orders.State(options.kind, options.service),
        transfer=transfer_state.State(options.origin_region),
        claims=claims.State(),
        admission=admission.State(options.concurrency),
        dispatches=dispatches.State(),
        reporting=reporting.State(),
    )
    return machine.Machine(node, [part.HANDLERS for part in ENDPOINT_PARTS])
