"""Decides which pieces an endpoint process fetches from the origin or across regions.

In each region a few seeds bring the pieces in; they are the same for all processes that
ask the same entry. Each piece is owned by the seed that rendezvous hashing ranks first
for it. When a seed makes no progress, the next seed in order takes over its pieces.
``origin_weight`` sets how long the next seed waits, and how many extra copies may be
fetched to save time.
"""

from toucanspread.core import data, invariants, machine, rendezvous
from toucanspread.core.transfers import transfer_state

MAX_OWNED_COPIES = 4.0  # per region; the origin's link carries these in the target time
MAX_EXTRA_COPIES = 2.0  # of all processes together, at origin weight 0
SEED_SETTLE_S = 0.4  # without a change of seeds, before requests to the origin
BASE_TAKEOVER_S = 4.0
TAKEOVER_WEIGHT_FACTOR = 2.0  # multiple of the base time added at origin weight 1
SLOW_ORIGIN_FACTOR = 4.0  # takeover takes at least this many times the slowest request
# Other regions ask the origin after this many takeover times without progress.
REMOTE_TAKEOVER_FACTOR = 4.0
MAX_CORRUPT_FETCHES = 3
MAX_ORIGIN_REQUESTS = 2
BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0


def can_fetch_directly(node: machine.Node) -> bool:
    """Return whether this process's region is the origin's, or as close to it."""
    region = node.transfer.origin_region
    return not region or region == node.identity.region


def list_local_seeds(
    node: machine.Node, transfer: transfer_state.Transfer
) -> list[data.InstanceId]:
    """Return the seeds of this process's region."""
    return [
        seed.instance_id
        for seed in transfer.seeds
        if seed.region == node.identity.region
    ]


def update_owned_pieces(node: machine.Node, transfer: transfer_state.Transfer) -> None:
    """Recompute which pieces this process owns, if seeds or pieces changed."""
    seeds = list_local_seeds(node, transfer)
    stalled = [seed for seed in seeds if _is_stalled(node, transfer, seed)]
    key = (tuple(seeds), tuple(stalled), len(transfer.pieces))
    usage = transfer.origin_usage
    if key == usage.ownership_key:
        return
    usage.ownership_key = key
    usage.owned_pieces = 0
    if node.identity.instance_id not in seeds:
        return
    if usage.ranked_seeds != tuple(seeds) or len(usage.seed_rankings) != len(
        transfer.pieces
    ):
        usage.ranked_seeds = tuple(seeds)
        usage.seed_rankings = [
            rendezvous.rank(piece.chunk_hash, seeds) for piece in transfer.pieces
        ]
    for piece_number, ranking in enumerate(usage.seed_rankings):
        if _find_owner(ranking, stalled) == node.identity.instance_id:
            usage.owned_pieces |= 1 << piece_number


def is_manifest_owner(node: machine.Node, transfer: transfer_state.Transfer) -> bool:
    """Return whether this process brings the manifest into its region."""
    seeds = list_local_seeds(node, transfer)
    if node.identity.instance_id not in seeds:
        return False
    stalled = [seed for seed in seeds if _is_stalled(node, transfer, seed)]
    ranking = rendezvous.rank(transfer.manifest_hash, seeds)
    return _find_owner(ranking, stalled) == node.identity.instance_id


def can_request_from_origin(
    node: machine.Node, transfer: transfer_state.Transfer
) -> bool:
    """Return whether one more request may be sent to the origin now."""
    if node.now_s < transfer.origin_usage.backoff_until_s:
        return False
    if node.now_s - transfer.seeds_changed_s < SEED_SETTLE_S:
        return False
    in_flight_count = sum(fetch.peer is None for fetch in transfer.fetches.values())
    if in_flight_count >= MAX_ORIGIN_REQUESTS:
        return False
    return can_fetch_directly(node) or not _has_active_remote_peer(node, transfer)


def choose_owned_piece(
    node: machine.Node, transfer: transfer_state.Transfer, unrequested: list[int]
) -> int | None:
    """Return an owned piece to fetch from the origin now, or None.

    :param unrequested: numbers of the pieces neither staged nor requested.
    """
    usage = transfer.origin_usage
    holder_counts = transfer.peers.local_holder_counts
    limit_bytes = _compute_owned_piece_limit_bytes(node, transfer)
    for piece_number in unrequested:
        if not usage.owned_pieces >> piece_number & 1 or holder_counts[piece_number]:
            continue
        if usage.corrupt_counts.get(piece_number, 0) >= MAX_CORRUPT_FETCHES:
            continue
        if (
            usage.owned_piece_bytes + transfer.pieces[piece_number].size_bytes
            > limit_bytes
        ):
            return None
        return piece_number
    return None


