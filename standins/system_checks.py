"""What must hold of whole machines in virtual time, seen from outside.

The program asserts its own invariants at each step; these are the promises that only
an observer of all callers and services can judge.
"""

from standins import system_simulation
from toucanspread.core import data

SETTLE_S = 90.0  # with no faults, within which everything has to be as declared


class PromiseBrokenError(Exception):
    """A promise to callers or operators did not hold."""


def check_callers(system: system_simulation.VirtualSystem) -> None:
    """Check every request's outcomes against the executions.

    :raises PromiseBrokenError: on the first that does not hold.
    """
    executions = _executions(system)
    for name, count in executions.items():
        if count > 1:
            raise PromiseBrokenError(f"{name} was executed {count} times")
    tries: dict[str, list[system_simulation.Sent]] = {}
    for sent in system.sent.values():
        _check_outcomes(system, sent)
        tries.setdefault(sent.request.idempotency_key, []).append(sent)
    for key, found in tries.items():
        _check_key(key, found, executions.get(key, 0))


def _executions(system: system_simulation.VirtualSystem) -> dict[str, int]:
    executions: dict[str, int] = {}
    for place in system.places.values():
        for name, count in place.plain.executions.items():
            executions[name] = executions.get(name, 0) + count
    return executions


def _check_outcomes(
    system: system_simulation.VirtualSystem, sent: system_simulation.Sent
) -> None:
    request_id = sent.request.request_id
    if len(sent.outcomes) > 1:
        raise PromiseBrokenError(f"{request_id} ended {len(sent.outcomes)} times")
    if sent.outcomes:
        return
    process = system.processes.get(sent.entry)
    if process is None or process.identity.incarnation != sent.incarnation:
        return  # its entry died; the caller saw its connection break
    if process.frozen or process.held:
        return
    waited_s = system.now_s - sent.at_s
    limit_s = sent.request.budget_s + system_simulation.ANSWER_SLACK_S
    if waited_s > limit_s and not _was_frozen(system, sent):
        raise PromiseBrokenError(f"{request_id} has no outcome after {waited_s:.1f} s")


def _was_frozen(
    system: system_simulation.VirtualSystem, sent: system_simulation.Sent
) -> bool:
    return system.thawed_s.get(sent.entry, -1.0) >= sent.at_s


def _check_key(key: str, found: list[system_simulation.Sent], count: int) -> None:
    if found[0].request.repeatable:
        return
    outcomes = [sent.outcomes[0].outcome for sent in found if sent.outcomes]
    all_answered = len(outcomes) == len(found)
    if count and all_answered and set(outcomes) == {data.Outcome.NOT_RUN}:
        raise PromiseBrokenError(f"{key} was called not run, but was executed")
    if not count and data.Outcome.DONE in outcomes:
        raise PromiseBrokenError(f"{key} was called done, but was never executed")


def check_settled(system: system_simulation.VirtualSystem) -> None:
    """Check that, with all faults over, everything is as declared.

    :raises PromiseBrokenError: naming who is not.
    """
    missing = set(system.places) - set(system.processes)
    if missing:
        raise PromiseBrokenError(f"no process runs at {sorted(missing)}")
    nodes = [process.stepper.node for process in system.processes.values()]
    highest = max(node.config.revision for node in nodes)
    behind = [n.identity.instance_id for n in nodes if n.config.revision != highest]
    if behind:
        raise PromiseBrokenError(f"revision {highest} is not in force at {behind}")
    intents = next(n for n in nodes if n.config.revision == highest).config.intents
    for intent in intents.values():
        whole = [node for node in nodes if _serves(node, intent)]
        able = [node for node in nodes if _is_able(system, node, intent)]
        wanted = min(intent.replicas, len(able))
        if len(whole) < wanted:
            raise PromiseBrokenError(
                f"{intent.service}: {len(whole)} of {wanted} replicas are whole"
            )


def _serves(node, intent: data.Intent) -> bool:
    orders = getattr(node, "orders", None)
    if orders is None or orders.serving is None:
        return False
    serving = orders.serving
    return serving.service == intent.service and serving.version == intent.version


def _is_able(
    system: system_simulation.VirtualSystem, node, intent: data.Intent
) -> bool:
    if node.identity.role is not data.Role.ENDPOINT:
        return False
    place = system.places[node.identity.instance_id]
    if intent.kind is data.ServiceKind.PLAIN:
        return place.service == intent.service
    return place.kind is data.ServiceKind.MODEL
