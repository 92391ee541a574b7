"""Endpoint side of transfers: fetches a version completely and offers it to peers.

A transfer lists the engine's staging area, finds other endpoint processes that fetch
or hold the same version, fetches the manifest and the missing pieces, and lists the
staging area again to confirm that all chunks are there. Chunks are addressed by
content, so those that an earlier version left in staging are not fetched again.
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

MAINTENANCE_INTERVAL_S = 0.5
WHOLE_MAINTENANCE_INTERVAL_S = 5.0
LISTING_RETRY_S = 1.0
AUDIT_INTERVAL_S = 30.0  # between listings of staging, once the version is complete
PEER_SILENCE_S = 60.0
HELLO_TIMEOUT_S = 2.0  # a process whose peer set is full does not answer
STALL_TIMEOUT_S = 45.0  # without a new piece, before a failure is reported


def on_version_requested(node: machine.Node, event: events.VersionRequested) -> list:
    """Start the transfer of a version; it replaces that of any other version."""
    state = node.transfer
    current = state.current
    if current is not None and current.manifest_hash == event.manifest_hash:
        current.origin_weight = event.origin_weight
        if current.is_whole:
            current.is_whole = False
            return _list_staging(node)
        return []
    cancelled = _stop_transfer(node)
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
    return [*cancelled, log, *_list_staging(node), *peer_protocol.request_peers(node)]


def on_version_cancelled(node: machine.Node, event: events.VersionCancelled) -> list:
    """Stop a transfer; staged chunks stay for versions that share them."""
    current = node.transfer.current
    if current is None or current.manifest_hash != event.manifest_hash:
        return []
    return _stop_transfer(node)


def on_staging_listed(node: machine.Node, event: transfer_events.StagingListed) -> list:
    """Compare the staged chunks with those of the version."""
    state = node.transfer
    state.is_listing_staging = False
    if event.chunk_hashes is None:
        state.next_listing_s = node.now_s + LISTING_RETRY_S
        return []
    state.held_hashes = set(event.chunk_hashes)
    transfer = state.current
    if transfer is None:
        return []
    if transfer.has_manifest:
        return _reconcile_staging(node, transfer)
    if transfer.manifest_hash in state.held_hashes:
        return request_scheduler.read_staged_manifest(transfer)
    return request_scheduler.request_manifest(node, transfer)


def on_manifest_read(node: machine.Node, event: transfer_events.ManifestRead) -> list:
    """Decode the manifest and start to request the missing pieces."""
    transfer = node.transfer.current
    if transfer is None or transfer.manifest_hash != event.manifest_hash:
        return []
    transfer.is_reading_manifest = False
    if transfer.has_manifest:
        return []
    if event.payload is None:
        node.transfer.held_hashes.discard(data.ChunkHash(event.manifest_hash))
        return []
    try:
        described = manifest.decode(event.payload)
    except manifest.ManifestError as error:
        return _report_failure(transfer, str(error))
    transfer.apply_manifest(described)
    return [
        *_reconcile_staging(node, transfer),
        *peer_protocol.send_holding(node, transfer),
    ]


def on_fetch_ended(node: machine.Node, event: transfer_events.FetchEnded) -> list:
    """Record a staged piece, or request it from elsewhere."""
    state = node.transfer
    if event.status is transfer_events.FetchStatus.STAGED:
        state.held_hashes.add(event.digest)
    transfer = state.current
    if transfer is None:
        return []
    fetch = transfer.fetches.get(event.fetch_id)
    if fetch is None:
        return _apply_late_chunk(node, transfer, event)
    request_scheduler.remove_fetch(node, transfer, fetch)
    if event.status is not transfer_events.FetchStatus.STAGED:
        return _on_fetch_failed(node, transfer, fetch, event)
    invariants.check(
        event.digest == fetch.chunk_hash,
        invariants.Invariant.CHUNK_VERIFIED,
        f"staged {event.digest} for {fetch.chunk_hash}",
    )
    took_s = node.now_s - fetch.started_s
    if fetch.peer is None:
        origin_policy.record_success(transfer, took_s)
    else:
        fetch.peer.record_success(took_s)
    if fetch.piece_number == transfer_state.MANIFEST_NUMBER:
        return request_scheduler.read_staged_manifest(transfer)
    return _apply_staged_piece(node, transfer, fetch.piece_number)


def on_serving_changed(node: machine.Node, event: events.ServingChanged) -> list:
    """Delete the chunks that only earlier versions needed."""
    state = node.transfer
    transfer = state.current
    if transfer is None or not transfer.is_whole or transfer.version != event.version:
        return []
    manifest_chunk = data.ChunkHash(transfer.manifest_hash)
    state.serving_hashes = frozenset(transfer.piece_numbers) | {manifest_chunk}
    return _delete_unneeded(node)


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Announce new pieces, ask for peers and run maintenance when due."""
    state = node.transfer
    transfer = state.current
    outputs: list = throttle.update_rate_share(node)
    if transfer is None:
        return outputs
    if transfer.unannounced and node.now_s >= transfer.announce_due_s:
        outputs += peer_protocol.announce_pieces(transfer)
    if node.now_s >= transfer.next_tracker_request_s:
        outputs += peer_protocol.request_peers(node)
    if node.now_s >= state.next_maintenance_s:
        interval_s = (
            WHOLE_MAINTENANCE_INTERVAL_S
            if transfer.is_whole
            else MAINTENANCE_INTERVAL_S
        )
        state.next_maintenance_s = node.now_s + interval_s
        outputs += _run_maintenance(node, transfer)
    return outputs


