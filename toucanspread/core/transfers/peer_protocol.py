"""Messages between the endpoint processes of one transfer, and the choice of peers.

Processes send a bitmap of all their pieces on first contact and from time to time, and
new pieces as increments in between. The entries that track the manifest offer peers.
"""

from toucanspread.core import data, effects, events, machine, rendezvous
from toucanspread.core.transfers import (
    peer_set,
    request_scheduler,
    tracker,
    transfer_events,
    transfer_state,
)

TRACKERS_PER_MANIFEST = 2  # entries that are asked in turn
MIN_TRACKER_INTERVAL_S = 0.25
MAX_TRACKER_INTERVAL_FEW_PEERS_S = 10.0
MAX_TRACKER_INTERVAL_S = 30.0
WHOLE_TRACKER_INTERVAL_S = 45.0
MIN_ANNOUNCE_DELAY_S = 0.1
MAX_ANNOUNCE_DELAY_S = 1.0
ANNOUNCE_DELAY_RATIO = 0.04  # of the time since the start of the transfer


def on_message(node: machine.Node, event: events.MessageReceived) -> list:
    """Apply the holdings of peers, and the peers that an entry offers."""
    message = event.message
    if isinstance(message, peer_set.PiecesAdded):
        return _on_pieces_added(node, event.sender, message)
    if isinstance(message, peer_set.Holding):
        return _on_holding(node, event.sender, message)
    if isinstance(message, tracker.PeersOffered):
        return _on_peers_offered(node, message)
    return []


def on_member_changed(node: machine.Node, event: events.MemberChanged) -> list:
    """Drop a peer that is dead."""
    transfer = node.transfer.current
    if transfer is None or event.state is not data.MemberState.DEAD:
        return []
    peer = transfer.peers.by_id.get(event.identity.instance_id)
    if peer is None:
        return []
    if peer.identity.incarnation > event.identity.incarnation:
        return []
    return drop_peer(node, transfer, peer)


def resync_with_random_peer(
    node: machine.Node, transfer: transfer_state.Transfer
) -> list:
    """Exchange complete bitmaps with a random peer, since increments may be lost."""
    if not transfer.peers.by_id:
        return []
    peer = node.random.choice(list(transfer.peers.by_id.values()))
    hello = _create_holding(transfer, hello=True)
    return [effects.Send(peer.identity.address, hello)]


def drop_peer(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    peer: peer_set.Peer,
) -> list:
    """Remove a peer, cancel the requests to it, and ask a tracker for others soon."""
    cancelled = []
    for fetch in list(transfer.fetches.values()):
        if fetch.peer is not peer:
            continue
        request_scheduler.remove_fetch(node, transfer, fetch)
        cancelled.append(transfer_events.CancelFetch(fetch.fetch_id))
    known = transfer.peers.by_id.get(peer.identity.instance_id)
    if known is peer:
        transfer.peers.remove(peer.identity.instance_id)
    transfer.tracker_interval_s = MIN_TRACKER_INTERVAL_S
    transfer.next_tracker_request_s = min(
        transfer.next_tracker_request_s, node.now_s + MIN_TRACKER_INTERVAL_S
    )
    return cancelled


def compute_announce_delay_s(
    node: machine.Node, transfer: transfer_state.Transfer
) -> float:
    """Return for how long to collect new pieces before they are announced.

    The delay grows with the age of the transfer: peers need the first pieces most.
    """
    delay_s = ANNOUNCE_DELAY_RATIO * (node.now_s - transfer.started_s)
    return max(MIN_ANNOUNCE_DELAY_S, min(delay_s, MAX_ANNOUNCE_DELAY_S))


def announce_pieces(transfer: transfer_state.Transfer) -> list:
    """Send incomplete peers the numbers of the pieces not announced yet."""
    if not transfer.unannounced:
        return []
    message = peer_set.PiecesAdded(transfer.manifest_hash, tuple(transfer.unannounced))
    transfer.unannounced = []
    all_pieces = (1 << len(transfer.pieces)) - 1
    return [
        effects.Send(peer.identity.address, message)
        for peer in transfer.peers.by_id.values()
        if peer.held_pieces != all_pieces
    ]


def _create_holding(transfer: transfer_state.Transfer, hello: bool) -> peer_set.Holding:
    bitmap = peer_set.encode_bitmap(transfer.staged_pieces)
    return peer_set.Holding(
        transfer.manifest_hash, transfer.has_manifest, bitmap, hello
    )


