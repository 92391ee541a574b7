"""A copy of the platform's store, its revision and the time of its last confirmation.

Every process follows the store, some through other processes. The age of a copy is the
sum of durations that were measured on monotonic clocks: each process that serves a copy
adds the time for which it has held it. Clocks of different instances are never
compared.
"""

from collections.abc import Iterable, Mapping

from toucanspread.core import data
from toucanspread.core.view import (
    newest_values,
    store_position,
    value_delta,
    value_history,
)

MAX_HISTORY_COUNT = 2_000  # more than the keys that change within a few seconds
MAX_HISTORY_BYTES = 4_000_000  # bounds memory when many large values change


class Item(data.Record):
    """A key of the store with its value.

    :param revision: revision of the key's last change.
    """

    key: str
    value: bytes
    revision: int


class KeyChange(data.Record, tag="Change"):
    """Write or deletion of a key.

    :param value: the written value; None for a deletion.
    """

    key: str
    revision: int
    value: bytes | None = None


class DeltaChange(data.Record):
    """Write of a key, as what has changed in its value.

    :param base_revision: revision of the change that wrote the value before.
    """

    key: str
    revision: int
    base_revision: int
    delta: value_delta.Delta


class Excerpt(data.Record):
    """Part of a copy that one process serves to another.

    :param is_whole: whether ``changes`` contains all items; any other key was deleted.
    :param age_s: time since the copy was known to be complete.
    :param revision: the revision up to which it is complete.
    :param era: era of the store in which it has that revision.
    :param waited_s: time from the arrival of the request until the excerpt was made.
    :param contact_age_s: time since an answer of the store, or of a process that had
        one, arrived at the process; None if it does not say.
    :param arriving_age_s: time since a part of an answer of the store arrived at the
        process, of which the rest is expected in time; None if there is no such answer.
    :param deltas: changes besides ``changes``, of keys that the receiver has; only for
        receivers that accept them.
    """

    revision: int
    age_s: float
    is_whole: bool
    changes: tuple[KeyChange, ...] = ()
    era: int = store_position.UNKNOWN_ERA
    waited_s: float = 0.0
    contact_age_s: float | None = None
    deltas: tuple[DeltaChange, ...] = ()
    arriving_age_s: float | None = None

    @property
    def position(self) -> store_position.StorePosition:
        """Return the place in the store's history up to which it is complete."""
        return store_position.StorePosition(self.era, self.revision)

    def confirmed_s(self, requested_s: float, now_s: float) -> float:
        """Return a time at which the copy was certainly known to be complete.

        How long the request and the excerpt were on their way is unknown, so all of it
        counts as age.

        :param requested_s: time at which the receiver requested the excerpt.
        """
        made_s = min(requested_s + max(self.waited_s, 0.0), now_s)
        return made_s - self.age_s

    def heard_s(self, now_s: float) -> float:
        """Return when the store was last heard from, not counting transfers."""
        age_s = self.age_s if self.contact_age_s is None else self.contact_age_s
        return now_s - age_s

    def arriving_s(self, now_s: float) -> float:
        """Return when a part of an answer of the store last arrived at the process."""
        if self.arriving_age_s is None:
            return float("-inf")
        return now_s - self.arriving_age_s


