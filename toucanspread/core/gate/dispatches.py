"""Manages each dispatch at an endpoint process from its arrival to its answer's end.

This is the one place that decides whether a dispatch may run here: by the version
whose weights are verified, the dispatches that run, the calls that are claimed and
the dispatches that were refused. A dispatch that must not run is refused as "not run".
The refusal is recorded, so that a late copy of the dispatch is refused as well.
"""

from toucanspread.core import data, effects, events, invariants
from toucanspread.core.gate import (
    admission,
    answer_ends,
    claims,
    compatibility,
    dispatch_events,
    dispatch_history,
    dispatch_state,
    version_switch,
)

STATUS_INTERVAL_S = 1.0
EXIT_DELAY_S = 1.0  # lets a last report reach the entries before the process exits

# Reasons of failed runs that say nothing about how loaded the engine is.
LOAD_NEUTRAL_REASONS = frozenset(
    (data.Reason.CANCELLED, data.Reason.BAD_REQUEST, data.Reason.WRONG_VERSION)
)


class State:
    """The dispatches of this process and the last status of its engine.

    :ivar waiting_for_switch: admitted dispatches that wait until the engine has
        switched versions.
    :ivar engine_status_s: when the status was last read or requested.
    """

    def __init__(self):
        self.live: dict[data.AttemptKey, dispatch_state.LiveDispatch] = {}
        self.waiting_for_switch: list[data.AttemptKey] = []
        self.history = dispatch_history.DispatchHistory()
        self.engine_status: data.EngineStatus | None = None
        self.engine_status_s = float("-inf")
        self.draining_since_s: float | None = None
        self.shutdown_requested = False
        self.metric_labels = dispatch_state.MetricLabels()
        self.exit_requested = False


def on_dispatch_received(node, event: dispatch_events.DispatchReceived) -> list:
    """Accept or refuse a dispatch."""
    dispatch = event.dispatch
    key = (dispatch.request.request_id, dispatch.attempt)
    incarnation = dispatch.endpoint_incarnation
    if incarnation and incarnation != node.identity.incarnation:
        return _end_for_restart(node, event)
    record = node.dispatches.history.get(key)
    if record is not None:
        return _end_copy(node, event, record)
    reason, detail = _find_refusal_reason(node, dispatch)
    if reason is not data.Reason.NONE:
        return _refuse(node, dispatch, event.stream, reason, detail)
    node.dispatches.history.record_accepted(key, node.now_s)
    live = dispatch_state.LiveDispatch(
        dispatch=dispatch,
        stream=event.stream,
        body_hash=event.body_hash,
        deadline_s=node.now_s + dispatch.budget_s,
        received_s=node.now_s,
    )
    node.dispatches.live[key] = live
    request = dispatch.request
    requested = admission.AdmissionRequested(
        key=key,
        team=request.team,
        priority=request.priority,
        deadline_s=live.deadline_s,
    )
    return [requested]


def on_admitted(node, event: admission.Admitted) -> list:
    """Start a repeatable request; for any other one, claim its call first."""
    live = node.dispatches.live[event.key]
    live.admitted = True
    request = live.dispatch.request
    if request.repeatable:
        return _start(node, live)
    return [
        claims.ClaimRequested(
            key=live.key,
            service=request.service,
            idempotency_key=claims.get_call_key(request),
            deadline_s=live.deadline_s,
            team=request.team,
            body_hash=live.body_hash,
        )
    ]


def on_rejected(node, event: admission.Rejected) -> list:
    """Refuse a dispatch that admission control rejected."""
    live = node.dispatches.live[event.key]
    return _end_not_started(node, live, event.reason, "", event.retry_after_s)


def on_claim_decided(node, event: claims.ClaimDecided) -> list:
    """Start a request whose call was claimed for it, else end it."""
    live = node.dispatches.live.get(event.key)
    if live is None:
        return []
    if event.verdict is claims.Verdict.WON:
        live.claimed = True
        return _start(node, live)
    if event.verdict is claims.Verdict.UNAVAILABLE:
        return _end_not_started(
            node, live, event.reason, "claim not possible", event.retry_after_s
        )
    return _end_duplicate(node, live, event)


def on_cancelled(node, event: dispatch_events.DispatchCancelled) -> list:
    """Stop a dispatch that its entry no longer waits for.

    A running request that may not be repeated continues.
    """
    key = (event.request_id, event.attempt)
    live = node.dispatches.live.get(key)
    if live is None or live.stream != event.stream:
        return []
    live.cancelled = True
    if not live.admitted:
        return _end_not_started(node, live, data.Reason.CANCELLED, "", 0.0)
    if live.running and live.dispatch.request.repeatable:
        return [dispatch_events.CancelRun(*key)]
    return []


