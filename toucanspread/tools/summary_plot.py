"""Plots a log summary as four charts over time.

Requires matplotlib, which the daemons don't need.
"""

import pathlib

from toucanspread.tools import log_summary

WIDTH_INCHES = 10
HEIGHT_INCHES = 9
LIFECYCLE_MARKERS = {"started": "^", "leaving": "v", "ending": "x"}


def write_plot(summary: log_summary.LogSummary, path: pathlib.Path) -> None:
    """Write an image of outcomes, times to the first event, versions and processes.

    :param path: the file to write; its suffix selects the format.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (outcomes, times, versions, lifecycle) = pyplot.subplots(
        4,
        1,
        sharex=True,
        figsize=(WIDTH_INCHES, HEIGHT_INCHES),
        constrained_layout=True,
    )
    seconds = sorted(summary.seconds)
    _draw_outcomes(outcomes, summary, seconds)
    _draw_times(times, summary, seconds)
    _draw_versions(versions, summary, seconds)
    _draw_lifecycle(lifecycle, summary, seconds)
    lifecycle.set_xlabel("seconds since the first log line")
    figure.savefig(path)
    pyplot.close(figure)


def _draw_outcomes(axes, summary: log_summary.LogSummary, seconds: list[int]) -> None:
    series = {
        "answered": [summary.seconds[second].answered for second in seconds],
        "refused": [summary.seconds[second].refused for second in seconds],
        "failed or broken off": [summary.seconds[second].failed for second in seconds],
    }
    axes.stackplot(seconds, *series.values(), labels=series.keys())
    axes.set_ylabel("requests per second")
    axes.legend(loc="upper left", fontsize="small")


def _draw_times(axes, summary: log_summary.LogSummary, seconds: list[int]) -> None:
    for quantile, label in ((0.5, "median"), (0.95, "95th percentile")):
        values = [summary.seconds[second].quantile_s(quantile) for second in seconds]
        axes.plot(seconds, values, label=label)
    axes.set_ylabel("time to first event, s")
    axes.legend(loc="upper left", fontsize="small")


def _draw_versions(axes, summary: log_summary.LogSummary, seconds: list[int]) -> None:
    versions = sorted({version for _, _, version in summary.accepted_orders})
    for version in versions:
        counts = [
            summary.count_engines_by_version(second)[version] for second in seconds
        ]
        axes.step(seconds, counts, where="post", label=f"version {version}")
    axes.set_ylabel("engines by ordered version")
    if versions:
        axes.legend(loc="upper left", fontsize="small")


def _draw_lifecycle(axes, summary: log_summary.LogSummary, seconds: list[int]) -> None:
    for event, marker in LIFECYCLE_MARKERS.items():
        marked_seconds = [
            second
            for second in seconds
            if summary.seconds[second].lifecycle_events[event]
        ]
        counts = [
            summary.seconds[second].lifecycle_events[event] for second in marked_seconds
        ]
        axes.plot(marked_seconds, counts, marker, label=event, linestyle="none")
    axes.set_ylabel("processes")
    axes.legend(loc="upper left", fontsize="small")
