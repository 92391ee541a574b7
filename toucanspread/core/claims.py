"""At-most-once execution of requests that may not be repeated.

Before such a request runs, its call is claimed by creating a key in the platform's
key-value service. Only the process whose create succeeded may run it. A create whose
answer was lost is resolved by reading the key back: it names the operation that
created it. A claim that was given up never runs later, and if its write landed after
all, this process, which alone knows that the call was not run, removes it.
"""

import collections
import dataclasses
import enum
import hashlib

import msgspec

from toucanspread.core import data, effects, events, invariants

CLAIM_TIMEOUT_S = 1.5  # after this the key-value service counts as down
RETRY_AFTER_S = 2.0
KEEP_S = 900.0  # how long a repeat of a call is recognised
RUNNING_RETRY_AFTER_S = 1.0
ORPHAN_DELAYS_S = (2.0, 10.0, 60.0, 300.0)  # when to look whether a lost write landed
MAX_ORPHANS = 2_000
MAX_DELETES_PER_TICK = 5
MAX_NAME_LENGTH = 200

Key = tuple[data.RequestId, int]


class Verdict(enum.Enum):
    """How a claim was decided."""

    WON = "won"
    DUPLICATE = "duplicate"
    UNAVAILABLE = "unavailable"


class ClaimWanted(data.Event):
    """Internal: an admitted request may run only if its call is not yet claimed."""

    key: Key
    service: data.ServiceName
    idempotency_key: data.IdempotencyKey
    deadline_s: float
    team: data.TeamName = data.TeamName("")
    body_hash: int = 0


class ClaimDecided(data.Event):
    """Internal: whether the request may run.

    :param kept: the run whose answer is kept for a repeat of the same call.
    """

    key: Key
    verdict: Verdict
    reason: data.Reason = data.Reason.NONE
    retry_after_s: float = 0.0
    kept: Key | None = None


class ClaimUsed(data.Event):
    """Internal: what became of a won claim.

    :param ran: false only with proof that nothing was run; the claim is undone.
    :param whole: whether a whole answer came.
    """

    key: Key
    ran: bool
    whole: bool


class Holder(data.Record):
    """The value of a claim: who created it."""

    operation_id: data.OperationId
    instance_id: data.InstanceId
    incarnation: data.Incarnation


class Phase(enum.Enum):
    """What a pending claim waits for."""

    WRITE = "write"
    READ_BACK = "read back"


@dataclasses.dataclass
class Claim:
    """A claim that is being decided or was won.

    :param name: the key in the key-value service.
    :param version: the version of that key, once won.
    """

    key: Key
    name: str
    operation_id: data.OperationId
    deadline_s: float
    team: data.TeamName
    body_hash: int
    phase: Phase = Phase.WRITE
    version: int = 0
    retried: bool = False
    ran: bool = False
    whole: bool = False


@dataclasses.dataclass
class Orphan:
    """A claim that was given up and must not stay in the key-value service."""

    name: str
    operation_id: data.OperationId
    due_s: float
    looks: int = 0
    deleting: bool = False


class State:
    """The claims of this process.

    :ivar calls: pending, won and used claims, by name.
    :ivar pending: being decided, by operation.
    :ivar held: won and not yet used, by request.
    :ivar used_s: when calls that ran here ended, by name, the oldest first.
    """

    def __init__(self):
        self.calls: dict[str, Claim] = {}
        self.pending: dict[data.OperationId, Claim] = {}
        self.held: dict[Key, Claim] = {}
        self.used_s: collections.OrderedDict[str, float] = collections.OrderedDict()
        self.claim_count = 0
        self.orphans: dict[data.OperationId, Orphan] = {}


def effective_key(request: data.Request) -> data.IdempotencyKey:
    """Return what names a request's call: its idempotency key, or its own id."""
    return request.idempotency_key or data.IdempotencyKey(request.request_id)