def on_run_output_started(node, event: dispatch_events.RunOutputStarted) -> list:
    """Observe the time to the first piece of an answer."""
    live = node.dispatches.live.get((event.request_id, event.attempt))
    if live is None:
        return []
    waited_s = node.now_s - live.received_s
    return [
        effects.Observe(
            "gate_first_piece_s",
            waited_s,
            node.dispatches.metric_labels.for_request(live.dispatch.request),
        )
    ]


def on_run_ended(node, event: dispatch_events.RunEnded) -> list:
    """End the dispatch whose run is over, or start it again after a switch."""
    key = (event.request_id, event.attempt)
    live = node.dispatches.live.get(key)
    if live is None:
        return []
    if version_switch.can_restart(node, live, event):
        live.running = False
        live.restart_count += 1
        return _start(node, live)
    del node.dispatches.live[key]
    node.dispatches.history.mark_finished(key)
    outputs: list = [
        admission.Released(
            key,
            event.service_time_s,
            ok=event.ok,
            ran=event.reason not in LOAD_NEUTRAL_REASONS,
            units=event.units,
        ),
        effects.Observe(
            "gate_service_time_s",
            event.service_time_s,
            node.dispatches.metric_labels.for_request(live.dispatch.request),
        ),
    ]
    if live.claimed:
        outputs.append(
            claims.ClaimFinished(key, ran=event.started, answer_complete=event.ok)
        )
    end = answer_ends.build_for_run(node, live, event)
    if end.outcome is data.Outcome.NOT_RUN:
        node.dispatches.history.record_refused(key, node.now_s, end.reason)
    outputs.append(dispatch_events.EndDispatch(end, live.stream))
    outputs.append(effects.Count("gate_ended", 1, {"outcome": end.outcome.value}))
    return outputs


def on_engine_status(node, event: events.EngineStatusReported) -> list:
    """Store the engine's latest status."""
    node.dispatches.engine_status = event.status
    node.dispatches.engine_status_s = node.now_s
    return []


def on_serving_changed(node, event: events.ServingChanged) -> list:
    """Start the dispatches that waited for a switch of versions."""
    return _start_waiting_dispatches(node)


def on_drain_started(node, event: events.DrainStarted) -> list:
    """Refuse new dispatches; admission control empties the queue."""
    if node.dispatches.draining_since_s is None:
        node.dispatches.draining_since_s = node.now_s
    return []


def on_shutdown_requested(node, event: events.ShutdownRequested) -> list:
    """Let the process exit once nothing runs."""
    node.dispatches.shutdown_requested = True
    return []


def on_tick(node, event: events.Tick) -> list:
    """Drop old records, read the engine's status, exit once drained."""
    state = node.dispatches
    state.history.drop_old(node.now_s)
    outputs: list = []
    served = node.orders.serving
    is_model = served is not None and served.kind is data.ServiceKind.MODEL
    if is_model and node.now_s - state.engine_status_s >= STATUS_INTERVAL_S:
        # Without an answer, the status is requested again after one interval.
        state.engine_status_s = node.now_s
        outputs.append(effects.ReadEngineStatus())
    outputs.extend(_start_waiting_dispatches(node))
    if _is_drained(node):
        state.exit_requested = True
        outputs.append(effects.Exit())
    return outputs


HANDLERS = {
    dispatch_events.DispatchReceived: on_dispatch_received,
    dispatch_events.DispatchCancelled: on_cancelled,
    dispatch_events.RunOutputStarted: on_run_output_started,
    dispatch_events.RunEnded: on_run_ended,
    admission.Admitted: on_admitted,
    admission.Rejected: on_rejected,
    claims.ClaimDecided: on_claim_decided,
    events.EngineStatusReported: on_engine_status,
    events.DrainStarted: on_drain_started,
    events.ShutdownRequested: on_shutdown_requested,
    events.ServingChanged: on_serving_changed,
    events.Tick: on_tick,
}


def _is_drained(node) -> bool:
    state = node.dispatches
    if (
        not state.shutdown_requested
        or state.exit_requested
        or state.draining_since_s is None
    ):
        return False
    if state.live:
        return False
    return node.now_s - state.draining_since_s >= EXIT_DELAY_S


def _find_refusal_reason(node, dispatch: data.Dispatch) -> tuple[data.Reason, str]:
    """Return why a dispatch must not run here now, or NONE."""
    if node.dispatches.draining_since_s is not None or node.orders.draining:
        return data.Reason.LEAVING, ""
    if dispatch.budget_s <= 0:
        return data.Reason.DEADLINE, ""
    if version_switch.is_in_progress(node):
        return data.Reason.NONE, ""  # checked again after the switch, before it starts
    return compatibility.find_mismatch(node, dispatch)


def _start_waiting_dispatches(node) -> list:
    """Start the waiting dispatches after a switch; end those past their deadline."""
    waiting, node.dispatches.waiting_for_switch = (
        node.dispatches.waiting_for_switch,
        [],
    )
    outputs: list = []
    for key in waiting:
        live = node.dispatches.live.get(key)
        if live is not None:
            outputs.extend(_start(node, live))
    return outputs


