"""Keeps what a server says of itself in its answers to the calls of this process."""

from collections.abc import Callable

from toucanspread.core.entry import engine_backoff, engine_statement
from toucanspread.ops.http import http1_pool
from toucanspread.ops.telemetry import statement_logs
from toucanspread.platform import requests


class CalledServer:
    """An engine or the origin of weights, as this process calls it.

    :param read_clock_s: returns the time.
    """

    def __init__(self, read_clock_s: Callable[[], float]):
        self._read_clock_s = read_clock_s
        self._address = ""
        self._statement = engine_statement.EngineStatement()
        self._backoff = engine_backoff.EngineBackoff()

    def backoff_left_s(self, address: str) -> float:
        """Return the time for which it wants no calls; 0 if they are welcome."""
        if address != self._address:
            return 0.0
        return self._backoff.left_s(self._read_clock_s())

    def record(self, address: str, reply: http1_pool.Reply) -> None:
        """Record what its answer to a call says of it, and log what is new."""
        if address != self._address:
            self._address = address
            self._statement = engine_statement.EngineStatement()
            self._backoff = engine_backoff.EngineBackoff()
        statement = requests.read_statement(reply.head)
        statement_logs.write(
            address,
            statement,
            has_new_limit=statement.limit_per_s != self._statement.limit_per_s,
            begins_to_leave=statement.is_leaving and not self._statement.is_leaving,
        )
        self._statement = statement
        now_s = self._read_clock_s()
        self._backoff.on_answer(statement.backoff_s, now_s, now_s)
