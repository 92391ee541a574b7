"""Measures the cost of requests at an entry, with separate processes on loopback.

Callers stream answers of a model through one entry, in runs with several numbers of
callers and tokens. The processor time of the entry and the endpoint processes and the
memory of the entry are read from /proc. The same prompts are also sent directly to an
engine to measure the added latency. Prints ``name=value`` lines; the costs per request
and per token are fitted by least squares.
"""

import dataclasses
import http.client
import json
import os
import pathlib
import shutil
import statistics
import sys
import threading
import time

import demo
import deployments
import launcher
import yaml

RUN_DURATION_S = 6.0
CALLER_COUNTS = (2, 4, 8, 16)
TOKEN_COUNTS = (16, 256)
REQUEST_BUDGET_S = 30
LATENCY_REQUEST_COUNT = 60
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SCRATCH_DIRECTORY = launcher.ROOT / "build" / "measure_requests"


@dataclasses.dataclass
class Timing:
    """The latencies of one answer in seconds."""

    first_byte_s: float
    whole_s: float


@dataclasses.dataclass
class RunCost:
    """The rates and the processor cost of one run.

    :param entry_cores: processor seconds of the entry per second of the run.
    :param endpoint_cores: those of all endpoint processes together.
    """

    requests_per_s: float
    tokens_per_s: float
    entry_cores: float
    endpoint_cores: float
    timings: list[Timing]


def send_request(address: str, path: str, name: str, max_tokens: int) -> Timing:
    """Send one request, read its stream to the end and return its latencies.

    :raises demo.DemoError: when the answer is not complete.
    """
    connection = http.client.HTTPConnection(address, timeout=REQUEST_BUDGET_S)
    headers = {
        "X-Team": "familias",
        "X-Deadline-S": str(REQUEST_BUDGET_S),
        "X-Request-Id": name,
    }
    body = json.dumps({"prompt": f"letter {name}", "max_tokens": max_tokens})
    started_s = time.monotonic()
    try:
        connection.request("POST", path, body, headers)
        response = connection.getresponse()
        payload = response.read1()
        first_byte_s = time.monotonic() - started_s
        while chunk := response.read1():
            payload += chunk
    finally:
        connection.close()
    if b"[DONE]" not in payload:
        raise demo.DemoError(f"answer of {name} is incomplete: {payload[-200:]!r}")
    return Timing(first_byte_s, time.monotonic() - started_s)


def read_cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