def _start(node, live: dispatch_state.LiveDispatch) -> list:
    """Start an admitted dispatch if it may still run here, else end it."""
    request = live.dispatch.request
    if node.now_s >= live.deadline_s:
        return _end_not_started(node, live, data.Reason.DEADLINE, "", 0.0)
    if live.cancelled:
        return _end_not_started(node, live, data.Reason.CANCELLED, "", 0.0)
    if version_switch.is_in_progress(node):
        node.dispatches.waiting_for_switch.append(live.key)
        return []
    reason, detail = compatibility.find_mismatch(node, live.dispatch)
    if reason is not data.Reason.NONE:
        return _end_not_started(
            node, live, reason, detail, answer_ends.ENGINE_RETRY_AFTER_S
        )
    served = node.orders.serving
    invariants.check(
        served.kind is data.ServiceKind.PLAIN
        or compatibility.has_verified_weights(node),
        invariants.Invariant.DISPATCH_ONLY_WHOLE,
        f"{served.version}: engine reports {node.dispatches.engine_status}",
    )
    draining_since_s = node.dispatches.draining_since_s
    invariants.check(
        draining_since_s is None or live.received_s <= draining_since_s,
        invariants.Invariant.NO_WORK_WHILE_LEAVING,
        f"{live.key} received at {live.received_s}, draining since {draining_since_s}",
    )
    invariants.check(
        request.repeatable or live.claimed,
        invariants.Invariant.AT_MOST_ONCE,
        f"{live.key} starts without a claim",
    )
    live.running = True
    live.version = served.version
    budget_s = live.deadline_s - node.now_s
    return [
        dispatch_events.StartRun(
            *live.key,
            request,
            served.version,
            budget_s,
            live.stream,
            live.dispatch.resume_from_events,
        )
    ]


def _end_not_started(
    node,
    live: dispatch_state.LiveDispatch,
    reason: data.Reason,
    detail: str,
    retry_after_s: float,
) -> list:
    """End a dispatch whose run was never started as "not run"."""
    key = live.key
    invariants.check(
        not live.running,
        invariants.Invariant.NOT_RUN_IS_PROVED,
        f"{key} was started",
    )
    node.dispatches.live.pop(key, None)
    outputs: list = []
    if live.admitted:
        outputs.append(admission.Released(key, 0.0, ok=False, ran=False))
    else:
        outputs.append(admission.Withdrawn(key))
    if live.claimed:
        outputs.append(claims.ClaimFinished(key, ran=False, answer_complete=False))
    refusal = _refuse(node, live.dispatch, live.stream, reason, detail, retry_after_s)
    return outputs + refusal


def _end_duplicate(
    node, live: dispatch_state.LiveDispatch, event: claims.ClaimDecided
) -> list:
    """End a request whose call has already been claimed, here or elsewhere."""
    node.dispatches.live.pop(live.key)
    node.dispatches.history.mark_finished(live.key)
    end = answer_ends.build_for_duplicate(node, live.dispatch, event.retry_after_s)
    released = admission.Released(live.key, 0.0, ok=False, ran=False)
    counted = effects.Count("gate_duplicate_calls", 1, {})
    if event.kept_key is not None:
        return [
            released,
            counted,
            dispatch_events.ReplayAnswer(end, live.stream, event.kept_key),
        ]
    return [released, counted, dispatch_events.RefuseDispatch(end, live.stream)]


def _refuse(
    node,
    dispatch: data.Dispatch,
    stream: int,
    reason: data.Reason,
    detail: str,
    retry_after_s: float | None = None,
) -> list:
    """Answer "not run" and record the refusal."""
    key = (dispatch.request.request_id, dispatch.attempt)
    node.dispatches.history.record_refused(key, node.now_s, reason)
    end = answer_ends.build_for_refusal(node, dispatch, reason, detail, retry_after_s)
    counted = effects.Count("gate_refused", 1, {"reason": reason.value})
    return [dispatch_events.RefuseDispatch(end, stream), counted]


def _end_copy(
    node,
    event: dispatch_events.DispatchReceived,
    record: dispatch_history.DispatchRecord,
) -> list:
    """End a second copy of a dispatch according to the first copy's result."""
    end = answer_ends.build_for_copy(node, event.dispatch, record)
    return [
        dispatch_events.RefuseDispatch(end, event.stream),
        effects.Count("gate_copies", 1, {}),
    ]


def _end_for_restart(node, event: dispatch_events.DispatchReceived) -> list:
    """End a dispatch that was sent to an earlier incarnation of this process."""
    end = answer_ends.build_for_restart(node, event.dispatch)
    counted = effects.Count("gate_for_predecessor", 1, {})
    return [dispatch_events.RefuseDispatch(end, event.stream), counted]