class View:
    """The copy that a process holds.

    :param read_version: returns the version of a key's value. Of values with versions,
        the newest stays, though the store may show an older one after its return.
    :ivar position: the place in the store's history that it corresponds to.
    :ivar confirmed_s: time at which the copy was last known to be complete.
    :ivar heard_s: time at which the store was last heard from. It is later than
        ``confirmed_s`` by the time that answers were on their way, and only says
        whether there is a way to the store.
    :ivar arriving_s: time at which a part of an answer of the store last arrived, of
        which the rest is expected in time; None if there is no such answer.
    :ivar past_values: what keys had before, for deltas.
    """

    def __init__(
        self,
        read_version: newest_values.VersionReader = newest_values.read_no_version,
    ):
        self.position = store_position.StorePosition()
        self.confirmed_s = float("-inf")
        self.heard_s = float("-inf")
        self.arriving_s: float | None = None
        self.past_values = value_history.ValueHistory()
        self._items: dict[str, Item] = {}
        self._newest = newest_values.NewestValues(read_version)
        # The last change of each key, in the order of revisions.
        self._history: dict[str, KeyChange] = {}
        self._history_bytes = 0
        self._history_from = 0  # the history has all changes above this revision

    @property
    def revision(self) -> int:
        """Return the revision of the copy, in its era."""
        return self.position.revision

    @property
    def is_empty(self) -> bool:
        """Return whether nothing has been read yet."""
        return self.revision == 0

    @property
    def value_bytes(self) -> int:
        """Return the size of all values."""
        return sum(len(item.value) for item in self._items.values())

    def age_s(self, now_s: float) -> float:
        """Return the time since the copy was known to be complete."""
        return now_s - self.confirmed_s

    def contact_age_s(self, now_s: float) -> float:
        """Return the time since the store was last heard from."""
        return now_s - self.heard_s

    def get(self, key: str) -> Item | None:
        """Return an item, or None."""
        return self._items.get(key)

    def items_under(self, prefix: str) -> list[Item]:
        """Return the items whose keys begin with a prefix."""
        return [item for key, item in self._items.items() if key.startswith(prefix)]

    def list_as_changes(self) -> list[KeyChange]:
        """Return all items, as the changes that wrote them."""
        return [KeyChange(i.key, i.revision, i.value) for i in self._items.values()]

    def apply(
        self,
        changes: Iterable[KeyChange],
        revision: int,
        confirmed_s: float,
        heard_s: float = float("-inf"),
    ) -> list[KeyChange]:
        """Apply changes and return those that were new."""
        new = []
        for change in changes:
            # A change older than the copy could restore a key that was deleted since.
            if change.revision <= self.revision:
                continue
            newest = self._choose_newest(change)
            if self._apply_one(newest):
                new.append(newest)
        position = self.position._replace(revision=revision)
        self._confirm(position, confirmed_s, heard_s)
        return new

    def replace(
        self,
        items: Iterable[KeyChange],
        revision: int,
        confirmed_s: float,
        kept_keys: frozenset[str] = frozenset(),
        era: int = store_position.UNKNOWN_ERA,
        heard_s: float = float("-inf"),
    ) -> list[KeyChange]:
        """Replace the copy by a complete one and return the differences.

        A copy of a later era replaces one with a higher revision; one of an earlier era
        is ignored.

        :param revision: revision of the store when the first of the items was read.
        :param kept_keys: keys that keep their items though they are not among the new.
        :param era: era of the store; that of the copy if unknown.
        """
        position = store_position.StorePosition(era or self.position.era, revision)
        if position < self.position:
            return []
        items_by_key = {item.key: self._choose_newest(item) for item in items}
        if position.era > self.position.era:
            self._add_missing(items_by_key, revision)
            new = self._replace_items_of_earlier_era(items_by_key, revision, kept_keys)
        else:
            new = self._replace_items(items_by_key, revision, kept_keys)
        self._restart_history(items_by_key.values(), revision)
        self._confirm(position, confirmed_s, heard_s)
        return new

    @property
    def versions(self) -> dict[str, int]:
        """Return the newest known version of each key that has versions."""
        return self._newest.versions

    @property
    def has_versions(self) -> bool:
        """Return whether any of the keys may have versions."""
        return self._newest.has_versions

    def list_newer(self, versions: Mapping[str, int]) -> list[KeyChange]:
        """Return the items of newer versions than the given ones, or of other keys."""
        newer = self._newest.list_newer(versions)
        return [KeyChange(key, self.revision, value) for key, value in newer.items()]

    def learn(self, changes: Iterable[KeyChange]) -> None:
        """Learn values that stay if the next complete copy has older ones."""
        for change in changes:
            if change.value is not None:
                self._newest.choose(change.key, change.value)

    def make_excerpt(
        self,
        after: int,
        prefixes: tuple[str, ...],
        now_s: float,
        era: int = store_position.UNKNOWN_ERA,
    ) -> Excerpt:
        """Return the changes after a revision, or all items if some are unknown.

        A value that has been replaced since is not part of the changes.

        :param era: era of the revision; that of the copy if unknown.
        """
        age_s = self.age_s(now_s)
        is_same_era = era in (store_position.UNKNOWN_ERA, self.position.era)
        if is_same_era and after >= self._history_from and after > 0:
            changes = self._list_changes_after(after)
            is_whole = False
        else:
            changes = self.list_as_changes()
            is_whole = True
        requested = tuple(c for c in changes if c.key.startswith(prefixes))
        return Excerpt(
            self.revision,
            age_s,
            is_whole,
            requested,
            self.position.era,
            contact_age_s=self.contact_age_s(now_s),
            arriving_age_s=None if self.arriving_s is None else now_s - self.arriving_s,
        )

    def _choose_newest(self, change: KeyChange) -> KeyChange:
        """Return a change with the newest known value of its key."""
        if change.value is None:
            self._newest.forget(change.key)
            return change
        value = self._newest.choose(change.key, change.value)
        return KeyChange(change.key, change.revision, value)

    def _add_missing(self, items_by_key: dict[str, KeyChange], revision: int) -> None:
        """Add the values with versions that a later era of the store lacks."""
        for key, value in self._newest.values.items():
            items_by_key.setdefault(key, KeyChange(key, revision, value))

    def _replace_items(
        self,
        items_by_key: dict[str, KeyChange],
        revision: int,
        kept_keys: frozenset[str],
    ) -> list[KeyChange]:
        new = []
        for key, item in list(self._items.items()):
            if key in items_by_key or key in kept_keys:
                continue
            if item.revision <= revision:
                change = KeyChange(key, revision)
                self._apply_one(change)
                self._newest.forget(key)
                new.append(change)
        new.extend(
            change for change in items_by_key.values() if self._apply_one(change)
        )
        return new

    def _replace_items_of_earlier_era(
        self,
        items_by_key: dict[str, KeyChange],
        revision: int,
        kept_keys: frozenset[str],
    ) -> list[KeyChange]:
        """Replace items whose revisions may have been given out again since."""
        self.past_values.clear()
        known_items, self._items = self._items, {}
        new = []
        for key, known in known_items.items():
            if key in items_by_key:
                continue
            if key in kept_keys:
                self._items[key] = Item(key, known.value, 0)
                continue
            new.append(KeyChange(key, revision))
        for key, item in items_by_key.items():
            self._items[key] = Item(key, item.value, item.revision)
            known = known_items.get(key)
            if known is None or known.value != item.value:
                new.append(item)
        return new

    def _restart_history(self, items: Iterable[KeyChange], revision: int) -> None:
        self._history.clear()
        self._history_bytes = 0
        self._history_from = revision
        # Items may be newer than the revision; followers that have the revision need
        # them as changes.
        newer = [item for item in items if item.revision > revision]
        for change in sorted(newer, key=lambda change: change.revision):
            self._add_to_history(change)

    def _apply_one(self, change: KeyChange) -> bool:
        known = self._items.get(change.key)
        if known is not None and known.revision >= change.revision:
            return False
        if known is not None:
            self._keep_past_value(known)
        if change.value is None:
            if known is None:
                # A follower may still have the key.
                self._add_to_history(change)
                return False
            del self._items[change.key]
        else:
            self._items[change.key] = Item(change.key, change.value, change.revision)
        self._add_to_history(change)
        return True

    def _keep_past_value(self, item: Item) -> None:
        # Between the revision of the copy and that of the change there may be another
        # change, which was not received.
        known_until = max(self.revision, item.revision)
        self.past_values.add(
            value_history.PastValue(item.key, item.value, item.revision, known_until)
        )

    def _list_changes_after(self, after: int) -> list[KeyChange]:
        changes = []
        for change in reversed(self._history.values()):
            if change.revision <= after:
                break
            changes.append(change)
        changes.reverse()
        return changes

    def _add_to_history(self, change: KeyChange) -> None:
        self._remove_from_history(change.key)
        self._history[change.key] = change
        self._history_bytes += len(change.value or b"")
        while (
            len(self._history) > MAX_HISTORY_COUNT
            or self._history_bytes > MAX_HISTORY_BYTES
        ):
            oldest = self._remove_from_history(next(iter(self._history)))
            self._history_from = max(self._history_from, oldest.revision)

    def _remove_from_history(self, key: str) -> KeyChange | None:
        removed = self._history.pop(key, None)
        if removed is not None:
            self._history_bytes -= len(removed.value or b"")
        return removed

    def _confirm(
        self,
        position: store_position.StorePosition,
        confirmed_s: float,
        heard_s: float,
    ) -> None:
        if position < self.position:
            return
        self.position = position
        self.confirmed_s = max(self.confirmed_s, confirmed_s)
        self.heard_s = max(self.heard_s, confirmed_s, heard_s)
