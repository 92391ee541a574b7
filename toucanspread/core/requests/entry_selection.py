"""Selects the entries that a caller should use for a service.

Answers rotate over the entries by smooth weighted round robin, each zone in proportion
to the service's capacity there, so that entries stay evenly loaded although callers
cache their answers.
"""

import collections

from toucanspread.core import data, machine

ADDRESS_LIFETIME_S = 10.0
ADDRESSES_PER_ANSWER = 3
MIN_WEIGHT = 1e-6  # so that an entry in a zone without endpoints can be selected too


class AddressesRequested(data.Event):
    """A caller asked which addresses to use."""

    operation_id: data.OperationId
    team: data.TeamName
    service: data.ServiceName


class ReturnAddresses(data.Effect):
    """Return the addresses to use to the caller, the best one first.

    :param lifetime_s: how long the caller may cache the answer.
    """

    operation_id: data.OperationId
    addresses: tuple[data.Address, ...]
    lifetime_s: float


class State:
    """The round-robin credits of each entry.

    :ivar credits: by service and entry, the share of the answers due to the entry
        less the answers that returned it first. Credits start at random, so that
        different entries do not return the same sequence.
    """

    def __init__(self):
        self.credits: dict[data.ServiceName, dict[data.Address, float]] = {}


def select_entries(
    node: machine.Node, service: data.ServiceName, count: int = ADDRESSES_PER_ANSWER
) -> tuple[data.Address, ...]:
    """Return addresses of entries that accept new requests for a service."""
    shares = _compute_target_shares(node, service, _find_live_entries(node))
    if not shares:
        return ()
    previous = node.entry_selection.credits.get(service, {})
    credits = {}
    for address, share in shares.items():
        credit = previous.get(address)
        if credit is None:
            credit = node.random.random()
        credits[address] = credit + share
    ranked = sorted(credits, key=credits.__getitem__, reverse=True)
    credits[ranked[0]] -= 1.0
    node.entry_selection.credits[service] = credits
    return tuple(ranked[:count])


def find_capable_entries(
    node: machine.Node, service: data.ServiceName
) -> tuple[data.Address, ...]:
    """Return addresses of other entries that report endpoints of a service."""
    capable = []
    for entry in _find_live_entries(node):
        counts = node.membership.ready_counts.get(entry.instance_id, {})
        if entry.instance_id != node.identity.instance_id and counts.get(service):
            capable.append(entry.http_address)
    count = min(ADDRESSES_PER_ANSWER, len(capable))
    return tuple(node.random.sample(capable, count))


def _find_live_entries(node: machine.Node) -> list[data.Identity]:
    entries = []
    if not node.draining.is_active:
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


def _compute_target_shares(
    node: machine.Node, service: data.ServiceName, entries: list[data.Identity]
) -> dict[data.Address, float]:
    """Return the share of the answers that each entry should get.

    If the entries know different numbers of endpoints, the shares follow these
    numbers; if all know the same number, the shares follow the capacity of each zone.
    """
    reported = _get_reported_counts(node, service, entries)
    if len(set(reported)) > 1:
        weights = [count + MIN_WEIGHT for count in reported]
    else:
        weights = _compute_zone_weights(node, service, entries)
    total = sum(weights)
    shares = {}
    for entry, weight in zip(entries, weights, strict=True):
        shares[entry.http_address] = weight / total
    return shares


def _get_reported_counts(
    node: machine.Node, service: data.ServiceName, entries: list[data.Identity]
) -> list[int]:
    """Return how many endpoints of a service each entry reports."""
    ready_counts = node.membership.ready_counts
    return [ready_counts.get(e.instance_id, {}).get(service, 0) for e in entries]


def _compute_zone_weights(
    node: machine.Node, service: data.ServiceName, entries: list[data.Identity]
) -> list[float]:
    """Divide the service's capacity in each zone among the zone's entries."""
    capacity: dict[data.ZoneName, float] = {}
    for endpoint in node.routing.services.get(service, {}).values():
        if not endpoint.is_live:
            continue
        zone = endpoint.identity.zone
        capacity[zone] = capacity.get(zone, 0.0) + max(endpoint.load.limit, 1)
    entry_counts = collections.Counter(entry.zone for entry in entries)
    weights = []
    for entry in entries:
        entry_capacity = capacity.get(entry.zone, 0.0) / entry_counts[entry.zone]
        weights.append(entry_capacity + MIN_WEIGHT)
    return weights


def _on_addresses_requested(node: machine.Node, event: AddressesRequested) -> list:
    addresses = select_entries(node, event.service)
    return [ReturnAddresses(event.operation_id, addresses, ADDRESS_LIFETIME_S)]


HANDLERS = {AddressesRequested: _on_addresses_requested}
