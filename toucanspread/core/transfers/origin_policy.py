"""Decides what an endpoint process takes from the origin or across regions.

Per region a few seeds, the same for all who ask the same entry, bring pieces in; each
piece belongs to the seed that rendezvous hashing ranks first for it. When a seed makes
no progress the next one in order takes its pieces over. ``origin_weight`` sets how
long the next one waits, and how many copies beyond the first may be taken to gain
time.
"""

from toucanspread.core import data, invariants, machine, rendezvous
from toucanspread.core.transfers import transfer_state

MAX_COPIES = 4.0  # what the origin's link carries in the time wanted
SPARE_COPIES = 2.0  # beyond the first, at weight 0
SETTLE_S = 0.4  # without a change of the seeds before the origin is asked
TAKEOVER_S = 4.0
TAKEOVER_WEIGHT = 2.0  # added at weight 1, in units of TAKEOVER_S
SLOW_ORIGIN_FACTOR = 4.0
FAR_PATIENCE = 4.0  # takeover times before a far region turns to the origin
MAX_CORRUPT = 3
ORIGIN_REQUESTS = 2
BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0


def is_near_origin(node: machine.Node) -> bool:
    """Return whether this process's region fetches from the origin directly."""
    region = node.transfer.origin_region
    return not region or region == node.identity.region


def local_seeds(
    node: machine.Node, transfer: transfer_state.Transfer
) -> list[data.InstanceId]:
    """Return the seeds of the own region."""
    return [
        seed.instance_id
        for seed in transfer.seeds
        if seed.region == node.identity.region
    ]


def update(node: machine.Node, transfer: transfer_state.Transfer) -> None:
    """Work out anew which pieces this process brings in, if anything changed."""
    seeds = local_seeds(node, transfer)
    stuck = [seed for seed in seeds if _is_stuck(node, transfer, seed)]
    key = (tuple(seeds), tuple(stuck), len(transfer.pieces))
    use = transfer.origin
    if key == use.order_key:
        return
    use.order_key = key
    use.owned = 0
    if node.identity.instance_id not in seeds:
        return
    if use.ranked_seeds != tuple(seeds) or len(use.rankings) != len(transfer.pieces):
        use.ranked_seeds = tuple(seeds)
        use.rankings = [
            rendezvous.rank(piece.chunk_hash, seeds) for piece in transfer.pieces
        ]
    for number, ranking in enumerate(use.rankings):
        if _owner(ranking, stuck) == node.identity.instance_id:
            use.owned |= 1 << number


def brings_manifest(node: machine.Node, transfer: transfer_state.Transfer) -> bool:
    """Return whether this process fetches the manifest itself from the origin."""
    seeds = local_seeds(node, transfer)
    if node.identity.instance_id not in seeds:
        return False
    stuck = [seed for seed in seeds if _is_stuck(node, transfer, seed)]
    ranking = rendezvous.rank(transfer.manifest_hash, seeds)
    return _owner(ranking, stuck) == node.identity.instance_id


def origin_open(node: machine.Node, transfer: transfer_state.Transfer) -> bool:
    """Return whether the origin may be asked for one more piece now."""
    if node.now_s < transfer.origin.blocked_until_s:
        return False
    if node.now_s - transfer.seeds_changed_s < SETTLE_S:
        return False
    asked = sum(fetch.source is None for fetch in transfer.fetches.values())
    if asked >= ORIGIN_REQUESTS:
        return False
    return is_near_origin(node) or not _far_alive(node, transfer)


def origin_piece(
    node: machine.Node, transfer: transfer_state.Transfer, usable: list[int]
) -> int | None:
    """Return a piece to take from the origin now, or None.

    :param usable: the pieces neither held nor requested.
    """
    use = transfer.origin
    counts = transfer.peers.counts
    limit_bytes = _owned_limit_bytes(node, transfer)
    for number in usable:
        if not use.owned >> number & 1 or counts[number]:
            continue
        if use.corrupt.get(number, 0) >= MAX_CORRUPT:
            continue
        if use.used_bytes + transfer.pieces[number].size_bytes > limit_bytes:
            return None
        return number
    return None


