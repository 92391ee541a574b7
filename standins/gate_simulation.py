"""Simulates one gate and its engine in virtual time under an offered load.

The engine generates tokens for all running requests concurrently. Up to
``SATURATION_BATCH`` requests, another one does not slow down the others. Beyond that
all requests slow down, so that more concurrency only increases latencies.
"""

import collections
import dataclasses
import random

from standins import gate_harness
from toucanspread.core import data, effects, events
from toucanspread.core.gate import dispatch_events

STEP_S = 0.01
TICK_STEPS = 10
TOKEN_S = 0.02
SATURATION_BATCH = 16
MIN_TOKENS = 20
MAX_TOKENS = 100
TOKENS_PER_S = SATURATION_BATCH / TOKEN_S
CAPACITY_PER_S = TOKENS_PER_S / ((MIN_TOKENS + MAX_TOKENS) / 2)


@dataclasses.dataclass
class RequestSource:
    """The requests of a team.

    :param load_ratio: offered load as a ratio of the capacity of the engine.
    :param budget_s: time budget of each request.
    """

    team: str
    load_ratio: float
    budget_s: float = 5.0
    priority: int = 1


@dataclasses.dataclass
class TeamTotals:
    """Counts of a team's requests by outcome.

    :param done: requests that were answered completely and on time.
    :param max_latency_s: longest time until such an answer.
    """

    offered: int = 0
    done: int = 0
    refused: int = 0
    unknown: int = 0
    max_latency_s: float = 0.0

    def get_done_ratio(self) -> float:
        """Return the part of the requests that were answered completely and on time."""
        return self.done / max(1, self.offered)


@dataclasses.dataclass
class Job:
    """A request that runs on the engine."""

    start: dispatch_events.StartRun
    tokens: int
    started_s: float
    produced: float = 0.0


class GateSimulation:
    """Sends requests of several sources to one gate.

    :param slow_at_s: time from which tokens take ``slow_factor`` times as long.
    :param drain_at_s: time at which the process is shut down.
    """

    def __init__(
        self,
        harness: gate_harness.GateHarness,
        sources: list[RequestSource],
        seed: int,
        slow_at_s: float = float("inf"),
        slow_factor: float = 1.0,
        drain_at_s: float = float("inf"),
    ):
        self.harness = harness
        self.totals: dict[str, TeamTotals] = collections.defaultdict(TeamTotals)
        self.max_running = 0
        self.max_queued = 0
        self._sources = sources
        self._random = random.Random(seed)
        self._jobs: dict[data.AttemptKey, Job] = {}
        self._sent: dict[data.RequestId, tuple[RequestSource, float]] = {}
        self._next_s = [self._draw_interval_s(source) for source in sources]
        self._slow_at_s = slow_at_s
        self._slow_factor = slow_factor
        self._drain_at_s = drain_at_s
        self._count = 0
        self.exited_s: float | None = None
        self.refusal_counts: collections.Counter[str] = collections.Counter()

    def run(self, duration_s: float) -> dict[str, TeamTotals]:
        """Send requests for a time, wait until they end, and return the totals."""
        steps = round(duration_s / STEP_S)
        for step in range(steps):
            self._offer(step * STEP_S)
            self._advance(step)
        step = steps
        while self._sent and step < steps + 10_000:
            self._advance(step)
            step += 1
        return self.totals

    def _draw_interval_s(self, source: RequestSource) -> float:
        return self._random.expovariate(source.load_ratio * CAPACITY_PER_S)

    def _offer(self, now_s: float) -> None:
        for number, source in enumerate(self._sources):
            while self._next_s[number] <= now_s:
                self._next_s[number] += self._draw_interval_s(source)
                self._send(source, now_s)

    def _send(self, source: RequestSource, now_s: float) -> None:
        self._count += 1
        request_id = data.RequestId(f"r{self._count}")
        self._sent[request_id] = (source, now_s)
        self.totals[source.team].offered += 1
        self._apply_effects(
            self.harness.dispatch(
                request_id,
                stream=self._count,
                budget_s=source.budget_s,
                team=source.team,
                priority=source.priority,
            )
        )

    def _advance(self, step: int) -> None:
        now_s = self.harness.now_s = step * STEP_S
        if now_s >= self._drain_at_s:
            self._drain_at_s = float("inf")
            self._apply_effects(self.harness.step(events.ShutdownRequested()))
            self._apply_effects(
                self.harness.step(events.DrainStarted(data.Reason.LEAVING))
            )
        if step % TICK_STEPS == 0:
            self._apply_effects(self.harness.step(events.Tick()))
        batch = len(self._jobs)
        self.max_running = max(self.max_running, batch)
        self.max_queued = max(self.max_queued, len(self.harness.node.admission.queue))
        if not batch:
            return
        token_s = TOKEN_S * max(1.0, batch / SATURATION_BATCH)
        if now_s >= self._slow_at_s:
            token_s *= self._slow_factor
        for key, job in tuple(self._jobs.items()):
            job.produced += STEP_S / token_s
            is_late = now_s >= job.started_s + job.start.budget_s
            if job.produced < job.tokens and not is_late:
                continue
            del self._jobs[key]
            self._end_job(job, now_s, ok=not is_late)

    def _end_job(self, job: Job, now_s: float, ok: bool) -> None:
        reason = data.Reason.NONE if ok else data.Reason.DEADLINE
        self._apply_effects(
            self.harness.end(
                job.start.request_id,
                ok=ok,
                service_time_s=now_s - job.started_s,
                reason=reason,
                units=job.produced,
            )
        )

    def _apply_effects(self, outputs: list) -> None:
        for effect in outputs:
            if isinstance(effect, dispatch_events.StartRun):
                tokens = self._random.randint(MIN_TOKENS, MAX_TOKENS)
                job = Job(effect, tokens, self.harness.now_s)
                self._jobs[(effect.request_id, effect.attempt)] = job
            elif isinstance(
                effect, dispatch_events.RefuseDispatch | dispatch_events.EndDispatch
            ):
                self._record_outcome(effect.end)
            elif isinstance(effect, effects.Exit):
                self.exited_s = self.harness.now_s

    def _record_outcome(self, end: data.AnswerEnd) -> None:
        source, sent_s = self._sent.pop(end.request_id)
        totals = self.totals[source.team]
        if end.outcome is data.Outcome.DONE:
            totals.done += 1
            totals.max_latency_s = max(
                totals.max_latency_s, self.harness.now_s - sent_s
            )
        elif end.outcome is data.Outcome.NOT_RUN:
            totals.refused += 1
            self.refusal_counts[end.reason.value] += 1
        else:
            totals.unknown += 1
