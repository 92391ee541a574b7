"""Measures a burst with real processes on loopback: daemons, engines and an origin.

Links are paced: in the time wanted the origin's carries four copies and each
endpoint's two. Prints ``name=value`` lines.
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
    """A cluster whose endpoint processes pace their transfers."""

    rate_bytes_s = 0

    def _add_instance(self, instance_id, role, location, extra):
        if role == "endpoint":
            rates = ("upload_rate_bytes_s", "download_rate_bytes_s")
            extra = {**extra, **dict.fromkeys(rates, self.rate_bytes_s)}
        super()._add_instance(instance_id, role, location, extra)


def run_command(*arguments: str) -> None:
    """Run the command line and fail if it fails."""
    subprocess.run(
        [sys.executable, "-m", "toucanspread", *arguments],
        cwd=launcher.ROOT,
        check=True,
        stdout=subprocess.DEVNULL,
    )


def publish_version(directory: pathlib.Path, version: str, size_bytes: int):
    """Make a version and put it at the origin."""
    source = directory / version
    weight_files.make_sample(source, int(version[1:]), size_bytes)
    built = weight_files.build_manifest(source, "model", version, CHUNK_BYTES)
    weight_files.publish(source, directory / "origin", built)
    path = directory / f"{version}.manifest.json"
    path.write_bytes(manifest.encode(built))
    return path, sum(entry.size_bytes for entry in built.files)


def roll_out_version(
    cluster: RateLimitedCluster, directory: pathlib.Path, version: str, path, **fields
):
    """Plan and confirm a version; return when it was confirmed."""
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
    declared = directory / f"{version}.yaml"
    declared.write_text(yaml.safe_dump({"intents": [intent]}))
    plan = directory / f"{version}.plan.json"
    run_command(
        *("plan", str(declared), "--entry", entry),
        *("--output", str(plan), "--manifest", str(path)),
    )
    started_s = time.monotonic()
    run_command("confirm", str(plan), "--entry", entry)
    return started_s


def kill_endpoints(cluster: RateLimitedCluster, number: int) -> set[str]:
    """Kill endpoint processes without notice; return their engines' addresses."""
    killed = sorted(cluster.backend_addresses)[:number]
    for instance_id in killed:
        cluster.processes.kill(instance_id)
    return {cluster.backend_addresses[instance_id] for instance_id in killed}


def wait_until_active(
    cluster: RateLimitedCluster, version: str, started_s: float, dead: set[str]
) -> list[float]:
    """Return when each live engine had the version active, after ``started_s``."""
    waiting = set(cluster.backend_addresses.values()) - dead
    times = []
    while waiting and time.monotonic() - started_s < ACTIVATION_TIMEOUT_S:
        for address in sorted(waiting):
            status = launcher.call_api(address, "GET", "/v1/status")
            if status["active_version"] == version:
                waiting.discard(address)
                times.append(time.monotonic() - started_s)
        time.sleep(POLL_INTERVAL_S)
    if waiting:
        raise RuntimeError(f"{len(waiting)} engines without {version}")
    return times


def run(
    *,
    replicas: int = 8,
    wanted_s: float = 20.0,
    megabytes: int = 4,
    weight: float = 1.0,
    killed: int = 0,
) -> int:
    """Bring a version to endpoint processes.

    :param replicas: how many endpoint processes.
    :param wanted_s: the time in which the links carry four and two copies.
    :param megabytes: the size of a copy.
    :param weight: 0 favours time, 1 origin bytes.
    :param killed: how many processes die a tenth of the time wanted after the start.
    """
    shutil.rmtree(SCRATCH_DIRECTORY, ignore_errors=True)
    (SCRATCH_DIRECTORY / "origin").mkdir(parents=True)
    path, size_bytes = publish_version(SCRATCH_DIRECTORY, "v1", megabytes * 1024 * 1024)
    deployment = deployments.Deployment(
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
    links = baselines.Links(
        4 * size_bytes / wanted_s,
        2 * size_bytes / wanted_s,
        -(-size_bytes // CHUNK_BYTES),
        CHUNK_BYTES,
    )
    RateLimitedCluster.rate_bytes_s = int(links.rate_bytes_s)
    cluster = RateLimitedCluster(
        deployment,
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
            path,
            replicas=replicas,
            origin_weight=weight,
        )
        time.sleep(wanted_s / 10)
        dead = kill_endpoints(cluster, killed)
        times = wait_until_active(cluster, "v1", started_s, dead)
        stats = launcher.call_api(cluster.origin_address, "GET", "/stats")
    finally:
        cluster.stop()
    bound_s = baselines.compute_bound_s(links, replicas)
    print(f"replicas={replicas}")
    print(f"whole={len(times)}")
    print(f"bound_s={bound_s:.1f}")
    print(f"time_to_half_s={times[len(times) // 2 - 1]:.1f}")
    print(f"time_to_all_s={times[-1]:.1f}")
    print(f"ratio_to_bound={times[-1] / bound_s:.2f}")
    print(f"origin_copies={stats['sent_bytes'] / size_bytes:.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(run))
