"""The YAML settings of the daemons, checked as a whole before anything starts.

Every fault of a file is reported together; each names the file, the key, the value
and what is allowed.
"""

import ipaddress
import pathlib
import re
from typing import Any, Self

import msgspec
import yaml

from toucanspread.core import data

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
MAX_PORT = 65535


class SettingsError(Exception):
    """A settings file cannot be used.

    :param problems: one line for each fault.
    """

    def __init__(self, problems: list[str]):
        super().__init__("\n".join(problems))
        self.problems = problems


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What both daemons are told.

    :param address: ``ip:port`` for other processes, TCP and UDP.
    :param key_value_url: base URL of the platform's key-value service.
    :param seeds: addresses of processes to learn from when the platform is down.
    :param seed: the source of randomness; 0 takes one from the system.
    """

    instance_id: str
    zone: str
    region: str
    address: str
    key_value_url: str
    instance_list_url: str
    seeds: tuple[str, ...] = ()
    seed: int = 0

    @classmethod
    def from_file(cls, path: pathlib.Path) -> Self:
        """Read and check a settings file.

        :raises SettingsError: with every fault found.
        """
        try:
            loaded = yaml.safe_load(path.read_text())
        except OSError as error:
            raise SettingsError(
                [f"{path}: cannot be read: {error.strerror}"]
            ) from error
        except yaml.YAMLError as error:
            raise SettingsError([f"{path}: not YAML: {error}"]) from error
        return cls.from_config(loaded, str(path))

    @classmethod
    def from_config(cls, loaded: Any, source: str) -> Self:
        """Check settings that were read from ``source``.

        :raises SettingsError: with every fault found.
        """
        if not isinstance(loaded, dict):
            raise SettingsError([f"{source}: expected a mapping of keys to values"])
        problems = []
        values = {}
        fields = {field.name: field for field in msgspec.structs.fields(cls)}
        for key in loaded:
            if key not in fields:
                allowed = ", ".join(sorted(fields))
                problems.append(f"{source}: {key}: unknown key; allowed: {allowed}")
        for name, field in fields.items():
            if name not in loaded:
                if field.required:
                    problems.append(f"{source}: {name}: missing")
                continue
            problem = _check_value(name, field.type, loaded[name], values)
            if problem:
                problems.append(f"{source}: {name}: {loaded[name]!r}: {problem}")
        if problems:
            raise SettingsError(problems)
        settings = cls(**values)
        problems = [f"{source}: {problem}" for problem in settings.find_conflicts()]
        if problems:
            raise SettingsError(problems)
        return settings

    def find_conflicts(self) -> list[str]:
        """Return what is wrong between keys that are right one by one."""
        return []


class EntrySettings(Settings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What an entry daemon is told.

    :param http_address: ``ip:port`` for callers and operators.
    :param origin_region: the region of the origin, for the bytes over links in plans.
    """

    http_address: str
    origin_region: str = ""
    max_body_bytes: int = 1024 * 1024


class EndpointSettings(Settings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What an endpoint daemon is told.

    :param engine_url: the model engine beside the process, or
    :param plain_service_url: the plain service beside it; just one of the two.
    :param origin_region: the region of the origin, for the links between regions.
    :param upload_rate_bytes_s: the pace of weights sent to others; 0 is unpaced.
    :param metrics_address: ``ip:port`` for the scraper; empty is none.
    """

    engine_url: str = ""
    plain_service_url: str = ""
    service: str = ""
    origin_url: str = ""
    origin_region: str = ""
    concurrency: int = 8
    upload_rate_bytes_s: int = 0
    download_rate_bytes_s: int = 0
    metrics_address: str = ""

    def find_conflicts(self) -> list[str]:
        """Ask for just one service beside the process."""
        if bool(self.engine_url) == bool(self.plain_service_url):
            return ["engine_url, plain_service_url: allowed: just one of the two"]
        if self.engine_url and not self.origin_url:
            return ["origin_url: missing; an engine's weights come from an origin"]
        return []


def _check_value(name: str, kind: Any, value: Any, values: dict) -> str:
    """Convert a value into ``values``; return what is allowed when it is not."""
    try:
        values[name] = msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        return str(error)
    if name in ("instance_id", "zone", "region"):
        return "" if NAME_PATTERN.fullmatch(value) else "allowed: a-z, 0-9, '-', '.'"
    if name.endswith("address") and value:
        return find_address_fault(value)
    if name == "seeds":
        return "; ".join(filter(None, map(find_address_fault, value)))
    if name.endswith("_url") and value and not value.startswith("http://"):
        return "allowed: a URL that begins with http://"
    if isinstance(value, int) and value < 0:
        return "allowed: 0 and above"
    return ""


def find_address_fault(address: str) -> str:
    """Return what is wrong with an ``ip:port``, or nothing."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return "allowed: ip:port, with the address as an IP number"
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        return f"allowed: ip:port, with a port from 1 to {MAX_PORT}"
    return ""


def build_identity(
    settings: Settings, role: data.Role, incarnation: int
) -> data.Identity:
    """Return who the daemon with these settings is."""
    return data.Identity(
        instance_id=data.InstanceId(settings.instance_id),
        role=role,
        incarnation=data.Incarnation(incarnation),
        zone=data.ZoneName(settings.zone),
        region=data.RegionName(settings.region),
        address=data.Address(settings.address),
        http_address=data.Address(getattr(settings, "http_address", "")),
    )
