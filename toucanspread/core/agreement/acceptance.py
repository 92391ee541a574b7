"""Accepts one change through the head key, or proves that it was not accepted.

The head is read, the change is checked against it, and the head with one more change
is written by compare-and-swap. When the answer to a write is lost, the head is read
back: the change at the expected revision shows whose write took effect. The same write
is repeated only if the head still has the version that the unanswered write expected,
because then at most one of the two can take effect.

A service whose head is older than the configuration in force here was restored to an
older state. This process first writes its configuration back by compare-and-swap, and
only then is anything accepted.
"""

import enum

from toucanspread.core import data, effects, events, invariants, machine, operations
from toucanspread.core.agreement import change_log, config, config_watch

TIMEOUT_S = 4.0
MAX_ROUNDS = 30
MAX_BACKOFF_S = 0.5
REPAIR_DELAY_S = 4.0  # other processes may deliver a higher revision first


class Phase(enum.Enum):
    """What an acceptance waits for."""

    READ_HEAD = "read head"
    BACK_OFF = "back off"
    CATCH_UP = "catch up"
    READ_SNAPSHOT = "read snapshot"
    WRITE_SNAPSHOT = "write snapshot"
    WRITE_HEAD = "write head"
    DECIDE = "decide"
    OVER = "over"


class Result(enum.Enum):
    """How an acceptance ended."""

    ACCEPTED = "accepted"
    NOT_ACCEPTED = "not accepted"
    UNKNOWN = "unknown"


class UnresolvedWrite:
    """A write of the head whose answer was lost; it may still take effect.

    :param version: the version of the key that the write expects.
    """

    def __init__(self, version: int, change: data.Change, new_head: change_log.Head):
        self.version = version
        self.change = change
        self.new_head = new_head


class Acceptance:
    """One attempt to have a proposal accepted, or to repair a restored service.

    :param plan_id: the plan id of the proposal; empty to repair only.
    :ivar change: the change that is being written; None during a repair.
    :ivar revision: the revision at which the proposal was accepted.

    In phase ``DECIDE`` the process holds the same revision as the service. The caller
    then checks the proposal and calls :func:`write_change` or :func:`finish`.
    """

    def __init__(self, node: machine.Node, plan_id: data.PlanId):
        self.plan_id = plan_id
        self.deadline_s = node.now_s + TIMEOUT_S
        self.phase = Phase.READ_HEAD
        self.call_id = data.OperationId("")
        self.rounds = 0
        self.retry_at_s = 0.0
        self.head = change_log.Head()
        self.head_version = 0
        self.new_head: change_log.Head | None = None
        self.change: data.Change | None = None
        self.unresolved_write: UnresolvedWrite | None = None
        self.snapshot_version = 0
        self.result: Result | None = None
        self.revision = data.Revision(0)
        self.why = ""


def begin_round(node: machine.Node, acceptance: Acceptance) -> list:
    """Start a round by reading the head."""
    acceptance.rounds += 1
    if acceptance.rounds > MAX_ROUNDS:
        return abandon(acceptance, "too many others write")
    return [_call_service(node, acceptance, Phase.READ_HEAD)]


def write_change(
    node: machine.Node,
    acceptance: Acceptance,
    operation_id: data.OperationId,
    proposed: tuple[data.Intent, ...],
    removed: tuple[data.ServiceName, ...],
) -> list:
    """Write the proposal, which the caller has checked, as the next change."""
    acceptance.change = data.Change(
        data.Revision(acceptance.head.revision + 1),
        operation_id,
        acceptance.plan_id,
        proposed,
        removed,
    )
    acceptance.new_head = change_log.append_change(acceptance.head, acceptance.change)
    if acceptance.new_head is None:
        return [_call_service(node, acceptance, Phase.READ_SNAPSHOT)]
    return [_call_service(node, acceptance, Phase.WRITE_HEAD)]


def finish(acceptance: Acceptance, result: Result, why: str = "") -> list:
    """End the acceptance."""
    acceptance.phase = Phase.OVER
    acceptance.result = result
    acceptance.why = why
    return []


def abandon(acceptance: Acceptance, why: str) -> list:
    """End as not accepted, or as unknown if a write may still have taken effect."""
    if acceptance.unresolved_write is None:
        return finish(acceptance, Result.NOT_ACCEPTED, why)
    return finish(acceptance, Result.UNKNOWN, why)


