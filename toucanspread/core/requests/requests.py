"""Carries each caller's request to one final outcome.

A request ends done, not run or unknown. "Not run" needs proof for every attempt:
never dispatched, or refused by an endpoint process. A request that is given up gets
its outcome at once, with the time after which to come back.
"""

import heapq

import msgspec

from toucanspread.core import data, effects, events, invariants, machine
from toucanspread.core.requests import (
    endpoints,
    outcomes,
    request_events,
    request_state,
    retries,
    routing,
)

MAX_BUDGET_S = 3600.0
MAX_LIVE_REQUESTS = 4096
MAX_RESUMES = 2
ATTEMPT_START_BITS = 48


State = request_state.State


def _on_arrived(node: machine.Node, event: request_events.RequestReceived) -> list:
    request = event.request
    refusal = _refusal(node, request)
    if refusal is not None:
        return refusal
    state = node.requests
    live = request_state.LiveRequest(
        request=request,
        attempt=node.random.getrandbits(ATTEMPT_START_BITS),
        arrived_s=node.now_s,
        deadline_s=node.now_s + min(request.budget_s, MAX_BUDGET_S),
        streamed=request_state.find_service_kind(node, request.service)
        is data.ServiceKind.MODEL,
    )
    state.live[request.request_id] = live
    state.budget.earn(request.service)
    return _start_attempt(node, live)


def _refusal(node: machine.Node, request: data.Request) -> list | None:
    """Return the final answer to a request that is not even started."""
    if request.request_id in node.requests.live:
        # The earlier arrival of the same request may well run.
        unknown = data.Outcome.UNKNOWN
        return outcomes.refuse(node, request, data.Reason.DUPLICATE, unknown)
    if request.budget_s <= 0:
        return outcomes.refuse(node, request, data.Reason.DEADLINE)
    if node.draining.active:
        return outcomes.refuse(node, request, data.Reason.LEAVING)
    if len(node.requests.live) >= MAX_LIVE_REQUESTS:
        return outcomes.refuse(node, request, data.Reason.OVERLOADED)
    if _is_unknown(node, request.service):
        return outcomes.refuse(node, request, data.Reason.UNKNOWN_SERVICE)
    return None


def _is_unknown(node: machine.Node, service: data.ServiceName) -> bool:
    if service in node.routing.services:
        return False
    return request_state.find_intent(node, service) is None


def _start_attempt(node: machine.Node, live: request_state.LiveRequest) -> list:
    """Dispatch the request to a chosen endpoint, or give it up."""
    request = live.request
    if node.now_s >= live.deadline_s:
        return outcomes.fail(node, live, data.Reason.DEADLINE)
    endpoint = routing.choose_endpoint(node, request, live.tried)
    if endpoint is None:
        reason = live.reason
        if reason is data.Reason.NONE:
            reason = data.Reason.NO_ENDPOINT
        return outcomes.fail(node, live, reason)
    invariants.check(
        endpoint.is_live,
        invariants.Invariant.NO_WORK_WHILE_LEAVING,
        f"{request.request_id} to {endpoint.instance_id}",
    )
    invariants.check(
        routing.can_serve(endpoint, request),
        invariants.Invariant.DISPATCH_ONLY_WHOLE,
        f"{request.request_id} to {endpoint.instance_id}: {endpoint.report.version}",
    )
    return _dispatch(node, live, endpoint.identity)


def _dispatch(
    node: machine.Node, live: request_state.LiveRequest, endpoint: data.Identity
) -> list[data.Effect | data.Event]:
    request = live.request
    invariants.check(
        node.now_s < live.deadline_s,
        invariants.Invariant.RETRY_ONLY_WHEN_SAFE,
        f"{request.request_id} dispatched after its deadline",
    )
    invariants.check(
        request.repeatable or not live.may_have_run,
        invariants.Invariant.RETRY_ONLY_WHEN_SAFE,
        f"{request.request_id} may have run and is not repeatable",
    )
    live.attempt += 1
    live.attempts += 1
    live.endpoint = endpoint
    live.sent_s = node.now_s
    live.progress_s = node.now_s
    live.attempt_bytes = 0
    live.attempt_events = 0
    node.requests.schedule(live)
    if live.delivered_bytes:
        request = msgspec.structs.replace(request, version=live.version)
    dispatch = data.Dispatch(
        request=request,
        attempt=live.attempt,
        budget_s=live.deadline_s - node.now_s,
        entry_id=node.identity.instance_id,
        endpoint_incarnation=endpoint.incarnation,
        resume_from_bytes=live.delivered_bytes,
        resume_from_events=live.delivered_events,
        resume_version=live.version if live.delivered_bytes else outcomes.NO_VERSION,
    )
    return [
        request_events.SendDispatch(endpoint.instance_id, endpoint.address, dispatch),
        endpoints.AttemptStarted(endpoint),
    ]


