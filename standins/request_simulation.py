"""Entries, gates and engines in virtual time, for benches of the request path.

The machines are the real ones; an engine is a processor that is shared evenly once
more requests run than it can batch without loss.
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
HOP_S = 0.001
TICK_S = 0.1
REPORT_S = 1.0
UNLIMITED = 1_000_000


@dataclasses.dataclass(frozen=True)
class Setup:
    """What a run is made of.

    :param batch: how many requests an engine runs at once without slowing down.
    :param work_s: the mean time of a request that runs alone; times are even
        between half and one and a half of it.
    :param budget_s: the deadline of every request.
    :param limit: the first concurrency limit of a gate, which then follows the
        engine; ``UNLIMITED`` is none.
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
        """Return how many requests a second all engines can complete."""
        return self.endpoints * self.batch / self.work_s


class Engine:
    """A processor shared by its jobs."""

    def __init__(self, batch: int):
        self._batch = batch
        self._jobs: list[tuple[float, int, data.AttemptKey]] = []
        self._cancelled: set[data.AttemptKey] = set()
        self._running = 0
        self._progress_s = 0.0
        self._seen_s = 0.0
        self._numbers = itertools.count()

    def advance(self, now_s: float) -> None:
        """Let the jobs run until now."""
        self._progress_s += (now_s - self._seen_s) * self._rate()
        self._seen_s = now_s

    def add(self, key: data.AttemptKey, work_s: float) -> None:
        """Start a job; the time has been advanced."""
        self._running += 1
        done = self._progress_s + work_s
        heapq.heappush(self._jobs, (done, next(self._numbers), key))

    def cancel(self, key: data.AttemptKey) -> None:
        """Drop a job."""
        self._running -= 1
        self._cancelled.add(key)

    def take_done(self) -> data.AttemptKey | None:
        """Return a job that is done, or None."""
        self._drop_cancelled()
        if not self._jobs or self._jobs[0][0] > self._progress_s + 1e-9:
            return None
        self._running -= 1
        return heapq.heappop(self._jobs)[2]

    def next_s(self) -> float | None:
        """Return when the next job is done if nothing changes."""
        self._drop_cancelled()
        if not self._jobs:
            return None
        left_s = max(self._jobs[0][0] - self._progress_s, 0.0)
        return self._seen_s + left_s / self._rate()

    def _drop_cancelled(self) -> None:
        while self._jobs and self._jobs[0][2] in self._cancelled:
            self._cancelled.discard(heapq.heappop(self._jobs)[2])

    def _rate(self) -> float:
        return min(1.0, self._batch / max(self._running, 1))


class Endpoint:
    """A gate with its engine."""

    def __init__(self, number: int, setup: Setup):
        served = serving.State(data.ServiceKind.PLAIN, SERVICE)
        served.serving = serving.Serving(SERVICE, data.ServiceKind.PLAIN)
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
            orders=served,
            config=types.SimpleNamespace(intents={SERVICE: intent}),
            dispatches=dispatches.State(),
            claims=claims.State(),
            admission=admission.State(setup.limit, setup.limit < UNLIMITED),
        )
        handlers = [dispatches.HANDLERS, claims.HANDLERS, admission.HANDLERS]
        self.machine = machine.Machine(node, handlers)
        self.engine = Engine(setup.batch)
        self.started_s: dict[data.AttemptKey, float] = {}
        self.wakes_s = float("inf")
        self.is_up = True

    def report(self) -> data.Report:
        """Return what the process tells entries."""
        return data.Report(
            self.identity,
            1,
            data.MemberState.LIVE,
            SERVICE,
            data.ServiceKind.PLAIN,
            load=admission.get_load(self.machine.node),
        )


@dataclasses.dataclass
class Sent:
    """A caller's request.

    :param ended_s: when its outcome came.
    """

    team: data.TeamName
    sent_s: float
    outcome: data.Outcome | None = None
    ended_s: float = 0.0
    retry_after_s: float = 0.0