def send_holding(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    """Send all peers the complete bitmap of held pieces."""
    message = _create_holding(transfer, hello=False)
    return [
        effects.Send(peer.identity.address, message)
        for peer in transfer.peers.by_id.values()
    ]


def _on_pieces_added(
    node: machine.Node, sender: data.Identity, message: peer_set.PiecesAdded
) -> list:
    transfer = node.transfer.current
    if transfer is None or transfer.manifest_hash != message.manifest_hash:
        return []
    peer = transfer.peers.get_or_add(sender, node.now_s)
    if peer is None:
        return []
    peer.record_contact(node.now_s)
    transfer.peers.add_held_pieces(peer, message.pieces, node.now_s)
    return request_scheduler.issue_requests(node, transfer)


def _on_holding(
    node: machine.Node, sender: data.Identity, message: peer_set.Holding
) -> list:
    transfer = node.transfer.current
    if transfer is None or transfer.manifest_hash != message.manifest_hash:
        return []
    answer: list = []
    if message.hello:
        holding = _create_holding(transfer, hello=False)
        answer = [effects.Send(sender.address, holding)]
    peer = transfer.peers.get_or_add(sender, node.now_s)
    if peer is None:
        # A banned peer may still fetch from here; one beyond the limit asks others.
        is_banned = sender.instance_id in transfer.peers.banned_ids
        return answer if is_banned else []
    peer.record_contact(node.now_s)
    peer.has_manifest = message.has_manifest
    held_pieces = peer_set.decode_bitmap(message.bitmap)
    transfer.peers.update_held_pieces(peer, held_pieces, node.now_s)
    if not transfer.has_manifest:
        return [*answer, *request_scheduler.obtain_manifest(node, transfer)]
    return [*answer, *request_scheduler.issue_requests(node, transfer)]


def request_peers(node: machine.Node) -> list:
    """Ask a tracking entry for peers; the next one if the last did not answer."""
    transfer = node.transfer.current
    entries = [
        member.identity
        for member in node.membership.members.values()
        if member.identity.role is data.Role.ENTRY
        and member.state is data.MemberState.LIVE
    ]
    max_interval_s = (
        MAX_TRACKER_INTERVAL_S
        if transfer.peers.has_enough()
        else MAX_TRACKER_INTERVAL_FEW_PEERS_S
    )
    interval_s = min(
        max_interval_s, max(MIN_TRACKER_INTERVAL_S, 2 * transfer.tracker_interval_s)
    )
    if transfer.is_whole:
        interval_s = WHOLE_TRACKER_INTERVAL_S
    transfer.tracker_interval_s = interval_s
    transfer.next_tracker_request_s = node.now_s + interval_s * (
        0.75 + node.random.random() / 2
    )
    if not entries:
        return []
    by_id = {identity.instance_id: identity for identity in entries}
    if not transfer.has_tracker_answered:
        transfer.tracker_index += 1
    transfer.has_tracker_answered = False
    trackers = rendezvous.rank(transfer.manifest_hash, by_id)[:TRACKERS_PER_MANIFEST]
    tracker_identity = by_id[trackers[transfer.tracker_index % len(trackers)]]
    message = tracker.PeersWanted(transfer.manifest_hash, transfer.is_whole)
    return [effects.Send(tracker_identity.address, message)]


def _on_peers_offered(node: machine.Node, message: tracker.PeersOffered) -> list:
    transfer = node.transfer.current
    if transfer is None or transfer.manifest_hash != message.manifest_hash:
        return []
    if transfer.seeds != message.seeds:
        transfer.seeds = message.seeds
        transfer.seeds_changed_s = node.now_s
    transfer.follower_count = message.followers
    candidates = list(message.peers)
    own_id = node.identity.instance_id
    transfer.has_tracker_answered = True
    seed_ids = frozenset(seed.instance_id for seed in message.seeds)
    transfer.peers.preferred_ids = frozenset()
    if own_id in seed_ids:
        transfer.peers.preferred_ids = seed_ids
        candidates = [*message.seeds, *candidates]
    hello = _create_holding(transfer, hello=True)
    outputs: list = []
    for identity in candidates:
        is_preferred = identity.instance_id in transfer.peers.preferred_ids
        if not is_preferred and transfer.peers.has_enough():
            continue
        known_peer = transfer.peers.by_id.get(identity.instance_id)
        peer = transfer.peers.get_or_add(identity, node.now_s)
        if peer is None or peer is known_peer:
            continue
        outputs.append(effects.Send(identity.address, hello))
    if not transfer.has_manifest:
        return [*outputs, *request_scheduler.obtain_manifest(node, transfer)]
    return [*outputs, *request_scheduler.issue_requests(node, transfer)]
