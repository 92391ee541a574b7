"""Finds declarations of a configuration that have no effect or contradict each other.

All of them are decoded without complaint, so that the programs would use them.
"""

import collections
from collections.abc import Collection, Iterable, Iterator

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import region_rules
from toucanspread.tools import config_format

ERROR = config_format.Severity.ERROR
WARNING = config_format.Severity.WARNING
Finding = config_format.Finding


class ConfigurationChecker:
    """Checks one decoded configuration.

    :param names: names of the wire format, for the places of findings.
    :param regions: regions that have engines; None if they are not known.
    :param prompt_tokens: size of a usual prompt, with which targets are compared.
    """

    def __init__(
        self,
        configuration: entry_data.Configuration,
        names: config_format.WireNames,
        regions: Collection[data.RegionName] | None = None,
        prompt_tokens: int = 0,
    ):
        self._configuration = configuration
        self._names = names
        self._regions = regions
        self._prompt_tokens = prompt_tokens
        self._services = {item.name: item for item in configuration.services}

    def find(self) -> list[config_format.Finding]:
        """Return all findings, in the order of the configuration's sections."""
        return [
            *self._find_repeated_names(),
            *self._find_hidden_routes(),
            *self._find_faulty_shares(),
            *self._find_contradictory_limits(),
            *self._find_missed_targets(),
            *self._find_services_in_vain(),
            *self._find_faulty_keys(),
            *self._find_faulty_regions(),
        ]

    def _find_repeated_names(self) -> Iterator[Finding]:
        sections = (
            ("routes", self._configuration.routes),
            ("services", self._configuration.services),
            (self._names.teams, self._configuration.teams),
        )
        for section, items in sections:
            counts = collections.Counter(item.name for item in items)
            for name, count in counts.items():
                if count > 1:
                    message = f"{count} {section} have this name"
                    yield Finding(WARNING, f"{section}[{name}].name", message)

    def _find_hidden_routes(self) -> Iterator[Finding]:
        first_routes: dict[tuple[str, str], entry_data.Route] = {}
        for route in self._configuration.routes:
            place = f"routes[{route.name}].prefix"
            if route.prefix and not route.prefix.startswith("/"):
                message = f"no path begins with {route.prefix!r}; paths begin with '/'"
                yield Finding(WARNING, place, message)
            first = first_routes.setdefault((route.host, route.prefix), route)
            if first is not route:
                message = f"hidden by route {first.name} of the same host and prefix"
                yield Finding(WARNING, place, message)

    def _find_faulty_shares(self) -> Iterator[Finding]:
        for route in self._configuration.routes:
            place = f"routes[{route.name}]"
            if not route.shares:
                yield Finding(ERROR, place, "names no service; requests are refused")
            is_any_weighted = any(share.weight for share in route.shares)
            for share in route.shares:
                share_place = f"{place}.traffic_split[{share.service}]"
                if share.service not in self._services:
                    message = "no such service; its requests are refused"
                    yield Finding(ERROR, share_place, message)
                if share.weight:
                    continue
                message = "weight 0: the service gets no request of this route"
                if not is_any_weighted:
                    message = "all weights are 0: the services get equal parts"
                yield Finding(WARNING, f"{share_place}.weight", message)

    def _find_contradictory_limits(self) -> Iterator[Finding]:
        for route in self._configuration.routes:
            place = f"routes[{route.name}]"
            if route.target_s > route.timeout_s:
                message = (
                    f"{_format_ms(route.target_s)} is over timeout_ms,"
                    f" {_format_ms(route.timeout_s)}"
                )
                yield Finding(WARNING, f"{place}.{self._names.target}", message)
            if route.attempts > 1 and not route.is_repeatable:
                message = f"{route.attempts}, but requests are not repeated: kind is "
                if route.kind is entry_data.RequestKind.STREAMING:
                    message += f"streaming without {self._names.resumable}"
                else:
                    message += "non_idempotent"
                yield Finding(WARNING, f"{place}.attempts", message)
        for service in self._configuration.services:
            if service.cold_start_s > 0 and service.cold_per_s == 0:
                message = (
                    f"0 with cold_start_s {service.cold_start_s:g}:"
                    " cold engines get as many requests as others"
                )
                place = f"services[{service.name}].cold_per_s"
                yield Finding(WARNING, place, message)

    def _find_missed_targets(self) -> Iterator[Finding]:
        for route in self._configuration.routes:
            for share in route.shares:
                service = self._services.get(share.service)
                if service is None or service.profile is None:
                    continue
                prefill_s = self._prompt_tokens / service.profile.read_per_s
                first_event_s = prefill_s + service.profile.pass_s
                if first_event_s <= route.target_s:
                    continue
                message = (
                    f"{_format_ms(route.target_s)}, but an idle engine of"
                    f" {service.name} needs {_format_ms(first_event_s)} for a prompt"
                    f" of {self._prompt_tokens} tokens and one decode pass"
                )
                place = f"routes[{route.name}].{self._names.target}"
                yield Finding(WARNING, place, message)

    def _find_services_in_vain(self) -> Iterator[Finding]:
        used = {
            share.service
            for route in self._configuration.routes
            for share in route.shares
        }
        for service in self._configuration.services:
            # The origin of weights serves no requests of callers.
            if service.name not in used and not service.origin:
                place = f"services[{service.name}]"
                yield Finding(WARNING, place, "no route names this service")

    def _find_faulty_keys(self) -> Iterator[Finding]:
        # The last team that has a key gets its requests. Keys are secrets: findings
        # name their positions.
        last_teams = {
            key: index
            for index, team in enumerate(self._configuration.teams)
            for key in team.keys
        }
        for index, team in enumerate(self._configuration.teams):
            place = f"{self._names.teams}[{team.name}].{self._names.keys}"
            if not team.keys:
                yield Finding(WARNING, place, "no keys: no request is of this team")
            for position, key in enumerate(team.keys):
                if last_teams[key] == index:
                    continue
                owner = self._configuration.teams[last_teams[key]].name
                message = f"the key also belongs to team {owner}, which is used"
                yield Finding(WARNING, f"{place}[{position}]", message)

    def _find_faulty_regions(self) -> Iterator[Finding]:
        routes = self._configuration.routes
        for route in routes:
            place = f"routes[{route.name}].allowed_regions"
            yield from self._find_regions_without_engine(place, route.allowed_regions)
        for team in self._configuration.teams:
            place = f"{self._names.teams}[{team.name}].allowed_regions"
            yield from self._find_regions_without_engine(place, team.allowed_regions)
            for route in routes:
                if not route.allowed_regions or not team.allowed_regions:
                    continue
                common = region_rules.combine(route, team)
                if common and self._has_engines(common):
                    continue
                found = "none with engines" if common else "none"
                message = (
                    f"{found} in common with route {route.name}:"
                    " its requests of this team are refused"
                )
                yield Finding(WARNING, place, message)

    def _find_regions_without_engine(
        self, place: str, allowed: Iterable[data.RegionName]
    ) -> Iterator[Finding]:
        if self._regions is None:
            return
        for region in allowed:
            if region not in self._regions:
                yield Finding(WARNING, place, f"region {region} has no engines")

    def _has_engines(self, allowed: Iterable[data.RegionName]) -> bool:
        return self._regions is None or any(item in self._regions for item in allowed)


def _format_ms(duration_s: float) -> str:
    return f"{duration_s * 1000:g} ms"
