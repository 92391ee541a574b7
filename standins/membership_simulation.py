"""Simulates the membership of a large fleet in virtual time and measures its messages.

The ratio of endpoint processes to entries is that of the target. All entries and a few
endpoint processes are real machines; the other endpoint processes send the same reports
from a script.
"""

import collections
import time

import msgspec

from standins import simulated_network
from toucanspread.core import data, effects, events, machine, rendezvous
from toucanspread.core.membership import membership, reporting
from toucanspread.core.membership import membership_messages as messages
from toucanspread.ops import codec

ENDPOINTS_PER_ENTRY = 7_500 / 350
ZONES = ("za", "zb", "zc", "zd", "ze")
REGIONS = {"za": "ra", "zb": "ra", "zc": "ra", "zd": "rb", "ze": "rb"}
SERVICE_COUNT = 50
HEADER_BYTES = 28  # IP and UDP
SAMPLED_COUNT = 5  # number of sampled entries, and of real endpoint processes
SEED = 3
FIRST_INCARNATION = 1_733_262_000_000


def make_identity(kind: str, number: int) -> data.Identity:
    """Return the identity of a process of the simulation."""
    zone = ZONES[number % len(ZONES)]
    return data.Identity(
        data.InstanceId(f"{zone}-{kind}-{number}"),
        data.Role(kind),
        data.Incarnation(FIRST_INCARNATION + number),
        data.ZoneName(zone),
        data.RegionName(REGIONS[zone]),
        data.Address(f"10.{number // 250}.{number % 250}.{len(kind)}:7000"),
        data.Address("10.100.200.250:8000" if kind == "entry" else ""),
    )


class ScriptedEndpoint:
    """Sends the messages of an endpoint process, without a view of the fleet."""

    def __init__(self, who: data.Identity, chosen: list[data.Identity], service: str):
        self.node = machine.Node(who, 0)
        self._chosen = chosen
        self._ids = {entry.instance_id for entry in chosen}
        self._full_report = _make_report(who, service)
        self._sequence = 1

    def step(self, now_s: float, event: data.Event) -> list[data.Effect]:
        """Send a report at each tick, and answer probes and requests for reports."""
        if isinstance(event, events.Tick):
            return self._report()
        if isinstance(event.message, reporting.FullReportRequest):
            return [effects.Send(event.sender.address, self._full_report)]
        if isinstance(event.message, messages.Ping):
            reports = event.sender.instance_id in self._ids
            ack = messages.Ack(event.message.number, reports=reports)
            return [effects.Send(event.sender.address, ack)]
        return []

    def _report(self) -> list[data.Effect]:
        message = self._full_report
        if self._sequence > 1:
            load = (self._sequence % 8, 0, 0.8)
            message = reporting.LoadReport(self._sequence, 1, load)
        self._sequence += 1
        return [effects.Send(entry.address, message) for entry in self._chosen]


class Meter:
    """Counts bytes and messages by process, and processor time of sampled processes."""

    def __init__(self, network: simulated_network.SimulatedNetwork, sampled: set):
        self._network = network
        self._sampled = sampled
        self.sent_bytes = collections.Counter()
        self.received_bytes = collections.Counter()
        self.message_counts = collections.Counter()
        self.busy_s = collections.Counter()
        self.event_counts = collections.Counter()
        self.bytes_by_message_type = collections.Counter()
        self.bytes_by_second = collections.Counter()

    def start(self) -> None:
        """Reset all counters and start to count."""
        self._network.step_machine = self._step
        self._network.on_effect = self._on_effect
        for counter in (
            self.sent_bytes,
            self.received_bytes,
            self.message_counts,
            self.bytes_by_second,
        ):
            counter.clear()
        for counter in (self.busy_s, self.event_counts, self.bytes_by_message_type):
            counter.clear()

    def stop(self) -> None:
        """Stop counting."""
        self._network.on_effect = None

    def _step(self, stepper, now_s: float, event: data.Event) -> list[data.Effect]:
        address = stepper.node.identity.address
        if address not in self._sampled:
            return stepper.step(now_s, event)
        started_s = time.perf_counter()
        outputs = stepper.step(now_s, event)
        elapsed_s = time.perf_counter() - started_s
        self.busy_s[address] += elapsed_s
        kind = type(event)
        if kind is events.MessageReceived:
            kind = type(event.message)
        self.busy_s[kind] += elapsed_s
        self.event_counts[kind] += 1
        return outputs

    def _on_effect(self, stepper, effect: data.Effect) -> None:
        if not isinstance(effect, effects.Send):
            return
        size = len(codec.encode_short(2**63, effect.message)) + HEADER_BYTES
        sender = stepper.node.identity.address
        second = int(self._network.now_s)
        for address, counter in (
            (sender, self.sent_bytes),
            (effect.to, self.received_bytes),
        ):
            counter[address] += size
            self.message_counts[address] += 1
            self.bytes_by_second[address, second] += size
        self.bytes_by_message_type[type(effect.message).__name__] += size


