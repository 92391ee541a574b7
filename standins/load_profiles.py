"""The loads of the users' heaviest days, to be played against the entries' decisions.

Figures are from the users' sheets: kinds of requests, and rates for seven engines, of
which each answers about nine requests a second.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """A kind of request, from the users' sheet.

    :param share: of all requests.
    """

    name: str
    mean_prompt_tokens: int
    target_s: float
    share: float


REQUEST_KINDS = (
    RequestKind("long", 1_330, 0.505, 0.40),
    RequestKind("middle", 827, 0.404, 0.31),
    RequestKind("short", 647, 0.404, 0.29),
)


@dataclasses.dataclass(frozen=True)
class LoadProfile:
    """What callers ask for, and which engines there are.

    :param rates_per_s: requests a second, from each time on.
    :param engines: how many serve, from each time on.
    :param lasts_s: how long callers come.
    :param orders_s: when engines are ordered to switch; one after the other takes the
        next of these times.
    """

    name: str
    rates_per_s: tuple[tuple[float, float], ...]
    engines: tuple[tuple[float, int], ...]
    duration_s: float
    switch_times_s: tuple[float, ...] = ()
    entries: int = 18


LOAD_PROFILES = (
    LoadProfile("calm", ((0.0, 42.0),), ((0.0, 7),), 10.0),
    # Four fifths of what the engines can do, as on most days.
    LoadProfile("usual", ((0.0, 86.0),), ((0.0, 12),), 10.0),
    # Twice the callers come, and more engines follow after four seconds.
    LoadProfile("burst", ((0.0, 38.0), (3.0, 75.0)), ((0.0, 6), (7.0, 10)), 16.0),
    # A third more than engines can do, for as long as it lasts.
    LoadProfile("overload", ((0.0, 82.0),), ((0.0, 7),), 10.0),
    # All engines are lost and come back together.
    # All engines switch to a new version, in three waves.
    LoadProfile("switch", ((0.0, 70.0),), ((0.0, 10),), 9.0, (3.0, 3.9, 4.8)),
    LoadProfile("recovery", ((0.0, 70.0),), ((0.0, 10), (3.0, 0), (5.5, 10)), 14.0),
)


def get_step_value(steps: tuple[tuple[float, float], ...], now_s: float) -> float:
    """Return the value of a step function."""
    found = steps[0][1]
    for from_s, value in steps:
        if from_s <= now_s:
            found = value
    return found