def choose_extra_piece(
    node: machine.Node, transfer: transfer_state.Transfer, unrequested: list[int]
) -> int | None:
    """Return a piece of which to fetch an extra copy to save time, or None.

    First copies take precedence: no extra copy is fetched while there is a piece that
    no known peer of the region holds.

    :param unrequested: numbers of the pieces neither staged nor requested.
    """
    if not unrequested or not can_fetch_directly(node):
        return None
    usage = transfer.origin_usage
    piece_number = unrequested[-1]
    wanted_bytes = usage.extra_copy_bytes + transfer.pieces[piece_number].size_bytes
    if wanted_bytes > _compute_extra_copy_limit_bytes(transfer):
        return None
    if not all(transfer.peers.local_holder_counts[other] for other in unrequested):
        return None
    return piece_number


def charge_bytes(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    size_bytes: int,
    is_extra: bool,
) -> None:
    """Charge a request to the budget of bytes from the origin.

    :param is_extra: whether the request is for an extra copy.
    """
    usage = transfer.origin_usage
    if is_extra:
        usage.extra_copy_bytes += size_bytes
        used_bytes, limit_bytes = (
            usage.extra_copy_bytes,
            _compute_extra_copy_limit_bytes(transfer),
        )
    else:
        usage.owned_piece_bytes += size_bytes
        used_bytes, limit_bytes = (
            usage.owned_piece_bytes,
            _compute_owned_piece_limit_bytes(node, transfer),
        )
    invariants.check(
        used_bytes <= limit_bytes,
        invariants.Invariant.ORIGIN_BUDGET,
        f"{used_bytes} of {limit_bytes} bytes",
    )


def record_success(transfer: transfer_state.Transfer, took_s: float) -> None:
    """Record a verified response of the origin."""
    usage = transfer.origin_usage
    usage.consecutive_failures = 0
    usage.response_time_s = (
        0.8 * usage.response_time_s + 0.2 * took_s if usage.response_time_s else took_s
    )


def record_failure(node: machine.Node, transfer: transfer_state.Transfer) -> None:
    """Record that the origin refused or stalled, and back off exponentially."""
    usage = transfer.origin_usage
    usage.consecutive_failures += 1
    backoff_s = min(BACKOFF_S * 2**usage.consecutive_failures, MAX_BACKOFF_S)
    usage.backoff_until_s = node.now_s + backoff_s * (0.5 + node.random.random())


def compute_takeover_s(node: machine.Node, transfer: transfer_state.Transfer) -> float:
    """Return for how long a seed may show no progress before the next takes over.

    The time grows with the duration of this process's own requests to the origin, since
    a slow origin slows all seeds.
    """
    base_s = BASE_TAKEOVER_S * (1 + TAKEOVER_WEIGHT_FACTOR * transfer.origin_weight)
    slowest_s = transfer.origin_usage.response_time_s
    for fetch in transfer.fetches.values():
        if fetch.peer is None:
            slowest_s = max(slowest_s, node.now_s - fetch.started_s)
    return max(base_s, SLOW_ORIGIN_FACTOR * slowest_s)


def _find_owner(
    ranking: list[data.InstanceId], stalled: list[data.InstanceId]
) -> data.InstanceId | None:
    for instance_id in ranking:
        if instance_id not in stalled:
            return instance_id
    return None


def _is_stalled(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    seed: data.InstanceId,
) -> bool:
    if seed == node.identity.instance_id:
        return False
    peer = transfer.peers.by_id.get(seed)
    if peer is None:
        return True
    takeover_s = compute_takeover_s(node, transfer)
    return node.now_s - peer.last_progress_s > takeover_s


def _has_active_remote_peer(
    node: machine.Node, transfer: transfer_state.Transfer
) -> bool:
    timeout_s = REMOTE_TAKEOVER_FACTOR * compute_takeover_s(node, transfer)
    for peer in transfer.peers.by_id.values():
        if transfer.peers.is_same_region(peer):
            continue
        if node.now_s - peer.last_progress_s < timeout_s:
            return True
        if peer.held_pieces & ~transfer.staged_pieces:
            return True
    return node.now_s - transfer.started_s < timeout_s


def _compute_owned_piece_limit_bytes(
    node: machine.Node, transfer: transfer_state.Transfer
) -> float:
    seeds = max(1, len(list_local_seeds(node, transfer)))
    return MAX_OWNED_COPIES * transfer.total_bytes / seeds


def _compute_extra_copy_limit_bytes(transfer: transfer_state.Transfer) -> float:
    copies = MAX_EXTRA_COPIES * (1 - transfer.origin_weight)
    return copies * transfer.total_bytes / max(1, transfer.follower_count)
