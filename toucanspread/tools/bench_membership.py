"""Measures membership against fleet size in virtual time.

Prints ``name=value`` lines. All entries are real machines; of the endpoint processes
a few are, the others send the same reports by a script. Bytes count the datagram and
``HEADER_BYTES`` for IP and UDP. Run it as
``python -m toucanspread.tools.bench_membership [ENTRIES ...]``.
"""

import collections
import sys
import time
import tracemalloc

import msgspec

from toucanspread.core import data, effects, events, machine, membership, reporting
from toucanspread.core import membership_messages as messages
from toucanspread.ops import codec
from toucanspread.tools import virtual_network

SIZES = (44, 88, 175, 350)
ENDPOINTS_PER_ENTRY = 7_500 / 350
ZONES = ("za", "zb", "zc", "zd", "ze")
REGIONS = {"za": "ra", "zb": "ra", "zc": "ra", "zd": "rb", "ze": "rb"}
SERVICES = 50
HEADER_BYTES = 28
WARM_UP_S = 60.0
STEADY_S = 10.0
DETECTION_S = 60.0
SAMPLED = 5  # entries, and real endpoint processes
KILLED_ENTRIES = 2
KILLED_ENDPOINTS = 10
SEED = 3
REAL_INCARNATION = data.Incarnation(1_733_262_000_000)


def identity(kind: str, number: int) -> data.Identity:
    """Return the identity of a process of the bench."""
    zone = ZONES[number % len(ZONES)]
    return data.Identity(
        data.InstanceId(f"{zone}-{kind}-{number}"),
        data.Role(kind),
        REAL_INCARNATION,
        data.ZoneName(zone),
        data.RegionName(REGIONS[zone]),
        data.Address(f"10.{number // 250}.{number % 250}.{len(kind)}:7000"),
        data.Address("10.100.200.250:8000" if kind == "entry" else ""),
    )


class ScriptedEndpoint:
    """Sends what an endpoint process sends, without its own view of the fleet."""

    def __init__(self, who: data.Identity, chosen: list[data.Identity], service: str):
        self.node = machine.Node(who, 0)
        self._chosen = chosen
        self._ids = {entry.instance_id for entry in chosen}
        self._whole = _report(who, service)
        self._sequence = 1

    def step(self, now_s: float, event: data.Event) -> list[data.Effect]:
        """Report at each tick and answer probes."""
        if isinstance(event, events.Tick):
            return self._report()
        if isinstance(event.message, reporting.ReportWanted):
            return [effects.Send(event.sender.address, self._whole)]
        if isinstance(event.message, messages.Ping):
            reports = event.sender.instance_id in self._ids
            ack = messages.Ack(event.message.number, reports=reports)
            return [effects.Send(event.sender.address, ack)]
        return []

    def _report(self) -> list[data.Effect]:
        message = self._whole
        if self._sequence > 1:
            load = (self._sequence % 8, 0, 0.8)
            message = reporting.LoadReport(self._sequence, 1, load)
        self._sequence += 1
        return [effects.Send(entry.address, message) for entry in self._chosen]


class Meter:
    """Counts bytes and messages by process, and processor time of sampled ones."""

    def __init__(self, network: virtual_network.VirtualNetwork, sampled: set):
        self._network = network
        self._sampled = sampled
        self.sent = collections.Counter()
        self.received = collections.Counter()
        self.messages = collections.Counter()
        self.busy_s = collections.Counter()
        self.events = collections.Counter()
        self.kinds = collections.Counter()
        self.peak = collections.Counter()

    def begin(self) -> None:
        """Begin to count anew."""
        self._network.step_machine = self._step
        self._network.on_effect = self._on_effect
        for counter in (self.sent, self.received, self.messages, self.peak):
            counter.clear()
        for counter in (self.busy_s, self.events, self.kinds):
            counter.clear()

    def end(self) -> None:
        """Stop counting."""
        self._network.on_effect = None

    def _step(self, stepper, now_s: float, event: data.Event) -> list[data.Effect]:
        address = stepper.node.identity.address
        if address not in self._sampled:
            return stepper.step(now_s, event)
        begun_s = time.perf_counter()
        found = stepper.step(now_s, event)
        taken_s = time.perf_counter() - begun_s
        self.busy_s[address] += taken_s
        kind = type(event)
        if kind is events.MessageReceived:
            kind = type(event.message)
        self.busy_s[kind] += taken_s
        self.events[kind] += 1
        return found

    def _on_effect(self, stepper, effect: data.Effect) -> None:
        if not isinstance(effect, effects.Send):
            return
        size = len(codec.encode_short(2**63, effect.message)) + HEADER_BYTES
        sender = stepper.node.identity.address
        second = int(self._network.now_s)
        for address, counter in ((sender, self.sent), (effect.to, self.received)):
            counter[address] += size
            self.messages[address] += 1
            self.peak[address, second] += size
        self.kinds[type(effect.message).__name__] += size


