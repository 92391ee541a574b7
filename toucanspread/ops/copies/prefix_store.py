"""Interface to the platform's store with revisions, prefix watches and leases.

Values are bytes. The revision increases with each change of the store. A lease belongs
to a process; the store deletes the keys of a lease when the lease ends.
"""

import abc
from collections.abc import Callable
from typing import NamedTuple

from toucanspread.core import data
from toucanspread.core.view import store_position, store_view
from toucanspread.ops.http import http1_pool

LeaseId = int


class StoreError(Exception):
    """A call to the store got no usable answer.

    :param may_be_applied: whether a write may still take effect.
    """

    def __init__(self, detail: str, may_be_applied: bool = True):
        super().__init__(detail)
        self.may_be_applied = may_be_applied


class SlowAnswerError(StoreError):
    """A part of the answer was received, but not all of it in time."""


class LargeAnswerError(StoreError):
    """An answer, or all pages of a read, are larger than the call can return."""


class NoProgressError(StoreError):
    """A page of a read names no further items, although it isn't the last one."""


class HistoryGoneError(StoreError):
    """The store no longer keeps the changes since the requested revision."""


class LeaseEndedError(StoreError):
    """The lease has ended, and its keys are deleted."""


class Changes(NamedTuple):
    """Result of a watch or of a read.

    :param revision: revision of the store after which the next watch continues.
    :param unreadable_keys: keys whose values cannot be decoded; their last good values
        stay in force.
    :param era: era of the store in which it has that revision.
    """

    changes: list[store_view.KeyChange]
    revision: int
    unreadable_keys: frozenset[str] = frozenset()
    era: int = store_position.UNKNOWN_ERA

    @property
    def has_changes(self) -> bool:
        """Return whether the store named any key, also one that cannot be decoded."""
        return bool(self.changes or self.unreadable_keys)


class PrefixStore(abc.ABC):
    """The operations that the system needs of the store.

    Every method raises :class:`StoreError` when it gets no usable answer.

    :ivar era: the latest era of the store that an answer has named.
    :ivar on_arriving: called when a part of the answer to a read or a watch arrives.
    """

    era: int = store_position.UNKNOWN_ERA
    on_arriving: Callable[[http1_pool.AnswerProgress], None] | None = None

    @abc.abstractmethod
    async def read_all(self, prefix: str) -> Changes:
        """Return all items below a prefix; the revision is that of the first page."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, after: int, wait_s: float, max_bytes: int | None = None
    ) -> Changes:
        """Return the changes after a revision; wait up to ``wait_s`` for the first.

        :param max_bytes: limit for the answer, besides that of the store's client.
        :raises LargeAnswerError: when the changes exceed the limit.
        :raises HistoryGoneError: when the prefix has to be read again as a whole.
        """

    @abc.abstractmethod
    async def put(self, key: str, value: bytes, lease: LeaseId) -> data.Revision:
        """Write a key that is deleted when the lease ends.

        :raises LeaseEndedError: when the lease has ended.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Return a new lease."""

    @abc.abstractmethod
    async def renew_lease(self, lease: LeaseId) -> None:
        """Renew a lease.

        :raises LeaseEndedError: when it has ended.
        """

    @abc.abstractmethod
    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease, which deletes its keys."""
