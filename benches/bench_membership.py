"""Measures membership by fleet size in virtual time.

Prints ``name=value`` lines; sizes include the IP and UDP headers of datagrams. Usage:
``python -m benches.bench_membership [ENTRIES ...]``.
"""

import asyncio
import collections
import sys
import time
import tracemalloc

import msgspec

from standins import membership_simulation
from toucanspread.core import data, events
from toucanspread.core.membership import membership_messages as messages
from toucanspread.core.membership import reporting
from toucanspread.ops import codec, datagram_transport, loop

ENTRY_COUNTS = (44, 88, 175, 350)
WARM_UP_S = 60.0
STEADY_STATE_S = 10.0
DETECTION_S = 60.0
ZONE_LOSS_S = 30.0
KILLED_ENTRIES = 2
KILLED_ENDPOINTS = 10
DATAGRAM_BATCH_SIZE = 20  # fits into the socket's receive buffer
DATAGRAM_BATCH_COUNT = 500


def measure(entry_count: int) -> dict[str, float]:
    """Return traffic, processor time and detection times of one fleet size."""
    fleet = membership_simulation.Fleet(entry_count)
    fleet.network.run(WARM_UP_S)
    fleet.meter.start()
    fleet.network.run(STEADY_STATE_S)
    fleet.meter.stop()
    figures = _measure_steady_state(fleet)
    figures.update(_measure_report_targets(fleet))
    figures.update(_measure_detection(fleet))
    return figures


def _measure_steady_state(fleet: membership_simulation.Fleet) -> dict[str, float]:
    meter = fleet.meter
    addresses = [identity.address for identity in fleet.entries]
    figures = {}
    for name, counter in (
        ("sent", meter.sent_bytes),
        ("received", meter.received_bytes),
    ):
        rates = [counter[address] / STEADY_STATE_S for address in addresses]
        figures[f"entry_{name}_bytes_s_mean"] = sum(rates) / len(rates)
        figures[f"entry_{name}_bytes_s_max"] = max(rates)
    rates = [meter.message_counts[address] / STEADY_STATE_S for address in addresses]
    figures["entry_messages_s_mean"] = sum(rates) / len(rates)
    busy_s = sum(meter.busy_s[address] for address in fleet.sampled)
    figures["entry_busy_ms_s"] = (
        1000 * busy_s / membership_simulation.SAMPLED_COUNT / STEADY_STATE_S
    )
    sampled_endpoints = fleet.endpoints[: membership_simulation.SAMPLED_COUNT]
    endpoint_bytes = sum(
        meter.sent_bytes[identity.address] + meter.received_bytes[identity.address]
        for identity in sampled_endpoints
    )
    figures["endpoint_bytes_s_mean"] = (
        endpoint_bytes / membership_simulation.SAMPLED_COUNT / STEADY_STATE_S
    )
    busy_s = sum(meter.busy_s[identity.address] for identity in sampled_endpoints)
    figures["endpoint_busy_ms_s"] = (
        1000 * busy_s / membership_simulation.SAMPLED_COUNT / STEADY_STATE_S
    )
    for kind in (events.Tick, reporting.LoadReport, messages.Ping, messages.Ack):
        if meter.event_counts[kind]:
            taken_us = 1e6 * meter.busy_s[kind] / meter.event_counts[kind]
            figures[f"{kind.__name__.lower()}_event_us"] = taken_us
    return figures


