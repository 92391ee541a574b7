"""Accepts one change through the head key, or proves that it was not accepted.

The head is read, the change is checked against it, and the head with one more change
is written by compare-and-swap. When an answer is lost the head is read back: the
change at the expected revision tells whose write it was. Only if the head still has
the version that the lost write expected is the same write repeated, because then at
most one of the two can take effect.

A service that shows an older head than what is in force here was restored. It gets
this process's configuration back, by compare-and-swap, before anything is accepted.
"""

import enum

from toucanspread.core import data, effects, events, invariants, machine, operations
from toucanspread.core.agreement import change_log, config, config_watch

DEADLINE_S = 4.0
MAX_ROUNDS = 30
MAX_BACK_OFF_S = 0.5
HEAL_DELAY_S = 4.0  # lets a higher revision arrive from other processes first


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


class LostWrite:
    """A write of the head whose answer was lost; it may still take effect.

    :ivar version: the version of the key that the write expects.
    """

    def __init__(self, version: int, change: data.Change, wanted: change_log.Head):
        self.version = version
        self.change = change
        self.wanted = wanted


class Acceptance:
    """One attempt to have a proposal accepted, or to heal the service.

    :param plan_id: of the proposal; empty to heal only.

    When ``phase`` is ``DECIDE`` the process is level with the service and the owner
    checks the proposal, then calls :func:`write` or :func:`finish`.
    """

    def __init__(self, node: machine.Node, plan_id: data.PlanId):
        self.plan_id = plan_id
        self.deadline_s = node.now_s + DEADLINE_S
        self.phase = Phase.READ_HEAD
        self.call_id = data.OperationId("")
        self.rounds = 0
        self.resume_s = 0.0
        self.head = change_log.Head()
        self.head_version = 0
        self.wanted: change_log.Head | None = None
        self.change: data.Change | None = None
        self.lost: LostWrite | None = None
        self.snapshot_version = 0
        self.result: Result | None = None
        self.revision = data.Revision(0)
        self.why = ""


def begin(node: machine.Node, acceptance: Acceptance) -> list:
    """Read the head."""
    acceptance.rounds += 1
    if acceptance.rounds > MAX_ROUNDS:
        return give_up(acceptance, "too many others write")
    return [_call(node, acceptance, Phase.READ_HEAD)]


def write(
    node: machine.Node,
    acceptance: Acceptance,
    operation_id: data.OperationId,
    proposed: tuple[data.Intent, ...],
    removed: tuple[data.ServiceName, ...],
) -> list:
    """Write the proposal as the next change; the owner has checked it."""
    acceptance.change = data.Change(
        data.Revision(acceptance.head.revision + 1),
        operation_id,
        acceptance.plan_id,
        proposed,
        removed,
    )
    acceptance.wanted = change_log.append(acceptance.head, acceptance.change)
    if acceptance.wanted is None:
        return [_call(node, acceptance, Phase.READ_SNAPSHOT)]
    return [_call(node, acceptance, Phase.WRITE_HEAD)]


def finish(acceptance: Acceptance, result: Result, why: str = "") -> list:
    """End the acceptance."""
    acceptance.phase = Phase.OVER
    acceptance.result = result
    acceptance.why = why
    return []


def give_up(acceptance: Acceptance, why: str) -> list:
    """End without an acceptance; unknown if a write may still have taken effect."""
    if acceptance.lost is None:
        return finish(acceptance, Result.NOT_ACCEPTED, why)
    return finish(acceptance, Result.UNKNOWN, why)


def on_tick(node: machine.Node, acceptance: Acceptance) -> list:
    """Give up when the time is over; go on once this process has caught up."""
    if acceptance.phase is Phase.OVER:
        return []
    if node.now_s >= acceptance.deadline_s:
        if acceptance.phase is Phase.WRITE_HEAD:
            _lose(acceptance)
        return give_up(acceptance, "the key-value service did not answer in time")
    if acceptance.phase is Phase.BACK_OFF and node.now_s >= acceptance.resume_s:
        return begin(node, acceptance)
    level = (node.config.revision, node.config.digest)
    caught_up = node.config.revision > acceptance.head.revision
    caught_up = caught_up or level == (acceptance.head.revision, acceptance.head.digest)
    if acceptance.phase is Phase.CATCH_UP and caught_up:
        return begin(node, acceptance)
    return []


def on_answer(
    node: machine.Node, acceptance: Acceptance, event: events.KvAnswered
) -> list:
    """Go on with the answer to the call that is waiting."""
    acceptance.call_id = data.OperationId("")
    return _STEPS[acceptance.phase](node, acceptance, event)


def _on_head(
    node: machine.Node, acceptance: Acceptance, event: events.KvAnswered
) -> list:
    if event.status not in (data.KvStatus.OK, data.KvStatus.ABSENT):
        return give_up(acceptance, "the key-value service is not available")
    try:
        acceptance.head = change_log.decode_head(event.value)
    except change_log.HistoryError as error:
        return give_up(acceptance, str(error))
    acceptance.head_version = event.version
    items = config_watch.absorb_head(node, event.value, event.version)
    if acceptance.head.revision < node.config.revision:
        return [*items, *_heal(node, acceptance)]
    if acceptance.head.revision > node.config.revision:
        acceptance.phase = Phase.CATCH_UP
        return items
    return [*items, *_level(node, acceptance)]


