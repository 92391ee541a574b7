"""Ids of calls between processes of this system, which answers repeat.

Answers to different requests for parts of a copy have the same form, and none says what
was asked for.
"""

import re
import secrets
from typing import NewType

from toucanspread.ops.http import answer_match, http1

CallId = NewType("CallId", str)

UNKNOWN_CALL = CallId("")
ARGUMENT = "call"
_HEADER_NAME = b"call-id"
_ID_BYTES = 4
_ID_PATTERN = re.compile(r"[0-9a-f]{1,16}")


def make() -> CallId:
    """Return the id of a new call."""
    return CallId(secrets.token_hex(_ID_BYTES))


def parse(text: str) -> CallId:
    """Return the id that a request names; ``UNKNOWN_CALL`` if it names none."""
    return CallId(text) if _ID_PATTERN.fullmatch(text) else UNKNOWN_CALL


def make_headers(call_id: CallId) -> list[http1.Header]:
    """Return the headers by which an answer names its call."""
    if call_id == UNKNOWN_CALL:
        return []
    return [http1.Header(_HEADER_NAME, call_id.encode())]


class CallIdMatcher(answer_match.AnswerMatcher):
    """Expects an answer with the id of the call.

    Entries of an earlier release send none; theirs are taken, since each request for
    a copy would be sent twice otherwise.
    """

    def __init__(self, call_id: CallId):
        self._call_id = call_id.encode()

    def match(self, head: http1.AnswerHead, body: bytes) -> answer_match.Match:
        """Return whether an answer names no other call."""
        named_id = head.get(_HEADER_NAME)
        if named_id is None or named_id == self._call_id:
            return answer_match.Match.OWN
        return answer_match.Match.OTHER
