"""Which services each entry has ready endpoint processes for, told among entries.

An entry counts the whole replicas that report to it. When the counts change, a row
with them rides on membership messages, as updates do.
"""

from toucanspread.core import data
from toucanspread.core.membership import gossip, member_states
from toucanspread.core.membership import membership_messages as messages

COUNT_INTERVAL_S = 1.0
CHANGE_INTERVAL_S = 5.0  # bounds the rows of a rollout, which changes every count


class CapacityGossip:
    """The newest row of each entry, and those to pass on."""

    def __init__(self):
        self.rows: dict[data.InstanceId, messages.CapacityRow] = {}
        self.queue = gossip.DisseminationQueue()
        self.next_count_s = 0.0
        self.next_change_s = 0.0


def update_own_row(node) -> member_states.Outputs:
    """Count again when due and pass a change on."""
    state = node.membership
    table = state.capacity_gossip
    if node.identity.role is not data.Role.ENTRY:
        return []
    if state.active_clock_s < table.next_count_s:
        return []
    table.next_count_s = state.active_clock_s + COUNT_INTERVAL_S
    counts = _count_ready_endpoints(node)
    own = table.rows.get(node.identity.instance_id)
    if own is not None and own.counts == counts:
        return []
    if state.active_clock_s < table.next_change_s:
        return []
    table.next_change_s = state.active_clock_s + CHANGE_INTERVAL_S
    sequence = 1 if own is None else own.sequence + 1
    incarnation = node.identity.incarnation
    _store_row(
        node,
        messages.CapacityRow(node.identity.instance_id, incarnation, sequence, counts),
    )
    return []


def apply_rows(node, rows: tuple[messages.CapacityRow, ...]) -> None:
    """Take in rows of other entries."""
    state = node.membership
    for row in rows:
        member = state.members.get(row.instance_id)
        if member is None or not member.alive:
            continue
        if row.incarnation != member.identity.incarnation:
            continue
        known = state.capacity_gossip.rows.get(row.instance_id)
        if known is None or row.precedence > known.precedence:
            _store_row(node, row)


def drop_row(state, instance_id: data.InstanceId) -> None:
    """Drop the row of an entry that is gone."""
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
    """Return whether a member takes new requests for its service."""
    report = member.report
    if member.state is not data.MemberState.LIVE or not report.service:
        return False
    if report.state is not data.MemberState.LIVE:
        return False
    return report.kind is data.ServiceKind.PLAIN or bool(report.version)
