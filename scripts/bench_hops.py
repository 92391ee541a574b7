"""Measures what the system adds between a caller and an engine, as processes.

It starts one entry, one endpoint process and the stand-in engine, and compares calls
through the entry with direct calls: whole time, first token, time between tokens. From
runs of several answer lengths it fits processor time per request and per token of
the entry and the endpoint process. Prints ``name=value`` lines.
"""

import http.client
import json
import os
import pathlib
import statistics
import sys
import tempfile
import threading
import time

import chaos
import deployments
import launcher
import numpy

SINGLE_REQUESTS = 150
PARALLEL_CALLERS = 8
REQUESTS_PER_CALLER = 25
TOKEN_COUNTS = (4, 16, 64, 256)
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
IDLE_S = 10.0
ONE = deployments.Deployment(
    name="one",
    places=deployments.ROSTERET.places[:1],
    services=(deployments.Service("pool", "model", 1, "m"),),
    teams=("parents",),
    intents="",
    entries=1,
)


def percentile(samples: list[float], share: float) -> float:
    """Return the value below which ``share`` of the samples lie."""
    return float(numpy.quantile(samples, share))


class Timing:
    """Times of one streamed answer, in milliseconds."""

    def __init__(self, first_ms: float, whole_ms: float, gaps_ms: list[float]):
        self.first_ms = first_ms
        self.whole_ms = whole_ms
        self.gaps_ms = gaps_ms


def time_stream(address: str, path: str, headers: dict, body: dict) -> Timing:
    """Send one request and time its server-sent events."""
    connection = http.client.HTTPConnection(address, timeout=30.0)
    started_s = time.perf_counter()
    connection.request("POST", path, json.dumps(body), headers)
    response = connection.getresponse()
    if response.status != 200:
        raise RuntimeError(f"{path}: status {response.status}: {response.read()}")
    seen_s = [time.perf_counter() for line in response if line.startswith(b"data: {")]
    whole_s = time.perf_counter()
    connection.close()
    gaps = [after - before for before, after in zip(seen_s, seen_s[1:], strict=False)]
    return Timing(
        (seen_s[0] - started_s) * 1e3,
        (whole_s - started_s) * 1e3,
        [gap * 1e3 for gap in gaps],
    )


def direct(address: str, number: int, tokens: int) -> Timing:
    """Time a direct call on the engine."""
    body = {"prompt": f"p{number}", "max_tokens": tokens, "stream": True}
    headers = {"X-Request-Id": f"direct-{number}", "X-Version": "v1"}
    return time_stream(address, "/v1/completions", headers, body)


def through(address: str, number: int, tokens: int) -> Timing:
    """Time a call through an entry."""
    body = {"prompt": f"p{number}", "max_tokens": tokens}
    headers = {"X-Team": "parents", "X-Deadline-S": "20"}
    return time_stream(address, "/v1/requests/pool", headers, body)


def print_timings(name: str, timings: list[Timing]) -> None:
    """Print the percentiles of several answers."""
    whole = [timing.whole_ms for timing in timings]
    first = [timing.first_ms for timing in timings]
    gaps = [gap for timing in timings for gap in timing.gaps_ms]
    for share in (0.5, 0.95, 0.99):
        label = f"p{share * 100:.0f}"
        print(f"hops_{name}_whole_ms_{label}={percentile(whole, share):.2f}")
        print(f"hops_{name}_first_token_ms_{label}={percentile(first, share):.2f}")
        print(f"hops_{name}_between_tokens_ms_{label}={percentile(gaps, share):.2f}")


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


class Bench:
    """One run against a started cluster."""

    def __init__(self, cluster: launcher.Cluster):
        self.entry = next(iter(cluster.entry_http.values()))
        self.engine = next(iter(cluster.backends.values()))
        self.pids = {
            "entry": cluster.processes.pid(next(iter(cluster.entry_http))),
            "endpoint": cluster.processes.pid(next(iter(cluster.endpoints))),
        }

    def run(self) -> None:
        """Measure and print."""
        for number in range(20):
            through(self.entry, number, 4)
        idle = self._idle()
        directs = [direct(self.engine, n, 16) for n in range(SINGLE_REQUESTS)]
        print_timings("direct", directs)
        throughs = [through(self.entry, n, 16) for n in range(SINGLE_REQUESTS)]
        print_timings("through", throughs)
        added = statistics.median(t.first_ms for t in throughs) - statistics.median(
            t.first_ms for t in directs
        )
        print(f"hops_added_first_token_ms_median={added:.2f}")
        self._fit(idle)
        for role, pid in self.pids.items():
            print(f"hops_{role}_resident_mb={resident_mb(pid):.1f}")

    def _idle(self) -> dict[str, float]:
        before = {role: cpu_s(pid) for role, pid in self.pids.items()}
        time.sleep(IDLE_S)
        shares = {}
        for role, pid in self.pids.items():
            shares[role] = (cpu_s(pid) - before[role]) / IDLE_S
            print(f"hops_{role}_idle_core_percent={shares[role] * 100:.2f}")
        return shares

    def _fit(self, idle: dict[str, float]) -> None:
        """Fit processor time per request and token over several lengths."""
        costs: dict[str, list[float]] = {role: [] for role in self.pids}
        for tokens in TOKEN_COUNTS:
            before = {role: cpu_s(pid) for role, pid in self.pids.items()}
            started_s = time.monotonic()
            self._load(tokens)
            elapsed_s = time.monotonic() - started_s
            count = PARALLEL_CALLERS * REQUESTS_PER_CALLER
            print(f"hops_requests_s_{tokens}_tokens={count / elapsed_s:.1f}")
            for role, pid in self.pids.items():
                used_s = cpu_s(pid) - before[role] - idle[role] * elapsed_s
                costs[role].append(used_s / count)
                print(f"hops_{role}_cpu_ms_{tokens}_tokens={used_s / count * 1e3:.3f}")
        for role, found in costs.items():
            slope, offset = numpy.polyfit(TOKEN_COUNTS, found, 1)
            residual = numpy.corrcoef(TOKEN_COUNTS, found)[0, 1] ** 2
            print(f"hops_{role}_cpu_us_per_token={slope * 1e6:.1f}")
            print(f"hops_{role}_cpu_us_per_request={offset * 1e6:.0f}")
            print(f"hops_{role}_fit_r2={residual:.4f}")

    def _load(self, tokens: int) -> None:
        def call(seed: int) -> None:
            for number in range(REQUESTS_PER_CALLER):
                through(self.entry, seed * 1000 + number, tokens)

        threads = [
            threading.Thread(target=call, args=(seed,))
            for seed in range(PARALLEL_CALLERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()


def main() -> int:
    """Start the processes, measure, stop them."""
    with tempfile.TemporaryDirectory() as scratch:
        run = chaos.Chaos(ONE, pathlib.Path(scratch) / "run", 1, [])
        run.start()
        try:
            Bench(run.cluster).run()
        finally:
            run.cluster.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
