"""What endpoint processes of one transfer tell each other, and whom they know.

Holdings travel as whole bitmaps when two meet and now and then, as increments in
between. Neighbours come from the entry that tracks the manifest.
"""

from toucanspread.core import data, effects, events, machine, rendezvous
from toucanspread.core.transfers import (
    peer_set,
    request_scheduler,
    tracker,
    transfer_events,
    transfer_state,
)

TRACKERS = 2
FIRST_ASK_S = 0.25
LONELY_ASK_S = 10.0  # at most, with too few neighbours
MAX_ASK_S = 30.0
WHOLE_ASK_S = 45.0
MIN_ANNOUNCE_DELAY_S = 0.1
MAX_ANNOUNCE_DELAY_S = 1.0
ANNOUNCE_SHARE = 0.04  # of the time since the transfer began


def on_message(node: machine.Node, event: events.MessageReceived) -> list:
    """Take in what others hold and whom an entry offers as peers."""
    message = event.message
    if isinstance(message, peer_set.PiecesAdded):
        return _on_pieces_added(node, event.sender, message)
    if isinstance(message, peer_set.Holding):
        return _on_holding(node, event.sender, message)
    if isinstance(message, tracker.PeersOffered):
        return _on_peers_offered(node, message)
    return []


def on_member_changed(node: machine.Node, event: events.MemberChanged) -> list:
    """Forget a neighbour that died."""
    transfer = node.transfer.current
    if transfer is None or event.state is not data.MemberState.DEAD:
        return []
    neighbour = transfer.peers.by_id.get(event.identity.instance_id)
    if neighbour is None:
        return []
    if neighbour.identity.incarnation > event.identity.incarnation:
        return []
    return drop(node, transfer, neighbour)


