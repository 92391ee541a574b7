"""The demo: both users' deployments, end to end, as separate processes.

For each deployment it starts stand-ins, entries and endpoint processes, plans and
confirms the intents of ``examples/``, sends live requests while a second version is
rolled out, drains one instance before its maintenance window, and prints a summary.
It exits 0 only if all checks pass.
"""

import dataclasses
import json
import pathlib
import shutil
import subprocess
import sys
import time

import deployments
import launcher
import load
import yaml

from standins import engine_text
from toucanspread.core.transfers import manifest
from toucanspread.ops import weight_files

WEIGHTS_BYTES = 6 * 1024 * 1024
CHUNK_BYTES = 256 * 1024
ORIGIN_RATE_BYTES_S = 12 * 1024 * 1024
MAX_ORIGIN_COPIES = 4.0
ROLLOUT_TIMEOUT_S = 60
DRAIN_TIMEOUT_S = 30.0
BASELINE_DURATION_S = 4.0  # live requests without a rollout, for comparison
WINDOW_DELAY_S = 6.0
WINDOW_DURATION_S = 3600.0
# Logs and settings are kept for inspection.
SCRATCH_DIRECTORY = launcher.ROOT / "build" / "demo"


class DemoError(Exception):
    """A step of the demo failed, so that the run cannot continue."""


@dataclasses.dataclass
class Report:
    """The results of one deployment's run; any problem fails the demo."""

    lines: list[str]
    problems: list[str]

    def require(self, is_met: bool, problem: str) -> None:
        """Record a problem unless its check passed."""
        if not is_met:
            self.problems.append(problem)


