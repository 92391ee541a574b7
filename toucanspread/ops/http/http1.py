"""HTTP/1.1 messages, shared by the server and the client side of connections.

A proxy of answers needs details that a high-level client hides: a body shorter than
its declared length, bytes after a complete answer, an answer that ends with its
connection, and the answer to an earlier request. The parser is ``httptools``. The two
sides are :mod:`http1_server` and :mod:`http1_client`.
"""

import contextlib
import http
import socket
from collections.abc import Iterable
from typing import NamedTuple

MAX_HEAD_BYTES = 65_536  # limit for the head of an answer or an internal request
MAX_CHUNK_FRAMING_BYTES = 12  # the size of a chunk in eight digits, and two line ends
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
MAX_USER_TIMEOUT_MS = 2**31 - 1
NO_BODY_STATUSES = frozenset({204, 304})
# Several lines of one of these with different values are an error.
SINGULAR_HEADERS = frozenset({b"content-length", b"content-type"})


class Header(NamedTuple):
    """One header line."""

    name: bytes
    value: bytes


class Head:
    """Headers of a message, in their original order and spelling.

    :param headers: header lines as received.
    """

    def __init__(self, headers: list[Header]):
        self.headers = headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None.

        :param name: header name in lower case.
        """
        for header in self.headers:
            if header.name.lower() == name:
                return header.value
        return None

    def get_all(self, name: bytes) -> list[bytes]:
        """Return the values of all lines of a header, by its lower-case name."""
        return [header.value for header in self.headers if header.name.lower() == name]

    def count_lines(self, name: bytes) -> int:
        """Return the number of lines of a header, by its lower-case name."""
        return sum(header.name.lower() == name for header in self.headers)

    def get_forwardable_headers(
        self, excluded: frozenset[bytes] = frozenset()
    ) -> list[Header]:
        """Return the end-to-end headers, which a proxy passes on.

        :param excluded: names of further headers to leave out, in lower case.
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
        """Return whether a comma-separated header contains a token.

        :param name: header name in lower case.
        :param token: token in lower case.
        """
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
    """Method, target and headers of a request.

    :param target: path and query, as sent.
    :param version: version of HTTP that the sender speaks.
    """

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: list[Header],
        version: str = "1.1",
    ):
        super().__init__(headers)
        self.method = method
        self.target = target
        self.version = version

    @property
    def accepts_chunks(self) -> bool:
        """Return whether the answer may be sent in chunks."""
        return self.version == "1.1"


class AnswerHead(Head):
    """Status and headers of an answer."""

    def __init__(self, status: int, headers: list[Header]):
        super().__init__(headers)
        self.status = status


def get_reason_phrase(status: int) -> str:
    """Return the standard reason phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"


def render_head(start_line: bytes, headers: Iterable[Header]) -> bytes:
    """Return the head of a message as bytes."""
    lines = [start_line]
    lines.extend(b"%b: %b" % header for header in headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def render_request(head: RequestHead, body: bytes) -> bytes:
    """Return a request with its complete body as bytes."""
    headers = list(head.headers)
    if body or head.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append(Header(b"Content-Length", b"%d" % len(body)))
    return render_head(b"%b %b HTTP/1.1" % (head.method, head.target), headers) + body


def set_user_timeout(transport, timeout_s: float) -> None:
    """Let a connection end if the other side takes no bytes for some time.

    :param timeout_s: time for which bytes may stay unsent or unacknowledged.
    """
    timeout_ms = min(int(timeout_s * 1000), MAX_USER_TIMEOUT_MS)
    with contextlib.suppress(OSError):
        # Some kernels do not support the option.
        transport.getHandle().setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
        )


class ParserCallbacks:
    """Parser callbacks that both sides of a connection share."""

    def __init__(self):
        self._headers: list[Header] = []
        self._target = bytearray()

    def on_message_begin(self) -> None:
        """Discard the headers of the previous message."""
        self._headers = []
        self._target = bytearray()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header line."""
        self._headers.append(Header(name, value))
