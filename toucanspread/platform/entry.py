"""The program of an entry: serves callers' requests, addresses and pieces of weights.

The platform runs it as ``python3 -m toucanspread.platform.entry``.
"""

import asyncio
import os
import pathlib
import random
import time

import msgspec
from twisted.internet import reactor

from toucanspread.core import data
from toucanspread.core.entry import (
    cluster_state,
    cold_engines,
    engine_requirements,
    entry_directory,
    guard_program,
    retry_budget,
)
from toucanspread.core.view import source_selection, store_view
from toucanspread.ops import loop, planned_stop, process, registration
from toucanspread.ops.copies import excerpt_server, view_sync
from toucanspread.ops.forwarding import forwarder
from toucanspread.ops.http import http1_pool, http1_server
from toucanspread.ops.pieces import piece_cache
from toucanspread.ops.telemetry import logs
from toucanspread.platform import (
    decoding,
    engine,
    entry_handlers,
    requests,
    settings,
    store,
)

MAINTENANCE_INTERVAL_S = 0.25
IDLE_CHECK_INTERVAL_S = 0.05
STORE_OUTAGE_GRACE_S = 5.0  # records removed this soon after an outage may have expired
MAX_START_S = 1.5  # until the program is assembled
ACCEPT_UNUSED_S = 2.5  # callers' older lists of addresses expire meanwhile
OLDEST_LIST_S = 3 * entry_handlers.ADDRESS_LIST_TTL_S  # that callers still use
STARTUP_SETTLE_S = 2.0  # after a first start, all entries know each other by then


