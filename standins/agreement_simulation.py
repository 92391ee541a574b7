"""Simulates the agreement of a small fleet in virtual time.

The reducers are real; membership, transfers and engines are minimal fakes. Messages can
be lost, duplicated and delayed. The key-value service can be unavailable, slow, lose
answers, or be restored to an older state.
"""

import copy
import heapq
import random

from toucanspread.core import data, effects, events, machine
from toucanspread.core.agreement import (
    config,
    config_gossip,
    config_watch,
    confirmations,
    controller,
    fleet_overview,
    leases,
    orders,
    plan_requests,
)
from toucanspread.core.gate import serving
from toucanspread.core.membership import reporting

TICK_S = 0.1
REPORT_INTERVAL_S = 1.0
STAGING_DELAY_S = 2.0
WALL_START_S = 1_800_000_000.0


class Member:
    """A process in the fake membership."""

    def __init__(self, identity: data.Identity):
        self.identity = identity
        self.state = data.MemberState.LIVE
        self.report: data.Report | None = None


class FakeMembership:
    """The fake membership of one process."""

    def __init__(self):
        self.members: dict[data.InstanceId, Member] = {}
        self.entry_ids: set[data.InstanceId] = set()


class FakeTransfer:
    """Stages each requested version after ``STAGING_DELAY_S``.

    :ivar due: time at which each version is staged.
    """

    def __init__(self):
        self.due: dict[data.ManifestHash, float] = {}


def _on_version_requested(node: machine.Node, event: events.VersionRequested) -> list:
    node.transfer.due[event.manifest_hash] = node.now_s + STAGING_DELAY_S
    return []


def _on_version_cancelled(node: machine.Node, event: events.VersionCancelled) -> list:
    node.transfer.due.pop(event.manifest_hash, None)
    return []


def _on_tick(node: machine.Node, event: events.Tick) -> list:
    staged = []
    for manifest_hash, due_s in [*node.transfer.due.items()]:
        if node.now_s >= due_s:
            del node.transfer.due[manifest_hash]
            staged.append(events.VersionStaged(manifest_hash, "w" + manifest_hash))
    return staged


TRANSFER_HANDLERS = {
    events.VersionRequested: _on_version_requested,
    events.VersionCancelled: _on_version_cancelled,
    events.Tick: _on_tick,
}


class FakeEngine:
    """A fake engine.

    :param checks_fence: whether the engine refuses orders with an old fencing number.
    """

    def __init__(self, checks_fence: bool = True):
        self.checks_fence = checks_fence
        self.fence = data.FencingNumber(0)
        self.digests: dict[data.VersionName, str] = {}
        self.active_version = data.VersionName("")
        self.executed_orders: list[effects.EngineOrder] = []

    def order(self, order: effects.EngineOrder) -> events.EngineOrderAnswered:
        """Execute an order at once."""
        if self.checks_fence:
            if order.fence < self.fence:
                return events.EngineOrderAnswered(order.operation_id, False, True)
            self.fence = order.fence
        self.executed_orders.append(order)
        if order.kind is data.OrderKind.LOAD:
            self.digests[order.version] = "w" + order.manifest_hash
        if order.kind is data.OrderKind.ACTIVATE:
            self.active_version = order.version
        if order.kind is data.OrderKind.UNLOAD:
            self.digests.pop(order.version, None)
        return events.EngineOrderAnswered(order.operation_id, True)

    def status(self) -> data.EngineStatus:
        """Return the engine's status."""
        return data.EngineStatus(self.fence, self.active_version, dict(self.digests))