def on_tick(node: machine.Node, acceptance: Acceptance) -> list:
    """End at the deadline; continue after a backoff or once the changes are applied."""
    if acceptance.phase is Phase.OVER:
        return []
    if node.now_s >= acceptance.deadline_s:
        if acceptance.phase is Phase.WRITE_HEAD:
            _record_unresolved_write(acceptance)
        return abandon(acceptance, "the key-value service did not answer in time")
    if acceptance.phase is Phase.BACK_OFF and node.now_s >= acceptance.retry_at_s:
        return begin_round(node, acceptance)
    in_force = (node.config.revision, node.config.digest)
    is_caught_up = node.config.revision > acceptance.head.revision
    is_caught_up = is_caught_up or in_force == (
        acceptance.head.revision,
        acceptance.head.digest,
    )
    if acceptance.phase is Phase.CATCH_UP and is_caught_up:
        return begin_round(node, acceptance)
    return []


def on_answer(
    node: machine.Node, acceptance: Acceptance, event: events.KvAnswered
) -> list:
    """Handle the answer to the call that the current phase waits for."""
    acceptance.call_id = data.OperationId("")
    return _ANSWER_HANDLERS[acceptance.phase](node, acceptance, event)


def _on_head_read(
    node: machine.Node, acceptance: Acceptance, event: events.KvAnswered
) -> list:
    if event.status not in (data.KvStatus.OK, data.KvStatus.ABSENT):
        return abandon(acceptance, "the key-value service is not available")
    try:
        acceptance.head = change_log.decode_head(event.value)
    except change_log.ChangeLogError as error:
        return abandon(acceptance, str(error))
    acceptance.head_version = event.version
    outputs = config_watch.apply_head(node, event.value, event.version)
    if acceptance.head.revision < node.config.revision:
        return [*outputs, *_repair_service(node, acceptance)]
    if acceptance.head.revision > node.config.revision:
        acceptance.phase = Phase.CATCH_UP
        return outputs
    return [*outputs, *_continue_at_same_revision(node, acceptance)]


def _continue_at_same_revision(node: machine.Node, acceptance: Acceptance) -> list:
    """Continue when the service and this process hold the same revision."""
    if acceptance.head.digest != node.config.digest:
        acceptance.phase = Phase.CATCH_UP
        return []
    accepted = find_accepted_revision(node, acceptance)
    if accepted is not None:
        acceptance.revision = accepted
        return finish(acceptance, Result.ACCEPTED)
    if acceptance.unresolved_write is not None:
        if acceptance.unresolved_write.version == acceptance.head_version:
            acceptance.change = acceptance.unresolved_write.change
            acceptance.new_head = acceptance.unresolved_write.new_head
            return [_call_service(node, acceptance, Phase.WRITE_HEAD)]
        if not _is_superseded(node, acceptance):
            return abandon(acceptance, "the change at its revision is not known")
        acceptance.unresolved_write = None
    acceptance.phase = Phase.DECIDE
    return []


def find_accepted_revision(
    node: machine.Node, acceptance: Acceptance
) -> data.Revision | None:
    """Return the revision at which the plan was accepted before, if it was."""
    if not acceptance.plan_id:
        return None
    for change in acceptance.head.changes:
        if change.plan_id == acceptance.plan_id:
            return change.revision
    for stamp in node.config.stamps.values():
        if stamp.plan_id == acceptance.plan_id:
            return stamp.revision
    return None


def _is_superseded(node: machine.Node, acceptance: Acceptance) -> bool:
    """Return whether another change holds the revision of the unresolved write."""
    revision = acceptance.unresolved_write.change.revision
    for change in acceptance.head.changes:
        if change.revision == revision:
            return (
                change.operation_id != acceptance.unresolved_write.change.operation_id
            )
    return any(stamp.revision == revision for stamp in node.config.stamps.values())


def _repair_service(node: machine.Node, acceptance: Acceptance) -> list:
    """Write the configuration in force back to a service that was restored."""
    if node.now_s - node.config_watch.behind_since_s < REPAIR_DELAY_S:
        return abandon(acceptance, "the key-value service was restored, healing it")
    acceptance.change = None
    acceptance.new_head = change_log.Head(
        revision=node.config.revision,
        digest=node.config.digest,
        snapshot_revision=node.config.revision,
    )
    return [_call_service(node, acceptance, Phase.READ_SNAPSHOT)]


def _on_snapshot_read(
    node: machine.Node, acceptance: Acceptance, event: events.KvAnswered
) -> list:
    if event.status not in (data.KvStatus.OK, data.KvStatus.ABSENT):
        return abandon(acceptance, "the key-value service is not available")
    if node.config.revision != _required_snapshot_revision(acceptance):
        # A newer configuration was applied during the call.
        return begin_round(node, acceptance)
    try:
        stored = change_log.decode_snapshot(event.value)
    except change_log.ChangeLogError:
        stored = change_log.Snapshot()
    acceptance.snapshot_version = event.version
    own = config.build_snapshot(node)
    if stored.revision == own.revision and stored.digest == own.digest:
        return _write_head_above_snapshot(node, acceptance)
    return [_call_service(node, acceptance, Phase.WRITE_SNAPSHOT)]


