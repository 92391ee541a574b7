"""Runs the randomised system simulation with given seeds and numbers of steps."""

import argparse
import sys
import time

import hypothesis
from hypothesis import stateful

from standins import system_machine


def run_seed(seed: int, examples: int, steps: int) -> None:
    """Make ``examples`` random runs of ``steps`` steps each.

    :raises Exception: the error of the first failing run, once shrunk.
    """
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    machine = hypothesis.seed(seed)(system_machine.SystemMachine)
    stateful.run_state_machine_as_test(machine, settings=settings)


def main() -> int:
    """Run each seed and print how long its runs took."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--examples", type=int, default=20)
    parser.add_argument("--steps", type=int, default=50)
    options = parser.parse_args()
    for seed in options.seeds:
        started_s = time.monotonic()
        run_seed(seed, options.examples, options.steps)
        elapsed_s = time.monotonic() - started_s
        print(f"seed {seed}: {options.examples} runs passed, {elapsed_s:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
