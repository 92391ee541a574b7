"""Plans when the engine beside this process switches to a new version.

Since their links are alike, all engines finish staging a new version at about the same
time, and an engine that switches takes no requests until its running ones have ended.
If all engines switched at once, callers would find none for seconds. They switch in
waves instead, within the time that the operator's rules allow.
"""

from collections.abc import Iterable
from typing import NamedTuple

from toucanspread.core import data

WAVE_COUNT = 3
TYPICAL_DRAIN_S = 0.8  # most running requests end within this time
QUIET_PERIOD_S = 0.15  # before the order, without new requests
STAGING_TIME_FACTOR = 1.08  # times what the link alone takes


class EnginePlacement(NamedTuple):
    """The address and zone of an engine of the same service."""

    address: data.Address
    zone: data.ZoneName


class SwitchPlan(NamedTuple):
    """When an engine switches, in seconds since this process learnt of the version.

    :param quiet_after_s: when entries should stop sending new requests.
    :param order_after_s: when the engine is ordered to switch.
    """

    quiet_after_s: float
    order_after_s: float


def assign_wave(
    own: EnginePlacement,
    engines: Iterable[EnginePlacement],
    wave_count: int = WAVE_COUNT,
) -> int:
    """Return the wave of an engine, from 0; a zone's engines are spread over all."""
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

    :param staging_s: seconds that the link takes for all pieces.
    :param deadline_s: seconds after which all engines have to serve the version, since
        this process learnt of it.
    :param switch_s: seconds that an engine takes to load the version.
    """
    staged_s = staging_s * STAGING_TIME_FACTOR
    available_s = deadline_s - switch_s - staged_s
    spacing_s = min(max(available_s / WAVE_COUNT, 0.0), TYPICAL_DRAIN_S * 1.5)
    order_s = staged_s + wave * spacing_s
    return SwitchPlan(max(order_s - QUIET_PERIOD_S, 0.0), order_s)
