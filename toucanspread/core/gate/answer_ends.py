"""Builds the last frames of an endpoint process's answers."""

from toucanspread.core import data
from toucanspread.core.gate import admission, dispatch_history

ENGINE_RETRY_AFTER_S = 1.0
LOADING_RETRY_AFTER_S = 5.0


def build_for_refusal(
    node,
    dispatch: data.Dispatch,
    reason: data.Reason,
    detail: str,
    retry_after_s: float | None = None,
) -> data.AnswerEnd:
    """Return the end of a dispatch that did not run and never will.

    :param retry_after_s: None for the default of the reason.
    """
    if retry_after_s is None:
        retry_after_s = _get_default_retry_after_s(reason)
    return _build(node, dispatch, data.Outcome.NOT_RUN, reason, detail, retry_after_s)


def build_for_copy(
    node, dispatch: data.Dispatch, record: dispatch_history.DispatchRecord
) -> data.AnswerEnd:
    """Return the end of a second copy of a dispatch.

    :param record: the result of the first copy.
    """
    if record.refused:
        return build_for_refusal(
            node, dispatch, record.reason, "a copy of an earlier dispatch"
        )
    detail = "a copy of an earlier dispatch"
    return _build_unknown(node, dispatch, data.Reason.DUPLICATE, detail)


def build_for_restart(node, dispatch: data.Dispatch) -> data.AnswerEnd:
    """Return the end of a dispatch for an earlier incarnation of this process.

    Another copy may have reached that incarnation, so the outcome is unknown.
    """
    detail = "the process was restarted"
    return _build_unknown(node, dispatch, data.Reason.UNREACHABLE, detail)


def build_for_duplicate(
    node, dispatch: data.Dispatch, retry_after_s: float
) -> data.AnswerEnd:
    """Return the end of a request whose call has already been claimed."""
    detail = "the call was claimed before"
    return _build_unknown(node, dispatch, data.Reason.DUPLICATE, detail, retry_after_s)


def build_for_run(node, live, event) -> data.AnswerEnd:
    """Return the end of a dispatch whose run is over.

    :param live: the state of the dispatch.
    :param event: the end of its run.
    """
    reason = event.reason
    if not event.ok and reason is data.Reason.NONE:
        reason = data.Reason.ENGINE_FAILED
    outcome = data.Outcome.UNKNOWN
    if event.ok:
        outcome = data.Outcome.DONE
    elif not event.started:
        outcome = data.Outcome.NOT_RUN
    return data.AnswerEnd(
        request_id=event.request_id,
        attempt=event.attempt,
        outcome=outcome,
        reason=reason,
        detail=event.detail,
        retry_after_s=0.0 if event.ok else ENGINE_RETRY_AFTER_S,
        status=event.status,
        version=live.version,
        load=admission.get_load(node, without=live.key),
    )


def _build_unknown(
    node,
    dispatch: data.Dispatch,
    reason: data.Reason,
    detail: str,
    retry_after_s: float = 0.0,
) -> data.AnswerEnd:
    return _build(node, dispatch, data.Outcome.UNKNOWN, reason, detail, retry_after_s)


def _build(
    node,
    dispatch: data.Dispatch,
    outcome: data.Outcome,
    reason: data.Reason,
    detail: str,
    retry_after_s: float,
) -> data.AnswerEnd:
    return data.AnswerEnd(
        request_id=dispatch.request.request_id,
        attempt=dispatch.attempt,
        outcome=outcome,
        reason=reason,
        detail=detail,
        retry_after_s=retry_after_s,
        load=admission.get_load(node),
    )


def _get_default_retry_after_s(reason: data.Reason) -> float:
    if reason is data.Reason.NOT_WHOLE:
        return LOADING_RETRY_AFTER_S
    if reason is data.Reason.ENGINE_FAILED:
        return ENGINE_RETRY_AFTER_S
    return 0.0