def _measure_report_targets(fleet: membership_simulation.Fleet) -> dict[str, float]:
    per_entry = collections.Counter(dict.fromkeys(fleet.machines, 0))
    for chosen in fleet.chosen_entries.values():
        per_entry.update(chosen)
    endpoint_counts = [per_entry[identity.instance_id] for identity in fleet.entries]
    entries_by_service = collections.defaultdict(set)
    for number, identity in enumerate(fleet.endpoints):
        entries_by_service[number % membership_simulation.SERVICE_COUNT].update(
            fleet.chosen_entries[identity.instance_id]
        )
    return {
        "entries_per_endpoint_min": min(map(len, fleet.chosen_entries.values())),
        "entries_per_endpoint_max": max(map(len, fleet.chosen_entries.values())),
        "endpoints_per_entry_min": min(endpoint_counts),
        "endpoints_per_entry_mean": sum(endpoint_counts) / len(endpoint_counts),
        "endpoints_per_entry_max": max(endpoint_counts),
        "entries_per_service_min": min(map(len, entries_by_service.values())),
    }


def _measure_detection(fleet: membership_simulation.Fleet) -> dict[str, float]:
    """Kill a few processes and return the seconds until all observers know.

    Each remaining entry has to detect the dead entries, and those dead endpoints that
    reported to it. A value of -1 means that some did not within ``DETECTION_S``.
    """
    killed_entries = fleet.entries[-KILLED_ENTRIES:]
    killed_endpoints = fleet.endpoints[-KILLED_ENDPOINTS:]
    for identity in killed_entries + killed_endpoints:
        fleet.network.remove(identity.address)
    observers = fleet.entries[:-KILLED_ENTRIES]
    unaware_of_entries = {
        (observer, identity) for observer in observers for identity in killed_entries
    }
    unaware_of_endpoints = set()
    for identity in killed_endpoints:
        for observer in observers:
            if observer.instance_id in fleet.chosen_entries[identity.instance_id]:
                unaware_of_endpoints.add((observer, identity))
    started_s = fleet.network.now_s
    figures = {"entry_death_known_by_all_s": -1.0, "endpoint_death_known_s": -1.0}
    while fleet.network.now_s < started_s + DETECTION_S and (
        unaware_of_entries or unaware_of_endpoints
    ):
        fleet.network.run(0.25)
        unaware_of_entries = {
            pair for pair in unaware_of_entries if not _is_known_dead(fleet, *pair)
        }
        unaware_of_endpoints = {
            pair for pair in unaware_of_endpoints if not _is_known_dead(fleet, *pair)
        }
        taken_s = fleet.network.now_s - started_s
        if not unaware_of_entries and figures["entry_death_known_by_all_s"] < 0:
            figures["entry_death_known_by_all_s"] = taken_s
        if not unaware_of_endpoints and figures["endpoint_death_known_s"] < 0:
            figures["endpoint_death_known_s"] = taken_s
    return figures


def measure_zone_loss(entry_count: int) -> dict[str, float]:
    """Return the traffic at the other entries after the loss of a zone.

    ``zone_loss_wrong_beliefs`` counts wrong states of entries at the end.
    """
    fleet = membership_simulation.Fleet(entry_count)
    fleet.network.run(WARM_UP_S)
    lost_zone = membership_simulation.ZONES[0]
    observers = []
    for identity in fleet.entries + fleet.endpoints:
        if identity.zone == lost_zone:
            fleet.network.remove(identity.address)
        elif identity.role is data.Role.ENTRY:
            observers.append(identity)
    fleet.meter.start()
    fleet.network.run(ZONE_LOSS_S)
    fleet.meter.stop()
    peaks = []
    means = []
    for identity in observers:
        seconds = range(int(WARM_UP_S), int(WARM_UP_S + ZONE_LOSS_S))
        rates = [
            fleet.meter.bytes_by_second[identity.address, second] for second in seconds
        ]
        peaks.append(max(rates))
        means.append(sum(rates) / len(rates))
    wrong_count = 0
    for observer in observers:
        for member in fleet.machines[
            observer.instance_id
        ].node.membership.members.values():
            if member.identity.role is not data.Role.ENTRY:
                continue
            wrong_count += member.is_alive is (member.identity.zone == lost_zone)
    return {
        "zone_loss_bytes_s_max": max(peaks),
        "zone_loss_bytes_s_mean": sum(means) / len(means),
        "zone_loss_wrong_beliefs": wrong_count,
    }