def claim_name(service: data.ServiceName, idempotency_key: data.IdempotencyKey) -> str:
    """Return the key of a call's claim in the key-value service."""
    name = f"claims/{service}/{idempotency_key}"
    if len(name) <= MAX_NAME_LENGTH and "/" not in idempotency_key:
        return name
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"claims/{service}/sha256/{digest}"


def on_wanted(node, event: ClaimWanted) -> list:
    """Create the claim, unless the call is known here already."""
    state = node.claims
    name = claim_name(event.service, event.idempotency_key)
    known = state.calls.get(name)
    if known is not None:
        return [_duplicate(event, known)]
    state.claim_count += 1
    operation_id = data.OperationId(
        f"claim/{node.identity.instance_id}/{node.identity.incarnation}"
        f"/{state.claim_count}"
    )
    claim = Claim(
        key=event.key,
        name=name,
        operation_id=operation_id,
        deadline_s=min(event.deadline_s, node.now_s + CLAIM_TIMEOUT_S),
        team=event.team,
        body_hash=event.body_hash,
    )
    state.calls[name] = claim
    state.pending[operation_id] = claim
    return [_create(node, claim)]


def on_kv(node, event: events.KvAnswered) -> list:
    """Go on with the claim or the orphan that the answer is for."""
    state = node.claims
    claim = state.pending.get(event.operation_id)
    if claim is not None:
        if claim.phase is Phase.WRITE:
            return _on_created(node, claim, event)
        return _on_read_back(node, claim, event)
    orphan = state.orphans.get(event.operation_id)
    if orphan is not None:
        return _on_orphan(node, orphan, event)
    return []


def on_used(node, event: ClaimUsed) -> list:
    """Keep the claim of a call that ran; undo that of one that did not."""
    state = node.claims
    claim = state.held.pop(event.key)
    if not event.ran:
        del state.calls[claim.name]
        _abandon(node, claim, delay_s=0.0)
        return []
    claim.ran = True
    claim.whole = event.whole
    state.used_s[claim.name] = node.now_s
    return []


def on_tick(node, event: events.Tick) -> list:
    """Decide overdue claims, look after orphans, delete old claims."""
    state = node.claims
    items: list = []
    if state.pending:
        for claim in tuple(state.pending.values()):
            if node.now_s >= claim.deadline_s:
                items += _give_up(node, claim)
    if state.orphans:
        items += _look_after_orphans(node)
    if state.used_s:
        items += _delete_old(node)
    return items


HANDLERS = {
    ClaimWanted: on_wanted,
    ClaimUsed: on_used,
    events.KvAnswered: on_kv,
    events.Tick: on_tick,
}


def _duplicate(event: ClaimWanted, known: Claim) -> ClaimDecided:
    """Return the verdict on a repeat of a call that is known here."""
    same = known.team == event.team and known.body_hash == event.body_hash
    kept = known.key if known.whole and same else None
    return ClaimDecided(
        event.key,
        Verdict.DUPLICATE,
        data.Reason.DUPLICATE,
        0.0 if known.ran else RUNNING_RETRY_AFTER_S,
        kept,
    )


def _create(node, claim: Claim) -> effects.KvWrite:
    claim.phase = Phase.WRITE
    holder = Holder(
        claim.operation_id, node.identity.instance_id, node.identity.incarnation
    )
    value = msgspec.json.encode(holder)
    return effects.KvWrite(claim.operation_id, claim.name, value, 0)


def _on_created(node, claim: Claim, event: events.KvAnswered) -> list:
    if event.status is data.KvStatus.OK:
        return _win(node, claim, event.version)
    if event.status is data.KvStatus.NOT_APPLIED:
        return _lose(node, claim, Verdict.UNAVAILABLE)
    # A conflict may be with our own write, repeated below us; only a read tells.
    claim.phase = Phase.READ_BACK
    return [effects.KvRead(claim.operation_id, claim.name)]


