"""Simulates the request path in virtual time: entries, gates and engines.

Entries and gates are the real machines. An engine shares its capacity evenly between
its requests once more of them run than it can batch without a slowdown.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import types

from toucanspread.core import data, events, machine
from toucanspread.core.gate import (
    admission,
    claims,
    dispatch_events,
    dispatches,
    serving,
)
from toucanspread.core.requests import (
    draining,
    entry_selection,
    request_events,
    requests,
    routing,
)

SERVICE = data.ServiceName("redactor")
ZONES = ("za", "zb", "zc")
NETWORK_DELAY_S = 0.001
TICK_S = 0.1
REPORT_INTERVAL_S = 1.0
UNLIMITED_COUNT = 1_000_000


@dataclasses.dataclass(frozen=True)
class Setup:
    """The parameters of a simulation.

    :param batch: number of requests that an engine runs at once without a slowdown.
    :param work_s: mean duration of a request that runs alone; durations are uniform
        from 0.5 to 1.5 times the mean.
    :param budget_s: time budget of each request.
    :param limit: initial concurrency limit of a gate, which then adapts to the
        engine; ``UNLIMITED_COUNT`` for no limit.
    """

    entries: int = 3
    endpoints: int = 7
    batch: int = 8
    work_s: float = 1.0
    budget_s: float = 4.0
    limit: int = admission.INITIAL_LIMIT
    teams: tuple[data.TeamShare, ...] = ()
    seed: int = 20

    @property
    def capacity(self) -> float:
        """The number of requests per second that all engines can complete."""
        return self.endpoints * self.batch / self.work_s


class SimulatedEngine:
    """An engine whose jobs share its capacity evenly."""

    def __init__(self, batch: int):
        self._batch = batch
        self._jobs: list[tuple[float, int, data.AttemptKey]] = []
        self._cancelled: set[data.AttemptKey] = set()
        self._running = 0
        self._work_per_job_s = 0.0
        self._updated_s = 0.0
        self._numbers = itertools.count()

    def advance(self, now_s: float) -> None:
        """Advance the jobs to ``now_s``."""
        self._work_per_job_s += (now_s - self._updated_s) * self._rate()
        self._updated_s = now_s

    def add(self, key: data.AttemptKey, work_s: float) -> None:
        """Start a job; :meth:`advance` must have been called before."""
        self._running += 1
        done = self._work_per_job_s + work_s
        heapq.heappush(self._jobs, (done, next(self._numbers), key))

    def cancel(self, key: data.AttemptKey) -> None:
        """Cancel a job."""
        self._running -= 1
        self._cancelled.add(key)

    def pop_completed(self) -> data.AttemptKey | None:
        """Remove and return a completed job, or None if there is none."""
        self._drop_cancelled()
        if not self._jobs or self._jobs[0][0] > self._work_per_job_s + 1e-9:
            return None
        self._running -= 1
        return heapq.heappop(self._jobs)[2]

    def get_next_completion_s(self) -> float | None:
        """Return the time at which the next job completes if no job is added."""
        self._drop_cancelled()
        if not self._jobs:
            return None
        remaining_s = max(self._jobs[0][0] - self._work_per_job_s, 0.0)
        return self._updated_s + remaining_s / self._rate()

    def _drop_cancelled(self) -> None:
        while self._jobs and self._jobs[0][2] in self._cancelled:
            self._cancelled.discard(heapq.heappop(self._jobs)[2])

    def _rate(self) -> float:
        return min(1.0, self._batch / max(self._running, 1))


def make_entry_machine(
    identity: data.Identity, seed: int, intent: data.Intent
) -> machine.Machine:
    """Return the parts of an entry that handle the requests for one service."""
    node = machine.Node(
        identity,
        seed,
        config=types.SimpleNamespace(intents={intent.service: intent}),
        membership=types.SimpleNamespace(members={}, ready_counts={}),
        routing=routing.State(),
        requests=requests.State(),
        draining=draining.State(),
        entry_selection=entry_selection.State(),
    )
    modules = (routing, requests, draining, entry_selection)
    return machine.Machine(node, [module.HANDLERS for module in modules])


class SimulatedEndpoint:
    """An endpoint process: a gate and its engine."""

    def __init__(self, number: int, setup: Setup):
        serving_state = serving.State(data.ServiceKind.PLAIN, SERVICE)
        serving_state.serving = serving.Serving(SERVICE, data.ServiceKind.PLAIN)
        intent = types.SimpleNamespace(teams=setup.teams)
        self.identity = data.Identity(
            data.InstanceId(f"p{number}"),
            data.Role.ENDPOINT,
            data.Incarnation(1),
            data.ZoneName(ZONES[number % len(ZONES)]),
            data.RegionName("r"),
            data.Address(f"p{number}"),
        )
        node = machine.Node(
            self.identity,
            setup.seed + number,
            orders=serving_state,
            config=types.SimpleNamespace(intents={SERVICE: intent}),
            dispatches=dispatches.State(),
            claims=claims.State(),
            admission=admission.State(setup.limit, setup.limit < UNLIMITED_COUNT),
        )
        handlers = [dispatches.HANDLERS, claims.HANDLERS, admission.HANDLERS]
        self.machine = machine.Machine(node, handlers)
        self.engine = SimulatedEngine(setup.batch)
        self.started_s: dict[data.AttemptKey, float] = {}
        self.next_completion_s = float("inf")
        self.is_up = True

    def make_report(self) -> data.Report:
        """Return the report that the process sends to entries."""
        return data.Report(
            self.identity,
            1,
            data.MemberState.LIVE,
            SERVICE,
            data.ServiceKind.PLAIN,
            load=admission.get_load(self.machine.node),
        )


@dataclasses.dataclass
class SentRequest:
    """A caller's request.

    :param ended_s: time at which the caller received the outcome.
    """

    team: data.TeamName
    sent_s: float
    outcome: data.Outcome | None = None
    ended_s: float = 0.0
    retry_after_s: float = 0.0


class RequestSimulation:
    """Runs requests through entries and gates.

    :ivar sent_requests: all requests, by id.
    :ivar dispatches: number of attempts that were sent.
    """

    def __init__(self, setup: Setup):
        self.setup = setup
        self.now_s = 0.0
        self.random = random.Random(setup.seed)
        self.sent_requests: dict[data.RequestId, SentRequest] = {}
        self.dispatches = 0
        self.endpoints = [SimulatedEndpoint(n, setup) for n in range(setup.endpoints)]
        self.entries = [self._make_entry(n) for n in range(setup.entries)]
        self._endpoints_by_id = {e.identity.instance_id: e for e in self.endpoints}
        self._queue: list[tuple[float, int, object, tuple]] = []
        self._numbers = itertools.count()
        self._streams: dict[int, tuple] = {}
        self.call_later(0.0, self._deliver_reports)
        self.call_later(0.0, self._tick)

    def call_later(self, delay_s: float, action, *args) -> None:
        """Call a function after a delay."""
        when_s = self.now_s + delay_s
        heapq.heappush(self._queue, (when_s, next(self._numbers), action, args))

    def run_until(self, end_s: float) -> None:
        """Advance the time."""
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, action, args = heapq.heappop(self._queue)
            action(*args)
        self.now_s = end_s

    def add_load(self, team: data.TeamName, rate: float, until_s: float) -> None:
        """Let a team send requests at random times.

        :param rate: mean number of requests per second.
        :param until_s: time of the end.
        """
        self.call_later(
            self.random.expovariate(rate), self._receive_request, team, rate, until_s
        )

    def count_on_time(
        self, from_s: float, until_s: float, team: str = ""
    ) -> tuple[int, int]:
        """Return the numbers of requests completed in time, and of all requests.

        :param from_s: first time of sending.
        :param until_s: end of the times of sending.
        :param team: the team to count; empty for all teams.
        """
        done = total = 0
        for sent in self.sent_requests.values():
            if not from_s <= sent.sent_s < until_s or (team and sent.team != team):
                continue
            total += 1
            is_done = sent.outcome is data.Outcome.DONE
            done += is_done and sent.ended_s <= sent.sent_s + self.setup.budget_s
        return done, total

    def _make_entry(self, number: int) -> machine.Machine:
        identity = data.Identity(
            data.InstanceId(f"e{number}"),
            data.Role.ENTRY,
            data.Incarnation(1),
            data.ZoneName(ZONES[number % len(ZONES)]),
            data.RegionName("r"),
            data.Address(f"e{number}"),
            data.Address(f"http-e{number}"),
        )
        intent = data.Intent(SERVICE, data.ServiceKind.PLAIN, 1, 1, ZONES)
        return make_entry_machine(identity, self.setup.seed + 1000 + number, intent)

    def _receive_request(
        self, team: data.TeamName, rate: float, until_s: float
    ) -> None:
        if self.now_s >= until_s:
            return
        self.add_load(team, rate, until_s)
        name = data.RequestId(f"q{next(self._numbers)}")
        self.sent_requests[name] = SentRequest(team, self.now_s)
        request = data.Request(name, team, SERVICE, self.setup.budget_s)
        entry = self.random.choice(self.entries)
        self._step_entry(entry, request_events.RequestReceived(request))

    def _step_entry(self, entry: machine.Machine, event: data.Event) -> None:
        for effect in entry.step(self.now_s, event):
            if isinstance(effect, request_events.SendDispatch):
                self.dispatches += 1
                self.call_later(NETWORK_DELAY_S, self._receive_dispatch, entry, effect)
            elif isinstance(effect, request_events.CancelAttempt):
                self.call_later(NETWORK_DELAY_S, self._cancel_dispatch, effect)
            elif isinstance(effect, request_events.FinishRequest):
                sent = self.sent_requests[effect.request_id]
                sent.outcome = effect.outcome
                sent.ended_s = self.now_s
                sent.retry_after_s = effect.retry_after_s

    def _receive_dispatch(
        self, entry: machine.Machine, effect: request_events.SendDispatch
    ) -> None:
        endpoint = self._endpoints_by_id[effect.instance_id]
        dispatch = effect.dispatch
        if not endpoint.is_up:
            failure = request_events.AttemptFailed(
                dispatch.request.request_id,
                dispatch.attempt,
                data.Reason.UNREACHABLE,
                sent=False,
            )
            self.call_later(NETWORK_DELAY_S, self._step_entry, entry, failure)
            return
        stream = next(self._numbers)
        self._streams[stream] = (entry, endpoint, dispatch)
        sender = entry.node.identity
        self._step_endpoint(
            endpoint, dispatch_events.DispatchReceived(sender, dispatch, stream)
        )

    def _cancel_dispatch(self, effect: request_events.CancelAttempt) -> None:
        for endpoint in self.endpoints:
            key = (effect.request_id, effect.attempt)
            dispatch = endpoint.machine.node.dispatches.live.get(key)
            if dispatch is not None:
                self._step_endpoint(
                    endpoint, dispatch_events.DispatchCancelled(*key, dispatch.stream)
                )

    def _step_endpoint(self, endpoint: SimulatedEndpoint, event: data.Event) -> None:
        endpoint.engine.advance(self.now_s)
        for effect in endpoint.machine.step(self.now_s, event):
            if isinstance(effect, dispatch_events.StartRun):
                key = (effect.request_id, effect.attempt)
                endpoint.started_s[key] = self.now_s
                work_s = self.setup.work_s * self.random.uniform(0.5, 1.5)
                endpoint.engine.add(key, work_s)
            elif isinstance(effect, dispatch_events.CancelRun):
                key = (effect.request_id, effect.attempt)
                endpoint.engine.cancel(key)
                self.call_later(0.0, self._end_run, endpoint, key, False)
            elif isinstance(
                effect, dispatch_events.RefuseDispatch | dispatch_events.EndDispatch
            ):
                entry, _, _ = self._streams.pop(effect.stream)
                ended = request_events.AttemptEnded(effect.end)
                self.call_later(NETWORK_DELAY_S, self._step_entry, entry, ended)
        self._schedule_completion(endpoint)

    def _schedule_completion(self, endpoint: SimulatedEndpoint) -> None:
        next_s = endpoint.engine.get_next_completion_s()
        if next_s is None or endpoint.next_completion_s <= next_s:
            return
        endpoint.next_completion_s = next_s
        self.call_later(next_s - self.now_s, self._complete_runs, endpoint)

    def _complete_runs(self, endpoint: SimulatedEndpoint) -> None:
        endpoint.next_completion_s = float("inf")
        endpoint.engine.advance(self.now_s)
        while (key := endpoint.engine.pop_completed()) is not None:
            self._end_run(endpoint, key, True)
        self._schedule_completion(endpoint)

    def _end_run(
        self, endpoint: SimulatedEndpoint, key: data.AttemptKey, ok: bool
    ) -> None:
        service_time_s = self.now_s - endpoint.started_s.pop(key)
        reason = data.Reason.NONE if ok else data.Reason.CANCELLED
        ended = dispatch_events.RunEnded(
            *key, ok, 200, True, "", service_time_s, reason
        )
        self._step_endpoint(endpoint, ended)

    def _tick(self) -> None:
        for entry in self.entries:
            self._step_entry(entry, events.Tick())
        for endpoint in self.endpoints:
            if endpoint.is_up:
                self._step_endpoint(endpoint, events.Tick())
        self.call_later(TICK_S, self._tick)

    def _deliver_reports(self) -> None:
        for endpoint in self.endpoints:
            if not endpoint.is_up:
                continue
            received = events.ReportReceived(endpoint.make_report())
            for entry in self.entries:
                self._step_entry(entry, received)
        self.call_later(REPORT_INTERVAL_S, self._deliver_reports)


def count_outcomes(simulation: RequestSimulation) -> dict[str, int]:
    """Return the number of requests by outcome; "none" if without an outcome."""
    counts = collections.Counter()
    for sent in simulation.sent_requests.values():
        counts[sent.outcome.value if sent.outcome else "none"] += 1
    return dict(counts)
