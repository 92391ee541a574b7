"""The configuration in force at this process; its revision never decreases.

A process at revision R has taken in every change up to R. Changes come from the
key-value service (see :mod:`watching`) or from other processes (see :mod:`spread`);
both end in :func:`apply_stamps`.
"""

from collections.abc import Iterable

from toucanspread.core import data, effects, events, history, invariants, machine

MAX_DIGESTS = 256  # a process further behind is compared by revision only


class State:
    """What is in force.

    :ivar digest: a hash over all changes up to the revision, in order.
    :ivar digests: the digests of the last revisions that this process held.
    :ivar forked: whether another process holds the same revision with other changes,
        after the key-value service lost an accepted one.
    """

    def __init__(self):
        self.revision = data.Revision(0)
        self.digest = ""
        self.digests: dict[data.Revision, str] = {data.Revision(0): ""}
        self.intents: dict[data.ServiceName, data.Intent] = {}
        self.stamps: dict[data.ServiceName, history.Stamp] = {}
        self.forked = False


def snapshot(node: machine.Node) -> history.Snapshot:
    """Return the whole configuration in force."""
    state = node.config
    return history.Snapshot(
        state.revision, state.digest, history.newer(state.stamps, data.Revision(0))
    )


def apply_change(node: machine.Node, change: data.Change, digest: str) -> list:
    """Take in the change right after the revision in force."""
    invariants.check(
        change.revision == node.config.revision + 1,
        invariants.Invariant.ONE_SUCCESSOR_PER_REVISION,
        f"{change.revision} after {node.config.revision}",
    )
    stamps = history.stamps_of(change)
    return apply_stamps(node, change.revision, digest, stamps)


def apply_stamps(
    node: machine.Node,
    revision: data.Revision,
    digest: str,
    stamps: Iterable[history.Stamp],
) -> list:
    """Take in all changes up to ``revision``.

    :param stamps: every stamp above the revision in force.
    """
    state = node.config
    before = state.revision
    invariants.check(
        revision > before,
        invariants.Invariant.REVISION_NEVER_DECREASES,
        f"{revision} after {before}",
    )
    services = []
    for stamp in stamps:
        held = state.stamps.get(stamp.service)
        if held is not None and held.revision >= stamp.revision:
            continue
        services.append(stamp.service)
        state.stamps[stamp.service] = stamp
        if stamp.intent is None:
            state.intents.pop(stamp.service, None)
        else:
            state.intents[stamp.service] = stamp.intent
    state.revision = revision
    state.digest = digest
    state.digests[revision] = digest
    if len(state.digests) > MAX_DIGESTS:
        del state.digests[min(state.digests)]
    return [
        effects.Log("config_applied", {"revision": revision, "before": before}),
        effects.Count("config_applied"),
        events.ConfigApplied(revision, tuple(services)),
    ]


def adopt(node: machine.Node, snap: history.Snapshot) -> list:
    """Replace a history that turned out to be a fork by a higher one."""
    state = node.config
    gone = [
        name
        for name in state.stamps
        if name not in {stamp.service for stamp in snap.stamps}
    ]
    state.stamps.clear()
    state.intents.clear()
    state.digests.clear()
    state.forked = False
    *rest, applied = apply_stamps(node, snap.revision, snap.digest, snap.stamps)
    services = (*applied.services, *gone)
    return [*rest, events.ConfigApplied(snap.revision, services)]


HANDLERS: dict[type, machine.Handler] = {}
