"""Requests the part of another process's copy of the store that is new."""

from typing import NamedTuple

from toucanspread.core import data
from toucanspread.core.view import source_selection, store_position, store_view
from toucanspread.ops.copies import call_ids, excerpt_codec
from toucanspread.ops.http import http1, http1_pool

EXCERPT_TARGET = "/excerpt"


class ExcerptError(Exception):
    """A peer returned no usable excerpt of its copy."""


class ExcerptRequest(NamedTuple):
    """A request for the part of a peer's copy that is new.

    :param after: revision of the requester's own copy.
    :param prefixes: key prefixes to return.
    :param wait_s: how long the peer may wait for a change.
    :param era: era of the store that the requester's copy is of.
    :param accepts_deltas: whether the requester can apply deltas to its own copy.
    :param call_id: id of the call by which the request came.
    """

    after: int
    prefixes: tuple[str, ...]
    wait_s: float = 0.0
    era: int = store_position.UNKNOWN_ERA
    accepts_deltas: bool = False
    call_id: call_ids.CallId = call_ids.UNKNOWN_CALL


async def fetch_excerpt(
    pool: http1_pool.ConnectionPool,
    address: data.Address,
    request: ExcerptRequest,
    timeout_s: float,
) -> store_view.Excerpt:
    """Return the requested part of another process's copy.

    :raises ExcerptError: when that process returns no usable excerpt.
    """
    query = f"after={request.after}&wait_ms={int(request.wait_s * 1000)}"
    query += f"&prefixes={','.join(request.prefixes)}&compressed=1"
    query += f"&era={request.era}"
    if request.accepts_deltas:
        query += "&deltas=1"
    target = f"{EXCERPT_TARGET}?{query}"
    return await call(pool, address, target, timeout_s, source_selection.ANSWER_GRACE_S)


async def call(
    pool: http1_pool.ConnectionPool,
    address: data.Address,
    target: str,
    timeout_s: float,
    stall_timeout_s: float,
) -> store_view.Excerpt:
    """Return the excerpt that is another process's answer to a request.

    :param target: of the request, with a query; the id of the call is added to it.
    :raises ExcerptError: when that process returns no usable excerpt.
    """
    call_id = call_ids.make()
    target += f"&{call_ids.ARGUMENT}={call_id}"
    head = http1.RequestHead(b"GET", target.encode(), [])
    try:
        reply = await pool.call(
            address,
            head,
            timeout_s=timeout_s,
            stall_timeout_s=stall_timeout_s,
            max_body_bytes=excerpt_codec.MAX_ENCODED_BYTES,
            matcher=call_ids.CallIdMatcher(call_id),
        )
    except http1_pool.CallError as error:
        raise ExcerptError(str(error)) from error
    if reply.status != 200:
        raise ExcerptError(f"{address} answered with status {reply.status}")
    try:
        return excerpt_codec.decode_excerpt(reply.body)
    except excerpt_codec.ExcerptDecodeError as error:
        raise ExcerptError(f"{address}: malformed excerpt: {error}") from error
