"""At-most-once execution of requests that may not be repeated.

Before such a request runs, its call is claimed in a table in the platform's key-value
service: the table is read and written back on condition that it has not changed. Only
the process whose write succeeded may run the call. If the answer to a write is lost,
the table is read again and shows which operation holds the claim. A call whose claim
was abandoned never runs later; only this process knows that, so it withdraws the claim
from the table.
"""

import collections
import dataclasses
import enum

from toucanspread.core import data, effects, events, invariants
from toucanspread.core.gate import claim_table

CLAIM_TIMEOUT_S = 1.5  # after this the key-value service counts as unavailable
UNAVAILABLE_S = 1.0  # claims are refused at once for this long, then one tries again
CLAIM_LIFETIME_S = 900.0  # how long a repeat of a call is recognized
MAX_READS = 5  # of one table, if other processes keep changing it
RUNNING_RETRY_AFTER_S = 1.0
RETRY_AFTER_S = 2.0
WITHDRAWAL_DELAYS_S = (0.5, 2.0, 10.0, 60.0, 300.0)
MAX_WITHDRAWALS = 2_000
MAX_STARTED_PER_TICK = 5
MAX_ENDED_CALLS = 10_000  # of this process, in memory; the tables hold all claims


class Verdict(enum.Enum):
    """How a claim was decided."""

    WON = "won"
    DUPLICATE = "duplicate"
    UNAVAILABLE = "unavailable"


class ClaimRequested(data.Event):
    """Internal: an admitted request may run only if its call is not yet claimed."""

    key: data.AttemptKey
    service: data.ServiceName
    idempotency_key: data.IdempotencyKey
    deadline_s: float
    team: data.TeamName = data.TeamName("")
    body_hash: int = 0


class ClaimDecided(data.Event):
    """Internal: whether the request may run.

    :param kept_key: the attempt whose answer is kept for repeats of the same call.
    """

    key: data.AttemptKey
    verdict: Verdict
    reason: data.Reason = data.Reason.NONE
    retry_after_s: float = 0.0
    kept_key: data.AttemptKey | None = None


class ClaimFinished(data.Event):
    """Internal: the request of a won claim has ended.

    :param ran: False only with proof that nothing ran; the claim is then withdrawn.
    :param answer_complete: whether the engine or service gave a complete answer.
    """

    key: data.AttemptKey
    ran: bool
    answer_complete: bool


class Phase(enum.Enum):
    """The key-value operation that a claim or a withdrawal waits for."""

    IDLE = "idle"
    READ = "read"
    WRITE = "write"


@dataclasses.dataclass
class Claim:
    """A claim that is pending, held by a request, or kept after its request ran.

    :param table: the key of its table.
    :param call: the name of the call in the table.
    :param requested_wall_s: when it was requested, in seconds since the epoch.
    :param written_version: the version that the last write expected; -1 before it.
    """

    key: data.AttemptKey
    table: str
    call: str
    operation_id: data.OperationId
    deadline_s: float
    team: data.TeamName
    body_hash: int
    requested_wall_s: float
    phase: Phase = Phase.READ
    read_count: int = 0
    written_version: int = -1
    ran: bool = False
    answer_complete: bool = False

    @property
    def name(self) -> str:
        """A name of the call that is unique over all services."""
        return f"{self.table}/{self.call}"


@dataclasses.dataclass
class Withdrawal:
    """The removal of a claim from its table, even if its write is applied late."""

    table: str
    claim_id: data.OperationId
    written_version: int
    due_s: float
    phase: Phase = Phase.IDLE
    attempt_count: int = 0


class State:
    """The claims of this process.

    :ivar calls: all claims, by the name of their call.
    :ivar pending: claims that are being decided, by operation.
    :ivar held: won claims whose request has not ended, by request.
    :ivar ended_s: when calls that ran here ended, by name, the oldest first.
    :ivar unavailable_until_s: until when the key-value service counts as unavailable.
    """

    def __init__(self):
        self.calls: dict[str, Claim] = {}
        self.pending: dict[data.OperationId, Claim] = {}
        self.held: dict[data.AttemptKey, Claim] = {}
        self.ended_s: collections.OrderedDict[str, float] = collections.OrderedDict()
        self.withdrawals: dict[data.OperationId, Withdrawal] = {}
        self.unavailable_until_s: float | None = None
        self.claim_count = 0


def get_call_key(request: data.Request) -> data.IdempotencyKey:
    """Return the request's idempotency key, or its own id if it has none."""
    return request.idempotency_key or data.IdempotencyKey(request.request_id)


