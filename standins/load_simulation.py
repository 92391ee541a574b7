"""Simulates callers, entries and engines under a load and counts the outcomes.

Entries choose engines, queue and refuse requests with the product's own code; only the
network and the engines are simulated. Policies are compared here in virtual time and
with seeds, before they are measured on the users' bench.
"""

import dataclasses
import random
from collections.abc import Callable

from twisted.internet import task

from standins import engine_model, load_profiles
from standins import simulated_cluster as places
from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import decisions, forwarding
from toucanspread.ops import request_queue

CALLER_TIMEOUT_S = 3.2  # callers abandon a request without an event for so long
MEMBERSHIP_DELAY_S = 1.0  # until entries know of an added or removed one
MAX_EVENT_GAP_S = 0.4  # a longer gap between events makes an answer late
REQUEST_TIMEOUT_S = 6.0
MEAN_ANSWER_TOKENS = 94
MAX_ANSWER_TOKENS = 480


@dataclasses.dataclass
class CallerTotals:
    """Counts of requests by outcome.

    :param request_count: number of all requests.
    :param abandoned: requests that callers abandoned without an event.
    :param first_s: times until the first event, of requests that got one.
    """

    request_count: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    abandoned: int = 0
    first_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def on_time_ratio(self) -> float:
        """The part of all requests that were answered on time."""
        return self.on_time / self.request_count

    @property
    def served_ratio(self) -> float:
        """The part of all requests that were answered, on time or late."""
        return (self.on_time + self.late) / self.request_count


