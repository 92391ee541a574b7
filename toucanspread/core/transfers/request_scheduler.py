"""Schedules requests: chooses the rarest piece and the nearest peer that holds it."""

from toucanspread.core import data, invariants, machine
from toucanspread.core.transfers import (
    origin_policy,
    peer_set,
    transfer_events,
    transfer_state,
)

MAX_IN_FLIGHT_BYTES = 16 * 1024 * 1024
MAX_REQUEST_COUNT = 6
MAX_SCANNED_PIECES = 1024  # for one choice
ENDGAME_FETCH_COUNT = 8  # with at most so many in flight, slow ones are duplicated
ENDGAME_DELAY_FACTOR = 2.0  # times the mean response time, before the duplicate
MAX_DEADLINE_S = 20.0
MIN_DEADLINE_S = 4.0
DEADLINE_FACTOR = 8.0  # times the response time
ORIGIN_STALL_TIMEOUT_S = 10.0


def issue_requests(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    """Return as many new requests as the limits allow."""
    if not transfer.has_manifest or transfer.is_whole:
        return []
    origin_policy.update_owned_pieces(node, transfer)
    requests: list[data.Effect] = []
    rate_share = node.transfer.throttle.rate_share
    while _has_capacity(transfer, rate_share):
        effect = _create_next_request(node, transfer)
        if effect is None:
            break
        requests.append(effect)
    return requests


def request_manifest(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    """Request the manifest from a peer or the origin, unless a request is in flight."""
    if transfer_state.MANIFEST_NUMBER in transfer.request_counts:
        return []
    peers = transfer.peers
    is_owner = origin_policy.is_manifest_owner(node, transfer)
    holders = [
        peer
        for peer in peers.by_id.values()
        if peer.has_manifest
        and peer.is_available(node.now_s)
        and (is_owner or peers.is_same_region(peer))
    ]
    if holders:
        return [_request_manifest_from(node, transfer, node.random.choice(holders))]
    if is_owner and origin_policy.can_request_from_origin(node, transfer):
        return [_request_manifest_from(node, transfer, None)]
    return []


def obtain_manifest(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    """Read the manifest from staging, or request it if it is not staged."""
    if node.transfer.is_listing_staging or transfer.is_reading_manifest:
        return []
    if transfer.manifest_hash in node.transfer.held_hashes:
        return read_staged_manifest(transfer)
    return request_manifest(node, transfer)


def read_staged_manifest(transfer: transfer_state.Transfer) -> list:
    """Read the manifest from the engine's staging area."""
    transfer.is_reading_manifest = True
    return [transfer_events.ReadManifest(transfer.manifest_hash)]


def remove_fetch(
    node: machine.Node, transfer: transfer_state.Transfer, fetch: transfer_state.Fetch
) -> None:
    """Remove a request; its piece becomes pending again unless staged or requested."""
    del transfer.fetches[fetch.fetch_id]
    remaining = transfer.request_counts[fetch.piece_number] - 1
    if remaining:
        transfer.request_counts[fetch.piece_number] = remaining
    else:
        del transfer.request_counts[fetch.piece_number]
    if fetch.peer is not None:
        fetch.peer.in_flight_count -= 1
    if remaining or fetch.piece_number == transfer_state.MANIFEST_NUMBER:
        return
    if not transfer.staged_pieces >> fetch.piece_number & 1:
        transfer.pending_pieces.append(fetch.piece_number)


def cancel_duplicates(
    node: machine.Node, transfer: transfer_state.Transfer, piece_number: int
) -> list:
    """Cancel the remaining requests for a piece that is staged."""
    if piece_number not in transfer.request_counts:
        return []
    cancelled = [
        fetch
        for fetch in transfer.fetches.values()
        if fetch.piece_number == piece_number
    ]
    for fetch in cancelled:
        remove_fetch(node, transfer, fetch)
    return [transfer_events.CancelFetch(fetch.fetch_id) for fetch in cancelled]


def _has_capacity(transfer: transfer_state.Transfer, rate_share: float) -> bool:
    if len(transfer.fetches) >= max(1, int(MAX_REQUEST_COUNT * rate_share)):
        return False
    largest_bytes = max((piece.size_bytes for piece in transfer.pieces[:1]), default=0)
    return transfer.compute_in_flight_bytes() + largest_bytes <= MAX_IN_FLIGHT_BYTES


def _create_next_request(
    node: machine.Node, transfer: transfer_state.Transfer
) -> data.Effect | None:
    unrequested = transfer.pending_pieces[-MAX_SCANNED_PIECES:]
    if origin_policy.can_request_from_origin(node, transfer):
        piece_number = origin_policy.choose_owned_piece(node, transfer, unrequested)
        if piece_number is not None:
            return _request_from_origin(node, transfer, piece_number, is_extra=False)
    chosen = _choose_piece_and_peer(node, transfer, unrequested)
    if chosen is not None:
        return _request_from_peer(node, transfer, *chosen)
    if origin_policy.can_request_from_origin(node, transfer):
        piece_number = origin_policy.choose_extra_piece(node, transfer, unrequested)
        if piece_number is not None:
            return _request_from_origin(node, transfer, piece_number, is_extra=True)
    if not transfer.pending_pieces:
        return _create_endgame_request(node, transfer)
    return None


def _choose_piece_and_peer(
    node: machine.Node, transfer: transfer_state.Transfer, unrequested: list[int]
) -> tuple[int, peer_set.Peer] | None:
    """Return the rarest piece that an available peer holds, and the peer to ask.

    Peers of other regions are asked only for owned pieces that no peer of this
    process's region holds.
    """
    peers = transfer.peers
    same_region_pieces = remote_pieces = 0
    for peer in peers.by_id.values():
        if not peer.is_available(node.now_s):
            continue
        if peers.is_same_region(peer):
            same_region_pieces |= peer.held_pieces
        else:
            remote_pieces |= peer.held_pieces
    remote_pieces &= transfer.origin_usage.owned_pieces
    best, best_count = None, 1 << 30
    for piece_number in unrequested:
        count = peers.local_holder_counts[piece_number]
        if count >= best_count:
            continue
        if (
            count
            and same_region_pieces >> piece_number & 1
            or not count
            and remote_pieces >> piece_number & 1
        ):
            best, best_count = piece_number, count
    if best is None:
        return None
    chosen_peer = _choose_peer(node, transfer, best, is_remote_allowed=not best_count)
    return (best, chosen_peer) if chosen_peer is not None else None


def _choose_peer(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    piece_number: int,
    is_remote_allowed: bool,
) -> peer_set.Peer | None:
    peers = transfer.peers
    slow_threshold_s = peers.compute_slow_threshold_s()
    best, best_key = None, None
    for peer in peers.by_id.values():
        if not peer.held_pieces >> piece_number & 1 or not peer.is_available(
            node.now_s
        ):
            continue
        distance = peers.compute_distance(peer)
        if distance == 2 and not is_remote_allowed:
            continue
        key = (
            peer.response_time_s > slow_threshold_s,
            distance,
            peer.in_flight_count,
            node.random.random(),
        )
        if best_key is None or key < best_key:
            best, best_key = peer, key
    return best


def _create_endgame_request(
    node: machine.Node, transfer: transfer_state.Transfer
) -> data.Effect | None:
    """Request the piece of a slow request from a second peer, if there is one."""
    if len(transfer.fetches) > ENDGAME_FETCH_COUNT:
        return None
    mean_response_time_s = _compute_mean_response_time_s(transfer)
    for fetch in transfer.fetches.values():
        if transfer.request_counts[fetch.piece_number] > 1:
            continue
        if node.now_s - fetch.started_s < ENDGAME_DELAY_FACTOR * mean_response_time_s:
            continue
        is_remote_allowed = bool(
            transfer.origin_usage.owned_pieces >> fetch.piece_number & 1
        )
        second_peer = _choose_peer(
            node, transfer, fetch.piece_number, is_remote_allowed
        )
        if second_peer is None or second_peer is fetch.peer:
            continue
        return _request_from_peer(node, transfer, fetch.piece_number, second_peer)
    return None


def _compute_mean_response_time_s(transfer: transfer_state.Transfer) -> float:
    times = [
        peer.response_time_s
        for peer in transfer.peers.by_id.values()
        if peer.response_time_s
    ]
    if not times:
        return MAX_DEADLINE_S / ENDGAME_DELAY_FACTOR
    return sum(times) / len(times)


def _compute_deadline_s(
    transfer: transfer_state.Transfer, peer: peer_set.Peer
) -> float:
    response_time_s = max(peer.response_time_s, _compute_mean_response_time_s(transfer))
    return min(MAX_DEADLINE_S, max(MIN_DEADLINE_S, DEADLINE_FACTOR * response_time_s))


def _add_fetch(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    piece_number: int,
    peer: peer_set.Peer | None,
) -> transfer_state.Fetch:
    state = node.transfer
    state.next_fetch_id += 1
    if piece_number == transfer_state.MANIFEST_NUMBER:
        chunk_hash, size_bytes = data.ChunkHash(transfer.manifest_hash), 0
    else:
        chunk_hash = transfer.pieces[piece_number].chunk_hash
        size_bytes = transfer.pieces[piece_number].size_bytes
    fetch = transfer_state.Fetch(
        state.next_fetch_id, piece_number, chunk_hash, size_bytes, peer, node.now_s
    )
    transfer.fetches[fetch.fetch_id] = fetch
    transfer.request_counts[piece_number] = (
        transfer.request_counts.get(piece_number, 0) + 1
    )
    if piece_number in transfer.pending_pieces:
        transfer.pending_pieces.remove(piece_number)
    if peer is not None:
        peer.in_flight_count += 1
    invariants.check(
        transfer.compute_in_flight_bytes() <= MAX_IN_FLIGHT_BYTES,
        invariants.Invariant.STAGING_BOUND,
        f"{transfer.compute_in_flight_bytes()} bytes in flight",
    )
    return fetch


def _request_from_peer(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    piece_number: int,
    peer: peer_set.Peer,
) -> data.Effect:
    fetch = _add_fetch(node, transfer, piece_number, peer)
    return transfer_events.FetchFromPeer(
        fetch_id=fetch.fetch_id,
        chunk_hash=fetch.chunk_hash,
        address=peer.identity.address,
        size_bytes=fetch.size_bytes,
        deadline_s=_compute_deadline_s(transfer, peer),
    )


def _request_from_origin(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    piece_number: int,
    is_extra: bool,
) -> data.Effect:
    fetch = _add_fetch(node, transfer, piece_number, None)
    origin_policy.charge_bytes(node, transfer, fetch.size_bytes, is_extra)
    return transfer_events.FetchFromOrigin(
        fetch_id=fetch.fetch_id,
        manifest_hash=transfer.manifest_hash,
        chunk_hash=fetch.chunk_hash,
        path=transfer.pieces[piece_number].path,
        offset_bytes=transfer.pieces[piece_number].offset_bytes,
        size_bytes=fetch.size_bytes,
        stall_s=ORIGIN_STALL_TIMEOUT_S,
    )


def _request_manifest_from(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    peer: peer_set.Peer | None,
) -> data.Effect:
    if peer is not None:
        return _request_from_peer(node, transfer, transfer_state.MANIFEST_NUMBER, peer)
    fetch = _add_fetch(node, transfer, transfer_state.MANIFEST_NUMBER, None)
    return transfer_events.FetchFromOrigin(
        fetch_id=fetch.fetch_id,
        manifest_hash=transfer.manifest_hash,
        chunk_hash=fetch.chunk_hash,
        path="",
        offset_bytes=0,
        size_bytes=0,
        stall_s=ORIGIN_STALL_TIMEOUT_S,
    )
