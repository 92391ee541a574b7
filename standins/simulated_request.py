"""A caller's request in a simulation of a load, from its start to its outcome.

The entry that has it decides with the product's own code.
"""

import abc
import dataclasses
import functools
import random
from collections.abc import Callable
from typing import NamedTuple

from standins import (
    caller_check,
    crash_check,
    engine_model,
    leave_check,
    load_profiles,
    simulated_cluster,
    simulated_prompts,
    simulated_sidecar,
)
from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import (
    decision_context,
    decisions,
    engine_statement,
    forwarding,
    request_timing,
)
from toucanspread.ops.forwarding import request_queue

CALLER_TIMEOUT_S = 3.2  # callers abandon a request without an event for so long
MAX_EVENT_GAP_S = 0.4  # a longer gap between events makes an answer late
REQUEST_TIMEOUT_S = 6.0
MEAN_ANSWER_TOKENS = 94
MAX_ANSWER_TOKENS = 480


class RequestEnd(NamedTuple):
    """How a request ended, of which size.

    :param kind: name of its kind.
    """

    kind: str
    prompt_tokens: int
    is_served: bool
    is_on_time: bool = False


@dataclasses.dataclass
class CallerTotals:
    """Counts of requests by outcome.

    :param request_count: number of all requests.
    :param abandoned: requests that callers abandoned without an event.
    :param first_s: times until the first event, of requests that got one.
    :param ends: the ends of all requests, in their order.
    """

    request_count: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    abandoned: int = 0
    first_s: list[float] = dataclasses.field(default_factory=list)
    ends: list[RequestEnd] = dataclasses.field(default_factory=list)

    @property
    def on_time_ratio(self) -> float:
        """The part of all requests that were answered on time."""
        return self.on_time / self.request_count

    @property
    def served_ratio(self) -> float:
        """The part of all requests that were answered, on time or late."""
        return (self.on_time + self.late) / self.request_count


@dataclasses.dataclass(eq=False)
class _Dispatch:
    """One dispatch of a request to an engine.

    :ivar entry: the entry that sent it.
    :ivar arrived_s: when the entry got the request.
    :ivar expected_version: the version that the engine must have; 0 for any.
    :ivar job: the job that the engine still has after the withdrawal; None before it.
    """

    engine: simulated_cluster.SimulatedEngine
    entry: simulated_cluster.SimulatedEntry
    arrived_s: float
    expected_version: int = 0
    is_withdrawn: bool = False
    job: engine_model.Job | None = None

    def cancel(self) -> None:
        """Drop the job, as the engine learns of the withdrawal."""
        if self.job is not None:
            self.engine.model.cancel(self.job)


class AbstractCallers(simulated_cluster.AbstractCluster):
    """What a request needs of the simulation beside entries and engines.

    :ivar caller_check: the check of what callers get.
    :ivar leave_check: the check of work for callers that have left.
    :ivar outcome: the counts to which a sound request adds its outcome.
    :ivar crashing_outcome: the same for requests with a crashing part.
    :ivar engines_by_id: the engines by their ids.
    """

    random_source: random.Random
    caller_check: caller_check.CallerCheck
    leave_check: leave_check.LeaveCheck
    outcome: CallerTotals
    crashing_outcome: CallerTotals
    engines_by_id: dict[str, simulated_cluster.SimulatedEngine]

    @abc.abstractmethod
    def choose_entry(self) -> simulated_cluster.SimulatedEntry:
        """Return the entry that a caller uses."""


