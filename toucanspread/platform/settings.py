"""The settings file that the platform writes, checked as a whole.

Its fields are the platform's; unknown ones are ignored, since new ones may come.
"""

import pathlib
from typing import Self

import msgspec

from toucanspread.core import data

PATH_VARIABLE = "TOUCANSPREAD_SETTINGS"


class SettingsError(Exception):
    """The settings file cannot be used."""


class Listen(msgspec.Struct, frozen=True):
    """Where a process listens for what it serves."""

    front: str = ""
    readiness: str = ""
    control: str = ""
    directory: str = ""


class Bounds(msgspec.Struct, frozen=True):
    """The figures of the platform's rules that the system keeps to.

    :param drain_ms: how long an engine that leaves still answers.
    :param version_ms: within which requests begin on new weights only.
    :param ttl_max_s: the longest that callers keep a list of addresses.
    """

    drain_ms: float = 2_000
    grace_s: float = 8
    budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 100
    version_ms: float = 8_000
    ttl_max_s: float = 5


class MachineLimits(msgspec.Struct, frozen=True):
    """What the machine gives a process."""

    link_mbps: float = 100.0


class StoreSettings(msgspec.Struct, frozen=True):
    """Where the store is, and the least lifetime of its leases."""

    address: str
    ttl_min_ms: float = 1_000


class Settings(msgspec.Struct, frozen=True):
    """What a process is told at its start.

    :param app: the engine on the same machine; empty where there is none.
    :param service: of that engine.
    :param bootstrap: whether the whole system starts for the first time.
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

    @classmethod
    def from_file(cls, path: pathlib.Path) -> Self:
        """Read and check the file.

        :raises SettingsError: with what is wrong.
        """
        try:
            return msgspec.json.decode(path.read_bytes(), type=cls)
        except OSError as error:
            raise SettingsError(f"{path}: cannot be read: {error}") from error
        except msgspec.MsgspecError as error:
            raise SettingsError(f"{path}: {error}") from error

    def map_zones_to_regions(self) -> dict[data.ZoneName, data.RegionName]:
        """Return each availability zone's region."""
        regions = {
            data.ZoneName(zone): data.RegionName(region)
            for zone, region in self.zones.items()
        }
        regions.setdefault(data.ZoneName(self.zone), data.RegionName(self.region))
        return regions

    def require(self, *names: str) -> None:
        """Check the listening addresses that a program needs.

        :raises SettingsError: naming all that are missing.
        """
        missing = [f"listen.{name}" for name in names if not getattr(self.listen, name)]
        if missing:
            raise SettingsError(f"missing: {', '.join(missing)}")
