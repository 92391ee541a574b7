"""Comparison of whole views of the entries, for what gossip has missed.

Each process asks a random entry now and then, naming a digest of its own view; only
an entry whose digest differs answers with its view.
"""

import xxhash

from toucanspread.core import data, effects
from toucanspread.core.membership import capacity, member_states
from toucanspread.core.membership import membership_messages as messages

VIEW_INTERVALS_S = {data.Role.ENTRY: 30.0, data.Role.ENDPOINT: 120.0}
ANSWER_BUDGET_BYTES_S = 8 * 1024
FIRST_VIEW_INTERVAL_S = 2.0  # while nothing but seeds is known


class Table:
    """When to compare views again, and when to show the own one again."""

    def __init__(self):
        self.next_s = 0.0
        self.next_answer_s = 0.0


def run(node) -> member_states.Items:
    """Ask a random entry when due."""
    state = node.membership
    if state.clock_s < state.views.next_s or not state.entry_ids:
        return []
    interval_s = FIRST_VIEW_INTERVAL_S
    if state.list_read:
        interval_s = VIEW_INTERVALS_S[node.identity.role]
    state.views.next_s = state.clock_s + interval_s * (0.5 + node.random.random())
    chosen = node.random.choice(sorted(state.entry_ids))
    address = state.members[chosen].identity.address
    with_rows = node.identity.role is data.Role.ENTRY
    return [effects.Send(address, messages.ViewRequest(digest(node, with_rows)))]


def digest(node, with_rows: bool) -> int:
    """Return a number that differs when the beliefs about entries differ.

    :param with_rows: whether capacity counts too, which only entries know.
    """
    combined = 0
    for update in _updates(node):
        if update.state is data.MemberState.DEAD:
            continue
        text = f"{update.instance_id} {update.incarnation} {update.refutation}"
        combined ^= xxhash.xxh3_64_intdigest(text.encode())
    if not with_rows:
        return combined
    for row in node.membership.capacities.rows.values():
        text = f"{row.instance_id} {row.incarnation} {row.sequence}"
        combined ^= xxhash.xxh3_64_intdigest(text.encode())
    return combined


def on_request(
    node, sender: data.Identity, request: messages.ViewRequest
) -> member_states.Items:
    """Answer with the view if it differs."""
    table = node.membership.views
    clock_s = node.membership.clock_s
    if node.identity.role is not data.Role.ENTRY or clock_s < table.next_answer_s:
        return []
    with_rows = sender.role is data.Role.ENTRY
    if request.digest == digest(node, with_rows):
        return []
    rows = tuple(node.membership.capacities.rows.values()) if with_rows else ()
    view = messages.View(tuple(_updates(node)), rows)
    size_bytes = sum(item.size_bytes for item in (*view.updates, *view.rows))
    table.next_answer_s = clock_s + size_bytes / ANSWER_BUDGET_BYTES_S
    return [effects.Send(sender.address, view)]


def on_view(node, sender: data.Identity, view: messages.View) -> member_states.Items:
    """Take in another entry's view."""
    found: member_states.Items = []
    for update in view.updates:
        found += member_states.take(node, update)
    capacity.take(node, view.rows)
    return found


def _updates(node) -> list[messages.Update]:
    found = []
    if node.identity.role is data.Role.ENTRY:
        found.append(member_states.own_update(node))
    for member in node.membership.members.values():
        is_entry = member.identity.role is data.Role.ENTRY
        if is_entry and member.identity.incarnation:
            found.append(member_states.update_of(member))
    return found
