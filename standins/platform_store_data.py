"""Records and errors of the stand-in for the platform's store.

The records have the field names of the store's published protocol; values are bytes,
which msgspec encodes in JSON as base64 text.
"""

import msgspec

NO_LEASE = 0


class CallRefusedError(Exception):
    """A call of the system has no effect."""


class InvalidCallError(CallRefusedError):
    """The call is malformed or exceeds a limit."""


class ProtectedKeyError(CallRefusedError):
    """The system may not write the key."""


class LeaseEndedError(CallRefusedError):
    """There is no such lease."""


class HistoryGoneError(CallRefusedError):
    """Changes after the requested revision are no longer kept."""


class ConditionFailedError(CallRefusedError):
    """An expected revision is not that of the key.

    :param items: the expected keys in their current state, without absent ones.
    """

    def __init__(self, items: "list[Item]"):
        super().__init__("another revision was expected")
        self.items = items


class Item(msgspec.Struct, frozen=True):
    """A key with its value.

    :param revision: revision of its last change.
    :param created: revision of its creation.
    """

    key: str
    value: bytes
    revision: int
    created: int
    lease: int


class Deletion(msgspec.Struct, frozen=True):
    """Event of a key's deletion."""

    key: str
    revision: int
    deleted: bool = True


Event = Item | Deletion


class Expectation(msgspec.Struct, frozen=True):
    """Condition of a transaction; revision 0 means that the key does not exist."""

    key: str
    revision: int


class Put(msgspec.Struct, frozen=True):
    """Write of a key."""

    key: str
    value: bytes
    lease: int = NO_LEASE


class Transaction(msgspec.Struct, frozen=True):
    """Writes and deletions that take effect together or not at all."""

    expected: tuple[Expectation, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class Page(msgspec.Struct, frozen=True):
    """Items of a prefix, ordered by key, from one read."""

    items: list[Item]
    has_more: bool
    store_revision: int
