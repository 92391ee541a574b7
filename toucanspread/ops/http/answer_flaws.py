"""Recognises answers that can't be attributed to one request.

A server may send an answer twice and break off the second one. A parser then reads the
next answer as the rest of a reason phrase or of a header's value, so that the head of
one message consists of two.
"""

import enum
import re
from collections.abc import Iterable

from toucanspread.ops.http import http1

INTERIM_STATUSES = frozenset({100, 102, 103})
MIN_FINAL_STATUS = 200
MAX_FINAL_STATUS = 599
STATUS_LINE_PATTERN = re.compile(rb"HTTP/[0-9]+\.[0-9]+ +[0-9]{3}")


class AnswerFlaw(enum.Enum):
    """Why an answer is not taken for that of the request in progress."""

    UNKNOWN_STATUS = "unknown status"
    SECOND_STATUS_LINE = "second status line"
    CONFLICTING_HEADERS = "conflicting headers"
    OTHER_REQUEST = "other request"
    NO_ID = "no id on a kept connection"
    HEAD_IN_BODY = "head of another answer in the body"


def is_known_status(status: int) -> bool:
    """Return whether a status is that of an interim or a final answer.

    A server in trouble may send others, such as 000. What follows them is not an answer
    that a caller could understand, and may never end.
    """
    if status in INTERIM_STATUSES:
        return True
    return MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS


def find_flaw(
    reason_phrase: bytes, head: http1.Head, singular_headers: Iterable[bytes]
) -> AnswerFlaw | None:
    """Return why a head isn't the head of one message; None if it may be.

    :param singular_headers: lower-case names of headers that have one value.
    """
    if has_status_line(reason_phrase, head):
        return AnswerFlaw.SECOND_STATUS_LINE
    if any(has_conflict(head, name) for name in singular_headers):
        return AnswerFlaw.CONFLICTING_HEADERS
    return None


def has_status_line(reason_phrase: bytes, head: http1.Head) -> bool:
    """Return whether a status line is part of a reason phrase or a header."""
    if STATUS_LINE_PATTERN.search(reason_phrase):
        return True
    return any(
        STATUS_LINE_PATTERN.search(text) for header in head.headers for text in header
    )


def has_conflict(head: http1.Head, name: bytes) -> bool:
    """Return whether the lines of a header have different values."""
    values = {value.strip() for value in head.get_all(name)}
    return len(values) > 1


def holds_head_of(body: bytes, request_id: bytes) -> bool:
    """Return whether a body holds a status line and after it the request's id.

    An answer that breaks off before its end is filled up by the next answer.
    """
    id_position = body.rfind(request_id)
    if id_position < 0:
        return False
    return STATUS_LINE_PATTERN.search(body, 0, id_position) is not None
