"""Messages of HTTP/1.1, as both sides of a connection read and write them.

A relay of answers has to see what a high-level client hides: a length that was not
reached, bytes after a complete answer, an answer that ends with its connection, the
answer of an earlier request. The parser is ``httptools``; :mod:`http1_server` and
:mod:`http1_client` are the two sides.
"""

import http
from collections.abc import Iterable
from typing import NamedTuple

MAX_HEAD_BYTES = 65_536  # of an answer's or an internal request's head
LAST_CHUNK = b"0\r\n\r\n"
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
NO_BODY_STATUSES = frozenset({204, 304})


class Header(NamedTuple):
    """One header line."""

    name: bytes
    value: bytes


class Head:
    """The headers of a message, in their order and spelling.

    :param headers: as they came.
    """

    def __init__(self, headers: list[Header]):
        self.headers = headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None.

        :param name: in lower case.
        """
        for header in self.headers:
            if header.name.lower() == name:
                return header.value
        return None

    def count_lines(self, name: bytes) -> int:
        """Return how many lines a header has."""
        return sum(header.name.lower() == name for header in self.headers)

    def get_forwardable_headers(
        self, excluded: frozenset[bytes] = frozenset()
    ) -> list[Header]:
        """Return the headers that concern more than one connection.

        :param dropped: further names to leave out, in lower case.
        """
        connection_options = self._list_connection_options()
        kept = []
        for header in self.headers:
            name = header.name.lower()
            if (
                name in HOP_BY_HOP_HEADERS
                or name in connection_options
                or name in excluded
            ):
                continue
            kept.append(header)
        return kept

    def has_token(self, name: bytes, token: bytes) -> bool:
        """Tell whether a list header holds a token."""
        for header in self.headers:
            if header.name.lower() != name:
                continue
            if token in [item.strip().lower() for item in header.value.split(b",")]:
                return True
        return False

    def _list_connection_options(self) -> set[bytes]:
        value = self.get(b"connection")
        if value is None:
            return set()
        return {item.strip().lower() for item in value.split(b",")}


class RequestHead(Head):
    """The start of a request.

    :param target: path and query, as sent.
    """

    def __init__(self, method: bytes, target: bytes, headers: list[Header]):
        super().__init__(headers)
        self.method = method
        self.target = target


class AnswerHead(Head):
    """The start of an answer."""

    def __init__(self, status: int, headers: list[Header]):
        super().__init__(headers)
        self.status = status


def get_reason_phrase(status: int) -> str:
    """Return the usual words for a status."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"


def render_head(start_line: bytes, headers: Iterable[Header]) -> bytes:
    """Return the bytes of a message's head."""
    lines = [start_line]
    lines.extend(b"%b: %b" % header for header in headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def render_request(head: RequestHead, body: bytes) -> bytes:
    """Return the bytes of a request whose body is whole."""
    headers = list(head.headers)
    if body or head.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append(Header(b"Content-Length", b"%d" % len(body)))
    return render_head(b"%b %b HTTP/1.1" % (head.method, head.target), headers) + body


class ParserCallbacks:
    """Collects what the parser calls back with; the base of both sides."""

    def __init__(self):
        self._headers: list[Header] = []
        self._target = bytearray()

    def on_message_begin(self) -> None:
        """Start over."""
        self._headers = []
        self._target = bytearray()

    def on_url(self, url: bytes) -> None:
        """Add a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header line."""
        self._headers.append(Header(name, value))
