"""A model of the users' engines: a batch that reads prompts between its tokens.

It stands in for an engine where policies of entries are compared in virtual time. Each
pass admits what waits into free slots, reads prompts up to a bound in the order of
admission, and then gives every request that was read a few tokens.
"""

import dataclasses
from collections.abc import Callable

from twisted.internet import task

STEP_S = 0.008_87  # a token for every running request, from the users' sheet
PER_REQUEST_S = 0.000_038_8  # added to a step by each running request
PER_CONTEXT_TOKEN_S = 0.000_000_022_7  # and by each token that they look back on
READ_PER_S = 19_100.0  # prompt tokens
READ_AT_ONCE = 2_048  # prompt tokens in one pass
TOKENS_PER_EVENT = 5
SLOTS = 16
QUEUE_LENGTH = 8  # beyond the slots; more are rejected


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
    unread: int = 0
    made: int = 0


class ServedEngine:
    """One engine.

    :param slots: how many requests it works on at once.
    :param slowness: multiplies the time of everything.
    """

    def __init__(self, clock: task.Clock, slots: int = SLOTS, slowness: float = 1.0):
        self._clock = clock
        self._slots = slots
        self._slowness = slowness
        self._queue: list[Job] = []
        self._running: list[Job] = []
        self._passing: task.IDelayedCall | None = None

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
        if len(self._queue) >= QUEUE_LENGTH and len(self._running) >= self._slots:
            return False
        job.unread = job.prompt_tokens
        self._queue.append(job)
        self._queue.sort(key=lambda waiting: waiting.priority)
        if self._passing is None:
            self._start_pass()
        return True

    def drop(self, job: Job) -> None:
        """Stop the work on a request whose caller has left."""
        for jobs in (self._queue, self._running):
            if job in jobs:
                jobs.remove(job)

    def _start_pass(self) -> None:
        while self._queue and len(self._running) < self._slots:
            self._running.append(self._queue.pop(0))
        if not self._running:
            self._passing = None
            return
        read_tokens = self._read()
        writers = [job for job in self._running if job.unread == 0]
        context = sum(job.prompt_tokens + job.made for job in writers)
        step_s = STEP_S + PER_REQUEST_S * len(writers) + PER_CONTEXT_TOKEN_S * context
        pass_s = read_tokens / READ_PER_S + step_s * TOKENS_PER_EVENT * bool(writers)
        self._passing = self._clock.callLater(
            pass_s * self._slowness, self._end_pass, writers
        )

    def _read(self) -> int:
        """Read prompts, the first admitted first; return how many tokens."""
        left = READ_AT_ONCE
        for job in self._running:
            part = min(job.unread, left)
            job.unread -= part
            left -= part
        return READ_AT_ONCE - left

    def _end_pass(self, writers: list[Job]) -> None:
        for job in writers:
            if job not in self._running:
                continue
            job.made += TOKENS_PER_EVENT
            job.on_event()
            if job.made >= job.answer_tokens:
                self._running.remove(job)
                job.on_end()
        self._start_pass()