class Demo:
    """One run of the demo with one deployment."""

    def __init__(self, deployment: deployments.Deployment, directory: pathlib.Path):
        self.deployment = deployment
        self.directory = directory
        self.origin_directory = directory / "origin"
        self.origin_directory.mkdir(parents=True)
        self.weights_hashes: dict[str, str] = {}
        self.cluster = launcher.Cluster(
            deployment, directory, self.origin_directory, ORIGIN_RATE_BYTES_S
        )
        self.report = Report([], [])
        self.rollout_started_s = 0.0
        self.rollout_ended_s = 0.0

    def run(self) -> Report:
        """Run all steps and stop the cluster, also after a failure."""
        intent_file = yaml.safe_load(
            (launcher.ROOT / self.deployment.intents).read_text()
        )
        first, second = self._publish(intent_file)
        try:
            self.cluster.start()
            self._roll_out("first version", intent_file, first)
            callers = self._start_callers()
            try:
                time.sleep(BASELINE_DURATION_S)
                bytes_before = self._read_origin_bytes()
                self.rollout_started_s = time.monotonic()
                upgraded = self._make_upgraded_intents(intent_file)
                elapsed_s = self._roll_out("second version", upgraded, second)
                origin_copies = (
                    self._read_origin_bytes() - bytes_before
                ) / second.size_bytes
                self.rollout_ended_s = time.monotonic()
                self._check_origin_copies(elapsed_s, origin_copies)
                self._check_departure(upgraded, second)
            finally:
                results = callers.stop()
            self._check_answers(results)
            self._report_latency(results)
            self._check_executions()
        finally:
            self.cluster.stop()
        return self.report

    def _publish(
        self, intent_file: dict
    ) -> tuple["PublishedVersion", "PublishedVersion"]:
        model = next(i for i in intent_file["intents"] if i.get("kind") == "model")
        versions = (model["version"], f"{model['version']}-next")
        published = []
        for seed, version in enumerate(versions, start=1):
            source_directory = self.directory / f"weights-{seed}"
            adapters = tuple(model.get("adapters", ()))
            weight_files.make_sample(
                source_directory, seed, WEIGHTS_BYTES, adapters=adapters
            )
            built_manifest = weight_files.build_manifest(
                source_directory, model["model"], version, CHUNK_BYTES
            )
            weight_files.publish(
                source_directory, self.origin_directory, built_manifest
            )
            manifest_path = self.directory / f"manifest-{seed}.json"
            manifest_path.write_bytes(manifest.encode(built_manifest))
            self.weights_hashes[version] = built_manifest.weights_hash
            size_bytes = sum(entry.size_bytes for entry in built_manifest.files)
            published.append(PublishedVersion(version, manifest_path, size_bytes))
        return published[0], published[1]

    def _make_upgraded_intents(self, intent_file: dict) -> dict:
        upgraded = json.loads(json.dumps(intent_file))
        for intent in upgraded["intents"]:
            if intent.get("kind") == "model":
                intent["version"] = f"{intent['version']}-next"
        return upgraded

    def _roll_out(
        self, name: str, intent_file: dict, published: "PublishedVersion"
    ) -> float:
        intent_path = self.directory / f"{name.replace(' ', '-')}.yaml"
        intent_path.write_text(yaml.safe_dump(intent_file, sort_keys=False))
        plan_path = intent_path.with_suffix(".plan.json")
        entries = list(self.cluster.entry_addresses.values())
        self._run_command(
            "plan",
            str(intent_path),
            "--entry",
            entries[0],
            "--output",
            str(plan_path),
            "--manifest",
            str(published.manifest_path),
        )
        started_s = time.monotonic()
        # Any entry accepts the confirmation, not only the one that made the plan.
        self._run_command("confirm", str(plan_path), "--entry", entries[-1])
        self._run_command(
            "watch",
            "--entry",
            entries[0],
            "--until-whole",
            "--timeout-s",
            str(ROLLOUT_TIMEOUT_S),
            quiet=True,
        )
        elapsed_s = time.monotonic() - started_s
        self.report.lines.append(f"{name}: all replicas whole after {elapsed_s:.1f} s")
        return elapsed_s

    def _run_command(self, *arguments: str, quiet: bool = False) -> None:
        process = subprocess.run(
            [sys.executable, "-m", "toucanspread", *arguments],
            cwd=launcher.ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        if not quiet:
            print(process.stdout, end="")
        if process.returncode:
            output = process.stderr or process.stdout[-2000:]
            raise DemoError(f"toucanspread {arguments[0]} failed: {output}")

    def _start_callers(self) -> load.LoadGenerator:
        caller_specs = []
        for number, service in enumerate(self.deployment.services):
            for team in self.deployment.teams:
                caller_specs.append((service.name, team, service.kind == "model"))
            if number == 0:
                caller_specs.extend(caller_specs[:3])
        callers = load.LoadGenerator(
            list(self.cluster.entry_addresses.values()),
            caller_specs,
            pause_s=0.05,
            seed=1,
        )
        callers.start()
        return callers

    def _read_origin_bytes(self) -> int:
        return launcher.call_api(self.cluster.origin_address, "GET", "/stats")[
            "sent_bytes"
        ]

    def _check_origin_copies(self, elapsed_s: float, origin_copies: float) -> None:
        service = self.deployment.services[0]
        self.report.lines.append(
            f"second version to {service.endpoint_count} replicas under live requests: "
            f"{elapsed_s:.1f} s, {origin_copies:.2f} copies from the origin"
        )
        self.report.require(
            origin_copies <= MAX_ORIGIN_COPIES, f"origin copies: {origin_copies:.2f}"
        )

    def _check_departure(
        self, intent_file: dict, published: "PublishedVersion"
    ) -> None:
        """Declare a departure window and check that the instance is drained before it.

        The instance belongs to the deployment's first service.
        """
        name = self.deployment.services[0].name
        leaving = next(
            instance_id
            for instance_id, service in self.cluster.endpoint_services.items()
            if service.name == name
        )
        starts_s = time.time() + WINDOW_DELAY_S
        changed_intent_file = json.loads(json.dumps(intent_file))
        intent = next(i for i in changed_intent_file["intents"] if i["service"] == name)
        intent["replicas"] -= 1
        intent["departures"] = [
            {
                "instance": leaving,
                "window_start": starts_s,
                "window_end": starts_s + WINDOW_DURATION_S,
            }
        ]
        self._roll_out("departure", changed_intent_file, published)
        deadline_s = time.monotonic() + DRAIN_TIMEOUT_S
        while time.monotonic() < deadline_s:
            stats = launcher.call_api(
                self.cluster.backend_addresses[leaving], "GET", "/stats"
            )
            instance = self._read_instance_status(leaving)
            if instance["state"] == "leaving" and not stats["running"]:
                break
            time.sleep(0.2)
        else:
            self.report.problems.append(f"{leaving} was not drained before its window")
            return
        self.report.lines.append(
            f"{leaving} was drained before its window, with no request running"
        )

    def _read_instance_status(self, instance_id: str) -> dict:
        entry = next(iter(self.cluster.entry_addresses.values()))
        status = launcher.call_api(entry, "GET", "/v1/status")
        for instance in status["instances"]:
            if instance["instance_id"] == instance_id:
                return instance
        raise DemoError(f"{instance_id} is not known at entry {entry}")

    def _check_answers(self, results: list[load.RequestResult]) -> None:
        counts = load.count_outcomes(results)
        interrupted_count = counts.get("lost", 0) + counts.get("unknown", 0)
        self.report.lines.append(
            f"requests: {len(results)}, whole {counts.get('whole', 0)}, "
            f"late {counts.get('late', 0)}, refused {counts.get('not run', 0)}, "
            f"interrupted: {interrupted_count}"
        )
        self.report.require(
            interrupted_count == 0, f"interrupted requests: {interrupted_count}"
        )
        self.report.require(
            counts.get("whole", 0) > 0, "no request was answered completely"
        )
        wrong_results = [result for result in results if not self._is_correct(result)]
        self.report.require(not wrong_results, f"wrong answers: {wrong_results[:3]}")
        refused_results = [result for result in results if result.outcome == "not run"]
        for result in refused_results[:5]:
            print(f"refused: {result.service}: {result.reason}", file=sys.stderr)
        for result in results:
            if result.outcome in ("lost", "unknown"):
                print(f"interrupted: {result}", file=sys.stderr)

    def _report_latency(self, results: list[load.RequestResult]) -> None:
        """Report the latency of live requests before and during the rollout."""
        model = self.deployment.services[0].name
        live_results = [result for result in results if result.service == model]
        before = [
            live_result
            for live_result in live_results
            if live_result.started_s < self.rollout_started_s
        ]
        during = [
            live_result
            for live_result in live_results
            if self.rollout_started_s <= live_result.started_s < self.rollout_ended_s
        ]
        for name, period_results in (("before", before), ("during", during)):
            self.report.lines.append(
                f"live answers {name} the rollout: {len(period_results)}, "
                f"p50 {load.compute_percentile_s(period_results, 0.5) * 1e3:.0f} ms, "
                f"p95 {load.compute_percentile_s(period_results, 0.95) * 1e3:.0f} ms"
            )

    def _is_correct(self, result: load.RequestResult) -> bool:
        """Return whether a complete model answer is what a single version generates.

        Results of other services and incomplete answers count as correct.
        """
        if not result.is_complete or result.service != self.deployment.services[0].name:
            return True
        return result.text in {
            engine_text.generate_answer(
                version, weights_hash, result.prompt, result.max_tokens
            )
            for version, weights_hash in self.weights_hashes.items()
        }

    def _check_executions(self) -> None:
        executions: dict[str, int] = {}
        for instance_id, service in self.cluster.endpoint_services.items():
            if service.kind == "model":
                continue
            stats = launcher.call_api(
                self.cluster.backend_addresses[instance_id], "GET", "/stats"
            )
            for key, count in stats["executions"].items():
                executions[key] = executions.get(key, 0) + count
        repeated_keys = [key for key, count in executions.items() if count > 1]
        self.report.lines.append(
            f"non-idempotent calls: {len(executions)} keys, "
            f"executed more than once: {len(repeated_keys)}"
        )
        self.report.require(
            not repeated_keys, f"executed more than once: {repeated_keys[:3]}"
        )


@dataclasses.dataclass
class PublishedVersion:
    """A version at the origin.

    :param manifest_path: path of its manifest file.
    :param size_bytes: size of one copy.
    """

    version: str
    manifest_path: pathlib.Path
    size_bytes: int


def main() -> int:
    """Run the demo for each deployment, or for those named on the command line."""
    started_s = time.monotonic()
    selected = sys.argv[1:]
    problems = []
    summary = []
    for deployment in deployments.ALL_DEPLOYMENTS:
        if selected and deployment.name not in selected:
            continue
        print(f"== {deployment.name}", flush=True)
        directory = SCRATCH_DIRECTORY / deployment.name
        shutil.rmtree(directory, ignore_errors=True)
        report = Demo(deployment, directory).run()
        summary.extend(f"{deployment.name}: {line}" for line in report.lines)
        problems.extend(f"{deployment.name}: {line}" for line in report.problems)
    print("\n".join(["", "summary", *summary]))
    print(f"all in {time.monotonic() - started_s:.0f} s")
    for problem in problems:
        print(f"check failed: {problem}")
    print("all checks passed" if not problems else "the demo failed")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