def spare_piece(
    node: machine.Node, transfer: transfer_state.Transfer, usable: list[int]
) -> int | None:
    """Return a piece to take from the origin only to gain time, or None.

    The first copy goes before: as long as a piece is held by no one known, none is
    taken twice.
    """
    if not usable or not is_near_origin(node):
        return None
    use = transfer.origin
    number = usable[-1]
    wanted_bytes = use.spare_bytes + transfer.pieces[number].size_bytes
    if wanted_bytes > _spare_limit_bytes(transfer):
        return None
    if not all(transfer.peers.counts[other] for other in usable):
        return None
    return number


def charge(
    node: machine.Node, transfer: transfer_state.Transfer, size_bytes: int, spare: bool
) -> None:
    """Count bytes that are asked of the origin."""
    use = transfer.origin
    if spare:
        use.spare_bytes += size_bytes
        used_bytes, limit_bytes = use.spare_bytes, _spare_limit_bytes(transfer)
    else:
        use.used_bytes += size_bytes
        used_bytes, limit_bytes = use.used_bytes, _owned_limit_bytes(node, transfer)
    invariants.check(
        used_bytes <= limit_bytes,
        invariants.Invariant.ORIGIN_BUDGET,
        f"{used_bytes} of {limit_bytes} bytes",
    )


def served(transfer: transfer_state.Transfer, took_s: float) -> None:
    """Note that the origin answered."""
    use = transfer.origin
    use.failures = 0
    use.service_s = 0.8 * use.service_s + 0.2 * took_s if use.service_s else took_s


def failed(node: machine.Node, transfer: transfer_state.Transfer) -> None:
    """Note that the origin refused or stalled; it is left alone for a while."""
    use = transfer.origin
    use.failures += 1
    backoff_s = min(BACKOFF_S * 2**use.failures, MAX_BACKOFF_S)
    use.blocked_until_s = node.now_s + backoff_s * (0.5 + node.random.random())


def takeover_s(node: machine.Node, transfer: transfer_state.Transfer) -> float:
    """Return how long a seed may show no progress.

    A slow origin makes everyone's progress slow, so the own requests' times count.
    """
    base_s = TAKEOVER_S * (1 + TAKEOVER_WEIGHT * transfer.origin_weight)
    slowest_s = transfer.origin.service_s
    for fetch in transfer.fetches.values():
        if fetch.source is None:
            slowest_s = max(slowest_s, node.now_s - fetch.started_s)
    return max(base_s, SLOW_ORIGIN_FACTOR * slowest_s)


def _owner(
    ranking: list[data.InstanceId], stuck: list[data.InstanceId]
) -> data.InstanceId | None:
    for instance_id in ranking:
        if instance_id not in stuck:
            return instance_id
    return None


def _is_stuck(
    node: machine.Node,
    transfer: transfer_state.Transfer,
    seed: data.InstanceId,
) -> bool:
    if seed == node.identity.instance_id:
        return False
    neighbour = transfer.peers.by_id.get(seed)
    if neighbour is None:
        return True
    patience_s = takeover_s(node, transfer)
    return node.now_s - neighbour.progressed_s > patience_s


def _far_alive(node: machine.Node, transfer: transfer_state.Transfer) -> bool:
    patience_s = FAR_PATIENCE * takeover_s(node, transfer)
    for neighbour in transfer.peers.by_id.values():
        if transfer.peers.is_local(neighbour):
            continue
        if node.now_s - neighbour.progressed_s < patience_s:
            return True
        if neighbour.has & ~transfer.have:
            return True
    return node.now_s - transfer.started_s < patience_s


def _owned_limit_bytes(node: machine.Node, transfer: transfer_state.Transfer) -> float:
    seeds = max(1, len(local_seeds(node, transfer)))
    return MAX_COPIES * transfer.total_bytes / seeds


def _spare_limit_bytes(transfer: transfer_state.Transfer) -> float:
    copies = SPARE_COPIES * (1 - transfer.origin_weight)
    return copies * transfer.total_bytes / max(1, transfer.followers)
