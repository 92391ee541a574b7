"""The one local gate of an endpoint process.

It alone knows which version is whole here, what runs, what was claimed and what was
refused. It refuses with a definite "not run" whatever must not run, and remembers
the refusal, so that a late copy of a refused dispatch is refused as well.
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
LEAVE_NOTICE_S = 1.0  # lets a last report tell the entries before the process ends

# Ends that say nothing of how busy the engine is.
BLAMELESS_REASONS = frozenset(
    (data.Reason.CANCELLED, data.Reason.BAD_REQUEST, data.Reason.WRONG_VERSION)
)


class State:
    """What the gate knows.

    :ivar held: admitted work that waits while the engine changes its version.
    """

    def __init__(self):
        self.live: dict[data.AttemptKey, dispatch_state.LiveDispatch] = {}
        self.held: list[data.AttemptKey] = []
        self.history = dispatch_history.DispatchHistory()
        self.engine_status: data.EngineStatus | None = None
        self.status_s = float("-inf")
        self.draining_since_s: float | None = None
        self.shutdown = False
        self.labels = dispatch_state.MetricLabels()
        self.exited = False


def on_dispatch(node, event: dispatch_events.DispatchReceived) -> list:
    """Take a dispatch in, or refuse it."""
    dispatch = event.dispatch
    key = (dispatch.request.request_id, dispatch.attempt)
    meant = dispatch.endpoint_incarnation
    if meant and meant != node.identity.incarnation:
        return _answer_for_predecessor(node, event)
    known = node.dispatches.history.get(key)
    if known is not None:
        return _answer_copy(node, event, known)
    reason, detail = _refusal(node, dispatch)
    if reason is not data.Reason.NONE:
        return _refuse(node, dispatch, event.stream, reason, detail)
    node.dispatches.history.accept(key, node.now_s)
    work = dispatch_state.LiveDispatch(
        dispatch=dispatch,
        stream=event.stream,
        body_hash=event.body_hash,
        deadline_s=node.now_s + dispatch.budget_s,
        arrived_s=node.now_s,
    )
    node.dispatches.live[key] = work
    request = dispatch.request
    wanted = admission.AdmissionRequested(
        key=key,
        team=request.team,
        priority=request.priority,
        deadline_s=work.deadline_s,
    )
    return [wanted]


def on_admitted(node, event: admission.Admitted) -> list:
    """Claim what may run only once, and start the rest."""
    work = node.dispatches.live[event.key]
    work.admitted = True
    request = work.dispatch.request
    if request.repeatable:
        return _start(node, work)
    return [
        claims.ClaimRequested(
            key=work.key,
            service=request.service,
            idempotency_key=claims.effective_key(request),
            deadline_s=work.deadline_s,
            team=request.team,
            body_hash=work.body_hash,
        )
    ]


def on_rejected(node, event: admission.Rejected) -> list:
    """Refuse what the limits do not let in."""
    work = node.dispatches.live[event.key]
    return _give_up(node, work, event.reason, "", event.retry_after_s)


def on_claim(node, event: claims.ClaimDecided) -> list:
    """Start a claimed request, or end it."""
    work = node.dispatches.live.get(event.key)
    if work is None:
        return []
    if event.verdict is claims.Verdict.WON:
        work.claimed = True
        return _start(node, work)
    if event.verdict is claims.Verdict.UNAVAILABLE:
        return _give_up(
            node, work, event.reason, "claim not possible", event.retry_after_s
        )
    return _end_duplicate(node, work, event)


def on_cancelled(node, event: dispatch_events.DispatchCancelled) -> list:
    """Stop what nobody waits for, if it may be repeated."""
    key = (event.request_id, event.attempt)
    work = node.dispatches.live.get(key)
    if work is None or work.stream != event.stream:
        return []
    work.gone = True
    if not work.admitted:
        return _give_up(node, work, data.Reason.CANCELLED, "", 0.0)
    if work.running and work.dispatch.request.repeatable:
        return [dispatch_events.CancelRun(*key)]
    return []


def on_progress(node, event: dispatch_events.RunOutputStarted) -> list:
    """Record the time to the first piece of an answer."""
    work = node.dispatches.live.get((event.request_id, event.attempt))
    if work is None:
        return []
    waited_s = node.now_s - work.arrived_s
    return [
        effects.Observe(
            "gate_first_piece_s",
            waited_s,
            node.dispatches.labels.of(work.dispatch.request),
        )
    ]


def on_run_ended(node, event: dispatch_events.RunEnded) -> list:
    """End the dispatch whose run is over."""
    key = (event.request_id, event.attempt)
    work = node.dispatches.live.get(key)
    if work is None:
        return []
    if version_switch.can_restart(node, work, event):
        work.running = False
        work.restarts += 1
        return _start(node, work)
    del node.dispatches.live[key]
    node.dispatches.history.finish(key)
    items: list = [
        admission.Released(
            key,
            event.service_time_s,
            ok=event.ok,
            ran=event.reason not in BLAMELESS_REASONS,
            units=event.units,
        ),
        effects.Observe(
            "gate_service_time_s",
            event.service_time_s,
            node.dispatches.labels.of(work.dispatch.request),
        ),
    ]
    if work.claimed:
        items.append(claims.ClaimFinished(key, ran=event.started, whole=event.ok))
    end = answer_ends.ended(node, work, event)
    if end.outcome is data.Outcome.NOT_RUN:
        node.dispatches.history.refuse(key, node.now_s, end.reason)
    items.append(dispatch_events.EndDispatch(end, work.stream))
    items.append(effects.Count("gate_ended", 1, {"outcome": end.outcome.value}))
    return items


def on_status(node, event: events.EngineStatusReported) -> list:
    """Remember what the engine reported last."""
    node.dispatches.engine_status = event.status
    node.dispatches.status_s = node.now_s
    return []


def on_serving_changed(node, event: events.ServingChanged) -> list:
    """Start what waited for the change of version."""
    return _release_held(node)


def on_drain(node, event: events.DrainStarted) -> list:
    """Take no new work from here on; the limits empty their queue."""
    if node.dispatches.draining_since_s is None:
        node.dispatches.draining_since_s = node.now_s
    return []


def on_shutdown(node, event: events.ShutdownRequested) -> list:
    """Remember that the process may end once nothing runs."""
    node.dispatches.shutdown = True
    return []


def on_tick(node, event: events.Tick) -> list:
    """Forget old dispatches, read the engine's status, end when drained."""
    state = node.dispatches
    state.history.forget(node.now_s)
    items: list = []
    served = node.orders.serving
    is_model = served is not None and served.kind is data.ServiceKind.MODEL
    if is_model and node.now_s - state.status_s >= STATUS_INTERVAL_S:
        # An answer moves the time on; until it comes, ask once an interval.
        state.status_s = node.now_s
        items.append(effects.ReadEngineStatus())
    items.extend(_release_held(node))
    if _is_drained(node):
        state.exited = True
        items.append(effects.Exit())
    return items


