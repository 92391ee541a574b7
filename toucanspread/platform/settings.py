"""Reads and checks the settings file that the platform writes.

Its fields are named by the platform. Unknown fields are ignored, since the platform may
add new ones.
"""

import pathlib
from typing import Self

import msgspec

from toucanspread.core import data, decoder

PATH_VARIABLE = "TOUCANSPREAD_SETTINGS"
PRESSURE_CONTRACT = "pressure"


class SettingsError(Exception):
    """The settings file cannot be read, is malformed, or lacks a setting."""


class Listen(msgspec.Struct, frozen=True):
    """Addresses on which a process listens, each as ``ip:port``.

    :param front: for callers' requests.
    :param readiness: for the platform's readiness checks.
    :param control: for the other processes of the system.
    :param directory: for callers that ask for the addresses of entries.
    """

    front: str = ""
    readiness: str = ""
    control: str = ""
    directory: str = ""


class Bounds(msgspec.Struct, frozen=True):
    """Bounds that the platform's rules set for the system.

    :param drain_ms: time for which a leaving engine still answers.
    :param grace_s: time from the signal to terminate until the platform kills the
        process.
    :param version_ms: time after which requests must start on newly named weights.
    :param ttl_max_s: maximum time for which callers keep a list of addresses.
    :param config_apply_ms: time after which a configuration must be in force.
    :param cold_over: how many times its declared rate a cold engine may get in any
        second, besides ``cold_slack`` requests.
    """

    drain_ms: float = 2_000
    grace_s: float = 8
    budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 100
    version_ms: float = 8_000
    ttl_max_s: float = 5
    config_apply_ms: float = 2_000
    cold_over: float = 1.0
    cold_slack: float = 0.0


class MachineLimits(msgspec.Struct, frozen=True):
    """Resources of the machine on which a process runs."""

    link_mbps: float = 100.0


class StoreSettings(msgspec.Struct, frozen=True):
    """Address of the store, and the minimum lifetime of its leases."""

    address: str
    ttl_min_ms: float = 1_000


class Settings(msgspec.Struct, frozen=True):
    """Settings of a process.

    :param platform: settings of the platform's store.
    :param zones: region of each availability zone.
    :param seeds: control addresses of entries, for a process that knows no entry yet.
    :param app: address of the engine on the same machine; empty if there is none.
    :param service: service of that engine.
    :param bootstrap: whether the whole system is started for the first time.
    :param contracts: names of the platform's terms that are in force.
    """

    node_name: str
    ip: str
    zone: str
    region: str
    platform: StoreSettings
    zones: dict[str, str] = {}
    listen: Listen = Listen()
    internal_ports: tuple[int, int] = (7700, 7715)
    seeds: tuple[str, ...] = ()
    bounds: Bounds = Bounds()
    limits: MachineLimits = MachineLimits()
    app: str = ""
    service: str = ""
    bootstrap: bool = False
    contracts: tuple[str, ...] = ()

    @classmethod
    def from_file(cls, path: pathlib.Path) -> Self:
        """Read and check the settings file.

        :raises SettingsError: when the file cannot be read or is malformed.
        """
        try:
            return decoder.decode_json(path.read_bytes(), cls)
        except OSError as error:
            raise SettingsError(f"{path}: cannot be read: {error}") from error
        except decoder.MalformedError as error:
            raise SettingsError(f"{path}: {error}") from error

    def map_zones_to_regions(self) -> dict[data.ZoneName, data.RegionName]:
        """Return the region of each availability zone, including the process's own."""
        regions = {
            data.ZoneName(zone): data.RegionName(region)
            for zone, region in self.zones.items()
        }
        regions.setdefault(data.ZoneName(self.zone), data.RegionName(self.region))
        return regions

    @property
    def has_pressure(self) -> bool:
        """Return whether callers may compete for too little room."""
        return PRESSURE_CONTRACT in self.contracts

    def require(self, *names: str) -> None:
        """Check that the listening addresses that a program needs are set.

        :raises SettingsError: when some are missing; the message names all of them.
        """
        missing = [f"listen.{name}" for name in names if not getattr(self.listen, name)]
        if missing:
            raise SettingsError(f"missing settings: {', '.join(missing)}")
