"""Confirms plans for operators.

Two changes conflict when they set or remove the same service, when they name the same
leaving instance, or when together they need more instances than there are. Any other
change that was accepted since the plan was made does not prevent a confirmation.
"""

import enum

from toucanspread.core import data, effects, events, machine, operations
from toucanspread.core.agreement import (
    acceptance,
    change_log,
    fleet_overview,
    placement,
    plan_requests,
    plans,
)

RETRY_AFTER_S = 5.0
MAX_RUNNING_CONFIRMATIONS = 64  # each one reads the head
REPAIR_CHECK_INTERVAL_S = 2.0


class Verdict(enum.Enum):
    """The answer to a confirmation."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    NOT_ACCEPTED = "not accepted"
    UNKNOWN = "unknown"


class ConfirmRequested(data.Event):
    """An operator confirms a plan.

    :param operation_id: names this confirmation in the change that it makes.
    """

    operation_id: data.OperationId
    base_revision: data.Revision
    intents: tuple[data.Intent, ...]
    removed: tuple[data.ServiceName, ...]
    plan_id: data.PlanId


class ConfirmAnswered(data.Effect):
    """The answer to a confirmation.

    :param revision: the revision of the accepted change, else the one in force here.
    :param retry_after_s: the delay before another try; 0 if a retry can't succeed.
    :param changed: what other operators changed since the plan was made.
    :param plan: a new plan of the same proposal, after a conflict.
    """

    operation_id: data.OperationId
    verdict: Verdict
    revision: data.Revision
    retry_after_s: float = 0.0
    why: str = ""
    changed: tuple[str, ...] = ()
    plan: plans.Plan | None = None


class Confirmation:
    """A confirmation in progress; without a request, a repair of the service.

    :param attempt: the acceptance by which the change or the repair is written.
    :param is_internal: whether no operator waits for the answer.
    """

    def __init__(
        self,
        request: ConfirmRequested | None,
        attempt: acceptance.Acceptance,
        is_internal: bool = False,
    ):
        self.request = request
        self.attempt = attempt
        self.is_internal = is_internal or request is None


class State:
    """The confirmations in progress."""

    def __init__(self):
        self.running: list[Confirmation] = []
        self.next_repair_check_s = 0.0


def on_confirm(node: machine.Node, event: ConfirmRequested) -> list:
    """Start an acceptance, unless the plan id is not that of the proposal."""
    expected = plans.compute_plan_id(event.base_revision, event.intents, event.removed)
    if event.plan_id != expected:
        return [_build_refusal(node, event, "the plan id is not that of the proposal")]
    if len(node.confirmations.running) >= MAX_RUNNING_CONFIRMATIONS:
        why = "too many confirmations at once"
        return [_build_refusal(node, event, why, retry_after_s=RETRY_AFTER_S)]
    confirmation = Confirmation(event, acceptance.Acceptance(node, event.plan_id))
    node.confirmations.running.append(confirmation)
    return [
        *acceptance.begin_round(node, confirmation.attempt),
        *_advance(node, confirmation),
    ]


def on_kv_answered(node: machine.Node, event: events.KvAnswered) -> list:
    """Pass the answer to the confirmation that made the call."""
    for confirmation in node.confirmations.running:
        if confirmation.attempt.call_id != event.operation_id:
            continue
        outputs = acceptance.on_answer(node, confirmation.attempt, event)
        return [*outputs, *_advance(node, confirmation)]
    return []


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Check the deadlines, start a due repair, propose discarded changes again."""
    outputs = [*_start_due_repair(node), *_propose_discarded_again(node)]
    for confirmation in [*node.confirmations.running]:
        outputs.extend(acceptance.on_tick(node, confirmation.attempt))
        outputs.extend(_advance(node, confirmation))
    return outputs


def _start_due_repair(node: machine.Node) -> list:
    state = node.confirmations
    if node.now_s < state.next_repair_check_s:
        return []
    state.next_repair_check_s = node.now_s + REPAIR_CHECK_INTERVAL_S * (
        0.5 + node.random.random()
    )
    since_s = node.config_watch.behind_since_s
    if since_s is None or node.now_s - since_s < acceptance.REPAIR_DELAY_S:
        return []
    if any(running.is_internal for running in state.running):
        return []
    confirmation = Confirmation(None, acceptance.Acceptance(node, data.PlanId("")))
    state.running.append(confirmation)
    return acceptance.begin_round(node, confirmation.attempt)


def _propose_discarded_again(node: machine.Node) -> list:
    """Propose again what was accepted only in a history that was replaced.

    The plan id depends only on the proposal, so that it is accepted once even if
    several entries propose it.
    """
    state = node.confirmations
    discarded = node.config.discarded
    if not discarded or any(running.is_internal for running in state.running):
        return []
    for service, stamp in [*discarded.items()]:
        current = node.config.stamps.get(service)
        if current is not None and current.revision > stamp.revision:
            del discarded[service]
    if not discarded:
        return []
    proposed = tuple(stamp.intent for stamp in discarded.values() if stamp.intent)
    removed = tuple(name for name, stamp in discarded.items() if not stamp.intent)
    request = ConfirmRequested(
        operations.new_id(node, "again"),
        node.config.revision,
        proposed,
        removed,
        plans.compute_plan_id(data.Revision(0), proposed, removed),
    )
    attempt = acceptance.Acceptance(node, request.plan_id)
    confirmation = Confirmation(request, attempt, is_internal=True)
    state.running.append(confirmation)
    return acceptance.begin_round(node, confirmation.attempt)


