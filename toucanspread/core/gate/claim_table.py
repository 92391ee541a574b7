"""Tables of claims, as they stand in the key-value service.

The calls of a service are spread over a fixed number of tables by hash. A table names
the operation that claimed each call and when the claim expires; whoever writes a table
drops what has expired, so tables stay bounded and need no sweeper.
"""

import hashlib

import msgspec

from toucanspread.core import data

TABLES = 4_096  # per service; few enough to keep, many enough to rarely conflict
MAX_CLAIMS_PER_TABLE = (
    2_000  # in one table, some 250 KB of the megabyte that a value may hold
)


class TableError(Exception):
    """The bytes of a table cannot be read."""


class StoredClaim(msgspec.Struct, frozen=True, array_like=True):
    """One claim.

    :param expires_s: in seconds since the epoch.
    """

    operation_id: data.OperationId
    expires_s: int


Table = dict[str, StoredClaim]

_decoder = msgspec.json.Decoder(Table)


def table_key(service: data.ServiceName, call: str) -> str:
    """Return the key of the table that holds a call's claim."""
    digest = hashlib.sha256(call.encode()).digest()
    number = int.from_bytes(digest[:4], "big") % TABLES
    return f"claims/{service}/{number:03x}"


def call_name(idempotency_key: data.IdempotencyKey) -> str:
    """Return a short name for a call, however long its key is."""
    return hashlib.sha256(idempotency_key.encode()).hexdigest()[:32]


def decode(value: bytes) -> Table:
    """Return the table in ``value``.

    :raises TableError: when it is malformed.
    """
    if not value:
        return {}
    try:
        return _decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise TableError(f"malformed table of claims: {error}") from error


def encode(table: Table) -> bytes:
    """Return the bytes of a table."""
    return msgspec.json.encode(table)


def drop_expired(table: Table, wall_s: float) -> Table:
    """Return the claims that have not expired."""
    return {call: entry for call, entry in table.items() if entry.expires_s > wall_s}


def without_operation(table: Table, operation_id: data.OperationId) -> Table:
    """Return the claims of all other operations."""
    return {
        call: entry
        for call, entry in table.items()
        if entry.operation_id != operation_id
    }
