"""Decides which attempts may be retried, and after which delay.

An attempt may be retried if it is proved not to have run, or if the request is
repeatable and its caller has received nothing of the answer. Each service has a retry
budget proportional to its requests, so that retries do not multiply the load during
an outage.
"""

import enum
import random

from toucanspread.core import data

RETRY_RATIO = 0.1  # retries that each request adds to the budget of its service
MAX_RETRY_TOKENS = 20.0
MAX_ATTEMPTS = 5
MAX_OVERLOADED_ATTEMPTS = 2  # one retry elsewhere; more would add to the overload
BACKOFF_BASE_S = 0.1
BACKOFF_MAX_S = 1.0

FINAL_REASONS = frozenset(
    {
        data.Reason.BAD_REQUEST,
        data.Reason.UNKNOWN_SERVICE,
        data.Reason.DUPLICATE,
        data.Reason.CLAIM_UNAVAILABLE,
        data.Reason.CANCELLED,
    }
)


# Conditions that may pass at the same endpoint within a moment: it switches to another
# version, or its process restarts.
TRANSIENT_REASONS = frozenset(
    {
        data.Reason.WRONG_VERSION,
        data.Reason.NOT_WHOLE,
        data.Reason.UNREACHABLE,
    }
)


class ExecutionStatus(enum.Enum):
    """Whether an attempt that did not succeed is proved not to have run."""

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"


class RetryBudget:
    """A token bucket of retries for each service."""

    def __init__(self):
        self._tokens: dict[data.ServiceName, float] = {}

    def record_request(self, service: data.ServiceName) -> None:
        """Add the tokens that one request contributes."""
        tokens = self._tokens.get(service, MAX_RETRY_TOKENS)
        self._tokens[service] = min(tokens + RETRY_RATIO, MAX_RETRY_TOKENS)

    def acquire_retry(self, service: data.ServiceName) -> bool:
        """Spend one token on a retry; return False if the budget is used up."""
        tokens = self._tokens.get(service, MAX_RETRY_TOKENS)
        if tokens < 1.0:
            return False
        self._tokens[service] = tokens - 1.0
        return True


def is_safe(repeatable: bool, execution: ExecutionStatus, delivered_bytes: int) -> bool:
    """Return whether a further attempt cannot do harm.

    :param delivered_bytes: how much of the answer the caller has received.
    """
    if delivered_bytes:
        return False
    return repeatable or execution is ExecutionStatus.NOT_RUN


def is_worthwhile(reason: data.Reason, attempt_count: int) -> bool:
    """Return whether a further attempt may succeed."""
    if reason in FINAL_REASONS:
        return False
    if reason is data.Reason.OVERLOADED:
        return attempt_count < MAX_OVERLOADED_ATTEMPTS
    return attempt_count < MAX_ATTEMPTS


def is_transient(reason: data.Reason, execution: ExecutionStatus) -> bool:
    """Return whether the endpoint that refused may be tried again after a delay."""
    return reason in TRANSIENT_REASONS and execution is ExecutionStatus.NOT_RUN


def draw_backoff_s(random_source: random.Random, attempt_count: int) -> float:
    """Return a jittered exponential delay; zero before the first retry."""
    if attempt_count <= 1:
        return 0.0
    highest_s = min(BACKOFF_BASE_S * 2**attempt_count, BACKOFF_MAX_S)
    return random_source.uniform(highest_s / 2, highest_s)
