"""Answers operators who request a plan.

An entry that gets the reports of only some endpoint processes queries the holder of the
lease, which has an overview of all. Without a reply in time it makes the plan from what
it knows itself, and the plan has a warning about that.
"""

from toucanspread.core import data, effects, events, machine
from toucanspread.core.agreement import config, fleet_overview, plans

HOLDER_TIMEOUT_S = 1.0
SERVICE_EVIDENCE_MAX_AGE_S = 30.0  # an idle watch is answered more often than this


class PlanRequested(data.Event):
    """An operator requests a plan of a proposal."""

    operation_id: data.OperationId
    intents: tuple[data.Intent, ...]
    removed: tuple[data.ServiceName, ...] = ()


class PlanAnswered(data.Effect):
    """The answer to a plan request.

    :param problems: why the plan can't be confirmed; the plan is included nevertheless.
    :param service_known: false when the plan is based on the last known revision
        because the key-value service does not answer.
    """

    operation_id: data.OperationId
    plan: plans.Plan
    problems: tuple[str, ...] = ()
    service_known: bool = True


class PlanQuery(data.Message):
    """Requests a plan from the holder of the lease."""

    operation_id: data.OperationId
    intents: tuple[data.Intent, ...]
    removed: tuple[data.ServiceName, ...]


class PlanReply(data.Message):
    """The holder's answer to a query."""

    operation_id: data.OperationId
    plan: plans.Plan


class State:
    """The requests that wait for the holder's reply.

    :param costs: the rates from which plans estimate their time.
    """

    def __init__(self, costs: plans.Costs | None = None):
        self.costs = costs or plans.Costs()
        self.pending: dict[data.OperationId, tuple[PlanRequested, float]] = {}


def make_plan(
    node: machine.Node,
    proposed: tuple[data.Intent, ...],
    removed: tuple[data.ServiceName, ...],
) -> plans.Plan:
    """Return the plan of a proposal on the revision in force."""
    return plans.make_plan(
        config.build_snapshot(node),
        proposed,
        removed,
        fleet_overview.collect_replicas(node),
        node.wall_s,
        node.plan_requests.costs,
        fleet_overview.is_complete(node),
    )


def on_request(node: machine.Node, event: PlanRequested) -> list:
    """Answer the request, or query the holder first."""
    if fleet_overview.is_complete(node) or not node.config_gossip.controller:
        return [_answer_locally(node, event)]
    node.plan_requests.pending[event.operation_id] = (
        event,
        node.now_s + HOLDER_TIMEOUT_S,
    )
    query = PlanQuery(event.operation_id, event.intents, event.removed)
    return [effects.Send(node.config_gossip.controller, query)]


def on_message(node: machine.Node, event: events.MessageReceived) -> list:
    """Answer another entry's query, or pass the holder's reply to the operator."""
    message = event.message
    if isinstance(message, PlanQuery):
        if not fleet_overview.is_complete(node):
            return []
        plan = make_plan(node, message.intents, message.removed)
        reply = PlanReply(message.operation_id, plan)
        return [effects.Send(event.sender.address, reply)]
    if not isinstance(message, PlanReply):
        return []
    if node.plan_requests.pending.pop(message.operation_id, None) is None:
        return []
    return [_build_answer(node, message.operation_id, message.plan)]


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Answer from local knowledge once the holder's reply is overdue."""
    pending = node.plan_requests.pending
    answers = []
    for operation_id, (request, due_s) in [*pending.items()]:
        if node.now_s >= due_s:
            del pending[operation_id]
            answers.append(_answer_locally(node, request))
    return answers


def _answer_locally(node: machine.Node, request: PlanRequested) -> PlanAnswered:
    """Return an answer with a plan made from what this entry knows."""
    plan = make_plan(node, request.intents, request.removed)
    return _build_answer(node, request.operation_id, plan)


def _build_answer(
    node: machine.Node, operation_id: data.OperationId, plan: plans.Plan
) -> PlanAnswered:
    is_recent = (
        node.now_s - node.config_gossip.service_checked_s < SERVICE_EVIDENCE_MAX_AGE_S
    )
    service_known = is_recent and node.config_gossip.service_answers
    return PlanAnswered(operation_id, plan, plan.refusals, service_known)


HANDLERS = {
    PlanRequested: on_request,
    events.MessageReceived: on_message,
    events.Tick: on_tick,
}
