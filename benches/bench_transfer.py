"""Measures the transfer policy in virtual time, with the real reducers.

The link rates follow from the target time T: within T the origin's link carries four
copies and each endpoint's link two. Prints ``name=value`` lines; ``--plot FILE`` plots
the time by number of replicas.
"""

import dataclasses
import pathlib
import sys
import time
import tracemalloc

import defopt

from benches import baselines
from standins import transfer_simulation
from toucanspread.core import data, events, machine
from toucanspread.core.transfers import manifest, peer_set, tracker, transfer_state

TARGET_TIME_S = 60.0
CHUNK_COUNT = 256
CHUNK_BYTES = 1_000_000
REPLICA_COUNTS = (8, 16, 32, 64, 128)
NARROW_UPLINK_REPLICAS = 16
MAX_BURST_S = 20 * TARGET_TIME_S
TARGET_FOLLOWER_COUNT = 1100
TARGET_CHUNK_COUNT = 1000
SEED = 1


@dataclasses.dataclass(frozen=True)
class BurstResult:
    """The result of one burst.

    :param half_s: virtual time until half of the endpoints have all chunks.
    :param all_s: virtual time until all endpoints do.
    :param origin_copies: bytes that the origin sent, in copies.
    :param max_sent_copies: most bytes that one endpoint sent, in copies.
    """

    half_s: float
    all_s: float
    origin_copies: float
    max_sent_copies: float
    messages_per_s: float
    step_us: float


def make_links(chunks: int = CHUNK_COUNT) -> baselines.Links:
    """Return links that carry four and two copies in the target time."""
    copy_bytes = chunks * CHUNK_BYTES
    return baselines.Links(
        4 * copy_bytes / TARGET_TIME_S,
        2 * copy_bytes / TARGET_TIME_S,
        chunks,
        CHUNK_BYTES,
    )


