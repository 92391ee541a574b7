"""Endpoint side of transfers: makes a wanted version whole and offers it to others.

The steps are: ask the engine what its staging holds, find other endpoint processes
that move the same version, get the manifest, get the missing pieces, let the engine
confirm that all are there. Chunks are addressed by content, so whatever an earlier
version left in staging is not moved again.
"""

from toucanspread.core import data, effects, events, invariants, machine
from toucanspread.core.gate import admission
from toucanspread.core.transfers import (
    manifest,
    origin_policy,
    peer_protocol,
    peer_set,
    request_scheduler,
    throttle,
    transfer_events,
    transfer_state,
)

State = transfer_state.State

HOUSEKEEPING_S = 0.5
WHOLE_HOUSEKEEPING_S = 5.0
LIST_RETRY_S = 1.0
AUDIT_INTERVAL_S = 30.0  # of the staging of a whole version
NEIGHBOUR_SILENCE_S = 60.0
ANSWER_TIMEOUT_S = 2.0  # of a greeting; a full neighbour gives none
FAILURE_AFTER_S = 45.0  # without a new piece


def on_wanted(node: machine.Node, event: events.VersionWanted) -> list:
    """Start to make a version whole, in place of any other."""
    state = node.transfer
    current = state.current
    if current is not None and current.manifest_hash == event.manifest_hash:
        current.origin_weight = event.origin_weight
        if current.whole:
            current.whole = False
            return _list_staging(node)
        return []
    stopped = _stop(node)
    state.current = transfer_state.Transfer(
        node.identity,
        node.now_s,
        model=event.model,
        version=event.version,
        manifest_hash=event.manifest_hash,
        origin_weight=event.origin_weight,
    )
    log = effects.Log(
        "transfer_started",
        {"version": event.version, "manifest_hash": event.manifest_hash},
    )
    return [*stopped, log, *_list_staging(node), *peer_protocol.ask_tracker(node)]


def on_cancelled(node: machine.Node, event: events.VersionCancelled) -> list:
    """Stop a transfer; what is staged stays for a version that shares it."""
    current = node.transfer.current
    if current is None or current.manifest_hash != event.manifest_hash:
        return []
    return _stop(node)


def on_staging_listed(node: machine.Node, event: transfer_events.StagingListed) -> list:
    """Compare what the engine holds with what is wanted."""
    state = node.transfer
    state.listing = False
    if event.chunk_hashes is None:
        state.next_list_s = node.now_s + LIST_RETRY_S
        return []
    state.held_hashes = set(event.chunk_hashes)
    transfer = state.current
    if transfer is None:
        return []
    if transfer.has_manifest:
        return _take_stock(node, transfer)
    if transfer.manifest_hash in state.held_hashes:
        return request_scheduler.read_manifest(transfer)
    return request_scheduler.fetch_manifest(node, transfer)


def on_manifest_read(node: machine.Node, event: transfer_events.ManifestRead) -> list:
    """Lay the pieces out and start to ask for those that are missing."""
    transfer = node.transfer.current
    if transfer is None or transfer.manifest_hash != event.manifest_hash:
        return []
    transfer.reading_manifest = False
    if transfer.has_manifest:
        return []
    if event.payload is None:
        node.transfer.held_hashes.discard(data.ChunkHash(event.manifest_hash))
        return []
    try:
        described = manifest.decode(event.payload)
    except manifest.ManifestError as error:
        return _fail(transfer, str(error))
    transfer.apply_manifest(described)
    return [*_take_stock(node, transfer), *peer_protocol.greet(node, transfer)]


def on_fetch_ended(node: machine.Node, event: transfer_events.FetchEnded) -> list:
    """Take in a piece, or ask for it elsewhere."""
    state = node.transfer
    if event.status is transfer_events.FetchStatus.STAGED:
        state.held_hashes.add(event.digest)
    transfer = state.current
    if transfer is None:
        return []
    fetch = transfer.fetches.get(event.fetch_id)
    if fetch is None:
        return _take_late(node, transfer, event)
    request_scheduler.end(node, transfer, fetch)
    if event.status is not transfer_events.FetchStatus.STAGED:
        return _refused(node, transfer, fetch, event)
    invariants.check(
        event.digest == fetch.chunk_hash,
        invariants.Invariant.CHUNK_VERIFIED,
        f"staged {event.digest} for {fetch.chunk_hash}",
    )
    took_s = node.now_s - fetch.started_s
    if fetch.source is None:
        origin_policy.served(transfer, took_s)
    else:
        fetch.source.served(took_s)
    if fetch.piece == transfer_state.MANIFEST_PIECE:
        return request_scheduler.read_manifest(transfer)
    return _take_piece(node, transfer, fetch.piece)


