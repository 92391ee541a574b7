"""A model of the users' engines: a batch that reads prompts between its tokens.

It stands in for an engine where policies of entries are compared in virtual time. Each
pass admits what waits into free slots, reads prompts up to a bound in the order of
admission, and then gives every request that was read a few tokens.
"""

import dataclasses
from collections.abc import Callable

from twisted.internet import task

DECODE_STEP_S = 0.008_87  # a token for every running request, from the users' sheet
STEP_PER_REQUEST_S = 0.000_038_8  # added to a step by each running request
STEP_PER_CONTEXT_TOKEN_S = 0.000_000_022_7  # and by each token that they look back on
PREFILL_TOKENS_PER_S = 19_100.0  # prompt tokens
MAX_PREFILL_TOKENS_PER_PASS = 2_048  # prompt tokens in one pass
TOKENS_PER_EVENT = 5
SLOT_COUNT = 16
MAX_QUEUE_LENGTH = 8  # beyond the slots; more are rejected


@dataclasses.dataclass(eq=False)
class Job:
    """A request at the engine.

    :param priority: 0 goes first into a free slot.
    :param on_event: called with each event of the stream.
    :param on_end: called once, after the last event.
    """

    prompt_tokens: int
    answer_tokens: int
    on_event: Callable[[], None]
    on_end: Callable[[], None]
    priority: int = 5
    unread_tokens: int = 0
    generated_tokens: int = 0


class EngineModel:
    """One engine.

    :param slots: how many requests it works on at once.
    :param slowness: multiplies the time of everything.
    """

    def __init__(
        self, clock: task.Clock, slots: int = SLOT_COUNT, slowness: float = 1.0
    ):
        self._clock = clock
        self._slots = slots
        self._slowdown_factor = slowness
        self._queue: list[Job] = []
        self._running: list[Job] = []
        self._pending_pass: task.IDelayedCall | None = None

    @property
    def queued(self) -> int:
        """Return how many requests wait for a slot."""
        return len(self._queue)

    @property
    def active(self) -> int:
        """Return how many requests it works on."""
        return len(self._running)

    def submit(self, job: Job) -> bool:
        """Take a request in; return whether there is room.

        What waits for a slot goes in by priority, and then in order of arrival.
        """
        if len(self._queue) >= MAX_QUEUE_LENGTH and len(self._running) >= self._slots:
            return False
        job.unread_tokens = job.prompt_tokens
        self._queue.append(job)
        self._queue.sort(key=lambda waiting: waiting.priority)
        if self._pending_pass is None:
            self._start_pass()
        return True

    def cancel(self, job: Job) -> None:
        """Stop the work on a request whose caller has left."""
        for jobs in (self._queue, self._running):
            if job in jobs:
                jobs.remove(job)

    def _start_pass(self) -> None:
        while self._queue and len(self._running) < self._slots:
            self._running.append(self._queue.pop(0))
        if not self._running:
            self._pending_pass = None
            return
        read_tokens = self._prefill()
        writers = [job for job in self._running if job.unread_tokens == 0]
        context = sum(job.prompt_tokens + job.generated_tokens for job in writers)
        step_s = (
            DECODE_STEP_S
            + STEP_PER_REQUEST_S * len(writers)
            + STEP_PER_CONTEXT_TOKEN_S * context
        )
        pass_s = read_tokens / PREFILL_TOKENS_PER_S + step_s * TOKENS_PER_EVENT * bool(
            writers
        )
        self._pending_pass = self._clock.callLater(
            pass_s * self._slowdown_factor, self._end_pass, writers
        )

    def _prefill(self) -> int:
        """Read prompts, the first admitted first; return how many tokens."""
        left = MAX_PREFILL_TOKENS_PER_PASS
        for job in self._running:
            part = min(job.unread_tokens, left)
            job.unread_tokens -= part
            left -= part
        return MAX_PREFILL_TOKENS_PER_PASS - left

    def _end_pass(self, writers: list[Job]) -> None:
        for job in writers:
            if job not in self._running:
                continue
            job.generated_tokens += TOKENS_PER_EVENT
            job.on_event()
            if job.generated_tokens >= job.answer_tokens:
                self._running.remove(job)
                job.on_end()
        self._start_pass()
