"""Simulates loads on the entries in virtual time and prints what callers get.

``make experiment`` runs all loads; see :mod:`standins.load_simulation`.
"""

import statistics

import defopt

from standins import load_profiles, load_simulation, simulated_request

COMPETING_ENTRY_COUNTS = (18, 62)


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
    for load_of_kind in load.kind_loads:
        _print_kind(load_of_kind.kind.name, totals_by_seed)
    for simulation in simulations:
        for violation in simulation.list_violations():
            print(f"  seed {simulation.seed}: {violation}")


def _print_kind(
    name: str, totals_by_seed: list[simulated_request.CallerTotals]
) -> None:
    """Print what the requests of one kind got, over all seeds."""
    kinds = [totals.of_kind(name) for totals in totals_by_seed]
    count = sum(kind.request_count for kind in kinds)
    on_time = sum(kind.on_time for kind in kinds)
    late = sum(kind.late for kind in kinds)
    print(
        f"  {name:9} on time {on_time / count:.3f}  served "
        f"{(on_time + late) / count:.3f}  "
        f"refused {sum(kind.refused for kind in kinds)}  "
        f"left {sum(kind.abandoned for kind in kinds)}  of {count}"
    )


def main(*, only: str = "", seeds: int = 3, scale: float = 1.0) -> None:
    """Simulate all loads, or one.

    :param only: the name of the only load to simulate.
    :param seeds: number of seeds for each load.
    :param scale: factor of the rates of the competition.
    """
    for load in load_profiles.LOAD_PROFILES:
        if only in ("", load.name):
            print_load(load, seeds)
    if only not in ("", "competition"):
        return
    for entry_count in COMPETING_ENTRY_COUNTS:
        for has_priorities in (False, True):
            print(f"{entry_count} entries, priorities: {has_priorities}")
            load = load_profiles.make_competition(entry_count, has_priorities, scale)
            print_load(load, seeds)


if __name__ == "__main__":
    defopt.run(main)
