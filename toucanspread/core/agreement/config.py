"""The configuration in force at this process; its revision never decreases.

A process at revision R has applied every change up to R. Changes come from the
key-value service (see :mod:`config_watch`) or from other processes (see
:mod:`config_gossip`). Both are applied by :func:`apply_stamps` or, for a history that
replaces the one held, by :func:`replace_history`.
"""

from collections.abc import Iterable

from toucanspread.core import data, effects, events, invariants, machine
from toucanspread.core.agreement import change_log

MAX_DIGESTS = 256  # a process further behind is sent the whole configuration


class State:
    """The configuration in force.

    :ivar digest: a hash over all changes up to the revision, in order.
    :ivar digests: the digests of the last revisions that this process held.
    :ivar forked: whether another process holds the same revision with different
        changes, after the key-value service lost an accepted one.
    :ivar discarded: per service, the stamp of a replaced history that the new history
        lacks; only entries keep these.
    """

    def __init__(self):
        self.revision = data.Revision(0)
        self.digest = ""
        self.digests: dict[data.Revision, str] = {data.Revision(0): ""}
        self.intents: dict[data.ServiceName, data.Intent] = {}
        self.stamps: dict[data.ServiceName, change_log.Stamp] = {}
        self.forked = False
        self.discarded: dict[data.ServiceName, change_log.Stamp] = {}


def build_snapshot(node: machine.Node) -> change_log.Snapshot:
    """Return the whole configuration in force."""
    state = node.config
    return change_log.Snapshot(
        state.revision,
        state.digest,
        change_log.select_stamps_above(state.stamps, data.Revision(0)),
    )


def apply_change(node: machine.Node, change: data.Change, digest: str) -> list:
    """Apply the change right after the revision in force."""
    invariants.check(
        change.revision == node.config.revision + 1,
        invariants.Invariant.ONE_SUCCESSOR_PER_REVISION,
        f"{change.revision} after {node.config.revision}",
    )
    stamps = change_log.build_stamps(change)
    return apply_stamps(node, change.revision, digest, stamps)


def apply_stamps(
    node: machine.Node,
    revision: data.Revision,
    digest: str,
    stamps: Iterable[change_log.Stamp],
) -> list:
    """Apply all changes up to ``revision``.

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
        current = state.stamps.get(stamp.service)
        if current is not None and current.revision >= stamp.revision:
            continue
        services.append(stamp.service)
        state.stamps[stamp.service] = stamp
        if stamp.intent is None:
            state.intents.pop(stamp.service, None)
        else:
            state.intents[stamp.service] = stamp.intent
    state.revision = revision
    state.digest = digest
    record_digests(node, {revision: digest})
    return [
        effects.Log("config_applied", {"revision": revision, "before": before}),
        effects.Count("config_applied"),
        events.ConfigApplied(revision, tuple(services)),
    ]


def record_digests(node: machine.Node, digests: dict[data.Revision, str]) -> None:
    """Record digests of the history in force; the lowest revisions may be dropped."""
    known = node.config.digests
    for revision, digest in digests.items():
        known.setdefault(revision, digest)
    while len(known) > MAX_DIGESTS:
        del known[min(known)]


def replace_history(node: machine.Node, snapshot: change_log.Snapshot) -> list:
    """Replace the history in force by another one that is no older.

    An entry keeps the stamps that the other history lacks, and
    :func:`confirmations.on_tick` proposes them again.
    """
    state = node.config
    invariants.check(
        snapshot.revision >= state.revision,
        invariants.Invariant.REVISION_NEVER_DECREASES,
        f"{snapshot.revision} after {state.revision}",
    )
    before = state.revision
    own_stamps = dict(state.stamps)
    new_stamps = {stamp.service: stamp for stamp in snapshot.stamps}
    discarded = _find_discarded(own_stamps, new_stamps)
    if node.identity.role is data.Role.ENTRY:
        state.discarded.update(discarded)
    state.stamps = new_stamps
    state.intents = {
        stamp.service: stamp.intent
        for stamp in snapshot.stamps
        if stamp.intent is not None
    }
    state.forked = False
    state.revision = snapshot.revision
    state.digest = snapshot.digest
    state.digests = {snapshot.revision: snapshot.digest}
    changed = [
        name
        for name in {*own_stamps, *new_stamps}
        if own_stamps.get(name) != new_stamps.get(name)
    ]
    fields = {"revision": snapshot.revision, "before": before, "lost": len(discarded)}
    return [
        effects.Log("config_applied", fields),
        effects.Count("config_applied"),
        events.ConfigApplied(snapshot.revision, tuple(sorted(changed))),
    ]


def _find_discarded(
    own_stamps: dict[data.ServiceName, change_log.Stamp],
    new_stamps: dict[data.ServiceName, change_log.Stamp],
) -> dict[data.ServiceName, change_log.Stamp]:
    """Return the own stamps that the new history neither has nor has replaced."""
    discarded = {}
    for service, stamp in own_stamps.items():
        replacement = new_stamps.get(service)
        if replacement is None or replacement.revision < stamp.revision:
            discarded[service] = stamp
    return discarded


HANDLERS: dict[type, machine.Handler] = {}
