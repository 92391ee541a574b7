"""Simulates how the processes of one availability zone follow the platform's store.

The product's code synchronizes the copies; the store and the links are simulated in
virtual time. The store is in another region, which the processes of the zone reach over
one shared link.
"""

import asyncio
import base64
import json
import random
import urllib.parse
from collections.abc import Callable
from types import SimpleNamespace
from typing import NamedTuple

from standins import link_simulation, store_copies, virtual_time
from toucanspread.core import data, rendezvous
from toucanspread.core.view import source_selection, store_view
from toucanspread.ops.copies import excerpt_server, view_sync
from toucanspread.ops.http import http1
from toucanspread.platform import decoding, entry_handlers, store

ZONE = data.ZoneName("z")
STORE_ADDRESS = "store:1"
STORE_ANSWER_S = 0.004
STORE_LINK_MBPS = 1_000.0
REGION_LINK_MBPS = 15.5
ENTRY_LINK_MBPS = 14.0
SIDECAR_LINK_MBPS = 4.7
STEP_S = 0.01
TRAFFIC_INTERVAL_S = 0.02  # between packets of other traffic on a link


class ZoneSize(NamedTuple):
    """Number of processes in the zone, and of engines in the store."""

    entries: int = 26
    sidecars: int = 17
    engines: int = 52


class SimulatedStore:
    """The platform's store.

    :ivar refused: addresses of the machines that it does not serve.
    :ivar era: rises by one each time it returns from an older copy.
    :ivar written_s: time of each revision.
    """

    def __init__(self, network: link_simulation.Network):
        self.refused: set[str] = set()
        self.era = store_copies.FIRST_ERA
        self.revision = 0
        self.written_s: dict[int, float] = {}
        self.machine = network.add_machine(STORE_ADDRESS, STORE_LINK_MBPS)
        self.machine.links = [link_simulation.Link(REGION_LINK_MBPS)]
        self.machine.handle = self._on_request
        self._loop = network.loop
        self._log: list[store_view.KeyChange] = []
        self._waiting: dict[_Watch, None] = {}
        self._copies: store_copies.Copies[store_view.KeyChange] = store_copies.Copies()

    @property
    def items(self) -> dict[str, store_view.KeyChange]:
        """The last change of each key that was not deleted."""
        newest = {change.key: change for change in self._log}
        return {k: change for k, change in newest.items() if change.value is not None}

    def return_from_copy(self, age_s: float) -> None:
        """Lose the changes of the last seconds; what was lost is written again."""
        lost = self.items
        now_s = self._loop.time()
        copy = self._copies.take_back(now_s, age_s, self.revision, lost)
        self.era += 1
        self.revision = copy.revision
        self._log = [c for c in self._log if c.revision <= copy.revision]
        for watch in list(self._waiting):
            del self._waiting[watch]
            self._answer_gone(watch.exchange)
        keys = store_copies.list_lost_keys(lost, copy.items)
        for number, key in enumerate(keys, start=1):
            delay_s = store_copies.WRITTEN_AGAIN_S * number / (len(keys) + 1)
            value = lost[key].value if key in lost else None
            self._loop.call_later(delay_s, self.write, key, value)

    def write(self, key: str, value: bytes | None) -> int:
        """Write a key as the operator or an engine does; return its revision.

        :param value: None to delete the key.
        """
        self._copies.record(self._loop.time(), self.revision, self.items)
        self.revision += 1
        self.written_s[self.revision] = self._loop.time()
        self._log.append(store_view.KeyChange(key, self.revision, value))
        for watch in list(self._waiting):
            self._answer_if_changed(watch)
        return self.revision

    def _on_request(self, exchange: link_simulation.Exchange) -> None:
        self._loop.call_later(STORE_ANSWER_S, self._serve, exchange)

    def _serve(self, exchange: link_simulation.Exchange) -> None:
        if exchange.caller.address in self.refused:
            exchange.respond(503, [self._era_header])
            return
        path, _, query = exchange.head.target.decode().partition("?")
        arguments = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        prefix = arguments["prefix"]
        if path == "/-/kv-range":
            items = [i for key, i in self.items.items() if key.startswith(prefix)]
            self._respond(exchange, "items", items)
            return
        watch = _Watch(exchange, prefix, int(arguments["after"]))
        if watch.after > self.revision:
            self._answer_gone(exchange)
            return
        self._waiting[watch] = None
        exchange.on_disconnected = lambda: self._waiting.pop(watch, None)
        if not self._answer_if_changed(watch):
            wait_s = int(arguments["wait_ms"]) / 1000
            self._loop.call_later(wait_s, self._answer, watch, [])

    def _answer_if_changed(self, watch: "_Watch") -> bool:
        changes = [
            change
            for change in self._log
            if change.revision > watch.after and change.key.startswith(watch.prefix)
        ]
        if changes:
            self._answer(watch, changes)
        return bool(changes)

    def _answer(self, watch: "_Watch", changes: list[store_view.KeyChange]) -> None:
        if watch in self._waiting:
            del self._waiting[watch]
            self._respond(watch.exchange, "events", changes)

    def _respond(self, exchange, name: str, changes: list[store_view.KeyChange]):
        rows = [_make_row(change) for change in changes]
        answer = {name: rows, "has_more": False, "store_revision": self.revision}
        exchange.respond(200, [self._era_header], json.dumps(answer).encode())

    def _answer_gone(self, exchange: link_simulation.Exchange) -> None:
        exchange.respond(410, [self._era_header])

    @property
    def _era_header(self) -> http1.Header:
        return http1.Header(store_copies.ERA_HEADER, b"%d" % self.era)