def run_burst(
    replicas: int,
    weight: float,
    links: baselines.Links,
    uplink_rate_factor: float = 1.0,
) -> BurstResult:
    """Distribute a version to empty endpoints.

    :param weight: origin weight: 0 favours a short time, 1 few bytes from the origin.
    :param uplink_rate_factor: upload rate of the endpoints relative to ``links``.
    """
    swarm = transfer_simulation.TransferSimulation(
        SEED,
        links.rate_bytes_s,
        links.origin_rate_bytes_s,
        links.chunk_bytes // transfer_simulation.SLICES_PER_CHUNK,
    )
    built_manifest = transfer_simulation.make_manifest(
        "v1", links.chunks, links.chunk_bytes
    )
    manifest_hash = swarm.publish(built_manifest)
    for number in range(replicas):
        swarm.add_endpoint(f"endpoint-{number}", f"zone-{number % 2}")
    endpoints = list(swarm.endpoints.values())
    for endpoint in endpoints:
        endpoint.uplink.rate_bytes_s *= uplink_rate_factor
        swarm.request_version(endpoint, manifest_hash, weight)
    if not swarm.run(lambda: swarm.is_complete_everywhere(manifest_hash), MAX_BURST_S):
        raise RuntimeError(f"{replicas} replicas were not whole after {MAX_BURST_S} s")
    times = sorted(endpoint.completed_at_s[manifest_hash] for endpoint in endpoints)
    processor_s = sum(endpoint.processor_s for endpoint in endpoints)
    return BurstResult(
        half_s=times[replicas // 2 - 1],
        all_s=times[-1],
        origin_copies=swarm.origin.sent_bytes / links.copy_bytes,
        max_sent_copies=max(endpoint.uplink.sent_bytes for endpoint in endpoints)
        / links.copy_bytes,
        messages_per_s=swarm.messages / replicas / swarm.now_s,
        step_us=1e6 * processor_s / sum(endpoint.steps for endpoint in endpoints),
    )


def measure_tracker() -> tuple[float, float]:
    """Return the tracker's microseconds per request and its kilobytes of state.

    ``TARGET_FOLLOWER_COUNT`` endpoints request peers of the same manifest.
    """
    identity = _identity("entry", data.Role.ENTRY)
    tracemalloc.start()
    node = machine.Node(identity, SEED, tracker=tracker.State())
    entry = machine.Machine(node, [tracker.HANDLERS])
    message = tracker.PeersWanted(data.ManifestHash("a" * manifest.HASH_HEX_DIGITS))
    requests = [
        events.MessageReceived(_identity(f"endpoint-{number}"), message)
        for number in range(TARGET_FOLLOWER_COUNT)
    ]
    before_bytes = tracemalloc.get_traced_memory()[0]
    for event in requests:
        entry.step(0.0, event)
    state_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    started_s = time.process_time()
    for event in requests:
        entry.step(1.0, event)
    cpu_s = time.process_time() - started_s
    return 1e6 * cpu_s / len(requests), state_bytes / 1024


def measure_state() -> float:
    """Return the kilobytes of a transfer with the maximum of peers and chunks."""
    decoded_manifest = manifest.decode(
        manifest.encode(
            transfer_simulation.make_manifest("v", TARGET_CHUNK_COUNT, CHUNK_BYTES)
        )
    )
    tracemalloc.start()
    transfer = transfer_state.Transfer(
        _identity("endpoint"),
        0.0,
        model=decoded_manifest.model,
        version=decoded_manifest.version,
        manifest_hash=manifest.hash_manifest(decoded_manifest),
        origin_weight=1.0,
    )
    transfer.apply_manifest(decoded_manifest)
    transfer.pending_pieces = list(range(TARGET_CHUNK_COUNT))
    for number in range(peer_set.MAX_PEERS):
        peer = transfer.peers.get_or_add(_identity(f"endpoint-{number}"), 0.0)
        transfer.peers.update_held_pieces(peer, (1 << TARGET_CHUNK_COUNT) - 1, 0.0)
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return state_bytes / 1024


def _identity(name: str, role: data.Role = data.Role.ENDPOINT) -> data.Identity:
    return data.Identity(
        data.InstanceId(name),
        role,
        data.Incarnation(1),
        data.ZoneName("zone-0"),
        data.RegionName("region-0"),
        data.Address(name),
    )


def write_plot(path: pathlib.Path, lines: dict[str, list[float]]) -> None:
    """Plot the time by number of replicas, with one line for each algorithm."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for name, times in lines.items():
        style = "k--" if name == "bound" else "o-"
        axes.plot(REPLICA_COUNTS[: len(times)], times, style, label=name)
    axes.set_xscale("log", base=2)
    axes.set_yscale("log")
    axes.set_xlabel("replicas")
    axes.set_ylabel(f"time until all are whole (s, T = {TARGET_TIME_S:.0f} s)")
    axes.legend()
    axes.grid(True, which="both", alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def run(*, plot: str = "", most: int = max(REPLICA_COUNTS)) -> int:
    """Measure bursts, baselines and the cost of the policy.

    :param plot: file for the plot.
    :param most: largest number of replicas.
    """
    links = make_links()
    lines: dict[str, list[float]] = {"bound": []}
    for replicas in REPLICA_COUNTS:
        if replicas > most:
            break
        bound_s = baselines.compute_bound_s(links, replicas)
        lines["bound"].append(bound_s)
        print(f"bound_s_{replicas}={bound_s:.1f}")
        baseline_times_s = {
            "all from the origin": baselines.compute_origin_only_s(links, replicas),
            "chain": baselines.compute_tree_s(links, replicas, fanout=1),
            "binary tree": baselines.compute_tree_s(links, replicas, fanout=2),
        }
        for name, took_s in baseline_times_s.items():
            lines.setdefault(name, []).append(took_s)
            print(f"{name.replace(' ', '_')}_s_{replicas}={took_s:.1f}")
        for weight in (0.0, 1.0):
            result = run_burst(replicas, weight, links)
            lines.setdefault(f"origin_weight {weight:.0f}", []).append(result.all_s)
            _print_burst(result, f"w{weight:.0f}_{replicas}", bound_s)
    for weight in (0.0, 0.5, 1.0):
        result = run_burst(
            NARROW_UPLINK_REPLICAS, weight, links, uplink_rate_factor=0.5
        )
        print(f"narrow_uplinks_time_to_all_s_w{weight:g}={result.all_s:.1f}")
        print(f"narrow_uplinks_origin_copies_w{weight:g}={result.origin_copies:.2f}")
    tracker_us, tracker_kb = measure_tracker()
    print(f"tracker_request_us_at_{TARGET_FOLLOWER_COUNT}={tracker_us:.0f}")
    print(f"tracker_state_kb_at_{TARGET_FOLLOWER_COUNT}={tracker_kb:.0f}")
    print(f"transfer_state_kb_at_{TARGET_CHUNK_COUNT}_chunks={measure_state():.0f}")
    wide_result = run_burst(24, 1.0, make_links(TARGET_CHUNK_COUNT))
    print(f"step_us_at_{TARGET_CHUNK_COUNT}_chunks={wide_result.step_us:.0f}")
    if plot:
        write_plot(pathlib.Path(plot), lines)
    return 0


def _print_burst(result: BurstResult, suffix: str, bound_s: float) -> None:
    print(f"time_to_half_s_{suffix}={result.half_s:.1f}")
    print(f"time_to_all_s_{suffix}={result.all_s:.1f}")
    print(f"ratio_to_bound_{suffix}={result.all_s / bound_s:.2f}")
    print(f"origin_copies_{suffix}={result.origin_copies:.2f}")
    print(f"most_sent_copies_{suffix}={result.max_sent_copies:.2f}")
    print(f"messages_per_s_{suffix}={result.messages_per_s:.1f}")
    print(f"step_us_{suffix}={result.step_us:.0f}", flush=True)


if __name__ == "__main__":
    sys.exit(defopt.run(run))
