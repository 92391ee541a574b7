"""The last frames of answers, as an endpoint process decides them."""

from toucanspread.core import data
from toucanspread.core.gate import admission, dispatch_history

ENGINE_RETRY_AFTER_S = 1.0
LOADING_RETRY_AFTER_S = 5.0


def refused(
    node,
    dispatch: data.Dispatch,
    reason: data.Reason,
    detail: str,
    retry_after_s: float | None = None,
) -> data.AnswerEnd:
    """Return the end of a dispatch that was not and will not be run.

    :param retry_after_s: None for what is usual for the reason.
    """
    if retry_after_s is None:
        retry_after_s = _usual_retry_after_s(reason)
    return data.AnswerEnd(
        request_id=dispatch.request.request_id,
        attempt=dispatch.attempt,
        outcome=data.Outcome.NOT_RUN,
        reason=reason,
        detail=detail,
        retry_after_s=retry_after_s,
        load=admission.current_load(node),
    )


def copy(
    node, dispatch: data.Dispatch, known: dispatch_history.DispatchRecord
) -> data.AnswerEnd:
    """Return the end of a second copy of a dispatch."""
    if known.refused:
        return refused(node, dispatch, known.reason, "a copy of an earlier dispatch")
    detail = "a copy of an earlier dispatch"
    return _unknown(node, dispatch, data.Reason.DUPLICATE, detail)


def for_predecessor(node, dispatch: data.Dispatch) -> data.AnswerEnd:
    """Return the end of a dispatch that was meant for the process before this one.

    Another copy may have reached that process, so only "unknown" is sure to be true.
    """
    detail = "the process was restarted"
    return _unknown(node, dispatch, data.Reason.UNREACHABLE, detail)


def duplicate(node, dispatch: data.Dispatch, retry_after_s: float) -> data.AnswerEnd:
    """Return the end of a request whose call was claimed before, here or elsewhere."""
    detail = "the call was claimed before"
    return _unknown(node, dispatch, data.Reason.DUPLICATE, detail, retry_after_s)


def ended(node, work, event) -> data.AnswerEnd:
    """Return the end of a dispatch whose run is over.

    :param work: the gate's work.
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
        version=work.version,
        load=admission.current_load(node, without=work.key),
    )


def _unknown(
    node,
    dispatch: data.Dispatch,
    reason: data.Reason,
    detail: str,
    retry_after_s: float = 0.0,
) -> data.AnswerEnd:
    return data.AnswerEnd(
        request_id=dispatch.request.request_id,
        attempt=dispatch.attempt,
        outcome=data.Outcome.UNKNOWN,
        reason=reason,
        detail=detail,
        retry_after_s=retry_after_s,
        load=admission.current_load(node),
    )


def _usual_retry_after_s(reason: data.Reason) -> float:
    if reason is data.Reason.NOT_WHOLE:
        return LOADING_RETRY_AFTER_S
    if reason is data.Reason.ENGINE_FAILED:
        return ENGINE_RETRY_AFTER_S
    return 0.0