class FakeKeyValue:
    """The fake key-value service.

    :ivar lose_answers: number of the next writes that take effect without an answer.
    :ivar drop_writes: number of the next writes that are lost before they take effect.
    """

    def __init__(self):
        self.values: dict[str, tuple[bytes, int]] = {}
        self.leases: dict[str, tuple[str, int, float]] = {}
        self.last_fence = 0
        self.watches: list[tuple[str, effects.KvWatch, float]] = []
        self.is_up = True
        self.delay_s = 0.002
        self.lose_answers = 0
        self.drop_writes = 0
        self.calls: dict[str, int] = {}
        self.read_bytes = 0

    def save(self) -> dict:
        """Return a copy of all values, from which they can be restored."""
        return copy.deepcopy(self.values)

    def call(self, now_s: float, effect: data.Effect) -> events.KvAnswered:
        """Execute a call that is not a watch."""
        name = type(effect).__name__
        self.calls[name] = self.calls.get(name, 0) + 1
        is_write = not isinstance(effect, effects.KvRead)
        if not self.is_up:
            status = data.KvStatus.UNKNOWN if is_write else data.KvStatus.NOT_APPLIED
            return self._answer(effect, status)
        if is_write and self.drop_writes > 0:
            self.drop_writes -= 1
            return self._answer(effect, data.KvStatus.UNKNOWN)
        answer = self._apply(now_s, effect)
        if is_write and self.lose_answers > 0:
            self.lose_answers -= 1
            return self._answer(effect, data.KvStatus.UNKNOWN)
        self.read_bytes += len(answer.value)
        return answer

    def _apply(self, now_s: float, effect: data.Effect) -> events.KvAnswered:
        if isinstance(effect, effects.KvRead):
            return self.read(effect)
        if isinstance(effect, effects.KvWrite):
            return self._write(effect)
        return self._change_lease(now_s, effect)

    def read(self, effect: effects.KvRead | effects.KvWatch) -> events.KvAnswered:
        """Return the key's value."""
        value, version = self.values.get(effect.key, (b"", 0))
        status = data.KvStatus.OK if version else data.KvStatus.ABSENT
        return self._answer(effect, status, value=value, version=version)

    def _write(self, effect: effects.KvWrite) -> events.KvAnswered:
        _, version = self.values.get(effect.key, (b"", 0))
        if version != effect.expected_version:
            return self._answer(effect, data.KvStatus.CONFLICT, version=version)
        self.values[effect.key] = (effect.value, version + 1)
        return self._answer(effect, data.KvStatus.OK, version=version + 1)

    def _change_lease(self, now_s: float, effect: data.Effect) -> events.KvAnswered:
        holder, fence, expires_s = self.leases.get(effect.key, ("", 0, 0.0))
        if isinstance(effect, effects.LeaseRelease):
            if (holder, fence) == (effect.holder, effect.fence):
                del self.leases[effect.key]
            return self._answer(effect, data.KvStatus.OK)
        is_live = now_s < expires_s
        if isinstance(effect, effects.LeaseRenew):
            is_granted = (holder, fence) == (effect.holder, effect.fence) and is_live
        else:
            is_granted = not is_live or holder == effect.holder
            fence = self.last_fence + 1
        if not is_granted:
            return self._answer(effect, data.KvStatus.CONFLICT, holder=holder)
        self.last_fence = max(self.last_fence, fence)
        self.leases[effect.key] = (effect.holder, fence, now_s + effect.ttl_s)
        return self._answer(effect, data.KvStatus.OK, fence=fence)

    def _answer(self, effect, status: data.KvStatus, **fields) -> events.KvAnswered:
        return events.KvAnswered(effect.operation_id, status, effect.key, **fields)


