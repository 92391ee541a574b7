"""Entry side of transfers: offers endpoint processes peers for the same version.

Each manifest is tracked by the entries that rendezvous hashing ranks first for it, so
an entry stores only the followers of its own manifests. An endpoint process becomes a
follower when it asks for peers, and is removed when it is dead or has not asked again
within ``FOLLOWER_TTL_S``.
"""

from toucanspread.core import data, effects, events, machine, rendezvous

SEEDS_PER_REGION = 4
MAX_OFFERED_PEERS = 12
FOLLOWER_TTL_S = 150.0
SWEEP_INTERVAL_S = 5.0
MAX_SWARMS = 256
MAX_FOLLOWERS_PER_SWARM = 8192


class PeersWanted(data.Message):
    """An endpoint process that fetches or holds a version asks for peers.

    :param whole: whether it holds all chunks of the version.
    """

    manifest_hash: data.ManifestHash
    whole: bool = False


class PeersOffered(data.Message):
    """The answer to :class:`PeersWanted`.

    :param seeds: per region the followers that fetch from the origin or from another
        region; the same for all processes that ask the same entry.
    :param peers: some followers of the same region, those of the same zone first.
    :param followers: the number of all followers.
    """

    manifest_hash: data.ManifestHash
    seeds: tuple[data.Identity, ...]
    peers: tuple[data.Identity, ...]
    followers: int


class Follower:
    """An endpoint process that fetches or holds a version."""

    def __init__(self, identity: data.Identity):
        self.identity = identity
        self.last_contact_s = 0.0
        self.is_whole = False


class Swarm:
    """The followers of one manifest.

    :ivar seeds: the seeds of each region, in the order of their rank.
    :ivar stale_regions: regions whose followers changed since the seeds were chosen.
    """

    def __init__(self):
        self.followers: dict[data.InstanceId, Follower] = {}
        self.seeds: dict[data.RegionName, list[data.InstanceId]] = {}
        self.stale_regions: set[data.RegionName] = set()


class State:
    """The swarms that this entry tracks, by manifest."""

    def __init__(self):
        self.swarms: dict[data.ManifestHash, Swarm] = {}
        self.next_sweep_s = 0.0


def on_message(node: machine.Node, event: events.MessageReceived) -> list:
    """Answer a request for peers, and offer changed seeds to all that they affect."""
    message = event.message
    if not isinstance(message, PeersWanted):
        return []
    swarm = _add_follower(node, event.sender, message)
    if swarm is None:
        return []
    old_seeds = dict(swarm.seeds)
    seeds = _list_seeds(swarm, message.manifest_hash)
    recipients = {event.sender.instance_id}
    if old_seeds != swarm.seeds:
        recipients |= _find_changed_seeds(old_seeds, swarm)
    return [
        _create_offer(node, swarm, message.manifest_hash, seeds, instance_id)
        for instance_id in sorted(recipients)
    ]