def on_requested(node, event: ClaimRequested) -> list:
    """Start a claim, unless its call is known here or the service is unavailable."""
    state = node.claims
    state.claim_count += 1
    call = claim_table.make_call_name(event.idempotency_key)
    claim = Claim(
        key=event.key,
        table=claim_table.make_table_key(event.service, call),
        call=call,
        operation_id=data.OperationId(
            f"{node.identity.instance_id}/{node.identity.incarnation}"
            f"/{state.claim_count}"
        ),
        deadline_s=min(event.deadline_s, node.now_s + CLAIM_TIMEOUT_S),
        team=event.team,
        body_hash=event.body_hash,
        requested_wall_s=node.wall_s,
    )
    known = state.calls.get(claim.name)
    if known is not None:
        return [_decide_known_call(event, known)]
    if _is_unavailable(node):
        return [_decide_unavailable(claim, state.unavailable_until_s - node.now_s)]
    state.calls[claim.name] = claim
    state.pending[claim.operation_id] = claim
    return [_read_table(claim)]


def on_kv_answered(node, event: events.KvAnswered) -> list:
    """Continue the claim or the withdrawal that the answer belongs to."""
    state = node.claims
    claim = state.pending.get(event.operation_id)
    if claim is not None and _is_overdue(node, claim):
        return _abandon(node, claim)
    if claim is not None:
        if claim.phase is Phase.READ:
            return _on_table_read(node, claim, event)
        return _on_claim_written(node, claim, event)
    withdrawal = state.withdrawals.get(event.operation_id)
    if withdrawal is not None:
        return _on_withdrawal_answered(node, withdrawal, event)
    return []


def on_finished(node, event: ClaimFinished) -> list:
    """Keep the claim of a call that ran; withdraw the claim of one that did not."""
    state = node.claims
    claim = state.held.pop(event.key)
    if not event.ran:
        del state.calls[claim.name]
        _withdraw(node, claim)
        return []
    claim.ran = True
    claim.answer_complete = event.answer_complete
    state.ended_s[claim.name] = node.now_s
    return []


def on_tick(node, event: events.Tick) -> list:
    """Abandon overdue claims, start due withdrawals and drop old calls."""
    state = node.claims
    outputs: list = []
    if state.pending:
        for claim in tuple(state.pending.values()):
            if _is_overdue(node, claim):
                outputs += _abandon(node, claim)
    if state.withdrawals:
        outputs += _start_due_withdrawals(node)
    if state.ended_s:
        _drop_old_calls(node)
    return outputs


HANDLERS = {
    ClaimRequested: on_requested,
    ClaimFinished: on_finished,
    events.KvAnswered: on_kv_answered,
    events.Tick: on_tick,
}


def _is_overdue(node, claim: Claim) -> bool:
    """Return whether a claim is too late, also after the process was suspended.

    The monotonic clock may stand still while an instance is suspended, so the wall
    clock, by which claims expire, is checked as well.
    """
    if node.now_s >= claim.deadline_s:
        return True
    return node.wall_s >= claim.requested_wall_s + CLAIM_LIFETIME_S / 2


def _is_unavailable(node) -> bool:
    """Return whether claims must be refused, and let one claim at a time try again."""
    state = node.claims
    if state.unavailable_until_s is None:
        return False
    if node.now_s < state.unavailable_until_s:
        return True
    state.unavailable_until_s = node.now_s + UNAVAILABLE_S
    return False


def _decide_known_call(event: ClaimRequested, known: Claim) -> ClaimDecided:
    """Return the verdict on a repeat of a call that this process has claimed."""
    is_same_call = known.team == event.team and known.body_hash == event.body_hash
    return ClaimDecided(
        event.key,
        Verdict.DUPLICATE,
        data.Reason.DUPLICATE,
        0.0 if known.ran else RUNNING_RETRY_AFTER_S,
        known.key if known.answer_complete and is_same_call else None,
    )


def _read_table(claim: Claim) -> effects.KvRead:
    claim.phase = Phase.READ
    claim.read_count += 1
    return effects.KvRead(claim.operation_id, claim.table)


def _decode_table(event: events.KvAnswered) -> claim_table.Table | None:
    """Return the table that was read, or None if the answer is unusable."""
    if event.status is data.KvStatus.ABSENT:
        return {}
    if event.status is not data.KvStatus.OK:
        return None
    try:
        return claim_table.decode(event.value)
    except claim_table.TableError:
        return None


def _on_table_read(node, claim: Claim, event: events.KvAnswered) -> list:
    """Decide the claim by its table, or write the claim into the table."""
    table = _decode_table(event)
    if table is None:
        return _abandon(node, claim)
    node.claims.unavailable_until_s = None
    table = claim_table.drop_expired(table, node.wall_s)
    stored = table.get(claim.call)
    if stored is not None and stored.operation_id == claim.operation_id:
        return _decide_won(node, claim)
    if stored is not None:
        # The table holds another claim, so a lost write of this process cannot be
        # applied any more.
        return _decide_duplicate(node, claim)
    if claim.read_count > MAX_READS or len(table) >= claim_table.MAX_CLAIMS_PER_TABLE:
        return _abandon(node, claim, is_unavailable=False)
    table[claim.call] = claim_table.StoredClaim(
        claim.operation_id, int(node.wall_s + CLAIM_LIFETIME_S)
    )
    claim.phase = Phase.WRITE
    claim.written_version = event.version
    value = claim_table.encode(table)
    return [effects.KvWrite(claim.operation_id, claim.table, value, event.version)]


