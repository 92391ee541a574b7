"""Simulates a whole system in virtual time, with a fake platform and faults.

Entries and endpoint processes are the same machines as in the daemons. This module only
executes their effects: messages, dispatches, chunk transfers and calls to the platform.
It makes no decision of the system. All random values come from one seed.
"""

import collections
import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from standins import (
    simulated_platform,
    system_dispatches,
    system_parts,
    system_runs,
    system_transfers,
)
from toucanspread.core import data, effects, events, roles
from toucanspread.core.agreement import confirmations, plan_requests, plans
from toucanspread.core.requests import request_events

TICK_S = 0.1
LIST_INTERVAL_S = 2.0
LIST_DELAY_S = 3.0
WALL_START_S = 1_800_000_000.0
MAX_ORDER_DURATION_S = 0.2
# Time after the end of its budget by which a request must have ended.
ANSWER_MARGIN_S = 1.0


class SystemSimulation(system_parts.System):
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
        self.hosts: dict[data.InstanceId, system_parts.InstanceHost] = {}
        self.processes: dict[data.InstanceId, system_parts.Process] = {}
        self.partitions: set[frozenset[data.RegionName]] = set()
        self.loss_ratio = 0.0
        self.corrupting_ids: set[data.InstanceId] = set()
        self.sent_requests: dict[data.RequestId, system_parts.SentRequest] = {}
        self.answers: list[
            plan_requests.PlanAnswered | confirmations.ConfirmAnswered
        ] = []
        self.log_counts: collections.Counter[str] = collections.Counter()
        self.exited_ids: list[data.InstanceId] = []
        self.runs: list[tuple[float, data.InstanceId]] = []
        self.refusals: dict[data.AttemptKey, data.AnswerEnd] = {}
        self.thawed_s: dict[data.InstanceId, float] = {}
        self._queue: list = []
        self._queue_numbers = itertools.count()
        self._numbers = itertools.count(1)
        self._incarnation = 0
        self._list_history: list[tuple[float, tuple[data.Identity, ...]]] = []
        self._next_list_s = 0.0
        self._next_tick_s = TICK_S
        self._dispatches = system_dispatches.Dispatches(self)
        self._handlers = {
            effects.Send: self._send_message,
            effects.KvWatch: self._add_watch,
            effects.EngineOrder: self._order_engine,
            effects.ReadEngineStatus: self._read_status,
            effects.Log: self._count_log_line,
            request_events.FinishRequest: self._record_outcome,
            plan_requests.PlanAnswered: self._record_answer,
            confirmations.ConfirmAnswered: self._record_answer,
            **self._dispatches.handlers(),
            **system_transfers.Transfers(self).handlers(),
            **system_runs.Runs(self).handlers(),
        }

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
        self.hosts[identity.instance_id] = system_parts.InstanceHost(
            identity, service, checks_fence
        )
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
        self.processes[name] = system_parts.Process(stepper)

    def kill(self, name: data.InstanceId) -> None:
        """Kill a process; its connections break."""
        process = self.processes.pop(name)
        self._dispatches.on_process_killed(process)

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
        self.sent_requests[request.request_id] = system_parts.SentRequest(
            request, entry, incarnation, self.now_s
        )
        self.post(entry, request_events.RequestReceived(request))

    def propose(self, entry: data.InstanceId, *intents: data.Intent) -> None:
        """Confirm a plan of intents, as an operator, based on an entry's revision."""
        base = self.processes[entry].stepper.node.config.revision
        operation_id = data.OperationId(f"operation-{self.draw_number()}")
        plan_id = plans.compute_plan_id(base, intents, ())
        event = confirmations.ConfirmRequested(operation_id, base, intents, (), plan_id)
        self.post(entry, event)

    def draw_number(self) -> int:
        """Return a number that nothing else has."""
        return next(self._numbers)

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call a function after a delay."""
        entry = (self.now_s + delay_s, next(self._queue_numbers), action)
        heapq.heappush(self._queue, entry)

    def deliver(self, to: data.Identity, delay_s: float, event: data.Event) -> None:
        """Pass an event after a delay, unless the process was replaced meanwhile."""

        def deliver() -> None:
            process = self.processes.get(to.instance_id)
            if process is not None and process.identity == to:
                self.post(to.instance_id, event)

        self.call_later(delay_s, deliver)

    def is_partitioned(self, left: data.Identity, right: data.Identity) -> bool:
        """Return whether all traffic between two processes is lost."""
        return frozenset((left.region, right.region)) in self.partitions

    def find_process(self, address: data.Address) -> system_parts.Process | None:
        """Return the process at an address; None if none runs."""
        return self.processes.get(data.InstanceId(address))

    def _carry_out(
        self, name: data.InstanceId, process: system_parts.Process, effect: data.Effect
    ) -> None:
        handler = self._handlers.get(type(effect))
        if handler is not None:
            handler(process, effect)
        elif hasattr(effect, "operation_id") and hasattr(effect, "key"):
            answer = self.key_value.call(self.now_s, effect)
            self.deliver(process.identity, self.key_value.delay_s, answer)
        elif isinstance(effect, effects.Exit):
            self.exited_ids.append(name)
            self.processes.pop(name, None)

    def _send_message(
        self, process: system_parts.Process, effect: effects.Send
    ) -> None:
        target = self.find_process(effect.to)
        if target is None or self.is_partitioned(process.identity, target.identity):
            return
        event = events.MessageReceived(process.identity, effect.message)
        if self.random.random() >= self.loss_ratio:
            self.deliver(target.identity, system_parts.NETWORK_DELAY_S, event)
        if self.random.random() < self.loss_ratio:
            delay_s = self.random.random() * system_parts.MAX_MESSAGE_DELAY_S
            self.deliver(target.identity, delay_s, event)

    def _add_watch(
        self, process: system_parts.Process, effect: effects.KvWatch
    ) -> None:
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
            self.deliver(identity, self.key_value.delay_s, answer)

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
            self.deliver(process.identity, system_parts.NETWORK_DELAY_S, listed)

    def _order_engine(
        self, process: system_parts.Process, effect: effects.EngineOrder
    ) -> None:
        engine = self.hosts[process.identity.instance_id].engine
        identity = process.identity
        # The order takes effect even if the process dies before it is answered.
        answer_s = (
            system_parts.NETWORK_DELAY_S + MAX_ORDER_DURATION_S * self.random.random()
        )
        self.call_later(
            system_parts.NETWORK_DELAY_S,
            lambda: self.deliver(identity, answer_s, engine.order(effect)),
        )

    def _read_status(
        self, process: system_parts.Process, effect: effects.ReadEngineStatus
    ) -> None:
        status = self.hosts[process.identity.instance_id].engine.status
        answer = events.EngineStatusReported(status)
        self.deliver(process.identity, system_parts.NETWORK_DELAY_S, answer)

    def _record_outcome(
        self, process: system_parts.Process, effect: request_events.FinishRequest
    ) -> None:
        sent = self.sent_requests[effect.request_id]
        sent.outcomes.append(effect)
        sent.answered_s = self.now_s

    def _record_answer(self, process: system_parts.Process, effect) -> None:
        self.answers.append(effect)

    def _count_log_line(
        self, process: system_parts.Process, effect: effects.Log
    ) -> None:
        self.log_counts[effect.event] += 1
