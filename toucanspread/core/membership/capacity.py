"""Which services each entry has ready endpoint processes for, told among entries.

An entry counts the whole replicas that report to it. When the counts change, a row
with them rides on membership messages, as updates do.
"""

from toucanspread.core import data
from toucanspread.core.membership import gossip, member_states
from toucanspread.core.membership import membership_messages as messages

COUNT_INTERVAL_S = 1.0
CHANGE_INTERVAL_S = 5.0  # bounds the rows of a rollout, which changes every count


class Table:
    """The newest row of each entry, and those to pass on."""

    def __init__(self):
        self.rows: dict[data.InstanceId, messages.Row] = {}
        self.queue = gossip.Queue()
        self.next_count_s = 0.0
        self.next_change_s = 0.0


def run(node) -> member_states.Items:
    """Count again when due and pass a change on."""
    state = node.membership
    table = state.capacities
    if node.identity.role is not data.Role.ENTRY:
        return []
    if state.clock_s < table.next_count_s:
        return []
    table.next_count_s = state.clock_s + COUNT_INTERVAL_S
    counts = _count(node)
    own = table.rows.get(node.identity.instance_id)
    if own is not None and own.counts == counts:
        return []
    if state.clock_s < table.next_change_s:
        return []
    table.next_change_s = state.clock_s + CHANGE_INTERVAL_S
    sequence = 1 if own is None else own.sequence + 1
    incarnation = node.identity.incarnation
    _keep(node, messages.Row(node.identity.instance_id, incarnation, sequence, counts))
    return []


def take(node, rows: tuple[messages.Row, ...]) -> None:
    """Take in rows of other entries."""
    state = node.membership
    for row in rows:
        member = state.members.get(row.instance_id)
        if member is None or not member.alive:
            continue
        if row.incarnation != member.identity.incarnation:
            continue
        known = state.capacities.rows.get(row.instance_id)
        if known is None or row.order > known.order:
            _keep(node, row)


def forget(state, instance_id: data.InstanceId) -> None:
    """Drop the row of an entry that is gone."""
    state.ready_counts.pop(instance_id, None)
    state.capacities.rows.pop(instance_id, None)


def _keep(node, row: messages.Row) -> None:
    state = node.membership
    state.capacities.rows[row.instance_id] = row
    state.capacities.queue.put(row)
    state.ready_counts[row.instance_id] = row.counts


def _count(node) -> dict[data.ServiceName, int]:
    counts: dict[data.ServiceName, int] = {}
    members = node.membership.members
    for instance_id in node.membership.reporters:
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
