"""Reads the configuration from the key-value service.

Only a few live entries of each zone, selected by rendezvous hashing, watch the head;
the others get the changes from them. A service that was restored to an older state is
detected here by a head below the revision in force.
"""

from toucanspread.core import data, effects, events, machine, operations, rendezvous
from toucanspread.core.agreement import change_log, config, config_gossip

WATCHERS_PER_ZONE = 2
WATCH_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 30.0  # a later answer is treated as lost
MIN_CALL_INTERVAL_S = 1.0  # limits the bytes that a watcher reads in a burst of changes
RETRY_INTERVAL_S = 2.0
SELECTION_INTERVAL_S = 2.0


class State:
    """The one call in progress, and what the service last returned.

    :ivar head: the head that was read last.
    :ivar behind_since_s: since when the service's head is below the revision in force.
    """

    def __init__(self):
        self.operation_id = data.OperationId("")
        self.sent_s = 0.0
        self.next_call_s = 0.0
        self.next_selection_s = 0.0
        self.is_watcher = True
        self.head_version = 0
        self.head = change_log.Head()
        self.behind_since_s: float | None = None


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Watch the head if this entry is one of its zone's watchers."""
    state = node.config_watch
    if node.now_s >= state.next_selection_s:
        state.next_selection_s = node.now_s + SELECTION_INTERVAL_S
        state.is_watcher = is_selected(node, change_log.HEAD_KEY, WATCHERS_PER_ZONE)
    if state.operation_id:
        if node.now_s - state.sent_s < ANSWER_TIMEOUT_S:
            return []
        state.operation_id = data.OperationId("")
    if not state.is_watcher or node.now_s < state.next_call_s:
        return []
    if node.config.forked:
        state.next_call_s = node.now_s + RETRY_INTERVAL_S
        # The service decides which history stays.
        return _read_key(node, change_log.HEAD_KEY)
    return [_watch_head(node)]


def on_kv_answered(node: machine.Node, event: events.KvAnswered) -> list:
    """Handle the answer to a watch or a read."""
    state = node.config_watch
    if event.operation_id != state.operation_id:
        return []
    state.operation_id = data.OperationId("")
    if event.status in (data.KvStatus.UNKNOWN, data.KvStatus.NOT_APPLIED):
        state.next_call_s = node.now_s + RETRY_INTERVAL_S * (0.5 + node.random.random())
        return []
    state.next_call_s = node.now_s + MIN_CALL_INTERVAL_S
    if event.key == change_log.SNAPSHOT_KEY:
        return apply_snapshot(node, event.value)
    if event.status is data.KvStatus.UNCHANGED:
        if event.version < state.head_version:
            return _read_key(node, change_log.HEAD_KEY)  # the service was restored
        return []
    return apply_head(node, event.value, event.version)


def apply_head(node: machine.Node, value: bytes, version: int) -> list:
    """Apply the changes that a head adds; an older head is refused and logged."""
    try:
        head = change_log.decode_head(value)
    except change_log.ChangeLogError as error:
        return [effects.Log("config_head_malformed", {"why": str(error)})]
    state = node.config_watch
    state.head_version = version
    state.head = head
    if head.revision < node.config.revision:
        return _on_service_behind(node, head, version)
    state.behind_since_s = None
    if head.revision == node.config.revision:
        node.config.forked = head.digest != node.config.digest
        if node.config.forked:
            return [_log_fork(node, head), *_read_key(node, change_log.SNAPSHOT_KEY)]
        return []
    return _apply_missing_changes(node, head)


def apply_snapshot(node: machine.Node, value: bytes) -> list:
    """Apply a snapshot and the changes above it, up to the head that was read."""
    try:
        stored = change_log.decode_snapshot(value)
    except change_log.ChangeLogError as error:
        return [effects.Log("config_snapshot_malformed", {"why": str(error)})]
    state = node.config
    node.config_watch.head_version = 0  # read the head again for later changes
    newest = change_log.replay_changes(stored, node.config_watch.head)
    if newest is None or newest.revision < state.revision:
        node.config_watch.next_call_s = node.now_s + RETRY_INTERVAL_S
        return []
    if newest.revision == state.revision and not state.forked:
        return []
    return config.replace_history(node, newest)  # it may be a different history


def is_selected(node: machine.Node, key: str, count: int) -> bool:
    """Return whether this entry is one of its zone's first ``count`` for ``key``."""
    candidate_ids = [node.identity.instance_id]
    for identity in config_gossip.list_others(node, data.Role.ENTRY):
        if identity.zone == node.identity.zone:
            candidate_ids.append(identity.instance_id)
    return node.identity.instance_id in rendezvous.rank(key, candidate_ids)[:count]


def _watch_head(node: machine.Node) -> data.Effect:
    state = node.config_watch
    state.operation_id = operations.new_id(node, "watch")
    state.sent_s = node.now_s
    return effects.KvWatch(
        state.operation_id, change_log.HEAD_KEY, state.head_version, WATCH_TIMEOUT_S
    )


def _apply_missing_changes(node: machine.Node, head: change_log.Head) -> list:
    """Apply the head's changes above what is in force, or read the snapshot."""
    state = node.config
    missing = [change for change in head.changes if change.revision > state.revision]
    if state.forked or len(missing) != head.revision - state.revision:
        return _read_key(node, change_log.SNAPSHOT_KEY)
    digests = _compute_digests(state, missing)
    if digests[head.revision] != head.digest:
        state.forked = True
        return [_log_fork(node, head), *_read_key(node, change_log.SNAPSHOT_KEY)]
    config.record_digests(node, digests)
    stamps = {}
    for change in missing:
        for stamp in change_log.build_stamps(change):
            stamps[stamp.service] = stamp
    return config.apply_stamps(node, head.revision, head.digest, stamps.values())


def _compute_digests(
    state: config.State, changes: list[data.Change]
) -> dict[data.Revision, str]:
    """Return the digest at each change, if they extend the history in force."""
    digest = state.digest
    digests = {}
    for change in changes:
        digest = change_log.extend_digest(digest, change)
        digests[change.revision] = digest
    return digests


def _read_key(node: machine.Node, key: str) -> list:
    state = node.config_watch
    state.operation_id = operations.new_id(node, "read")
    state.sent_s = node.now_s
    return [effects.KvRead(state.operation_id, key)]


def _on_service_behind(node: machine.Node, head: change_log.Head, version: int) -> list:
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


def _log_fork(node: machine.Node, head: change_log.Head) -> effects.Log:
    fields = {"revision": head.revision, "sender": "key-value service"}
    return effects.Log("config_fork", fields)


HANDLERS = {
    events.Tick: on_tick,
    events.KvAnswered: on_kv_answered,
}