class RequestCostMeasurement(demo.Demo):
    """Measures one entry with three engines."""

    def run(self) -> list[RunCost]:
        """Start the cluster, load the model and make all runs."""
        intent_file = yaml.safe_load(
            (launcher.ROOT / self.deployment.intents).read_text()
        )
        intent_file["intents"] = [
            i for i in intent_file["intents"] if i["kind"] == "model"
        ]
        intent_file["intents"][0].update(replicas=3, floor=1)
        first, _ = self._publish(intent_file)
        try:
            self.cluster.start()
            self._roll_out("first version", intent_file, first)
            self._print_added_latency()
            runs = []
            for callers in CALLER_COUNTS:
                for tokens in TOKEN_COUNTS:
                    runs.append(self._run_once(callers, tokens))
            entry = next(iter(self.cluster.entry_addresses))
            print(f"entry_memory_mb={read_resident_mb(self._get_pid(entry)):.0f}")
            return runs
        finally:
            self.cluster.stop()

    def _get_pid(self, name: str) -> int:
        return self.cluster.processes._running[name].pid

    def _print_added_latency(self) -> None:
        """Print the latency of requests to an engine and through the entry."""
        entry = next(iter(self.cluster.entry_addresses.values()))
        engine = next(iter(self.cluster.backend_addresses.values()))
        service = self.deployment.services[0].name
        targets = {
            "direct": (engine, "/v1/completions"),
            "entry": (entry, f"/v1/requests/{service}"),
        }
        for target, (address, path) in targets.items():
            timings = []
            for number in range(LATENCY_REQUEST_COUNT):
                timings.append(
                    send_request(address, path, f"{target}-{number}", TOKEN_COUNTS[0])
                )
            print_latency(f"alone_{target}", timings)

    def _run_once(self, callers: int, tokens: int) -> RunCost:
        entry_name, entry = next(iter(self.cluster.entry_addresses.items()))
        endpoint_names = list(self.cluster.endpoint_services)
        path = f"/v1/requests/{self.deployment.services[0].name}"
        timings: list[Timing] = []
        ends_s = time.monotonic() + RUN_DURATION_S

        def call(caller: int) -> None:
            number = 0
            while time.monotonic() < ends_s:
                number += 1
                name = f"c{callers}-{tokens}-{caller}-{number}"
                timings.append(send_request(entry, path, name, tokens))

        entry_s_before = read_cpu_s(self._get_pid(entry_name))
        endpoints_s_before = sum(read_cpu_s(self._get_pid(n)) for n in endpoint_names)
        started_s = time.monotonic()
        threads = [threading.Thread(target=call, args=(n,)) for n in range(callers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        elapsed_s = time.monotonic() - started_s
        entry_s = read_cpu_s(self._get_pid(entry_name)) - entry_s_before
        endpoints_s = sum(read_cpu_s(self._get_pid(n)) for n in endpoint_names)
        run = RunCost(
            len(timings) / elapsed_s,
            len(timings) * tokens / elapsed_s,
            entry_s / elapsed_s,
            (endpoints_s - endpoints_s_before) / elapsed_s,
            timings,
        )
        print(
            f"run: callers {callers}, tokens {tokens}: "
            f"{run.requests_per_s:.1f} requests/s, "
            f"{run.tokens_per_s:.0f} tokens/s, "
            f"entry {run.entry_cores * 100:.1f}% of a core, "
            f"endpoints {run.endpoint_cores * 100:.1f}%",
            flush=True,
        )
        return run


def print_latency(name: str, timings: list[Timing]) -> None:
    """Print the median and the 99th percentile in milliseconds."""
    for kind in ("first_byte_s", "whole_s"):
        values = sorted(getattr(timing, kind) for timing in timings)
        p99_ms = values[int(0.99 * (len(values) - 1))] * 1000
        print(f"{name}_{kind[:-2]}_p50_ms={statistics.median(values) * 1000:.1f}")
        print(f"{name}_{kind[:-2]}_p99_ms={p99_ms:.1f}")


def print_slopes(name: str, runs: list[RunCost], costs: list[float]) -> None:
    """Fit ``cost = a * requests + b * tokens`` and print a, b and the fit's R2."""
    requests = [run.requests_per_s for run in runs]
    tokens = [run.tokens_per_s for run in runs]
    rr = sum(r * r for r in requests)
    rt = sum(r * t for r, t in zip(requests, tokens, strict=True))
    tt = sum(t * t for t in tokens)
    rc = sum(r * c for r, c in zip(requests, costs, strict=True))
    tc = sum(t * c for t, c in zip(tokens, costs, strict=True))
    determinant = rr * tt - rt * rt
    per_request = (rc * tt - tc * rt) / determinant
    per_token = (tc * rr - rc * rt) / determinant
    mean = statistics.mean(costs)
    residual = 0.0
    for r, t, c in zip(requests, tokens, costs, strict=True):
        residual += (c - per_request * r - per_token * t) ** 2
    fit = 1.0 - residual / sum((c - mean) ** 2 for c in costs)
    print(f"{name}_us_per_request={per_request * 1e6:.0f}")
    print(f"{name}_us_per_token={per_token * 1e6:.1f}")
    print(f"{name}_fit_r2={fit:.3f}")


def main() -> int:
    """Make all runs and print the measurements."""
    shutil.rmtree(SCRATCH_DIRECTORY, ignore_errors=True)
    services = (deployments.Service("redactor", "model", 3, "redactor"),)
    deployment = dataclasses.replace(
        deployments.BAUTIZOS, services=services, entry_count=1
    )
    runs = RequestCostMeasurement(deployment, SCRATCH_DIRECTORY).run()
    for callers, run in zip(
        sorted(CALLER_COUNTS * len(TOKEN_COUNTS)), runs, strict=True
    ):
        tokens = round(run.tokens_per_s / run.requests_per_s)
        print_latency(f"callers_{callers}_tokens_{tokens}", run.timings)
    print_slopes("entry", runs, [run.entry_cores for run in runs])
    print_slopes("endpoints", runs, [run.endpoint_cores for run in runs])
    return 0


if __name__ == "__main__":
    sys.exit(main())
