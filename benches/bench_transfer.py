"""Measures the transfer policy in virtual time, over the real reducers.

The links are those of the time wanted T: the origin's carries four copies in it, each
endpoint's two. Prints ``name=value`` lines; ``--plot FILE`` draws time against the
number of replicas.
"""

import dataclasses
import pathlib
import sys
import time
import tracemalloc

import defopt

from benches import baselines
from standins import virtual_swarm
from toucanspread.core import data, events, machine
from toucanspread.core.transfers import manifest, peer_set, tracker, transfer_state

WANTED_S = 60.0
CHUNKS = 256
CHUNK_BYTES = 1_000_000
REPLICAS = (8, 16, 32, 64, 128)
NARROW_REPLICAS = 16
LIMIT_S = 20 * WANTED_S
TARGET_FOLLOWERS = 1100
TARGET_CHUNKS = 1000
SEED = 1


@dataclasses.dataclass(frozen=True)
class Result:
    """One burst.

    :param copies: bytes that left the origin, in copies.
    :param most_up: the most bytes that one endpoint sent, in copies.
    """

    half_s: float
    all_s: float
    copies: float
    most_up: float
    messages_per_s: float
    step_us: float


def make_links(chunks: int = CHUNKS) -> baselines.Links:
    """Return the links that carry four and two copies in the time wanted."""
    copy_bytes = chunks * CHUNK_BYTES
    return baselines.Links(
        4 * copy_bytes / WANTED_S, 2 * copy_bytes / WANTED_S, chunks, CHUNK_BYTES
    )