def _required_snapshot_revision(acceptance: Acceptance) -> data.Revision:
    """Return the revision that the snapshot below the new head must hold."""
    if acceptance.change is None:
        return acceptance.new_head.revision
    return acceptance.head.revision


def _on_snapshot_written(
    node: machine.Node, acceptance: Acceptance, event: events.KvAnswered
) -> list:
    if event.status is data.KvStatus.OK:
        return _write_head_above_snapshot(node, acceptance)
    if event.status is data.KvStatus.CONFLICT or event.status is data.KvStatus.UNKNOWN:
        return begin_round(node, acceptance)
    return abandon(acceptance, "the key-value service is not available")


def _write_head_above_snapshot(node: machine.Node, acceptance: Acceptance) -> list:
    """Write the new head; the snapshot now holds all changes before it."""
    if acceptance.change is not None:
        head = acceptance.head
        covered_head = change_log.Head(
            head.revision, head.digest, head.revision, head.changes
        )
        acceptance.new_head = change_log.append_change(covered_head, acceptance.change)
    return [_call_service(node, acceptance, Phase.WRITE_HEAD)]


def _on_head_written(
    node: machine.Node, acceptance: Acceptance, event: events.KvAnswered
) -> list:
    if event.status is data.KvStatus.OK:
        return _on_accepted(node, acceptance, event.version)
    if event.status is data.KvStatus.CONFLICT:
        acceptance.phase = Phase.BACK_OFF
        wait_s = min(0.1 * acceptance.rounds, MAX_BACKOFF_S)
        acceptance.retry_at_s = node.now_s + wait_s * node.random.random()
        return []
    if event.status is data.KvStatus.UNKNOWN:
        _record_unresolved_write(acceptance)
        return begin_round(node, acceptance)
    return abandon(acceptance, "the key-value service is not available")


def _record_unresolved_write(acceptance: Acceptance) -> None:
    """Record a write of the proposal as unresolved; a repair is simply repeated."""
    if acceptance.change is not None:
        acceptance.unresolved_write = UnresolvedWrite(
            acceptance.head_version, acceptance.change, acceptance.new_head
        )


def _on_accepted(node: machine.Node, acceptance: Acceptance, version: int) -> list:
    node.config_watch.head_version = version
    node.config_watch.behind_since_s = None
    if acceptance.change is None:
        fields = {"revision": acceptance.new_head.revision, "version": version}
        return [
            effects.Log("config_service_healed", fields),
            *begin_round(node, acceptance),
        ]
    invariants.check(
        acceptance.new_head.revision == acceptance.head.revision + 1,
        invariants.Invariant.ONE_SUCCESSOR_PER_REVISION,
        f"{acceptance.new_head.revision} after {acceptance.head.revision}",
    )
    acceptance.revision = acceptance.change.revision
    finish(acceptance, Result.ACCEPTED)
    if node.config.revision >= acceptance.revision:
        return []  # already applied through a watch or another process
    return config.apply_change(node, acceptance.change, acceptance.new_head.digest)


def _call_service(
    node: machine.Node, acceptance: Acceptance, phase: Phase
) -> data.Effect:
    """Enter a phase and return its call to the key-value service."""
    acceptance.phase = phase
    acceptance.call_id = operations.new_id(node, "accept")
    if phase is Phase.READ_HEAD:
        return effects.KvRead(acceptance.call_id, change_log.HEAD_KEY)
    if phase is Phase.READ_SNAPSHOT:
        return effects.KvRead(acceptance.call_id, change_log.SNAPSHOT_KEY)
    if phase is Phase.WRITE_SNAPSHOT:
        return effects.KvWrite(
            acceptance.call_id,
            change_log.SNAPSHOT_KEY,
            change_log.encode(config.build_snapshot(node)),
            acceptance.snapshot_version,
        )
    return effects.KvWrite(
        acceptance.call_id,
        change_log.HEAD_KEY,
        change_log.encode(acceptance.new_head),
        acceptance.head_version,
    )


_ANSWER_HANDLERS = {
    Phase.READ_HEAD: _on_head_read,
    Phase.READ_SNAPSHOT: _on_snapshot_read,
    Phase.WRITE_SNAPSHOT: _on_snapshot_written,
    Phase.WRITE_HEAD: _on_head_written,
}
