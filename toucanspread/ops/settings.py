"""YAML settings of the daemons, validated as a whole before a daemon starts.

All errors of a file are reported together; each names the file, the key, the value and
what is allowed.
"""

import ipaddress
import pathlib
import re
from typing import Any, Self

import msgspec

from toucanspread.core import data, decoder

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
MAX_PORT = 65535


class SettingsError(Exception):
    """A settings file is invalid or cannot be read.

    :param problems: one line per error.
    """

    def __init__(self, problems: list[str]):
        super().__init__("\n".join(problems))
        self.problems = problems


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of both daemons.

    :param address: ``ip:port`` for other processes, over TCP and UDP.
    :param key_value_url: base URL of the platform's key-value service.
    :param instance_list_url: base URL of the platform's list of instances.
    :param seeds: addresses of processes to contact when the platform is unavailable.
    :param seed: seed of random decisions; 0 selects a random seed.
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
        """Read and validate a settings file.

        :raises SettingsError: with all errors found.
        """
        try:
            content = decoder.parse_yaml(path.read_bytes())
        except OSError as error:
            raise SettingsError(
                [f"{path}: cannot be read: {error.strerror}"]
            ) from error
        except decoder.MalformedError as error:
            raise SettingsError([f"{path}: not valid YAML: {error}"]) from error
        return cls.from_config(content, str(path))

    @classmethod
    def from_config(cls, content: Any, source: str) -> Self:
        """Validate settings that were read from a file.

        :param source: name of the file, for error messages.
        :raises SettingsError: with all errors found.
        """
        if not isinstance(content, dict):
            raise SettingsError([f"{source}: expected a mapping of keys to values"])
        problems = []
        values = {}
        fields = {field.name: field for field in msgspec.structs.fields(cls)}
        for key in content:
            if key not in fields:
                allowed = ", ".join(sorted(fields))
                problems.append(
                    f"{source}: {key}: unknown key; allowed keys: {allowed}"
                )
        for name, field in fields.items():
            if name not in content:
                if field.required:
                    problems.append(f"{source}: {name}: required key is missing")
                continue
            problem = _convert_value(name, field.type, content[name], values)
            if problem:
                problems.append(f"{source}: {name}: {content[name]!r}: {problem}")
        if problems:
            raise SettingsError(problems)
        settings = cls(**values)
        problems = [f"{source}: {problem}" for problem in settings.find_conflicts()]
        if problems:
            raise SettingsError(problems)
        return settings

    def find_conflicts(self) -> list[str]:
        """Return the errors in combinations of keys that are valid one by one."""
        return []


class EntrySettings(Settings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of an entry daemon.

    :param http_address: ``ip:port`` for callers and operators.
    :param origin_region: region of the origin; plans count the bytes between regions.
    """

    http_address: str
    origin_region: str = ""
    max_body_bytes: int = 1024 * 1024


class EndpointSettings(Settings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of an endpoint daemon.

    Exactly one of ``engine_url`` and ``plain_service_url`` must be set.

    :param engine_url: URL of the model engine on the same instance.
    :param plain_service_url: URL of the plain service on the same instance.
    :param service: name of the plain service; empty with an engine.
    :param origin_url: URL of the origin of the weights; required with an engine.
    :param origin_region: region of the origin, for the links between regions.
    :param concurrency: limit of concurrent requests until latencies are known.
    :param upload_rate_bytes_s: rate limit of weights sent to peers; 0 means unlimited.
    :param download_rate_bytes_s: rate limit of received weights; 0 means unlimited.
    :param metrics_address: ``ip:port`` of ``/metrics``; empty if it isn't served.
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
        """Return an error unless one service is set, and an origin for an engine."""
        if bool(self.engine_url) == bool(self.plain_service_url):
            return ["engine_url, plain_service_url: exactly one of the two must be set"]
        if self.engine_url and not self.origin_url:
            return [
                "origin_url: required key is missing; "
                "an engine's weights come from an origin"
            ]
        return []


def _convert_value(name: str, field_type: Any, value: Any, values: dict) -> str:
    """Convert a value and store it in ``values``.

    :return: what is wrong with the value; empty if it is valid.
    """
    try:
        values[name] = decoder.convert(value, field_type)
    except decoder.MalformedError as error:
        return str(error)
    if name in ("instance_id", "zone", "region"):
        return (
            ""
            if NAME_PATTERN.fullmatch(value)
            else "must be 1 to 63 of a-z, 0-9, '-', '.', starting with a-z or 0-9"
        )
    if name.endswith("address") and value:
        return find_address_fault(value)
    if name == "seeds":
        return "; ".join(filter(None, map(find_address_fault, value)))
    if name.endswith("_url") and value and not value.startswith("http://"):
        return "must be a URL that begins with http://"
    if isinstance(value, int) and value < 0:
        return "must be 0 or more"
    return ""


def find_address_fault(address: str) -> str:
    """Return what is wrong with an ``ip:port``; empty if it is valid."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return "must be ip:port with an IP address, not a host name"
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        return f"must be ip:port with a port from 1 to {MAX_PORT}"
    return ""


def build_identity(
    settings: Settings, role: data.Role, incarnation: int
) -> data.Identity:
    """Return the identity of a daemon with these settings."""
    return data.Identity(
        instance_id=data.InstanceId(settings.instance_id),
        role=role,
        incarnation=data.Incarnation(incarnation),
        zone=data.ZoneName(settings.zone),
        region=data.RegionName(settings.region),
        address=data.Address(settings.address),
        http_address=data.Address(getattr(settings, "http_address", "")),
    )
