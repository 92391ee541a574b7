"""Simulates loads on the entries in virtual time and prints what callers get.

``make experiment`` runs all loads; see :mod:`standins.load_simulation`.
"""

import statistics

import defopt

from standins import load_profiles, load_simulation


def run_seeds(
    load: load_profiles.LoadProfile, seeds: int
) -> list[load_simulation.LoadSimulation]:
    """Simulate a load with seeds 1 to ``seeds`` and return the simulations."""
    simulations = [
        load_simulation.LoadSimulation(load, seed) for seed in range(1, seeds + 1)
    ]
    for simulation in simulations:
        simulation.run()
    return simulations


def print_load(load: load_profiles.LoadProfile, seeds: int) -> None:
    """Print means over the seeds, and times over the answers of all seeds."""
    simulations = run_seeds(load, seeds)
    totals_by_seed = [simulation.outcome for simulation in simulations]
    on_time_ratios = [totals.on_time_ratio for totals in totals_by_seed]
    served_ratios = [totals.served_ratio for totals in totals_by_seed]
    left_count = sum(totals.abandoned for totals in totals_by_seed)
    refused_count = sum(totals.refused for totals in totals_by_seed)
    first_s = sorted(time for totals in totals_by_seed for time in totals.first_s)
    print(
        f"{load.name:9} on time {statistics.mean(on_time_ratios):.3f} "
        f"({min(on_time_ratios):.3f} to {max(on_time_ratios):.3f})  "
        f"served {statistics.mean(served_ratios):.3f}  "
        f"refused {refused_count}  left {left_count}  "
        f"first event {first_s[len(first_s) // 2] * 1000:.0f} ms, "
        f"95 in 100 within {first_s[int(len(first_s) * 0.95)] * 1000:.0f} ms"
    )
    for simulation in simulations:
        for violation in simulation.list_violations():
            print(f"  seed {simulation.seed}: {violation}")


def main(*, only: str = "", seeds: int = 3) -> None:
    """Simulate all loads, or one.

    :param only: the name of the only load to simulate.
    :param seeds: number of seeds for each load.
    """
    for load in load_profiles.LOAD_PROFILES:
        if only in ("", load.name):
            print_load(load, seeds)


if __name__ == "__main__":
    defopt.run(main)
