"""Measures admission and dispatch handling of an endpoint process.

Prints ``name=value`` lines: in virtual time, goodput by offered load with and without
concurrency limits, and the success rate of a small team while another team floods the
endpoint; in processor time, the cost of dispatch events and ticks.
"""

import time

from standins import gate_harness, gate_simulation
from toucanspread.core import data, events
from toucanspread.core.gate import admission

DURATION_S = 60.0
SEED = 7
LOAD_FACTORS = (0.5, 1.0, 2.0, 4.0, 10.0)
NO_LIMIT = 1_000_000
CYCLE_COUNT = 20_000
TICK_COUNT = 50_000
QUEUE_CYCLE_COUNT = 1_000
QUEUE_LIMITS = (8, 16, 32, 64, 128, 256)


def measure_goodput(factor: float, is_limited: bool) -> gate_simulation.TeamTotals:
    """Return the outcomes of one team's requests.

    :param factor: offered load as a multiple of the capacity.
    """
    limit = 16 if is_limited else NO_LIMIT
    harness = gate_harness.GateHarness(limit=limit, adaptive=is_limited)
    source = gate_simulation.RequestSource("parish", factor)
    simulation = gate_simulation.GateSimulation(harness, [source], SEED)
    return simulation.run(DURATION_S)["parish"]


def measure_flood(is_limited: bool) -> dict[str, gate_simulation.TeamTotals]:
    """Return the outcomes of a small team and of one that floods the endpoint."""
    limit = 16 if is_limited else NO_LIMIT
    harness = gate_harness.GateHarness(limit=limit, adaptive=is_limited)
    sources = [
        gate_simulation.RequestSource("small", 0.2),
        gate_simulation.RequestSource("large", 4.0),
    ]
    return gate_simulation.GateSimulation(harness, sources, SEED).run(DURATION_S)


def measure_cycle(kind: data.ServiceKind, repeatable: bool) -> float:
    """Return the processor seconds of one dispatch from arrival to end."""
    harness = gate_harness.GateHarness(kind)
    key_value = gate_harness.FakeKeyValue()
    started_s = time.process_time()
    for number in range(CYCLE_COUNT):
        request_id = f"r{number}"
        outputs = harness.dispatch(request_id, stream=number, repeatable=repeatable)
        while gate_harness.is_key_value_call(outputs[0]):
            outputs = harness.step(key_value.carry_out(outputs[0]))
        harness.end(request_id)
    return (time.process_time() - started_s) / CYCLE_COUNT


def measure_full_queue(limit: int) -> tuple[int, float]:
    """Return the length of a full queue, and the processor seconds of a cycle.

    A cycle is the end of a running dispatch and the arrival of another one.
    """
    harness = gate_harness.GateHarness(limit=limit)
    for number in range(limit * (1 + admission.MAX_QUEUED_PER_SLOT)):
        harness.dispatch(
            f"r{number}", stream=number, budget_s=1e6, team=f"t{number % 10}"
        )
    queue_length = len(harness.node.admission.queue)
    started_s = time.process_time()
    for _ in range(QUEUE_CYCLE_COUNT):
        number += 1
        running = next(iter(harness.node.admission.running))
        harness.end(running[0])
        harness.dispatch(
            f"r{number}", stream=number, budget_s=1e6, team=f"t{number % 10}"
        )
    return queue_length, (time.process_time() - started_s) / QUEUE_CYCLE_COUNT


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Return intercept, slope and largest relative error of a least-squares fit."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = covariance / sum((x - mean_x) ** 2 for x, _ in points)
    intercept = mean_y - slope * mean_x
    error = max(abs(intercept + slope * x - y) / y for x, y in points)
    return intercept, slope, error


def measure_tick(remembered: int) -> float:
    """Return the processor seconds of a tick.

    :param remembered: number of ended dispatches in the history.
    """
    harness = gate_harness.GateHarness()
    for number in range(remembered):
        harness.dispatch(f"r{number}", stream=number)
        harness.end(f"r{number}")
    started_s = time.process_time()
    for _ in range(TICK_COUNT):
        harness.step(events.Tick())
    return (time.process_time() - started_s) / TICK_COUNT


def main() -> None:
    """Run and print all measurements."""
    print(f"capacity_per_s={gate_simulation.CAPACITY_PER_S:.2f}")
    for factor in LOAD_FACTORS:
        for is_limited in (True, False):
            totals = measure_goodput(factor, is_limited)
            name = f"{factor:g}x_limits_{'on' if is_limited else 'off'}"
            print(f"goodput_per_s_{name}={totals.done / DURATION_S:.2f}")
            print(f"unknown_{name}={totals.unknown}")
            print(f"worst_s_{name}={totals.max_latency_s:.2f}")
    for is_limited in (True, False):
        name = "on" if is_limited else "off"
        for team, totals in sorted(measure_flood(is_limited).items()):
            print(f"flood_{team}_done_limits_{name}={totals.get_done_ratio():.4f}")
    model, plain = data.ServiceKind.MODEL, data.ServiceKind.PLAIN
    print(f"cycle_us_model={1e6 * measure_cycle(model, True):.1f}")
    print(f"cycle_us_claimed={1e6 * measure_cycle(plain, False):.1f}")
    points = [measure_full_queue(limit) for limit in QUEUE_LIMITS]
    for queued, cycle_s in points:
        print(f"cycle_us_queue_{queued}={1e6 * cycle_s:.1f}")
    intercept_s, slope_s, error = fit_line(points)
    print(f"cycle_us_queue_intercept={1e6 * intercept_s:.1f}")
    print(f"cycle_us_per_queued={1e6 * slope_s:.2f}")
    print(f"cycle_queue_fit_error={error:.2f}")
    for remembered in (0, 10_000):
        print(f"tick_us_{remembered}={1e6 * measure_tick(remembered):.2f}")


if __name__ == "__main__":
    main()
