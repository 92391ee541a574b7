"""Fetches a piece of weights in parts, as HTTP byte ranges.

A piece that is sent as a whole fills the narrow link to an engine's instance, and the
requests of callers wait behind it. Of a piece that is fetched in parts, one after the
other, only one part is on the link at a time.
"""

import re
from typing import NamedTuple

from toucanspread.ops.http import http1

_RANGE = re.compile(rb"bytes=(\d{1,12})-(\d{1,12})")
_CONTENT_RANGE = re.compile(rb"bytes (\d{1,12})-(\d{1,12})/(\d{1,12})")


class ByteRange(NamedTuple):
    """A range of the bytes of a piece.

    :param first: offset of the first byte.
    :param last: offset of the last byte; the piece may end before it.
    """

    first: int
    last: int

    @property
    def header(self) -> http1.Header:
        """Return the header that requests the range."""
        return http1.Header(b"Range", b"bytes=%d-%d" % self)


class Part(NamedTuple):
    """What an answer says of the part that it carries.

    :param first: offset of its first byte.
    :param piece_bytes: size of the whole piece.
    """

    first: int
    piece_bytes: int


def parse_range(head: http1.RequestHead) -> ByteRange | None:
    """Return the range that a request names; None for the whole piece."""
    match = _RANGE.fullmatch(head.get(b"range") or b"")
    if match is None:
        return None
    first, last = int(match[1]), int(match[2])
    return ByteRange(first, last) if first <= last else None


def make_content_range(requested: ByteRange, piece_bytes: int) -> http1.Header:
    """Return the header that names the part of a piece in an answer.

    :param requested: a range that begins within the piece.
    """
    last = min(requested.last, piece_bytes - 1)
    value = b"bytes %d-%d/%d" % (requested.first, last, piece_bytes)
    return http1.Header(b"Content-Range", value)


def parse_content_range(head: http1.AnswerHead) -> Part | None:
    """Return what an answer says of its part; None if that is missing or malformed."""
    match = _CONTENT_RANGE.fullmatch(head.get(b"content-range") or b"")
    if match is None:
        return None
    return Part(int(match[1]), int(match[3]))
