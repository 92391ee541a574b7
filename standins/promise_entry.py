"""Entries of a simulated site: the product's copy of the store and its decisions."""

import abc
import functools
import random
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from standins import (
    link_simulation,
    promise_check,
    simulated_cluster,
    view_simulation,
)
from toucanspread.core import data
from toucanspread.core.entry import (
    cluster_state,
    cold_engines,
    decision_context,
    engine_requirements,
    guard_program,
    retry_budget,
    routes,
)
from toucanspread.core.entry import data as entry_data
from toucanspread.core.view import source_selection, store_view
from toucanspread.ops.copies import view_sync
from toucanspread.ops.forwarding import crash_notices
from toucanspread.platform import decoding, entry

SERVICE = msgspec.structs.replace(
    simulated_cluster.SERVICE, cold_start_s=3.0, cold_per_s=14.0
)
COLD_BOUND = cold_engines.ColdBound(factor=1.5, extra_count=5)
DECODED_COUNT = 64  # values of configurations that are decoded once for all entries


class KnownVersion(NamedTuple):
    """What an entry knows of a version that was named.

    :param withdraws_s: when it withdraws what has not begun on an older one.
    """

    received_s: float
    withdraws_s: float
    timing: cluster_state.ChangeTiming

    def __str__(self) -> str:
        return (
            f"knew of it at {self.received_s:.2f}, its copy was from "
            f"{self.timing.earliest_in_force_s:.2f}, an outage of the store ended at "
            f"{self.timing.outage_ended_s:.2f}, withdraws at {self.withdraws_s:.2f}"
        )


class EntryRequest(abc.ABC):
    """A caller's request at an entry."""

    @abc.abstractmethod
    def withdraw_if_outdated(self) -> None:
        """Withdraw the request if its engine could begin it on weights too old."""

    @abc.abstractmethod
    def on_entry_lost(self) -> None:
        """Handle the end of the entry's process."""


class PromiseEntry(view_simulation.Follower):
    """One life of an entry.

    :ivar in_progress: the requests of its callers, in order of arrival.
    :ivar known_versions: what it got to know of each version of the weights.
    :ivar configuration_within_s: age of its copy from which on it denies nothing.
    :ivar seen_version: newest configuration of which a caller saw the effect.
    """

    def __init__(
        self,
        network: link_simulation.Network,
        name: str,
        list_peers: Callable[[], list[source_selection.Peer]],
        zone: data.ZoneName,
        mbps: float,
        bounds: promise_check.Bounds,
    ):
        super().__init__(network, name, True, list_peers, zone, mbps)
        self.network = network
        self.random_source = random.Random(name)
        self.in_progress: dict[EntryRequest, None] = {}
        self.known_versions: dict[int, KnownVersion] = {}
        self._retry_budgets = retry_budget.RetryBudget(0.2, 234, 10.0)
        peers = list_peers()
        regions = {peer.zone: data.RegionName(peer.zone) for peer in peers}
        self._location = engine_requirements.EntryLocation(zone, regions, len(peers))
        self._crash_notices = crash_notices.CrashNotices(
            network.reactor,
            self.random_source,
            lambda: guard_program.Members(name, [peer.name for peer in list_peers()]),
            lambda notice: None,
            lambda: None,
        )
        self.seen_version = 0
        self.configuration_within_s = bounds.configuration_s
        self.cluster = cluster_state.ClusterState(bounds.version_s, bounds.drain_s)
        self._senders = cold_engines.KnownSenders(
            name, COLD_BOUND, self.cluster.directory
        )
        self._started_s = network.loop.time()
        self._task = network.loop.create_task(self.synchronizer.run())

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration in use; 0 if there is none."""
        table = self.cluster.route_table
        return table.version if table is not None else 0

    def accepts(self, route: tuple[str, str], key: str) -> bool | None:
        """Return whether a request would be forwarded or denied.

        It is None if the entry does not know: without a configuration, or if its copy
        of the store is too old to deny the request.
        """
        table = self.cluster.route_table
        if table is None:
            return None
        host, prefix = route
        found = table.find_route(host, f"{prefix}x")
        if table.find_denial(found, table.find_team(key)) is None:
            return True
        return None if self.age_s() > self.configuration_within_s else False

    def make_decision_context(self) -> decision_context.Context:
        """Return the context of a decision about a request."""
        now_s = self.network.loop.time()
        location = self._location._replace(senders=self._senders.select(now_s))
        return decision_context.Context(
            now_s,
            self.cluster.registry,
            self._retry_budgets,
            location,
            self.random_source,
            self._crash_notices.guard,
            self.cluster.minimum_version(SERVICE, now_s),
            self.cluster.upcoming_versions(SERVICE, now_s),
        )

    def run_maintenance(self) -> None:
        """Drop what has left, as the program does from time to time."""
        self.cluster.registry.drop_removed(self.network.loop.time())

    def kill(self) -> None:
        """End the process; what is on its way to or from it is lost."""
        self._task.cancel()
        for request in list(self.in_progress):
            request.on_entry_lost()
        self.machine.is_cut = True

    def _on_changes(self, changes: list[store_view.KeyChange]) -> None:
        """Apply changes as the program of an entry does."""
        now_s = self.network.loop.time()
        timing = cluster_state.ChangeTiming(
            now_s,
            self.synchronizer.previous_confirmed_s,
            self.synchronizer.outage_until_s,
            self._started_s,
            self.synchronizer.previous_contact_age_s,
        )
        since_failure_s = now_s - self.synchronizer.store_failed_s
        store_was_unavailable = since_failure_s < entry.STORE_OUTAGE_GRACE_S

        def apply_one(change: store_view.KeyChange) -> None:
            event = _decode(change)
            if event is not None:
                self._apply(event, timing, store_was_unavailable)

        view_sync.apply_each(changes, apply_one)
        super()._on_changes(changes)

    def _apply(
        self,
        event: data.Event,
        timing: cluster_state.ChangeTiming,
        store_was_unavailable: bool,
    ) -> None:
        has_changed = self.cluster.apply(event, timing, store_was_unavailable)
        if has_changed and isinstance(event, cluster_state.VersionNamed):
            now_s = self.network.loop.time()
            in_s = self.cluster.withdrawal_in_s(event, now_s)
            self.known_versions[event.version] = KnownVersion(
                now_s, now_s + in_s, timing
            )
            for delay_s in cluster_state.list_withdrawal_delays_s(in_s):
                self.network.loop.call_later(delay_s, self._withdraw_outdated)

    def _withdraw_outdated(self) -> None:
        for request in list(self.in_progress):
            request.withdraw_if_outdated()


class SharedRouteTables:
    """Makes each route table once for all entries, which do not change it."""

    def __init__(self):
        self._make = routes.RouteTable
        self._tables: dict[int, routes.RouteTable] = {}

    def get(self, configuration: entry_data.Configuration) -> routes.RouteTable:
        """Return the route table of a configuration, which it keeps alive."""
        key = id(configuration)
        if key not in self._tables:
            self._tables[key] = self._make(configuration)
        return self._tables[key]


@functools.lru_cache(DECODED_COUNT)
def _decode(change: store_view.KeyChange) -> data.Event | None:
    return decoding.decode_change(change)
