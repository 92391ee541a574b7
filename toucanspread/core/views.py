"""Comparison of whole views of the entries, for what gossip has missed.

Each process asks a random entry now and then, naming a digest of its own view; only
an entry whose digest differs answers with its view.
"""

import xxhash

from toucanspread.core import beliefs, data, effects

VIEW_INTERVAL_S = 30.0
FIRST_VIEW_INTERVAL_S = 2.0  # while nothing but seeds is known


class ViewRequest(data.Message):
    """Asks for an entry's view if its digest isn't ``digest``."""

    digest: int


class View(data.Message):
    """What an entry believes of all entries, itself included."""

    updates: tuple[beliefs.Update, ...]


class Table:
    """When to compare views again."""

    def __init__(self):
        self.next_s = 0.0


def run(node) -> beliefs.Items:
    """Ask a random entry when due."""
    state = node.membership
    if state.clock_s < state.views.next_s or not state.entry_ids:
        return []
    interval_s = VIEW_INTERVAL_S if state.list_read else FIRST_VIEW_INTERVAL_S
    state.views.next_s = state.clock_s + interval_s * (0.5 + node.random.random())
    chosen = node.random.choice(sorted(state.entry_ids))
    address = state.members[chosen].identity.address
    return [effects.Send(address, ViewRequest(digest(node)))]


def digest(node) -> int:
    """Return a number that differs when the beliefs about entries differ."""
    combined = 0
    for update in _updates(node):
        alive = update.state is not data.MemberState.DEAD
        text = f"{update.instance_id} {update.incarnation} {update.refutation} {alive}"
        combined ^= xxhash.xxh3_64_intdigest(text.encode())
    return combined


def on_request(node, sender: data.Identity, request: ViewRequest) -> beliefs.Items:
    """Answer with the view if it differs."""
    if node.identity.role is not data.Role.ENTRY or request.digest == digest(node):
        return []
    return [effects.Send(sender.address, View(tuple(_updates(node))))]


def on_view(node, sender: data.Identity, view: View) -> beliefs.Items:
    """Take in another entry's view."""
    found: beliefs.Items = []
    for update in view.updates:
        found += beliefs.take(node, update)
    return found


def _updates(node) -> list[beliefs.Update]:
    found = []
    if node.identity.role is data.Role.ENTRY:
        found.append(beliefs.own_update(node))
    for member in node.membership.members.values():
        is_entry = member.identity.role is data.Role.ENTRY
        if is_entry and member.identity.incarnation:
            found.append(beliefs.update_of(member))
    return found