def _on_read_back(node, claim: Claim, event: events.KvAnswered) -> list:
    if event.status is data.KvStatus.OK and event.value:
        if _holder(event.value) == claim.operation_id:
            return _win(node, claim, event.version)
        # The key exists for another, so our create can no longer take effect.
        return _lose(node, claim, Verdict.DUPLICATE)
    absent = event.status in (data.KvStatus.ABSENT, data.KvStatus.OK)
    if absent and not claim.retried:
        # The lost create may still land; both carry the same operation id, and
        # only one of them can take effect.
        claim.retried = True
        return [_create(node, claim)]
    return _give_up(node, claim)


def _win(node, claim: Claim, version: int) -> list:
    state = node.claims
    del state.pending[claim.operation_id]
    claim.version = version
    invariants.check(
        state.calls.get(claim.name) is claim and not claim.ran,
        invariants.Invariant.AT_MOST_ONCE,
        f"{claim.name} was won twice",
    )
    state.held[claim.key] = claim
    return [ClaimDecided(claim.key, Verdict.WON)]


def _lose(node, claim: Claim, verdict: Verdict) -> list:
    del node.claims.pending[claim.operation_id]
    del node.claims.calls[claim.name]
    if verdict is Verdict.DUPLICATE:
        return [ClaimDecided(claim.key, verdict, data.Reason.DUPLICATE)]
    return [_unavailable(claim)]


def _give_up(node, claim: Claim) -> list:
    """Answer "not run" at once; the write may still land, so keep an eye on it."""
    del node.claims.pending[claim.operation_id]
    del node.claims.calls[claim.name]
    _abandon(node, claim, ORPHAN_DELAYS_S[0])
    return [_unavailable(claim), effects.Count("claims_given_up")]


def _unavailable(claim: Claim) -> ClaimDecided:
    reason = data.Reason.CLAIM_UNAVAILABLE
    return ClaimDecided(claim.key, Verdict.UNAVAILABLE, reason, RETRY_AFTER_S)


def _abandon(node, claim: Claim, delay_s: float) -> None:
    """Have the claim removed from the key-value service if it is, or gets, there."""
    orphans = node.claims.orphans
    if len(orphans) >= MAX_ORPHANS:
        # Its key stays: a repeat of the call is then answered with "unknown".
        return
    # An id of its own, so that a late answer to the claim is not taken for its own.
    operation_id = data.OperationId(f"undo-{claim.operation_id}")
    orphans[operation_id] = Orphan(claim.name, claim.operation_id, node.now_s + delay_s)


def _look_after_orphans(node) -> list:
    items: list = []
    for operation_id, orphan in tuple(node.claims.orphans.items()):
        if node.now_s < orphan.due_s:
            continue
        if orphan.looks >= len(ORPHAN_DELAYS_S):
            del node.claims.orphans[operation_id]
            continue
        orphan.due_s = node.now_s + ORPHAN_DELAYS_S[orphan.looks]
        orphan.looks += 1
        orphan.deleting = False
        items.append(effects.KvRead(operation_id, orphan.name))
        if len(items) >= MAX_DELETES_PER_TICK:
            break
    return items


def _on_orphan(node, orphan: Orphan, event: events.KvAnswered) -> list:
    """Delete the claim if it is there and still ours; else wait for the next look."""
    orphans = node.claims.orphans
    if event.status is not data.KvStatus.OK:
        orphan.deleting = False
        return []
    if orphan.deleting or _holder(event.value) != orphan.operation_id:
        del orphans[event.operation_id]
        return []
    orphan.deleting = True
    return [effects.KvDelete(event.operation_id, orphan.name, event.version)]


def _delete_old(node) -> list:
    """Delete claims that are old enough, a few at a time."""
    state = node.claims
    items: list = []
    while state.used_s and len(items) < MAX_DELETES_PER_TICK:
        name, used_s = next(iter(state.used_s.items()))
        if node.now_s - used_s < KEEP_S:
            break
        del state.used_s[name]
        claim = state.calls.pop(name)
        operation_id = data.OperationId(f"delete-{claim.operation_id}")
        items.append(effects.KvDelete(operation_id, name, claim.version))
    return items


def _holder(value: bytes) -> data.OperationId | None:
    try:
        return msgspec.json.decode(value, type=Holder).operation_id
    except msgspec.MsgspecError:
        return None