def burst(
    replicas: int, weight: float, links: baselines.Links, uplink_share: float = 1.0
) -> Result:
    """Bring a version to so many empty endpoints.

    :param uplink_share: of the endpoints' rate, for links that send less.
    """
    swarm_run = virtual_swarm.VirtualSwarm(
        SEED,
        links.rate_bytes_s,
        links.origin_rate_bytes_s,
        links.chunk_bytes // virtual_swarm.SLICES,
    )
    made = virtual_swarm.make_manifest("v1", links.chunks, links.chunk_bytes)
    name = swarm_run.publish(made)
    for number in range(replicas):
        swarm_run.add_endpoint(f"endpoint-{number}", f"zone-{number % 2}")
    members = list(swarm_run.endpoints.values())
    for one in members:
        one.uplink.rate_bytes_s *= uplink_share
        swarm_run.want(one, name, weight)
    if not swarm_run.run(lambda: swarm_run.all_whole(name), LIMIT_S):
        raise RuntimeError(f"{replicas} replicas were not whole in {LIMIT_S} s")
    times = sorted(one.whole_at_s[name] for one in members)
    processor_s = sum(one.processor_s for one in members)
    return Result(
        half_s=times[replicas // 2 - 1],
        all_s=times[-1],
        copies=swarm_run.origin.sent_bytes / links.copy_bytes,
        most_up=max(one.uplink.sent_bytes for one in members) / links.copy_bytes,
        messages_per_s=swarm_run.messages / replicas / swarm_run.now_s,
        step_us=1e6 * processor_s / sum(one.steps for one in members),
    )


def measure_tracker() -> tuple[float, float]:
    """Return microseconds a request and kilobytes at the target's followers."""
    identity = _identity("entry", data.Role.ENTRY)
    tracemalloc.start()
    node = machine.Node(identity, SEED, tracker=tracker.State())
    entry = machine.Machine(node, [tracker.HANDLERS])
    message = tracker.PeersWanted(data.ManifestHash("a" * manifest.HASH_HEX_DIGITS))
    asked = [
        events.MessageReceived(_identity(f"endpoint-{number}"), message)
        for number in range(TARGET_FOLLOWERS)
    ]
    before_bytes = tracemalloc.get_traced_memory()[0]
    for event in asked:
        entry.step(0.0, event)
    state_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    started_s = time.process_time()
    for event in asked:
        entry.step(1.0, event)
    took_s = time.process_time() - started_s
    return 1e6 * took_s / len(asked), state_bytes / 1024


def measure_state() -> float:
    """Return the kilobytes of a transfer with the most peers and chunks."""
    made = manifest.decode(
        manifest.encode(virtual_swarm.make_manifest("v", TARGET_CHUNKS, CHUNK_BYTES))
    )
    tracemalloc.start()
    transfer = transfer_state.Transfer(
        _identity("endpoint"),
        0.0,
        model=made.model,
        version=made.version,
        manifest_hash=manifest.hash_manifest(made),
        origin_weight=1.0,
    )
    transfer.apply_manifest(made)
    transfer.pending_pieces = list(range(TARGET_CHUNKS))
    for number in range(peer_set.MAX_PEERS):
        one = transfer.peers.get_or_add(_identity(f"endpoint-{number}"), 0.0)
        transfer.peers.update_held_pieces(one, (1 << TARGET_CHUNKS) - 1, 0.0)
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


def draw(path: pathlib.Path, lines: dict[str, list[float]]) -> None:
    """Draw time against the number of replicas, one line for each way."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for name, times in lines.items():
        style = "k--" if name == "bound" else "o-"
        axes.plot(REPLICAS[: len(times)], times, style, label=name)
    axes.set_xscale("log", base=2)
    axes.set_yscale("log")
    axes.set_xlabel("replicas")
    axes.set_ylabel(f"time until all are whole (s, T = {WANTED_S:.0f} s)")
    axes.legend()
    axes.grid(True, which="both", alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def run(*, plot: str = "", most: int = max(REPLICAS)) -> int:
    """Measure bursts, baselines and the policy's cost.

    :param plot: a file for the figure.
    :param most: the largest number of replicas.
    """
    links = make_links()
    lines: dict[str, list[float]] = {"bound": []}
    for replicas in REPLICAS:
        if replicas > most:
            break
        bound_s = baselines.bound_s(links, replicas)
        lines["bound"].append(bound_s)
        print(f"bound_s_{replicas}={bound_s:.1f}")
        ways = {
            "all from the origin": baselines.from_origin_s(links, replicas),
            "chain": baselines.tree_s(links, replicas, fanout=1),
            "binary tree": baselines.tree_s(links, replicas, fanout=2),
        }
        for name, took_s in ways.items():
            lines.setdefault(name, []).append(took_s)
            print(f"{name.replace(' ', '_')}_s_{replicas}={took_s:.1f}")
        for weight in (0.0, 1.0):
            found = burst(replicas, weight, links)
            lines.setdefault(f"origin_weight {weight:.0f}", []).append(found.all_s)
            _print_burst(found, f"w{weight:.0f}_{replicas}", bound_s)
    for weight in (0.0, 0.5, 1.0):
        found = burst(NARROW_REPLICAS, weight, links, uplink_share=0.5)
        print(f"narrow_uplinks_time_to_all_s_w{weight:g}={found.all_s:.1f}")
        print(f"narrow_uplinks_origin_copies_w{weight:g}={found.copies:.2f}")
    tracker_us, tracker_kb = measure_tracker()
    print(f"tracker_request_us_at_{TARGET_FOLLOWERS}={tracker_us:.0f}")
    print(f"tracker_state_kb_at_{TARGET_FOLLOWERS}={tracker_kb:.0f}")
    print(f"transfer_state_kb_at_{TARGET_CHUNKS}_chunks={measure_state():.0f}")
    wide = burst(24, 1.0, make_links(TARGET_CHUNKS))
    print(f"step_us_at_{TARGET_CHUNKS}_chunks={wide.step_us:.0f}")
    if plot:
        draw(pathlib.Path(plot), lines)
    return 0


def _print_burst(found: Result, suffix: str, bound_s: float) -> None:
    print(f"time_to_half_s_{suffix}={found.half_s:.1f}")
    print(f"time_to_all_s_{suffix}={found.all_s:.1f}")
    print(f"ratio_to_bound_{suffix}={found.all_s / bound_s:.2f}")
    print(f"origin_copies_{suffix}={found.copies:.2f}")
    print(f"most_sent_copies_{suffix}={found.most_up:.2f}")
    print(f"messages_per_s_{suffix}={found.messages_per_s:.1f}")
    print(f"step_us_{suffix}={found.step_us:.0f}", flush=True)


if __name__ == "__main__":
    sys.exit(defopt.run(run))
