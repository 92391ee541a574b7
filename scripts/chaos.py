"""Injects kills, freezes and outages into a running deployment of separate processes.

A seeded sequence of faults runs while callers retry their requests under the same
idempotency keys through any entry. At the end it prints a table of requests by outcome
and of executions per key. It exits 0 only if no answer was wrong, no non-repeatable
request was executed twice, and no request reported as "not run" was executed.
"""

import argparse
import collections
import dataclasses
import pathlib
import random
import shutil
import signal
import sys
import time

import deployments
import launcher
import load

from standins import engine_text
from toucanspread.ops import weight_files

SCRATCH_DIRECTORY = launcher.ROOT / "build" / "chaos"
WEIGHTS_BYTES = 2 * 1024 * 1024
CHUNK_BYTES = 128 * 1024
ORIGIN_RATE_BYTES_S = 8 * 1024 * 1024
FREEZE_DURATION_S = 3.0
OUTAGE_DURATION_S = 4.0
FAULT_INTERVAL_S = 2.0
RECOVERY_DELAY_S = 5.0
FAULT_NAMES = (
    "kill entry",
    "kill endpoint",
    "freeze entry",
    "freeze endpoint",
    "freeze engine",
    "key-value outage",
    "key-value answers lost",
    "break engine streams",
    "lose plain answers",
    "kill entry and endpoint",
)
SMALL_DEPLOYMENT = deployments.Deployment(
    name="small",
    locations=deployments.ROSTERET.locations[:2],
    services=(
        deployments.Service("pool", "model", 3, "m"),
        deployments.Service("desk", "plain", 2),
    ),
    teams=("directions", "parents"),
    intents="",
    entry_count=3,
)


@dataclasses.dataclass
class ChaosResult:
    """The result of a run.

    :param outcomes: number of attempts, by service and outcome.
    :param executions: executions per idempotency key at the plain services.
    :param problems: a description of each violated guarantee.
    """

    outcomes: dict[str, collections.Counter]
    executions: dict[str, int]
    problems: list[str]


