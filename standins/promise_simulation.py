"""Simulates a site to check all promises that are counted from an acknowledgement.

The entries of several zones hold the product's own copy of the store and decide with
the product's own code. Callers ask them at random times, and engines hold what was sent
to them for a while. Configurations, pieces of weights, requests and answers share links
of limited bandwidth. Everything runs in virtual time.
"""

import asyncio
import collections
import itertools
import json
import random
import unittest.mock
from typing import NamedTuple

from standins import (
    link_simulation,
    promise_check,
    promise_configuration,
    promise_engine,
    promise_entry,
    promise_request,
    simulated_cluster,
    view_simulation,
    virtual_time,
)
from toucanspread.core import data, rendezvous
from toucanspread.core.entry import entry_directory, routes
from toucanspread.core.view import source_selection
from toucanspread.platform import decoding

REGION_LINK_MBPS = 13.0
SMALL_ENTRY_LINK_MBPS = 350.0
GROWN_ENTRY_LINK_MBPS = 14.0
PROBE_INTERVAL_S = 0.2  # mean time between two requests of callers to an entry
ANSWER_INTERVAL_S = 0.05
MAX_ANSWER_SHARE = 0.3  # of an entry's link, for answers to callers
SETTLE_S = 4.0
MAINTENANCE_INTERVAL_S = 0.25
MAX_REQUESTS_PER_S = 9.0  # of callers, for each engine
COLD_BOUND = 26  # requests to a cold engine in a second: 14.0 x 1.5 + 5
COLD_RECORD_DELAY_S = 1.2  # until the record of an engine that is cold again says so


class SiteSize(NamedTuple):
    """Size of a site; each zone is a region.

    :param entry_mbps: bandwidth of the link of an entry.
    """

    zones: int
    entries_per_zone: int
    engines: int
    entry_mbps: float
    bounds: promise_check.Bounds
    routes: int = 1_480


SMALL_SITE = SiteSize(3, 6, 7, SMALL_ENTRY_LINK_MBPS, promise_check.SMALL_SITE)
GROWN_SITE = SiteSize(3, 20, 14, GROWN_ENTRY_LINK_MBPS, promise_check.GROWN_SITE)
LARGE_SITE = SiteSize(6, 21, 14, GROWN_ENTRY_LINK_MBPS, promise_check.GROWN_SITE)
LARGEST_SITE = SiteSize(14, 25, 28, GROWN_ENTRY_LINK_MBPS, promise_check.GROWN_SITE)


class RegionNetwork(link_simulation.Network):
    """Machines in regions, with one shared link from each region to each other one.

    :ivar region_of: region of each machine by its address.
    """

    def __init__(self, loop: virtual_time.VirtualTimeLoop):
        super().__init__(loop)
        self.region_of: dict[str, str] = {}
        self._links: dict[tuple[str, str], link_simulation.Link] = {}

    def list_shared_links(
        self, source: link_simulation.Machine, target: link_simulation.Machine
    ) -> list[link_simulation.Link]:
        """Return the link between the regions of two machines, if they differ."""
        ends = self.region_of[source.address], self.region_of[target.address]
        if ends[0] == ends[1]:
            return []
        if ends not in self._links:
            self._links[ends] = link_simulation.Link(REGION_LINK_MBPS)
        return [self._links[ends]]