def _make_row(change: store_view.KeyChange) -> dict:
    if change.value is None:
        return {"key": change.key, "revision": change.revision, "deleted": True}
    value = base64.b64encode(change.value).decode()
    return {"key": change.key, "value": value, "revision": change.revision}


class _Watch:
    """A request that waits for a change."""

    def __init__(self, exchange, prefix: str, after: int):
        self.exchange = exchange
        self.prefix = prefix
        self.after = after


class Follower:
    """A process that follows the store.

    :param is_entry: whether it also serves its copy to others.
    :param mbps: bandwidth of its link; that of its kind if 0.
    :ivar received_s: time at which each revision of the configuration arrived.
    :ivar handle_request: the server of an entry, which runs unless it is removed from
        its machine.
    """

    def __init__(
        self,
        network: link_simulation.Network,
        name: str,
        is_entry: bool,
        list_peers: Callable[[], list[source_selection.Peer]],
        zone: data.ZoneName = ZONE,
        mbps: float = 0.0,
    ):
        self.name = name
        self.zone = zone
        self.received_s: dict[int, float] = {}
        self._network = network
        self._is_entry = is_entry
        self._view = store_view.View(decoding.read_version)
        default_mbps = ENTRY_LINK_MBPS if is_entry else SIDECAR_LINK_MBPS
        self.machine = network.add_machine(f"{name}:1", mbps or default_mbps)
        self._excerpts = excerpt_server.ExcerptServer(self._view, network.reactor)
        pool = link_simulation.SimulatedPool(network, self.machine)
        self.synchronizer = view_sync.ViewSynchronizer(
            self._view,
            store.PlatformStore(pool, STORE_ADDRESS),
            pool,
            source_selection.SourceSelector(name, zone, can_lead=is_entry),
            decoding.ENTRY_PREFIXES if is_entry else decoding.SIDECAR_PREFIXES,
            lambda: [peer for peer in list_peers() if peer.name != name],
            list,
            self._on_changes,
            needs_all_keys=is_entry,
        )
        if is_entry:
            program = SimpleNamespace(excerpts=self._excerpts, is_leaving=False)
            self.handle_request = entry_handlers.ControlHandler(program).on_request
            self.machine.handle = self.handle_request

    def get_value(self, key: str) -> bytes | None:
        """Return the value of a key in the process's copy."""
        item = self._view.get(key)
        return item.value if item is not None else None

    def age_s(self) -> float:
        """Return the age of the process's copy."""
        return self._view.age_s(self._network.loop.time())

    @property
    def claim(self) -> tuple[int, float]:
        """The revision of the copy, and the time up to which it is said to be whole."""
        return self._view.revision, self._view.confirmed_s

    def _on_changes(self, changes: list[store_view.KeyChange]) -> None:
        for change in changes:
            if change.key == decoding.CONFIGURATION_KEY:
                self.received_s[change.revision] = self._network.loop.time()
        self._excerpts.notify_waiters()


