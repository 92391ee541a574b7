"""A copy of the platform's store, its revision, and when it was last confirmed.

Every process follows the store, some through others. A copy says how old it is by
counting spans on steady clocks only: whoever hands it on adds the time that he has
held it, so no two instances' clocks are compared.
"""

import collections
from collections.abc import Iterable

from toucanspread.core import data

MAX_HISTORY_COUNT = 2_000  # more than the changes of any few seconds
MAX_HISTORY_BYTES = 4_000_000  # large values in quick succession stay within memory


class Item(data.Record):
    """One key of the store.

    :param revision: of its last change.
    """

    key: str
    value: bytes
    revision: int


class KeyChange(data.Record, tag="Change"):
    """A key that was written or deleted.

    :param value: None when it was deleted.
    """

    key: str
    revision: int
    value: bytes | None = None


class Excerpt(data.Record):
    """What one process hands to another of its copy.

    :param is_whole: whether ``changes`` are all items, and what is missing is gone.
    :param age_s: since the copy was known to be complete.
    :param revision: up to which it is complete.
    """

    revision: int
    age_s: float
    is_whole: bool
    changes: tuple[KeyChange, ...] = ()


class View:
    """The copy that a process holds."""

    def __init__(self):
        self.revision = 0
        self.confirmed_s = float("-inf")
        self._items: dict[str, Item] = {}
        self._history: collections.deque[KeyChange] = collections.deque()
        self._history_bytes = 0
        self._history_from = 0  # changes above this revision are all in the history

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing is known yet."""
        return self.revision == 0

    def age_s(self, now_s: float) -> float:
        """Return the time since the copy was known to be complete."""
        return now_s - self.confirmed_s

    def get(self, key: str) -> Item | None:
        """Return an item, or None."""
        return self._items.get(key)

    def items_under(self, prefix: str) -> list[Item]:
        """Return the items under a prefix."""
        return [item for key, item in self._items.items() if key.startswith(prefix)]

    def apply(
        self, changes: Iterable[KeyChange], revision: int, confirmed_s: float
    ) -> list[KeyChange]:
        """Take changes in and return those that were new."""
        new = []
        for change in changes:
            # One from before the copy could bring back a key that was deleted.
            if change.revision > self.revision and self._apply_one(change):
                new.append(change)
        self._confirm(revision, confirmed_s)
        return new

    def replace(
        self, items: Iterable[KeyChange], revision: int, confirmed_s: float
    ) -> list[KeyChange]:
        """Take a whole copy and return what differs from the present one.

        :param revision: the store's when the first of the items was read.
        """
        if revision < self.revision:
            return []
        found = {item.key: item for item in items}
        new = []
        for key, item in list(self._items.items()):
            if key not in found and item.revision <= revision:
                change = KeyChange(key, revision)
                self._apply_one(change)
                new.append(change)
        new.extend(change for change in found.values() if self._apply_one(change))
        self._history.clear()
        self._history_bytes = 0
        self._history_from = revision
        self._confirm(revision, confirmed_s)
        return new

    def make_excerpt(
        self, after: int, prefixes: tuple[str, ...], now_s: float
    ) -> Excerpt:
        """Return what has changed since a revision, or everything."""
        age_s = self.age_s(now_s)
        if after >= self._history_from and after > 0:
            changes = [c for c in self._history if c.revision > after]
            is_whole = False
        else:
            changes = [
                KeyChange(i.key, i.revision, i.value) for i in self._items.values()
            ]
            is_whole = True
        wanted = tuple(c for c in changes if c.key.startswith(prefixes))
        return Excerpt(self.revision, age_s, is_whole, wanted)

    def _apply_one(self, change: KeyChange) -> bool:
        known = self._items.get(change.key)
        if known is not None and known.revision >= change.revision:
            return False
        if change.value is None:
            if known is None:
                return False
            del self._items[change.key]
        else:
            self._items[change.key] = Item(change.key, change.value, change.revision)
        self._remember(change)
        return True

    def _remember(self, change: KeyChange) -> None:
        self._history.append(change)
        self._history_bytes += len(change.value or b"")
        while self._history and (
            len(self._history) > MAX_HISTORY_COUNT
            or self._history_bytes > MAX_HISTORY_BYTES
        ):
            dropped = self._history.popleft()
            self._history_bytes -= len(dropped.value or b"")
            self._history_from = max(self._history_from, dropped.revision)

    def _confirm(self, revision: int, confirmed_s: float) -> None:
        if revision < self.revision:
            return
        self.revision = revision
        self.confirmed_s = max(self.confirmed_s, confirmed_s)