class World:
    """Runs requests through entries and gates.

    :ivar sent: all requests, by id.
    :ivar dispatches: how many attempts were sent.
    """

    def __init__(self, setup: Setup):
        self.setup = setup
        self.now_s = 0.0
        self.random = random.Random(setup.seed)
        self.sent: dict[data.RequestId, Sent] = {}
        self.dispatches = 0
        self.endpoints = [Endpoint(n, setup) for n in range(setup.endpoints)]
        self.entries = [self._make_entry(n) for n in range(setup.entries)]
        self._by_id = {e.identity.instance_id: e for e in self.endpoints}
        self._queue: list[tuple[float, int, object, tuple]] = []
        self._numbers = itertools.count()
        self._streams: dict[int, tuple] = {}
        self.after(0.0, self._report)
        self.after(0.0, self._tick)

    def after(self, wait_s: float, action, *args) -> None:
        """Do something later."""
        when_s = self.now_s + wait_s
        heapq.heappush(self._queue, (when_s, next(self._numbers), action, args))

    def run_until(self, end_s: float) -> None:
        """Let time run."""
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, action, args = heapq.heappop(self._queue)
            action(*args)
        self.now_s = end_s

    def offer(self, team: data.TeamName, rate: float, until_s: float) -> None:
        """Let a team send requests at random times until then."""
        self.after(self.random.expovariate(rate), self._arrive, team, rate, until_s)

    def good(self, from_s: float, until_s: float, team: str = "") -> tuple[int, int]:
        """Return the requests of a span that were done in time, and all of them."""
        done = total = 0
        for sent in self.sent.values():
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
        node = machine.Node(
            identity,
            self.setup.seed + 1000 + number,
            config=types.SimpleNamespace(intents={SERVICE: intent}),
            membership=types.SimpleNamespace(members={}, ready_counts={}),
            routing=routing.State(),
            requests=requests.State(),
            draining=draining.State(),
            entry_selection=entry_selection.State(),
        )
        parts = (routing, requests, draining, entry_selection)
        return machine.Machine(node, [part.HANDLERS for part in parts])

    def _arrive(self, team: data.TeamName, rate: float, until_s: float) -> None:
        if self.now_s >= until_s:
            return
        self.offer(team, rate, until_s)
        name = data.RequestId(f"q{next(self._numbers)}")
        self.sent[name] = Sent(team, self.now_s)
        wanted = data.Request(name, team, SERVICE, self.setup.budget_s)
        entry = self.random.choice(self.entries)
        self._step_entry(entry, request_events.RequestReceived(wanted))

    def _step_entry(self, entry: machine.Machine, event: data.Event) -> None:
        for effect in entry.step(self.now_s, event):
            if isinstance(effect, request_events.SendDispatch):
                self.dispatches += 1
                self.after(HOP_S, self._dispatched, entry, effect)
            elif isinstance(effect, request_events.CancelAttempt):
                self.after(HOP_S, self._cancelled, effect)
            elif isinstance(effect, request_events.FinishRequest):
                sent = self.sent[effect.request_id]
                sent.outcome = effect.outcome
                sent.ended_s = self.now_s
                sent.retry_after_s = effect.retry_after_s

    def _dispatched(
        self, entry: machine.Machine, effect: request_events.SendDispatch
    ) -> None:
        endpoint = self._by_id[effect.instance_id]
        dispatch = effect.dispatch
        if not endpoint.is_up:
            broke = request_events.AttemptFailed(
                dispatch.request.request_id,
                dispatch.attempt,
                data.Reason.UNREACHABLE,
                sent=False,
            )
            self.after(HOP_S, self._step_entry, entry, broke)
            return
        stream = next(self._numbers)
        self._streams[stream] = (entry, endpoint, dispatch)
        sender = entry.node.identity
        self._step_endpoint(
            endpoint, dispatch_events.DispatchReceived(sender, dispatch, stream)
        )

    def _cancelled(self, effect: request_events.CancelAttempt) -> None:
        for endpoint in self.endpoints:
            key = (effect.request_id, effect.attempt)
            work = endpoint.machine.node.dispatches.live.get(key)
            if work is not None:
                self._step_endpoint(
                    endpoint, dispatch_events.DispatchCancelled(*key, work.stream)
                )

    def _step_endpoint(self, endpoint: Endpoint, event: data.Event) -> None:
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
                self.after(0.0, self._end_run, endpoint, key, False)
            elif isinstance(
                effect, dispatch_events.RefuseDispatch | dispatch_events.EndDispatch
            ):
                entry, _, _ = self._streams.pop(effect.stream)
                ended = request_events.AttemptEnded(effect.end)
                self.after(HOP_S, self._step_entry, entry, ended)
        self._plan_wake(endpoint)

    def _plan_wake(self, endpoint: Endpoint) -> None:
        next_s = endpoint.engine.next_s()
        if next_s is None or endpoint.wakes_s <= next_s:
            return
        endpoint.wakes_s = next_s
        self.after(next_s - self.now_s, self._wake, endpoint)

    def _wake(self, endpoint: Endpoint) -> None:
        endpoint.wakes_s = float("inf")
        endpoint.engine.advance(self.now_s)
        while (key := endpoint.engine.take_done()) is not None:
            self._end_run(endpoint, key, True)
        self._plan_wake(endpoint)

    def _end_run(self, endpoint: Endpoint, key: data.AttemptKey, ok: bool) -> None:
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
        self.after(TICK_S, self._tick)

    def _report(self) -> None:
        for endpoint in self.endpoints:
            if not endpoint.is_up:
                continue
            told = events.ReportReceived(endpoint.report())
            for entry in self.entries:
                self._step_entry(entry, told)
        self.after(REPORT_S, self._report)


def outcomes_of(world: World) -> dict[str, int]:
    """Return how many requests ended in which way."""
    counts = collections.Counter()
    for sent in world.sent.values():
        counts[sent.outcome.value if sent.outcome else "none"] += 1
    return dict(counts)
