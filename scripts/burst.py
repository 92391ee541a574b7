"""Measures how fast a version reaches many endpoints, with real processes on loopback.

It starts the daemons, stand-in engines and a stand-in origin. The links are
rate-limited: within the target time the origin's link carries four copies of the
weights and each endpoint's link two. Prints ``name=value`` lines.
"""

import pathlib
import shutil
import subprocess
import sys
import time

import defopt
import deployments
import launcher
import yaml

from benches import baselines
from toucanspread.core.transfers import manifest
from toucanspread.ops import weight_files

CHUNK_BYTES = 64 * 1024
SCRATCH_DIRECTORY = launcher.ROOT / "build" / "burst"
ACTIVATION_TIMEOUT_S = 300.0
POLL_INTERVAL_S = 0.2


class RateLimitedCluster(launcher.Cluster):
    """A cluster whose endpoint processes limit the rate of their transfers."""

    rate_bytes_s = 0

    def _add_instance(self, instance_id, role, location, extra):
        if role == "endpoint":
            rates = ("upload_rate_bytes_s", "download_rate_bytes_s")
            extra = {**extra, **dict.fromkeys(rates, self.rate_bytes_s)}
        super()._add_instance(instance_id, role, location, extra)


def run_command(*arguments: str) -> None:
    """Run ``toucanspread`` with arguments.

    :raises subprocess.CalledProcessError: when it fails.
    """
    subprocess.run(
        [sys.executable, "-m", "toucanspread", *arguments],
        cwd=launcher.ROOT,
        check=True,
        stdout=subprocess.DEVNULL,
    )


def publish_version(directory: pathlib.Path, version: str, size_bytes: int):
    """Generate sample weights and publish them at the origin.

    :returns: the path of the manifest, and the size of a copy in bytes.
    """
    source_directory = directory / version
    weight_files.make_sample(source_directory, int(version[1:]), size_bytes)
    built_manifest = weight_files.build_manifest(
        source_directory, "model", version, CHUNK_BYTES
    )
    weight_files.publish(source_directory, directory / "origin", built_manifest)
    manifest_path = directory / f"{version}.manifest.json"
    manifest_path.write_bytes(manifest.encode(built_manifest))
    return manifest_path, sum(entry.size_bytes for entry in built_manifest.files)


def roll_out_version(
    cluster: RateLimitedCluster,
    directory: pathlib.Path,
    version: str,
    manifest_path,
    **fields,
):
    """Plan and confirm a version; return the monotonic time of the confirmation."""
    entry = next(iter(cluster.entry_addresses.values()))
    intent = {
        "service": "model",
        "kind": "model",
        "model": "model",
        "version": version,
        "floor": 0,
        "zones": sorted({location.zone for location in cluster.deployment.locations}),
        **fields,
    }
    intent_path = directory / f"{version}.yaml"
    intent_path.write_text(yaml.safe_dump({"intents": [intent]}))
    plan_path = directory / f"{version}.plan.json"
    run_command(
        *("plan", str(intent_path), "--entry", entry),
        *("--output", str(plan_path), "--manifest", str(manifest_path)),
    )
    started_s = time.monotonic()
    run_command("confirm", str(plan_path), "--entry", entry)
    return started_s


def kill_endpoints(cluster: RateLimitedCluster, count: int) -> set[str]:
    """Kill endpoint processes with SIGKILL and return their engines' addresses."""
    killed = sorted(cluster.backend_addresses)[:count]
    for instance_id in killed:
        cluster.processes.kill(instance_id)
    return {cluster.backend_addresses[instance_id] for instance_id in killed}


