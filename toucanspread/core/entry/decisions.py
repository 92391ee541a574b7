"""Actions that an entry can take on a request, and the ways a dispatch can fail.

:mod:`toucanspread.core.entry.forwarding` decides on the actions and
:mod:`toucanspread.ops` carries them out.
"""

import enum

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data


class FailureCause(enum.Enum):
    """Why no engine answered a request."""

    NO_ENGINE = "no engine"
    ENGINES_FULL = "engines full"
    ENGINES_LIMITED = "limits of engines used up"
    ENGINES_BACKING_OFF = "engines asked for a pause"
    ENGINES_COLD = "engines cold"
    ENGINE_FAILED = "engine failed"
    DEADLINE_EXCEEDED = "time over"
    RETRY_BUDGET_EXHAUSTED = "budget used up"
    LEAVING = "leaving"
    WEIGHTS_OUTDATED = "weights too old"
    REQUEST_CRASHES_ENGINES = "request crashes engines"


class MoveObstacle(enum.Enum):
    """Why a request stays at an engine from which nothing is heard."""

    NOT_REPEATABLE = "must not run again"
    ATTEMPTS_USED = "attempts used up"
    REQUEST_SUSPECT = "request may crash engines"
    TIME_OVER = "time over"
    RETRY_BUDGET_EXHAUSTED = "budget used up"
    NO_FREE_ENGINE = "no free engine"
    REJECTED = "rejected too often"
    LEAVING = "leaving"


# With these obstacles, another attempt of the caller may run at another engine.
CALLER_RETRY_OBSTACLES = frozenset(
    {
        MoveObstacle.ATTEMPTS_USED,
        MoveObstacle.RETRY_BUDGET_EXHAUSTED,
        MoveObstacle.REJECTED,
    }
)


class DispatchFailure(enum.Enum):
    """How a dispatch failed."""

    NOT_CONNECTED = "not connected"
    REJECTED = "rejected"
    OTHER_INSTANCE = "other instance"
    BROKEN = "broken"
    MALFORMED = "malformed"
    SILENT = "silent"
    FAILED = "failed"
    WITHDRAWN = "withdrawn"
    WITHDRAWN_UNSENT = "withdrawn unsent"


# After these failures it is certain that the engine did not run the request.
NOT_RUN_FAILURES = frozenset(
    {
        DispatchFailure.NOT_CONNECTED,
        DispatchFailure.REJECTED,
        DispatchFailure.OTHER_INSTANCE,
        DispatchFailure.WITHDRAWN_UNSENT,
    }
)
# After these failures the engine may still work on the request.
UNFINISHED_FAILURES = frozenset(
    {
        DispatchFailure.SILENT,
        DispatchFailure.WITHDRAWN,
        DispatchFailure.WITHDRAWN_UNSENT,
    }
)
# These failures say nothing about the engine.
BLAMELESS_FAILURES = frozenset(
    {
        DispatchFailure.REJECTED,
        DispatchFailure.WITHDRAWN,
        DispatchFailure.WITHDRAWN_UNSENT,
    }
)


def failure_weight(failure: DispatchFailure) -> int:
    """Return how much a failure counts towards avoiding its engine."""
    if failure is DispatchFailure.OTHER_INSTANCE:
        return 2
    if failure is DispatchFailure.NOT_CONNECTED:
        return 2
    if failure in BLAMELESS_FAILURES:
        return 0
    return 1


class SendToEngine(data.Effect, tag="Dispatch"):
    """Send the request to an engine.

    :param number: number of this dispatch among those of the request, from 1.
    :param budget_s: time that the engine has for the request.
    :param silence_timeout_s: report a failure if the engine sends nothing for this
        long.
    :param max_idle_s: do not use a connection that has been idle for longer; None for
        no limit, 0 for a new connection.
    :param busy: estimated number of requests at the engine.
    :param busy_age_s: age of the load report behind the estimate; negative without one.
    :param priority: priority in the engine's queue; None if it does not matter.
    :param is_avoided: whether it goes to an engine that probably does not answer.
    :param backoff_left_s: time for which the engine wants no requests.
    :param cold_left_s: time for which the engine bears only a few requests.
    :param reused_tokens: prompt tokens whose prefill the engine is assumed to skip.
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
    is_avoided: bool = False
    backoff_left_s: float = 0.0
    cold_left_s: float = 0.0
    reused_tokens: int = 0


class NotifyEntries(data.Effect):
    """Notify the other entries of an engine's limit and of requests under it."""

    notice: entry_data.LimitNotice


class Enqueue(data.Effect, tag="Hold"):
    """Queue the request at the entry until an engine can start on it soon."""


class Cancel(data.Effect):
    """Cancel a dispatch so that its engine stops working on it."""

    number: int


class RelayAnswer(data.Effect, tag="Relay"):
    """Relay a complete answer of an engine to the caller.

    :param number: of the dispatch that it answers.
    """

    number: int


class OpenStream(data.Effect):
    """Start the answer to the caller with the head of the engine's answer."""


class CloseStream(data.Effect):
    """Complete the answer to the caller."""


class BreakStream(data.Effect):
    """End the answer to the caller so that it is recognisably incomplete."""

    cause: FailureCause


class Reject(data.Effect):
    """Answer the caller that the request did not run and will not run."""

    cause: FailureCause
    retry_after_s: float


class Fail(data.Effect):
    """Answer the caller that the request may have run.

    :param timed_out: whether the deadline has passed.
    """

    cause: FailureCause
    timed_out: bool = False