class Site(promise_engine.EngineSite):
    """A site with its store, its entries and its engines.

    :ivar engines: all engines, also those that are gone, by their ids.
    :ivar begin_count: number of requests that engines began.
    :ivar probe_count: number of checks of entries that are in touch.
    :ivar longest_excess_s: longest time by which a copy claimed to be newer than it is.
    :ivar request_factor: how many times as many requests callers send as usual.
    :ivar has_restricted_route: whether some requests have a route with allowed regions.
    :ivar evacuated_s: when the store acknowledged the evacuation of a zone.
    :ivar cold_arrival_count: number of requests that reached cold engines.
    :ivar violations: the promises that were not kept.
    :ivar faults: the faults in the order in which they began, for messages.
    :ivar active_faults: number of the active faults of each kind.
    """

    def __init__(self, size: SiteSize, seed: int):
        shared_tables = promise_entry.SharedRouteTables()
        self._route_tables = unittest.mock.patch.object(
            routes, "RouteTable", shared_tables.get
        )
        self._route_tables.start()
        self.size = size
        self.random_source = random.Random(seed)
        self.loop = virtual_time.VirtualTimeLoop()
        self.network = RegionNetwork(self.loop)
        self.violations: list[promise_check.Violation] = []
        self.faults: list[str] = []
        self.active_faults: collections.Counter[str] = collections.Counter()
        self.disturbances = promise_check.Disturbances(size.bounds.touch_s)
        self.configurations = promise_check.Configurations(size.bounds.configuration_s)
        self.versions = promise_check.Versions(size.bounds.version_s)
        self.configuration = promise_configuration.ConfigurationSource(
            size.routes, self.random_source
        )
        self.zones = [data.ZoneName(f"z{number}") for number in range(size.zones)]
        self.store = view_simulation.SimulatedStore(self.network)
        self.store.machine.links = []
        self.network.region_of[self.store.machine.address] = self.zones[0]
        self.entries: dict[str, promise_entry.PromiseEntry] = {}
        self.engines: dict[str, promise_engine.PromiseEngine] = {}
        self.request_factor = 1.0
        self.has_restricted_route = False
        self.evacuated_s: dict[data.ZoneName, float] = {}
        self.cold_arrival_count = 0
        self.begin_count = 0
        self.probe_count = 0
        self.longest_excess_s = 0.0
        self._newest_version = 1
        self._numbers = itertools.count(1)
        self._requests_per_s = self.random_source.uniform(3.0, MAX_REQUESTS_PER_S)
        self._peers: list[source_selection.Peer] = []
        self._answer_shares: dict[str, float] = {}
        self._write_configuration()
        self._add_entries()
        for _ in range(size.engines):
            self.add_engine()
        self.run(SETTLE_S)
        self._send_request()
        self._run_maintenance()
        for name in self.entries:
            self.loop.call_later(self._draw_probe_wait_s(), self._probe, name)
            self._answer_shares[name] = self.random_source.uniform(0, MAX_ANSWER_SHARE)
            self._send_answers(name)

    @property
    def now_s(self) -> float:
        """Return the virtual time."""
        return self.loop.time()

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(duration_s))

    def close(self) -> None:
        """End all tasks."""
        self._route_tables.stop()
        for pending in asyncio.all_tasks(self.loop):
            pending.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    def change_configuration(self) -> None:
        """Write a configuration that differs in one route or key."""
        self.configuration.change()
        self._write_configuration()

    def name_version(self) -> None:
        """Name a newer version of the weights, which engines begin to fetch."""
        self._newest_version += 1
        version = self._newest_version
        model = simulated_cluster.PROFILE.model
        value = json.dumps({"model": model, "version": version}).encode()
        self.store.write(f"{decoding.VERSIONS_PREFIX}{model}", value)
        self.versions.record(self.now_s, version)
        for engine in self.list_staying_engines():
            engine.fetch(version)

    def evacuate(self, zone: data.ZoneName) -> None:
        """Declare that a zone is evacuated, as the operator does."""
        self.store.write(f"{decoding.EVACUATIONS_PREFIX}{zone}", b"{}")
        self.evacuated_s[zone] = self.now_s

    def take_back(self, zone: data.ZoneName) -> None:
        """End an evacuation; the engines there are cold before their records say so."""
        self.store.write(f"{decoding.EVACUATIONS_PREFIX}{zone}", None)
        del self.evacuated_s[zone]
        for engine in self.list_staying_engines():
            if engine.zone == zone:
                cold_s = promise_entry.SERVICE.cold_start_s
                engine.become_cold(cold_s, COLD_RECORD_DELAY_S)

    def restart_engines(self, zone: data.ZoneName, down_s: float) -> None:
        """End all engines of a zone; as many cold ones start together later."""
        for engine in self.list_staying_engines():
            if engine.zone == zone:
                engine.end()
                cold_s = promise_entry.SERVICE.cold_start_s
                self.loop.call_later(down_s, self.add_engine, zone, cold_s)

    def add_engine(
        self, zone: data.ZoneName | None = None, cold_s: float = 0.0
    ) -> promise_engine.PromiseEngine:
        """Start one more engine, with the newest version of the weights.

        :param zone: where it is; None for the next zone in turn.
        :param cold_s: how long it bears only a few requests.
        """
        number = next(self._numbers)
        zone = zone or self.zones[number % len(self.zones)]
        engine = promise_engine.PromiseEngine(self, number, zone, self._newest_version)
        self.network.region_of[engine.machine.address] = zone
        self.engines[engine.engine_id] = engine
        engine.start(cold_s)
        return engine

    def list_staying_engines(self) -> list[promise_engine.PromiseEngine]:
        """Return the engines that are neither draining nor gone."""
        return [e for e in self.engines.values() if e.leaving_since_s is None]

    def leader_of(self, zone: data.ZoneName) -> promise_entry.PromiseEntry:
        """Return the entry of a zone that ranks first."""
        names = [peer.name for peer in self._peers if peer.zone == zone]
        return self.entries[rendezvous.rank(zone, names)[0]]

    def restart(self, name: str, after_s: float) -> None:
        """Kill an entry; a new process takes its place later."""
        self.entries[name].kill()
        self.loop.call_later(after_s, self._start_entry, name, self.entries[name].zone)

    def _write_configuration(self) -> None:
        version = self.store.revision + 1
        value = self.configuration.encode(version)
        self.store.write(decoding.CONFIGURATION_KEY, value)
        content = self.configuration.make_content(version)
        self.configurations.record(self.now_s, content)

    def _add_entries(self) -> None:
        for zone in self.zones:
            for number in range(self.size.entries_per_zone):
                name = f"{zone}-{number}"
                address = data.Address(f"{name}:1")
                self._peers.append(source_selection.Peer(name, zone, address))
        for peer in self._peers:
            self._start_entry(peer.name, peer.zone)

    def _start_entry(self, name: str, zone: data.ZoneName) -> None:
        self.network.region_of[f"{name}:1"] = zone
        self.entries[name] = promise_entry.PromiseEntry(
            self.network,
            name,
            lambda: self._peers,
            zone,
            self.size.entry_mbps,
            self.size.bounds,
        )
        self.list_entry(name)

    def list_entry(self, name: str) -> None:
        """Write the record of an entry, as the entry does when it has started."""
        zone, number = self.entries[name].zone, list(self.entries).index(name)
        record = entry_directory.EntryRecord(
            name, zone, zone, f"{name}:1", f"{name}:1", f"10.9.{number}.1:1"
        )
        key = f"{entry_directory.RECORDS_PREFIX}{name}"
        self.store.write(key, entry_directory.encode_record(record))

    def unlist_entry(self, name: str) -> None:
        """Delete the record of an entry, as if its lease had ended."""
        self.store.write(f"{entry_directory.RECORDS_PREFIX}{name}", None)

    def _run_maintenance(self) -> None:
        self.loop.call_later(MAINTENANCE_INTERVAL_S, self._run_maintenance)
        for entry in self.entries.values():
            entry.run_maintenance()

    # Engines

    def write_engine(
        self, engine: promise_engine.PromiseEngine, value: bytes | None
    ) -> None:
        """Write the record of an engine to the store, or delete it."""
        self.store.write(promise_engine.make_key(engine.engine_id), value)

    def check_arrival(self, dispatch: promise_engine.Dispatch) -> None:
        """Check that an engine may still get a request."""
        self._check_evacuation(dispatch)
        self._check_cold(dispatch)
        self._check_region(dispatch)
        left_s = dispatch.engine.leaving_since_s
        if left_s is None:
            return
        late_s = self.now_s - left_s - self.size.bounds.drain_s
        since_s = min(left_s, dispatch.sent_s)
        is_excused = not (
            self._was_calm(dispatch)
            and self.disturbances.was_calm_since(
                promise_check.STORE, since_s, self.now_s
            )
        )
        if late_s <= 0 or is_excused:
            return
        trace = (
            f"{dispatch.engine.engine_id} leaving since {left_s:.2f}, "
            f"{self._describe(dispatch)}"
        )
        self.report(promise_check.Promise.DRAIN, dispatch.entry.name, late_s, trace)

    def _check_evacuation(self, dispatch: promise_engine.Dispatch) -> None:
        evacuated_s = self.evacuated_s.get(dispatch.engine.zone)
        if evacuated_s is None:
            return
        late_s = self.now_s - evacuated_s - self.size.bounds.evacuation_s
        if late_s <= 0 or not self._was_calm(dispatch):
            return
        trace = (
            f"{dispatch.engine.engine_id}, evacuated at {evacuated_s:.2f}, "
            f"{self._describe(dispatch)}"
        )
        name = dispatch.entry.name
        self.report(promise_check.Promise.EVACUATION, name, late_s, trace)

    def _check_cold(self, dispatch: promise_engine.Dispatch) -> None:
        """Check how many requests a cold engine gets; no disturbance excuses these."""
        engine = dispatch.engine
        if engine.is_gone or self.now_s >= engine.cold_until_s:
            return
        self.cold_arrival_count += 1
        count = engine.recent.record(self.now_s)
        if count <= COLD_BOUND:
            return
        trace = (
            f"{count} requests in a second, cold until {engine.cold_until_s:.2f}, "
            f"the last one from {dispatch.entry.name}, {self._describe(dispatch)}"
        )
        self.report(promise_check.Promise.COLD, engine.engine_id, 0.0, trace)

    def _check_region(self, dispatch: promise_engine.Dispatch) -> None:
        engine, allowed = dispatch.engine, dispatch.allowed_regions
        if allowed is None or engine.zone in allowed:
            return
        trace = f"{engine.engine_id} is in {engine.zone}, {self._describe(dispatch)}"
        name = dispatch.entry.name
        self.report(promise_check.Promise.REGION, name, 0.0, trace)

    def check_begin(self, dispatch: promise_engine.Dispatch) -> None:
        """Check that an engine may begin a request on its version."""
        self.begin_count += 1
        engine = dispatch.engine
        # The time counts while the store is stable.
        disturbed_s = self.disturbances.last_disturbed_s(
            promise_check.STORE, self.now_s
        )
        since_s = disturbed_s + self.size.bounds.touch_s
        late_s = self.versions.late_s(engine.version, self.now_s, since_s)
        if late_s <= 0 or not self._was_calm(dispatch):
            return
        known = dispatch.entry.known_versions.get(engine.version + 1)
        trace = (
            f"{engine.engine_id} begins on version {engine.version}; of the next one, "
            f"the entry: {known or 'knows nothing'}; {self._describe(dispatch)}"
        )
        self.report(promise_check.Promise.VERSION, dispatch.entry.name, late_s, trace)

    def _was_calm(self, dispatch: promise_engine.Dispatch) -> bool:
        name = dispatch.entry.name
        return self.disturbances.was_calm_since(name, dispatch.sent_s, self.now_s)

    def _describe(self, dispatch: promise_engine.Dispatch) -> str:
        """Return where a request was for how long."""
        way_s = dispatch.arrived_s - dispatch.sent_s
        text = (
            f"sent at {dispatch.sent_s:.2f}, {way_s:.2f} s on the way, "
            f"{self.now_s - dispatch.arrived_s:.2f} s at the engine, whose link has "
            f"{dispatch.engine.machine.downlink.mbps} Mbit/s"
        )
        if dispatch.closed_s is None:
            return f"{text}, not withdrawn"
        return f"{text}, withdrawn {self.now_s - dispatch.closed_s:.2f} s before"

    # Callers

    def _send_request(self) -> None:
        rate_per_s = self._requests_per_s * self.size.engines * self.request_factor
        in_s = self.random_source.expovariate(rate_per_s)
        self.loop.call_later(in_s, self._send_request)
        entry = self.random_source.choice(list(self.entries.values()))
        if not entry.machine.is_cut:
            number = next(self._numbers)
            is_restricted = number % promise_request.RESTRICTED_SHARE == 0
            allowed = None
            if self.has_restricted_route and is_restricted:
                allowed = promise_request.ALLOWED_REGIONS
            promise_request.PromiseRequest(
                entry, self.engines, f"{number}", allowed
            ).start()

    def _draw_probe_wait_s(self) -> float:
        return self.random_source.uniform(0, 2 * PROBE_INTERVAL_S)

    def _probe(self, name: str) -> None:
        self.loop.call_later(self._draw_probe_wait_s(), self._probe, name)
        entry = self.entries[name]
        if entry.configuration_version == 0:
            return
        self._check_regress(entry)
        if not self.disturbances.is_in_touch(name, self.now_s):
            return
        self.probe_count += 1
        view = entry.synchronizer.view
        excess_s = self.configurations.excess_s(view.revision, view.confirmed_s)
        self.longest_excess_s = max(self.longest_excess_s, excess_s)
        in_force = self.configurations.in_force(self.now_s)
        for route, key in self.configuration.list_probes():
            allowed = {content.allows(route, key) for content in in_force}
            is_accepted = entry.accepts(route, key)
            if is_accepted is None:
                continue
            if allowed == {not is_accepted}:
                self._report_configuration(entry, in_force[0].version)
                return

    def _check_regress(self, entry: promise_entry.PromiseEntry) -> None:
        version = entry.configuration_version
        if version < entry.seen_version:
            self.report(
                promise_check.Promise.NO_REGRESS,
                entry.name,
                0.0,
                f"configuration {entry.seen_version}, then {version}",
            )
        entry.seen_version = version

    def _report_configuration(self, entry, version: int) -> None:
        due_s = self.configurations.due_s(version)
        acknowledged_s = due_s - self.size.bounds.configuration_s
        leader = self.leader_of(entry.zone)
        leader_s = _find_arrival_s(leader, version)
        known = sum(e.configuration_version >= version for e in self._zone(entry))
        late_s = self.now_s - due_s
        trace = (
            f"configuration {version} acknowledged at {acknowledged_s:.2f}, has "
            f"{entry.configuration_version}, its copy is {entry.age_s():.2f} s old; "
            f"leader {leader.name} got it after {leader_s - acknowledged_s:.2f} s; "
            f"{known} of {self.size.entries_per_zone} entries of its zone have it"
        )
        self.report(promise_check.Promise.CONFIGURATION, entry.name, late_s, trace)

    def _zone(self, entry: promise_entry.PromiseEntry) -> list:
        return [other for other in self.entries.values() if other.zone == entry.zone]

    def report(
        self,
        promise: promise_check.Promise,
        machine: str,
        late_s: float,
        trace: str,
    ) -> None:
        """Record a promise that was not kept."""
        active = ", ".join(sorted(+self.active_faults)) or "none"
        trace = f"{trace}; active faults: {active}"
        self.violations.append(
            promise_check.Violation(promise, self.now_s, machine, late_s, trace)
        )

    def _send_answers(self, name: str) -> None:
        """Use a part of the entry's link for answers to callers."""
        self.loop.call_later(ANSWER_INTERVAL_S, self._send_answers, name)
        share = self._answer_shares[name] * self.random_source.uniform(0, 2)
        bits = min(self.size.entry_mbps, GROWN_ENTRY_LINK_MBPS) * 1e6 * share
        size_bytes = int(bits / 8 * ANSWER_INTERVAL_S)
        self.entries[name].machine.uplink.reserve(self.now_s, size_bytes)


def _find_arrival_s(entry: promise_entry.PromiseEntry, version: int) -> float:
    """Return when an entry got a configuration; infinite if it has not."""
    arrivals_s = [at_s for known, at_s in entry.received_s.items() if known >= version]
    return min(arrivals_s, default=float("inf"))
