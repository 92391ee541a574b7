"""Asks peers for newer values than those that the store shows.

A process that has just started cannot tell whether the store has come back from an
older copy; peers that have known newer values still have them.
"""

import asyncio
import urllib.parse
from collections.abc import Iterable, Mapping

import msgspec

from toucanspread.core import bounds, data, decoder
from toucanspread.core.view import store_view
from toucanspread.ops.copies import call_ids, excerpt_client
from toucanspread.ops.http import http1_pool
from toucanspread.ops.telemetry import metric_buffer

NEWER_VALUES_TARGET = "/newer-values"
# Limit of the wait for peers that do not answer; a start takes this much longer then.
ANSWER_TIMEOUT_S = 0.25
ASKED_COUNT = 3  # one that was cut off for long may have older values

_versions_decoder = decoder.JsonDecoder(dict[str, bounds.Version])


class NewerValuesRequest(msgspec.Struct, frozen=True):
    """A request for the values that are newer than the requester's.

    :param prefixes: key prefixes to return.
    :param versions: the version of each key that the requester knows.
    :param call_id: id of the call by which the request came.
    """

    prefixes: tuple[str, ...]
    versions: dict[str, int]
    call_id: call_ids.CallId = call_ids.UNKNOWN_CALL


def parse_request(arguments: Mapping[str, str]) -> NewerValuesRequest:
    """Return the request with some arguments.

    :raises KeyError: when one is missing.
    :raises ValueError: when the versions are malformed.
    """
    versions = _versions_decoder.decode(arguments["versions"])
    call_id = call_ids.parse(arguments.get(call_ids.ARGUMENT, ""))
    return NewerValuesRequest(
        tuple(arguments["prefixes"].split(",")), versions, call_id
    )


async def fetch_newer(
    pool: http1_pool.ConnectionPool,
    addresses: Iterable[data.Address],
    request: NewerValuesRequest,
) -> list[store_view.KeyChange]:
    """Return what the peers at some addresses know newer; none if they don't answer.

    A peer that has begun to answer may take longer than ``ANSWER_TIMEOUT_S``, but not
    longer than :data:`http1_pool.MAX_ANSWER_S`.
    """
    calls = [_fetch_from(pool, address, request) for address in addresses]
    return [change for answer in await asyncio.gather(*calls) for change in answer]


async def _fetch_from(
    pool: http1_pool.ConnectionPool, address: data.Address, request: NewerValuesRequest
) -> tuple[store_view.KeyChange, ...]:
    arguments = {
        "prefixes": ",".join(request.prefixes),
        "versions": msgspec.json.encode(request.versions).decode(),
    }
    target = f"{NEWER_VALUES_TARGET}?{urllib.parse.urlencode(arguments)}"
    try:
        excerpt = await excerpt_client.call(
            pool, address, target, ANSWER_TIMEOUT_S, ANSWER_TIMEOUT_S
        )
    except excerpt_client.ExcerptError:
        metric_buffer.count("newer_values_failures")
        return ()
    return excerpt.changes