class SimulatedRequest(request_queue.QueueItem, simulated_cluster.EngineClient):
    """A caller's request; callers retry a refused request once."""

    service = simulated_cluster.SERVICE

    def __init__(
        self,
        simulation: "AbstractCallers",
        entry: simulated_cluster.SimulatedEntry,
        kind: load_profiles.RequestKind,
        prompt: simulated_prompts.Prompt,
        can_retry: bool,
    ):
        random_source = simulation.random_source
        tokens = int(random_source.expovariate(1 / kind.mean_prompt_tokens)) + 40
        answer = int(random_source.expovariate(1 / MEAN_ANSWER_TOKENS)) + 1
        self.kind = kind
        self.prompt = prompt
        self.prompt_tokens = tokens
        self.answer_tokens = min(answer, MAX_ANSWER_TOKENS)
        self.started_s = simulation.clock.seconds()
        self._simulation = simulation
        self._entry = entry
        self._can_retry = can_retry
        self._is_first_attempt = True
        self._was_in_touch = False
        self._cause: decisions.FailureCause | None = None
        self._first_s: float | None = None
        self._last_event_s = 0.0
        self._generated_tokens = 0
        self._tokens_before_dispatch = 0
        self._had_long_gap = False
        self._priority = 0
        self._dispatch: _Dispatch | None = None
        self._job: engine_model.Job | None = None
        self._engine: simulated_cluster.SimulatedEngine | None = None
        self._fingerprint = prompt.repeated_request or entry_data.PromptPartId(
            f"request-{simulation.draw_id()}"
        )
        self._caller_timeout = None
        self._silence_timer = None
        self._state = self._make_state()

    @property
    def state(self) -> forwarding.RequestState:
        """The state of the decisions about the request."""
        return self._state

    def make_decision_context(self) -> decision_context.Context:
        """Return the context of decisions."""
        return self._entry.make_decision_context()

    @property
    def _outcome(self) -> CallerTotals:
        if self.prompt.crashing_part is not None:
            return self._simulation.crashing_outcome
        return self._simulation.outcome

    def start(self) -> None:
        """Send the request to the entry."""
        now_s = self._simulation.clock.seconds()
        check = self._simulation.crash_check
        self._was_in_touch = check.contact.is_in_touch(now_s, self._entry)
        if self.prompt.crashing_part is not None:
            check.record_request(now_s, self.kind.name, self.prompt)
        self._caller_timeout = self._simulation.clock.callLater(
            CALLER_TIMEOUT_S, self._abandon
        )
        self._entry.in_progress[self] = None
        queue = self._entry.queue
        queue.shares.record_arrival(self._state.timing)
        queued_prefill_s = queue.sum_prefill_s(simulated_cluster.SERVICE.name)
        self.carry_out(
            self._state.start(self.make_decision_context(), queued_prefill_s)
        )

    def on_connection_lost(self) -> None:
        """Handle the loss of the connection to the engine."""
        self._job = None
        runs = self._state.possible_runs
        self._fail_dispatch(decisions.DispatchFailure.BROKEN)
        self._simulation.caller_check.record_break(
            caller_check.Break(
                self._simulation.clock.seconds(),
                self.prompt,
                self._first_s is not None,
                runs,
                self._cause,
            )
        )

    def withdraw_if_outdated(self) -> None:
        """Withdraw the request if its engine could begin it on weights too old."""
        context = self.make_decision_context()
        if self._state.must_be_withdrawn(context, was_sent=True):
            self._fail_dispatch(decisions.DispatchFailure.WITHDRAWN)

    def _cancel_job(self) -> None:
        """Withdraw the request from its engine, which learns of it after a delay."""
        self._entry.in_progress.pop(self, None)
        self._stop_silence_timer()
        dispatch, self._dispatch = self._dispatch, None
        job, self._job = self._job, None
        if dispatch is None:
            return
        dispatch.is_withdrawn = True
        if job is not None:
            self._engine.jobs.pop(job, None)
            self._disregard(dispatch, job)
        self._call_at_engine(
            dispatch.engine, simulated_sidecar.CLOSE_BYTES, dispatch.cancel
        )

    def _disregard(self, dispatch: "_Dispatch", job: engine_model.Job) -> None:
        """Only check the begin of a job that the entry has withdrawn."""
        dispatch.job = job
        job.on_event = functools.partial(self._on_withdrawn_event, dispatch.engine, job)
        job.on_decode = functools.partial(self._crash_at_begin, dispatch.engine)
        job.on_end = _do_nothing

    def _on_withdrawn_event(
        self, engine: simulated_cluster.SimulatedEngine, job: engine_model.Job
    ) -> None:
        """Check a begin of which the engine has not learned that it is not wanted."""
        if job.generated_tokens > engine_model.TOKENS_PER_EVENT:
            return
        now_s = self._simulation.clock.seconds()
        self._simulation.version_check.record_begin(now_s, engine.version)

    def _call_at_engine(
        self,
        engine: simulated_cluster.SimulatedEngine,
        size_bytes: int,
        call: Callable,
        *arguments,
    ) -> None:
        """Call a function once bytes that are sent now have arrived at an engine."""
        if engine.sidecar is not None:
            arguments = (size_bytes, engine.receive, call, *arguments)
            call = engine.sidecar.link.send
        else:
            arguments = (call, *arguments)
            call = engine.receive
        self._simulation.clock.callLater(
            engine.sending_delay_s,
            self._simulation.call_after_delay,
            self._entry.zone,
            engine.zone,
            call,
            *arguments,
        )

    def on_entry_lost(self) -> None:
        """Handle the loss of the caller's connection to the entry."""
        self._state.on_caller_disconnected(self.make_decision_context())
        self._cancel_job()
        self._schedule_retry(0.0)

    def _fail_dispatch(self, failure: decisions.DispatchFailure) -> None:
        self._stop_silence_timer()
        self.carry_out(self._state.on_failure(self.make_decision_context(), failure))

    def on_quarantine(self) -> None:
        """End the request if it waits at an engine and is quarantined."""
        self.carry_out(self._state.on_quarantine(self.make_decision_context()))

    def _make_state(self) -> forwarding.RequestState:
        route = entry_data.Route(
            self.kind.name,
            "h",
            "/",
            entry_data.RequestKind.STREAMING,
            REQUEST_TIMEOUT_S,
            self.kind.target_s,
            1,
            (entry_data.Share(simulated_cluster.SERVICE.name, 1.0),),
            2,
            resumable=True,
        )
        now_s = self._simulation.clock.seconds()
        call = entry_data.Call(
            f"{self._simulation.draw_id()}",
            "h",
            "/",
            self.prompt.key,
            budget_s=REQUEST_TIMEOUT_S - (now_s - self.started_s),
            prompt_tokens=self.prompt_tokens,
            output_tokens=MAX_ANSWER_TOKENS,
            likely_tokens=self.answer_tokens,
            prompt_parts=self.prompt.parts,
            fingerprint=self._fingerprint,
        )
        return forwarding.RequestState(route, simulated_cluster.SERVICE, call, now_s)

    def carry_out(self, outputs: list[data.Effect]) -> None:
        """Execute the decisions."""
        for effect in outputs:
            match effect:
                case decisions.Enqueue():
                    self._entry.queue.add(self)
                case decisions.Cancel():
                    self._cancel_job()
                case decisions.SendToEngine():
                    if effect.number == 1:
                        self._entry.queue.shares.record_begin(self._state.timing)
                    self._priority = effect.priority
                    engine = self._simulation.engines_by_id[effect.engine_id]
                    self._send(engine, effect.expected_version)
                case decisions.NotifyEntries(notice=notice):
                    self._simulation.broadcast(
                        self._entry.zone, "apply_limit", notice, self._entry
                    )
                case decisions.Reject(cause=cause, retry_after_s=retry_after_s):
                    self._record_refusal(cause)
                    self._schedule_retry(retry_after_s)
                case decisions.Fail(cause=cause) | decisions.BreakStream(cause=cause):
                    self._record_refusal(cause)
                    self._schedule_retry(0.0)

    def _send(
        self, engine: simulated_cluster.SimulatedEngine, expected_version: int
    ) -> None:
        sent = entry_data.PromptSent(
            engine.engine_id, simulated_cluster.SERVICE.name, self.prompt_tokens
        )
        self._simulation.broadcast(
            self._entry.zone, "apply_prompt", sent, self._entry, only_own_zone=True
        )
        self._engine = engine
        self._entry.in_progress[self] = None
        self._dispatch = _Dispatch(
            engine, self._entry, self._state.arrived_s, expected_version
        )
        self._simulation.leave_check.record_dispatch(
            self._simulation.clock.seconds(), engine.engine_id
        )
        self._start_silence_timer(self._state.timing.silence_timeout_s)
        tokens = self.prompt_tokens + self._generated_tokens
        self._call_at_engine(
            engine,
            simulated_sidecar.REQUEST_HEAD_BYTES
            + tokens * simulated_sidecar.BYTES_PER_TOKEN,
            self._submit_to_engine,
            self._dispatch,
            self._simulation.clock.seconds(),
        )

    def _submit_to_engine(self, dispatch: "_Dispatch", sent_s: float) -> None:
        engine = dispatch.engine
        now_s = self._simulation.clock.seconds()
        is_open = engine.is_running and not engine.is_loading
        is_open = is_open and engine.backoff_s is None
        if engine.is_running and not engine.is_crashed:
            engine.backoff.record_arrival(now_s, dispatch.entry)
            engine.leaving.record_arrival(dispatch.arrived_s, dispatch.entry)
        if dispatch.is_withdrawn:
            if is_open and not engine.is_crashed:
                job = self._make_job()
                self._disregard(dispatch, job)
                engine.model.submit(job)
            return
        if engine.is_crashed:
            self._fail_dispatch(decisions.DispatchFailure.NOT_CONNECTED)
            return
        if self.prompt.crashing_part is not None and engine.is_running:
            self._simulation.crash_check.record_arrival(
                sent_s, self._entry, self.prompt.crashing_part
            )
        engine.limit.record_arrival(now_s, self._entry)
        job = self._make_job()
        is_version_right = dispatch.expected_version in (0, engine.version)
        if not is_open or not is_version_right or not engine.model.submit(job):
            self._read_statement(engine, engine.backoff_s)
            self._fail_dispatch(decisions.DispatchFailure.REJECTED)
            return
        self._job = job
        self._tokens_before_dispatch = self._generated_tokens
        engine.jobs[job] = self

    def _start_silence_timer(self, timeout_s: float) -> None:
        self._stop_silence_timer()
        self._silence_timer = self._simulation.clock.callLater(
            timeout_s, self._on_silence
        )

    def _stop_silence_timer(self) -> None:
        if self._silence_timer is not None and self._silence_timer.active():
            self._silence_timer.cancel()

    def _on_silence(self) -> None:
        """Report the silence of the engine, and wait again if the request stays."""
        self._start_silence_timer(request_timing.SILENCE_RECHECK_S)
        timer = self._silence_timer
        silent = decisions.DispatchFailure.SILENT
        effects = self._state.on_failure(self.make_decision_context(), silent)
        if effects:
            timer.cancel()
        self.carry_out(effects)

    def _make_job(self) -> engine_model.Job:
        return engine_model.Job(
            self.prompt_tokens + self._generated_tokens,
            self.answer_tokens - self._generated_tokens,
            self._on_event,
            self._on_end,
            self._on_decode,
            self._priority,
        )

    def _read_statement(
        self,
        engine: simulated_cluster.SimulatedEngine,
        backoff_s: float | None = None,
    ) -> None:
        """Read what the engine says of itself in the head of an answer.

        :param backoff_s: the time that it names in a rejection.
        """
        now_s = self._simulation.clock.seconds()
        limit_per_s = engine.limit.record_answer(now_s, self._entry)
        engine.backoff.record_answer(now_s, self._entry, backoff_s)
        engine.leaving.record_answer(now_s, self._entry, engine.is_leaving)
        statement = engine_statement.EngineStatement(
            limit_per_s, backoff_s, engine.is_leaving
        )
        self.carry_out(
            self._state.on_engine_head(self.make_decision_context(), statement)
        )

    def _on_decode(self, first_token_in_s: float) -> None:
        """Handle the time at which the engine begins to write the answer."""
        self._crash_at_begin(self._engine, first_token_in_s)

    def _crash_at_begin(
        self, engine: simulated_cluster.SimulatedEngine, first_token_in_s: float
    ) -> None:
        if self.prompt.crashing_part is not None:
            engine.begin_answer(self.prompt.crashing_part, first_token_in_s)

    def _on_event(self) -> None:
        now_s = self._simulation.clock.seconds()
        if self._generated_tokens == self._tokens_before_dispatch:
            self._read_statement(self._engine)
            self._simulation.version_check.record_begin(now_s, self._engine.version)
            self._state.on_begun(now_s)
            self._state.on_stream_opened()
        if self._first_s is None:
            self._record_first_attempt(has_begun=True)
            self._first_s = now_s - self.started_s
        elif now_s - self._last_event_s > MAX_EVENT_GAP_S:
            self._had_long_gap = True
        self._last_event_s = now_s
        self._caller_timeout.reset(CALLER_TIMEOUT_S)
        self._start_silence_timer(request_timing.STREAM_GAP_TIMEOUT_S)
        self._generated_tokens += engine_model.TOKENS_PER_EVENT
        event_id = str(self._generated_tokens // engine_model.TOKENS_PER_EVENT)
        if self._state.on_events(now_s, event_id):
            self._state.on_survived(self.make_decision_context())

    def _on_end(self) -> None:
        self._engine.jobs.pop(self._job, None)
        self._entry.in_progress.pop(self, None)
        self._stop_silence_timer()
        self._caller_timeout.cancel()
        self._state.on_answer(self.make_decision_context(), 200)
        outcome = self._outcome
        outcome.first_s.append(self._first_s)
        is_on_time = self._first_s <= self.kind.target_s and not self._had_long_gap
        if is_on_time:
            outcome.on_time += 1
        else:
            outcome.late += 1
        self._record_end(is_served=True, is_on_time=is_on_time)

    def _abandon(self) -> None:
        """Abandon the request after a long time without an event."""
        self._entry.queue.remove(self)
        if self._job is not None:
            self._simulation.clock.callLater(
                leave_check.MAX_WORK_S, self._check_work, self._engine, self._job
            )
        self._state.on_caller_disconnected(self.make_decision_context())
        self._cancel_job()
        self._record_first_attempt(has_begun=False)
        self._outcome.abandoned += 1
        self._record_end(is_served=False)

    def _check_work(
        self, engine: simulated_cluster.SimulatedEngine, job: engine_model.Job
    ) -> None:
        self._simulation.leave_check.record_left(engine.model.holds(job))

    def _record_first_attempt(self, has_begun: bool) -> None:
        """Record whether a sound request began at the caller's first attempt."""
        is_first, self._is_first_attempt = self._is_first_attempt, False
        if not is_first or not self._was_in_touch:
            return
        self._simulation.caller_check.record_first_attempt(
            caller_check.FirstAttempt(
                self.started_s,
                self._simulation.clock.seconds() - self.started_s,
                self.prompt,
                has_begun,
            )
        )
        if self.prompt.crashing_part is None:
            self._simulation.crash_check.record_sound(
                crash_check.SoundRequest(
                    self.started_s, self.kind.name, self.prompt, has_begun
                )
            )

    def _record_end(self, is_served: bool, is_on_time: bool = False) -> None:
        self._outcome.ends.append(
            RequestEnd(self.kind.name, self.prompt_tokens, is_served, is_on_time)
        )

    def _record_refusal(self, cause: decisions.FailureCause) -> None:
        self._cause = cause
        self._simulation.caller_check.record_refusal(
            caller_check.Refusal(
                self._simulation.clock.seconds(),
                self.prompt,
                cause,
                self._state.possible_runs,
            )
        )

    def _schedule_retry(self, retry_after_s: float) -> None:
        self._entry.queue.remove(self)
        self._entry.in_progress.pop(self, None)
        self._record_first_attempt(has_begun=False)
        if self._caller_timeout.active():
            self._caller_timeout.cancel()
        if not self._can_retry or self._first_s is not None:
            self._outcome.refused += 1
            self._record_end(is_served=False)
            return
        self._can_retry = False
        self._simulation.clock.callLater(max(retry_after_s, 0.01), self._retry)

    def _retry(self) -> None:
        self._entry = self._simulation.choose_entry()
        self._state = self._make_state()
        self._cause = None
        self.start()


def _do_nothing() -> None:
    return
