"""At-most-once execution of requests that may not be repeated.

Before such a request runs, its call is claimed in a table in the platform's key-value
service, by reading the table and writing it back if nobody else did meanwhile. Only
the process whose write succeeded may run the call. A write whose answer was lost is
resolved by reading back: the table names the operation. A claim that was given up
never runs later; this process, which alone knows that, withdraws it from the table.
"""

import collections
import dataclasses
import enum

from toucanspread.core import data, effects, events, invariants
from toucanspread.core.gate import claim_table

CLAIM_TIMEOUT_S = 1.5  # after this the key-value service counts as down
UNAVAILABLE_S = 1.0  # how long claims are refused at once before one tries again
CLAIM_LIFETIME_S = 900.0  # how long a repeat of a call is recognised
MAX_TRIES = 5  # reads of one table that others keep writing
RUNNING_RETRY_AFTER_S = 1.0
RETRY_AFTER_S = 2.0
WITHDRAW_DELAYS_S = (0.5, 2.0, 10.0, 60.0, 300.0)
MAX_WITHDRAWALS = 2_000
MAX_STARTED_PER_TICK = 5
MAX_CALLS = 10_000  # remembered of this process's own; the table knows the rest


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

    :param kept: the run whose answer is kept for a repeat of the same call.
    """

    key: data.AttemptKey
    verdict: Verdict
    reason: data.Reason = data.Reason.NONE
    retry_after_s: float = 0.0
    kept_key: data.AttemptKey | None = None


class ClaimFinished(data.Event):
    """Internal: what became of a won claim.

    :param ran: false only with proof that nothing was run; the claim is withdrawn.
    :param whole: whether a whole answer came.
    """

    key: data.AttemptKey
    ran: bool
    whole: bool


class Phase(enum.Enum):
    """What a claim or a withdrawal waits for."""

    IDLE = "idle"
    READ = "read"
    WRITE = "write"


@dataclasses.dataclass
class Claim:
    """A claim that is being decided, was won or was used.

    :param table: the key of its table.
    :param call: names the call in the table.
    :param written_version: the version that the last write expected; -1 before it.
    """

    key: data.AttemptKey
    table: str
    call: str
    operation_id: data.OperationId
    deadline_s: float
    team: data.TeamName
    body_hash: int
    wanted_wall_s: float
    phase: Phase = Phase.READ
    tries: int = 0
    written_version: int = -1
    ran: bool = False
    whole: bool = False

    @property
    def name(self) -> str:
        """Return what names the call over all services."""
        return f"{self.table}/{self.call}"


@dataclasses.dataclass
class Withdrawal:
    """A claim that must not stay in its table, nor appear there later."""

    table: str
    claim_id: data.OperationId
    written_version: int
    due_s: float
    phase: Phase = Phase.IDLE
    looks: int = 0


class State:
    """The claims of this process.

    :ivar calls: claims that are pending, won or used, by name.
    :ivar pending: being decided, by operation.
    :ivar held: won and not yet used, by request.
    :ivar used_s: when calls that ran here ended, by name, the oldest first.
    :ivar down_until_s: until when the key-value service counts as down.
    """

    def __init__(self):
        self.calls: dict[str, Claim] = {}
        self.pending: dict[data.OperationId, Claim] = {}
        self.held: dict[data.AttemptKey, Claim] = {}
        self.used_s: collections.OrderedDict[str, float] = collections.OrderedDict()
        self.withdrawals: dict[data.OperationId, Withdrawal] = {}
        self.down_until_s: float | None = None
        self.claim_count = 0


def effective_key(request: data.Request) -> data.IdempotencyKey:
    """Return what names a request's call: its idempotency key, or its own id."""
    return request.idempotency_key or data.IdempotencyKey(request.request_id)


def on_wanted(node, event: ClaimRequested) -> list:
    """Start a claim, unless the call is known here or the service is down."""
    state = node.claims
    state.claim_count += 1
    call = claim_table.call_name(event.idempotency_key)
    claim = Claim(
        key=event.key,
        table=claim_table.table_key(event.service, call),
        call=call,
        operation_id=data.OperationId(
            f"{node.identity.instance_id}/{node.identity.incarnation}"
            f"/{state.claim_count}"
        ),
        deadline_s=min(event.deadline_s, node.now_s + CLAIM_TIMEOUT_S),
        team=event.team,
        body_hash=event.body_hash,
        wanted_wall_s=node.wall_s,
    )
    known = state.calls.get(claim.name)
    if known is not None:
        return [_known_duplicate(event, known)]
    if _counts_as_down(node):
        return [_unavailable(claim, state.down_until_s - node.now_s)]
    state.calls[claim.name] = claim
    state.pending[claim.operation_id] = claim
    return [_read(claim)]