def _run_maintenance(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    state = node.transfer
    outputs: list = []
    if not transfer.is_whole and 0 < state.next_listing_s <= node.now_s:
        outputs += _list_staging(node)
    for peer in list(transfer.peers.by_id.values()):
        timeout_s = PEER_SILENCE_S if peer.has_answered else HELLO_TIMEOUT_S
        if node.now_s - peer.last_contact_s > timeout_s:
            outputs += peer_protocol.drop_peer(node, transfer, peer)
    outputs += peer_protocol.resync_with_random_peer(node, transfer)
    if transfer.is_whole:
        return [*outputs, *_audit_staging(node, transfer)]
    if not transfer.has_manifest:
        outputs += request_scheduler.obtain_manifest(node, transfer)
    outputs += request_scheduler.issue_requests(node, transfer)
    silent_s = node.now_s - transfer.last_progress_s
    if silent_s > STALL_TIMEOUT_S and not transfer.is_failure_reported:
        transfer.is_failure_reported = True
        why = f"no new chunk for {silent_s:.0f} s, {transfer.staged_count} held"
        outputs += _report_failure(transfer, why)
    return outputs


def _audit_staging(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    """List staging again at intervals, since a restarted engine may have lost it."""
    if node.now_s < transfer.next_audit_s:
        return []
    transfer.next_audit_s = node.now_s + AUDIT_INTERVAL_S
    return _list_staging(node)


def _stop_transfer(node: machine.Node) -> list:
    state = node.transfer
    transfer = state.current
    state.current = None
    if transfer is None:
        return []
    return [transfer_events.CancelFetch(fetch_id) for fetch_id in transfer.fetches]


def _list_staging(node: machine.Node) -> list:
    state = node.transfer
    state.next_listing_s = 0.0
    if state.is_listing_staging:
        return []
    state.is_listing_staging = True
    return [transfer_events.ListStaging()]


def _reconcile_staging(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    """Recompute staged and pending pieces; complete the transfer if none is pending."""
    held_hashes = node.transfer.held_hashes
    if transfer.is_whole and _is_everything_held(transfer, held_hashes):
        return []
    transfer.is_whole = False
    transfer.staged_pieces = 0
    transfer.staged_count = 0
    transfer.pending_pieces = []
    for piece_number, piece in enumerate(transfer.pieces):
        if piece.chunk_hash in held_hashes:
            transfer.mark_staged(piece_number)
        elif piece_number not in transfer.request_counts:
            transfer.pending_pieces.append(piece_number)
    node.random.shuffle(transfer.pending_pieces)
    if transfer.staged_count == len(transfer.pieces):
        if transfer.manifest_hash in held_hashes:
            return _complete_transfer(node, transfer)
        return _discard_manifest(transfer)
    return request_scheduler.issue_requests(node, transfer)


def _is_everything_held(
    transfer: transfer_state.Transfer, held_hashes: set[data.ChunkHash]
) -> bool:
    return (
        transfer.manifest_hash in held_hashes
        and transfer.piece_numbers.keys() <= held_hashes
    )


def _discard_manifest(transfer: transfer_state.Transfer) -> list:
    """Discard the manifest that staging lacks, so that it is fetched again."""
    transfer.has_manifest = False
    transfer.peers.local_holder_counts = []
    return []


def _complete_transfer(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    transfer.is_whole = True
    transfer.is_failure_reported = False
    transfer.next_tracker_request_s = node.now_s
    transfer.next_audit_s = node.now_s + AUDIT_INTERVAL_S
    log = effects.Log(
        "version_staged",
        {
            "version": transfer.version,
            "took_s": node.now_s - transfer.started_s,
            "origin_bytes": transfer.origin_usage.owned_piece_bytes
            + transfer.origin_usage.extra_copy_bytes,
        },
    )
    staged = events.VersionStaged(transfer.manifest_hash, transfer.weights_hash)
    return [
        log,
        *peer_protocol.announce_pieces(transfer),
        *_delete_unneeded(node),
        staged,
    ]


def _report_failure(transfer: transfer_state.Transfer, why: str) -> list:
    fields = {"version": transfer.version, "why": why}
    failed = events.VersionFailed(transfer.manifest_hash, why)
    return [effects.Log("transfer_stuck", fields), failed]


def _apply_staged_piece(
    node: machine.Node, transfer: transfer_state.Transfer, piece_number: int
) -> list:
    if transfer.staged_pieces >> piece_number & 1:
        return request_scheduler.issue_requests(node, transfer)
    transfer.mark_staged(piece_number)
    transfer.last_progress_s = node.now_s
    transfer.is_failure_reported = False
    if piece_number in transfer.pending_pieces:
        transfer.pending_pieces.remove(piece_number)
    if not transfer.unannounced:
        transfer.announce_due_s = node.now_s + peer_protocol.compute_announce_delay_s(
            node, transfer
        )
    transfer.unannounced.append(piece_number)
    outputs = request_scheduler.cancel_duplicates(node, transfer, piece_number)
    if transfer.staged_count == len(transfer.pieces):
        return [*outputs, *_list_staging(node)]
    return [*outputs, *request_scheduler.issue_requests(node, transfer)]


def _apply_late_chunk(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    event: transfer_events.FetchEnded,
) -> list:
    """Record the chunk of a removed request if it belongs to the version."""
    if event.status is not transfer_events.FetchStatus.STAGED:
        return []
    piece_number = transfer.piece_numbers.get(event.digest)
    if piece_number is None or transfer.is_whole:
        return []
    return _apply_staged_piece(node, transfer, piece_number)


def _on_fetch_failed(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    fetch: transfer_state.Fetch,
    event: transfer_events.FetchEnded,
) -> list:
    outputs: list = [
        effects.Count("transfer_fetch_failures", 1, {"why": event.status.value})
    ]
    if event.status is transfer_events.FetchStatus.STAGING_FAILED:
        node.transfer.next_listing_s = node.now_s + LISTING_RETRY_S
        return outputs
    if fetch.peer is None:
        outputs += _on_origin_failed(node, transfer, fetch, event)
    else:
        outputs += _on_peer_failed(node, transfer, fetch, event)
    return [*outputs, *request_scheduler.issue_requests(node, transfer)]


def _on_origin_failed(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    fetch: transfer_state.Fetch,
    event: transfer_events.FetchEnded,
) -> list:
    if event.status is not transfer_events.FetchStatus.CORRUPT:
        origin_policy.record_failure(node, transfer)
        return []
    corrupt_count = transfer.origin_usage.corrupt_counts.get(fetch.piece_number, 0) + 1
    transfer.origin_usage.corrupt_counts[fetch.piece_number] = corrupt_count
    fields = {"chunk_hash": fetch.chunk_hash, "times": corrupt_count}
    log = effects.Log("origin_chunk_corrupt", fields)
    if corrupt_count < origin_policy.MAX_CORRUPT_FETCHES:
        return [log]
    return [
        log,
        *_report_failure(transfer, f"the origin's chunk {fetch.chunk_hash} is corrupt"),
    ]


def _on_peer_failed(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    fetch: transfer_state.Fetch,
    event: transfer_events.FetchEnded,
) -> list:
    peer = fetch.peer
    if event.status is transfer_events.FetchStatus.CORRUPT:
        peer.corrupt_chunk_count += 1
        fields = {
            "peer": peer.identity.instance_id,
            "chunk_hash": fetch.chunk_hash,
            "strikes": peer.corrupt_chunk_count,
        }
        log = effects.Log("peer_chunk_corrupt", fields)
        if peer.corrupt_chunk_count < peer_set.MAX_CORRUPT_CHUNKS:
            return [log]
        return [log, *peer_protocol.drop_peer(node, transfer, peer)]
    if event.status is transfer_events.FetchStatus.BUSY:
        peer.record_busy(node.now_s, node.random.random())
        return []
    if event.status is transfer_events.FetchStatus.ABSENT:
        if fetch.piece_number == transfer_state.MANIFEST_NUMBER:
            peer.has_manifest = False
        else:
            transfer.peers.mark_piece_absent(peer, fetch.piece_number)
        return []
    peer.record_failure(node.now_s)
    if peer.consecutive_failures < peer_set.MAX_CONSECUTIVE_FAILURES:
        return []
    return peer_protocol.drop_peer(node, transfer, peer)


def _delete_unneeded(node: machine.Node) -> list:
    state = node.transfer
    transfer = state.current
    needed = state.serving_hashes | set(transfer.piece_numbers)
    needed = needed | {data.ChunkHash(transfer.manifest_hash)}
    unneeded = state.held_hashes - needed
    if not unneeded:
        return []
    state.held_hashes -= unneeded
    return [transfer_events.DeleteChunks(tuple(sorted(unneeded)))]


HANDLERS = {
    events.VersionRequested: on_version_requested,
    events.VersionCancelled: on_version_cancelled,
    events.MessageReceived: peer_protocol.on_message,
    events.MemberChanged: peer_protocol.on_member_changed,
    events.ServingChanged: on_serving_changed,
    events.Tick: on_tick,
    admission.Released: throttle.on_released,
    transfer_events.StagingListed: on_staging_listed,
    transfer_events.ManifestRead: on_manifest_read,
    transfer_events.FetchEnded: on_fetch_ended,
}
