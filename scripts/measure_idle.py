"""Measures processor time and memory of idle processes at several fleet sizes.

For each size it starts entries, endpoint processes and stand-in engines, waits until
the intents are carried out, and reads the processor time and memory of the entries
and endpoint processes. Prints ``name=value`` lines and a linear fit over the number
of processes.
"""

import os
import pathlib
import statistics
import sys
import tempfile
import time

import chaos
import deployments
import launcher
import numpy

# Numbers of entries and endpoint processes.
FLEET_SIZES = ((2, 4), (4, 8), (8, 16), (12, 24))
IDLE_DURATION_S = 15.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def make_deployment(entries: int, endpoints: int) -> deployments.Deployment:
    """Return a deployment of one model service in two zones."""
    return deployments.Deployment(
        name="idle",
        locations=deployments.ROSTERET.locations[:2],
        services=(deployments.Service("pool", "model", endpoints, "m"),),
        teams=("parents",),
        intents="",
        entry_count=entries,
    )


def read_cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


def measure_roles(cluster: launcher.Cluster) -> dict[str, tuple[float, float]]:
    """Return percent of a core and resident megabytes by role, as medians."""
    names = {
        "entry": list(cluster.entry_addresses),
        "endpoint": list(cluster.endpoint_services),
    }
    pids = {
        role: [cluster.processes.get_pid(name) for name in role_pids]
        for role, role_pids in names.items()
    }
    before = {pid: read_cpu_s(pid) for role_pids in pids.values() for pid in role_pids}
    time.sleep(IDLE_DURATION_S)
    results = {}
    for role, role_pids in pids.items():
        cores = [
            (read_cpu_s(pid) - before[pid]) / IDLE_DURATION_S * 100 for pid in role_pids
        ]
        memory = [read_resident_mb(pid) for pid in role_pids]
        results[role] = (statistics.median(cores), statistics.median(memory))
    return results


def main() -> int:
    """Measure each fleet size and fit a line over the number of processes."""
    core_percents: dict[str, list[float]] = {"entry": [], "endpoint": []}
    for entries, endpoints in FLEET_SIZES:
        with tempfile.TemporaryDirectory() as scratch:
            directory = pathlib.Path(scratch) / "run"
            chaos_run = chaos.ChaosRun(
                make_deployment(entries, endpoints), directory, 1, []
            )
            try:
                chaos_run.start()
                results = measure_roles(chaos_run.cluster)
            finally:
                chaos_run.cluster.stop()
        for role, (core_percent, memory_mb) in results.items():
            size = f"{entries}_{endpoints}"
            print(f"idle_{role}_core_percent_{size}={core_percent:.2f}")
            print(f"idle_{role}_resident_mb_{size}={memory_mb:.1f}", flush=True)
            core_percents[role].append(core_percent)
    counts = [entries + endpoints for entries, endpoints in FLEET_SIZES]
    for role, cores in core_percents.items():
        slope, offset = numpy.polyfit(counts, cores, 1)
        print(f"idle_{role}_core_percent_offset={offset:.3f}")
        print(f"idle_{role}_core_percent_per_process={slope:.4f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