HANDLERS = {
    dispatch_events.DispatchReceived: on_dispatch,
    dispatch_events.DispatchCancelled: on_cancelled,
    dispatch_events.RunOutputStarted: on_progress,
    dispatch_events.RunEnded: on_run_ended,
    admission.Admitted: on_admitted,
    admission.Rejected: on_rejected,
    claims.ClaimDecided: on_claim,
    events.EngineStatusReported: on_status,
    events.DrainStarted: on_drain,
    events.ShutdownRequested: on_shutdown,
    events.ServingChanged: on_serving_changed,
    events.Tick: on_tick,
}


def _is_drained(node) -> bool:
    state = node.dispatches
    if not state.shutdown or state.exited or state.draining_since_s is None:
        return False
    if state.live:
        return False
    return node.now_s - state.draining_since_s >= LEAVE_NOTICE_S


def _refusal(node, dispatch: data.Dispatch) -> tuple[data.Reason, str]:
    """Return why a dispatch must not run here now, or NONE."""
    if node.dispatches.draining_since_s is not None or node.orders.draining:
        return data.Reason.LEAVING, ""
    if dispatch.budget_s <= 0:
        return data.Reason.DEADLINE, ""
    if version_switch.is_in_progress(node):
        return data.Reason.NONE, ""  # judged when the change of version is over
    return compatibility.find_mismatch(node, dispatch)


def _release_held(node) -> list:
    """Start held work once the version is settled, and end what is out of time."""
    held, node.dispatches.held = node.dispatches.held, []
    items: list = []
    for key in held:
        work = node.dispatches.live.get(key)
        if work is not None:
            items.extend(_start(node, work))
    return items