def _late() -> list:
    return [effects.Count("answers_late")]


def _on_progressed(node: machine.Node, event: request_events.AttemptProgressed) -> list:
    live = node.requests.current(event.request_id, event.attempt)
    if live is None:
        return _late()
    live.progress_s = node.now_s
    live.attempt_bytes = max(live.attempt_bytes, event.payload_bytes)
    live.attempt_events = max(live.attempt_events, event.payload_events)
    live.version = live.version or event.version
    attributes = outcomes.metric_attributes(live.request)
    found: list = []
    if live.first_byte_s is None and event.payload_bytes:
        live.first_byte_s = node.now_s
        waited_s = node.now_s - live.arrived_s
        found.append(effects.Observe("request_first_byte_s", waited_s, attributes))
    if event.max_gap_s:
        found.append(effects.Observe("request_gap_s", event.max_gap_s, attributes))
    return found


def _on_ended(node: machine.Node, event: request_events.AttemptEnded) -> list:
    end = event.end
    live = node.requests.current(end.request_id, end.attempt)
    if live is None:
        return _late()
    invariants.check(
        end.request_id == live.request.request_id,
        invariants.Invariant.ANSWER_MATCHES_REQUEST,
        f"{end.request_id} for {live.request.request_id}",
    )
    live.attempt_bytes = max(live.attempt_bytes, end.payload_bytes)
    live.detail = end.detail
    live.retry_after_s = end.retry_after_s
    if end.outcome is data.Outcome.DONE:
        released = _release(node, live, data.Reason.NONE, end.load)
        return released + outcomes.finish(
            node, live, data.Outcome.DONE, end.reason, end.status, end.version
        )
    proof = retries.ExecutionStatus.MAY_HAVE_RUN
    if end.outcome is data.Outcome.NOT_RUN and not end.payload_bytes:
        proof = retries.ExecutionStatus.NOT_RUN
    return _after_failure(node, live, end.reason, proof, end.load)


def _on_broke(node: machine.Node, event: request_events.AttemptFailed) -> list:
    live = node.requests.current(event.request_id, event.attempt)
    if live is None:
        return _late()
    live.attempt_bytes = max(live.attempt_bytes, event.payload_bytes)
    live.attempt_events = max(live.attempt_events, event.payload_events)
    live.version = live.version or event.version
    proof = (
        retries.ExecutionStatus.MAY_HAVE_RUN
        if event.sent
        else retries.ExecutionStatus.NOT_RUN
    )
    found = _after_failure(node, live, event.reason, proof)
    if event.reason is data.Reason.NOT_WHOLE:
        found.append(effects.Count("answers_mismatched"))
    return found


def _after_failure(
    node: machine.Node,
    live: request_state.LiveRequest,
    reason: data.Reason,
    proof: retries.ExecutionStatus,
    load: data.Load | None = None,
) -> list:
    """Resume, retry or give up after an attempt that did not end well."""
    endpoint = live.endpoint
    found = _release(node, live, reason, load)
    if proof is retries.ExecutionStatus.MAY_HAVE_RUN:
        live.may_have_run = True
    live.reason = reason
    live.tried |= {endpoint.instance_id}
    if live.streamed:
        live.delivered_bytes += live.attempt_bytes
        live.delivered_events += live.attempt_events
    if live.delivered_bytes:
        return found + _resume(node, live, endpoint, reason, proof)
    request = live.request
    if not retries.is_safe(
        request.repeatable, live.execution_status(), live.delivered_bytes
    ):
        return found + outcomes.fail(node, live, reason)
    if not retries.is_worthwhile(reason, live.attempts):
        return found + outcomes.fail(node, live, reason)
    attempts = live.attempts
    if routing.choose_endpoint(node, request, live.tried) is None:
        if not retries.is_passing(reason, proof):
            return found + outcomes.fail(node, live, reason)
        live.tried = frozenset()
        attempts += 1
    if not node.requests.budget.take(request.service):
        return found + outcomes.fail(node, live, reason)
    found.append(
        effects.Count("request_retries", 1, outcomes.metric_attributes(request))
    )
    wait_s = retries.back_off_s(node.random, attempts)
    if wait_s <= 0:
        return found + _start_attempt(node, live)
    live.retry_at_s = node.now_s + wait_s
    if live.retry_at_s >= live.deadline_s:
        return found + outcomes.fail(node, live, reason)
    node.requests.schedule(live)
    return found


