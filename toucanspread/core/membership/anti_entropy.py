"""Anti-entropy: comparison of views of all entries, for updates that gossip missed.

Each process periodically sends a digest of its view to a random entry. The entry
answers with its view only if its digest differs.
"""

import xxhash

from toucanspread.core import data, effects
from toucanspread.core.membership import capacity, member_states
from toucanspread.core.membership import membership_messages as messages

REQUEST_INTERVALS_S = {data.Role.ENTRY: 30.0, data.Role.ENDPOINT: 120.0}
VIEW_BUDGET_BYTES_PER_S = 8 * 1024
FIRST_REQUEST_INTERVAL_S = 2.0  # until the instance list is read; only seeds are known


class AntiEntropyState:
    """When to request the next view, and when this process may send its own again."""

    def __init__(self):
        self.next_request_s = 0.0
        self.next_view_s = 0.0


def request_view(node) -> member_states.Outputs:
    """Request the view of a random entry when due."""
    state = node.membership
    if state.active_clock_s < state.anti_entropy.next_request_s or not state.entry_ids:
        return []
    interval_s = FIRST_REQUEST_INTERVAL_S
    if state.has_read_list:
        interval_s = REQUEST_INTERVALS_S[node.identity.role]
    state.anti_entropy.next_request_s = state.active_clock_s + interval_s * (
        0.5 + node.random.random()
    )
    entry_id = node.random.choice(sorted(state.entry_ids))
    address = state.members[entry_id].identity.address
    with_rows = node.identity.role is data.Role.ENTRY
    return [
        effects.Send(address, messages.ViewRequest(compute_digest(node, with_rows)))
    ]


def compute_digest(node, with_rows: bool) -> int:
    """Return a digest of the states of all entries that aren't marked dead.

    :param with_rows: whether to include capacity rows, which only entries have.
    """
    combined = 0
    for update in _list_entry_updates(node):
        if update.state is data.MemberState.DEAD:
            continue
        text = f"{update.instance_id} {update.incarnation} {update.refutation}"
        combined ^= xxhash.xxh3_64_intdigest(text.encode())
    if not with_rows:
        return combined
    for row in node.membership.capacity_gossip.rows.values():
        text = f"{row.instance_id} {row.incarnation} {row.sequence}"
        combined ^= xxhash.xxh3_64_intdigest(text.encode())
    return combined


def on_view_request(
    node, sender: data.Identity, request: messages.ViewRequest
) -> member_states.Outputs:
    """Send this process's view if its digest differs from the sender's."""
    state = node.membership.anti_entropy
    clock_s = node.membership.active_clock_s
    if node.identity.role is not data.Role.ENTRY or clock_s < state.next_view_s:
        return []
    with_rows = sender.role is data.Role.ENTRY
    if request.digest == compute_digest(node, with_rows):
        return []
    rows = tuple(node.membership.capacity_gossip.rows.values()) if with_rows else ()
    view = messages.View(tuple(_list_entry_updates(node)), rows)
    size_bytes = sum(item.size_bytes for item in (*view.updates, *view.rows))
    state.next_view_s = clock_s + size_bytes / VIEW_BUDGET_BYTES_PER_S
    return [effects.Send(sender.address, view)]


def on_view(node, sender: data.Identity, view: messages.View) -> member_states.Outputs:
    """Apply another entry's view."""
    outputs: member_states.Outputs = []
    for update in view.updates:
        outputs += member_states.apply_update(node, update)
    capacity.apply_rows(node, view.rows)
    return outputs


def _list_entry_updates(node) -> list[messages.Update]:
    updates = []
    if node.identity.role is data.Role.ENTRY:
        updates.append(member_states.make_own_update(node))
    for member in node.membership.members.values():
        is_entry = member.identity.role is data.Role.ENTRY
        if is_entry and member.identity.incarnation:
            updates.append(member_states.make_member_update(member))
    return updates
