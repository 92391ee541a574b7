"""Performance model of the users' engines: prefill and decoding share each pass.

The model replaces an engine where policies of entries are compared in virtual time.
Each pass admits queued requests to free slots, prefills prompts in order of admission
up to a limit of tokens, and then generates a few tokens for every request whose prompt
has been read.
"""

import dataclasses
from collections.abc import Callable

from twisted.internet import task

DECODE_STEP_S = 0.008_87  # one token for each running request, from the users' figures
STEP_PER_REQUEST_S = 0.000_038_8  # added for each decoding request
STEP_PER_CONTEXT_TOKEN_S = 0.000_000_022_7  # and for each token of their contexts
PREFILL_TOKENS_PER_S = 19_100.0  # prompt tokens
MAX_PREFILL_TOKENS_PER_PASS = 2_048  # prompt tokens in one pass
TOKENS_PER_EVENT = 5
SLOT_COUNT = 16
MAX_QUEUE_LENGTH = 8  # beyond the slots; more are rejected


@dataclasses.dataclass(eq=False)
class Job:
    """A request at the engine.

    :param on_event: called at each event of the stream.
    :param on_end: called once, after the last event.
    :param on_decode: called once, at the begin of the pass that generates the first
        token, with the seconds until that token.
    :param priority: requests with a lower number get a free slot first.
    """

    prompt_tokens: int
    answer_tokens: int
    on_event: Callable[[], None]
    on_end: Callable[[], None]
    on_decode: Callable[[float], None]
    priority: int = 5
    unread_tokens: int = 0
    generated_tokens: int = 0


class EngineModel:
    """One simulated engine.

    :param slots: maximum number of running requests.
    :param slowdown_factor: factor of the duration of each pass.
    """

    def __init__(
        self, clock: task.Clock, slots: int = SLOT_COUNT, slowdown_factor: float = 1.0
    ):
        self._clock = clock
        self._slots = slots
        self._slowdown_factor = slowdown_factor
        self._queue: list[Job] = []
        self._running: list[Job] = []
        self._pending_pass: task.IDelayedCall | None = None

    @property
    def queued(self) -> int:
        """The number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def active(self) -> int:
        """The number of running requests."""
        return len(self._running)

    def submit(self, job: Job) -> bool:
        """Queue a request; return False if the queue is full.

        Requests get a slot by priority, then in order of arrival.
        """
        if len(self._queue) >= MAX_QUEUE_LENGTH and len(self._running) >= self._slots:
            return False
        job.unread_tokens = job.prompt_tokens
        self._queue.append(job)
        self._queue.sort(key=lambda queued: queued.priority)
        if self._pending_pass is None:
            self._start_pass()
        return True

    def cancel(self, job: Job) -> None:
        """Remove a request whose caller disconnected."""
        for jobs in (self._queue, self._running):
            if job in jobs:
                jobs.remove(job)

    def cancel_all(self) -> None:
        """Remove all requests, as the engine ends."""
        self._queue.clear()
        self._running.clear()

    def holds(self, job: Job) -> bool:
        """Return whether a request waits or runs at the engine."""
        return job in self._queue or job in self._running

    def stand_still(self, duration_s: float) -> None:
        """End the present pass later by a time."""
        if self._pending_pass is not None:
            self._pending_pass.delay(duration_s)

    def _start_pass(self) -> None:
        while self._queue and len(self._running) < self._slots:
            self._running.append(self._queue.pop(0))
        if not self._running:
            self._pending_pass = None
            return
        read_tokens = self._prefill()
        decoding_jobs = [job for job in self._running if job.unread_tokens == 0]
        context_tokens = sum(
            job.prompt_tokens + job.generated_tokens for job in decoding_jobs
        )
        step_s = (
            DECODE_STEP_S
            + STEP_PER_REQUEST_S * len(decoding_jobs)
            + STEP_PER_CONTEXT_TOKEN_S * context_tokens
        )
        read_s = read_tokens / PREFILL_TOKENS_PER_S
        pass_s = read_s + step_s * TOKENS_PER_EVENT * bool(decoding_jobs)
        self._pending_pass = self._clock.callLater(
            pass_s * self._slowdown_factor, self._end_pass, decoding_jobs
        )
        for job in decoding_jobs:
            if job.generated_tokens == 0:
                job.on_decode((read_s + step_s) * self._slowdown_factor)

    def _prefill(self) -> int:
        """Read prompts in order of admission and return the number of tokens read."""
        remaining = MAX_PREFILL_TOKENS_PER_PASS
        for job in self._running:
            part = min(job.unread_tokens, remaining)
            job.unread_tokens -= part
            remaining -= part
        return MAX_PREFILL_TOKENS_PER_PASS - remaining

    def _end_pass(self, decoding_jobs: list[Job]) -> None:
        for job in decoding_jobs:
            if job not in self._running:
                continue
            job.generated_tokens += TOKENS_PER_EVENT
            job.on_event()
            if job.generated_tokens >= job.answer_tokens:
                self._running.remove(job)
                job.on_end()
        self._start_pass()
