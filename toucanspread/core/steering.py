"""Answers callers who ask which entry instances to use for a service.

Entries are drawn at random, each zone in proportion to what the service can run
there, so that entries stay even while callers keep old answers.
"""

from toucanspread.core import data, machine

ADDRESS_LIFETIME_S = 10.0
ADDRESSES_PER_ANSWER = 3


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
    """Steering keeps nothing; it reads membership and routing."""


def entries_for(
    node: machine.Node, service: data.ServiceName, count: int = ADDRESSES_PER_ANSWER
) -> tuple[data.Address, ...]:
    """Return addresses of entries that take new requests for a service."""
    entries = _live_entries(node)
    weights = _weights(node, service, entries)
    chosen: list[data.Address] = []
    while entries and len(chosen) < count:
        index = node.random.choices(range(len(entries)), weights)[0]
        chosen.append(entries.pop(index).http_address)
        weights.pop(index)
    return tuple(chosen)


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


def _weights(
    node: machine.Node, service: data.ServiceName, entries: list[data.Identity]
) -> list[float]:
    """Share what the service can run in a zone among the zone's entries."""
    capacity: dict[data.ZoneName, float] = {}
    for endpoint in node.routing.services.get(service, {}).values():
        if not endpoint.is_live:
            continue
        zone = endpoint.identity.zone
        capacity[zone] = capacity.get(zone, 0.0) + max(endpoint.load.limit, 1)
    sharing: dict[data.ZoneName, int] = {}
    for entry in entries:
        sharing[entry.zone] = sharing.get(entry.zone, 0) + 1
    least = 1e-6  # an entry far from every endpoint is better than none
    return [capacity.get(e.zone, 0.0) / sharing[e.zone] + least for e in entries]


def _on_asked(node: machine.Node, event: AddressesAsked) -> list:
    addresses = entries_for(node, event.service)
    return [AddressesAnswered(event.operation_id, addresses, ADDRESS_LIFETIME_S)]


HANDLERS = {AddressesAsked: _on_asked}