def on_member_changed(node: machine.Node, event: events.MemberChanged) -> list:
    """Remove a follower that is dead."""
    if event.state is not data.MemberState.DEAD:
        return []
    for swarm in node.tracker.swarms.values():
        follower = swarm.followers.get(event.identity.instance_id)
        if follower is None:
            continue
        if follower.identity.incarnation > event.identity.incarnation:
            continue
        _remove_follower(swarm, event.identity.instance_id)
    return []


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Remove followers that have not asked for peers for ``FOLLOWER_TTL_S``."""
    state = node.tracker
    if node.now_s < state.next_sweep_s:
        return []
    state.next_sweep_s = node.now_s + SWEEP_INTERVAL_S
    for manifest_hash, swarm in list(state.swarms.items()):
        for instance_id, follower in list(swarm.followers.items()):
            if node.now_s - follower.last_contact_s > FOLLOWER_TTL_S:
                _remove_follower(swarm, instance_id)
        if not swarm.followers:
            del state.swarms[manifest_hash]
    return []


def _add_follower(
    node: machine.Node, sender: data.Identity, message: PeersWanted
) -> Swarm | None:
    swarms = node.tracker.swarms
    swarm = swarms.get(message.manifest_hash)
    if swarm is None:
        if len(swarms) >= MAX_SWARMS:
            return None
        swarm = swarms[message.manifest_hash] = Swarm()
    follower = swarm.followers.get(sender.instance_id)
    if follower is None:
        if len(swarm.followers) >= MAX_FOLLOWERS_PER_SWARM:
            return None
        follower = swarm.followers[sender.instance_id] = Follower(sender)
        swarm.stale_regions.add(sender.region)
    follower.identity = sender
    follower.last_contact_s = node.now_s
    follower.is_whole = message.whole
    return swarm


def _remove_follower(swarm: Swarm, instance_id: data.InstanceId) -> None:
    follower = swarm.followers.pop(instance_id)
    swarm.stale_regions.add(follower.identity.region)


def _find_changed_seeds(
    old_seeds: dict[data.RegionName, list[data.InstanceId]], swarm: Swarm
) -> set[data.InstanceId]:
    """Return the old and new seeds of regions whose seeds changed.

    They get an offer at once, since two seeds that both consider a piece their own
    fetch it twice.
    """
    affected: set[data.InstanceId] = set()
    for region, seeds in swarm.seeds.items():
        old_region_seeds = old_seeds.get(region, [])
        if old_region_seeds != seeds:
            affected.update(seeds, old_region_seeds)
    return {instance_id for instance_id in affected if instance_id in swarm.followers}


def _create_offer(
    node: machine.Node,
    swarm: Swarm,
    manifest_hash: data.ManifestHash,
    seeds: tuple[data.Identity, ...],
    instance_id: data.InstanceId,
) -> effects.Send:
    identity = swarm.followers[instance_id].identity
    offer = PeersOffered(
        manifest_hash=manifest_hash,
        seeds=seeds,
        peers=_choose_peers(node, swarm, identity),
        followers=len(swarm.followers),
    )
    return effects.Send(identity.address, offer)


def _list_seeds(
    swarm: Swarm, manifest_hash: data.ManifestHash
) -> tuple[data.Identity, ...]:
    if swarm.stale_regions:
        _update_seeds(swarm, manifest_hash)
    identities = []
    for region in sorted(swarm.seeds):
        for instance_id in swarm.seeds[region]:
            identities.append(swarm.followers[instance_id].identity)
    return tuple(identities)


def _update_seeds(swarm: Swarm, manifest_hash: data.ManifestHash) -> None:
    by_region: dict[data.RegionName, list[data.InstanceId]] = {}
    for instance_id, follower in swarm.followers.items():
        if follower.identity.region in swarm.stale_regions:
            by_region.setdefault(follower.identity.region, []).append(instance_id)
    for region in swarm.stale_regions:
        ranked = rendezvous.rank(manifest_hash, by_region.get(region, ()))
        swarm.seeds[region] = ranked[:SEEDS_PER_REGION]
    swarm.stale_regions.clear()


def _choose_peers(
    node: machine.Node, swarm: Swarm, follower: data.Identity
) -> tuple[data.Identity, ...]:
    ids = list(swarm.followers)
    sampled = node.random.sample(ids, min(len(ids), 8 * MAX_OFFERED_PEERS))
    others = [swarm.followers[instance_id].identity for instance_id in sampled]
    same_region = [
        other
        for other in others
        if other.region == follower.region and other.instance_id != follower.instance_id
    ]
    same_region.sort(key=lambda other: other.zone != follower.zone)
    # Peers from other zones, a third at least, keep the zones of a swarm connected.
    same_zone = [other for other in same_region if other.zone == follower.zone]
    other_zones = same_region[len(same_zone) :]
    other_zone_count = min(
        len(other_zones),
        max(MAX_OFFERED_PEERS // 3, MAX_OFFERED_PEERS - len(same_zone)),
    )
    return tuple(
        same_zone[: MAX_OFFERED_PEERS - other_zone_count]
        + other_zones[:other_zone_count]
    )


HANDLERS = {
    events.MessageReceived: on_message,
    events.MemberChanged: on_member_changed,
    events.Tick: on_tick,
}