class Entry(entry_handlers.EntryState):
    """The program, assembled from its parts.

    :param path: of the settings file.
    :param stamp: stamp of the settings file before it was read.
    """

    def __init__(
        self,
        process_settings: settings.Settings,
        path: pathlib.Path,
        stamp: process.FileStamp,
    ):
        process_settings.require("front", "readiness", "control", "directory")
        self.process_settings = process_settings
        self.random_source = random.Random()
        self.is_leaving = False
        # The process is at least as old as the processor time that it has used. Where
        # that is counted in another way, no start takes longer.
        start_s = min(time.process_time(), MAX_START_S)
        self._started_s = reactor.seconds() - start_s
        self.cluster = cluster_state.ClusterState(
            process_settings.bounds.version_ms / 1000,
            process_settings.bounds.drain_ms / 1000,
        )
        self.view = store_view.View(decoding.read_version)
        self.excerpts = excerpt_server.ExcerptServer(self.view, reactor)
        pool = http1_pool.ConnectionPool(reactor)
        self._pool = pool
        lease_pool = http1_pool.ConnectionPool(reactor)
        self._store = store.PlatformStore(
            pool, process_settings.platform.address, lease_pool
        )
        origin = engine.Origin(pool, self._find_origin_address, self._limit_piece_bytes)
        name = process_settings.node_name
        self.pieces = piece_cache.PieceCache(
            name,
            pool,
            origin,
            self.cluster.directory.serving,
            self._find_origin_region,
            self._estimate_origin_piece_s,
            self._limit_piece_bytes,
            process_settings.bounds.version_ms / 1000,
        )
        source_selector = source_selection.SourceSelector(
            name, data.ZoneName(process_settings.zone), can_lead=True
        )
        self._synchronizer = view_sync.ViewSynchronizer(
            self.view,
            self._store,
            pool,
            source_selector,
            decoding.ENTRY_PREFIXES,
            lambda: self.cluster.directory.peers_of(name),
            self._list_other_seeds,
            self._on_changes,
            view_sync.PeerDiscovery(entry_directory.RECORDS_PREFIX, self._on_records),
        )
        bounds = process_settings.bounds
        retry_budgets = retry_budget.RetryBudget(
            bounds.budget_ratio, bounds.budget_slack, bounds.budget_window_s
        )
        self._report_receiver = entry_handlers.ReportReceiver(
            self.cluster, name, process_settings.zone
        )
        self._forwarder = forwarder.Forwarder(
            self.cluster,
            retry_budgets,
            pool,
            requests.PlatformDialect(),
            self._make_location,
            self.random_source,
            self._report_receiver,
            self._list_members,
            lambda: self.view.age_s(reactor.seconds()),
            bounds.config_apply_ms / 1000,
            process_settings.has_pressure,
        )
        self._report_receiver.crash_notices = self._forwarder.crash_notices
        cold_bound = cold_engines.ColdBound(bounds.cold_over, bounds.cold_slack)
        self._senders = cold_engines.KnownSenders(
            name, cold_bound, self.cluster.directory
        )
        self._registration = registration.Registration(self._store, self._make_record())
        self._settings_file = process.SettingsFileWatcher(path, stamp, self._reload)
        self._path = path
        self._server: http1_server.ServerFactory | None = None
        self._leaving_s = 0.0
        self._stop_times: planned_stop.StopTimes | None = None
        self._deregistration: asyncio.Task | None = None
        self._has_stopped_accepting = False
        self._is_exiting = False

    @property
    def is_ready(self) -> bool:
        """Return whether callers should connect to this entry."""
        return self.cluster.route_table is not None and not self.is_leaving

    def start(self) -> None:
        """Listen, and start to follow the store."""
        listen = self.process_settings.listen
        self._server = process.listen(listen.front, self._forwarder)
        directory_handler = entry_handlers.DirectoryHandler(self)
        for address in sorted({listen.readiness, listen.directory}):
            process.listen(address, directory_handler)
        process.listen(listen.control, entry_handlers.ControlHandler(self))
        metrics_address = f"{self.process_settings.ip}:{process.METRICS_PORT}"
        process.listen(metrics_address, process.MetricsHandler())
        host, _, port = self._registration.record.reports.rpartition(":")
        reactor.listenUDP(int(port), self._report_receiver, interface=host)
        loop.supervise("synchronization", self._synchronizer.run)
        loop.supervise("registration", self._registration.run)
        if self.process_settings.bootstrap:
            reactor.callLater(STARTUP_SETTLE_S, self._fetch_versions_in_use)
        loop.call_periodically(
            "maintenance", MAINTENANCE_INTERVAL_S, self._run_maintenance
        )
        self._settings_file.start()
        logs.write("started", address=listen.front, zone=self.process_settings.zone)

    def terminate(self) -> None:
        """Leave: finish what surely ends in time, refuse the rest, then exit."""
        if self.is_leaving:
            return
        self.is_leaving = True
        self._leaving_s = reactor.seconds()
        logs.write("leaving", in_progress=len(self._forwarder.in_progress))
        record = msgspec.structs.replace(
            self._registration.record, phase=entry_directory.EntryPhase.LEAVING
        )
        self.cluster.directory.put(record)
        loop.spawn(self._registration.update_record(record))
        self._update_stop_times()
        self._stop_when_idle()

    def check_settings_file(self) -> None:
        """Reload the settings file now if it has changed."""
        self._settings_file.check()

    def _make_record(self) -> entry_directory.EntryRecord:
        process_settings = self.process_settings
        reports = f"{process_settings.ip}:{process_settings.internal_ports[0]}"
        return entry_directory.EntryRecord(
            process_settings.node_name,
            process_settings.zone,
            process_settings.region,
            process_settings.listen.front,
            process_settings.listen.control,
            reports,
        )

    def _list_other_seeds(self) -> list[data.Address]:
        own = self.process_settings.listen.control
        return [
            data.Address(seed) for seed in self.process_settings.seeds if seed != own
        ]

    def _make_location(self) -> engine_requirements.EntryLocation:
        return engine_requirements.EntryLocation(
            data.ZoneName(self.process_settings.zone),
            self.process_settings.map_zones_to_regions(),
            max(len(self.cluster.directory.serving()), 1),
            self._senders.select(reactor.seconds()),
        )

    def _list_members(self) -> guard_program.Members:
        names = [record.name for record in self.cluster.directory.serving()]
        return guard_program.Members(self.process_settings.node_name, names)

    def _find_origin_address(self) -> data.Address | None:
        service = (
            self.cluster.route_table.origin_service()
            if self.cluster.route_table
            else None
        )
        return service.origin if service is not None else None

    def _find_origin_region(self) -> str:
        service = (
            self.cluster.route_table.origin_service()
            if self.cluster.route_table
            else None
        )
        if service is None:
            return ""
        return self.process_settings.map_zones_to_regions().get(service.origin_zone, "")

    def _on_changes(self, changes: list[store_view.KeyChange]) -> None:
        now_s = reactor.seconds()
        synchronizer = self._synchronizer
        timing = cluster_state.ChangeTiming(
            now_s,
            synchronizer.previous_confirmed_s,
            synchronizer.outage_until_s,
            self._started_s,
            synchronizer.previous_contact_age_s,
        )
        store_was_unavailable = (
            now_s - synchronizer.store_failed_s < STORE_OUTAGE_GRACE_S
        )

        def apply_one(change: store_view.KeyChange) -> None:
            self._apply_change(change, timing, store_was_unavailable)

        view_sync.apply_each(changes, apply_one)
        self.excerpts.notify_waiters()

    def _apply_change(
        self,
        change: store_view.KeyChange,
        timing: cluster_state.ChangeTiming,
        store_was_unavailable: bool,
    ) -> None:
        event = decoding.decode_change(change)
        if event is None:
            return
        if not self.cluster.apply(event, timing, store_was_unavailable):
            return
        if isinstance(event, cluster_state.VersionNamed):
            # First, as nothing may keep what waits on older weights at engines.
            withdrawal_in_s = self.cluster.withdrawal_in_s(event, reactor.seconds())
            self._forwarder.schedule_withdrawal(withdrawal_in_s)
        if isinstance(event, cluster_state.EvacuationSeen):
            self._check_evacuated_zone(event.zone)
        self._log_change(event, change)
        if isinstance(event, cluster_state.VersionNamed):
            is_new_version = timing.earliest_in_force_s > float("-inf")
            self._fetch_kept_pieces(event.model, event.version, is_new_version)

    def _check_evacuated_zone(self, zone: data.ZoneName) -> None:
        if zone not in self.process_settings.map_zones_to_regions():
            logs.write("evacuation_of_unknown_zone", zone=zone)

    def _on_records(self, changes: list[store_view.KeyChange]) -> None:
        """Add the entries' records, which are read before the rest of the store."""
        view_sync.apply_each(changes, self._apply_record)

    def _apply_record(self, change: store_view.KeyChange) -> None:
        event = decoding.decode_change(change)
        if isinstance(event, cluster_state.EntrySeen):
            self._check_predecessor(event.record)
            self.cluster.directory.put(event.record)

    def _check_predecessor(self, record: entry_directory.EntryRecord) -> None:
        is_own = record.name == self.process_settings.node_name
        if is_own and not self._registration.has_written:
            self._senders.record_predecessor()

    def _log_change(self, event: data.Event, change: store_view.KeyChange) -> None:
        logs.write(
            "belief_changed",
            what=type(event).__struct_config__.tag,
            key=change.key,
            revision=change.revision,
        )
        if isinstance(event, cluster_state.VersionNamed):
            logs.write(
                "version_named",
                model=event.model,
                version=event.version,
                due_in_s=self.cluster.due_in_s(event, reactor.seconds()),
            )

    def _fetch_versions_in_use(self) -> None:
        """Fetch the weights in use for engines that are added later.

        The origin may be unavailable by then.
        """
        if self.cluster.route_table is None:
            reactor.callLater(STARTUP_SETTLE_S, self._fetch_versions_in_use)
            return
        for service in self.cluster.route_table.services.values():
            if service.profile is not None:
                model = service.profile.model
                self._fetch_kept_pieces(model, self.cluster.versions_of(model).newest)

    def _fetch_kept_pieces(
        self, model: data.ModelName, version: int, is_new_version: bool = True
    ) -> None:
        loop.spawn(self.pieces.fetch_kept_pieces(model, version, is_new_version))

    def _estimate_origin_piece_s(self, model: data.ModelName) -> float:
        if self.cluster.route_table is None:
            return 0.0
        return self.cluster.route_table.origin_piece_s(model)

    def _limit_piece_bytes(self, model: data.ModelName) -> int:
        table = self.cluster.route_table
        service = table.model_service(model) if table is not None else None
        chunk_bytes = service.profile.chunk_bytes if service is not None else 0
        return piece_cache.limit_piece_bytes(chunk_bytes)

    def _run_maintenance(self) -> None:
        now_s = reactor.seconds()
        for engine_id in self.cluster.registry.drop_removed(now_s):
            logs.write("engine_dropped", engine=engine_id)
        self.cluster.directory.drop_expired_records(now_s)
        self._pool.drop_expired()
        self.pieces.update_kept_pieces(now_s)

    def _reload(self) -> None:
        try:
            process_settings = settings.Settings.from_file(self._path)
            process_settings.require("front", "readiness", "control", "directory")
        except settings.SettingsError as error:
            logs.write("settings_refused", why=str(error), then="the old ones stay")
            return
        self.process_settings = process_settings
        logs.write("settings_reloaded", seeds=",".join(process_settings.seeds))
        if self.is_leaving:
            self._update_stop_times()

    def _update_stop_times(self) -> None:
        """Plan the stop by the shortest grace period named since the signal."""
        grace_s = self.process_settings.bounds.grace_s
        times = planned_stop.StopTimes.from_grace(self._leaving_s, grace_s)
        if self._stop_times is not None and times.exit_s >= self._stop_times.exit_s:
            return
        self._stop_times = times
        self._forwarder.leave(times.requests_end_s)
        now_s = reactor.seconds()
        reactor.callLater(max(times.requests_end_s - now_s, 0.0), self._end_requests)
        reactor.callLater(max(times.exit_s - now_s, 0.0), self._exit)

    def _stop_when_idle(self) -> None:
        """Stop accepting once no caller connects any more, and exit once idle."""
        now_s = reactor.seconds()
        unused_s = now_s - max(self._server.accepted_s, self._leaving_s)
        if unused_s >= ACCEPT_UNUSED_S or now_s - self._leaving_s >= OLDEST_LIST_S:
            self._stop_accepting()
        if self._has_stopped_accepting:
            self._server.close_idle()
            if not self._forwarder.in_progress and not self._server.connections:
                loop.spawn(self._deregister_and_exit())
                return
        reactor.callLater(IDLE_CHECK_INTERVAL_S, self._stop_when_idle)

    def _stop_accepting(self) -> None:
        if self._has_stopped_accepting:
            return
        self._has_stopped_accepting = True
        self._server.port.stopListening()

    def _end_requests(self) -> None:
        connections = self._server.connections
        logs.write(
            "grace_ended",
            in_progress=len(self._forwarder.in_progress),
            connections=len(connections),
            blocked=sum(connection.is_blocked for connection in connections),
        )
        self._stop_accepting()
        self._forwarder.end_requests()
        self._deregister()
        self._server.close_idle()

    def _deregister(self) -> asyncio.Task:
        if self._deregistration is None:
            self._deregistration = loop.spawn(self._registration.deregister())
        return self._deregistration

    async def _deregister_and_exit(self) -> None:
        await self._deregister()
        self._exit()

    def _exit(self) -> None:
        if self._is_exiting:
            return
        self._is_exiting = True
        connections = self._server.connections
        logs.write(
            "exiting",
            in_progress=len(self._forwarder.in_progress),
            connections=len(connections),
            unanswered=sum(not connection.is_idle for connection in connections),
            blocked=sum(connection.is_blocked for connection in connections),
        )
        self._server.stop_reading()
        self._server.abort_incomplete()
        process.stop()


def main() -> None:
    """Run the entry with the settings file that the platform names."""
    path = pathlib.Path(os.environ.get(settings.PATH_VARIABLE, ""))
    stamp = process.read_stamp(path)
    try:
        process_settings = settings.Settings.from_file(path)
        entry = Entry(process_settings, path, stamp)
    except settings.SettingsError as error:
        process.exit_with_error(str(error))
    process.start_logs(process_settings.node_name, "entry")
    process.run(entry.start, entry.terminate, entry.check_settings_file)


if __name__ == "__main__":
    main()