class ChaosRun:
    """One run of faults against one deployment.

    :param faults: the names of the faults to inject, in order.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        directory: pathlib.Path,
        seed: int,
        faults: list[str],
    ):
        shutil.rmtree(directory, ignore_errors=True)
        self.origin_directory = directory / "origin"
        self.origin_directory.mkdir(parents=True)
        self.deployment = deployment
        self.directory = directory
        self.seed = seed
        self.faults = faults
        self.random = random.Random(seed)
        self.cluster = launcher.Cluster(
            deployment, directory, self.origin_directory, ORIGIN_RATE_BYTES_S
        )
        self.weights_hashes: dict[str, str] = {}
        self.executions: collections.Counter = collections.Counter()

    def run(self) -> ChaosResult:
        """Start the deployment, inject the faults under load, and check the results."""
        try:
            self.start()
            callers = self._make_callers()
            callers.start()
            try:
                for fault in self.faults:
                    print(f"fault: {fault}", flush=True)
                    self._inject_fault(fault)
                    time.sleep(FAULT_INTERVAL_S)
                time.sleep(RECOVERY_DELAY_S)
            finally:
                results = callers.stop()
            self._read_executions()
        finally:
            self.cluster.stop()
        return self._check_results(results)

    def start(self) -> None:
        """Start the deployment and wait until its intents are carried out."""
        intents = self._publish()
        self.cluster.start()
        self._confirm_intents(intents)

    def _publish(self) -> list[dict]:
        intents = []
        for service in self.deployment.services:
            intent = {
                "type": "Intent",
                "service": service.name,
                "kind": service.kind,
                "replicas": service.endpoint_count,
                "floor": 1,
                "zones": [location.zone for location in self.deployment.locations],
                "repeatable": service.kind == "model",
            }
            if service.kind == "model":
                intent.update(self._publish_model(service))
            intents.append(intent)
        return intents

    def _publish_model(self, service: deployments.Service) -> dict:
        source_directory = self.directory / "weights"
        weight_files.make_sample(source_directory, self.seed, WEIGHTS_BYTES)
        manifest = weight_files.build_manifest(
            source_directory, service.model, "v1", CHUNK_BYTES
        )
        self.weights_hashes["v1"] = manifest.weights_hash
        manifest_hash = weight_files.publish(
            source_directory, self.origin_directory, manifest
        )
        return {
            "model": service.model,
            "version": "v1",
            "manifest_hash": manifest_hash,
            "weights_bytes": sum(entry.size_bytes for entry in manifest.files),
        }

    def _confirm_intents(self, intents: list[dict]) -> None:
        entry = next(iter(self.cluster.entry_addresses.values()))
        planned = launcher.call_api(entry, "POST", "/v1/plans", {"intents": intents})
        confirmation = {
            "plan_id": planned["plan"]["plan_id"],
            "base_revision": planned["plan"]["base_revision"],
            "intents": intents,
        }
        launcher.call_api(entry, "POST", "/v1/confirmations", confirmation)
        deadline_s = time.monotonic() + launcher.START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            services = launcher.call_api(entry, "GET", "/v1/status")["services"]
            are_complete = [s["whole_replicas"] >= s["replicas"] for s in services]
            if are_complete and all(are_complete):
                return
            time.sleep(launcher.POLL_INTERVAL_S)
        raise launcher.LaunchError(
            "the services of the intents lack replicas after the timeout"
        )

    def _make_callers(self) -> load.LoadGenerator:
        caller_specs = []
        for service in self.deployment.services:
            for team in self.deployment.teams:
                caller_specs.extend([(service.name, team, service.kind == "model")] * 2)
        entries = list(self.cluster.entry_addresses.values())
        return load.LoadGenerator(
            entries, caller_specs, pause_s=0.05, seed=self.seed, max_attempts=3
        )

    def _inject_fault(self, fault: str) -> None:
        entry = self.random.choice(sorted(self.cluster.entry_addresses))
        endpoint = self.random.choice(sorted(self.cluster.endpoint_services))
        if fault == "kill entry":
            self._kill_processes([entry])
        elif fault == "kill endpoint":
            self._kill_processes([endpoint])
        elif fault == "kill entry and endpoint":
            self._kill_processes([entry, endpoint])
        elif fault == "freeze entry":
            self._freeze_process(entry)
        elif fault == "freeze endpoint":
            self._freeze_process(endpoint)
        elif fault == "freeze engine":
            self._freeze_process(f"{endpoint}-backend")
        elif fault == "key-value outage":
            self._set_key_value_faults({"down": True})
            time.sleep(OUTAGE_DURATION_S)
            self._set_key_value_faults({"down": False})
        elif fault == "key-value answers lost":
            self._set_key_value_faults({"lose_answers": 5})
        elif fault == "break engine streams":
            self._set_backend_faults("model", {"break_after_tokens": 4, "breaks": 3})
        elif fault == "lose plain answers":
            self._set_backend_faults("plain", {"lose_answers": 2})
        else:
            raise ValueError(
                f"unknown fault {fault!r}; known: {', '.join(FAULT_NAMES)}"
            )

    def _kill_processes(self, names: list[str]) -> None:
        for name in names:
            self.cluster.processes.kill(name)
        time.sleep(FAULT_INTERVAL_S)
        for name in names:
            self.cluster.processes.restart(name)

    def _freeze_process(self, name: str) -> None:
        self.cluster.processes.signal(name, signal.SIGSTOP)
        time.sleep(FREEZE_DURATION_S)
        self.cluster.processes.signal(name, signal.SIGCONT)

    def _set_key_value_faults(self, faults: dict) -> None:
        launcher.call_api(
            self.cluster.key_value_address, "PUT", "/admin/faults", faults
        )

    def _set_backend_faults(self, kind: str, faults: dict) -> None:
        for instance_id, service in self.cluster.endpoint_services.items():
            if service.kind == kind:
                address = self.cluster.backend_addresses[instance_id]
                launcher.call_api(address, "POST", "/admin/faults", faults)

    def _read_executions(self) -> None:
        for instance_id, service in self.cluster.endpoint_services.items():
            if service.kind == "model":
                continue
            address = self.cluster.backend_addresses[instance_id]
            stats = launcher.call_api(address, "GET", "/stats")
            self.executions.update(stats["executions"])

    def _check_results(self, results: list[load.RequestResult]) -> ChaosResult:
        outcomes: dict[str, collections.Counter] = collections.defaultdict(
            collections.Counter
        )
        results_by_key: dict[str, list[load.RequestResult]] = collections.defaultdict(
            list
        )
        problems = []
        for result in results:
            outcomes[result.service][result.outcome] += 1
            results_by_key[result.key].append(result)
            if not self._is_correct(result):
                problems.append(f"wrong answer: {result}")
        plain_services = {s.name for s in self.deployment.services if s.kind == "plain"}
        for key, key_results in results_by_key.items():
            if key_results[0].service in plain_services:
                problems.extend(self._check_key(key, key_results))
        return ChaosResult(outcomes, dict(self.executions), problems)

    def _check_key(self, key: str, results: list[load.RequestResult]) -> list[str]:
        execution_count = self.executions[key]
        outcomes = [result.outcome for result in results]
        if execution_count > 1:
            return [f"{key}: executed {execution_count} times; outcomes {outcomes}"]
        if execution_count and all(outcome == "not run" for outcome in outcomes):
            return [f"{key}: reported as not run, but executed; outcomes {outcomes}"]
        if not execution_count and "done" in outcomes:
            return [f"{key}: reported as done, but never executed; outcomes {outcomes}"]
        return []

    def _is_correct(self, result: load.RequestResult) -> bool:
        if not result.is_complete or not result.max_tokens:
            return True
        model_services = {s.name for s in self.deployment.services if s.kind == "model"}
        if result.service not in model_services:
            return True
        return result.text in {
            engine_text.generate_answer(
                version, weights_hash, result.prompt, result.max_tokens
            )
            for version, weights_hash in self.weights_hashes.items()
        }


def print_table(result: ChaosResult) -> None:
    """Print the requests by outcome and the executions per key."""
    outcomes = ("done", "not run", "unknown", "lost")
    print(f"{'service':<16}" + "".join(f"{name:>10}" for name in outcomes))
    for service, counts in sorted(result.outcomes.items()):
        row = "".join(f"{counts[name]:>10}" for name in outcomes)
        print(f"{service:<16}{row}")
    keys_by_execution_count = collections.Counter(result.executions.values())
    for execution_count, key_count in sorted(keys_by_execution_count.items()):
        print(f"keys executed {execution_count} times: {key_count}")
    for problem in result.problems:
        print(f"check failed: {problem}")


def main() -> int:
    """Run one seeded sequence of faults and print its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--faults", nargs="*", help=f"any of: {', '.join(FAULT_NAMES)}")
    options = parser.parse_args()
    faults = options.faults or random.Random(options.seed).sample(
        FAULT_NAMES, len(FAULT_NAMES)
    )
    result = ChaosRun(SMALL_DEPLOYMENT, SCRATCH_DIRECTORY, options.seed, faults).run()
    print_table(result)
    print("all checks passed" if not result.problems else "some checks failed")
    return 1 if result.problems else 0


if __name__ == "__main__":
    sys.exit(main())
