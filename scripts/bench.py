"""Runs the benchmarks one after another and writes ``build/bench.json``.

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
    """Parse the ``name=value`` lines of an output; numeric values become floats."""
    metrics: dict[str, float | str] = {}
    for line in output.splitlines():
        name, separator, value = line.strip().partition("=")
        if not separator or " " in name:
            continue
        try:
            metrics[name] = float(value)
        except ValueError:
            metrics[name] = value
    return metrics


def run_benchmark(module: str) -> tuple[int, str]:
    """Run a benchmark module and return its exit code and standard output."""
    process = subprocess.run(
        [sys.executable, "-m", module],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=BENCHMARK_TIMEOUT_S,
        check=False,
    )
    sys.stderr.write(process.stderr)
    return process.returncode, process.stdout


def main() -> int:
    """Run all benchmarks, or only those named on the command line."""
    selected = set(sys.argv[1:])
    results = {}
    failed = False
    for path in sorted(ROOT.glob(MODULE_PATTERN)):
        name = path.stem.removeprefix("bench_")
        if path.stem.endswith("_test") or (selected and name not in selected):
            continue
        exit_code, output = run_benchmark(f"benches.{path.stem}")
        print(f"# {name}: exit code {exit_code}")
        print(output, end="", flush=True)
        results[name] = {"exit_code": exit_code, **parse_metrics(output)}
        failed = failed or exit_code != 0
    result_path = ROOT / "build" / "bench.json"
    result_path.parent.mkdir(exist_ok=True)
    result_path.write_text(json.dumps(results, indent=1) + "\n")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
