"""Gossip about how many ready endpoint processes each entry has for each service.

An entry counts the ready endpoint processes that report to it, of a model only those
with a complete and verified version. When the counts change, a row with them is
piggybacked on membership messages, as updates are.
"""

from toucanspread.core import data
from toucanspread.core.membership import gossip, member_states
from toucanspread.core.membership import membership_messages as messages

COUNT_INTERVAL_S = 1.0
CHANGE_INTERVAL_S = 5.0  # limits rows during a rollout, which changes every count


class CapacityGossip:
    """The latest row of each entry, and the rows to disseminate."""

    def __init__(self):
        self.rows: dict[data.InstanceId, messages.CapacityRow] = {}
        self.queue = gossip.DisseminationQueue()
        self.next_count_s = 0.0
        self.next_change_s = 0.0


def update_own_row(node) -> member_states.Outputs:
    """Count ready endpoint processes when due, and disseminate a change."""
    state = node.membership
    capacity_gossip = state.capacity_gossip
    if node.identity.role is not data.Role.ENTRY:
        return []
    if state.active_clock_s < capacity_gossip.next_count_s:
        return []
    capacity_gossip.next_count_s = state.active_clock_s + COUNT_INTERVAL_S
    counts = _count_ready_endpoints(node)
    own_row = capacity_gossip.rows.get(node.identity.instance_id)
    if own_row is not None and own_row.counts == counts:
        return []
    if state.active_clock_s < capacity_gossip.next_change_s:
        return []
    capacity_gossip.next_change_s = state.active_clock_s + CHANGE_INTERVAL_S
    sequence = 1 if own_row is None else own_row.sequence + 1
    incarnation = node.identity.incarnation
    _store_row(
        node,
        messages.CapacityRow(node.identity.instance_id, incarnation, sequence, counts),
    )
    return []


def apply_rows(node, rows: tuple[messages.CapacityRow, ...]) -> None:
    """Apply rows of other entries."""
    state = node.membership
    for row in rows:
        member = state.members.get(row.instance_id)
        if member is None or not member.is_alive:
            continue
        if row.incarnation != member.identity.incarnation:
            continue
        known_row = state.capacity_gossip.rows.get(row.instance_id)
        if known_row is None or row.precedence > known_row.precedence:
            _store_row(node, row)


def drop_row(state, instance_id: data.InstanceId) -> None:
    """Drop the row of an entry that is dead or removed."""
    state.ready_counts.pop(instance_id, None)
    state.capacity_gossip.rows.pop(instance_id, None)


def _store_row(node, row: messages.CapacityRow) -> None:
    state = node.membership
    state.capacity_gossip.rows[row.instance_id] = row
    state.capacity_gossip.queue.put(row)
    state.ready_counts[row.instance_id] = row.counts


def _count_ready_endpoints(node) -> dict[data.ServiceName, int]:
    counts: dict[data.ServiceName, int] = {}
    members = node.membership.members
    for instance_id in node.membership.reporter_ids:
        member = members[instance_id]
        if not _is_ready(member):
            continue
        service = member.report.service
        counts[service] = counts.get(service, 0) + 1
    return counts


def _is_ready(member: member_states.Member) -> bool:
    """Return whether a member accepts new requests for its service."""
    report = member.report
    if member.state is not data.MemberState.LIVE or not report.service:
        return False
    if report.state is not data.MemberState.LIVE:
        return False
    return report.kind is data.ServiceKind.PLAIN or bool(report.version)
