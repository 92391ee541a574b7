"""Reads the configuration from the key-value service.

Only a few entries of each zone, chosen by rendezvous hashing over those alive, wait on
the head; the others learn from them. A service that was restored to an older state is
noticed here by a head below the revision in force.
"""

from toucanspread.core import data, effects, events, machine, operations, rendezvous
from toucanspread.core.agreement import change_log, config, config_gossip

WATCHERS_PER_ZONE = 2
WATCH_S = 20.0
WATCH_ANSWER_S = 30.0  # an answer later than this is taken as lost
PAUSE_S = 1.0  # bounds the bytes that a watcher reads in a burst of changes
RETRY_S = 2.0
CHOOSE_INTERVAL_S = 2.0


class State:
    """The one call that is waiting, and what the service last told.

    :ivar head: the head that was read last.
    :ivar behind_since_s: since when the service shows a head below what is in force.
    """

    def __init__(self):
        self.operation_id = data.OperationId("")
        self.sent_s = 0.0
        self.due_s = 0.0
        self.choose_s = 0.0
        self.is_watcher = True
        self.head_version = 0
        self.head = change_log.Head()
        self.behind_since_s: float | None = None


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Wait on the head if this entry is one of those that do."""
    state = node.config_watch
    if node.now_s >= state.choose_s:
        state.choose_s = node.now_s + CHOOSE_INTERVAL_S
        state.is_watcher = is_chosen(node, change_log.HEAD_KEY, WATCHERS_PER_ZONE)
    if state.operation_id:
        if node.now_s - state.sent_s < WATCH_ANSWER_S:
            return []
        state.operation_id = data.OperationId("")
    if not state.is_watcher or node.now_s < state.due_s:
        return []
    if node.config.forked:
        state.due_s = node.now_s + RETRY_S
        return _read(node, change_log.HEAD_KEY)  # the service decides between histories
    return [_watch(node)]


def on_kv_answered(node: machine.Node, event: events.KvAnswered) -> list:
    """Take in what the watch or a read of the snapshot brought."""
    state = node.config_watch
    if event.operation_id != state.operation_id:
        return []
    state.operation_id = data.OperationId("")
    if event.status in (data.KvStatus.UNKNOWN, data.KvStatus.NOT_APPLIED):
        state.due_s = node.now_s + RETRY_S * (0.5 + node.random.random())
        return []
    state.due_s = node.now_s + PAUSE_S
    if event.key == change_log.SNAPSHOT_KEY:
        return absorb_snapshot(node, event.value)
    if event.status is data.KvStatus.UNCHANGED:
        if event.version < state.head_version:
            return _read(node, change_log.HEAD_KEY)  # the service was restored
        return []
    return absorb_head(node, event.value, event.version)


def absorb_head(node: machine.Node, value: bytes, version: int) -> list:
    """Apply what a head adds; an older one is refused and logged."""
    try:
        head = change_log.decode_head(value)
    except change_log.HistoryError as error:
        return [effects.Log("config_head_malformed", {"why": str(error)})]
    state = node.config_watch
    state.head_version = version
    state.head = head
    if head.revision < node.config.revision:
        return _refuse(node, head, version)
    state.behind_since_s = None
    if head.revision == node.config.revision:
        node.config.forked = head.digest != node.config.digest
        if node.config.forked:
            return [_fork(node, head), *_read(node, change_log.SNAPSHOT_KEY)]
        return []
    return _catch_up(node, head)


def absorb_snapshot(node: machine.Node, value: bytes) -> list:
    """Apply a snapshot and the changes above it, up to the head that was read."""
    try:
        snap = change_log.decode_snapshot(value)
    except change_log.HistoryError as error:
        return [effects.Log("config_snapshot_malformed", {"why": str(error)})]
    state = node.config
    node.config_watch.head_version = 0  # the head is read again, for what lies above
    found = change_log.whole(snap, node.config_watch.head)
    if found is None or found.revision < state.revision:
        node.config_watch.due_s = node.now_s + RETRY_S
        return []
    if found.revision == state.revision and not state.forked:
        return []
    return config.adopt(node, found)  # it may be another history


def is_chosen(node: machine.Node, key: str, count: int) -> bool:
    """Return whether this entry is one of its zone's first for ``key``."""
    names = [node.identity.instance_id]
    for identity in config_gossip.others(node, data.Role.ENTRY):
        if identity.zone == node.identity.zone:
            names.append(identity.instance_id)
    return node.identity.instance_id in rendezvous.rank(key, names)[:count]


def _watch(node: machine.Node) -> data.Effect:
    state = node.config_watch
    state.operation_id = operations.new_id(node, "watch")
    state.sent_s = node.now_s
    return effects.KvWatch(
        state.operation_id, change_log.HEAD_KEY, state.head_version, WATCH_S
    )


def _catch_up(node: machine.Node, head: change_log.Head) -> list:
    """Apply the head's changes above what is in force, or read the snapshot."""
    state = node.config
    missing = [change for change in head.changes if change.revision > state.revision]
    if state.forked or len(missing) != head.revision - state.revision:
        return _read(node, change_log.SNAPSHOT_KEY)
    digests = _digests(state, missing)
    if digests[head.revision] != head.digest:
        state.forked = True
        return [_fork(node, head), *_read(node, change_log.SNAPSHOT_KEY)]
    config.learn_digests(node, digests)
    stamps = {}
    for change in missing:
        for stamp in change_log.stamps_of(change):
            stamps[stamp.service] = stamp
    return config.apply_stamps(node, head.revision, head.digest, stamps.values())


def _digests(
    state: config.State, changes: list[data.Change]
) -> dict[data.Revision, str]:
    """Return the digests at the changes, if they follow what is in force."""
    digest = state.digest
    found = {}
    for change in changes:
        digest = change_log.chain(digest, change)
        found[change.revision] = digest
    return found


def _read(node: machine.Node, key: str) -> list:
    state = node.config_watch
    state.operation_id = operations.new_id(node, "read")
    state.sent_s = node.now_s
    return [effects.KvRead(state.operation_id, key)]


def _refuse(node: machine.Node, head: change_log.Head, version: int) -> list:
    state = node.config_watch
    if state.behind_since_s is None:
        state.behind_since_s = node.now_s
    fields = {
        "revision": head.revision,
        "in_force": node.config.revision,
        "version": version,
    }
    return [
        effects.Log("config_service_behind", fields),
        effects.Count("config_service_behind"),
    ]


def _fork(node: machine.Node, head: change_log.Head) -> effects.Log:
    fields = {"revision": head.revision, "sender": "key-value service"}
    return effects.Log("config_fork", fields)


HANDLERS = {
    events.Tick: on_tick,
    events.KvAnswered: on_kv_answered,
}
