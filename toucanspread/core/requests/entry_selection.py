"""Answers callers who ask which entry instances to use for a service.

Entries are dealt in turn, each zone in proportion to what the service can run there,
so that entries stay even while callers keep old answers.
"""

import collections

from toucanspread.core import data, machine

ADDRESS_LIFETIME_S = 10.0
ADDRESSES_PER_ANSWER = 3
LEAST_WEIGHT = 1e-6  # an entry far from every endpoint is better than none


class AddressesRequested(data.Event):
    """A caller asked which addresses to use."""

    operation_id: data.OperationId
    team: data.TeamName
    service: data.ServiceName


class ReturnAddresses(data.Effect):
    """Tell the caller which addresses to use, the best one first.

    :param lifetime_s: for how long the answer may be kept.
    """

    operation_id: data.OperationId
    addresses: tuple[data.Address, ...]
    lifetime_s: float


class State:
    """What each entry is owed, by service: its share of the answers less its answers.

    A random start keeps entries from dealing in step.
    """

    def __init__(self):
        self.owed: dict[data.ServiceName, dict[data.Address, float]] = {}


def select_entries(
    node: machine.Node, service: data.ServiceName, count: int = ADDRESSES_PER_ANSWER
) -> tuple[data.Address, ...]:
    """Return addresses of entries that take new requests for a service."""
    shares = _shares(node, service, _live_entries(node))
    if not shares:
        return ()
    before = node.entry_selection.owed.get(service, {})
    owed = {}
    for address, share in shares.items():
        start = before.get(address)
        if start is None:
            start = node.random.random()
        owed[address] = start + share
    ranked = sorted(owed, key=owed.__getitem__, reverse=True)
    owed[ranked[0]] -= 1.0
    node.entry_selection.owed[service] = owed
    return tuple(ranked[:count])


def find_capable_entries(
    node: machine.Node, service: data.ServiceName
) -> tuple[data.Address, ...]:
    """Return addresses of other entries that say they have endpoints of a service."""
    capable = []
    for entry in _live_entries(node):
        counts = node.membership.ready_counts.get(entry.instance_id, {})
        if entry.instance_id != node.identity.instance_id and counts.get(service):
            capable.append(entry.http_address)
    count = min(ADDRESSES_PER_ANSWER, len(capable))
    return tuple(node.random.sample(capable, count))


def _live_entries(node: machine.Node) -> list[data.Identity]:
    entries = []
    if not node.draining.active:
        entries.append(node.identity)
    for member in node.membership.members.values():
        identity = member.identity
        if identity.role is not data.Role.ENTRY or not identity.http_address:
            continue
        if identity.instance_id == node.identity.instance_id:
            continue
        if member.state is data.MemberState.LIVE:
            entries.append(identity)
    return entries


def _shares(
    node: machine.Node, service: data.ServiceName, entries: list[data.Identity]
) -> dict[data.Address, float]:
    """Return which share of the answers each entry is to have.

    Where entries know different endpoints, it follows what they have; where all
    know the same, it follows what their zones have.
    """
    told = _told_capacities(node, service, entries)
    if len(set(told)) > 1:
        weights = [count + LEAST_WEIGHT for count in told]
    else:
        weights = _weights_by_zone(node, service, entries)
    total = sum(weights)
    shares = {}
    for entry, weight in zip(entries, weights, strict=True):
        shares[entry.http_address] = weight / total
    return shares


def _told_capacities(
    node: machine.Node, service: data.ServiceName, entries: list[data.Identity]
) -> list[int]:
    """Return how many endpoints of a service each entry says it has."""
    capacity = node.membership.ready_counts
    return [capacity.get(e.instance_id, {}).get(service, 0) for e in entries]


def _weights_by_zone(
    node: machine.Node, service: data.ServiceName, entries: list[data.Identity]
) -> list[float]:
    """Share what the service can run in a zone among the zone's entries."""
    capacity: dict[data.ZoneName, float] = {}
    for endpoint in node.routing.services.get(service, {}).values():
        if not endpoint.is_live:
            continue
        zone = endpoint.identity.zone
        capacity[zone] = capacity.get(zone, 0.0) + max(endpoint.load.limit, 1)
    sharing = collections.Counter(entry.zone for entry in entries)
    weights = []
    for entry in entries:
        in_zone = capacity.get(entry.zone, 0.0) / sharing[entry.zone]
        weights.append(in_zone + LEAST_WEIGHT)
    return weights


def _on_asked(node: machine.Node, event: AddressesRequested) -> list:
    addresses = select_entries(node, event.service)
    return [ReturnAddresses(event.operation_id, addresses, ADDRESS_LIFETIME_S)]


HANDLERS = {AddressesRequested: _on_asked}
