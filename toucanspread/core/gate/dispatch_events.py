"""The events and effects of dispatches at an endpoint process."""

from toucanspread.core import data


class DispatchReceived(data.Event):
    """An entry dispatched a request to this process.

    :param stream: names the way back for this very copy of the dispatch.
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
    """The first piece of an answer came from the engine."""

    request_id: data.RequestId
    attempt: int


class RunEnded(data.Event):
    """A run is over.

    :param ok: whether the answer is whole.
    :param started: false only with proof that nothing of the request was run.
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
    """Give a request to the engine or the plain service.

    :param resume_from_events: how many events of the answer to leave out.
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
    """End a dispatch that was given no run of its own."""

    end: data.AnswerEnd
    stream: int = 0


class ReplayAnswer(data.Effect):
    """End a dispatch with the kept answer of an earlier run of the same call."""

    end: data.AnswerEnd
    stream: int
    kept_key: data.AttemptKey


class EndDispatch(data.Effect):
    """End a dispatch that ran; the frames of its answer go out first."""

    end: data.AnswerEnd
    stream: int = 0