def on_serving_changed(node: machine.Node, event: events.ServingChanged) -> list:
    """Once a version is served, let go of what only earlier ones needed."""
    state = node.transfer
    transfer = state.current
    if transfer is None or not transfer.whole or transfer.version != event.version:
        return []
    manifest_chunk = data.ChunkHash(transfer.manifest_hash)
    state.serving_hashes = frozenset(transfer.piece_numbers) | {manifest_chunk}
    return _delete_unneeded(node)


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Announce new pieces, and see to what is due."""
    state = node.transfer
    transfer = state.current
    wanted: list = throttle.update(node)
    if transfer is None:
        return wanted
    if transfer.unannounced and node.now_s >= transfer.announce_due_s:
        wanted += peer_protocol.announce(transfer)
    if node.now_s >= transfer.next_ask_s:
        wanted += peer_protocol.ask_tracker(node)
    if node.now_s >= state.next_housekeeping_s:
        pause_s = WHOLE_HOUSEKEEPING_S if transfer.whole else HOUSEKEEPING_S
        state.next_housekeeping_s = node.now_s + pause_s
        wanted += _keep_house(node, transfer)
    return wanted


def _keep_house(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    state = node.transfer
    wanted: list = []
    if not transfer.whole and 0 < state.next_list_s <= node.now_s:
        wanted += _list_staging(node)
    for neighbour in list(transfer.peers.by_id.values()):
        patience_s = NEIGHBOUR_SILENCE_S if neighbour.answered else ANSWER_TIMEOUT_S
        if node.now_s - neighbour.heard_s > patience_s:
            wanted += peer_protocol.drop(node, transfer, neighbour)
    wanted += peer_protocol.resync(node, transfer)
    if transfer.whole:
        return [*wanted, *_check_whole(node, transfer)]
    if not transfer.has_manifest:
        wanted += request_scheduler.want_manifest(node, transfer)
    wanted += request_scheduler.fill(node, transfer)
    silent_s = node.now_s - transfer.progressed_s
    if silent_s > FAILURE_AFTER_S and not transfer.failed:
        transfer.failed = True
        why = f"no new chunk for {silent_s:.0f} s, {transfer.staged_count} held"
        wanted += _fail(transfer, why)
    return wanted


def _check_whole(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    """Look now and then whether the engine still holds all, as it may restart."""
    if node.now_s < transfer.next_audit_s:
        return []
    transfer.next_audit_s = node.now_s + AUDIT_INTERVAL_S
    return _list_staging(node)


def _stop(node: machine.Node) -> list:
    state = node.transfer
    transfer = state.current
    state.current = None
    if transfer is None:
        return []
    return [transfer_events.CancelFetch(fetch_id) for fetch_id in transfer.fetches]


def _list_staging(node: machine.Node) -> list:
    state = node.transfer
    state.next_list_s = 0.0
    if state.listing:
        return []
    state.listing = True
    return [transfer_events.ListStaging()]


def _take_stock(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    """Count what staging holds of the version; end here if that is all."""
    held = node.transfer.held_hashes
    if transfer.whole and _holds_everything(transfer, held):
        return []
    transfer.whole = False
    transfer.have = 0
    transfer.staged_count = 0
    transfer.pending_pieces = []
    for number, piece in enumerate(transfer.pieces):
        if piece.chunk_hash in held:
            transfer.add(number)
        elif number not in transfer.requested:
            transfer.pending_pieces.append(number)
    node.random.shuffle(transfer.pending_pieces)
    if transfer.staged_count == len(transfer.pieces):
        if transfer.manifest_hash in held:
            return _finish(node, transfer)
        return _missing_manifest(transfer)
    return request_scheduler.fill(node, transfer)


def _holds_everything(
    transfer: transfer_state.Transfer, held: set[data.ChunkHash]
) -> bool:
    return transfer.manifest_hash in held and transfer.piece_numbers.keys() <= held


def _missing_manifest(transfer: transfer_state.Transfer) -> list:
    transfer.has_manifest = False
    transfer.peers.counts = []
    return []


def _finish(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    transfer.whole = True
    transfer.failed = False
    transfer.next_ask_s = node.now_s
    transfer.next_audit_s = node.now_s + AUDIT_INTERVAL_S
    log = effects.Log(
        "version_staged",
        {
            "version": transfer.version,
            "took_s": node.now_s - transfer.started_s,
            "origin_bytes": transfer.origin.used_bytes + transfer.origin.spare_bytes,
        },
    )
    staged = events.VersionStaged(transfer.manifest_hash, transfer.weights_hash)
    return [log, *peer_protocol.announce(transfer), *_delete_unneeded(node), staged]


def _fail(transfer: transfer_state.Transfer, why: str) -> list:
    fields = {"version": transfer.version, "why": why}
    failed = events.VersionFailed(transfer.manifest_hash, why)
    return [effects.Log("transfer_stuck", fields), failed]


def _take_piece(
    node: machine.Node, transfer: transfer_state.Transfer, number: int
) -> list:
    if transfer.have >> number & 1:
        return request_scheduler.fill(node, transfer)
    transfer.add(number)
    transfer.progressed_s = node.now_s
    transfer.failed = False
    if number in transfer.pending_pieces:
        transfer.pending_pieces.remove(number)
    if not transfer.unannounced:
        transfer.announce_due_s = node.now_s + peer_protocol.announce_delay_s(
            node, transfer
        )
    transfer.unannounced.append(number)
    wanted = request_scheduler.cancel_others(node, transfer, number)
    if transfer.staged_count == len(transfer.pieces):
        return [*wanted, *_list_staging(node)]
    return [*wanted, *request_scheduler.fill(node, transfer)]


def _take_late(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    event: transfer_events.FetchEnded,
) -> list:
    """Use a chunk of a request that was given up, if its content is wanted."""
    if event.status is not transfer_events.FetchStatus.STAGED:
        return []
    number = transfer.piece_numbers.get(event.digest)
    if number is None or transfer.whole:
        return []
    return _take_piece(node, transfer, number)


def _refused(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    fetch: transfer_state.Fetch,
    event: transfer_events.FetchEnded,
) -> list:
    wanted: list = [
        effects.Count("transfer_fetch_failures", 1, {"why": event.status.value})
    ]
    if event.status is transfer_events.FetchStatus.STAGING_FAILED:
        node.transfer.next_list_s = node.now_s + LIST_RETRY_S
        return wanted
    if fetch.source is None:
        wanted += _origin_refused(node, transfer, fetch, event)
    else:
        wanted += _peer_refused(node, transfer, fetch, event)
    return [*wanted, *request_scheduler.fill(node, transfer)]


def _origin_refused(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    fetch: transfer_state.Fetch,
    event: transfer_events.FetchEnded,
) -> list:
    if event.status is not transfer_events.FetchStatus.CORRUPT:
        origin_policy.failed(node, transfer)
        return []
    seen = transfer.origin.corrupt.get(fetch.piece, 0) + 1
    transfer.origin.corrupt[fetch.piece] = seen
    fields = {"chunk_hash": fetch.chunk_hash, "times": seen}
    log = effects.Log("origin_chunk_corrupt", fields)
    if seen < origin_policy.MAX_CORRUPT:
        return [log]
    return [log, *_fail(transfer, f"the origin's chunk {fetch.chunk_hash} is corrupt")]


def _peer_refused(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    fetch: transfer_state.Fetch,
    event: transfer_events.FetchEnded,
) -> list:
    neighbour = fetch.source
    if event.status is transfer_events.FetchStatus.CORRUPT:
        neighbour.strikes += 1
        fields = {
            "peer": neighbour.identity.instance_id,
            "chunk_hash": fetch.chunk_hash,
            "strikes": neighbour.strikes,
        }
        log = effects.Log("peer_chunk_corrupt", fields)
        if neighbour.strikes < peer_set.MAX_STRIKES:
            return [log]
        return [log, *peer_protocol.drop(node, transfer, neighbour)]
    if event.status is transfer_events.FetchStatus.BUSY:
        neighbour.refused(node.now_s, node.random.random())
        return []
    if event.status is transfer_events.FetchStatus.ABSENT:
        if fetch.piece == transfer_state.MANIFEST_PIECE:
            neighbour.has_manifest = False
        else:
            transfer.peers.lacks(neighbour, fetch.piece)
        return []
    neighbour.failed(node.now_s)
    if neighbour.failures < peer_set.MAX_FAILURES:
        return []
    return peer_protocol.drop(node, transfer, neighbour)


def _delete_unneeded(node: machine.Node) -> list:
    state = node.transfer
    transfer = state.current
    keep = state.serving_hashes | set(transfer.piece_numbers)
    keep = keep | {data.ChunkHash(transfer.manifest_hash)}
    unneeded = state.held_hashes - keep
    if not unneeded:
        return []
    state.held_hashes -= unneeded
    return [transfer_events.DeleteChunks(tuple(sorted(unneeded)))]


HANDLERS = {
    events.VersionWanted: on_wanted,
    events.VersionCancelled: on_cancelled,
    events.MessageReceived: peer_protocol.on_message,
    events.MemberChanged: peer_protocol.on_member_changed,
    events.ServingChanged: on_serving_changed,
    events.Tick: on_tick,
    admission.Released: throttle.on_released,
    transfer_events.StagingListed: on_staging_listed,
    transfer_events.ManifestRead: on_manifest_read,
    transfer_events.FetchEnded: on_fetch_ended,
}
