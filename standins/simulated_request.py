"""A caller's request in a simulation of a load, from its start to its outcome.

The entry that has it decides with the product's own code.
"""

import abc
import dataclasses
import random
from typing import NamedTuple

from standins import (
    caller_check,
    crash_check,
    engine_model,
    leave_check,
    load_profiles,
    simulated_cluster,
    simulated_dispatch,
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
    is_refused: bool = False
    team: str = ""


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

    def of_kind(self, kind: str) -> "CallerTotals":
        """Return the counts of one kind that ended, without those of ``first_s``."""
        ends = [end for end in self.ends if end.kind == kind]
        on_time = sum(end.is_on_time for end in ends)
        served = sum(end.is_served for end in ends)
        refused = sum(end.is_refused for end in ends)
        abandoned = len(ends) - served - refused
        return CallerTotals(
            len(ends), on_time, served - on_time, refused, abandoned, ends=ends
        )


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


class SimulatedRequest(
    request_queue.QueueItem,
    simulated_cluster.EntryClient,
    simulated_dispatch.DispatchOwner,
):
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
        self.team = prompt.key
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
        self._had_long_gap = False
        self._dispatches: dict[int, simulated_dispatch.SimulatedDispatch] = {}
        self._fingerprint = prompt.repeated_request or entry_data.PromptPartId(
            f"request-{simulation.draw_id()}"
        )
        self._caller_timeout = None
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
        queue.rank_shares.record_arrival(self._state.rank, now_s)
        context = self.make_decision_context()
        rank = self._state.rank if context.priorities is not None else None
        queued_prefill_s = queue.sum_prefill_s(self.queue_key, rank)
        self.carry_out(self._state.start(context, queued_prefill_s))

    def withdraw_if_outdated(self) -> None:
        """Withdraw the request if its engine could begin it on weights too old."""
        for number in self._state.running.live_numbers:
            context = self.make_decision_context()
            if self._state.must_be_withdrawn(context, True, number):
                failure = decisions.DispatchFailure.WITHDRAWN
                self._fail_dispatch(self._dispatches[number], failure)

    def on_entry_lost(self) -> None:
        """Handle the loss of the caller's connection to the entry."""
        self.carry_out(self._state.on_caller_disconnected(self.make_decision_context()))
        self._schedule_retry(0.0)

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
            self.kind.priority,
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
                    self._dispatches.pop(effect.number).cancel()
                case decisions.SendToEngine():
                    if effect.number == 1:
                        queue = self._entry.queue
                        queue.shares.record_begin(self._state.timing)
                        queue.rank_shares.record_begin(self._state.rank)
                        queue.team_shares.record_begin(
                            self.team,
                            self.prompt_tokens,
                            self._simulation.clock.seconds(),
                        )
                    self._send(effect)
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

    def _send(self, effect: decisions.SendToEngine) -> None:
        engine = self._simulation.engines_by_id[effect.engine_id]
        sent = entry_data.PromptSent(
            engine.engine_id, simulated_cluster.SERVICE.name, self.prompt_tokens
        )
        self._simulation.broadcast(
            self._entry.zone, "apply_prompt", sent, self._entry, only_own_zone=True
        )
        dispatch = simulated_dispatch.SimulatedDispatch(
            self._simulation, self, engine, self._entry, self._state.arrived_s, effect
        )
        self._dispatches[effect.number] = dispatch
        self._simulation.leave_check.record_dispatch(
            self._simulation.clock.seconds(), engine.engine_id
        )
        tokens = self.prompt_tokens + self._generated_tokens
        dispatch.start(
            simulated_sidecar.REQUEST_HEAD_BYTES
            + tokens * simulated_sidecar.BYTES_PER_TOKEN
        )

    # Events of a dispatch

    def make_job(
        self, dispatch: simulated_dispatch.SimulatedDispatch
    ) -> engine_model.Job:
        """Return the rest of the request as a job."""
        return engine_model.Job(
            self.prompt_tokens + self._generated_tokens,
            self.answer_tokens - self._generated_tokens,
            _do_nothing,
            _do_nothing,
            _do_nothing,
            dispatch.priority,
        )

    def on_engine_head(
        self,
        dispatch: simulated_dispatch.SimulatedDispatch,
        statement: engine_statement.EngineStatement,
    ) -> None:
        """Handle what the engine says of itself in an answer."""
        context = self.make_decision_context()
        self.carry_out(self._state.on_engine_head(context, statement, dispatch.number))

    def on_event(
        self, dispatch: simulated_dispatch.SimulatedDispatch, is_first: bool
    ) -> None:
        """Handle an event of the stream."""
        now_s = self._simulation.clock.seconds()
        context = self.make_decision_context()
        if is_first:
            self._state.on_begun(now_s, dispatch.number)
        self.carry_out(self._state.choose_dispatch(context, dispatch.number))
        if is_first:
            self._state.on_stream_opened()
        if self._first_s is None:
            self._record_first_attempt(has_begun=True)
            self._first_s = now_s - self.started_s
        elif now_s - self._last_event_s > MAX_EVENT_GAP_S:
            self._had_long_gap = True
        self._last_event_s = now_s
        self._caller_timeout.reset(CALLER_TIMEOUT_S)
        self._generated_tokens += engine_model.TOKENS_PER_EVENT
        event_id = str(self._generated_tokens // engine_model.TOKENS_PER_EVENT)
        if self._state.on_events(now_s, event_id):
            self._state.on_survived(context)

    def on_end(self, dispatch: simulated_dispatch.SimulatedDispatch) -> None:
        """Handle the end of the stream."""
        self._entry.in_progress.pop(self, None)
        self._caller_timeout.cancel()
        context = self.make_decision_context()
        self.carry_out(self._state.on_answer(context, 200, dispatch.number))
        outcome = self._outcome
        outcome.first_s.append(self._first_s)
        is_on_time = self._first_s <= self.kind.target_s and not self._had_long_gap
        if is_on_time:
            outcome.on_time += 1
        else:
            outcome.late += 1
        self._record_end(is_served=True, is_on_time=is_on_time)

    def on_failure(
        self,
        dispatch: simulated_dispatch.SimulatedDispatch,
        failure: decisions.DispatchFailure,
    ) -> None:
        """Handle a failure of the dispatch."""
        runs = self._state.possible_runs
        self._fail_dispatch(dispatch, failure)
        if failure is not decisions.DispatchFailure.BROKEN:
            return
        self._simulation.caller_check.record_break(
            caller_check.Break(
                self._simulation.clock.seconds(),
                self.prompt,
                self._first_s is not None,
                runs,
                self._cause,
            )
        )

    def _fail_dispatch(
        self,
        dispatch: simulated_dispatch.SimulatedDispatch,
        failure: decisions.DispatchFailure,
    ) -> None:
        context = self.make_decision_context()
        self.carry_out(self._state.on_failure(context, failure, dispatch.number))

    def _abandon(self) -> None:
        """Abandon the request after a long time without an event."""
        self._entry.queue.remove(self)
        live = [self._dispatches[number] for number in self._state.running.live_numbers]
        begun = [dispatch for dispatch in live if dispatch.job is not None]
        if begun:
            self._simulation.clock.callLater(
                leave_check.MAX_WORK_S, self._check_work, begun
            )
        self._entry.in_progress.pop(self, None)
        self.carry_out(self._state.on_caller_disconnected(self.make_decision_context()))
        self._record_first_attempt(has_begun=False)
        self._outcome.abandoned += 1
        self._record_end(is_served=False)

    def _check_work(
        self, dispatches: list[simulated_dispatch.SimulatedDispatch]
    ) -> None:
        held = [each.engine.model.holds(each.job) for each in dispatches]
        self._simulation.leave_check.record_left(any(held))

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

    def _record_end(
        self, is_served: bool, is_on_time: bool = False, is_refused: bool = False
    ) -> None:
        self._outcome.ends.append(
            RequestEnd(
                self.kind.name,
                self.prompt_tokens,
                is_served,
                is_on_time,
                is_refused,
                self.team,
            )
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
            self._record_end(is_served=False, is_refused=True)
            return
        self._can_retry = False
        self._simulation.clock.callLater(max(retry_after_s, 0.01), self._retry)

    def _retry(self) -> None:
        self._entry = self._simulation.choose_entry()
        self._dispatches = {}
        self._state = self._make_state()
        self._cause = None
        self.start()


def _do_nothing() -> None:
    return
