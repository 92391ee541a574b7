"""Ends requests with their one final outcome and records the outcome's metrics."""

from toucanspread.core import data, effects, invariants, machine
from toucanspread.core.requests import (
    entry_selection,
    request_events,
    request_state,
    retries,
)

RETRY_AFTER_S = 1.0  # unless the endpoint gave a time
NO_VERSION = data.VersionName("")


def fail(
    node: machine.Node, live: request_state.LiveRequest, reason: data.Reason
) -> list:
    """End an unsuccessful request: as not run if that is proved, else as unknown."""
    outcome = data.Outcome.NOT_RUN
    if live.get_execution_status() is retries.ExecutionStatus.MAY_HAVE_RUN:
        outcome = data.Outcome.UNKNOWN
    return finish(node, live, outcome, reason)


def refuse(
    node: machine.Node,
    request: data.Request,
    reason: data.Reason,
    outcome: data.Outcome = data.Outcome.NOT_RUN,
) -> list:
    """End a request before its first attempt."""
    ended = request_events.FinishRequest(
        request_id=request.request_id,
        team=request.team,
        outcome=outcome,
        reason=reason,
        retry_after_s=jitter_retry_after_s(node, 0.0),
        addresses=_find_alternative_addresses(node, request.service, reason),
    )
    return [ended, *count_outcome(request, outcome, reason)]


def finish(
    node: machine.Node,
    live: request_state.LiveRequest,
    outcome: data.Outcome,
    reason: data.Reason,
    status: int = 200,
    version: data.VersionName = NO_VERSION,
) -> list:
    """End a request with its one final outcome."""
    request = live.request
    invariants.check(
        node.requests.live.pop(request.request_id, None) is live,
        invariants.Invariant.ONE_FINAL_OUTCOME,
        f"{request.request_id} ended twice",
    )
    invariants.check(
        outcome is not data.Outcome.NOT_RUN
        or live.get_execution_status() is retries.ExecutionStatus.NOT_RUN,
        invariants.Invariant.NOT_RUN_IS_PROVED,
        f"{request.request_id} may have run",
    )
    done = outcome is data.Outcome.DONE
    ended = request_events.FinishRequest(
        request_id=request.request_id,
        team=request.team,
        outcome=outcome,
        reason=reason,
        retry_after_s=0.0 if done else jitter_retry_after_s(node, live.retry_after_s),
        status=status,
        version=version,
        detail=live.detail,
        addresses=_find_alternative_addresses(node, request.service, reason),
    )
    total_s = node.now_s - live.received_s
    return [
        ended,
        effects.Observe("request_whole_s", total_s, build_metric_attributes(request)),
        *count_outcome(request, outcome, reason),
    ]


def jitter_retry_after_s(node: machine.Node, requested_s: float) -> float:
    """Return a jittered retry delay, so that callers do not retry all at once."""
    return (requested_s or RETRY_AFTER_S) * node.random.uniform(0.75, 1.25)


def build_metric_attributes(request: data.Request) -> dict[str, str]:
    """Return the metric attributes of a request."""
    return {"team": request.team, "class": request.service}


def count_outcome(
    request: data.Request, outcome: data.Outcome, reason: data.Reason
) -> list:
    """Return the effects that count an outcome."""
    attributes = build_metric_attributes(request)
    attributes["outcome"] = outcome.value
    attributes["reason"] = reason.value
    return [effects.Count("request_outcomes", 1, attributes)]


def _find_alternative_addresses(
    node: machine.Node, service: data.ServiceName, reason: data.Reason
) -> tuple[data.Address, ...]:
    """Return the entries that the caller should use instead, if that would help."""
    if reason is data.Reason.LEAVING and node.draining.is_active:
        return entry_selection.select_entries(node, service)
    if reason is data.Reason.NO_ENDPOINT:
        return entry_selection.find_capable_entries(node, service)
    return ()
