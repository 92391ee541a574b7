"""Continuous batching, prefix cache and faults of the stand-in engine."""

import collections
import dataclasses
import heapq
import itertools
import zlib
from collections.abc import Callable

from standins import engine_text

PREFILL_SPEED_FACTOR = 20  # prompt tokens read in the time of one generated token
CHARACTERS_PER_TOKEN = 4
PREFIX_BLOCK_CHARACTERS = 64
MAX_PREFIX_BLOCKS = 256
CACHE_EVENT_DELAY_S = 1.0
CACHE_EVENT_LOSS_PERIOD = 7  # every seventh cache event is not published
LOAD_DELAY_S = 1.0
MAX_STEP_S = 1.0


@dataclasses.dataclass
class Faults:
    """Faults of the engine, set by tests.

    :param slow_factor: divisor of the token rate.
    :param break_after_tokens: number of tokens after which streams break; 0 for none.
    :param breaks: number of the next jobs whose streams break.
    :param late_s: delay before each job is submitted.
    :param crossed: number of the next answers that carry the id of another request.
    """

    frozen: bool = False
    slow_factor: float = 1.0
    break_after_tokens: int = 0
    breaks: int = 0
    late_s: float = 0.0
    crossed: int = 0


@dataclasses.dataclass
class Job:
    """A request in the batch or waiting for a slot.

    :param emit: called with (index, text) for each token; with (-1, "") at the end,
        and with (-2, "") when the stream breaks.
    """

    request_id: str
    prompt: str
    max_tokens: int
    priority: int
    version: str
    digest: str
    emit: Callable[[int, str], None]
    produced: int = 0
    prefill_tokens: float = 0.0
    break_at_token: int = 0
    cancelled: bool = False


END_INDEX = -1
BROKEN_INDEX = -2


class Batch:
    """Runs jobs in slots that share one token rate.

    :param tokens_per_s: token rate of the whole engine.
    :param slots: maximum number of running jobs.
    """

    def __init__(self, tokens_per_s: float, slots: int):
        self.tokens_per_s = tokens_per_s
        self.slots = slots
        self.faults = Faults()
        self.running: list[Job] = []
        self.served = 0
        self.cancelled = 0
        self.prefix_hits = 0
        self.cache_events: list[tuple[float, int, str, str]] = []
        self._waiting: list[tuple[int, int, Job]] = []
        self._submission_numbers = itertools.count()
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._event_count = 0
        self._load_history: collections.deque = collections.deque()
        self._token_budget = 0.0
        self._now_s = 0.0

    def submit(self, job: Job) -> None:
        """Queue a job; jobs with a lower priority number get a slot first."""
        if self.faults.breaks > 0:
            self.faults.breaks -= 1
            job.break_at_token = self.faults.break_after_tokens
        heapq.heappush(
            self._waiting, (job.priority, next(self._submission_numbers), job)
        )

    def cancel(self, request_id: str) -> bool:
        """Cancel a job and return whether it was found."""
        found = False
        for job in [*self.running, *(item[2] for item in self._waiting)]:
            if job.request_id != request_id or job.cancelled:
                continue
            job.cancelled = True
            self.cancelled += 1
            found = True
        return found

    def count_waiting(self) -> int:
        """Return the number of jobs that wait for a slot."""
        return sum(not item[2].cancelled for item in self._waiting)

    def step(self, now_s: float) -> None:
        """Advance the batch to ``now_s``."""
        passed_s = min(MAX_STEP_S, now_s - self._now_s)
        self._now_s = now_s
        if self.faults.frozen:
            return
        self._record_load()
        self.running = [job for job in self.running if not job.cancelled]
        self._start_waiting_jobs()
        if not self.running:
            self._token_budget = 0.0
            return
        self._token_budget += passed_s * self.tokens_per_s / self.faults.slow_factor
        self._spend_token_budget()

    def get_delayed_load(self) -> tuple[int, int]:
        """Return the numbers of running and waiting jobs ``LOAD_DELAY_S`` ago."""
        load = (0, 0)
        for at_s, running, waiting in self._load_history:
            if at_s > self._now_s - LOAD_DELAY_S:
                break
            load = (running, waiting)
        return load

    def get_delayed_cache_events(self, after: int) -> list[dict]:
        """Return the cache events older than ``CACHE_EVENT_DELAY_S``."""
        due_s = self._now_s - CACHE_EVENT_DELAY_S
        return [
            {"sequence": sequence, "kind": kind, "block": block}
            for at_s, sequence, kind, block in self.cache_events
            if sequence > after and at_s <= due_s
        ]

    def export_blocks(self) -> list[str]:
        """Return the blocks of the prefix cache, least recently used first."""
        return list(self._blocks)

    def import_blocks(self, blocks: list[str]) -> None:
        """Add blocks that another engine exported."""
        for block in blocks:
            self._store_block(block)

    def _start_waiting_jobs(self) -> None:
        while self._waiting and len(self.running) < self.slots:
            _, _, job = heapq.heappop(self._waiting)
            if job.cancelled:
                continue
            job.prefill_tokens = self._count_prefill_tokens(job) / PREFILL_SPEED_FACTOR
            self.running.append(job)

    def _count_prefill_tokens(self, job: Job) -> float:
        missing_characters = 0
        for end in range(0, len(job.prompt), PREFIX_BLOCK_CHARACTERS):
            text = job.prompt[: end + PREFIX_BLOCK_CHARACTERS]
            block = f"{job.version}|{zlib.crc32(text.encode()):08x}"
            if block in self._blocks:
                self.prefix_hits += 1
                self._blocks.move_to_end(block)
                continue
            missing_characters += len(text) - end
            self._store_block(block)
        return missing_characters / CHARACTERS_PER_TOKEN

    def _store_block(self, block: str) -> None:
        self._blocks[block] = None
        self._publish("stored", block)
        if len(self._blocks) > MAX_PREFIX_BLOCKS:
            dropped, _ = self._blocks.popitem(last=False)
            self._publish("evicted", dropped)

    def _publish(self, kind: str, block: str) -> None:
        self._event_count += 1
        if self._event_count % CACHE_EVENT_LOSS_PERIOD == 0:
            return
        self.cache_events.append((self._now_s, self._event_count, kind, block))
        del self.cache_events[: -4 * MAX_PREFIX_BLOCKS]

    def _record_load(self) -> None:
        self._load_history.append(
            (self._now_s, len(self.running), self.count_waiting())
        )
        while (
            len(self._load_history) > 2
            and self._load_history[1][0] <= self._now_s - LOAD_DELAY_S
        ):
            self._load_history.popleft()

    def _spend_token_budget(self) -> None:
        while self._token_budget >= 1.0 and self.running:
            for job in tuple(self.running):
                if self._token_budget < 1.0:
                    break
                self._token_budget -= 1.0
                self._advance_job(job)
            # Fill the slots of completed jobs at once.
            self._start_waiting_jobs()
        # Rotate the jobs, so that the next round starts with another one.
        if self.running:
            self.running.append(self.running.pop(0))

    def _advance_job(self, job: Job) -> None:
        if job.prefill_tokens > 0:
            job.prefill_tokens -= 1.0
            return
        if job.break_at_token and job.produced >= job.break_at_token:
            self.running.remove(job)
            job.emit(BROKEN_INDEX, "")
            return
        if job.produced < job.max_tokens:
            text = engine_text.generate_token(
                job.version, job.digest, job.prompt, job.produced
            )
            job.emit(job.produced, text)
            job.produced += 1
        if job.produced >= job.max_tokens:
            self.running.remove(job)
            self.served += 1
            job.emit(END_INDEX, "")
