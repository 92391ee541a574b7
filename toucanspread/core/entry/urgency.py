"""Priorities of requests in the queue of an engine.

Entries send an engine a few requests more than it has slots, so that no slot stays
free. A request that resumes a broken stream goes first because its caller has already
read a part of the answer. A request that is already late goes last because it cannot be
on time even if it goes first.
"""

import enum

LAST_PRIORITY = 9  # lowest priority that engines support; 0 is the highest
# Ranks of a team or a route that are distinguished; lower ranks share the last one.
DECLARED_RANK_COUNT = 3


class Urgency(enum.IntEnum):
    """How much a request gains from going first."""

    RESUMED = 0
    ON_TIME = 1
    LATE = 2


def engine_priority(urgency: Urgency, declared_rank: int) -> int:
    """Return the priority in an engine's queue, from 0 to 9.

    :param declared_rank: priority of the team or the route; 0 is the most urgent.
    """
    rank = min(max(declared_rank, 0), DECLARED_RANK_COUNT - 1)
    return min(urgency * DECLARED_RANK_COUNT + rank, LAST_PRIORITY)
