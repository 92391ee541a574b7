"""Combines the regions in which the requests of a route and of a team may be served."""

from collections.abc import Iterable

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data

Regions = frozenset[data.RegionName]


def combine(route: entry_data.Route, team: entry_data.Team | None) -> Regions | None:
    """Return the regions in which a request may be served; None if all of them.

    Where both the route and the team name regions, both bind; no region may be left.
    """
    declared = [frozenset(route.allowed_regions)] if route.allowed_regions else []
    if team is not None and team.allowed_regions:
        declared.append(frozenset(team.allowed_regions))
    return frozenset.intersection(*declared) if declared else None


def find_regions_of_host(routes: Iterable[entry_data.Route]) -> Regions | None:
    """Return the regions that suit the routes of one host; None if all regions do.

    Callers ask for addresses by host, before it is known which route a request takes.
    """
    declared = [
        frozenset(route.allowed_regions) for route in routes if route.allowed_regions
    ]
    if not declared:
        return None
    return frozenset.intersection(*declared) or frozenset.union(*declared)