def on_kv(node, event: events.KvAnswered) -> list:
    """Go on with the claim or the withdrawal that the answer is for."""
    state = node.claims
    claim = state.pending.get(event.operation_id)
    if claim is not None and _is_overdue(node, claim):
        return _give_up(node, claim)
    if claim is not None:
        if claim.phase is Phase.READ:
            return _on_table(node, claim, event)
        return _on_written(node, claim, event)
    withdrawal = state.withdrawals.get(event.operation_id)
    if withdrawal is not None:
        return _on_withdrawal(node, withdrawal, event)
    return []


def on_used(node, event: ClaimFinished) -> list:
    """Keep the claim of a call that ran; withdraw that of one that did not."""
    state = node.claims
    claim = state.held.pop(event.key)
    if not event.ran:
        del state.calls[claim.name]
        _withdraw(node, claim)
        return []
    claim.ran = True
    claim.whole = event.whole
    state.used_s[claim.name] = node.now_s
    return []


def on_tick(node, event: events.Tick) -> list:
    """Give up overdue claims, withdraw, forget old calls."""
    state = node.claims
    items: list = []
    if state.pending:
        for claim in tuple(state.pending.values()):
            if _is_overdue(node, claim):
                items += _give_up(node, claim)
    if state.withdrawals:
        items += _look_after_withdrawals(node)
    if state.used_s:
        _forget_old(node)
    return items


HANDLERS = {
    ClaimRequested: on_wanted,
    ClaimFinished: on_used,
    events.KvAnswered: on_kv,
    events.Tick: on_tick,
}


def _is_overdue(node, claim: Claim) -> bool:
    """Return whether it is too late for a claim, also when the process was paused.

    A clock that stands still while a machine is suspended does not show it, so the
    wall clock, by which claims expire, is asked as well.
    """
    if node.now_s >= claim.deadline_s:
        return True
    return node.wall_s >= claim.wanted_wall_s + CLAIM_LIFETIME_S / 2


def _counts_as_down(node) -> bool:
    """Return whether to refuse at once; one claim at a time may try again."""
    state = node.claims
    if state.down_until_s is None:
        return False
    if node.now_s < state.down_until_s:
        return True
    state.down_until_s = node.now_s + UNAVAILABLE_S
    return False


def _known_duplicate(event: ClaimRequested, known: Claim) -> ClaimDecided:
    """Return the verdict on a repeat of a call that is known here."""
    same = known.team == event.team and known.body_hash == event.body_hash
    return ClaimDecided(
        event.key,
        Verdict.DUPLICATE,
        data.Reason.DUPLICATE,
        0.0 if known.ran else RUNNING_RETRY_AFTER_S,
        known.key if known.whole and same else None,
    )


def _read(claim: Claim) -> effects.KvRead:
    claim.phase = Phase.READ
    claim.tries += 1
    return effects.KvRead(claim.operation_id, claim.table)


def _table_of(event: events.KvAnswered) -> claim_table.Table | None:
    """Return the table that was read, or None when there is no usable answer."""
    if event.status is data.KvStatus.ABSENT:
        return {}
    if event.status is not data.KvStatus.OK:
        return None
    try:
        return claim_table.decode(event.value)
    except claim_table.TableError:
        return None


def _on_table(node, claim: Claim, event: events.KvAnswered) -> list:
    """Decide by the table, or write the claim into it."""
    table = _table_of(event)
    if table is None:
        return _give_up(node, claim)
    node.claims.down_until_s = None
    table = claim_table.drop_expired(table, node.wall_s)
    entry = table.get(claim.call)
    if entry is not None and entry.operation_id == claim.operation_id:
        return _win(node, claim)
    if entry is not None:
        # Another claim stands in the table, so a lost write of ours cannot land.
        return _lose(node, claim)
    if claim.tries > MAX_TRIES or len(table) >= claim_table.MAX_CLAIMS_PER_TABLE:
        return _give_up(node, claim, is_down=False)
    table[claim.call] = claim_table.StoredClaim(
        claim.operation_id, int(node.wall_s + CLAIM_LIFETIME_S)
    )
    claim.phase = Phase.WRITE
    claim.written_version = event.version
    value = claim_table.encode(table)
    return [effects.KvWrite(claim.operation_id, claim.table, value, event.version)]


