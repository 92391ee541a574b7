"""Stand-in for an engine whose answers pause once, and that rejects some requests."""

import asyncio
import random
import time
from typing import NamedTuple

from standins import working_engine

REJECTION = (
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
    "X-Attempt-Id: {attempt_id}\r\nContent-Length: 0\r\n\r\n"
)


class Habits(NamedTuple):
    """How often an engine pauses or rejects.

    :param pause_share: of the answers that it pauses once.
    :param pause_after_s: of work.
    :param rejection_share: of the requests that it rejects.
    """

    pause_s: float
    pause_share: float
    rejection_share: float
    pause_after_s: float = 0.5


class PausingEngine(working_engine.WorkingEngine):
    """Goes on after each pause and never breaks an answer off.

    :param seed: of the choice of requests to pause or to reject.
    :ivar pausing_until_s: end of its last pause.
    """

    def __init__(self, habits: Habits, seed: int):
        super().__init__()
        self.pausing_until_s = 0.0
        self._habits = habits
        self._random_source = random.Random(seed)

    def _draw(self, share: float) -> bool:
        return self._random_source.random() < share

    async def _answer(self, writer, headers, received, caller_end) -> None:
        if self._draw(self._habits.rejection_share):
            received.is_rejected = True
            rejection = REJECTION.format(attempt_id=received.attempt_id)
            writer.write(rejection.encode())
            return
        received.pauses = self._draw(self._habits.pause_share)
        await super()._answer(writer, headers, received, caller_end)

    async def _work(self, duration_s, received, caller_end) -> None:
        left_s = duration_s
        worked_s = time.monotonic() - received.at_s
        if received.pauses and worked_s + duration_s > self._habits.pause_after_s:
            received.pauses = False
            left_s += self._habits.pause_s
            self.pausing_until_s = time.monotonic() + self._habits.pause_s
        await super()._work(left_s, received, caller_end)


async def start_all(
    habits: Habits, count: int, seed: int
) -> tuple[list[PausingEngine], list[str]]:
    """Start engines and return them with their addresses."""
    engines = [PausingEngine(habits, seed + number) for number in range(count)]
    addresses = await asyncio.gather(*[engine.start() for engine in engines])
    return engines, addresses
