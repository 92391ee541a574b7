"""Endpoint side of transfers: makes a wanted version whole and offers it to others.

The steps are: ask the engine what its staging holds, find other endpoint processes
that move the same version, get the manifest, get the missing pieces, let the engine
confirm that all are there. Chunks are addressed by content, so whatever an earlier
version left in staging is not moved again.
"""

from toucanspread.core import (
    data,
    effects,
    events,
    fetching,
    invariants,
    machine,
    manifest,
    rendezvous,
    requesting,
    sourcing,
    swarm,
    tracking,
    transfer_state,
)

State = transfer_state.State

TRACKERS = 2
FIRST_ASK_S = 0.25
MAX_ASK_S = 10.0
WHOLE_ASK_S = 45.0
HOUSEKEEPING_S = 0.5
HELLO_INTERVAL_S = 5.0
ANNOUNCE_DELAY_S = 0.2
ANNOUNCE_PIECES = 8
LIST_RETRY_S = 1.0
NEIGHBOUR_SILENCE_S = 60.0
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
    return [*stopped, log, *_list_staging(node), *_ask_tracker(node)]


def on_cancelled(node: machine.Node, event: events.VersionCancelled) -> list:
    """Stop a transfer; what is staged stays for a version that shares it."""
    current = node.transfer.current
    if current is None or current.manifest_hash != event.manifest_hash:
        return []
    return _stop(node)


def on_staging_listed(node: machine.Node, event: fetching.StagingListed) -> list:
    """Compare what the engine holds with what is wanted."""
    state = node.transfer
    state.listing = False
    if event.chunk_hashes is None:
        state.next_list_s = node.now_s + LIST_RETRY_S
        return []
    state.held = set(event.chunk_hashes)
    transfer = state.current
    if transfer is None:
        return []
    if transfer.has_manifest:
        return _take_stock(node, transfer)
    if transfer.manifest_hash in state.held:
        return _read_manifest(transfer)
    return requesting.fetch_manifest(node, transfer)


def on_manifest_read(node: machine.Node, event: fetching.ManifestRead) -> list:
    """Lay the pieces out and start to ask for those that are missing."""
    transfer = node.transfer.current
    if transfer is None or transfer.manifest_hash != event.manifest_hash:
        return []
    transfer.reading_manifest = False
    if transfer.has_manifest:
        return []
    if event.payload is None:
        node.transfer.held.discard(data.ChunkHash(event.manifest_hash))
        return []
    try:
        described = manifest.decode(event.payload)
    except manifest.ManifestError as error:
        return _fail(transfer, str(error))
    transfer.lay_out(described)
    return [*_take_stock(node, transfer), *_greet(node, transfer)]


def on_fetch_ended(node: machine.Node, event: fetching.FetchEnded) -> list:
    """Take in a piece, or ask for it elsewhere."""
    state = node.transfer
    if event.status is fetching.FetchStatus.STAGED:
        state.held.add(event.digest)
    transfer = state.current
    if transfer is None:
        return []
    fetch = transfer.fetches.get(event.fetch_id)
    if fetch is None:
        return _take_late(node, transfer, event)
    requesting.end(node, transfer, fetch)
    if event.status is not fetching.FetchStatus.STAGED:
        return _refused(node, transfer, fetch, event)
    invariants.check(
        event.digest == fetch.chunk_hash,
        invariants.Invariant.CHUNK_VERIFIED,
        f"staged {event.digest} for {fetch.chunk_hash}",
    )
    took_s = node.now_s - fetch.started_s
    if fetch.source is None:
        sourcing.served(transfer, took_s)
    else:
        fetch.source.served(took_s)
    if fetch.piece == transfer_state.MANIFEST_PIECE:
        return _read_manifest(transfer)
    return _take_piece(node, transfer, fetch.piece)


def on_message(node: machine.Node, event: events.MessageReceived) -> list:
    """Take in what others hold and whom an entry offers as peers."""
    message = event.message
    if isinstance(message, swarm.PiecesAdded):
        return _on_pieces_added(node, event.sender, message)
    if isinstance(message, swarm.Holding):
        return _on_holding(node, event.sender, message)
    if isinstance(message, tracking.PeersOffered):
        return _on_peers_offered(node, message)
    return []


def on_member_changed(node: machine.Node, event: events.MemberChanged) -> list:
    """Forget a neighbour that died."""
    transfer = node.transfer.current
    if transfer is None or event.state is not data.MemberState.DEAD:
        return []
    neighbour = transfer.neighbours.by_id.get(event.identity.instance_id)
    if neighbour is None:
        return []
    if neighbour.identity.incarnation > event.identity.incarnation:
        return []
    return _drop(node, transfer, neighbour)


