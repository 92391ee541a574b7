"""Runs the benchmarks one after the other and writes ``build/bench.json``.

Each benchmark is a module that prints ``name=value`` lines.
"""

import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BENCHMARK_TIMEOUT_S = 900
MODULE_PATTERN = "benches/bench_*.py"


def parse_metrics(output: str) -> dict[str, float | str]:
    """Return the ``name=value`` lines of an output, numbers as numbers."""
    found: dict[str, float | str] = {}
    for line in output.splitlines():
        name, separator, value = line.strip().partition("=")
        if not separator or " " in name:
            continue
        try:
            found[name] = float(value)
        except ValueError:
            found[name] = value
    return found


def run_benchmark(module: str) -> tuple[int, str]:
    """Run a benchmark and return its exit code and output."""
    finished = subprocess.run(
        [sys.executable, "-m", module],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=BENCHMARK_TIMEOUT_S,
        check=False,
    )
    sys.stderr.write(finished.stderr)
    return finished.returncode, finished.stdout


def main() -> int:
    """Run all benchmarks, or those named as arguments."""
    wanted = set(sys.argv[1:])
    results = {}
    failed = False
    for path in sorted(ROOT.glob(MODULE_PATTERN)):
        name = path.stem.removeprefix("bench_")
        if path.stem.endswith("_test") or (wanted and name not in wanted):
            continue
        code, output = run_benchmark(f"benches.{path.stem}")
        print(f"# {name}: exit code {code}")
        print(output, end="", flush=True)
        results[name] = {"exit_code": code, **parse_metrics(output)}
        failed = failed or code != 0
    target = ROOT / "build" / "bench.json"
    target.parent.mkdir(exist_ok=True)
    target.write_text(json.dumps(results, indent=1) + "\n")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