def _advance(node: machine.Node, confirmation: Confirmation) -> list:
    """Decide once this process has the service's revision; answer at the end."""
    outputs = []
    attempt = confirmation.attempt
    if attempt.phase is acceptance.Phase.DECIDE:
        outputs.extend(_decide(node, confirmation))
    if attempt.phase is not acceptance.Phase.OVER:
        return outputs
    if confirmation in node.confirmations.running:
        node.confirmations.running.remove(confirmation)
    if not confirmation.is_internal and attempt.result is not None:
        outputs.append(_build_answer(node, confirmation.request, attempt))
    return outputs


def _decide(node: machine.Node, confirmation: Confirmation) -> list:
    """Write the proposal unless another change conflicts with it."""
    attempt = confirmation.attempt
    request = confirmation.request
    if request is None:
        return acceptance.finish(attempt, acceptance.Result.NOT_ACCEPTED)
    if confirmation.is_internal:
        return acceptance.write_change(
            node, attempt, request.operation_id, request.intents, request.removed
        )
    if request.base_revision > node.config.revision:
        attempt.why = "the plan was made from a revision that is not known here"
        return acceptance.abandon(attempt, attempt.why)
    conflicts = find_conflicts(node, request)
    plan = plan_requests.make_plan(node, request.intents, request.removed)
    if conflicts or (plan.refusals and request.base_revision < node.config.revision):
        acceptance.finish(attempt, acceptance.Result.NOT_ACCEPTED, "conflict")
        attempt.result = None  # so that _advance adds no second answer
        return [
            effects.Count("confirm_conflict"),
            ConfirmAnswered(
                request.operation_id,
                Verdict.CONFLICT,
                node.config.revision,
                changed=conflicts or plan.refusals,
                plan=plan,
            ),
        ]
    if plan.refusals:
        why = "; ".join(plan.refusals)
        return acceptance.finish(attempt, acceptance.Result.NOT_ACCEPTED, why)
    return acceptance.write_change(
        node, attempt, request.operation_id, request.intents, request.removed
    )


def find_conflicts(node: machine.Node, request: ConfirmRequested) -> tuple[str, ...]:
    """Return the changes since the plan was made that conflict with it."""
    services = change_log.collect_services(request.intents, request.removed)
    leaving = {
        departure.instance_id
        for intent in request.intents
        for departure in intent.departures
    }
    conflicts = []
    newer_stamps = change_log.select_stamps_above(
        node.config.stamps, request.base_revision
    )
    for stamp in newer_stamps:
        if stamp.service in services:
            verb = "removed" if stamp.intent is None else "changed"
            conflicts.append(
                f"service {stamp.service} was {verb} at revision {stamp.revision} "
                f"by {stamp.operation_id}"
            )
            continue
        for departure in stamp.intent.departures if stamp.intent else ():
            if departure.instance_id in leaving:
                conflicts.append(
                    f"instance {departure.instance_id} was named to leave at revision "
                    f"{stamp.revision} by {stamp.operation_id}"
                )
    if newer_stamps and not conflicts and fleet_overview.is_complete(node):
        conflicts.extend(_find_shortages(node, request, newer_stamps))
    return tuple(conflicts)


def _find_shortages(
    node: machine.Node,
    request: ConfirmRequested,
    newer_stamps: tuple[change_log.Stamp, ...],
) -> list[str]:
    """Return the services that lack instances because of proposal and newer changes."""
    replicas = fleet_overview.collect_replicas(node)
    resulting = plans.apply_proposal(
        node.config.intents, request.intents, request.removed
    )
    short_with = placement.place(resulting, replicas, node.wall_s).shortages
    short_without = placement.place(
        node.config.intents, replicas, node.wall_s
    ).shortages
    services = change_log.collect_services(request.intents, ())
    services |= {stamp.service for stamp in newer_stamps}
    shortages = []
    for service in sorted(services):
        if short_with.get(service, 0) > short_without.get(service, 0):
            shortages.append(
                f"service {service} would be {short_with[service]} instances short, "
                f"next to changes up to revision {node.config.revision}"
            )
    return shortages


def _build_answer(
    node: machine.Node, request: ConfirmRequested, attempt: acceptance.Acceptance
) -> ConfirmAnswered:
    if attempt.result is acceptance.Result.ACCEPTED:
        return ConfirmAnswered(request.operation_id, Verdict.ACCEPTED, attempt.revision)
    verdict = Verdict.NOT_ACCEPTED
    if attempt.result is acceptance.Result.UNKNOWN:
        verdict = Verdict.UNKNOWN
    return ConfirmAnswered(
        request.operation_id,
        verdict,
        node.config.revision,
        retry_after_s=RETRY_AFTER_S,
        why=attempt.why,
    )


def _build_refusal(
    node: machine.Node,
    request: ConfirmRequested,
    why: str,
    retry_after_s: float = 0.0,
) -> ConfirmAnswered:
    return ConfirmAnswered(
        request.operation_id,
        Verdict.NOT_ACCEPTED,
        node.config.revision,
        retry_after_s=retry_after_s,
        why=why,
    )


HANDLERS = {
    ConfirmRequested: on_confirm,
    events.KvAnswered: on_kv_answered,
    events.Tick: on_tick,
}