def wait_until_active(
    cluster: RateLimitedCluster,
    version: str,
    started_s: float,
    dead_addresses: set[str],
) -> list[float]:
    """Wait until all live engines have the version active.

    :returns: for each of them, the seconds since ``started_s``, in ascending order.
    :raises RuntimeError: when an engine lacks it after ``ACTIVATION_TIMEOUT_S``.
    """
    waiting = set(cluster.backend_addresses.values()) - dead_addresses
    activation_times_s = []
    while waiting and time.monotonic() - started_s < ACTIVATION_TIMEOUT_S:
        for address in sorted(waiting):
            status = launcher.call_api(address, "GET", "/v1/status")
            if status["active_version"] == version:
                waiting.discard(address)
                activation_times_s.append(time.monotonic() - started_s)
        time.sleep(POLL_INTERVAL_S)
    if waiting:
        raise RuntimeError(f"{len(waiting)} engines did not activate {version} in time")
    return activation_times_s


def run(
    *,
    replicas: int = 8,
    wanted_s: float = 20.0,
    megabytes: int = 4,
    weight: float = 1.0,
    killed: int = 0,
) -> int:
    """Distribute a version to endpoint processes and measure how long it takes.

    :param replicas: number of endpoint processes.
    :param wanted_s: target time in seconds, in which the origin's link carries four
        copies and an endpoint's link two.
    :param megabytes: size of a copy in MiB.
    :param weight: origin weight: 0 favours a short time, 1 few bytes from the origin.
    :param killed: number of endpoint processes that are killed after a tenth of the
        target time.
    """
    shutil.rmtree(SCRATCH_DIRECTORY, ignore_errors=True)
    (SCRATCH_DIRECTORY / "origin").mkdir(parents=True)
    manifest_path, size_bytes = publish_version(
        SCRATCH_DIRECTORY, "v1", megabytes * 1024 * 1024
    )
    links = make_links(size_bytes, wanted_s)
    RateLimitedCluster.rate_bytes_s = int(links.rate_bytes_s)
    cluster = RateLimitedCluster(
        make_deployment(replicas),
        SCRATCH_DIRECTORY,
        SCRATCH_DIRECTORY / "origin",
        int(links.origin_rate_bytes_s),
    )
    try:
        cluster.start()
        started_s = roll_out_version(
            cluster,
            SCRATCH_DIRECTORY,
            "v1",
            manifest_path,
            replicas=replicas,
            origin_weight=weight,
        )
        time.sleep(wanted_s / 10)
        dead_addresses = kill_endpoints(cluster, killed)
        activation_times_s = wait_until_active(cluster, "v1", started_s, dead_addresses)
        stats = launcher.call_api(cluster.origin_address, "GET", "/stats")
    finally:
        cluster.stop()
    print(f"replicas={replicas}")
    print_times(activation_times_s, baselines.compute_bound_s(links, replicas))
    print(f"origin_copies={stats['sent_bytes'] / size_bytes:.2f}")
    return 0


def make_links(size_bytes: int, wanted_s: float) -> baselines.Links:
    """Return links that carry four copies from the origin, and two to each endpoint."""
    return baselines.Links(
        4 * size_bytes / wanted_s,
        2 * size_bytes / wanted_s,
        -(-size_bytes // CHUNK_BYTES),
        CHUNK_BYTES,
    )


def make_deployment(replicas: int) -> deployments.Deployment:
    """Return a deployment of one model in two zones."""
    return deployments.Deployment(
        name="burst",
        locations=(
            deployments.Location("zone-a", "region"),
            deployments.Location("zone-b", "region"),
        ),
        services=(deployments.Service("model", "model", replicas, "model"),),
        teams=("team",),
        intents="",
        entry_count=2,
    )


def print_times(activation_times_s: list[float], bound_s: float) -> None:
    """Print when half of the engines and all had the version."""
    print(f"whole={len(activation_times_s)}")
    print(f"bound_s={bound_s:.1f}")
    print(f"time_to_half_s={activation_times_s[len(activation_times_s) // 2 - 1]:.1f}")
    print(f"time_to_all_s={activation_times_s[-1]:.1f}")
    print(f"ratio_to_bound={activation_times_s[-1] / bound_s:.2f}")


if __name__ == "__main__":
    sys.exit(defopt.run(run))
