"""State of the stand-in for the platform's store: items, history, leases and watches.

The state follows the published protocol of the platform's metadata store as far as this
project uses it: one revision counter for all keys, transactions, watches of a prefix
and leases whose keys are removed when they end. It has no network;
:mod:`standins.platform_store` serves it over HTTP.
"""

import collections
import dataclasses

from twisted.internet import defer
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from standins import platform_store_data as store_data
from standins import store_copies

FIRST_REVISION = 1
MAX_KEY_BYTES = 200
MAX_VALUE_BYTES = 1024 * 1024
MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1024 * 1024
MAX_TRANSACTION_ENTRIES = 32
MIN_LEASE_S = 1.0
MAX_LEASE_S = 600.0
HISTORY_S = 20.0
PROTECTED_PREFIXES = ("op/", "servers/")  # only the operator and engines write there


@dataclasses.dataclass
class _Lease:
    ttl_s: float
    granted_s: float
    expiry: IDelayedCall


class State:
    """Items, the history of their changes, leases and waiting watches.

    :param max_page_items: maximum number of items in a page.
    :ivar era: rises by one each time the store returns from an older copy.
    """

    def __init__(self, clock: IReactorTime, max_page_items: int = MAX_PAGE_ITEMS):
        self.revision = FIRST_REVISION
        self.era = store_copies.FIRST_ERA
        self._clock = clock
        self._max_page_items = max_page_items
        self._items: dict[str, store_data.Item] = {}
        self._history: collections.deque[tuple[float, store_data.Event]] = (
            collections.deque()
        )
        self._dropped_revision = 0  # the history has all changes above this revision
        self._leases: dict[int, _Lease] = {}
        self._last_lease_id = 0
        self._waits: list[tuple[str, defer.Deferred]] = []
        self._copies: store_copies.Copies[store_data.Item] = store_copies.Copies()

    @property
    def wait_count(self) -> int:
        """Return the number of watches that wait for a change."""
        return len(self._waits)

    def get(self, key: str) -> store_data.Item | None:
        """Return an item, or None."""
        return self._items.get(key)

    def read_page(self, prefix: str, after: str) -> store_data.Page:
        """Return the items of a prefix whose keys follow ``after``, up to a limit."""
        keys = [key for key in self._items if key.startswith(prefix) and key > after]
        items: list[store_data.Item] = []
        size_bytes = 0
        for key in sorted(keys):
            item = self._items[key]
            size_bytes += len(item.value)
            if items and size_bytes > MAX_PAGE_BYTES:
                break
            if len(items) == self._max_page_items:
                break
            items.append(item)
        return store_data.Page(items, len(items) < len(keys), self.revision)

    def list_events(self, prefix: str, after: int) -> list[store_data.Event]:
        """Return the changes of a prefix after a revision.

        :raises HistoryGoneError: when some of them are no longer kept.
        """
        if after > self.revision:
            raise store_data.HistoryGoneError(f"there is no revision {after}")
        if after < self._dropped_revision:
            raise store_data.HistoryGoneError(
                f"history starts after {self._dropped_revision}"
            )
        events = [event for _, event in self._history if event.revision > after]
        return [event for event in events if event.key.startswith(prefix)]

    def wait_for_event(self, prefix: str, wait_s: float) -> defer.Deferred:
        """Return a Deferred that fires on a prefix's next change or after a time."""
        done: defer.Deferred = defer.Deferred()
        wait = (prefix, done)
        self._waits.append(wait)
        timer = self._clock.callLater(wait_s, self._end_wait, wait)
        done.addCallback(lambda _: timer.cancel() if timer.active() else None)
        return done

    def commit(self, transaction: store_data.Transaction) -> int:
        """Apply a transaction of the system and return its revision.

        :raises CallRefusedError: when it may not be applied; nothing is changed then.
        """
        self._check_limits(transaction)
        current = [self._items.get(row.key) for row in transaction.expected]
        for row, item in zip(transaction.expected, current, strict=True):
            if row.revision != (item.revision if item else 0):
                raise store_data.ConditionFailedError(
                    [item for item in current if item]
                )
        for put in transaction.puts:
            if put.lease != store_data.NO_LEASE and put.lease not in self._leases:
                raise store_data.LeaseEndedError(f"lease {put.lease}")
        return self._apply(transaction.puts, transaction.deletes)

    def write_unchecked(self, key: str, value: bytes) -> int:
        """Write any key, as the operator and engines do; return its revision."""
        return self._apply([store_data.Put(key, value)], [])

    def delete_unchecked(self, key: str) -> int:
        """Delete any key, as the operator and engines do; return its revision."""
        return self._apply([], [key])

    def drop_history(self) -> None:
        """Drop all history, so that a watch after an older revision fails."""
        self._history.clear()
        self._dropped_revision = self.revision

    def return_from_copy(self, age_s: float) -> None:
        """Lose what was acknowledged in the last seconds, and begin a new era.

        The operator and engines write again within some seconds what they had written.
        Leases that were granted meanwhile have ended, and waiting watches are answered.
        """
        now_s = self._clock.seconds()
        lost = self._items
        copy = self._copies.take_back(now_s, age_s, self.revision, lost)
        self.era += 1
        self.revision = copy.revision
        self._items = copy.items
        self._history = collections.deque(
            event for event in self._history if event[1].revision <= copy.revision
        )
        self._dropped_revision = min(self._dropped_revision, copy.revision)
        for lease_id, lease in list(self._leases.items()):
            if lease.granted_s > now_s - age_s:
                self.end_lease(lease_id)
        for wait in list(self._waits):
            self._end_wait(wait)
        self._schedule_lost_writes(lost)

    def _schedule_lost_writes(self, lost: dict[str, store_data.Item]) -> None:
        keys = store_copies.list_lost_keys(lost, self._items)
        for number, key in enumerate(keys, start=1):
            delay_s = store_copies.WRITTEN_AGAIN_S * number / (len(keys) + 1)
            self._clock.callLater(delay_s, self._write_again, key, lost.get(key))

    def _write_again(self, key: str, item: store_data.Item | None) -> None:
        if item is None:
            self.delete_unchecked(key)
        else:
            self.write_unchecked(key, item.value)

    def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Create a lease and return its id and the lifetime that applies."""
        ttl_s = min(max(ttl_s, MIN_LEASE_S), MAX_LEASE_S)
        self._last_lease_id += 1
        lease_id = self._last_lease_id
        expiry = self._clock.callLater(ttl_s, self.end_lease, lease_id)
        self._leases[lease_id] = _Lease(ttl_s, self._clock.seconds(), expiry)
        return lease_id, ttl_s

    def renew_lease(self, lease_id: int) -> float:
        """Start the lifetime of a lease again and return it.

        :raises LeaseEndedError: when it has ended.
        """
        lease = self._find_lease(lease_id)
        lease.expiry.reset(lease.ttl_s)
        return lease.ttl_s

    def end_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys.

        :raises LeaseEndedError: when it has ended before.
        """
        lease = self._find_lease(lease_id)
        if lease.expiry.active():
            lease.expiry.cancel()
        del self._leases[lease_id]
        keys = [item.key for item in self._items.values() if item.lease == lease_id]
        self._apply([], keys)

    def _find_lease(self, lease_id: int) -> _Lease:
        if lease_id not in self._leases:
            raise store_data.LeaseEndedError(f"lease {lease_id}")
        return self._leases[lease_id]

    def _check_limits(self, transaction: store_data.Transaction) -> None:
        changed_keys = [put.key for put in transaction.puts] + [*transaction.deletes]
        entry_count = len(transaction.expected) + len(changed_keys)
        if entry_count > MAX_TRANSACTION_ENTRIES:
            raise store_data.InvalidCallError(f"{entry_count} entries in a transaction")
        for key in changed_keys:
            if not 0 < len(key.encode()) <= MAX_KEY_BYTES:
                raise store_data.InvalidCallError(f"key {key!r}")
            if key.startswith(PROTECTED_PREFIXES):
                raise store_data.ProtectedKeyError(key)
        for put in transaction.puts:
            if len(put.value) > MAX_VALUE_BYTES:
                raise store_data.InvalidCallError(f"value of {len(put.value)} bytes")

    def _apply(self, puts, deletes) -> int:
        self._copies.record(self._clock.seconds(), self.revision, self._items)
        events: list[store_data.Event] = []
        revision = self.revision + 1
        for put in puts:
            known = self._items.get(put.key)
            created = known.created if known else revision
            item = store_data.Item(put.key, put.value, revision, created, put.lease)
            self._items[put.key] = item
            events.append(item)
        for key in deletes:
            if self._items.pop(key, None) is not None:
                events.append(store_data.Deletion(key, revision))
        if events:
            self.revision = revision
            self._record(events)
        return self.revision

    def _record(self, events: list[store_data.Event]) -> None:
        now_s = self._clock.seconds()
        self._history.extend((now_s, event) for event in events)
        while self._history[0][0] < now_s - HISTORY_S:
            _, dropped = self._history.popleft()
            self._dropped_revision = dropped.revision
        for wait in list(self._waits):
            if any(event.key.startswith(wait[0]) for event in events):
                self._end_wait(wait)

    def _end_wait(self, wait: tuple[str, defer.Deferred]) -> None:
        if wait in self._waits:
            self._waits.remove(wait)
            wait[1].callback(None)
