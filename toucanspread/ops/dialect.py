"""What a platform's requests and answers say, beyond HTTP.

The forwarding of requests works on what this interface reads from heads and writes
into them; the names on the wire stay with its implementation.
"""

import abc
from typing import NamedTuple

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import decisions
from toucanspread.ops import http1


class AnswerFacts(NamedTuple):
    """What an engine's answer says of itself.

    :param is_own: whether it belongs to the request that was sent.
    :param is_sealed: whether the engine vouches for it.
    :param not_run: whether the engine says that it has not run the request.
    :param instance: the engine that answered; empty if it does not say.
    :param is_stream: whether events follow.
    """

    is_for_request: bool
    is_sealed: bool
    not_run: bool
    instance: str
    is_stream: bool


class Dialect(abc.ABC):
    """Reads and writes the heads of callers' requests and engines' answers."""

    @abc.abstractmethod
    def read_call(self, head: http1.RequestHead) -> entry_data.Call | None:
        """Return what a request says of itself, or None when it says too little."""

    @abc.abstractmethod
    def make_engine_head(
        self,
        head: http1.RequestHead,
        dispatch: decisions.SendToEngine,
        team: data.TeamName | None,
    ) -> http1.RequestHead:
        """Return the head that is sent to an engine."""

    @abc.abstractmethod
    def read_answer(self, head: http1.AnswerHead, call: entry_data.Call) -> AnswerFacts:
        """Return what an answer says of itself."""

    @abc.abstractmethod
    def make_own_answer_headers(
        self, call: entry_data.Call | None, retry_after_s: float | None
    ) -> list[http1.Header]:
        """Return the headers of an answer of this entry's own."""