class Fleet:
    """The processes of a fleet.

    :ivar chosen_entries: entries to which each endpoint process reports.
    :ivar sampled: addresses of the sampled entries.
    """

    def __init__(self, entry_count: int):
        self.endpoint_count = round(entry_count * ENDPOINTS_PER_ENTRY)
        self.entries = [make_identity("entry", number) for number in range(entry_count)]
        self.endpoints = [
            make_identity("endpoint", number) for number in range(self.endpoint_count)
        ]
        self.network = simulated_network.SimulatedNetwork(SEED)
        self.chosen_entries: dict[data.InstanceId, tuple[data.InstanceId, ...]] = {}
        self.machines: dict[data.InstanceId, machine.Machine] = {}
        self.sampled = {who.address for who in self.entries[:SAMPLED_COUNT]}
        self._start_entries()
        self._start_endpoints()
        self.meter = Meter(self.network, self.sampled | self._real_endpoints())

    def _start_entries(self) -> None:
        all_listed = tuple(
            make_listed_identity(who) for who in self.entries + self.endpoints
        )
        entries_listed = all_listed[: len(self.entries)]
        for who in self.entries:
            stepper = build_machine(who)
            self.machines[who.instance_id] = stepper
            self.network.add(stepper)
            shown = all_listed if who.address in self.sampled else entries_listed
            self.network.post(who.address, events.InstanceListRead(shown))

    def _start_endpoints(self) -> None:
        by_id = {who.instance_id: who for who in self.entries}
        chooser = build_machine(self.endpoints[0])
        shown = tuple(make_listed_identity(who) for who in self.entries)
        chooser.step(0.0, events.InstanceListRead(shown))
        for number, who in enumerate(self.endpoints):
            chooser.node.identity = who
            chosen = reporting.choose_entries(chooser.node)
            self.chosen_entries[who.instance_id] = chosen
            if number < SAMPLED_COUNT:
                stepper = build_machine(who)
                stepper.step(0.0, events.InstanceListRead(shown))
                self.machines[who.instance_id] = stepper
            else:
                service = f"service-{number % SERVICE_COUNT}"
                targets = [by_id[name] for name in chosen]
                stepper = ScriptedEndpoint(who, targets, service)
            is_real = number < SAMPLED_COUNT
            self.network.add(stepper, simulated_network.TICK_S if is_real else 1.0)

    def _real_endpoints(self) -> set[data.Address]:
        return {who.address for who in self.endpoints[:SAMPLED_COUNT]}

    def is_believed_dead(self, at: data.Identity, name: data.InstanceId) -> bool:
        """Return whether an entry regards a process as dead or does not know it."""
        member = self.machines[at.instance_id].node.membership.members.get(name)
        return member is None or not member.is_alive


def build_machine(who: data.Identity) -> machine.Machine:
    """Return a machine that has only the membership modules."""
    node = machine.Node(
        who,
        rendezvous.compute_weight(str(SEED), who.instance_id),
        membership=membership.State(),
        reporting=reporting.State(),
    )
    return machine.Machine(node, [membership.HANDLERS, reporting.HANDLERS])


def make_listed_identity(who: data.Identity) -> data.Identity:
    """Return an identity as in the platform's instance list."""
    return msgspec.structs.replace(who, incarnation=data.Incarnation(0))


def _make_report(who: data.Identity, service: str) -> data.Report:
    return data.Report(
        who,
        1,
        data.MemberState.LIVE,
        data.ServiceName(service),
        model=data.ModelName("model"),
        version=data.VersionName("v12"),
        manifest_hash=data.ManifestHash("a" * 64),
        load=data.Load(3, 0, 8, 0.8),
        revision=data.Revision(100_000),
    )
