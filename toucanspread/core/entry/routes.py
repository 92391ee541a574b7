"""Finds the route and the team of a request in the configuration in force."""

import enum
from collections.abc import Iterable

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import priority_rules, region_rules


class Denial(enum.Enum):
    """Reason for which the configuration does not allow a request."""

    NO_ROUTE = "no route"
    UNKNOWN_KEY = "unknown key"


class RouteTable:
    """Index of the routes, services and keys of a configuration.

    :param configuration: the newest known configuration.
    """

    def __init__(self, configuration: entry_data.Configuration):
        self.configuration = configuration
        self.services = {service.name: service for service in configuration.services}
        self._by_host = _index_routes(configuration.routes)
        self._team_of_key = _index_keys(configuration.teams)
        self._priorities: dict[data.ServiceName, priority_rules.PriorityRules] = {}

    @property
    def version(self) -> int:
        """Return the configuration's version."""
        return self.configuration.version

    def find_route(self, host: str, path: str) -> entry_data.Route | None:
        """Return the route with the longest prefix of the path, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_regions(self, host: str) -> region_rules.Regions | None:
        """Return the regions that suit the routes of a host; None if all regions do."""
        return region_rules.find_regions_of_host(self._by_host.get(host, ()))

    def find_team(self, key: str | None) -> entry_data.Team | None:
        """Return the team of an API key, or None."""
        if key is None:
            return None
        return self._team_of_key.get(key)

    def find_denial(
        self, route: entry_data.Route | None, team: entry_data.Team | None
    ) -> Denial | None:
        """Return the reason for which a request is not allowed, or None if it is."""
        if route is None:
            return Denial.NO_ROUTE
        if team is not None or route.allow_anonymous:
            return None
        return Denial.UNKNOWN_KEY if self.configuration.teams else None

    def priorities_of(
        self, service: entry_data.Service
    ) -> priority_rules.PriorityRules:
        """Return the declared priorities of the requests of a service."""
        rules = self._priorities.get(service.name)
        if rules is None:
            rules = priority_rules.PriorityRules.from_configuration(
                self.configuration, service
            )
            self._priorities[service.name] = rules
        return rules

    def origin_service(self) -> entry_data.Service | None:
        """Return the service that holds all weights, or None."""
        for service in self.configuration.services:
            if service.origin:
                return service
        return None

    def origin_piece_s(self, model: str) -> float:
        """Return the transfer time of a piece over the origin's link; 0 if unknown."""
        origin = self.origin_service()
        service = self.model_service(model)
        if origin is None or service is None or origin.origin_mbps <= 0:
            return 0.0
        bits = service.profile.chunk_bytes * 8
        return bits / (origin.origin_mbps * 1_000_000)

    def model_service(self, model: str) -> entry_data.Service | None:
        """Return the service whose engines run a model, or None."""
        for service in self.configuration.services:
            if service.profile is not None and service.profile.model == model:
                return service
        return None


def _index_routes(
    routes: Iterable[entry_data.Route],
) -> dict[str, list[entry_data.Route]]:
    by_host: dict[str, list[entry_data.Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    for host_routes in by_host.values():
        host_routes.sort(key=lambda route: len(route.prefix), reverse=True)
    return by_host


def _index_keys(teams: Iterable[entry_data.Team]) -> dict[str, entry_data.Team]:
    return {key: team for team in teams for key in team.keys}