class Fleet:
    """The processes of one size."""

    def __init__(self, entry_count: int):
        self.endpoint_count = round(entry_count * ENDPOINTS_PER_ENTRY)
        self.entries = [identity("entry", number) for number in range(entry_count)]
        self.endpoints = [
            identity("endpoint", number) for number in range(self.endpoint_count)
        ]
        self.network = virtual_network.VirtualNetwork(SEED)
        self.chosen: dict[data.InstanceId, tuple[data.InstanceId, ...]] = {}
        self.machines: dict[data.InstanceId, machine.Machine] = {}
        self.sampled = {who.address for who in self.entries[:SAMPLED]}
        self._start_entries()
        self._start_endpoints()
        self.meter = Meter(self.network, self.sampled | self._real_endpoints())

    def _start_entries(self) -> None:
        whole = tuple(_listed(who) for who in self.entries + self.endpoints)
        short = whole[: len(self.entries)]
        for who in self.entries:
            stepper = _build(who)
            self.machines[who.instance_id] = stepper
            self.network.add(stepper)
            shown = whole if who.address in self.sampled else short
            self.network.post(who.address, events.InstanceListRead(shown))

    def _start_endpoints(self) -> None:
        by_id = {who.instance_id: who for who in self.entries}
        chooser = _build(self.endpoints[0])
        listed = tuple(_listed(who) for who in self.entries)
        chooser.step(0.0, events.InstanceListRead(listed))
        for number, who in enumerate(self.endpoints):
            chooser.node.identity = who
            chosen = reporting.choose(chooser.node)
            self.chosen[who.instance_id] = chosen
            if number < SAMPLED:
                stepper = _build(who)
                stepper.step(0.0, events.InstanceListRead(listed))
                self.machines[who.instance_id] = stepper
            else:
                service = f"service-{number % SERVICES}"
                targets = [by_id[name] for name in chosen]
                stepper = ScriptedEndpoint(who, targets, service)
            is_real = number < SAMPLED
            self.network.add(stepper, virtual_network.TICK_S if is_real else 1.0)

    def _real_endpoints(self) -> set[data.Address]:
        return {who.address for who in self.endpoints[:SAMPLED]}

    def believes_dead(self, at: data.Identity, name: data.InstanceId) -> bool:
        """Return whether an entry believes a process dead."""
        member = self.machines[at.instance_id].node.membership.members.get(name)
        return member is None or not member.alive


def _build(who: data.Identity) -> machine.Machine:
    node = machine.Node(
        who,
        hash(who.instance_id) % 1_000 if who.role is data.Role.ENTRY else SEED,
        membership=membership.State(),
        reporting=reporting.State(),
    )
    return machine.Machine(node, [membership.HANDLERS, reporting.HANDLERS])


def _listed(who: data.Identity) -> data.Identity:
    return msgspec.structs.replace(who, incarnation=data.Incarnation(0))


def _report(who: data.Identity, service: str) -> data.Report:
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


def measure(entry_count: int) -> dict[str, float]:
    """Return the figures of one size."""
    fleet = Fleet(entry_count)
    fleet.network.run(WARM_UP_S)
    fleet.meter.begin()
    fleet.network.run(STEADY_S)
    fleet.meter.end()
    found = _steady(fleet)
    found.update(_evenness(fleet))
    found.update(_detection(fleet))
    return found


