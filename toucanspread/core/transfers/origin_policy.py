"""Decides what an endpoint process takes from the origin or across regions.

Per region a few seeds, the same for all who ask the same entry, bring pieces in; each
piece belongs to the seed that rendezvous hashing ranks first for it. When a seed makes
no progress the next one in order takes its pieces over. ``origin_weight`` sets how
long the next one waits, and how many copies beyond the first may be taken to gain
time.
"""

from toucanspread.core import data, invariants, machine, rendezvous
from toucanspread.core.transfers import transfer_state

MAX_FIRST_COPIES = 4.0  # what the origin's link carries in the time wanted
MAX_EXTRA_COPIES = 2.0  # beyond the first, at weight 0
SEED_SETTLE_S = 0.4  # without a change of the seeds before the origin is asked
BASE_TAKEOVER_S = 4.0
TAKEOVER_WEIGHT_FACTOR = 2.0  # added at weight 1, in units of TAKEOVER_S
SLOW_ORIGIN_FACTOR = 4.0
REMOTE_TAKEOVER_FACTOR = 4.0  # takeover times before a far region turns to the origin
MAX_CORRUPT_FETCHES = 3
MAX_ORIGIN_REQUESTS = 2
BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0


def can_fetch_directly(node: machine.Node) -> bool:
    """Return whether this process's region fetches from the origin directly."""
    region = node.transfer.origin_region
    return not region or region == node.identity.region


def list_local_seeds(
    node: machine.Node, transfer: transfer_state.Transfer
) -> list[data.InstanceId]:
    """Return the seeds of the own region."""
    return [
        seed.instance_id
        for seed in transfer.seeds
        if seed.region == node.identity.region
    ]


def update_owned_pieces(node: machine.Node, transfer: transfer_state.Transfer) -> None:
    """Work out anew which pieces this process brings in, if anything changed."""
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
    """Return whether this process fetches the manifest itself from the origin."""
    seeds = list_local_seeds(node, transfer)
    if node.identity.instance_id not in seeds:
        return False
    stalled = [seed for seed in seeds if _is_stalled(node, transfer, seed)]
    ranking = rendezvous.rank(transfer.manifest_hash, seeds)
    return _find_owner(ranking, stalled) == node.identity.instance_id


def can_request_from_origin(
    node: machine.Node, transfer: transfer_state.Transfer
) -> bool:
    """Return whether the origin may be asked for one more piece now."""
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
    """Return a piece to take from the origin now, or None.

    :param usable: the pieces neither held nor requested.
    """
    usage = transfer.origin_usage
    holder_counts = transfer.peers.local_holder_counts
    limit_bytes = _first_copy_limit_bytes(node, transfer)
    for piece_number in unrequested:
        if not usage.owned_pieces >> piece_number & 1 or holder_counts[piece_number]:
            continue
        if usage.corrupt_counts.get(piece_number, 0) >= MAX_CORRUPT_FETCHES:
            continue
        if (
            usage.first_copy_bytes + transfer.pieces[piece_number].size_bytes
            > limit_bytes
        ):
            return None
        return piece_number
    return None


def choose_extra_piece(
    node: machine.Node, transfer: transfer_state.Transfer, unrequested: list[int]
) -> int | None:
    """Return a piece to take from the origin only to gain time, or None.

    The first copy goes before: as long as a piece is held by no one known, none is
    taken twice.
    """
    if not unrequested or not can_fetch_directly(node):
        return None
    usage = transfer.origin_usage
    piece_number = unrequested[-1]
    wanted_bytes = usage.extra_copy_bytes + transfer.pieces[piece_number].size_bytes
    if wanted_bytes > _extra_copy_limit_bytes(transfer):
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
    """Count bytes that are asked of the origin."""
    usage = transfer.origin_usage
    if is_extra:
        usage.extra_copy_bytes += size_bytes
        used_bytes, limit_bytes = (
            usage.extra_copy_bytes,
            _extra_copy_limit_bytes(transfer),
        )
    else:
        usage.first_copy_bytes += size_bytes
        used_bytes, limit_bytes = (
            usage.first_copy_bytes,
            _first_copy_limit_bytes(node, transfer),
        )
    invariants.check(
        used_bytes <= limit_bytes,
        invariants.Invariant.ORIGIN_BUDGET,
        f"{used_bytes} of {limit_bytes} bytes",
    )


def record_success(transfer: transfer_state.Transfer, took_s: float) -> None:
    """Note that the origin answered."""
    usage = transfer.origin_usage
    usage.consecutive_failures = 0
    usage.response_time_s = (
        0.8 * usage.response_time_s + 0.2 * took_s if usage.response_time_s else took_s
    )


def record_failure(node: machine.Node, transfer: transfer_state.Transfer) -> None:
    """Note that the origin refused or stalled; it is left alone for a while."""
    usage = transfer.origin_usage
    usage.consecutive_failures += 1
    backoff_s = min(BACKOFF_S * 2**usage.consecutive_failures, MAX_BACKOFF_S)
    usage.backoff_until_s = node.now_s + backoff_s * (0.5 + node.random.random())


def compute_takeover_s(node: machine.Node, transfer: transfer_state.Transfer) -> float:
    """Return how long a seed may show no progress.

    A slow origin makes everyone's progress slow, so the own requests' times count.
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


def _first_copy_limit_bytes(
    node: machine.Node, transfer: transfer_state.Transfer
) -> float:
    seeds = max(1, len(list_local_seeds(node, transfer)))
    return MAX_FIRST_COPIES * transfer.total_bytes / seeds


def _extra_copy_limit_bytes(transfer: transfer_state.Transfer) -> float:
    copies = MAX_EXTRA_COPIES * (1 - transfer.origin_weight)
    return copies * transfer.total_bytes / max(1, transfer.follower_count)
