"""What an entry decides to do about a request, and what can become of it.

:mod:`toucanspread.core.entry.forwarding` decides it, :mod:`toucanspread.ops` carries it
out.
"""

import enum

from toucanspread.core import data


class FailureCause(enum.Enum):
    """Why a request was not answered by an engine."""

    NO_ENGINE = "no engine"
    ENGINES_FULL = "engines full"
    ENGINE_FAILED = "engine failed"
    DEADLINE_EXCEEDED = "time over"
    RETRY_BUDGET_EXHAUSTED = "budget used up"
    LEAVING = "leaving"


class DispatchFailure(enum.Enum):
    """How a dispatch failed."""

    NOT_CONNECTED = "not connected"
    REJECTED = "rejected"
    OTHER_INSTANCE = "other instance"
    BROKEN = "broken"
    MALFORMED = "malformed"
    SILENT = "silent"
    FAILED = "failed"


NOT_RUN_FAILURES = frozenset(
    {
        DispatchFailure.NOT_CONNECTED,
        DispatchFailure.REJECTED,
        DispatchFailure.OTHER_INSTANCE,
    }
)


def failure_weight(failure: DispatchFailure) -> int:
    """Return how much a failure speaks against its engine."""
    if failure is DispatchFailure.OTHER_INSTANCE:
        return 2
    if failure is DispatchFailure.NOT_CONNECTED:
        return 2
    if failure is DispatchFailure.REJECTED:
        return 0
    return 1


class SendToEngine(data.Effect, tag="Dispatch"):
    """Send the request to an engine.

    :param number: tells this dispatch from the others of the request.
    :param budget_s: how long the engine may work on it.
    :param silence_s: without a sign of the engine for this long, say so.
    :param max_idle_s: an idle connection that is older is not used.
    :param busy: how many requests the engine was believed to have.
    :param busy_age_s: how old that belief was; negative without a load report.
    :param priority: among those that wait at the engine; None if it does not matter.
    """

    number: int
    engine_id: str
    address: data.Address
    budget_s: float
    silence_timeout_s: float
    last_event_id: str | None = None
    expected_version: int = 0
    max_idle_s: float | None = None
    busy: float = 0.0
    busy_age_s: float = -1.0
    priority: int | None = None


class Hold(data.Effect):
    """Keep the request here until an engine can start on it soon."""


class Cancel(data.Effect):
    """Drop a dispatch, so that its engine stops."""

    number: int


class RelayAnswer(data.Effect, tag="Relay"):
    """Pass the engine's whole answer on."""


class OpenStream(data.Effect):
    """Start the caller's answer with the engine's head."""


class CloseStream(data.Effect):
    """Complete the caller's answer."""


class BreakStream(data.Effect):
    """End the caller's answer so that it does not look complete."""

    cause: FailureCause


class Reject(data.Effect):
    """Tell the caller that the request did not run and will not."""

    cause: FailureCause
    retry_after_s: float


class Fail(data.Effect):
    """Tell the caller that the request may have run.

    :param timed_out: whether its time was over.
    """

    cause: FailureCause
    timed_out: bool = False