def _steady(fleet: Fleet) -> dict[str, float]:
    meter = fleet.meter
    addresses = [who.address for who in fleet.entries]
    found = {}
    for name, counter in (("sent", meter.sent), ("received", meter.received)):
        rates = [counter[address] / STEADY_S for address in addresses]
        found[f"entry_{name}_bytes_s_mean"] = sum(rates) / len(rates)
        found[f"entry_{name}_bytes_s_max"] = max(rates)
    rates = [meter.messages[address] / STEADY_S for address in addresses]
    found["entry_messages_s_mean"] = sum(rates) / len(rates)
    busy_s = sum(meter.busy_s[address] for address in fleet.sampled)
    found["entry_busy_ms_s"] = 1000 * busy_s / SAMPLED / STEADY_S
    real = fleet.endpoints[:SAMPLED]
    endpoint_bytes = sum(
        meter.sent[who.address] + meter.received[who.address] for who in real
    )
    found["endpoint_bytes_s_mean"] = endpoint_bytes / SAMPLED / STEADY_S
    busy_s = sum(meter.busy_s[who.address] for who in real)
    found["endpoint_busy_ms_s"] = 1000 * busy_s / SAMPLED / STEADY_S
    for kind in (events.Tick, reporting.LoadReport, messages.Ping, messages.Ack):
        if meter.events[kind]:
            taken_us = 1e6 * meter.busy_s[kind] / meter.events[kind]
            found[f"{kind.__name__.lower()}_event_us"] = taken_us
    return found


def _evenness(fleet: Fleet) -> dict[str, float]:
    per_entry = collections.Counter(dict.fromkeys(fleet.machines, 0))
    for chosen in fleet.chosen.values():
        per_entry.update(chosen)
    counts = [per_entry[who.instance_id] for who in fleet.entries]
    knowing = collections.defaultdict(set)
    for number, who in enumerate(fleet.endpoints):
        knowing[number % SERVICES].update(fleet.chosen[who.instance_id])
    return {
        "entries_per_endpoint_min": min(map(len, fleet.chosen.values())),
        "entries_per_endpoint_max": max(map(len, fleet.chosen.values())),
        "endpoints_per_entry_min": min(counts),
        "endpoints_per_entry_mean": sum(counts) / len(counts),
        "endpoints_per_entry_max": max(counts),
        "entries_per_service_min": min(map(len, knowing.values())),
    }


def _detection(fleet: Fleet) -> dict[str, float]:
    """Kill a few processes and return when the last one had to know."""
    killed_entries = fleet.entries[-KILLED_ENTRIES:]
    killed_endpoints = fleet.endpoints[-KILLED_ENDPOINTS:]
    for who in killed_entries + killed_endpoints:
        fleet.network.remove(who.address)
    living = fleet.entries[:-KILLED_ENTRIES]
    waiting = {(at, who) for at in living for who in killed_entries}
    told = set()
    for who in killed_endpoints:
        for at in living:
            if at.instance_id in fleet.chosen[who.instance_id]:
                told.add((at, who))
    begun_s = fleet.network.now_s
    found = {"entry_death_known_by_all_s": -1.0, "endpoint_death_known_s": -1.0}
    while fleet.network.now_s < begun_s + DETECTION_S and (waiting or told):
        fleet.network.run(0.25)
        waiting = {pair for pair in waiting if not _knows(fleet, *pair)}
        told = {pair for pair in told if not _knows(fleet, *pair)}
        taken_s = fleet.network.now_s - begun_s
        if not waiting and found["entry_death_known_by_all_s"] < 0:
            found["entry_death_known_by_all_s"] = taken_s
        if not told and found["endpoint_death_known_s"] < 0:
            found["endpoint_death_known_s"] = taken_s
    return found


def _knows(fleet: Fleet, at: data.Identity, who: data.Identity) -> bool:
    return fleet.believes_dead(at, who.instance_id)


def measure_memory(entry_count: int) -> dict[str, float]:
    """Return what a view of the whole list takes."""
    endpoint_count = round(entry_count * ENDPOINTS_PER_ENTRY)
    stepper = _build(identity("entry", 0))
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    listed = [_listed(identity("entry", number)) for number in range(entry_count)]
    listed += [_listed(identity("endpoint", n)) for n in range(endpoint_count)]
    stepper.step(0.0, events.InstanceListRead(tuple(listed)))
    del listed
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"view_mb": (after - before) / 1e6}


def main() -> None:
    """Measure every size and print the figures."""
    sizes = [int(argument) for argument in sys.argv[1:]] or SIZES
    for size in sizes:
        found = {**measure(size), **measure_memory(size)}
        for name, value in found.items():
            print(f"membership_{name}_{size}={value:.4g}", flush=True)


if __name__ == "__main__":
    main()