def resync(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    """Exchange whole bitmaps with one neighbour, as increments may be lost."""
    if not transfer.peers.by_id:
        return []
    neighbour = node.random.choice(list(transfer.peers.by_id.values()))
    greeting = _holding(transfer, hello=True)
    return [effects.Send(neighbour.identity.address, greeting)]


def drop(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    neighbour: peer_set.Peer,
) -> list:
    """Forget a neighbour and what was asked of it."""
    cancelled = []
    for fetch in list(transfer.fetches.values()):
        if fetch.source is not neighbour:
            continue
        request_scheduler.end(node, transfer, fetch)
        cancelled.append(transfer_events.CancelFetch(fetch.fetch_id))
    known = transfer.peers.by_id.get(neighbour.identity.instance_id)
    if known is neighbour:
        transfer.peers.remove(neighbour.identity.instance_id)
    transfer.ask_interval_s = FIRST_ASK_S
    transfer.next_ask_s = min(transfer.next_ask_s, node.now_s + FIRST_ASK_S)
    return cancelled


def announce_delay_s(node: machine.Node, transfer: transfer_state.Transfer) -> float:
    """Return how long to gather pieces; early ones matter most and go at once."""
    share_s = ANNOUNCE_SHARE * (node.now_s - transfer.started_s)
    return max(MIN_ANNOUNCE_DELAY_S, min(share_s, MAX_ANNOUNCE_DELAY_S))


def announce(transfer: transfer_state.Transfer) -> list:
    """Tell the neighbours of the pieces gathered since the last time."""
    if not transfer.unannounced:
        return []
    message = peer_set.PiecesAdded(transfer.manifest_hash, tuple(transfer.unannounced))
    transfer.unannounced = []
    everything = (1 << len(transfer.pieces)) - 1
    return [
        effects.Send(neighbour.identity.address, message)
        for neighbour in transfer.peers.by_id.values()
        if neighbour.has != everything
    ]


def _holding(transfer: transfer_state.Transfer, hello: bool) -> peer_set.Holding:
    bitmap = peer_set.to_bitmap(transfer.have)
    return peer_set.Holding(
        transfer.manifest_hash, transfer.has_manifest, bitmap, hello
    )


def greet(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    """Tell all neighbours what is held."""
    message = _holding(transfer, hello=False)
    return [
        effects.Send(neighbour.identity.address, message)
        for neighbour in transfer.peers.by_id.values()
    ]


def _on_pieces_added(
    node: machine.Node, sender: data.Identity, message: peer_set.PiecesAdded
) -> list:
    transfer = node.transfer.current
    if transfer is None or transfer.manifest_hash != message.manifest_hash:
        return []
    neighbour = transfer.peers.get_or_add(sender, node.now_s)
    if neighbour is None:
        return []
    neighbour.hear(node.now_s)
    transfer.peers.add_pieces(neighbour, message.pieces, node.now_s)
    return request_scheduler.fill(node, transfer)


def _on_holding(
    node: machine.Node, sender: data.Identity, message: peer_set.Holding
) -> list:
    transfer = node.transfer.current
    if transfer is None or transfer.manifest_hash != message.manifest_hash:
        return []
    answer: list = []
    if message.hello:
        holding = _holding(transfer, hello=False)
        answer = [effects.Send(sender.address, holding)]
    neighbour = transfer.peers.get_or_add(sender, node.now_s)
    if neighbour is None:
        # One that is struck out may still fetch; one too many asks elsewhere.
        struck_out = sender.instance_id in transfer.peers.struck_out
        return answer if struck_out else []
    neighbour.hear(node.now_s)
    neighbour.has_manifest = message.has_manifest
    has = peer_set.from_bitmap(message.bitmap)
    transfer.peers.update_held_pieces(neighbour, has, node.now_s)
    if not transfer.has_manifest:
        return [*answer, *request_scheduler.want_manifest(node, transfer)]
    return [*answer, *request_scheduler.fill(node, transfer)]


def ask_tracker(node: machine.Node) -> list:
    """Ask an entry for others that move the version; another if none answered."""
    transfer = node.transfer.current
    entries = [
        member.identity
        for member in node.membership.members.values()
        if member.identity.role is data.Role.ENTRY
        and member.state is data.MemberState.LIVE
    ]
    most_s = MAX_ASK_S if transfer.peers.enough() else LONELY_ASK_S
    interval_s = min(most_s, max(FIRST_ASK_S, 2 * transfer.ask_interval_s))
    if transfer.whole:
        interval_s = WHOLE_ASK_S
    transfer.ask_interval_s = interval_s
    transfer.next_ask_s = node.now_s + interval_s * (0.75 + node.random.random() / 2)
    if not entries:
        return []
    by_id = {identity.instance_id: identity for identity in entries}
    if not transfer.offered:
        transfer.asked_tracker += 1
    transfer.offered = False
    trackers = rendezvous.rank(transfer.manifest_hash, by_id)[:TRACKERS]
    chosen = by_id[trackers[transfer.asked_tracker % len(trackers)]]
    message = tracker.PeersWanted(transfer.manifest_hash, transfer.whole)
    return [effects.Send(chosen.address, message)]


def _on_peers_offered(node: machine.Node, message: tracker.PeersOffered) -> list:
    transfer = node.transfer.current
    if transfer is None or transfer.manifest_hash != message.manifest_hash:
        return []
    if transfer.seeds != message.seeds:
        transfer.seeds = message.seeds
        transfer.seeds_changed_s = node.now_s
    transfer.followers = message.followers
    offered = list(message.peers)
    own_id = node.identity.instance_id
    transfer.offered = True
    seed_ids = frozenset(seed.instance_id for seed in message.seeds)
    transfer.peers.favoured = frozenset()
    if own_id in seed_ids:
        transfer.peers.favoured = seed_ids
        offered = [*message.seeds, *offered]
    greeting = _holding(transfer, hello=True)
    wanted: list = []
    for identity in offered:
        favoured = identity.instance_id in transfer.peers.favoured
        if not favoured and transfer.peers.enough():
            continue
        known = transfer.peers.by_id.get(identity.instance_id)
        neighbour = transfer.peers.get_or_add(identity, node.now_s)
        if neighbour is None or neighbour is known:
            continue
        wanted.append(effects.Send(identity.address, greeting))
    if not transfer.has_manifest:
        return [*wanted, *request_scheduler.want_manifest(node, transfer)]
    return [*wanted, *request_scheduler.fill(node, transfer)]
