"""The events and effects of requests at an entry."""

from toucanspread.core import data


class RequestReceived(data.Event):
    """A caller sent a request; the adapter that received it keeps the body."""

    request: data.Request


class AttemptProgressed(data.Event):
    """Payload of an attempt arrived: the first at once, then at most once a second.

    :param payload_bytes: the payload of this attempt so far.
    :param version: the version that generates the answer.
    :param max_gap_s: the longest time between two frames since the previous event.
    """

    request_id: data.RequestId
    attempt: int
    payload_bytes: int
    max_gap_s: float = 0.0
    payload_events: int = 0
    version: data.VersionName = data.VersionName("")


class AttemptEnded(data.Event):
    """The last frame of an attempt arrived and matches the payload before it."""

    end: data.AnswerEnd


class AttemptFailed(data.Event):
    """An attempt ended without a valid last frame.

    :param sent: False is proof that nothing was dispatched.
    :param payload_bytes: the payload of this attempt that was relayed.
    :param payload_events: the same as a count of complete server-sent events.
    :param version: the version that answered, if any did.
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
    """Stop an attempt and discard the rest of its answer.

    :param silent_address: the address whose connection went silent and must be
        replaced; empty if the connection is kept.
    """

    request_id: data.RequestId
    attempt: int
    silent_address: data.Address = data.Address("")


class FinishRequest(data.Effect):
    """Send the caller the final outcome.

    :param retry_after_s: how long to wait before a retry, unless the request is done.
    :param addresses: other entries to use, if this one is leaving or has no endpoint.
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
