"""Chooses which piece to ask of whom: the rarest first, the nearest holder first."""

from toucanspread.core import data, invariants, machine
from toucanspread.core.transfers import (
    origin_policy,
    peer_set,
    transfer_events,
    transfer_state,
)

MAX_IN_FLIGHT_BYTES = 16 * 1024 * 1024
MAX_REQUESTS = 6
SCAN_LIMIT = 1024  # pieces looked at for one choice
ENDGAME_PIECES = 8
ENDGAME_FACTOR = 2.0  # of the usual answer time, then a second holder is asked
FIRST_DEADLINE_S = 20.0
MIN_DEADLINE_S = 4.0
DEADLINE_FACTOR = 8.0
ORIGIN_STALL_S = 10.0


def fill(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    """Send as many requests as the limits allow."""
    if not transfer.has_manifest or transfer.whole:
        return []
    origin_policy.update(node, transfer)
    sent: list[data.Effect] = []
    share = node.transfer.throttle.share
    while _has_room(transfer, share):
        effect = _next_request(node, transfer)
        if effect is None:
            break
        sent.append(effect)
    return sent


def fetch_manifest(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    """Ask for the manifest, once at a time."""
    if transfer_state.MANIFEST_PIECE in transfer.requested:
        return []
    neighbours = transfer.peers
    brings = origin_policy.brings_manifest(node, transfer)
    holders = [
        neighbour
        for neighbour in neighbours.by_id.values()
        if neighbour.has_manifest
        and neighbour.usable(node.now_s)
        and (brings or neighbours.is_local(neighbour))
    ]
    if holders:
        return [_ask_for_manifest(node, transfer, node.random.choice(holders))]
    if brings and origin_policy.origin_open(node, transfer):
        return [_ask_for_manifest(node, transfer, None)]
    return []


def want_manifest(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    """Read the manifest from staging, or ask for it elsewhere."""
    if node.transfer.listing or transfer.reading_manifest:
        return []
    if transfer.manifest_hash in node.transfer.held_hashes:
        return read_manifest(transfer)
    return fetch_manifest(node, transfer)


def read_manifest(transfer: transfer_state.Transfer) -> list:
    """Read the manifest, which is staged."""
    transfer.reading_manifest = True
    return [transfer_events.ReadManifest(transfer.manifest_hash)]


def end(
    node: machine.Node, transfer: transfer_state.Transfer, fetch: transfer_state.Fetch
) -> None:
    """Take a request off the books; the piece is to be asked for again if needed."""
    del transfer.fetches[fetch.fetch_id]
    left = transfer.requested[fetch.piece] - 1
    if left:
        transfer.requested[fetch.piece] = left
    else:
        del transfer.requested[fetch.piece]
    if fetch.source is not None:
        fetch.source.in_flight -= 1
    if left or fetch.piece == transfer_state.MANIFEST_PIECE:
        return
    if not transfer.have >> fetch.piece & 1:
        transfer.pending_pieces.append(fetch.piece)


def cancel_others(
    node: machine.Node, transfer: transfer_state.Transfer, piece: int
) -> list:
    """Cancel the requests for a piece that has come from elsewhere."""
    if piece not in transfer.requested:
        return []
    cancelled = [fetch for fetch in transfer.fetches.values() if fetch.piece == piece]
    for fetch in cancelled:
        end(node, transfer, fetch)
    return [transfer_events.CancelFetch(fetch.fetch_id) for fetch in cancelled]


def _has_room(transfer: transfer_state.Transfer, share: float) -> bool:
    if len(transfer.fetches) >= max(1, int(MAX_REQUESTS * share)):
        return False
    largest = max((piece.size_bytes for piece in transfer.pieces[:1]), default=0)
    return transfer.in_flight_bytes() + largest <= MAX_IN_FLIGHT_BYTES


def _next_request(
    node: machine.Node, transfer: transfer_state.Transfer
) -> data.Effect | None:
    usable = transfer.pending_pieces[-SCAN_LIMIT:]
    if origin_policy.origin_open(node, transfer):
        number = origin_policy.origin_piece(node, transfer, usable)
        if number is not None:
            return _ask_origin(node, transfer, number, spare=False)
    chosen = _choose_from_peers(node, transfer, usable)
    if chosen is not None:
        return _ask_peer(node, transfer, *chosen)
    if origin_policy.origin_open(node, transfer):
        number = origin_policy.spare_piece(node, transfer, usable)
        if number is not None:
            return _ask_origin(node, transfer, number, spare=True)
    if not transfer.pending_pieces:
        return _endgame_request(node, transfer)
    return None


def _choose_from_peers(
    node: machine.Node, transfer: transfer_state.Transfer, usable: list[int]
) -> tuple[int, peer_set.Peer] | None:
    neighbours = transfer.peers
    near = far = 0
    for neighbour in neighbours.by_id.values():
        if not neighbour.usable(node.now_s):
            continue
        if neighbours.is_local(neighbour):
            near |= neighbour.has
        else:
            far |= neighbour.has
    far &= transfer.origin.owned
    best, best_count = None, 1 << 30
    for number in usable:
        count = neighbours.counts[number]
        if count >= best_count:
            continue
        if count and near >> number & 1 or not count and far >> number & 1:
            best, best_count = number, count
    if best is None:
        return None
    source = _choose_holder(node, transfer, best, far_allowed=not best_count)
    return (best, source) if source is not None else None


def _choose_holder(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    number: int,
    far_allowed: bool,
) -> peer_set.Peer | None:
    neighbours = transfer.peers
    slow_s = neighbours.slow_limit_s()
    best, best_key = None, None
    for neighbour in neighbours.by_id.values():
        if not neighbour.has >> number & 1 or not neighbour.usable(node.now_s):
            continue
        distance = neighbours.distance(neighbour)
        if distance == 2 and not far_allowed:
            continue
        key = (
            neighbour.service_s > slow_s,
            distance,
            neighbour.in_flight,
            node.random.random(),
        )
        if best_key is None or key < best_key:
            best, best_key = neighbour, key
    return best


def _endgame_request(
    node: machine.Node, transfer: transfer_state.Transfer
) -> data.Effect | None:
    if len(transfer.fetches) > ENDGAME_PIECES:
        return None
    usual_s = _usual_s(transfer)
    for fetch in transfer.fetches.values():
        if transfer.requested[fetch.piece] > 1:
            continue
        if node.now_s - fetch.started_s < ENDGAME_FACTOR * usual_s:
            continue
        far_allowed = bool(transfer.origin.owned >> fetch.piece & 1)
        other = _choose_holder(node, transfer, fetch.piece, far_allowed)
        if other is None or other is fetch.source:
            continue
        return _ask_peer(node, transfer, fetch.piece, other)
    return None


def _usual_s(transfer: transfer_state.Transfer) -> float:
    times = [
        neighbour.service_s
        for neighbour in transfer.peers.by_id.values()
        if neighbour.service_s
    ]
    if not times:
        return FIRST_DEADLINE_S / ENDGAME_FACTOR
    return sum(times) / len(times)


def _deadline_s(transfer: transfer_state.Transfer, neighbour: peer_set.Peer) -> float:
    usual_s = max(neighbour.service_s, _usual_s(transfer))
    return min(FIRST_DEADLINE_S, max(MIN_DEADLINE_S, DEADLINE_FACTOR * usual_s))


def _begin(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    piece: int,
    source: peer_set.Peer | None,
) -> transfer_state.Fetch:
    state = node.transfer
    state.next_fetch_id += 1
    if piece == transfer_state.MANIFEST_PIECE:
        chunk_hash, size_bytes = data.ChunkHash(transfer.manifest_hash), 0
    else:
        chunk_hash = transfer.pieces[piece].chunk_hash
        size_bytes = transfer.pieces[piece].size_bytes
    fetch = transfer_state.Fetch(
        state.next_fetch_id, piece, chunk_hash, size_bytes, source, node.now_s
    )
    transfer.fetches[fetch.fetch_id] = fetch
    transfer.requested[piece] = transfer.requested.get(piece, 0) + 1
    if piece in transfer.pending_pieces:
        transfer.pending_pieces.remove(piece)
    if source is not None:
        source.in_flight += 1
    invariants.check(
        transfer.in_flight_bytes() <= MAX_IN_FLIGHT_BYTES,
        invariants.Invariant.STAGING_BOUND,
        f"{transfer.in_flight_bytes()} bytes in flight",
    )
    return fetch


def _ask_peer(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    piece: int,
    neighbour: peer_set.Peer,
) -> data.Effect:
    fetch = _begin(node, transfer, piece, neighbour)
    return transfer_events.FetchFromPeer(
        fetch_id=fetch.fetch_id,
        chunk_hash=fetch.chunk_hash,
        address=neighbour.identity.address,
        size_bytes=fetch.size_bytes,
        deadline_s=_deadline_s(transfer, neighbour),
    )


def _ask_origin(
    node: machine.Node, transfer: transfer_state.Transfer, piece: int, spare: bool
) -> data.Effect:
    fetch = _begin(node, transfer, piece, None)
    origin_policy.charge(node, transfer, fetch.size_bytes, spare)
    return transfer_events.FetchFromOrigin(
        fetch_id=fetch.fetch_id,
        manifest_hash=transfer.manifest_hash,
        chunk_hash=fetch.chunk_hash,
        path=transfer.pieces[piece].path,
        offset_bytes=transfer.pieces[piece].offset_bytes,
        size_bytes=fetch.size_bytes,
        stall_s=ORIGIN_STALL_S,
    )


def _ask_for_manifest(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    neighbour: peer_set.Peer | None,
) -> data.Effect:
    if neighbour is not None:
        return _ask_peer(node, transfer, transfer_state.MANIFEST_PIECE, neighbour)
    fetch = _begin(node, transfer, transfer_state.MANIFEST_PIECE, None)
    return transfer_events.FetchFromOrigin(
        fetch_id=fetch.fetch_id,
        manifest_hash=transfer.manifest_hash,
        chunk_hash=fetch.chunk_hash,
        path="",
        offset_bytes=0,
        size_bytes=0,
        stall_s=ORIGIN_STALL_S,
    )
