"""Simulates a whole system in virtual time, with a fake platform and faults.

Entries and endpoint processes are the same machines as in the daemons. This module only
executes their effects: messages, dispatches, chunk transfers and calls to the platform.
It makes no decision of the system. All random values come from one seed.
"""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from standins import simulated_platform
from toucanspread.core import data, effects, events, machine, roles
from toucanspread.core.agreement import confirmations, plan_requests, plans
from toucanspread.core.gate import dispatch_events
from toucanspread.core.requests import request_events
from toucanspread.core.transfers import transfer_events

TICK_S = 0.1
NETWORK_DELAY_S = 0.002
LIST_INTERVAL_S = 2.0
LIST_DELAY_S = 3.0
MAX_MESSAGE_DELAY_S = 3.0
WALL_START_S = 1_800_000_000.0
MAX_SERVICE_TIME_S = 0.8
MAX_ORDER_DURATION_S = 0.2
# Time after the end of its budget by which a request must have ended.
ANSWER_MARGIN_S = 1.0


@dataclasses.dataclass
class Process:
    """A running process.

    :ivar held_events: events that were received while the process was frozen.
    :ivar streams: open dispatches at an endpoint process, by stream number.
    :ivar runs: functions that end a running request, by attempt.
    :ivar kept_statuses: HTTP statuses of completed runs, by attempt.
    :ivar fetches: ids of the fetches in progress.
    """

    stepper: machine.Machine
    frozen: bool = False
    held_events: list = dataclasses.field(default_factory=list)
    streams: dict[int, "OpenDispatch"] = dataclasses.field(default_factory=dict)
    runs: dict[data.AttemptKey, Callable] = dataclasses.field(default_factory=dict)
    kept_statuses: dict[data.AttemptKey, int] = dataclasses.field(default_factory=dict)
    fetches: set[int] = dataclasses.field(default_factory=set)

    @property
    def identity(self) -> data.Identity:
        """The identity of the process."""
        return self.stepper.node.identity


@dataclasses.dataclass
class OpenDispatch:
    """A dispatch for which the entry has no final answer yet."""

    entry: data.Identity
    endpoint: data.Address
    dispatch: data.Dispatch
    stream: int = 0
    closed: bool = False


@dataclasses.dataclass
class SentRequest:
    """A request and what its caller received.

    :ivar entry: the entry that received the request.
    :ivar incarnation: the incarnation of the entry at that time.
    :ivar outcomes: final outcomes that the entry returned.
    """

    request: data.Request
    entry: data.InstanceId
    incarnation: data.Incarnation
    sent_s: float
    outcomes: list[request_events.FinishRequest] = dataclasses.field(
        default_factory=list
    )
    answered_s: float = 0.0


class InstanceHost:
    """An instance and the services behind its process; it outlives the process."""

    def __init__(self, identity: data.Identity, service: str, checks_fence: bool):
        self.identity = identity
        self.service = service
        self.engine = simulated_platform.FakeEngine(checks_fence)
        self.plain_service = simulated_platform.FakePlainService()

    @property
    def kind(self) -> data.ServiceKind:
        """The kind of backend that the process serves."""
        return data.ServiceKind.PLAIN if self.service else data.ServiceKind.MODEL


