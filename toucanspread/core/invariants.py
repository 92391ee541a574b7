"""Invariants of the system, and the error that is raised when one does not hold.

The program checks them at the step that could violate them, so that a test run or a
production process stops at the first wrong decision instead of at its consequences.
"""

import enum


class Invariant(enum.Enum):
    """A condition that must hold at every step."""

    TIME_MOVES_FORWARD = "time moves forward"
    ONE_SUCCESSOR_PER_REVISION = "at most one accepted successor per revision"
    REVISION_NEVER_DECREASES = "a revision in force never decreases"
    FENCE_NEVER_DECREASES = "no order with a lower fencing number takes effect"
    NO_WORK_WHILE_LEAVING = "no new work on a leaving instance"
    FLOOR_KEPT = "no step of ours takes whole replicas below the floor"
    CHUNK_VERIFIED = "no unverified chunk is offered or loaded"
    DISPATCH_ONLY_WHOLE = "no dispatch to an engine whose version is not whole"
    ORIGIN_BUDGET = "origin bytes stay within the budget"
    STAGING_BOUND = "chunk bytes held by the process stay bounded"
    ANSWER_MATCHES_REQUEST = "an answer carries the id of its request"
    ONE_FINAL_OUTCOME = "a request ends with one final outcome"
    NOT_RUN_IS_PROVED = "not run is said only with proof"
    AT_MOST_ONCE = "a non-idempotent request executes at most once"
    RETRY_ONLY_WHEN_SAFE = "only a safe attempt is retried"
    QUEUE_BOUND = "queues stay bounded"
    INCARNATION_NEVER_DECREASES = "the incarnation of an instance never decreases"


class InvariantBreachError(Exception):
    """A step violated an invariant.

    :param invariant: the invariant that does not hold.
    :param detail: the values that show the violation.
    """

    def __init__(self, invariant: Invariant, detail: str):
        super().__init__(f"invariant broken: {invariant.value}: {detail}")
        self.invariant = invariant
        self.detail = detail


def check(condition: bool, invariant: Invariant, detail: str) -> None:
    """Raise :class:`InvariantBreachError` unless ``condition`` holds."""
    if not condition:
        raise InvariantBreachError(invariant, detail)
