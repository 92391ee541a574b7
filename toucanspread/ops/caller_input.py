"""Parses and validates callers' requests before they have any effect."""

import io
import math
import re

import xxhash
from twisted.web import server

from toucanspread.core import data

HASHED_PREFIX_BYTES = 512  # start of the body, hashed for the prefix caches
MAX_DEADLINE_S = 3600.0
MAX_PRIORITY = 9
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}")
FLAG_VALUES = {"true": True, "false": False}


class InputError(Exception):
    """A caller's request is invalid."""


def make_request_class(max_body_bytes: int) -> type[server.Request]:
    """Return a request class that keeps bodies in memory, up to a size limit.

    Twisted writes larger bodies to a file, but instances have no disks.
    """

    class BoundedRequest(server.Request):
        """Refuses a body above the limit while receiving it."""

        def gotLength(self, length: int | None) -> None:  # noqa: N802
            self.content = io.BytesIO()
            if length is not None and length > max_body_bytes:
                self._refuse()

        def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
            if self.content.tell() + len(data) > max_body_bytes:
                self._refuse()
                return
            self.content.write(data)

        def _refuse(self) -> None:
            if self.channel is None:
                return
            self.channel.transport.write(
                b"HTTP/1.1 413 Request Entity Too Large\r\n"
                b"Content-Length: 0\r\nConnection: close\r\n\r\n"
            )
            self.channel.loseConnection()

    return BoundedRequest


def get_query_argument(http: server.Request, name: str) -> str:
    """Return an argument of the query string, or an empty string."""
    values = http.args.get(name.encode(), [b""])
    return values[0].decode(errors="replace")


def parse_request(
    http: server.Request,
    service: data.ServiceName,
    kind: data.ServiceKind,
    repeatable: bool,
    generated_id: str,
    body: bytes,
) -> data.Request:
    """Return the request that the headers describe.

    :param repeatable: default for requests without the header.
    :param generated_id: id for requests without the header.
    :raises InputError: if a header is missing or malformed.
    """
    if not NAME_PATTERN.fullmatch(service):
        raise InputError(f"malformed service name {service!r}")
    given_id = _get_name(http, "X-Request-Id", "")
    repeatable = _parse_flag(http, "X-Repeatable", repeatable)
    key = _get_name(http, "Idempotency-Key", "")
    if not repeatable and not key:
        # A caller that sends the request again under the same id means the same call.
        key = given_id
    prefix_hash = 0
    if kind is data.ServiceKind.MODEL:
        prefix_hash = xxhash.xxh64_intdigest(body[:HASHED_PREFIX_BYTES])
    return data.Request(
        request_id=data.RequestId(given_id or generated_id),
        team=data.TeamName(_get_required(http, "X-Team")),
        service=service,
        budget_s=_parse_deadline_s(http),
        model=data.ModelName(_get_name(http, "X-Model", "")),
        version=data.VersionName(_get_name(http, "X-Version", "")),
        adapter=data.AdapterName(_get_name(http, "X-Adapter", "")),
        priority=_parse_priority(http),
        repeatable=repeatable,
        idempotency_key=data.IdempotencyKey(key),
        prefix_hash=prefix_hash,
        body_bytes=len(body),
    )


def _get_name(http: server.Request, header: str, default: str) -> str:
    value = http.getHeader(header)
    if value is None:
        return default
    if not NAME_PATTERN.fullmatch(value):
        raise InputError(f"{header}: malformed value {value!r}")
    return value


def _get_required(http: server.Request, header: str) -> str:
    value = _get_name(http, header, "")
    if not value:
        raise InputError(f"{header}: missing")
    return value


def _parse_deadline_s(http: server.Request) -> float:
    value = _get_required(http, "X-Deadline-S")
    try:
        deadline_s = float(value)
    except ValueError:
        raise InputError(f"X-Deadline-S: {value!r} is no number") from None
    if not math.isfinite(deadline_s) or not 0 < deadline_s <= MAX_DEADLINE_S:
        raise InputError(
            f"X-Deadline-S: {value!r} is not above 0 and at most {MAX_DEADLINE_S}"
        )
    return deadline_s


def _parse_priority(http: server.Request) -> int:
    value = _get_name(http, "X-Priority", "1")
    if not value.isascii() or not value.isdigit() or int(value) > MAX_PRIORITY:
        raise InputError(f"X-Priority: {value!r} is not from 0 to {MAX_PRIORITY}")
    return int(value)


def _parse_flag(http: server.Request, header: str, default: bool) -> bool:
    value = _get_name(http, header, "")
    if not value:
        return default
    if value.lower() not in FLAG_VALUES:
        raise InputError(f"{header}: {value!r} is neither true nor false")
    return FLAG_VALUES[value.lower()]
