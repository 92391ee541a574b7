"""Estimates what a slow engine costs a request beside the wait there.

Some engines work more slowly than others for some tenths of a second. This answers the
load of engines that are slow by turns: an idle one that takes two and a half times as
long is a worse choice than a normal one nearby, though nobody waits there.
"""

from toucanspread.core.entry import data as entry_data


def first_event_delay_s(
    pace: float, prefill_s: float, profile: entry_data.ModelProfile | None
) -> float:
    """Return how much later than usual the first event comes, not counting the wait.

    :param pace: slowdown factor that the engine reports.
    :param prefill_s: time that an engine usually needs for the prefill of the prompt.
    :param profile: of the model; None for an engine without one, which reports no pace.
    """
    if profile is None or pace <= 1.0:
        return 0.0
    return (pace - 1.0) * (prefill_s + profile.pass_s)