def _on_claim_written(node, claim: Claim, event: events.KvAnswered) -> list:
    if event.status is data.KvStatus.OK:
        return _decide_won(node, claim)
    if event.status is data.KvStatus.NOT_APPLIED:
        return _abandon(node, claim)
    # A conflict can be with the process's own write if a lower layer repeated it, so
    # the table is read again.
    return [_read_table(claim)]


def _decide_won(node, claim: Claim) -> list:
    state = node.claims
    del state.pending[claim.operation_id]
    invariants.check(
        state.calls.get(claim.name) is claim and not claim.ran,
        invariants.Invariant.AT_MOST_ONCE,
        f"{claim.name} was won twice",
    )
    state.held[claim.key] = claim
    return [ClaimDecided(claim.key, Verdict.WON)]


def _decide_duplicate(node, claim: Claim) -> list:
    del node.claims.pending[claim.operation_id]
    del node.claims.calls[claim.name]
    return [ClaimDecided(claim.key, Verdict.DUPLICATE, data.Reason.DUPLICATE)]


def _abandon(node, claim: Claim, is_unavailable: bool = True) -> list:
    """Decide the claim as unavailable and withdraw a write that may still be applied.

    :param is_unavailable: whether the key-value service counts as unavailable now.
    """
    state = node.claims
    del state.pending[claim.operation_id]
    del state.calls[claim.name]
    if claim.written_version >= 0:
        _withdraw(node, claim)
    if is_unavailable:
        state.unavailable_until_s = node.now_s + UNAVAILABLE_S
    return [
        _decide_unavailable(claim, RETRY_AFTER_S),
        effects.Count("claims_given_up"),
    ]


def _decide_unavailable(claim: Claim, retry_after_s: float) -> ClaimDecided:
    return ClaimDecided(
        claim.key,
        Verdict.UNAVAILABLE,
        data.Reason.CLAIM_UNAVAILABLE,
        max(UNAVAILABLE_S, retry_after_s),
    )


def _withdraw(node, claim: Claim) -> None:
    withdrawals = node.claims.withdrawals
    if len(withdrawals) >= MAX_WITHDRAWALS:
        # The claim stays until it expires; repeats are answered with "unknown".
        return
    # A separate id, so that a late answer to the claim is not taken for an answer to
    # the withdrawal.
    operation_id = data.OperationId(f"{claim.operation_id}/withdraw")
    withdrawals[operation_id] = Withdrawal(
        claim.table, claim.operation_id, claim.written_version, node.now_s
    )


def _start_due_withdrawals(node) -> list:
    """Start the withdrawals that are due, a few at a time."""
    withdrawals = node.claims.withdrawals
    outputs: list = []
    for operation_id, withdrawal in tuple(withdrawals.items()):
        if node.now_s < withdrawal.due_s:
            continue
        if withdrawal.attempt_count >= len(WITHDRAWAL_DELAYS_S):
            del withdrawals[operation_id]
            continue
        withdrawal.due_s = node.now_s + WITHDRAWAL_DELAYS_S[withdrawal.attempt_count]
        withdrawal.attempt_count += 1
        withdrawal.phase = Phase.READ
        outputs.append(effects.KvRead(operation_id, withdrawal.table))
        if len(outputs) >= MAX_STARTED_PER_TICK:
            break
    return outputs


def _on_withdrawal_answered(
    node, withdrawal: Withdrawal, event: events.KvAnswered
) -> list:
    if withdrawal.phase is Phase.WRITE:
        withdrawal.phase = Phase.IDLE
        if event.status is data.KvStatus.OK:
            del node.claims.withdrawals[event.operation_id]
        return []
    table = _decode_table(event)
    if table is None or withdrawal.phase is not Phase.READ:
        return []
    rest = claim_table.drop_operation(table, withdrawal.claim_id)
    if len(rest) == len(table) and event.version > withdrawal.written_version:
        # The claim is absent, and the lost write cannot be applied any more, since
        # the table is past the version that it expected.
        del node.claims.withdrawals[event.operation_id]
        return []
    # An unchanged table is written too: the new version keeps a lost write from being
    # applied later.
    withdrawal.phase = Phase.WRITE
    value = claim_table.encode(claim_table.drop_expired(rest, node.wall_s))
    operation_id = event.operation_id
    return [effects.KvWrite(operation_id, withdrawal.table, value, event.version)]


def _drop_old_calls(node) -> None:
    """Drop calls that ended long ago; their claims expire in the tables."""
    state = node.claims
    while state.ended_s:
        name, ended_s = next(iter(state.ended_s.items()))
        if (
            node.now_s - ended_s < CLAIM_LIFETIME_S
            and len(state.ended_s) <= MAX_ENDED_CALLS
        ):
            return
        del state.ended_s[name]
        del state.calls[name]