class ZoneSimulation:
    """A zone whose processes have copies of a store with a configuration.

    :param route_count: number of routes of the first configuration.
    :ivar configuration_revision: revision of the newest configuration.
    """

    def __init__(self, size: ZoneSize, route_count: int, seed: int = 1):
        self._random = random.Random(seed)
        self._loop = virtual_time.VirtualTimeLoop()
        self.configuration_revision = 0
        self._routes: list[dict] = []
        self._version = 0  # only grows, also when the store returns from a copy
        network = link_simulation.Network(self._loop)
        self._network = network
        self.store = SimulatedStore(network)
        self.entries: list[Follower] = []
        for number in range(size.engines):
            self._write_engine(number)
        self.add_routes(route_count)
        self.entries = [
            Follower(network, f"entry-{number}", True, self._list_peers)
            for number in range(size.entries)
        ]
        self.sidecars = [
            Follower(network, f"sidecar-{number}", False, self._list_peers)
            for number in range(size.sidecars)
        ]
        for follower in self.entries + self.sidecars:
            self._loop.create_task(follower.synchronizer.run())

    @property
    def now_s(self) -> float:
        """Return the virtual time."""
        return self._loop.time()

    def rank_entries(self) -> list[Follower]:
        """Return the entries in the order in which they lead the zone."""
        by_name = {entry.name: entry for entry in self.entries}
        return [by_name[name] for name in rendezvous.rank(ZONE, by_name)]

    def leader(self) -> Follower:
        """Return the entry that follows the store directly."""
        return self.rank_entries()[0]

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        self._loop.run_until_complete(asyncio.sleep(duration_s))

    def add_routes(self, count: int) -> int:
        """Write a configuration with more routes; return its revision."""
        self._routes.extend(make_route(self._random) for _ in range(count))
        return self.change_configuration()

    def change_configuration(self) -> int:
        """Write a configuration with one route changed; return its revision."""
        route = self._random.choice(self._routes)
        route["timeout_ms"] = self._random.randrange(1_000, 9_000)
        self._version += 1
        self.configuration_revision = self.store.write(
            decoding.CONFIGURATION_KEY, self.encode_configuration()
        )
        return self.configuration_revision

    def encode_configuration(self) -> bytes:
        """Return the value of the newest configuration."""
        configuration = {
            "version": self._version,
            "routes": self._routes,
            "services": [],
        }
        return json.dumps(configuration, separators=(",", ":")).encode()

    def longest_delay_s(self, revision: int, written_s: float, limit_s: float) -> float:
        """Return when the last entry has a configuration, after its write.

        :param limit_s: how long to wait; infinity is returned if that is not enough.
        """
        while self.now_s < written_s + limit_s:
            arrivals_s = [_find_arrival_s(entry, revision) for entry in self.entries]
            if None not in arrivals_s:
                return max(arrivals_s) - written_s
            self.run(STEP_S)
        return float("inf")

    def load_link(self, link: link_simulation.Link, mbps: float) -> None:
        """Send other traffic over a link from now on."""
        self._loop.create_task(self._send_traffic(link, mbps))

    def hide_deltas(self, entries: list[Follower]) -> None:
        """Make entries neither send nor get deltas, like those of earlier versions."""
        addresses = {entry.machine.address for entry in entries}
        for entry in self.entries:
            entry.machine.handle = _make_handler_without_deltas(entry, addresses)

    def add_entry(self) -> Follower:
        """Start one more entry."""
        name = f"entry-{len(self.entries)}"
        entry = Follower(self._network, name, True, self._list_peers)
        self.entries.append(entry)
        self._loop.create_task(entry.synchronizer.run())
        return entry

    def list_differences(self) -> list[str]:
        """Return what the copies of the entries have otherwise than the store."""
        differences = []
        for entry in self.entries:
            for key, change in self.store.items.items():
                if entry.get_value(key) != change.value:
                    differences.append(f"{entry.name}: {key}")
        return differences

    def list_false_ages(self) -> list[str]:
        """Return the processes whose copies lack what was written before their claim.

        It holds as long as the store has not returned from an older copy.
        """
        found = []
        for process in self.entries + self.sidecars:
            revision, confirmed_s = process.claim
            missing_s = [
                written_s
                for written, written_s in self.store.written_s.items()
                if written > revision and written_s < confirmed_s
            ]
            if missing_s:
                lead_s = confirmed_s - min(missing_s)
                found.append(f"{self.now_s:.2f} {process.name}: {lead_s:.2f} s")
        return found

    def close(self) -> None:
        """End all tasks."""
        for pending in asyncio.all_tasks(self._loop):
            pending.cancel()
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.close()

    async def _send_traffic(self, link: link_simulation.Link, mbps: float) -> None:
        size_bytes = int(mbps * 1_000_000 / 8 * TRAFFIC_INTERVAL_S)
        while True:
            link.reserve(self._loop.time(), size_bytes)
            await asyncio.sleep(TRAFFIC_INTERVAL_S)

    def _write_engine(self, number: int) -> None:
        value = json.dumps({"service": "s", "address": f"10.0.0.{number}:80"}).encode()
        self.store.write(f"{decoding.ENGINES_PREFIX}i-{number}", value)

    def _list_peers(self) -> list[source_selection.Peer]:
        return [
            source_selection.Peer(entry.name, ZONE, data.Address(entry.machine.address))
            for entry in self.entries
        ]


def _make_handler_without_deltas(entry: Follower, addresses: set[str]):
    """Return an entry's server that drops the argument as earlier versions do."""

    def handle(exchange: link_simulation.Exchange) -> None:
        if not addresses.isdisjoint((entry.machine.address, exchange.caller.address)):
            target = exchange.head.target.replace(b"&deltas=1", b"")
            exchange.head = http1.RequestHead(b"GET", target, exchange.head.headers)
        entry.handle_request(exchange)

    return handle


def _find_arrival_s(entry: Follower, revision: int) -> float | None:
    """Return when an entry got a revision of the configuration or a newer one."""
    arrivals_s = [
        received_s
        for known, received_s in entry.received_s.items()
        if known >= revision
    ]
    return min(arrivals_s, default=None)


def make_route(random_source: random.Random) -> dict:
    """Return a route as the operator writes it."""

    def draw(length: int) -> str:
        return "".join(
            random_source.choices("abcdefghijklmnopqrstuvwxyz234567", k=length)
        )

    return {
        "name": f"r-{draw(7)}",
        "host": f"{draw(4)}{random_source.randrange(100)}.example",
        "prefix": f"/{draw(8)}/",
        "kind": random_source.choice(["streaming", "idempotent"]),
        "timeout_ms": 6_000,
        "slo_ms": 505,
        "priority": 1,
        "service": "s",
        "attempts": 2,
        "allow_anonymous": False,
    }
