"""Manages each caller's request from its arrival to its one final outcome.

A request ends as done, not run or unknown. "Not run" needs proof for every attempt:
either it was never dispatched, or an endpoint process refused it. A request that
cannot be completed gets its outcome at once, together with the time to wait before a
retry.
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


def _on_request_received(
    node: machine.Node, event: request_events.RequestReceived
) -> list:
    request = event.request
    refusal = _refuse_if_impossible(node, request)
    if refusal is not None:
        return refusal
    state = node.requests
    live = request_state.LiveRequest(
        request=request,
        attempt=node.random.getrandbits(ATTEMPT_START_BITS),
        received_s=node.now_s,
        deadline_s=node.now_s + min(request.budget_s, MAX_BUDGET_S),
        streamed=request_state.find_service_kind(node, request.service)
        is data.ServiceKind.MODEL,
    )
    state.live[request.request_id] = live
    state.retry_budget.record_request(request.service)
    return _start_attempt(node, live)


def _refuse_if_impossible(node: machine.Node, request: data.Request) -> list | None:
    """Return the final outcome of a request that must not start, or None."""
    if request.request_id in node.requests.live:
        # The request that arrived first under this id may still run.
        unknown = data.Outcome.UNKNOWN
        return outcomes.refuse(node, request, data.Reason.DUPLICATE, unknown)
    if request.budget_s <= 0:
        return outcomes.refuse(node, request, data.Reason.DEADLINE)
    if node.draining.is_active:
        return outcomes.refuse(node, request, data.Reason.LEAVING)
    if len(node.requests.live) >= MAX_LIVE_REQUESTS:
        return outcomes.refuse(node, request, data.Reason.OVERLOADED)
    if _is_unknown_service(node, request.service):
        return outcomes.refuse(node, request, data.Reason.UNKNOWN_SERVICE)
    return None


def _is_unknown_service(node: machine.Node, service: data.ServiceName) -> bool:
    if service in node.routing.services:
        return False
    return request_state.find_intent(node, service) is None


def _start_attempt(node: machine.Node, live: request_state.LiveRequest) -> list:
    """Dispatch the request to a suitable endpoint, or fail it if there is none."""
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
    live.attempt_count += 1
    live.endpoint = endpoint
    live.sent_s = node.now_s
    live.progress_s = node.now_s
    live.attempt_bytes = 0
    live.attempt_events = 0
    node.requests.schedule_timer(live)
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


def _count_late_answer() -> list:
    return [effects.Count("answers_late")]


def _on_attempt_progressed(
    node: machine.Node, event: request_events.AttemptProgressed
) -> list:
    live = node.requests.find_attempt(event.request_id, event.attempt)
    if live is None:
        return _count_late_answer()
    live.progress_s = node.now_s
    live.attempt_bytes = max(live.attempt_bytes, event.payload_bytes)
    live.attempt_events = max(live.attempt_events, event.payload_events)
    live.version = live.version or event.version
    attributes = outcomes.build_metric_attributes(live.request)
    outputs: list = []
    if live.first_byte_s is None and event.payload_bytes:
        live.first_byte_s = node.now_s
        waited_s = node.now_s - live.received_s
        outputs.append(effects.Observe("request_first_byte_s", waited_s, attributes))
    if event.max_gap_s:
        outputs.append(effects.Observe("request_gap_s", event.max_gap_s, attributes))
    return outputs


def _on_attempt_ended(node: machine.Node, event: request_events.AttemptEnded) -> list:
    end = event.end
    live = node.requests.find_attempt(end.request_id, end.attempt)
    if live is None:
        return _count_late_answer()
    invariants.check(
        end.request_id == live.request.request_id,
        invariants.Invariant.ANSWER_MATCHES_REQUEST,
        f"{end.request_id} for {live.request.request_id}",
    )
    live.attempt_bytes = max(live.attempt_bytes, end.payload_bytes)
    live.detail = end.detail
    live.retry_after_s = end.retry_after_s
    if end.outcome is data.Outcome.DONE:
        finished = _finish_attempt(node, live, data.Reason.NONE, end.load)
        return finished + outcomes.finish(
            node, live, data.Outcome.DONE, end.reason, end.status, end.version
        )
    execution = retries.ExecutionStatus.MAY_HAVE_RUN
    if end.outcome is data.Outcome.NOT_RUN and not end.payload_bytes:
        execution = retries.ExecutionStatus.NOT_RUN
    return _recover(node, live, end.reason, execution, end.load)


def _on_attempt_failed(node: machine.Node, event: request_events.AttemptFailed) -> list:
    live = node.requests.find_attempt(event.request_id, event.attempt)
    if live is None:
        return _count_late_answer()
    live.attempt_bytes = max(live.attempt_bytes, event.payload_bytes)
    live.attempt_events = max(live.attempt_events, event.payload_events)
    live.version = live.version or event.version
    execution = (
        retries.ExecutionStatus.MAY_HAVE_RUN
        if event.sent
        else retries.ExecutionStatus.NOT_RUN
    )
    outputs = _recover(node, live, event.reason, execution)
    if event.reason is data.Reason.NOT_WHOLE:
        outputs.append(effects.Count("answers_mismatched"))
    return outputs


def _recover(
    node: machine.Node,
    live: request_state.LiveRequest,
    reason: data.Reason,
    execution: retries.ExecutionStatus,
    load: data.Load | None = None,
) -> list:
    """Resume, retry or fail the request after an unsuccessful attempt."""
    endpoint = live.endpoint
    outputs = _finish_attempt(node, live, reason, load)
    if execution is retries.ExecutionStatus.MAY_HAVE_RUN:
        live.may_have_run = True
    live.reason = reason
    live.tried |= {endpoint.instance_id}
    if live.streamed:
        live.delivered_bytes += live.attempt_bytes
        live.delivered_events += live.attempt_events
    if live.delivered_bytes:
        return outputs + _resume(node, live, endpoint, reason, execution)
    request = live.request
    if not retries.is_safe(
        request.repeatable, live.get_execution_status(), live.delivered_bytes
    ):
        return outputs + outcomes.fail(node, live, reason)
    if not retries.is_worthwhile(reason, live.attempt_count):
        return outputs + outcomes.fail(node, live, reason)
    backoff_attempts = live.attempt_count
    if routing.choose_endpoint(node, request, live.tried) is None:
        if not retries.is_transient(reason, execution):
            return outputs + outcomes.fail(node, live, reason)
        live.tried = frozenset()
        backoff_attempts += 1
    if not node.requests.retry_budget.acquire_retry(request.service):
        return outputs + outcomes.fail(node, live, reason)
    outputs.append(
        effects.Count("request_retries", 1, outcomes.build_metric_attributes(request))
    )
    wait_s = retries.draw_backoff_s(node.random, backoff_attempts)
    if wait_s <= 0:
        return outputs + _start_attempt(node, live)
    live.retry_at_s = node.now_s + wait_s
    if live.retry_at_s >= live.deadline_s:
        return outputs + outcomes.fail(node, live, reason)
    node.requests.schedule_timer(live)
    return outputs


def _resume(
    node: machine.Node,
    live: request_state.LiveRequest,
    endpoint: data.Identity,
    reason: data.Reason,
    execution: retries.ExecutionStatus,
) -> list:
    """Resume a broken stream at the same endpoint process, or fail the request."""
    known = node.routing.endpoints.get(endpoint.instance_id)
    refused = execution is retries.ExecutionStatus.NOT_RUN
    if (
        refused
        or reason is data.Reason.NOT_WHOLE
        or not live.version
        or not live.request.repeatable
        or live.resume_count >= MAX_RESUMES
        or node.now_s >= live.deadline_s
        or known is None
        or known.identity != endpoint
    ):
        return outcomes.fail(node, live, data.Reason.STREAM_BROKE)
    live.resume_count += 1
    return _dispatch(node, live, endpoint)


def _finish_attempt(
    node: machine.Node,
    live: request_state.LiveRequest,
    reason: data.Reason,
    load: data.Load | None = None,
) -> list:
    """Mark the request as having no running attempt and report the attempt's end."""
    latency_s = None
    if reason is data.Reason.NONE and not live.resume_count:
        until_s = live.first_byte_s if live.streamed else node.now_s
        latency_s = (until_s or node.now_s) - live.sent_s
    endpoint = live.endpoint
    live.endpoint = None
    return [endpoints.AttemptFinished(endpoint, reason, latency_s, load)]


