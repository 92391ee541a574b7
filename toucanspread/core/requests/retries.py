"""Decides what may be tried again, and when.

An attempt may be repeated when it is proved not to have run, or when the request is
repeatable and its caller has seen nothing of the answer. Each service has a budget
of retries that is a share of its live requests, so that an outage is not multiplied.
"""

import enum
import random

from toucanspread.core import data

RETRY_RATIO = 0.1  # retries a request earns for its service
MAX_RETRY_TOKENS = 20.0
MAX_ATTEMPTS = 5
MAX_OVERLOADED_ATTEMPTS = 2  # one that spills; more would feed the overload
BACK_OFF_BASE_S = 0.1
BACK_OFF_MAX_S = 1.0

FINAL_REASONS = frozenset(
    {
        data.Reason.BAD_REQUEST,
        data.Reason.UNKNOWN_SERVICE,
        data.Reason.DUPLICATE,
        data.Reason.CLAIM_UNAVAILABLE,
        data.Reason.CANCELLED,
    }
)


# What the same endpoint may well be over in a moment: it switches to another version,
# or its process is started again.
PASSING_REASONS = frozenset(
    {
        data.Reason.WRONG_VERSION,
        data.Reason.NOT_WHOLE,
        data.Reason.UNREACHABLE,
    }
)


class ExecutionStatus(enum.Enum):
    """What is known of an attempt that did not end well."""

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"


class RetryBudget:
    """A token bucket of retries for each service."""

    def __init__(self):
        self._tokens: dict[data.ServiceName, float] = {}

    def earn(self, service: data.ServiceName) -> None:
        """Count a live request."""
        held = self._tokens.get(service, MAX_RETRY_TOKENS)
        self._tokens[service] = min(held + RETRY_RATIO, MAX_RETRY_TOKENS)

    def take(self, service: data.ServiceName) -> bool:
        """Spend one retry; False when none is left."""
        held = self._tokens.get(service, MAX_RETRY_TOKENS)
        if held < 1.0:
            return False
        self._tokens[service] = held - 1.0
        return True


def is_safe(repeatable: bool, proof: ExecutionStatus, delivered_bytes: int) -> bool:
    """Tell whether a further attempt can do no harm.

    :param delivered_bytes: what the caller has seen of the answer.
    """
    if delivered_bytes:
        return False
    return repeatable or proof is ExecutionStatus.NOT_RUN


def is_worthwhile(reason: data.Reason, attempts: int) -> bool:
    """Tell whether a further attempt might end better."""
    if reason in FINAL_REASONS:
        return False
    if reason is data.Reason.OVERLOADED:
        return attempts < MAX_OVERLOADED_ATTEMPTS
    return attempts < MAX_ATTEMPTS


def is_passing(reason: data.Reason, proof: ExecutionStatus) -> bool:
    """Tell whether an endpoint that refused may be asked again after a wait."""
    return reason in PASSING_REASONS and proof is ExecutionStatus.NOT_RUN


def back_off_s(source: random.Random, attempts: int) -> float:
    """Return the jittered wait after ``attempts``; none before the first retry."""
    if attempts <= 1:
        return 0.0
    highest_s = min(BACK_OFF_BASE_S * 2**attempts, BACK_OFF_MAX_S)
    return source.uniform(highest_s / 2, highest_s)