def _on_written(node, claim: Claim, event: events.KvAnswered) -> list:
    if event.status is data.KvStatus.OK:
        return _win(node, claim)
    if event.status is data.KvStatus.NOT_APPLIED:
        return _give_up(node, claim)
    # A conflict may be with our own write, repeated below us; only a read tells.
    return [_read(claim)]


def _win(node, claim: Claim) -> list:
    state = node.claims
    del state.pending[claim.operation_id]
    invariants.check(
        state.calls.get(claim.name) is claim and not claim.ran,
        invariants.Invariant.AT_MOST_ONCE,
        f"{claim.name} was won twice",
    )
    state.held[claim.key] = claim
    return [ClaimDecided(claim.key, Verdict.WON)]


def _lose(node, claim: Claim) -> list:
    del node.claims.pending[claim.operation_id]
    del node.claims.calls[claim.name]
    return [ClaimDecided(claim.key, Verdict.DUPLICATE, data.Reason.DUPLICATE)]


def _give_up(node, claim: Claim, is_down: bool = True) -> list:
    """Answer "not run" at once; a write that may still land is withdrawn."""
    state = node.claims
    del state.pending[claim.operation_id]
    del state.calls[claim.name]
    if claim.written_version >= 0:
        _withdraw(node, claim)
    if is_down:
        state.down_until_s = node.now_s + UNAVAILABLE_S
    return [_unavailable(claim, RETRY_AFTER_S), effects.Count("claims_given_up")]


def _unavailable(claim: Claim, retry_after_s: float) -> ClaimDecided:
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
    # An id of its own, so that a late answer to the claim is not taken for its own.
    operation_id = data.OperationId(f"{claim.operation_id}/withdraw")
    withdrawals[operation_id] = Withdrawal(
        claim.table, claim.operation_id, claim.written_version, node.now_s
    )


def _look_after_withdrawals(node) -> list:
    """Start the withdrawals that are due, a few at a time."""
    withdrawals = node.claims.withdrawals
    items: list = []
    for operation_id, withdrawal in tuple(withdrawals.items()):
        if node.now_s < withdrawal.due_s:
            continue
        if withdrawal.looks >= len(WITHDRAW_DELAYS_S):
            del withdrawals[operation_id]
            continue
        withdrawal.due_s = node.now_s + WITHDRAW_DELAYS_S[withdrawal.looks]
        withdrawal.looks += 1
        withdrawal.phase = Phase.READ
        items.append(effects.KvRead(operation_id, withdrawal.table))
        if len(items) >= MAX_STARTED_PER_TICK:
            break
    return items


def _on_withdrawal(node, withdrawal: Withdrawal, event: events.KvAnswered) -> list:
    if withdrawal.phase is Phase.WRITE:
        withdrawal.phase = Phase.IDLE
        if event.status is data.KvStatus.OK:
            del node.claims.withdrawals[event.operation_id]
        return []
    table = _table_of(event)
    if table is None or withdrawal.phase is not Phase.READ:
        return []
    rest = claim_table.without_operation(table, withdrawal.claim_id)
    if len(rest) == len(table) and event.version > withdrawal.written_version:
        # Not there, and the version that the lost write expected is gone for good.
        del node.claims.withdrawals[event.operation_id]
        return []
    # Also an unchanged table is written, so that a lost write can no longer land.
    withdrawal.phase = Phase.WRITE
    value = claim_table.encode(claim_table.drop_expired(rest, node.wall_s))
    operation_id = event.operation_id
    return [effects.KvWrite(operation_id, withdrawal.table, value, event.version)]


def _forget_old(node) -> None:
    """Forget calls that are old; their claims expire in the table by themselves."""
    state = node.claims
    while state.used_s:
        name, used_s = next(iter(state.used_s.items()))
        if node.now_s - used_s < CLAIM_LIFETIME_S and len(state.used_s) <= MAX_CALLS:
            return
        del state.used_s[name]
        del state.calls[name]
