"""The order in which an engine takes requests that wait there for a place.

The load this answers: entries send an engine a few requests more than it has places,
so that none stays free. One that goes on with a broken stream is waited for by a caller
who has read half of it; one that is late already is not made on time by going first.
"""

import enum

LAST_PRIORITY = 9  # that engines know; 0 is first
DECLARED_RANKS = 3  # of a team or a route; what is less urgent is not told apart


class Urgency(enum.IntEnum):
    """What a request's caller has of its going first."""

    RESUMED = 0
    ON_TIME = 1
    LATE = 2


def engine_priority(urgency: Urgency, declared_rank: int) -> int:
    """Return the priority to tell an engine, from 0 to 9.

    :param declared_rank: of the team or the route, 0 the most urgent.
    """
    rank = min(max(declared_rank, 0), DECLARED_RANKS - 1)
    return min(urgency * DECLARED_RANKS + rank, LAST_PRIORITY)
