"""Keeps what a stand-in of the store held before, so that it can return to it.

In a drill the store comes back from a copy some seconds old: what was acknowledged
since is lost, and the revisions that were given out since are given out again.
"""

import collections
import dataclasses
from typing import Generic, TypeVar

FIRST_ERA = 1  # rises by one each time the store returns from a copy
ERA_HEADER = b"Store-Era"
MAX_COPY_AGE_S = 12.0
WRITTEN_AGAIN_S = 2.0  # in which the operator and engines write again what was lost
WRITTEN_AGAIN_PREFIXES = ("op/", "servers/")

ItemT = TypeVar("ItemT")


@dataclasses.dataclass(frozen=True)
class Copy(Generic[ItemT]):
    """What the store held up to a time.

    :param until_s: time of the change that ended this state.
    """

    until_s: float
    revision: int
    items: dict[str, ItemT]


class Copies(Generic[ItemT]):
    """The states of the last seconds."""

    def __init__(self):
        self._copies: collections.deque[Copy[ItemT]] = collections.deque()

    def record(self, now_s: float, revision: int, items: dict[str, ItemT]) -> None:
        """Keep the state that is about to change."""
        self._copies.append(Copy(now_s, revision, dict(items)))
        while self._copies[0].until_s < now_s - MAX_COPY_AGE_S:
            self._copies.popleft()

    def take_back(
        self, now_s: float, age_s: float, revision: int, items: dict[str, ItemT]
    ) -> Copy[ItemT]:
        """Return the state that was in force some seconds ago; forget later ones.

        :param revision: the revision now, with the items now, if nothing has changed.
        """
        newest = Copy(now_s, revision, dict(items))
        at_s = now_s - age_s
        found = next((c for c in self._copies if c.until_s > at_s), newest)
        self._copies = collections.deque(c for c in self._copies if c.until_s <= at_s)
        return found


def list_lost_keys(before: dict, after: dict) -> list[str]:
    """Return the keys of the operator and of engines that the copy has otherwise."""
    return [
        key
        for key in sorted({**before, **after})
        if key.startswith(WRITTEN_AGAIN_PREFIXES) and before.get(key) != after.get(key)
    ]
