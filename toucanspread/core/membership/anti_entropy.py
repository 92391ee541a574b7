"""Comparison of whole views of the entries, for what gossip has missed.

Each process asks a random entry now and then, naming a digest of its own view; only
an entry whose digest differs answers with its view.
"""

import xxhash

from toucanspread.core import data, effects
from toucanspread.core.membership import capacity, member_states
from toucanspread.core.membership import membership_messages as messages

REQUEST_INTERVALS_S = {data.Role.ENTRY: 30.0, data.Role.ENDPOINT: 120.0}
VIEW_BUDGET_BYTES_S = 8 * 1024
FIRST_REQUEST_INTERVAL_S = 2.0  # while nothing but seeds is known


class AntiEntropyState:
    """When to compare views again, and when to show the own one again."""

    def __init__(self):
        self.next_request_s = 0.0
        self.next_view_s = 0.0


def request_view(node) -> member_states.Outputs:
    """Ask a random entry when due."""
    state = node.membership
    if state.active_clock_s < state.anti_entropy.next_request_s or not state.entry_ids:
        return []
    interval_s = FIRST_REQUEST_INTERVAL_S
    if state.has_read_list:
        interval_s = REQUEST_INTERVALS_S[node.identity.role]
    state.anti_entropy.next_request_s = state.active_clock_s + interval_s * (
        0.5 + node.random.random()
    )
    chosen = node.random.choice(sorted(state.entry_ids))
    address = state.members[chosen].identity.address
    with_rows = node.identity.role is data.Role.ENTRY
    return [
        effects.Send(address, messages.ViewRequest(compute_digest(node, with_rows)))
    ]


def compute_digest(node, with_rows: bool) -> int:
    """Return a number that differs when the beliefs about entries differ.

    :param with_rows: whether capacity counts too, which only entries know.
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
    """Answer with the view if it differs."""
    table = node.membership.anti_entropy
    clock_s = node.membership.active_clock_s
    if node.identity.role is not data.Role.ENTRY or clock_s < table.next_view_s:
        return []
    with_rows = sender.role is data.Role.ENTRY
    if request.digest == compute_digest(node, with_rows):
        return []
    rows = tuple(node.membership.capacity_gossip.rows.values()) if with_rows else ()
    view = messages.View(tuple(_list_entry_updates(node)), rows)
    size_bytes = sum(item.size_bytes for item in (*view.updates, *view.rows))
    table.next_view_s = clock_s + size_bytes / VIEW_BUDGET_BYTES_S
    return [effects.Send(sender.address, view)]


def on_view(node, sender: data.Identity, view: messages.View) -> member_states.Outputs:
    """Take in another entry's view."""
    found: member_states.Outputs = []
    for update in view.updates:
        found += member_states.apply_update(node, update)
    capacity.apply_rows(node, view.rows)
    return found


def _list_entry_updates(node) -> list[messages.Update]:
    found = []
    if node.identity.role is data.Role.ENTRY:
        found.append(member_states.make_own_update(node))
    for member in node.membership.members.values():
        is_entry = member.identity.role is data.Role.ENTRY
        if is_entry and member.identity.incarnation:
            found.append(member_states.make_member_update(member))
    return found
