"""Draws a day from its logs, for people who would rather look than read.

It needs matplotlib, which the programs themselves do not.
"""

import pathlib

from toucanspread.tools import log_summary as days

WIDTH_IN = 10
HEIGHT_IN = 9
LIFE_MARKS = {"started": "^", "leaving": "v", "ending": "x"}


def write_plot(day: days.LogSummary, path: pathlib.Path) -> None:
    """Write a picture: what callers got, how soon, versions, lives of processes."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (outcomes, times, versions, life) = pyplot.subplots(
        4, 1, sharex=True, figsize=(WIDTH_IN, HEIGHT_IN), constrained_layout=True
    )
    seconds = sorted(day.seconds)
    _draw_outcomes(outcomes, day, seconds)
    _draw_times(times, day, seconds)
    _draw_versions(versions, day, seconds)
    _draw_life(life, day, seconds)
    life.set_xlabel("seconds since the first line")
    figure.savefig(path)
    pyplot.close(figure)


def _draw_outcomes(axes, day: days.LogSummary, seconds: list[int]) -> None:
    series = {
        "answered": [day.seconds[second].answered for second in seconds],
        "refused": [day.seconds[second].refused for second in seconds],
        "failed or broken off": [day.seconds[second].failed for second in seconds],
    }
    axes.stackplot(seconds, *series.values(), labels=series.keys())
    axes.set_ylabel("requests a second")
    axes.legend(loc="upper left", fontsize="small")


def _draw_times(axes, day: days.LogSummary, seconds: list[int]) -> None:
    for part, label in ((0.5, "median"), (0.95, "95 in 100")):
        values = [day.seconds[second].quantile_s(part) for second in seconds]
        axes.plot(seconds, values, label=label)
    axes.set_ylabel("first event, s")
    axes.legend(loc="upper left", fontsize="small")


def _draw_versions(axes, day: days.LogSummary, seconds: list[int]) -> None:
    versions = sorted({version for _, _, version in day.accepted_orders})
    for version in versions:
        counts = [day.count_engines_by_version(second)[version] for second in seconds]
        axes.step(seconds, counts, where="post", label=f"version {version}")
    axes.set_ylabel("engines ordered")
    if versions:
        axes.legend(loc="upper left", fontsize="small")


def _draw_life(axes, day: days.LogSummary, seconds: list[int]) -> None:
    for event, mark in LIFE_MARKS.items():
        busy = [
            second for second in seconds if day.seconds[second].lifecycle_events[event]
        ]
        counts = [day.seconds[second].lifecycle_events[event] for second in busy]
        axes.plot(busy, counts, mark, label=event, linestyle="none")
    axes.set_ylabel("processes")
    axes.legend(loc="upper left", fontsize="small")