class Fleet:
    """Nodes, their messages and fakes of the other parts.

    :ivar loss_ratio: part of the messages that are lost; equal parts are delayed and
        duplicated.
    :ivar unreported_ids: endpoint processes whose reports are all lost.
    :ivar partitions: pairs of regions between which messages are lost.
    :ivar kv_cut_regions: regions without a connection to the key-value service.
    """

    def __init__(self, seed: int):
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.kv = FakeKeyValue()
        self.nodes: dict[data.InstanceId, machine.Node] = {}
        self.machines: dict[data.InstanceId, machine.Machine] = {}
        self.engines: dict[data.InstanceId, FakeEngine] = {}
        self.frozen: set[data.InstanceId] = set()
        self.unreported_ids: set[data.InstanceId] = set()
        self.partitions: set[frozenset[data.RegionName]] = set()
        self.kv_cut_regions: set[data.RegionName] = set()
        self.loss_ratio = 0.0
        self.answers: list[
            confirmations.ConfirmAnswered | plan_requests.PlanAnswered
        ] = []
        self.logs: list[tuple[float, data.InstanceId, effects.Log]] = []
        self.message_counts: dict[str, int] = {}
        self.orders: list[data.Order] = []
        self._queue: list = []
        self._count = 0
        self._next_report_s = 0.0
        self._incarnation = 0
        self._sequence = 0

    def add(
        self,
        name: str,
        role: data.Role,
        zone: str,
        region: str,
        kind: data.ServiceKind = data.ServiceKind.MODEL,
        service: str = "",
    ) -> machine.Node:
        """Start a process; it replaces an earlier one of the same instance."""
        self._incarnation += 1
        identity = data.Identity(
            data.InstanceId(name),
            role,
            data.Incarnation(self._incarnation),
            data.ZoneName(zone),
            data.RegionName(region),
            data.Address(name),
        )
        node = machine.Node(
            identity,
            self.random.getrandbits(32),
            membership=FakeMembership(),
            config=config.State(),
            config_gossip=config_gossip.State(),
        )
        modules = [config_gossip.HANDLERS]
        if role is data.Role.ENTRY:
            node.config_watch = config_watch.State()
            node.fleet_overview = fleet_overview.State()
            node.plan_requests = plan_requests.State()
            node.confirmations = confirmations.State()
            node.leases = leases.State()
            node.controller = controller.State()
            modules += [config_watch.HANDLERS, leases.HANDLERS, fleet_overview.HANDLERS]
            modules += [
                plan_requests.HANDLERS,
                confirmations.HANDLERS,
                controller.HANDLERS,
            ]
        else:
            node.orders = orders.State(kind, data.ServiceName(service))
            node.transfer = FakeTransfer()
            modules += [orders.HANDLERS, TRANSFER_HANDLERS]
            self.engines.setdefault(node.identity.instance_id, FakeEngine())
        self.nodes[identity.instance_id] = node
        self.machines[identity.instance_id] = machine.Machine(node, modules)
        self.frozen.discard(identity.instance_id)
        self._update_memberships()
        return node

    def remove(self, name: str) -> None:
        """Remove a process that has died."""
        del self.nodes[name]
        del self.machines[name]
        self._update_memberships()

    def list_entries(self) -> list[machine.Node]:
        """Return the nodes of all entries."""
        return self._list_nodes(data.Role.ENTRY)

    def list_endpoints(self) -> list[machine.Node]:
        """Return the nodes of all endpoint processes."""
        return self._list_nodes(data.Role.ENDPOINT)

    def _list_nodes(self, role: data.Role) -> list[machine.Node]:
        return [node for node in self.nodes.values() if node.identity.role is role]

    def post(self, name: str, event: data.Event) -> None:
        """Pass an event to a process and execute the effects."""
        if name not in self.machines:
            return
        node = self.nodes[name]
        node.wall_s = WALL_START_S + self.now_s
        if name in self.frozen:
            if not isinstance(event, events.Tick):
                self._schedule_event(1.0, name, event)
            return
        for effect in self.machines[name].step(self.now_s, event):
            self._carry_out(node, effect)

    def run(self, duration_s: float) -> None:
        """Advance the time."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s - 1e-9:
            next_s = round(self.now_s + TICK_S, 6)
            while self._queue and self._queue[0][0] <= next_s:
                due_s, _, name, incarnation, event = heapq.heappop(self._queue)
                self.now_s = max(self.now_s, due_s)
                node = self.nodes.get(name)
                if node is not None and node.identity.incarnation == incarnation:
                    self.post(name, event)
            self.now_s = next_s
            self._answer_watches()
            if self.now_s >= self._next_report_s:
                self._next_report_s = self.now_s + REPORT_INTERVAL_S
                self._deliver_reports()
            for name in [*self.machines]:
                self.post(name, events.Tick(WALL_START_S + self.now_s))

    def _update_memberships(self) -> None:
        """Update the fake membership of each process to the current processes."""
        for node in self.nodes.values():
            members = node.membership.members
            for name in [*members]:
                if name not in self.nodes:
                    del members[name]
            for other in self.nodes.values():
                name = other.identity.instance_id
                if name not in members or members[name].identity != other.identity:
                    members[name] = Member(other.identity)
            node.membership.entry_ids = {
                name
                for name, member in members.items()
                if member.identity.role is data.Role.ENTRY
                and name != node.identity.instance_id
            }

    def _deliver_reports(self) -> None:
        for node in self.list_endpoints():
            if node.identity.instance_id in self.frozen | self.unreported_ids:
                continue
            report = self._make_report(node)
            for name in reporting.choose_entries(node):
                entry = self.nodes[name]
                if self._is_lost(node.identity, entry.identity):
                    continue
                member = entry.membership.members.get(node.identity.instance_id)
                if member is None:
                    continue
                member.report = report
                self._schedule_event(0.002, name, events.ReportReceived(report))

    def _make_report(self, node: machine.Node) -> data.Report:
        self._sequence += 1
        state = node.orders
        served = state.serving
        target = state.target
        live_state = data.MemberState.LIVE
        return data.Report(
            node.identity,
            self._sequence,
            data.MemberState.LEAVING if state.draining else live_state,
            service=served.service if served else "",
            kind=state.kind,
            offers=state.service,
            model=served.model if served else "",
            version=served.version if served else "",
            manifest_hash=served.manifest_hash if served else "",
            adapters=served.adapters if served else (),
            revision=node.config.revision,
            fence=state.fence,
            target_version=target.version
            if target and state.phase is not serving.Phase.IDLE
            else "",
        )

    def _carry_out(self, node: machine.Node, effect: data.Effect) -> None:
        name = node.identity.instance_id
        if isinstance(effect, effects.Send):
            self._send(node, effect)
        elif isinstance(effect, effects.KvWatch):
            self.kv.calls["KvWatch"] = self.kv.calls.get("KvWatch", 0) + 1
            self.kv.watches.append((name, effect, self.now_s + effect.wait_s))
        elif hasattr(effect, "key"):
            self._call_key_value(node, effect)
        elif isinstance(effect, effects.EngineOrder):
            self._schedule_event(0.01, name, self.engines[name].order(effect))
        elif isinstance(effect, effects.ReadEngineStatus):
            status = self.engines[name].status()
            self._schedule_event(0.01, name, events.EngineStatusReported(status))
        elif isinstance(effect, effects.Log):
            self.logs.append((self.now_s, name, effect))
        elif isinstance(
            effect, confirmations.ConfirmAnswered | plan_requests.PlanAnswered
        ):
            self.answers.append(effect)

    def _call_key_value(self, node: machine.Node, effect: data.Effect) -> None:
        name = node.identity.instance_id
        if node.identity.region in self.kv_cut_regions:
            status = data.KvStatus.NOT_APPLIED
            answer = events.KvAnswered(effect.operation_id, status, effect.key)
        else:
            answer = self.kv.call(self.now_s, effect)
        self._schedule_event(self.kv.delay_s, name, answer)

    def _send(self, node: machine.Node, effect: effects.Send) -> None:
        kind = type(effect.message).__name__
        self.message_counts[kind] = self.message_counts.get(kind, 0) + 1
        if isinstance(effect.message, data.Order):
            self.orders.append(effect.message)
        target = self.nodes.get(effect.to)
        if target is None or self._is_lost(node.identity, target.identity):
            return
        event = events.MessageReceived(node.identity, effect.message)
        delay_s = 0.002
        if self.loss_ratio and self.random.random() < self.loss_ratio:
            delay_s = self.random.random() * 5.0
        self._schedule_event(delay_s, effect.to, event)
        if self.loss_ratio and self.random.random() < self.loss_ratio:
            self._schedule_event(self.random.random() * 5.0, effect.to, event)

    def _is_lost(self, left: data.Identity, right: data.Identity) -> bool:
        if frozenset((left.region, right.region)) in self.partitions:
            return True
        return self.loss_ratio > 0 and self.random.random() < self.loss_ratio

    def _schedule_event(self, delay_s: float, name: str, event: data.Event) -> None:
        self._count += 1
        incarnation = self.nodes[name].identity.incarnation
        entry = (self.now_s + delay_s, self._count, name, incarnation, event)
        heapq.heappush(self._queue, entry)

    def _answer_watches(self) -> None:
        watches, self.kv.watches = self.kv.watches, []
        for name, effect, until_s in watches:
            node = self.nodes.get(name)
            if node is None:
                continue
            is_cut = node.identity.region in self.kv_cut_regions
            if not self.kv.is_up or is_cut:
                status = data.KvStatus.NOT_APPLIED
                answer = events.KvAnswered(effect.operation_id, status, effect.key)
            else:
                answer = self.kv.read(effect)
                if answer.version <= effect.after_version and self.now_s < until_s:
                    self.kv.watches.append((name, effect, until_s))
                    continue
                if answer.version <= effect.after_version:
                    answer = events.KvAnswered(
                        effect.operation_id,
                        data.KvStatus.UNCHANGED,
                        effect.key,
                        version=answer.version,
                    )
                self.kv.read_bytes += len(answer.value)
            self._schedule_event(self.kv.delay_s, name, answer)
