"""Checks the guarantees of a simulated system from the outside.

The program asserts its own invariants at each step. The guarantees here can be checked
only by an observer of all callers and services.
"""

from standins import system_parts, system_simulation
from toucanspread.core import data

CONVERGENCE_S = 90.0  # time without faults by which the system must match the intents


class GuaranteeViolationError(Exception):
    """A guarantee to callers or operators was violated."""


def check_callers(system: system_simulation.SystemSimulation) -> None:
    """Check the outcomes of all requests against the executions.

    :raises GuaranteeViolationError: at the first violation.
    """
    executions = _count_executions(system)
    for name, count in executions.items():
        if count > 1:
            raise GuaranteeViolationError(f"{name} was executed {count} times")
    requests_by_key: dict[str, list[system_parts.SentRequest]] = {}
    for sent in system.sent_requests.values():
        _check_outcomes(system, sent)
        requests_by_key.setdefault(sent.request.idempotency_key, []).append(sent)
    for key, requests in requests_by_key.items():
        _check_key(key, requests, executions.get(key, 0))


def _count_executions(system: system_simulation.SystemSimulation) -> dict[str, int]:
    executions: dict[str, int] = {}
    for host in system.hosts.values():
        for name, count in host.plain_service.executions.items():
            executions[name] = executions.get(name, 0) + count
    return executions


def _check_outcomes(
    system: system_simulation.SystemSimulation, sent: system_parts.SentRequest
) -> None:
    request_id = sent.request.request_id
    if len(sent.outcomes) > 1:
        raise GuaranteeViolationError(f"{request_id} ended {len(sent.outcomes)} times")
    if sent.outcomes:
        return
    process = system.processes.get(sent.entry)
    if process is None or process.identity.incarnation != sent.incarnation:
        return  # the entry died, and the caller's connection broke
    if process.frozen or process.held_events:
        return
    waited_s = system.now_s - sent.sent_s
    limit_s = sent.request.budget_s + system_simulation.ANSWER_MARGIN_S
    if waited_s > limit_s and not _was_frozen(system, sent):
        raise GuaranteeViolationError(
            f"{request_id} has no outcome after {waited_s:.1f} s"
        )


def _was_frozen(
    system: system_simulation.SystemSimulation, sent: system_parts.SentRequest
) -> bool:
    return system.thawed_s.get(sent.entry, -1.0) >= sent.sent_s


def _check_key(key: str, requests: list[system_parts.SentRequest], count: int) -> None:
    if requests[0].request.repeatable:
        return
    outcomes = [sent.outcomes[0].outcome for sent in requests if sent.outcomes]
    all_answered = len(outcomes) == len(requests)
    if count and all_answered and set(outcomes) == {data.Outcome.NOT_RUN}:
        raise GuaranteeViolationError(f"{key} ended as not run, but was executed")
    if not count and data.Outcome.DONE in outcomes:
        raise GuaranteeViolationError(f"{key} ended as done, but was never executed")


def check_converged(system: system_simulation.SystemSimulation) -> None:
    """Check that, after all faults have ended, the system matches the intents.

    :raises GuaranteeViolationError: if it does not; the message names the processes.
    """
    missing = set(system.hosts) - set(system.processes)
    if missing:
        raise GuaranteeViolationError(f"no process runs on {sorted(missing)}")
    nodes = [process.stepper.node for process in system.processes.values()]
    highest = max(node.config.revision for node in nodes)
    behind = [n.identity.instance_id for n in nodes if n.config.revision != highest]
    if behind:
        raise GuaranteeViolationError(f"revision {highest} is not in force on {behind}")
    intents = next(n for n in nodes if n.config.revision == highest).config.intents
    for intent in intents.values():
        serving_nodes = [node for node in nodes if _is_serving(node, intent)]
        capable_nodes = [node for node in nodes if _can_serve(system, node, intent)]
        required_count = min(intent.replicas, len(capable_nodes))
        if len(serving_nodes) < required_count:
            raise GuaranteeViolationError(
                f"{intent.service}: {len(serving_nodes)} of {required_count} "
                "replicas are complete"
            )


def _is_serving(node, intent: data.Intent) -> bool:
    orders = getattr(node, "orders", None)
    if orders is None or orders.serving is None:
        return False
    serving = orders.serving
    return serving.service == intent.service and serving.version == intent.version


def _can_serve(
    system: system_simulation.SystemSimulation, node, intent: data.Intent
) -> bool:
    if node.identity.role is not data.Role.ENDPOINT:
        return False
    host = system.hosts[node.identity.instance_id]
    if intent.kind is data.ServiceKind.PLAIN:
        return host.service == intent.service
    return host.kind is data.ServiceKind.MODEL
