"""When the engine beside this process may switch to a new version.

The load this answers: all engines have a new version staged at about the same time,
since their links are alike, and an engine that switches takes no requests until those
it runs have ended. If all switch at once, callers find no engine for seconds; so they
switch in waves, within the time that the operator's rules leave.
"""

from collections.abc import Iterable
from typing import NamedTuple

from toucanspread.core import data

WAVE_COUNT = 3
TYPICAL_DRAIN_S = 0.8  # most of the requests that an engine runs end within this
QUIET_PERIOD_S = 0.15  # before its order, an engine is given nothing new for this long
STAGING_TIME_FACTOR = 1.08  # over the time that the link alone needs


class EnginePlacement(NamedTuple):
    """An engine of the same service."""

    address: data.Address
    zone: data.ZoneName


class SwitchPlan(NamedTuple):
    """When an engine stops taking requests, and when it is ordered.

    Both are spans since the version was heard of.
    """

    quiet_after_s: float
    order_after_s: float


def assign_wave(
    own: EnginePlacement,
    engines: Iterable[EnginePlacement],
    wave_count: int = WAVE_COUNT,
) -> int:
    """Return the wave of an engine; each zone's engines are spread over the waves."""
    zones = sorted({engine.zone for engine in engines} | {own.zone})
    zone_addresses = sorted(
        {engine.address for engine in engines if engine.zone == own.zone}
        | {own.address}
    )
    return (zone_addresses.index(own.address) + zones.index(own.zone)) % wave_count


def plan_switch(
    staging_s: float, deadline_s: float, switch_s: float, wave: int
) -> SwitchPlan:
    """Return when an engine of a wave switches.

    :param staging_s: what the link needs for all pieces.
    :param within_s: since the version was heard of, all have to serve it.
    :param switch_s: what the loading itself takes.
    """
    staged_s = staging_s * STAGING_TIME_FACTOR
    available_s = deadline_s - switch_s - staged_s
    spacing_s = min(max(available_s / WAVE_COUNT, 0.0), TYPICAL_DRAIN_S * 1.5)
    order_s = staged_s + wave * spacing_s
    return SwitchPlan(max(order_s - QUIET_PERIOD_S, 0.0), order_s)
