"""Interface to the headers by which a platform describes requests and answers.

The forwarder works with the values that this interface reads from heads and writes
into them. Only its implementation knows the names of the headers.
"""

import abc
from typing import NamedTuple

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import decisions, engine_statement
from toucanspread.ops.http import http1


class AnswerProperties(NamedTuple):
    """Properties of an engine's answer, read from its head.

    :param is_for_request: whether the answer may belong to the request that was sent.
    :param is_identified: whether it names that request.
    :param is_sealed: whether the answer carries the seal of an engine.
    :param not_run: whether the engine states that it has not run the request.
    :param instance: id of the engine that answered; empty if not stated.
    :param is_stream: whether the body is a stream of events.
    :param statement: what the engine says of itself.
    :param weights_version: version of the weights on which the answer began; None if
        not stated.
    """

    is_for_request: bool
    is_identified: bool
    is_sealed: bool
    not_run: bool
    instance: str
    is_stream: bool
    statement: engine_statement.EngineStatement = engine_statement.EngineStatement()
    weights_version: int | None = None


class Dialect(abc.ABC):
    """Reads and writes the heads of callers' requests and engines' answers.

    :ivar singular_answer_headers: lower-case names of headers of answers that have one
        value each, besides those of HTTP.
    """

    singular_answer_headers: frozenset[bytes]

    @abc.abstractmethod
    def read_call(self, head: http1.RequestHead) -> entry_data.Call | None:
        """Return the call that a head describes; None without the required headers."""

    @abc.abstractmethod
    def make_engine_head(
        self,
        head: http1.RequestHead,
        dispatch: decisions.SendToEngine,
        team: data.TeamName | None,
    ) -> http1.RequestHead:
        """Return the head of the request to an engine."""

    @abc.abstractmethod
    def read_answer(
        self, head: http1.AnswerHead, call: entry_data.Call
    ) -> AnswerProperties:
        """Return the properties of an answer."""

    @abc.abstractmethod
    def make_own_answer_headers(
        self, call: entry_data.Call | None, retry_after_s: float | None
    ) -> list[http1.Header]:
        """Return the headers of an answer that this entry makes itself."""