def _start(node, work: dispatch_state.LiveDispatch) -> list:
    """Start an admitted request, unless what holds here has changed meanwhile."""
    request = work.dispatch.request
    if node.now_s >= work.deadline_s:
        return _give_up(node, work, data.Reason.DEADLINE, "", 0.0)
    if work.gone:
        return _give_up(node, work, data.Reason.CANCELLED, "", 0.0)
    if version_switch.is_in_progress(node):
        node.dispatches.held.append(work.key)
        return []
    reason, detail = compatibility.find_mismatch(node, work.dispatch)
    if reason is not data.Reason.NONE:
        return _give_up(node, work, reason, detail, answer_ends.ENGINE_RETRY_AFTER_S)
    served = node.orders.serving
    invariants.check(
        served.kind is data.ServiceKind.PLAIN
        or compatibility.has_verified_weights(node),
        invariants.Invariant.DISPATCH_ONLY_WHOLE,
        f"{served.version}: engine reports {node.dispatches.engine_status}",
    )
    drained_s = node.dispatches.draining_since_s
    invariants.check(
        drained_s is None or work.arrived_s <= drained_s,
        invariants.Invariant.NO_WORK_WHILE_LEAVING,
        f"{work.key} arrived at {work.arrived_s}, draining since {drained_s}",
    )
    invariants.check(
        request.repeatable or work.claimed,
        invariants.Invariant.AT_MOST_ONCE,
        f"{work.key} starts without a claim",
    )
    work.running = True
    work.version = served.version
    budget_s = work.deadline_s - node.now_s
    return [
        dispatch_events.StartRun(
            *work.key,
            request,
            served.version,
            budget_s,
            work.stream,
            work.dispatch.resume_from_events,
        )
    ]


def _give_up(
    node,
    work: dispatch_state.LiveDispatch,
    reason: data.Reason,
    detail: str,
    retry_after_s: float,
) -> list:
    """End work that was never started with a definite "not run"."""
    key = work.key
    invariants.check(
        not work.running,
        invariants.Invariant.NOT_RUN_IS_PROVED,
        f"{key} was started",
    )
    node.dispatches.live.pop(key, None)
    items: list = []
    if work.admitted:
        items.append(admission.Released(key, 0.0, ok=False, ran=False))
    else:
        items.append(admission.Withdrawn(key))
    if work.claimed:
        items.append(claims.ClaimFinished(key, ran=False, whole=False))
    refused = _refuse(node, work.dispatch, work.stream, reason, detail, retry_after_s)
    return items + refused


def _end_duplicate(
    node, work: dispatch_state.LiveDispatch, event: claims.ClaimDecided
) -> list:
    """End a request whose call was claimed before, here or elsewhere."""
    node.dispatches.live.pop(work.key)
    node.dispatches.history.finish(work.key)
    end = answer_ends.duplicate(node, work.dispatch, event.retry_after_s)
    released = admission.Released(work.key, 0.0, ok=False, ran=False)
    counted = effects.Count("gate_duplicate_calls", 1, {})
    if event.kept_key is not None:
        return [
            released,
            counted,
            dispatch_events.ReplayAnswer(end, work.stream, event.kept_key),
        ]
    return [released, counted, dispatch_events.RefuseDispatch(end, work.stream)]


def _refuse(
    node,
    dispatch: data.Dispatch,
    stream: int,
    reason: data.Reason,
    detail: str,
    retry_after_s: float | None = None,
) -> list:
    """Answer "not run" and remember it."""
    key = (dispatch.request.request_id, dispatch.attempt)
    node.dispatches.history.refuse(key, node.now_s, reason)
    end = answer_ends.refused(node, dispatch, reason, detail, retry_after_s)
    counted = effects.Count("gate_refused", 1, {"reason": reason.value})
    return [dispatch_events.RefuseDispatch(end, stream), counted]


def _answer_copy(
    node,
    event: dispatch_events.DispatchReceived,
    known: dispatch_history.DispatchRecord,
) -> list:
    """Refuse a second copy of a dispatch as its first one was."""
    end = answer_ends.copy(node, event.dispatch, known)
    return [
        dispatch_events.RefuseDispatch(end, event.stream),
        effects.Count("gate_copies", 1, {}),
    ]


def _answer_for_predecessor(node, event: dispatch_events.DispatchReceived) -> list:
    """Run nothing that was meant for the process before this one."""
    end = answer_ends.for_predecessor(node, event.dispatch)
    counted = effects.Count("gate_for_predecessor", 1, {})
    return [dispatch_events.RefuseDispatch(end, event.stream), counted]