class SystemSimulation:
    """The processes, the fake platform and the faults.

    :ivar partitions: pairs of regions between which all traffic is lost without an
        error.
    :ivar loss_ratio: part of the messages that are lost; an equal part is duplicated
        with a delay.
    :ivar corrupting_ids: instances that send corrupted chunks.
    :ivar runs: start times and instances of all runs.
    :ivar thawed_s: time at which each instance was last thawed.
    """

    def __init__(self, seed: int):
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.key_value = simulated_platform.FakeKeyValue()
        self.origin = simulated_platform.FakeOrigin()
        self.hosts: dict[data.InstanceId, InstanceHost] = {}
        self.processes: dict[data.InstanceId, Process] = {}
        self.partitions: set[frozenset[data.RegionName]] = set()
        self.loss_ratio = 0.0
        self.corrupting_ids: set[data.InstanceId] = set()
        self.sent_requests: dict[data.RequestId, SentRequest] = {}
        self.answers: list[
            plan_requests.PlanAnswered | confirmations.ConfirmAnswered
        ] = []
        self.log_counts: collections.Counter[str] = collections.Counter()
        self.exited_ids: list[data.InstanceId] = []
        self.runs: list[tuple[float, data.InstanceId]] = []
        self.refusals: dict[data.AttemptKey, data.AnswerEnd] = {}
        self.thawed_s: dict[data.InstanceId, float] = {}
        self._open_dispatches: dict[tuple, OpenDispatch] = {}
        self._queue: list = []
        self._queue_numbers = itertools.count()
        self._numbers = itertools.count(1)
        self._incarnation = 0
        self._list_history: list[tuple[float, tuple[data.Identity, ...]]] = []
        self._next_list_s = 0.0
        self._next_tick_s = TICK_S

    def add_instance(
        self,
        name: str,
        role: data.Role,
        zone: str,
        region: str,
        service: str = "",
        checks_fence: bool = True,
    ) -> None:
        """Add an instance and start its process."""
        identity = data.Identity(
            data.InstanceId(name),
            role,
            data.Incarnation(0),
            data.ZoneName(zone),
            data.RegionName(region),
            data.Address(name),
            data.Address(f"http-{name}" if role is data.Role.ENTRY else ""),
        )
        self.hosts[identity.instance_id] = InstanceHost(identity, service, checks_fence)
        self.start(identity.instance_id)

    def start(self, name: data.InstanceId) -> None:
        """Start a new process on an instance; it has no state of earlier ones."""
        self._incarnation += 1
        host = self.hosts[name]
        identity = msgspec.structs.replace(
            host.identity, incarnation=data.Incarnation(self._incarnation)
        )
        seed = self.random.getrandbits(32)
        if identity.role is data.Role.ENTRY:
            stepper = roles.build_entry(identity, seed)
        else:
            options = roles.EndpointOptions(host.kind, data.ServiceName(host.service))
            stepper = roles.build_endpoint(identity, seed, options)
        stepper.node.now_s = self.now_s
        self.processes[name] = Process(stepper)

    def kill(self, name: data.InstanceId) -> None:
        """Kill a process; its connections break."""
        process = self.processes.pop(name)
        for call in process.streams.values():
            self._fail_dispatch(call, data.Reason.STREAM_BROKE, sent=True)
        for call in [*self._open_dispatches.values()]:
            if call.entry == process.identity:
                self._close_dispatch(call)

    def freeze(self, name: data.InstanceId) -> None:
        """Suspend a process; events are kept until it is thawed."""
        self.processes[name].frozen = True

    def thaw(self, name: data.InstanceId) -> None:
        """Resume a frozen process."""
        process = self.processes[name]
        process.frozen = False
        self.thawed_s[name] = self.now_s
        kept, process.held_events = process.held_events, []
        for event in kept:
            self.post(name, event)

    def post(self, name: data.InstanceId, event: data.Event) -> None:
        """Pass an event to a process and execute the effects."""
        process = self.processes.get(name)
        if process is None:
            return
        if process.frozen:
            if not isinstance(event, events.Tick):
                process.held_events.append(event)
            return
        process.stepper.node.wall_s = WALL_START_S + self.now_s
        for effect in process.stepper.step(self.now_s, event):
            self._carry_out(name, process, effect)

    def run(self, duration_s: float) -> None:
        """Advance the time."""
        end_s = round(self.now_s + duration_s, 6)
        while self.now_s < end_s:
            next_s = min(self._next_tick_s, end_s)
            while self._queue and self._queue[0][0] <= next_s:
                due_s, _, action = heapq.heappop(self._queue)
                self.now_s = max(self.now_s, due_s)
                action()
            self.now_s = next_s
            if next_s == self._next_tick_s:
                self._next_tick_s = round(next_s + TICK_S, 6)
                self._tick()

    def _tick(self) -> None:
        self._answer_watches()
        self._deliver_instance_list()
        for name in [*self.processes]:
            self.post(name, events.Tick(WALL_START_S + self.now_s))

    def send(self, entry: data.InstanceId, request: data.Request) -> None:
        """Send a caller's request to an entry."""
        incarnation = self.processes[entry].identity.incarnation
        self.sent_requests[request.request_id] = SentRequest(
            request, entry, incarnation, self.now_s
        )
        self.post(entry, request_events.RequestReceived(request))

    def propose(self, entry: data.InstanceId, *intents: data.Intent) -> None:
        """Confirm a plan of intents, as an operator, based on an entry's revision."""
        base = self.processes[entry].stepper.node.config.revision
        operation_id = data.OperationId(f"operation-{next(self._numbers)}")
        plan_id = plans.compute_plan_id(base, intents, ())
        event = confirmations.ConfirmRequested(operation_id, base, intents, (), plan_id)
        self.post(entry, event)

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call a function after a delay."""
        entry = (self.now_s + delay_s, next(self._queue_numbers), action)
        heapq.heappush(self._queue, entry)

    def _deliver(self, to: data.Identity, delay_s: float, event: data.Event) -> None:
        """Pass an event after a delay, unless the process was replaced meanwhile."""

        def deliver() -> None:
            process = self.processes.get(to.instance_id)
            if process is not None and process.identity == to:
                self.post(to.instance_id, event)

        self.call_later(delay_s, deliver)

    def _is_partitioned(self, left: data.Identity, right: data.Identity) -> bool:
        return frozenset((left.region, right.region)) in self.partitions

    def _find_process(self, address: data.Address) -> Process | None:
        return self.processes.get(data.InstanceId(address))

    def _carry_out(
        self, name: data.InstanceId, process: Process, effect: data.Effect
    ) -> None:
        handler = EFFECT_HANDLERS.get(type(effect))
        if handler is not None:
            handler(self, process, effect)
        elif hasattr(effect, "operation_id") and hasattr(effect, "key"):
            answer = self.key_value.call(self.now_s, effect)
            self._deliver(process.identity, self.key_value.delay_s, answer)
        elif isinstance(effect, effects.Exit):
            self.exited_ids.append(name)
            self.processes.pop(name, None)

    def _send_message(self, process: Process, effect: effects.Send) -> None:
        target = self._find_process(effect.to)
        if target is None or self._is_partitioned(process.identity, target.identity):
            return
        event = events.MessageReceived(process.identity, effect.message)
        if self.random.random() >= self.loss_ratio:
            self._deliver(target.identity, NETWORK_DELAY_S, event)
        if self.random.random() < self.loss_ratio:
            delay_s = self.random.random() * MAX_MESSAGE_DELAY_S
            self._deliver(target.identity, delay_s, event)

    def _add_watch(self, process: Process, effect: effects.KvWatch) -> None:
        watch = (process.identity, effect, self.now_s + effect.wait_s)
        self.key_value.watches.append(watch)

    def _answer_watches(self) -> None:
        watches, self.key_value.watches = self.key_value.watches, []
        for identity, effect, until_s in watches:
            if not self.key_value.is_up:
                status = data.KvStatus.NOT_APPLIED
                answer = events.KvAnswered(effect.operation_id, status, effect.key)
            else:
                answer = self.key_value.read(effect)
                if answer.version <= effect.after_version:
                    if self.now_s < until_s:
                        self.key_value.watches.append((identity, effect, until_s))
                        continue
                    answer = msgspec.structs.replace(
                        answer, status=data.KvStatus.UNCHANGED, value=b""
                    )
            self._deliver(identity, self.key_value.delay_s, answer)

    def _deliver_instance_list(self) -> None:
        if self.now_s < self._next_list_s:
            return
        self._next_list_s = self.now_s + LIST_INTERVAL_S
        live_identities = tuple(process.identity for process in self.processes.values())
        self._list_history.append((self.now_s, live_identities))
        while (
            len(self._list_history) > 1
            and self._list_history[1][0] <= self.now_s - LIST_DELAY_S
        ):
            del self._list_history[0]
        for process in [*self.processes.values()]:
            listed = events.InstanceListRead(self._list_history[0][1])
            self._deliver(process.identity, NETWORK_DELAY_S, listed)

    def _order_engine(self, process: Process, effect: effects.EngineOrder) -> None:
        engine = self.hosts[process.identity.instance_id].engine
        identity = process.identity
        # The order takes effect even if the process dies before it is answered.
        answer_s = NETWORK_DELAY_S + MAX_ORDER_DURATION_S * self.random.random()
        self.call_later(
            NETWORK_DELAY_S,
            lambda: self._deliver(identity, answer_s, engine.order(effect)),
        )

    def _read_status(self, process: Process, effect: effects.ReadEngineStatus) -> None:
        status = self.hosts[process.identity.instance_id].engine.status
        answer = events.EngineStatusReported(status)
        self._deliver(process.identity, NETWORK_DELAY_S, answer)

    def _list_staging(
        self, process: Process, effect: transfer_events.ListStaging
    ) -> None:
        staging = self.hosts[process.identity.instance_id].engine.staging
        listed = transfer_events.StagingListed(tuple(staging))
        self._deliver(process.identity, NETWORK_DELAY_S, listed)

    def _read_manifest(
        self, process: Process, effect: transfer_events.ReadManifest
    ) -> None:
        staging = self.hosts[process.identity.instance_id].engine.staging
        payload = staging.get(data.ChunkHash(effect.manifest_hash))
        read = transfer_events.ManifestRead(effect.manifest_hash, payload)
        self._deliver(process.identity, NETWORK_DELAY_S, read)

    def _delete_chunks(
        self, process: Process, effect: transfer_events.DeleteChunks
    ) -> None:
        staging = self.hosts[process.identity.instance_id].engine.staging
        for chunk_hash in effect.chunk_hashes:
            staging.pop(chunk_hash, None)

    def _fetch_from_peer(
        self, process: Process, effect: transfer_events.FetchFromPeer
    ) -> None:
        process.fetches.add(effect.fetch_id)
        peer = self._find_process(effect.address)
        status = transfer_events.FetchStatus.STAGED
        payload = b""
        delay_s = 0.01 + 0.05 * self.random.random()
        if peer is None:
            status = transfer_events.FetchStatus.FAILED
        elif peer.frozen or self._is_partitioned(process.identity, peer.identity):
            status = transfer_events.FetchStatus.STALLED
            delay_s = effect.deadline_s
        elif effect.chunk_hash not in peer.stepper.node.transfer.held_hashes:
            status = transfer_events.FetchStatus.ABSENT
        elif peer.identity.instance_id in self.corrupting_ids:
            status = transfer_events.FetchStatus.CORRUPT
        else:
            staging = self.hosts[peer.identity.instance_id].engine.staging
            payload = staging[effect.chunk_hash]
        self._end_fetch(process, effect, delay_s, status, payload)

    def _fetch_from_origin(
        self, process: Process, effect: transfer_events.FetchFromOrigin
    ) -> None:
        process.fetches.add(effect.fetch_id)
        payload = b"chunk"
        if not effect.path:
            payload = self.origin.manifests[effect.manifest_hash]
        else:
            self.origin.sent_chunks[effect.manifest_hash] += 1
        delay_s = 0.02 + 0.1 * self.random.random()
        status = transfer_events.FetchStatus.STAGED
        self._end_fetch(process, effect, delay_s, status, payload)

    def _end_fetch(
        self, process: Process, effect, delay_s: float, status, payload: bytes
    ) -> None:
        engine = self.hosts[process.identity.instance_id].engine
        is_staged = status is transfer_events.FetchStatus.STAGED
        digest = effect.chunk_hash if is_staged else data.ChunkHash("")
        ended = transfer_events.FetchEnded(effect.fetch_id, status, digest)

        def finish_fetch() -> None:
            if effect.fetch_id not in process.fetches:
                return
            process.fetches.discard(effect.fetch_id)
            if is_staged:
                engine.stage(effect.chunk_hash, payload)
            self._deliver(process.identity, 0.0, ended)

        self.call_later(delay_s, finish_fetch)

    def _cancel_fetch(
        self, process: Process, effect: transfer_events.CancelFetch
    ) -> None:
        process.fetches.discard(effect.fetch_id)

    def _send_dispatch(
        self, process: Process, effect: request_events.SendDispatch
    ) -> None:
        call = OpenDispatch(process.identity, effect.address, effect.dispatch)
        key = (process.identity, *_get_attempt_key(call))
        self._open_dispatches[key] = call
        self.call_later(NETWORK_DELAY_S, lambda: self._receive_dispatch(call))
        if self.random.random() < self.loss_ratio:
            copy = OpenDispatch(
                process.identity, effect.address, effect.dispatch, closed=True
            )
            delay_s = self.random.random() * MAX_MESSAGE_DELAY_S
            self.call_later(delay_s, lambda: self._receive_dispatch(copy))

    def _receive_dispatch(self, call: OpenDispatch) -> None:
        target = self._find_process(call.endpoint)
        if target is None:
            self._fail_dispatch(call, data.Reason.UNREACHABLE, sent=False)
            return
        if self._is_partitioned(call.entry, target.identity):
            return
        call.stream = next(self._numbers)
        target.streams[call.stream] = call
        body_hash = hash(call.dispatch.request.idempotency_key)
        event = dispatch_events.DispatchReceived(
            call.entry, call.dispatch, call.stream, body_hash
        )
        self.post(target.identity.instance_id, event)

    def _refuse_dispatch(
        self, process: Process, effect: dispatch_events.RefuseDispatch
    ) -> None:
        end = effect.end
        self.refusals[end.request_id, end.attempt] = end
        self._end_dispatch(process, effect)

    def _end_dispatch(self, process: Process, effect) -> None:
        self._return_answer(process, effect.stream, effect.end)

    def _replay_answer(
        self, process: Process, effect: dispatch_events.ReplayAnswer
    ) -> None:
        end = effect.end
        if effect.kept_key in process.kept_statuses:
            end = msgspec.structs.replace(
                end, outcome=data.Outcome.DONE, reason=data.Reason.NONE
            )
        self._return_answer(process, effect.stream, end)

    def _return_answer(
        self, process: Process, stream: int, end: data.AnswerEnd
    ) -> None:
        call = process.streams.pop(stream, None)
        if call is None or self._is_partitioned(process.identity, call.entry):
            return

        def deliver_end() -> None:
            if not call.closed:
                self._close_dispatch(call)
                self._deliver(call.entry, 0.0, request_events.AttemptEnded(end))

        self.call_later(NETWORK_DELAY_S, deliver_end)

    def _fail_dispatch(
        self, call: OpenDispatch, reason: data.Reason, sent: bool
    ) -> None:
        if call.closed:
            return
        self._close_dispatch(call)
        request_id, attempt = _get_attempt_key(call)
        event = request_events.AttemptFailed(request_id, attempt, reason, sent)
        self._deliver(call.entry, NETWORK_DELAY_S, event)

    def _close_dispatch(self, call: OpenDispatch) -> None:
        """Close a dispatch at its entry and cancel it at the endpoint process."""
        call.closed = True
        self._open_dispatches.pop((call.entry, *_get_attempt_key(call)), None)
        target = self._find_process(call.endpoint)
        if target is None or call.stream not in target.streams:
            return
        del target.streams[call.stream]
        if self._is_partitioned(call.entry, target.identity):
            return
        event = dispatch_events.DispatchCancelled(*_get_attempt_key(call), call.stream)
        self._deliver(target.identity, NETWORK_DELAY_S, event)

    def _cancel_attempt(
        self, process: Process, effect: request_events.CancelAttempt
    ) -> None:
        key = (process.identity, effect.request_id, effect.attempt)
        call = self._open_dispatches.get(key)
        if call is not None:
            self._close_dispatch(call)

    def _record_outcome(
        self, process: Process, effect: request_events.FinishRequest
    ) -> None:
        sent = self.sent_requests[effect.request_id]
        sent.outcomes.append(effect)
        sent.answered_s = self.now_s

    def _start_run(self, process: Process, effect: dispatch_events.StartRun) -> None:
        host = self.hosts[process.identity.instance_id]
        key = (effect.request_id, effect.attempt)
        started_s = self.now_s
        self.runs.append((started_s, process.identity.instance_id))
        reason = data.Reason.NONE
        is_started = True
        if host.kind is data.ServiceKind.PLAIN:
            name = effect.request.idempotency_key
            # The service executes a call that was sent even if the process dies.
            self.call_later(
                NETWORK_DELAY_S, lambda: host.plain_service.executions.update([name])
            )
        elif host.engine.status.active_version != effect.version:
            reason, is_started = data.Reason.WRONG_VERSION, False
        if is_started and self.random.random() < self.loss_ratio:
            reason = data.Reason.STREAM_BROKE

        def end(why: data.Reason = reason) -> None:
            if process.runs.pop(key, None) is None:
                return
            is_complete = why is data.Reason.NONE
            if is_complete:
                process.kept_statuses[key] = 200
            ended = dispatch_events.RunEnded(
                request_id=effect.request_id,
                attempt=effect.attempt,
                ok=is_complete,
                status=200,
                started=is_started,
                detail="",
                service_time_s=self.now_s - started_s,
                reason=why,
            )
            self._deliver(process.identity, 0.0, ended)

        process.runs[key] = end
        self.call_later(
            NETWORK_DELAY_S + self.random.random() * MAX_SERVICE_TIME_S, end
        )

    def _cancel_run(self, process: Process, effect: dispatch_events.CancelRun) -> None:
        end = process.runs.get((effect.request_id, effect.attempt))
        if end is not None:
            end(data.Reason.CANCELLED)

    def _record_answer(self, process: Process, effect) -> None:
        self.answers.append(effect)

    def _count_log_line(self, process: Process, effect: effects.Log) -> None:
        self.log_counts[effect.event] += 1


def _get_attempt_key(call: OpenDispatch) -> tuple[data.RequestId, int]:
    return call.dispatch.request.request_id, call.dispatch.attempt


EFFECT_HANDLERS = {
    effects.Send: SystemSimulation._send_message,
    effects.KvWatch: SystemSimulation._add_watch,
    effects.EngineOrder: SystemSimulation._order_engine,
    effects.ReadEngineStatus: SystemSimulation._read_status,
    effects.Log: SystemSimulation._count_log_line,
    transfer_events.ListStaging: SystemSimulation._list_staging,
    transfer_events.ReadManifest: SystemSimulation._read_manifest,
    transfer_events.DeleteChunks: SystemSimulation._delete_chunks,
    transfer_events.FetchFromPeer: SystemSimulation._fetch_from_peer,
    transfer_events.FetchFromOrigin: SystemSimulation._fetch_from_origin,
    transfer_events.CancelFetch: SystemSimulation._cancel_fetch,
    request_events.SendDispatch: SystemSimulation._send_dispatch,
    request_events.CancelAttempt: SystemSimulation._cancel_attempt,
    request_events.FinishRequest: SystemSimulation._record_outcome,
    dispatch_events.RefuseDispatch: SystemSimulation._refuse_dispatch,
    dispatch_events.EndDispatch: SystemSimulation._end_dispatch,
    dispatch_events.ReplayAnswer: SystemSimulation._replay_answer,
    dispatch_events.StartRun: SystemSimulation._start_run,
    dispatch_events.CancelRun: SystemSimulation._cancel_run,
    plan_requests.PlanAnswered: SystemSimulation._record_answer,
    confirmations.ConfirmAnswered: SystemSimulation._record_answer,
}