def _is_known_dead(
    fleet: membership_simulation.Fleet, observer: data.Identity, member: data.Identity
) -> bool:
    return fleet.is_believed_dead(observer, member.instance_id)


def measure_memory(entry_count: int) -> dict[str, float]:
    """Return the memory of a membership state with the complete instance list."""
    endpoint_count = round(entry_count * membership_simulation.ENDPOINTS_PER_ENTRY)
    stepper = membership_simulation.build_machine(
        membership_simulation.make_identity("entry", 0)
    )
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    listed = [
        membership_simulation.make_listed_identity(
            membership_simulation.make_identity("entry", number)
        )
        for number in range(entry_count)
    ]
    listed += [
        membership_simulation.make_listed_identity(
            membership_simulation.make_identity("endpoint", n)
        )
        for n in range(endpoint_count)
    ]
    stepper.step(0.0, events.InstanceListRead(tuple(listed)))
    del listed
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"view_mb": (after - before) / 1e6}


def measure_sizes() -> dict[str, float]:
    """Return the sizes of messages as datagrams, including headers."""
    identity = membership_simulation.make_identity("endpoint", 7_499)
    reference = codec.compute_reference(identity)
    update = messages.make_update(identity, data.MemberState.DEAD, 0)
    messages_by_name = {
        "load_report": reporting.LoadReport(12_345, 12_300, (3, 2, 0.8)),
        "report_ack": messages.ReportAck(),
        "ping": messages.Ping(12_345),
        "ping_with_update": messages.Ping(12_345, (update,)),
    }
    figures = {}
    for name, message in messages_by_name.items():
        payload = codec.encode_short(reference, message)
        figures[f"{name}_bytes"] = len(payload) + membership_simulation.HEADER_BYTES
    return figures


async def measure_datagrams() -> dict[str, float]:
    """Return the processor time of sending and receiving a load report on loopback."""
    batch_received = asyncio.Event()
    received = []

    def post(event: data.Event) -> None:
        received.append(event)
        if len(received) % DATAGRAM_BATCH_SIZE == 0:
            batch_received.set()

    receiver = _make_transport(post)
    sender = _make_transport(lambda event: None)
    await receiver.start()
    await sender.start()
    address = data.Address(f"127.0.0.1:{receiver.port}")
    message = reporting.LoadReport(12_345, 12_300, (3, 2, 0.8))
    started_s = time.process_time()
    for _ in range(DATAGRAM_BATCH_COUNT):
        batch_received.clear()
        for _ in range(DATAGRAM_BATCH_SIZE):
            sender.send(address, message)
        await asyncio.wait_for(batch_received.wait(), timeout=5.0)
    cpu_s = time.process_time() - started_s
    await sender.stop()
    await receiver.stop()
    return {"datagram_both_sides_us": 1e6 * cpu_s / len(received)}


def _make_transport(post) -> datagram_transport.DatagramTransport:
    identity = msgspec.structs.replace(
        membership_simulation.make_identity("endpoint", 1),
        address=data.Address("127.0.0.1:0"),
    )
    return datagram_transport.DatagramTransport(
        identity, post, lambda address, message: None
    )


def main() -> None:
    """Measure all fleet sizes, or those given as arguments, and print the results."""
    figures = measure_sizes()
    figures.update(loop.EVENT_LOOP.run_until_complete(measure_datagrams()))
    for name, value in figures.items():
        print(f"membership_{name}={value:.4g}", flush=True)
    sizes = [int(argument) for argument in sys.argv[1:]] or ENTRY_COUNTS
    for size in sizes:
        figures = {**measure(size), **measure_zone_loss(size), **measure_memory(size)}
        for name, value in figures.items():
            print(f"membership_{name}_{size}={value:.4g}", flush=True)


if __name__ == "__main__":
    main()
