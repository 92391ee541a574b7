"""Entry side of transfers: tells endpoint processes of others that move a version.

Each manifest is tracked by the entries that rendezvous hashing ranks first for it, so
no entry holds more than the followers of its own manifests. An endpoint process that
asks for peers is a follower from then on, until it falls silent.
"""

from toucanspread.core import data, effects, events, machine, rendezvous

SEEDS_PER_REGION = 4
MAX_OFFERED_PEERS = 12
FOLLOWER_TTL_S = 150.0
SWEEP_INTERVAL_S = 5.0
MAX_SWARMS = 256
MAX_FOLLOWERS = 8192


class PeersWanted(data.Message):
    """An endpoint process moves, or holds, a version and asks for others.

    :param whole: whether it holds all of it.
    """

    manifest_hash: data.ManifestHash
    whole: bool = False


class PeersOffered(data.Message):
    """The answer to :class:`PeersWanted`.

    :param seeds: per region the followers that fetch from the origin or from another
        region; the same for everyone who asks the same entry.
    :param peers: some others, the nearest first.
    :param followers: how many there are in all.
    """

    manifest_hash: data.ManifestHash
    seeds: tuple[data.Identity, ...]
    peers: tuple[data.Identity, ...]
    followers: int


class Follower:
    """An endpoint process that moves or holds a version."""

    def __init__(self, identity: data.Identity):
        self.identity = identity
        self.heard_s = 0.0
        self.whole = False


class Swarm:
    """The followers of one manifest."""

    def __init__(self):
        self.followers: dict[data.InstanceId, Follower] = {}
        self.seeds: dict[data.RegionName, list[data.InstanceId]] = {}
        self.stale: set[data.RegionName] = set()


class State:
    """The manifests tracked here."""

    def __init__(self):
        self.swarms: dict[data.ManifestHash, Swarm] = {}
        self.next_sweep_s = 0.0


def on_message(node: machine.Node, event: events.MessageReceived) -> list:
    """Answer a follower."""
    message = event.message
    if not isinstance(message, PeersWanted):
        return []
    swarm = _follow(node, event.sender, message)
    if swarm is None:
        return []
    before = dict(swarm.seeds)
    seeds = _seeds(swarm, message.manifest_hash)
    told = {event.sender.instance_id}
    if before != swarm.seeds:
        told |= _changed(before, swarm)
    return [
        _offer(node, swarm, message.manifest_hash, seeds, instance_id)
        for instance_id in sorted(told)
    ]


def on_member_changed(node: machine.Node, event: events.MemberChanged) -> list:
    """Forget a follower that died."""
    if event.state is not data.MemberState.DEAD:
        return []
    for swarm in node.tracker.swarms.values():
        follower = swarm.followers.get(event.identity.instance_id)
        if follower is None:
            continue
        if follower.identity.incarnation > event.identity.incarnation:
            continue
        _forget(swarm, event.identity.instance_id)
    return []


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Forget followers that fell silent."""
    state = node.tracker
    if node.now_s < state.next_sweep_s:
        return []
    state.next_sweep_s = node.now_s + SWEEP_INTERVAL_S
    for name, swarm in list(state.swarms.items()):
        for instance_id, follower in list(swarm.followers.items()):
            if node.now_s - follower.heard_s > FOLLOWER_TTL_S:
                _forget(swarm, instance_id)
        if not swarm.followers:
            del state.swarms[name]
    return []


def _follow(
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
        if len(swarm.followers) >= MAX_FOLLOWERS:
            return None
        follower = swarm.followers[sender.instance_id] = Follower(sender)
        swarm.stale.add(sender.region)
    follower.identity = sender
    follower.heard_s = node.now_s
    follower.whole = message.whole
    return swarm


def _forget(swarm: Swarm, instance_id: data.InstanceId) -> None:
    follower = swarm.followers.pop(instance_id)
    swarm.stale.add(follower.identity.region)


def _changed(
    before: dict[data.RegionName, list[data.InstanceId]], swarm: Swarm
) -> set[data.InstanceId]:
    """Return those who were or are seeds of a region whose seeds changed.

    They are told at once, as two that both believe to own a piece fetch it twice.
    """
    told: set[data.InstanceId] = set()
    for region, seeds in swarm.seeds.items():
        old = before.get(region, [])
        if old != seeds:
            told.update(seeds, old)
    return {instance_id for instance_id in told if instance_id in swarm.followers}


def _offer(
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
        peers=_peers(node, swarm, identity),
        followers=len(swarm.followers),
    )
    return effects.Send(identity.address, offer)


def _seeds(swarm: Swarm, manifest_hash: data.ManifestHash) -> tuple[data.Identity, ...]:
    if swarm.stale:
        _rank(swarm, manifest_hash)
    chosen = []
    for region in sorted(swarm.seeds):
        for instance_id in swarm.seeds[region]:
            chosen.append(swarm.followers[instance_id].identity)
    return tuple(chosen)


def _rank(swarm: Swarm, manifest_hash: data.ManifestHash) -> None:
    by_region: dict[data.RegionName, list[data.InstanceId]] = {}
    for instance_id, follower in swarm.followers.items():
        if follower.identity.region in swarm.stale:
            by_region.setdefault(follower.identity.region, []).append(instance_id)
    for region in swarm.stale:
        ranked = rendezvous.rank(manifest_hash, by_region.get(region, ()))
        swarm.seeds[region] = ranked[:SEEDS_PER_REGION]
    swarm.stale.clear()


def _peers(
    node: machine.Node, swarm: Swarm, asker: data.Identity
) -> tuple[data.Identity, ...]:
    ids = list(swarm.followers)
    sampled = node.random.sample(ids, min(len(ids), 8 * MAX_OFFERED_PEERS))
    others = [swarm.followers[instance_id].identity for instance_id in sampled]
    near = [
        other
        for other in others
        if other.region == asker.region and other.instance_id != asker.instance_id
    ]
    near.sort(key=lambda other: other.zone != asker.zone)
    # A third from other zones keeps the zones' swarms joined.
    same = [other for other in near if other.zone == asker.zone]
    rest = near[len(same) :]
    rest_count = min(
        len(rest), max(MAX_OFFERED_PEERS // 3, MAX_OFFERED_PEERS - len(same))
    )
    return tuple(same[: MAX_OFFERED_PEERS - rest_count] + rest[:rest_count])


HANDLERS = {
    events.MessageReceived: on_message,
    events.MemberChanged: on_member_changed,
    events.Tick: on_tick,
}
