"""Configurations that change in one route or key at a time."""

import collections
import json
import random

from standins import promise_check, view_simulation

KEY_COUNT = 60
WATCHED_COUNT = 12  # routes and keys that changed last, which callers use


class ConfigurationSource:
    """Writes configurations; each differs from the one before in one route or key."""

    def __init__(self, route_count: int, random_source: random.Random):
        self._random = random_source
        self._routes = [view_simulation.make_route(random_source)]
        self._keys = [self._make_key()]
        # Neither of the first two is ever removed.
        self._steady = _identify(self._routes[0]), self._keys[0]
        for _ in range(route_count - 1):
            self._routes.append(view_simulation.make_route(random_source))
        for _ in range(KEY_COUNT - 1):
            self._keys.append(self._make_key())
        self._watched: collections.deque[tuple[tuple[str, str], str]] = (
            collections.deque([self._steady], WATCHED_COUNT)
        )

    def change(self) -> None:
        """Add or remove a route or a key."""
        steady_route, steady_key = self._steady
        if self._random.random() < 0.5:
            route = self._change_routes()
            self._watched.append((_identify(route), steady_key))
        else:
            self._watched.append((steady_route, self._change_keys()))

    def list_probes(self) -> list[tuple[tuple[str, str], str]]:
        """Return the routes, each with a key, on which callers send requests now."""
        return [self._steady, *self._watched]

    def encode(self, version: int) -> bytes:
        """Return the value of the configuration."""
        configuration = {
            "version": version,
            "routes": self._routes,
            "services": [],
            "tenants": [{"name": "t", "api_keys": self._keys}],
        }
        return json.dumps(configuration, separators=(",", ":")).encode()

    def make_content(self, version: int) -> promise_check.Content:
        """Return what the configuration allows."""
        routes = frozenset(_identify(route) for route in self._routes)
        return promise_check.Content(version, routes, frozenset(self._keys))

    def _change_routes(self) -> dict:
        if self._random.random() < 0.5:
            self._routes.append(view_simulation.make_route(self._random))
            return self._routes[-1]
        return self._routes.pop(self._random.randrange(1, len(self._routes)))

    def _change_keys(self) -> str:
        if self._random.random() < 0.5:
            self._keys.append(self._make_key())
            return self._keys[-1]
        return self._keys.pop(self._random.randrange(1, len(self._keys)))

    def _make_key(self) -> str:
        return f"{self._random.getrandbits(96):024x}"


def _identify(route: dict) -> tuple[str, str]:
    return route["host"], route["prefix"]
