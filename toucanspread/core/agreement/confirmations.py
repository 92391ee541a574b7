"""Confirms plans for operators.

Two changes conflict when they touch the same service, when they name the same leaving
instance, or when together they need more instances than there are. Any other change
that was accepted since the plan was made doesn't stand in the way.
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
MAX_RUNNING = 64  # confirmations at once; each reads the head
HEAL_CHECK_INTERVAL_S = 2.0


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

    :param revision: where the change was accepted, else the revision known here.
    :param retry_after_s: when to confirm again; 0 when that is of no use.
    :param changed: what other operators changed since the plan was made.
    :param plan: a fresh plan of the same proposal, after a conflict.
    """

    operation_id: data.OperationId
    verdict: Verdict
    revision: data.Revision
    retry_after_s: float = 0.0
    why: str = ""
    changed: tuple[str, ...] = ()
    plan: plans.Plan | None = None


class Confirmation:
    """A confirmation under way; without a request, a healing of the service.

    :param is_internal: whether no operator waits for the answer.
    """

    def __init__(
        self,
        request: ConfirmRequested | None,
        run: acceptance.Acceptance,
        is_internal: bool = False,
    ):
        self.request = request
        self.run = run
        self.is_internal = is_internal or request is None


class State:
    """The confirmations under way."""

    def __init__(self):
        self.running: list[Confirmation] = []
        self.heal_check_s = 0.0


def on_confirm(node: machine.Node, event: ConfirmRequested) -> list:
    """Start an acceptance, unless the plan id is not that of the proposal."""
    expected = plans.compute_plan_id(event.base_revision, event.intents, event.removed)
    if event.plan_id != expected:
        return [_refused(node, event, "the plan id is not that of the proposal")]
    if len(node.confirmations.running) >= MAX_RUNNING:
        why = "too many confirmations at once"
        return [_refused(node, event, why, retry_after_s=RETRY_AFTER_S)]
    started = Confirmation(event, acceptance.Acceptance(node, event.plan_id))
    node.confirmations.running.append(started)
    return [*acceptance.begin(node, started.run), *_settle(node, started)]


