"""Plays loads against the entries' decisions and prints what callers get.

``make experiment`` plays all loads; see :mod:`standins.load_simulation`.
"""

import statistics

import defopt

from standins import load_profiles, load_simulation


def run_seeds(
    load: load_profiles.LoadProfile, seeds: int
) -> list[load_simulation.CallerTotals]:
    """Return the outcomes of some seeds."""
    return [
        load_simulation.LoadSimulation(load, seed).run() for seed in range(1, seeds + 1)
    ]


def print_load(load: load_profiles.LoadProfile, seeds: int) -> None:
    """Print one line: means over the seeds, and the median times over all of them."""
    outcomes = run_seeds(load, seeds)
    on_time = [outcome.on_time_ratio for outcome in outcomes]
    served = [outcome.served_ratio for outcome in outcomes]
    left = sum(outcome.abandoned for outcome in outcomes)
    refused = sum(outcome.refused for outcome in outcomes)
    first_s = sorted(time for outcome in outcomes for time in outcome.first_s)
    print(
        f"{load.name:9} on time {statistics.mean(on_time):.3f} "
        f"({min(on_time):.3f} to {max(on_time):.3f})  "
        f"served {statistics.mean(served):.3f}  refused {refused}  left {left}  "
        f"first event {first_s[len(first_s) // 2] * 1000:.0f} ms, "
        f"95 in 100 within {first_s[int(len(first_s) * 0.95)] * 1000:.0f} ms"
    )


def main(*, only: str = "", seeds: int = 3) -> None:
    """Play loads.

    :param only: the name of one load.
    :param seeds: how many seeds for each.
    """
    for load in load_profiles.LOAD_PROFILES:
        if only in ("", load.name):
            print_load(load, seeds)


if __name__ == "__main__":
    defopt.run(main)