def on_serving_changed(node: machine.Node, event: events.ServingChanged) -> list:
    """Once a version is served, let go of what only earlier ones needed."""
    state = node.transfer
    transfer = state.current
    if transfer is None or not transfer.whole or transfer.version != event.version:
        return []
    manifest_chunk = data.ChunkHash(transfer.manifest_hash)
    state.serving_hashes = frozenset(transfer.index) | {manifest_chunk}
    return _delete_unneeded(node)


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Announce new pieces, and see to what is due."""
    state = node.transfer
    transfer = state.current
    if transfer is None:
        return []
    wanted: list = []
    if transfer.unannounced and node.now_s >= transfer.announce_due_s:
        wanted += _announce(transfer)
    if node.now_s >= state.next_housekeeping_s:
        state.next_housekeeping_s = node.now_s + HOUSEKEEPING_S
        wanted += _keep_house(node, transfer)
    return wanted


def _keep_house(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    state = node.transfer
    wanted: list = []
    if node.now_s >= transfer.next_ask_s:
        wanted += _ask_tracker(node)
    if not transfer.whole and 0 < state.next_list_s <= node.now_s:
        wanted += _list_staging(node)
    for neighbour in list(transfer.neighbours.by_id.values()):
        if node.now_s - neighbour.heard_s > NEIGHBOUR_SILENCE_S:
            wanted += _drop(node, transfer, neighbour)
    if transfer.whole:
        return wanted
    if not transfer.has_manifest:
        wanted += _want_manifest(node, transfer)
    wanted += requesting.fill(node, transfer)
    silent_s = node.now_s - transfer.progressed_s
    if silent_s > FAILURE_AFTER_S and not transfer.failed:
        transfer.failed = True
        why = f"no new chunk for {silent_s:.0f} s, {transfer.staged_count} held"
        wanted += _fail(transfer, why)
    return wanted


def _want_manifest(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    if node.transfer.listing or transfer.reading_manifest:
        return []
    if transfer.manifest_hash in node.transfer.held:
        return _read_manifest(transfer)
    return requesting.fetch_manifest(node, transfer)


def _stop(node: machine.Node) -> list:
    state = node.transfer
    transfer = state.current
    state.current = None
    if transfer is None:
        return []
    return [fetching.CancelFetch(fetch_id) for fetch_id in transfer.fetches]


def _list_staging(node: machine.Node) -> list:
    state = node.transfer
    state.next_list_s = 0.0
    if state.listing:
        return []
    state.listing = True
    return [fetching.ListStaging()]


def _read_manifest(transfer: transfer_state.Transfer) -> list:
    transfer.reading_manifest = True
    return [fetching.ReadManifest(transfer.manifest_hash)]


def _take_stock(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    """Count what staging holds of the version; end here if that is all."""
    held = node.transfer.held
    transfer.have = 0
    transfer.staged_count = 0
    transfer.todo = []
    for number, piece in enumerate(transfer.pieces):
        if piece.chunk_hash in held:
            transfer.add(number)
        elif number not in transfer.requested:
            transfer.todo.append(number)
    node.random.shuffle(transfer.todo)
    if transfer.staged_count == len(transfer.pieces):
        if transfer.manifest_hash in held:
            return _finish(node, transfer)
        return _missing_manifest(transfer)
    return requesting.fill(node, transfer)


def _missing_manifest(transfer: transfer_state.Transfer) -> list:
    transfer.has_manifest = False
    transfer.neighbours.counts = []
    return []


def _finish(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    transfer.whole = True
    transfer.failed = False
    transfer.next_ask_s = node.now_s
    log = effects.Log(
        "version_staged",
        {
            "version": transfer.version,
            "took_s": node.now_s - transfer.started_s,
            "origin_bytes": transfer.origin.used_bytes + transfer.origin.spare_bytes,
        },
    )
    staged = events.VersionStaged(transfer.manifest_hash, transfer.weights_hash)
    return [log, *_announce(transfer), *_delete_unneeded(node), staged]


def _fail(transfer: transfer_state.Transfer, why: str) -> list:
    fields = {"version": transfer.version, "why": why}
    failed = events.VersionFailed(transfer.manifest_hash, why)
    return [effects.Log("transfer_stuck", fields), failed]


def _take_piece(
    node: machine.Node, transfer: transfer_state.Transfer, number: int
) -> list:
    if transfer.have >> number & 1:
        return requesting.fill(node, transfer)
    transfer.add(number)
    transfer.progressed_s = node.now_s
    transfer.failed = False
    if number in transfer.todo:
        transfer.todo.remove(number)
    if not transfer.unannounced:
        transfer.announce_due_s = node.now_s + ANNOUNCE_DELAY_S
    transfer.unannounced.append(number)
    wanted = requesting.cancel_others(node, transfer, number)
    if len(transfer.unannounced) >= ANNOUNCE_PIECES:
        wanted += _announce(transfer)
    if transfer.staged_count == len(transfer.pieces):
        return [*wanted, *_list_staging(node)]
    return [*wanted, *requesting.fill(node, transfer)]


def _take_late(
    node: machine.Node, transfer: transfer_state.Transfer, event: fetching.FetchEnded
) -> list:
    """Use a chunk of a request that was given up, if its content is wanted."""
    if event.status is not fetching.FetchStatus.STAGED:
        return []
    number = transfer.index.get(event.digest)
    if number is None or transfer.whole:
        return []
    return _take_piece(node, transfer, number)


def _refused(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    fetch: transfer_state.Fetch,
    event: fetching.FetchEnded,
) -> list:
    wanted: list = [
        effects.Count("transfer_fetch_failures", 1, {"why": event.status.value})
    ]
    if event.status is fetching.FetchStatus.STAGING_FAILED:
        node.transfer.next_list_s = node.now_s + LIST_RETRY_S
        return wanted
    if fetch.source is None:
        wanted += _origin_refused(node, transfer, fetch, event)
    else:
        wanted += _peer_refused(node, transfer, fetch, event)
    return [*wanted, *requesting.fill(node, transfer)]


def _origin_refused(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    fetch: transfer_state.Fetch,
    event: fetching.FetchEnded,
) -> list:
    if event.status is not fetching.FetchStatus.CORRUPT:
        sourcing.failed(node, transfer)
        return []
    seen = transfer.origin.corrupt.get(fetch.piece, 0) + 1
    transfer.origin.corrupt[fetch.piece] = seen
    fields = {"chunk_hash": fetch.chunk_hash, "times": seen}
    log = effects.Log("origin_chunk_corrupt", fields)
    if seen < sourcing.MAX_CORRUPT:
        return [log]
    return [log, *_fail(transfer, f"the origin's chunk {fetch.chunk_hash} is corrupt")]


def _peer_refused(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    fetch: transfer_state.Fetch,
    event: fetching.FetchEnded,
) -> list:
    neighbour = fetch.source
    if event.status is fetching.FetchStatus.CORRUPT:
        neighbour.strikes += 1
        fields = {
            "peer": neighbour.identity.instance_id,
            "chunk_hash": fetch.chunk_hash,
            "strikes": neighbour.strikes,
        }
        log = effects.Log("peer_chunk_corrupt", fields)
        if neighbour.strikes < swarm.MAX_STRIKES:
            return [log]
        return [log, *_drop(node, transfer, neighbour)]
    if event.status is fetching.FetchStatus.ABSENT:
        if fetch.piece != transfer_state.MANIFEST_PIECE:
            transfer.neighbours.lacks(neighbour, fetch.piece)
        return []
    neighbour.failed(node.now_s)
    if neighbour.failures < swarm.MAX_FAILURES:
        return []
    return _drop(node, transfer, neighbour)


def _drop(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    neighbour: swarm.Neighbour,
) -> list:
    """Forget a neighbour and what was asked of it."""
    cancelled = []
    for fetch in list(transfer.fetches.values()):
        if fetch.source is not neighbour:
            continue
        requesting.end(node, transfer, fetch)
        cancelled.append(fetching.CancelFetch(fetch.fetch_id))
    known = transfer.neighbours.by_id.get(neighbour.identity.instance_id)
    if known is neighbour:
        transfer.neighbours.remove(neighbour.identity.instance_id)
    transfer.ask_interval_s = FIRST_ASK_S
    transfer.next_ask_s = min(transfer.next_ask_s, node.now_s + FIRST_ASK_S)
    return cancelled


def _announce(transfer: transfer_state.Transfer) -> list:
    if not transfer.unannounced:
        return []
    message = swarm.PiecesAdded(transfer.manifest_hash, tuple(transfer.unannounced))
    transfer.unannounced = []
    return [
        effects.Send(neighbour.identity.address, message)
        for neighbour in transfer.neighbours.by_id.values()
    ]


def _holding(transfer: transfer_state.Transfer, hello: bool) -> swarm.Holding:
    bitmap = swarm.to_bitmap(transfer.have)
    return swarm.Holding(transfer.manifest_hash, transfer.has_manifest, bitmap, hello)


def _greet(node: machine.Node, transfer: transfer_state.Transfer) -> list:
    message = _holding(transfer, hello=False)
    return [
        effects.Send(neighbour.identity.address, message)
        for neighbour in transfer.neighbours.by_id.values()
    ]


def _on_pieces_added(
    node: machine.Node, sender: data.Identity, message: swarm.PiecesAdded
) -> list:
    transfer = node.transfer.current
    if transfer is None or transfer.manifest_hash != message.manifest_hash:
        return []
    neighbour = transfer.neighbours.add(sender, node.now_s)
    if neighbour is None:
        return []
    neighbour.heard_s = node.now_s
    transfer.neighbours.add_pieces(neighbour, message.pieces, node.now_s)
    return requesting.fill(node, transfer)


def _on_holding(
    node: machine.Node, sender: data.Identity, message: swarm.Holding
) -> list:
    transfer = node.transfer.current
    if transfer is None or transfer.manifest_hash != message.manifest_hash:
        return []
    neighbour = transfer.neighbours.add(sender, node.now_s)
    if neighbour is None:
        return []
    neighbour.heard_s = node.now_s
    neighbour.has_manifest = message.has_manifest
    has = swarm.from_bitmap(message.bitmap)
    transfer.neighbours.replace_holding(neighbour, has, node.now_s)
    wanted: list = []
    if message.hello:
        answer = _holding(transfer, hello=False)
        wanted.append(effects.Send(sender.address, answer))
    if not transfer.has_manifest:
        return [*wanted, *_want_manifest(node, transfer)]
    return [*wanted, *requesting.fill(node, transfer)]


def _ask_tracker(node: machine.Node) -> list:
    transfer = node.transfer.current
    entries = [
        member.identity
        for member in node.membership.members.values()
        if member.identity.role is data.Role.ENTRY
        and member.state is data.MemberState.LIVE
    ]
    interval_s = min(MAX_ASK_S, max(FIRST_ASK_S, 2 * transfer.ask_interval_s))
    if transfer.whole:
        interval_s = WHOLE_ASK_S
    transfer.ask_interval_s = interval_s
    transfer.next_ask_s = node.now_s + interval_s * (0.75 + node.random.random() / 2)
    if not entries:
        return []
    by_id = {identity.instance_id: identity for identity in entries}
    trackers = rendezvous.rank(transfer.manifest_hash, by_id)[:TRACKERS]
    chosen = by_id[trackers[transfer.asked_tracker % len(trackers)]]
    message = tracking.PeersWanted(transfer.manifest_hash, transfer.whole)
    return [effects.Send(chosen.address, message)]


def _on_peers_offered(node: machine.Node, message: tracking.PeersOffered) -> list:
    transfer = node.transfer.current
    if transfer is None or transfer.manifest_hash != message.manifest_hash:
        return []
    if transfer.seeds != message.seeds:
        transfer.seeds = message.seeds
        transfer.seeds_changed_s = node.now_s
    transfer.followers = message.followers
    offered = list(message.peers)
    own_id = node.identity.instance_id
    if any(seed.instance_id == own_id for seed in message.seeds):
        offered = [*message.seeds, *offered]
    greeting = _holding(transfer, hello=True)
    wanted: list = []
    for identity in offered:
        known = transfer.neighbours.by_id.get(identity.instance_id)
        neighbour = transfer.neighbours.add(identity, node.now_s)
        if neighbour is None or neighbour is known:
            continue
        wanted.append(effects.Send(identity.address, greeting))
    if not transfer.has_manifest:
        return [*wanted, *_want_manifest(node, transfer)]
    return [*wanted, *requesting.fill(node, transfer)]


def _delete_unneeded(node: machine.Node) -> list:
    state = node.transfer
    transfer = state.current
    keep = state.serving_hashes | set(transfer.index)
    keep = keep | {data.ChunkHash(transfer.manifest_hash)}
    unneeded = state.held - keep
    if not unneeded:
        return []
    state.held -= unneeded
    return [fetching.DeleteChunks(tuple(sorted(unneeded)))]


HANDLERS = {
    events.VersionWanted: on_wanted,
    events.VersionCancelled: on_cancelled,
    events.MessageReceived: on_message,
    events.MemberChanged: on_member_changed,
    events.ServingChanged: on_serving_changed,
    events.Tick: on_tick,
    fetching.StagingListed: on_staging_listed,
    fetching.ManifestRead: on_manifest_read,
    fetching.FetchEnded: on_fetch_ended,
}
