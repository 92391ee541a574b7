"""Compares an answer with the call that it is taken for.

HTTP/1.1 assigns answers to calls by their order on a connection only. A server that
repeats an answer shifts this order, so an answer should name what was asked for.
"""

import abc
import enum

from toucanspread.ops.http import http1


class Match(enum.Enum):
    """Whether an answer belongs to a call.

    ``UNNAMED`` answers do not say it. They are taken from a connection that carried no
    other call.
    """

    OWN = "own"
    OTHER = "other"
    UNNAMED = "unnamed"


class AnswerMatcher(abc.ABC):
    """Compares the successful answers to one call with that call."""

    @abc.abstractmethod
    def match(self, head: http1.AnswerHead, body: bytes) -> Match:
        """Return whether a complete answer belongs to the call."""