def _on_caller_disconnected(
    node: machine.Node, event: request_events.CallerDisconnected
) -> list:
    live = node.requests.live.pop(event.request_id, None)
    if live is None:
        return []
    outputs = outcomes.count_outcome(
        live.request, data.Outcome.UNKNOWN, data.Reason.CANCELLED
    )
    if live.endpoint is not None:
        outputs.append(request_events.CancelAttempt(event.request_id, live.attempt))
        outputs += _finish_attempt(node, live, data.Reason.CANCELLED)
    return outputs


def _on_tick(node: machine.Node, event: events.Tick) -> list:
    timers = node.requests.timers
    outputs: list = []
    while timers and timers[0][0] <= node.now_s:
        _, request_id = heapq.heappop(timers)
        live = node.requests.live.get(request_id)
        if live is None:
            continue
        outputs += _on_timer(node, live)
    return outputs


def _on_timer(node: machine.Node, live: request_state.LiveRequest) -> list:
    """Handle a time limit that has passed; reschedule the timer if none has."""
    if live.get_next_timeout_s() > node.now_s:
        node.requests.schedule_timer(live)
        return []
    if live.endpoint is None:
        return _start_attempt(node, live)
    request_id = live.request.request_id
    if node.now_s >= live.deadline_s:
        cancel = request_events.CancelAttempt(request_id, live.attempt)
        live.may_have_run = True
        finished = _finish_attempt(node, live, data.Reason.DEADLINE)
        return [cancel, *finished, *outcomes.fail(node, live, data.Reason.DEADLINE)]
    address = live.endpoint.address
    cancel = request_events.CancelAttempt(request_id, live.attempt, address)
    execution = retries.ExecutionStatus.MAY_HAVE_RUN
    return [cancel, *_recover(node, live, data.Reason.SILENT, execution)]


HANDLERS = {
    request_events.RequestReceived: _on_request_received,
    request_events.AttemptProgressed: _on_attempt_progressed,
    request_events.AttemptEnded: _on_attempt_ended,
    request_events.AttemptFailed: _on_attempt_failed,
    request_events.CallerDisconnected: _on_caller_disconnected,
    events.Tick: _on_tick,
}
