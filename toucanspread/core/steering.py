"""Answers callers who ask which entry instances to use for a service.

Entries are dealt in turn, each zone in proportion to what the service can run there,
so that entries stay even while callers keep old answers.
"""

import collections

from toucanspread.core import data, machine

ADDRESS_LIFETIME_S = 10.0
ADDRESSES_PER_ANSWER = 3
LEAST_WEIGHT = 1e-6  # an entry far from every endpoint is better than none


class AddressesAsked(data.Event):
    """A caller asked which addresses to use."""

    operation_id: data.OperationId
    team: data.TeamName
    service: data.ServiceName


class AddressesAnswered(data.Effect):
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


def entries_for(
    node: machine.Node, service: data.ServiceName, count: int = ADDRESSES_PER_ANSWER
) -> tuple[data.Address, ...]:
    """Return addresses of entries that take new requests for a service."""
    shares = _shares(node, service, _live_entries(node))
    if not shares:
        return ()
    before = node.steering.owed.get(service, {})
    owed = {}
    for address, share in shares.items():
        start = before.get(address)
        if start is None:
            start = node.random.random()
        owed[address] = start + share
    ranked = sorted(owed, key=owed.__getitem__, reverse=True)
    owed[ranked[0]] -= 1.0
    node.steering.owed[service] = owed
    return tuple(ranked[:count])


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
    """Share what the service can run in a zone among the zone's entries."""
    capacity: dict[data.ZoneName, float] = {}
    for endpoint in node.routing.services.get(service, {}).values():
        if not endpoint.is_live:
            continue
        zone = endpoint.identity.zone
        capacity[zone] = capacity.get(zone, 0.0) + max(endpoint.load.limit, 1)
    sharing = collections.Counter(entry.zone for entry in entries)
    weights = {}
    for entry in entries:
        in_zone = capacity.get(entry.zone, 0.0) / sharing[entry.zone]
        weights[entry.http_address] = in_zone + LEAST_WEIGHT
    total = sum(weights.values())
    return {address: weight / total for address, weight in weights.items()}


def _on_asked(node: machine.Node, event: AddressesAsked) -> list:
    addresses = entries_for(node, event.service)
    return [AddressesAnswered(event.operation_id, addresses, ADDRESS_LIFETIME_S)]


HANDLERS = {AddressesAsked: _on_asked}
