"""Seeds that a soak test runs: few in CI, others when it is started by hand.

``SOAK_SEEDS`` is the number of seeds and ``SOAK_FIRST_SEED`` the first of them.
"""

import os
from collections.abc import Callable, Iterable
from typing import NamedTuple


class SoakResult(NamedTuple):
    """What one seed has shown.

    :param description: what was drawn for the seed, for messages.
    """

    description: object
    violations: Iterable[str]


def read_seeds(default_count: int) -> range:
    """Return the seeds to run.

    :param default_count: number of seeds unless the environment names another one.
    """
    first_seed = int(os.environ.get("SOAK_FIRST_SEED", "1"))
    count = int(os.environ.get("SOAK_SEEDS", default_count))
    return range(first_seed, first_seed + count)


def list_violations(
    run_seed: Callable[[int], SoakResult], default_count: int
) -> list[str]:
    """Run all seeds, and return their violations with what was drawn."""
    violations = []
    for seed in read_seeds(default_count):
        result = run_seed(seed)
        prefix = f"seed {seed}, {result.description}"
        violations += [f"{prefix}: {violation}" for violation in result.violations]
    return violations
