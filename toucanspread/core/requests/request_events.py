"""The events and effects of requests at an entry."""

from toucanspread.core import data


class RequestReceived(data.Event):
    """A caller sent a request; its body stays with the adapter."""

    request: data.Request


class AttemptProgressed(data.Event):
    """Payload of an attempt came in: the first at once, then once a second at most.

    :param payload_bytes: of this attempt so far.
    :param version: the version that answers.
    :param max_gap_s: the longest time between two frames since the event before.
    """

    request_id: data.RequestId
    attempt: int
    payload_bytes: int
    max_gap_s: float = 0.0
    payload_events: int = 0
    version: data.VersionName = data.VersionName("")


class AttemptEnded(data.Event):
    """The last frame of an attempt came in, and its payload matched it."""

    end: data.AnswerEnd


class AttemptFailed(data.Event):
    """An attempt broke off without a valid last frame.

    :param sent: False is proof that nothing was dispatched.
    :param payload_bytes: what was relayed of this attempt.
    :param payload_events: the same in whole server-sent events.
    :param version: the version that answered, if anything did.
    """

    request_id: data.RequestId
    attempt: int
    reason: data.Reason
    sent: bool
    payload_bytes: int = 0
    payload_events: int = 0
    version: data.VersionName = data.VersionName("")


class CallerDisconnected(data.Event):
    """The caller closed its connection."""

    request_id: data.RequestId


class SendDispatch(data.Effect):
    """Dispatch a request, with its body, to an endpoint process."""

    instance_id: data.InstanceId
    address: data.Address
    dispatch: data.Dispatch


class CancelAttempt(data.Effect):
    """Stop an attempt and drop whatever still comes of it.

    :param silent_address: the connection that went silent and is to be replaced.
    """

    request_id: data.RequestId
    attempt: int
    silent_address: data.Address = data.Address("")


class FinishRequest(data.Effect):
    """Give the caller the final outcome.

    :param retry_after_s: when to come back, for a request that was given up.
    :param addresses: other entries, when this one is leaving.
    """

    request_id: data.RequestId
    team: data.TeamName
    outcome: data.Outcome
    reason: data.Reason
    retry_after_s: float = 0.0
    status: int = 200
    version: data.VersionName = data.VersionName("")
    detail: str = ""
    addresses: tuple[data.Address, ...] = ()
