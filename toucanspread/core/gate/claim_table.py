"""Tables of claims, as stored in the key-value service.

The calls of a service are spread over a fixed number of tables by hash. A table holds
the operation that claimed each call and the time when the claim expires. Each write of
a table drops its expired claims, so tables stay bounded without a cleanup process.
"""

import hashlib

import msgspec

from toucanspread.core import data, decoder

# Per service: few enough to store, and enough that concurrent writes rarely conflict.
TABLE_COUNT = 4_096
MAX_CLAIMS_PER_TABLE = 2_000  # some 250 KB of the megabyte that a value may hold


class TableError(Exception):
    """The stored bytes are not a valid table."""


class StoredClaim(msgspec.Struct, frozen=True, array_like=True):
    """One claim in a table.

    :param expires_s: in seconds since the epoch.
    """

    operation_id: data.OperationId
    expires_s: int


Table = dict[str, StoredClaim]

_decoder = decoder.JsonDecoder(Table)


def make_table_key(service: data.ServiceName, call: str) -> str:
    """Return the key of the table that holds a call's claim."""
    digest = hashlib.sha256(call.encode()).digest()
    number = int.from_bytes(digest[:4], "big") % TABLE_COUNT
    return f"claims/{service}/{number:03x}"


def make_call_name(idempotency_key: data.IdempotencyKey) -> str:
    """Return a call's name in its table, of a fixed length for a key of any length."""
    return hashlib.sha256(idempotency_key.encode()).hexdigest()[:32]


def decode(value: bytes) -> Table:
    """Return the table in ``value``.

    :raises TableError: if it is malformed.
    """
    if not value:
        return {}
    try:
        return _decoder.decode(value)
    except decoder.MalformedError as error:
        raise TableError(f"malformed table of claims: {error}") from error


def encode(table: Table) -> bytes:
    """Return the bytes of a table."""
    return msgspec.json.encode(table)


def drop_expired(table: Table, wall_s: float) -> Table:
    """Return the claims that have not expired.

    :param wall_s: the current time in seconds since the epoch.
    """
    return {call: claim for call, claim in table.items() if claim.expires_s > wall_s}


def drop_operation(table: Table, operation_id: data.OperationId) -> Table:
    """Return the claims of all other operations."""
    return {
        call: claim
        for call, claim in table.items()
        if claim.operation_id != operation_id
    }