def on_kv_answered(node: machine.Node, event: events.KvAnswered) -> list:
    """Go on with the confirmation that made the call."""
    for confirmation in node.confirmations.running:
        if confirmation.run.call_id != event.operation_id:
            continue
        items = acceptance.on_answer(node, confirmation.run, event)
        return [*items, *_settle(node, confirmation)]
    return []


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Watch the deadlines, and heal a service that was restored."""
    items = [*_maybe_heal(node), *_maybe_propose_lost(node)]
    for confirmation in [*node.confirmations.running]:
        items.extend(acceptance.on_tick(node, confirmation.run))
        items.extend(_settle(node, confirmation))
    return items


def _maybe_heal(node: machine.Node) -> list:
    state = node.confirmations
    if node.now_s < state.heal_check_s:
        return []
    state.heal_check_s = node.now_s + HEAL_CHECK_INTERVAL_S * (
        0.5 + node.random.random()
    )
    since_s = node.config_watch.behind_since_s
    if since_s is None or node.now_s - since_s < acceptance.HEAL_DELAY_S:
        return []
    if any(running.is_internal for running in state.running):
        return []
    started = Confirmation(None, acceptance.Acceptance(node, data.PlanId("")))
    state.running.append(started)
    return acceptance.begin(node, started.run)


def _maybe_propose_lost(node: machine.Node) -> list:
    """Propose again what was accepted only in a history that was given up.

    The plan id depends on nothing else, so that several entries propose it once.
    """
    state = node.confirmations
    lost = node.config.lost
    if not lost or any(running.is_internal for running in state.running):
        return []
    for service, stamp in [*lost.items()]:
        held = node.config.stamps.get(service)
        if held is not None and held.revision > stamp.revision:
            del lost[service]
    if not lost:
        return []
    proposed = tuple(stamp.intent for stamp in lost.values() if stamp.intent)
    removed = tuple(name for name, stamp in lost.items() if not stamp.intent)
    request = ConfirmRequested(
        operations.new_id(node, "again"),
        node.config.revision,
        proposed,
        removed,
        plans.compute_plan_id(data.Revision(0), proposed, removed),
    )
    run = acceptance.Acceptance(node, request.plan_id)
    started = Confirmation(request, run, is_internal=True)
    state.running.append(started)
    return acceptance.begin(node, started.run)


def _settle(node: machine.Node, confirmation: Confirmation) -> list:
    """Decide when the process is level with the service; answer when it is over."""
    items = []
    run = confirmation.run
    if run.phase is acceptance.Phase.DECIDE:
        items.extend(_decide(node, confirmation))
    if run.phase is not acceptance.Phase.OVER:
        return items
    if confirmation in node.confirmations.running:
        node.confirmations.running.remove(confirmation)
    if not confirmation.is_internal and run.result is not None:
        items.append(_answer(node, confirmation.request, run))
    return items


def _decide(node: machine.Node, confirmation: Confirmation) -> list:
    """Write the proposal unless another change stands in its way."""
    run = confirmation.run
    request = confirmation.request
    if request is None:
        return acceptance.finish(run, acceptance.Result.NOT_ACCEPTED)
    if confirmation.is_internal:
        return acceptance.write(
            node, run, request.operation_id, request.intents, request.removed
        )
    if request.base_revision > node.config.revision:
        run.why = "the plan was made from a revision that is not known here"
        return acceptance.give_up(run, run.why)
    changed = conflicts(node, request)
    plan = plan_requests.make(node, request.intents, request.removed)
    if changed or (plan.refusals and request.base_revision < node.config.revision):
        acceptance.finish(run, acceptance.Result.NOT_ACCEPTED, "conflict")
        run.result = None
        return [
            effects.Count("confirm_conflict"),
            ConfirmAnswered(
                request.operation_id,
                Verdict.CONFLICT,
                node.config.revision,
                changed=changed or plan.refusals,
                plan=plan,
            ),
        ]
    if plan.refusals:
        why = "; ".join(plan.refusals)
        return acceptance.finish(run, acceptance.Result.NOT_ACCEPTED, why)
    return acceptance.write(
        node, run, request.operation_id, request.intents, request.removed
    )


def conflicts(node: machine.Node, request: ConfirmRequested) -> tuple[str, ...]:
    """Return what was changed since the plan was made that conflicts with it."""
    services = change_log.touched(request.intents, request.removed)
    leaving = {
        departure.instance_id
        for intent in request.intents
        for departure in intent.departures
    }
    found = []
    newer = change_log.newer(node.config.stamps, request.base_revision)
    for stamp in newer:
        if stamp.service in services:
            what = "removed" if stamp.intent is None else "changed"
            found.append(
                f"service {stamp.service} was {what} at revision {stamp.revision} "
                f"by {stamp.operation_id}"
            )
            continue
        for departure in stamp.intent.departures if stamp.intent else ():
            if departure.instance_id in leaving:
                found.append(
                    f"instance {departure.instance_id} was named to leave at revision "
                    f"{stamp.revision} by {stamp.operation_id}"
                )
    if newer and not found and fleet_overview.is_complete(node):
        found.extend(_shortages(node, request, newer))
    return tuple(found)


def _shortages(
    node: machine.Node, request: ConfirmRequested, newer: tuple[change_log.Stamp, ...]
) -> list[str]:
    """Return which services the proposal and newer changes can't both have."""
    found = fleet_overview.replicas(node)
    after = plans.propose(node.config.intents, request.intents, request.removed)
    with_it = placement.place(after, found, node.wall_s).short
    without = placement.place(node.config.intents, found, node.wall_s).short
    involved = change_log.touched(request.intents, ())
    involved |= {stamp.service for stamp in newer}
    lines = []
    for service in sorted(involved):
        if with_it.get(service, 0) > without.get(service, 0):
            lines.append(
                f"service {service} would be {with_it[service]} instances short, "
                f"next to changes up to revision {node.config.revision}"
            )
    return lines


def _answer(
    node: machine.Node, request: ConfirmRequested, run: acceptance.Acceptance
) -> ConfirmAnswered:
    if run.result is acceptance.Result.ACCEPTED:
        return ConfirmAnswered(request.operation_id, Verdict.ACCEPTED, run.revision)
    verdict = Verdict.NOT_ACCEPTED
    if run.result is acceptance.Result.UNKNOWN:
        verdict = Verdict.UNKNOWN
    return ConfirmAnswered(
        request.operation_id,
        verdict,
        node.config.revision,
        retry_after_s=RETRY_AFTER_S,
        why=run.why,
    )


def _refused(
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