def _level(node: machine.Node, acceptance: Acceptance) -> list:
    """Go on when the service and this process hold the same revision."""
    if acceptance.head.digest != node.config.digest:
        acceptance.phase = Phase.CATCH_UP
        return []
    accepted = accepted_revision(node, acceptance)
    if accepted is not None:
        acceptance.revision = accepted
        return finish(acceptance, Result.ACCEPTED)
    if acceptance.lost is not None:
        if acceptance.lost.version == acceptance.head_version:
            acceptance.change = acceptance.lost.change
            acceptance.wanted = acceptance.lost.wanted
            return [_call(node, acceptance, Phase.WRITE_HEAD)]
        if not _was_overtaken(node, acceptance):
            return give_up(acceptance, "the change at its revision is not known")
        acceptance.lost = None
    acceptance.phase = Phase.DECIDE
    return []


def accepted_revision(
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


def _was_overtaken(node: machine.Node, acceptance: Acceptance) -> bool:
    """Return whether another change holds the revision of the unresolved write."""
    revision = acceptance.lost.change.revision
    for change in acceptance.head.changes:
        if change.revision == revision:
            return change.operation_id != acceptance.lost.change.operation_id
    return any(stamp.revision == revision for stamp in node.config.stamps.values())


def _heal(node: machine.Node, acceptance: Acceptance) -> list:
    """Write the configuration in force back to a service that was restored."""
    if node.now_s - node.config_watch.behind_since_s < HEAL_DELAY_S:
        return give_up(acceptance, "the key-value service was restored, healing it")
    acceptance.change = None
    acceptance.wanted = change_log.Head(
        revision=node.config.revision,
        digest=node.config.digest,
        snapshot_revision=node.config.revision,
    )
    return [_call(node, acceptance, Phase.READ_SNAPSHOT)]


def _on_snapshot_read(
    node: machine.Node, acceptance: Acceptance, event: events.KvAnswered
) -> list:
    if event.status not in (data.KvStatus.OK, data.KvStatus.ABSENT):
        return give_up(acceptance, "the key-value service is not available")
    if node.config.revision != _base_revision(acceptance):
        return begin(node, acceptance)  # a newer one came in while this one waited
    try:
        held = change_log.decode_snapshot(event.value)
    except change_log.HistoryError:
        held = change_log.Snapshot()
    acceptance.snapshot_version = event.version
    mine = config.snapshot(node)
    if held.revision == mine.revision and held.digest == mine.digest:
        return _write_above_snapshot(node, acceptance)
    return [_call(node, acceptance, Phase.WRITE_SNAPSHOT)]


def _base_revision(acceptance: Acceptance) -> data.Revision:
    """Return the revision that the snapshot below the wanted head holds."""
    if acceptance.change is None:
        return acceptance.wanted.revision
    return acceptance.head.revision


def _on_snapshot_written(
    node: machine.Node, acceptance: Acceptance, event: events.KvAnswered
) -> list:
    if event.status is data.KvStatus.OK:
        return _write_above_snapshot(node, acceptance)
    if event.status is data.KvStatus.CONFLICT or event.status is data.KvStatus.UNKNOWN:
        return begin(node, acceptance)
    return give_up(acceptance, "the key-value service is not available")


def _write_above_snapshot(node: machine.Node, acceptance: Acceptance) -> list:
    """Write the head, whose earlier changes the snapshot holds now."""
    if acceptance.change is not None:
        head = acceptance.head
        covered = change_log.Head(
            head.revision, head.digest, head.revision, head.changes
        )
        acceptance.wanted = change_log.append(covered, acceptance.change)
    return [_call(node, acceptance, Phase.WRITE_HEAD)]


def _on_head_written(
    node: machine.Node, acceptance: Acceptance, event: events.KvAnswered
) -> list:
    if event.status is data.KvStatus.OK:
        return _accepted(node, acceptance, event.version)
    if event.status is data.KvStatus.CONFLICT:
        acceptance.phase = Phase.BACK_OFF
        wait_s = min(0.1 * acceptance.rounds, MAX_BACK_OFF_S)
        acceptance.resume_s = node.now_s + wait_s * node.random.random()
        return []
    if event.status is data.KvStatus.UNKNOWN:
        _lose(acceptance)
        return begin(node, acceptance)
    return give_up(acceptance, "the key-value service is not available")


def _lose(acceptance: Acceptance) -> None:
    """Keep a write of the proposal in mind; one that heals is simply made again."""
    if acceptance.change is not None:
        acceptance.lost = LostWrite(
            acceptance.head_version, acceptance.change, acceptance.wanted
        )


def _accepted(node: machine.Node, acceptance: Acceptance, version: int) -> list:
    node.config_watch.head_version = version
    node.config_watch.behind_since_s = None
    if acceptance.change is None:
        fields = {"revision": acceptance.wanted.revision, "version": version}
        return [
            effects.Log("config_service_healed", fields),
            *begin(node, acceptance),
        ]
    invariants.check(
        acceptance.wanted.revision == acceptance.head.revision + 1,
        invariants.Invariant.ONE_SUCCESSOR_PER_REVISION,
        f"{acceptance.wanted.revision} after {acceptance.head.revision}",
    )
    acceptance.revision = acceptance.change.revision
    finish(acceptance, Result.ACCEPTED)
    if node.config.revision >= acceptance.revision:
        return []  # a watch or another process was faster than the answer
    return config.apply_change(node, acceptance.change, acceptance.wanted.digest)


def _call(node: machine.Node, acceptance: Acceptance, phase: Phase) -> data.Effect:
    """Return the call on the key-value service that a phase waits for."""
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
            change_log.encode(config.snapshot(node)),
            acceptance.snapshot_version,
        )
    return effects.KvWrite(
        acceptance.call_id,
        change_log.HEAD_KEY,
        change_log.encode(acceptance.wanted),
        acceptance.head_version,
    )


_STEPS = {
    Phase.READ_HEAD: _on_head,
    Phase.READ_SNAPSHOT: _on_snapshot_read,
    Phase.WRITE_SNAPSHOT: _on_snapshot_written,
    Phase.WRITE_HEAD: _on_head_written,
}
