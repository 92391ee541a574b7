"""The demo: both users' deployments, end to end, as separate processes.

For each deployment it starts stand-ins, entries and endpoint processes, plans and
confirms the intents of ``examples/``, keeps live requests going while a second
version spreads, drains one instance for a window, and prints what happened. It exits
0 only if every promise that it checks held.
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
BASELINE_DURATION_S = 4.0  # of live requests alone, to compare with
WINDOW_DELAY_S = 6.0
WINDOW_DURATION_S = 3600.0
# Logs and settings are kept for inspection.
SCRATCH_DIRECTORY = launcher.ROOT / "build" / "demo"


class DemoError(Exception):
    """A step of the demo did not end as it must."""


@dataclasses.dataclass
class Report:
    """What one deployment's run showed; each problem fails the demo."""

    lines: list[str]
    problems: list[str]

    def require(self, held: bool, promise: str) -> None:
        """Keep a promise that did not hold."""
        if not held:
            self.problems.append(promise)


class Demo:
    """One deployment's run."""

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
        """Run from start to stop, whatever happens between."""
        declared = yaml.safe_load((launcher.ROOT / self.deployment.intents).read_text())
        first, second = self._publish(declared)
        try:
            self.cluster.start()
            self._roll_out("first version", declared, first)
            callers = self._start_callers()
            try:
                time.sleep(BASELINE_DURATION_S)
                bytes_before = self._read_origin_bytes()
                self.rollout_started_s = time.monotonic()
                upgraded = self._make_upgraded_intents(declared)
                elapsed_s = self._roll_out("second version", upgraded, second)
                copies = (self._read_origin_bytes() - bytes_before) / second.size_bytes
                self.rollout_ended_s = time.monotonic()
                self._check_origin_copies(elapsed_s, copies)
                self._check_departure(upgraded, second)
            finally:
                answers = callers.stop()
            self._check_answers(answers)
            self._report_latency(answers)
            self._check_executions()
        finally:
            self.cluster.stop()
        return self.report

    def _publish(self, declared: dict) -> tuple["PublishedVersion", "PublishedVersion"]:
        model = next(i for i in declared["intents"] if i.get("kind") == "model")
        versions = (model["version"], f"{model['version']}-next")
        published = []
        for seed, version in enumerate(versions, start=1):
            source = self.directory / f"weights-{seed}"
            adapters = tuple(model.get("adapters", ()))
            weight_files.make_sample(source, seed, WEIGHTS_BYTES, adapters=adapters)
            built = weight_files.build_manifest(
                source, model["model"], version, CHUNK_BYTES
            )
            weight_files.publish(source, self.origin_directory, built)
            path = self.directory / f"manifest-{seed}.json"
            path.write_bytes(manifest.encode(built))
            self.weights_hashes[version] = built.weights_hash
            size_bytes = sum(entry.size_bytes for entry in built.files)
            published.append(PublishedVersion(version, path, size_bytes))
        return published[0], published[1]

    def _make_upgraded_intents(self, declared: dict) -> dict:
        upgraded = json.loads(json.dumps(declared))
        for intent in upgraded["intents"]:
            if intent.get("kind") == "model":
                intent["version"] = f"{intent['version']}-next"
        return upgraded

    def _roll_out(
        self, name: str, declared: dict, published: "PublishedVersion"
    ) -> float:
        path = self.directory / f"{name.replace(' ', '-')}.yaml"
        path.write_text(yaml.safe_dump(declared, sort_keys=False))
        saved = path.with_suffix(".plan.json")
        entries = list(self.cluster.entry_addresses.values())
        self._run_command(
            "plan",
            str(path),
            "--entry",
            entries[0],
            "--output",
            str(saved),
            "--manifest",
            str(published.path),
        )
        started_s = time.monotonic()
        # Any entry takes the confirmation, not only the one that made the plan.
        self._run_command("confirm", str(saved), "--entry", entries[-1])
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
        self.report.lines.append(f"{name}: whole everywhere after {elapsed_s:.1f} s")
        return elapsed_s

    def _run_command(self, *arguments: str, quiet: bool = False) -> None:
        finished = subprocess.run(
            [sys.executable, "-m", "toucanspread", *arguments],
            cwd=launcher.ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        if not quiet:
            print(finished.stdout, end="")
        if finished.returncode:
            shown = finished.stderr or finished.stdout[-2000:]
            raise DemoError(f"toucanspread {arguments[0]} failed: {shown}")

    def _start_callers(self) -> load.LoadGenerator:
        mixes = []
        for number, service in enumerate(self.deployment.services):
            for team in self.deployment.teams:
                mixes.append((service.name, team, service.kind == "model"))
            if number == 0:
                mixes.extend(mixes[:3])
        callers = load.LoadGenerator(
            list(self.cluster.entry_addresses.values()), mixes, pause_s=0.05, seed=1
        )
        callers.start()
        return callers

    def _read_origin_bytes(self) -> int:
        return launcher.call_api(self.cluster.origin_address, "GET", "/stats")[
            "sent_bytes"
        ]

    def _check_origin_copies(self, elapsed_s: float, copies: float) -> None:
        service = self.deployment.services[0]
        self.report.lines.append(
            f"second version to {service.endpoint_count} replicas under live requests: "
            f"{elapsed_s:.1f} s, {copies:.2f} copies from the origin"
        )
        self.report.require(copies <= MAX_ORIGIN_COPIES, f"origin copies: {copies:.2f}")

    def _check_departure(self, declared: dict, published: "PublishedVersion") -> None:
        """Let one instance of the largest service leave before a window."""
        name = self.deployment.services[0].name
        leaving = next(
            instance_id
            for instance_id, service in self.cluster.endpoint_services.items()
            if service.name == name
        )
        starts_s = time.time() + WINDOW_DELAY_S
        changed = json.loads(json.dumps(declared))
        intent = next(i for i in changed["intents"] if i["service"] == name)
        intent["replicas"] -= 1
        intent["departures"] = [
            {
                "instance": leaving,
                "window_start": starts_s,
                "window_end": starts_s + WINDOW_DURATION_S,
            }
        ]
        self._roll_out("departure", changed, published)
        ends_s = time.monotonic() + DRAIN_TIMEOUT_S
        while time.monotonic() < ends_s:
            status = launcher.call_api(
                self.cluster.backend_addresses[leaving], "GET", "/stats"
            )
            seen = self._read_instance_status(leaving)
            if seen["state"] == "leaving" and not status["running"]:
                break
            time.sleep(0.2)
        else:
            self.report.problems.append(f"{leaving} was not drained for its window")
            return
        self.report.lines.append(f"{leaving} left before its window, nothing running")

    def _read_instance_status(self, instance_id: str) -> dict:
        entry = next(iter(self.cluster.entry_addresses.values()))
        seen = launcher.call_api(entry, "GET", "/v1/status")
        for instance in seen["instances"]:
            if instance["instance_id"] == instance_id:
                return instance
        raise DemoError(f"{instance_id} is not known at {entry}")

    def _check_answers(self, answers: list[load.RequestResult]) -> None:
        counts = load.count_outcomes(answers)
        cut = counts.get("lost", 0) + counts.get("unknown", 0)
        self.report.lines.append(
            f"requests: {len(answers)}, whole {counts.get('whole', 0)}, "
            f"late {counts.get('late', 0)}, refused {counts.get('not run', 0)}, "
            f"cut off: {cut}"
        )
        self.report.require(cut == 0, f"cut off: {cut}")
        self.report.require(counts.get("whole", 0) > 0, "no request was whole")
        wrong = [answer for answer in answers if not self._is_correct(answer)]
        self.report.require(not wrong, f"wrong answers: {wrong[:3]}")
        refused = [answer for answer in answers if answer.outcome == "not run"]
        for answer in refused[:5]:
            print(f"refused: {answer.service}: {answer.reason}", file=sys.stderr)
        for answer in answers:
            if answer.outcome in ("lost", "unknown"):
                print(f"cut off: {answer}", file=sys.stderr)

    def _report_latency(self, answers: list[load.RequestResult]) -> None:
        """Tell how live requests fared before and while the version spread."""
        model = self.deployment.services[0].name
        live = [answer for answer in answers if answer.service == model]
        before = [a for a in live if a.started_s < self.rollout_started_s]
        during = [
            a
            for a in live
            if self.rollout_started_s <= a.started_s < self.rollout_ended_s
        ]
        for name, found in (("before", before), ("during", during)):
            self.report.lines.append(
                f"live answers {name} the spread: {len(found)}, "
                f"p50 {load.compute_percentile_s(found, 0.5) * 1e3:.0f} ms, "
                f"p95 {load.compute_percentile_s(found, 0.95) * 1e3:.0f} ms"
            )

    def _is_correct(self, answer: load.RequestResult) -> bool:
        """Whether a model's whole answer is that of one version to this prompt."""
        if not answer.is_complete or answer.service != self.deployment.services[0].name:
            return True
        return answer.text in {
            engine_text.generate_answer(
                version, digest, answer.prompt, answer.max_tokens
            )
            for version, digest in self.weights_hashes.items()
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
        repeated = [key for key, count in executions.items() if count > 1]
        self.report.lines.append(
            f"non-idempotent calls: {len(executions)} keys, "
            f"executed more than once: {len(repeated)}"
        )
        self.report.require(not repeated, f"executed more than once: {repeated[:3]}")


@dataclasses.dataclass
class PublishedVersion:
    """A version at the origin."""

    version: str
    path: pathlib.Path
    size_bytes: int


def main() -> int:
    """Run the deployments one after the other."""
    started_s = time.monotonic()
    wanted = sys.argv[1:]
    problems = []
    summary = []
    for deployment in deployments.ALL_DEPLOYMENTS:
        if wanted and deployment.name not in wanted:
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
        print(f"did not hold: {problem}")
    print("every checked promise held" if not problems else "the demo failed")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
