"""The events and effects of dispatches at an endpoint process."""

from toucanspread.core import data


class DispatchReceived(data.Event):
    """An entry dispatched a request to this process.

    :param stream: identifies the connection stream that answers this copy of the
        dispatch.
    :param body_hash: xxh64 of the body.
    """

    sender: data.Identity
    dispatch: data.Dispatch
    stream: int = 0
    body_hash: int = 0


class DispatchCancelled(data.Event):
    """The entry no longer waits for an answer."""

    request_id: data.RequestId
    attempt: int
    stream: int = 0


class RunOutputStarted(data.Event):
    """The engine returned the first piece of an answer."""

    request_id: data.RequestId
    attempt: int


class RunEnded(data.Event):
    """A run is over.

    :param ok: whether the answer is complete.
    :param started: False only with proof that nothing of the request was run.
    :param units: the work that was done, such as events streamed.
    """

    request_id: data.RequestId
    attempt: int
    ok: bool
    status: int
    started: bool
    detail: str
    service_time_s: float
    reason: data.Reason = data.Reason.NONE
    units: float = 1.0


class StartRun(data.Effect):
    """Send a request to the engine or the plain service.

    :param resume_from_events: how many events at the start of the answer to skip.
    """

    request_id: data.RequestId
    attempt: int
    request: data.Request
    version: data.VersionName
    budget_s: float
    stream: int = 0
    resume_from_events: int = 0


class CancelRun(data.Effect):
    """Stop a run; its end is still reported."""

    request_id: data.RequestId
    attempt: int


class RefuseDispatch(data.Effect):
    """End a dispatch for which no run was started."""

    end: data.AnswerEnd
    stream: int = 0


class ReplayAnswer(data.Effect):
    """End a dispatch with the kept answer of an earlier run of the same call.

    :param kept_key: the attempt whose answer is kept.
    """

    end: data.AnswerEnd
    stream: int
    kept_key: data.AttemptKey


class EndDispatch(data.Effect):
    """End a dispatch that ran, after the frames of its answer."""

    end: data.AnswerEnd
    stream: int = 0