def _resume(
    node: machine.Node,
    live: request_state.LiveRequest,
    endpoint: data.Identity,
    reason: data.Reason,
    proof: retries.ExecutionStatus,
) -> list:
    """Go on with a broken stream at its endpoint, or end it with an error."""
    known = node.routing.endpoints.get(endpoint.instance_id)
    refused = proof is retries.ExecutionStatus.NOT_RUN
    if (
        refused
        or reason is data.Reason.NOT_WHOLE
        or not live.version
        or not live.request.repeatable
        or live.resumes >= MAX_RESUMES
        or node.now_s >= live.deadline_s
        or known is None
        or known.identity != endpoint
    ):
        return outcomes.fail(node, live, data.Reason.STREAM_BROKE)
    live.resumes += 1
    return _dispatch(node, live, endpoint)


def _release(
    node: machine.Node,
    live: request_state.LiveRequest,
    reason: data.Reason,
    load: data.Load | None = None,
) -> list:
    """End the bookkeeping of the running attempt."""
    latency_s = None
    if reason is data.Reason.NONE and not live.resumes:
        until_s = live.first_byte_s if live.streamed else node.now_s
        latency_s = (until_s or node.now_s) - live.sent_s
    endpoint = live.endpoint
    live.endpoint = None
    return [endpoints.AttemptFinished(endpoint, reason, latency_s, load)]


def _on_caller_gone(
    node: machine.Node, event: request_events.CallerDisconnected
) -> list:
    live = node.requests.live.pop(event.request_id, None)
    if live is None:
        return []
    found = outcomes.count_outcome(
        live.request, data.Outcome.UNKNOWN, data.Reason.CANCELLED
    )
    if live.endpoint is not None:
        found.append(request_events.CancelAttempt(event.request_id, live.attempt))
        found += _release(node, live, data.Reason.CANCELLED)
    return found


def _on_tick(node: machine.Node, event: events.Tick) -> list:
    timers = node.requests.timers
    found: list = []
    while timers and timers[0][0] <= node.now_s:
        _, request_id = heapq.heappop(timers)
        live = node.requests.live.get(request_id)
        if live is None:
            continue
        found += _look(node, live)
    return found


def _look(node: machine.Node, live: request_state.LiveRequest) -> list:
    """Act on a time limit that was reached, or wait for the next one."""
    if live.due_s() > node.now_s:
        node.requests.schedule(live)
        return []
    if live.endpoint is None:
        return _start_attempt(node, live)
    request_id = live.request.request_id
    if node.now_s >= live.deadline_s:
        cancel = request_events.CancelAttempt(request_id, live.attempt)
        live.may_have_run = True
        released = _release(node, live, data.Reason.DEADLINE)
        return [cancel, *released, *outcomes.fail(node, live, data.Reason.DEADLINE)]
    address = live.endpoint.address
    cancel = request_events.CancelAttempt(request_id, live.attempt, address)
    proof = retries.ExecutionStatus.MAY_HAVE_RUN
    return [cancel, *_after_failure(node, live, data.Reason.SILENT, proof)]


HANDLERS = {
    request_events.RequestReceived: _on_arrived,
    request_events.AttemptProgressed: _on_progressed,
    request_events.AttemptEnded: _on_ended,
    request_events.AttemptFailed: _on_broke,
    request_events.CallerDisconnected: _on_caller_gone,
    events.Tick: _on_tick,
}
