"""What must hold of whole machines in virtual time, seen from outside.

The program asserts its own invariants at each step; these are the promises that only
an observer of all callers and services can judge.
"""

from standins import system_simulation
from toucanspread.core import data

CONVERGENCE_S = 90.0  # with no faults, within which everything has to be as declared


class PromiseViolationError(Exception):
    """A promise to callers or operators did not hold."""


def check_callers(system: system_simulation.SystemSimulation) -> None:
    """Check every request's outcomes against the executions.

    :raises PromiseViolationError: on the first that does not hold.
    """
    executions = _count_executions(system)
    for name, count in executions.items():
        if count > 1:
            raise PromiseViolationError(f"{name} was executed {count} times")
    tries: dict[str, list[system_simulation.SentRequest]] = {}
    for sent in system.sent_requests.values():
        _check_outcomes(system, sent)
        tries.setdefault(sent.request.idempotency_key, []).append(sent)
    for key, found in tries.items():
        _check_key(key, found, executions.get(key, 0))


def _count_executions(system: system_simulation.SystemSimulation) -> dict[str, int]:
    executions: dict[str, int] = {}
    for place in system.hosts.values():
        for name, count in place.plain_service.executions.items():
            executions[name] = executions.get(name, 0) + count
    return executions


def _check_outcomes(
    system: system_simulation.SystemSimulation, sent: system_simulation.SentRequest
) -> None:
    request_id = sent.request.request_id
    if len(sent.outcomes) > 1:
        raise PromiseViolationError(f"{request_id} ended {len(sent.outcomes)} times")
    if sent.outcomes:
        return
    process = system.processes.get(sent.entry)
    if process is None or process.identity.incarnation != sent.incarnation:
        return  # its entry died; the caller saw its connection break
    if process.frozen or process.held_events:
        return
    waited_s = system.now_s - sent.sent_s
    limit_s = sent.request.budget_s + system_simulation.ANSWER_MARGIN_S
    if waited_s > limit_s and not _was_frozen(system, sent):
        raise PromiseViolationError(
            f"{request_id} has no outcome after {waited_s:.1f} s"
        )


def _was_frozen(
    system: system_simulation.SystemSimulation, sent: system_simulation.SentRequest
) -> bool:
    return system.thawed_s.get(sent.entry, -1.0) >= sent.sent_s


def _check_key(
    key: str, found: list[system_simulation.SentRequest], count: int
) -> None:
    if found[0].request.repeatable:
        return
    outcomes = [sent.outcomes[0].outcome for sent in found if sent.outcomes]
    all_answered = len(outcomes) == len(found)
    if count and all_answered and set(outcomes) == {data.Outcome.NOT_RUN}:
        raise PromiseViolationError(f"{key} was called not run, but was executed")
    if not count and data.Outcome.DONE in outcomes:
        raise PromiseViolationError(f"{key} was called done, but was never executed")


def check_converged(system: system_simulation.SystemSimulation) -> None:
    """Check that, with all faults over, everything is as declared.

    :raises PromiseViolationError: naming who is not.
    """
    missing = set(system.hosts) - set(system.processes)
    if missing:
        raise PromiseViolationError(f"no process runs at {sorted(missing)}")
    nodes = [process.stepper.node for process in system.processes.values()]
    highest = max(node.config.revision for node in nodes)
    behind = [n.identity.instance_id for n in nodes if n.config.revision != highest]
    if behind:
        raise PromiseViolationError(f"revision {highest} is not in force at {behind}")
    intents = next(n for n in nodes if n.config.revision == highest).config.intents
    for intent in intents.values():
        whole = [node for node in nodes if _is_serving(node, intent)]
        able = [node for node in nodes if _can_serve(system, node, intent)]
        wanted = min(intent.replicas, len(able))
        if len(whole) < wanted:
            raise PromiseViolationError(
                f"{intent.service}: {len(whole)} of {wanted} replicas are whole"
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
    place = system.hosts[node.identity.instance_id]
    if intent.kind is data.ServiceKind.PLAIN:
        return place.service == intent.service
    return place.kind is data.ServiceKind.MODEL