class SimulatedRequest(request_queue.QueueItem):
    """A caller's request; callers retry a refused request once."""

    service = places.SERVICE

    def __init__(
        self,
        simulation: "LoadSimulation",
        entry: places.SimulatedEntry,
        kind: load_profiles.RequestKind,
        can_retry: bool,
    ):
        random_source = simulation.random_source
        prompt = int(random_source.expovariate(1 / kind.mean_prompt_tokens)) + 40
        answer = int(random_source.expovariate(1 / MEAN_ANSWER_TOKENS)) + 1
        self.kind = kind
        self.prompt_tokens = prompt
        self.answer_tokens = min(answer, MAX_ANSWER_TOKENS)
        self.started_s = simulation.clock.seconds()
        self._simulation = simulation
        self._entry = entry
        self._can_retry = can_retry
        self._first_s: float | None = None
        self._last_event_s = 0.0
        self._generated_tokens = 0
        self._tokens_before_dispatch = 0
        self._had_long_gap = False
        self._priority = 0
        self._job: engine_model.Job | None = None
        self._engine: places.SimulatedEngine | None = None
        self._caller_timeout = None
        self._state = self._make_state()

    @property
    def state(self) -> forwarding.RequestState:
        """The state of the decisions about the request."""
        return self._state

    def make_decision_context(self) -> forwarding.DecisionContext:
        """Return the context of decisions."""
        return self._entry.make_decision_context()

    def start(self) -> None:
        """Send the request to the entry."""
        self._caller_timeout = self._simulation.clock.callLater(
            CALLER_TIMEOUT_S, self._abandon
        )
        queued_prefill_s = self._entry.queue.sum_prefill_s(places.SERVICE.name)
        self.carry_out(
            self._state.start(self.make_decision_context(), queued_prefill_s)
        )

    def on_connection_lost(self) -> None:
        """Handle the loss of the connection to the engine."""
        self._job = None
        failure = decisions.DispatchFailure.BROKEN
        self.carry_out(self._state.on_failure(self.make_decision_context(), failure))

    def _make_state(self) -> forwarding.RequestState:
        route = entry_data.Route(
            self.kind.name,
            "h",
            "/",
            entry_data.RequestKind.STREAMING,
            REQUEST_TIMEOUT_S,
            self.kind.target_s,
            1,
            (entry_data.Share(places.SERVICE.name, 1.0),),
            2,
            resumable=True,
        )
        now_s = self._simulation.clock.seconds()
        call = entry_data.Call(
            "id",
            "h",
            "/",
            None,
            budget_s=REQUEST_TIMEOUT_S - (now_s - self.started_s),
            prompt_tokens=self.prompt_tokens,
            output_tokens=MAX_ANSWER_TOKENS,
            likely_tokens=self.answer_tokens,
        )
        return forwarding.RequestState(route, places.SERVICE, call, now_s)

    def carry_out(self, outputs: list[data.Effect]) -> None:
        """Execute the decisions."""
        for effect in outputs:
            match effect:
                case decisions.Enqueue():
                    self._entry.queue.add(self)
                case decisions.SendToEngine(engine_id=engine_id, priority=priority):
                    self._priority = priority
                    self._send(self._simulation.engines_by_id[engine_id])
                case decisions.NotifyEntries(notice=notice):
                    self._simulation.broadcast(
                        self._entry.zone, "apply_limit", notice, self._entry
                    )
                case decisions.Reject(retry_after_s=retry_after_s):
                    self._schedule_retry(retry_after_s)
                case decisions.Fail() | decisions.BreakStream():
                    self._schedule_retry(0.0)

    def _send(self, engine: places.SimulatedEngine) -> None:
        sent = entry_data.PromptSent(
            engine.engine_id, places.SERVICE.name, self.prompt_tokens
        )
        self._simulation.broadcast(
            self._entry.zone, "apply_prompt", sent, self._entry, only_own_zone=True
        )
        self._engine = engine
        self._simulation.call_after_delay(
            self._entry.zone, engine.zone, self._submit_to_engine, engine
        )

    def _submit_to_engine(self, engine: places.SimulatedEngine) -> None:
        if self._state.is_finished:
            return
        now_s = self._simulation.clock.seconds()
        engine.limit.record_arrival(now_s, self._entry)
        job = engine_model.Job(
            self.prompt_tokens + self._generated_tokens,
            self.answer_tokens - self._generated_tokens,
            self._on_event,
            self._on_end,
            self._priority,
        )
        is_open = engine.is_running and not engine.is_loading
        if not is_open or not engine.model.submit(job):
            self._read_limit(engine)
            rejection = decisions.DispatchFailure.REJECTED
            self.carry_out(
                self._state.on_failure(self.make_decision_context(), rejection)
            )
            return
        self._job = job
        self._tokens_before_dispatch = self._generated_tokens
        engine.jobs[job] = self

    def _read_limit(self, engine: places.SimulatedEngine) -> None:
        """Read the head of an answer, which may name the engine's limit."""
        now_s = self._simulation.clock.seconds()
        limit_per_s = engine.limit.record_answer(now_s, self._entry)
        self.carry_out(
            self._state.on_engine_head(self.make_decision_context(), limit_per_s)
        )

    def _on_event(self) -> None:
        now_s = self._simulation.clock.seconds()
        if self._generated_tokens == self._tokens_before_dispatch:
            self._read_limit(self._engine)
        if self._first_s is None:
            self._first_s = now_s - self.started_s
            self._caller_timeout.cancel()
            self._state.on_stream_opened()
        elif now_s - self._last_event_s > MAX_EVENT_GAP_S:
            self._had_long_gap = True
        self._last_event_s = now_s
        self._generated_tokens += engine_model.TOKENS_PER_EVENT
        self._state.on_events(
            str(self._generated_tokens // engine_model.TOKENS_PER_EVENT)
        )

    def _on_end(self) -> None:
        self._engine.jobs.pop(self._job, None)
        self._state.on_answer(self.make_decision_context(), 200)
        outcome = self._simulation.outcome
        outcome.first_s.append(self._first_s)
        if self._first_s <= self.kind.target_s and not self._had_long_gap:
            outcome.on_time += 1
        else:
            outcome.late += 1

    def _abandon(self) -> None:
        """Abandon the request after a long time without an event."""
        self._entry.queue.remove(self)
        self._state.on_caller_disconnected(self.make_decision_context())
        if self._job is not None:
            self._engine.jobs.pop(self._job, None)
            self._engine.model.cancel(self._job)
        self._simulation.outcome.abandoned += 1

    def _schedule_retry(self, retry_after_s: float) -> None:
        self._entry.queue.remove(self)
        if self._caller_timeout.active():
            self._caller_timeout.cancel()
        if not self._can_retry or self._first_s is not None:
            self._simulation.outcome.refused += 1
            return
        self._can_retry = False
        self._simulation.clock.callLater(max(retry_after_s, 0.01), self._retry)

    def _retry(self) -> None:
        self._entry = self._simulation.choose_entry()
        self._state = self._make_state()
        self.start()


class LoadSimulation:
    """A simulation of one load profile with one seed."""

    def __init__(self, profile: load_profiles.LoadProfile, seed: int):
        self.clock = task.Clock()
        self.seed = seed
        self.random_source = random.Random(seed)
        self.outcome = CallerTotals()
        self._profile = profile
        self.entries = [
            places.SimulatedEntry(self, number, profile.entries)
            for number in range(profile.entries)
        ]
        self._next_entry_number = profile.entries
        engine_count = int(max(count for _, count in profile.engines))
        self.engines = [
            places.SimulatedEngine(self, number) for number in range(engine_count)
        ]
        self.engines_by_id = {engine.engine_id: engine for engine in self.engines}

    def run(self) -> CallerTotals:
        """Run the simulation to its end and return the outcomes."""
        for from_s, count in self._profile.engines:
            self.clock.callLater(from_s, self._set_engines, int(count))
        for change in self._profile.limits:
            self.clock.callLater(change.at_s, self.name_limit, change)
        for engine in self.engines:
            if engine.switch_at_s is not None:
                self.clock.callLater(engine.switch_at_s, engine.switch)
        for number, engine in enumerate(self.engines):
            offset_s = places.REPORT_INTERVAL_S * number / len(self.engines)
            reporting = task.LoopingCall(engine.report)
            reporting.clock = self.clock
            self.clock.callLater(offset_s, reporting.start, places.REPORT_INTERVAL_S)
        self.clock.callLater(0.0, self._send_next_request)
        end_s = self._profile.duration_s + REQUEST_TIMEOUT_S
        while self.clock.seconds() < end_s:
            next_s = min(call.getTime() for call in self.clock.getDelayedCalls())
            self.clock.advance(max(next_s - self.clock.seconds(), 0.0))
        return self.outcome

    def call_after_delay(
        self, source: data.ZoneName, target: data.ZoneName, call: Callable, *arguments
    ) -> None:
        """Call a function after the network delay between two zones."""
        delay_s = (
            places.SAME_REGION_DELAY_S
            if source == target
            else places.OTHER_REGION_DELAY_S
        )
        self.clock.callLater(delay_s, call, *arguments)

    def broadcast(
        self,
        source: data.ZoneName,
        method: str,
        message: data.Record,
        sender: places.SimulatedEntry | None = None,
        only_own_zone: bool = False,
    ) -> None:
        """Send a datagram to the entries, except to its sender."""
        if sender is not None and sender.is_cut:
            return
        for zone in [source] if only_own_zone else places.ZONES:
            receivers = [
                entry
                for entry in self.entries
                if entry.zone == zone and entry is not sender
            ]
            self.call_after_delay(source, zone, _deliver, receivers, method, message)

    def name_limit(self, change: load_profiles.LimitChange) -> None:
        """Let some engines name a limit in their answers, or none any more."""
        for engine in self.engines[: change.engine_count]:
            engine.limit.change(self.clock.seconds(), change.limit_per_s)

    def add_entry(self) -> None:
        """Add an entry; the others learn of it after a while."""
        number, self._next_entry_number = (
            self._next_entry_number,
            self._next_entry_number + 1,
        )
        self._start_entry(number)

    def remove_entry(self, entry: places.SimulatedEntry) -> None:
        """Take an entry out of use; its requests go on."""
        self.entries.remove(entry)
        self._announce_entry_count()

    def restart_entry(self, entry: places.SimulatedEntry) -> None:
        """Replace an entry by a new one that knows nothing of before."""
        self.entries.remove(entry)
        self._start_entry(entry.number)

    def _start_entry(self, number: int) -> None:
        entry = places.SimulatedEntry(self, number, len(self.entries) + 1)
        for engine in self.engines:
            if engine.is_running:
                entry.registry.put(engine.entry)
        self.entries.append(entry)
        self._announce_entry_count()

    def _announce_entry_count(self) -> None:
        for entry in self.entries:
            self.clock.callLater(
                MEMBERSHIP_DELAY_S, entry.apply_entry_count, len(self.entries)
            )

    def choose_entry(self) -> places.SimulatedEntry:
        """Return the entry that a caller uses."""
        return self.random_source.choice(self.entries)

    def switch_at_s(self, number: int) -> float | None:
        """Return the time at which an engine switches to the new version."""
        times_s = self._profile.switch_times_s
        if not times_s:
            return None
        # Engines of each zone are spread over the waves.
        wave = number // len(places.ZONES) + number % len(places.ZONES)
        return times_s[wave % len(times_s)]

    def _set_engines(self, count: int) -> None:
        for number, engine in enumerate(self.engines):
            if number < count and not engine.is_running:
                engine.start()
            elif number >= count and engine.is_running:
                engine.stop()

    def _send_next_request(self) -> None:
        now_s = self.clock.seconds()
        if now_s >= self._profile.duration_s:
            return
        kind = self.random_source.choices(
            load_profiles.REQUEST_KINDS,
            [kind.share for kind in load_profiles.REQUEST_KINDS],
        )[0]
        self.outcome.request_count += 1
        SimulatedRequest(self, self.choose_entry(), kind, can_retry=True).start()
        rate_per_s = load_profiles.get_step_value(self._profile.rates_per_s, now_s)
        self.clock.callLater(
            self.random_source.expovariate(rate_per_s), self._send_next_request
        )


def _deliver(
    receivers: list[places.SimulatedEntry], method: str, message: data.Record
) -> None:
    for entry in receivers:
        if not entry.is_cut:
            getattr(entry, method)(message)
