"""The program of an entry: callers' requests, addresses, and pieces of weights.

``python3 -m toucanspread.platform.entry`` on the platform.
"""

import os
import pathlib
import random

import msgspec
from twisted.internet import reactor, task

from toucanspread.core import data
from toucanspread.core.entry import (
    cluster_state,
    entry_directory,
    load_balancing,
    retry_budget,
)
from toucanspread.core.view import source_selection, store_view
from toucanspread.ops import (
    forwarder,
    http1_pool,
    http1_server,
    logs,
    loop,
    piece_cache,
    process,
    registration,
    view_sync,
)
from toucanspread.platform import (
    decoding,
    engine,
    entry_handlers,
    requests,
    settings,
    store,
)

HOUSEKEEPING_S = 0.25
STORE_AWAY_S = 5.0  # records that vanish this soon after an outage may have lapsed
ACCEPT_AFTER_TERM_S = 2.5  # callers with an older list still come
SETTLING_S = 2.0  # after a first start, all entries know each other
END_MARGIN_S = 0.5  # before the platform kills the process


class Entry:
    """The parts of the program, put together."""

    def __init__(self, told: settings.Settings, path: pathlib.Path):
        told.require("front", "readiness", "control", "directory")
        self.told = told
        self.source = random.Random()
        self.is_leaving = False
        self.known = cluster_state.ClusterState(
            told.bounds.version_ms / 1000, told.bounds.drain_ms / 1000
        )
        self.view = store_view.View()
        self.excerpts = view_sync.ExcerptServer(self.view, reactor)
        pool = http1_pool.ConnectionPool(reactor)
        self._pool = pool
        self._store = store.PlatformStore(pool, told.platform.address)
        origin = engine.Origin(pool, self._origin_address)
        name = told.node_name
        self.pieces = piece_cache.PieceCache(
            name,
            pool,
            origin,
            self.known.directory.serving,
            self._origin_region,
            self._origin_piece_s,
        )
        chooser = source_selection.SourceSelector(
            name, data.ZoneName(told.zone), can_lead=True
        )
        self._follower = view_sync.ViewSynchronizer(
            self.view,
            self._store,
            pool,
            chooser,
            decoding.ENTRY_PREFIXES,
            lambda: self.known.directory.peers_of(name),
            self._other_seeds,
            self._on_changes,
            view_sync.PeerDiscovery(entry_directory.RECORDS_PREFIX, self._on_records),
        )
        bounds = told.bounds
        spending = retry_budget.RetryBudget(
            bounds.budget_ratio, bounds.budget_slack, bounds.budget_window_s
        )
        self._reports = entry_handlers.Reports(self.known, name, told.zone)
        self._forwarder = forwarder.Forwarder(
            self.known,
            spending,
            pool,
            requests.PlatformDialect(),
            self._place,
            self.source,
            self._reports.tell,
        )
        self._registration = registration.Registration(self._store, self._record())
        self._settings_file = process.SettingsFileWatcher(path, self._reload)
        self._path = path
        self._server: http1_server.ServerFactory | None = None

    @property
    def is_ready(self) -> bool:
        """Tell whether callers should come."""
        return self.known.route_table is not None and not self.is_leaving

    def start(self) -> None:
        """Listen, and begin to follow the store."""
        listen = self.told.listen
        self._server = process.listen(listen.front, self._forwarder)
        asked = entry_handlers.DirectoryHandler(self)
        for address in sorted({listen.readiness, listen.directory}):
            process.listen(address, asked)
        process.listen(listen.control, entry_handlers.ControlHandler(self))
        metrics_address = f"{self.told.ip}:{process.METRICS_PORT}"
        process.listen(metrics_address, process.MetricsHandler())
        host, _, port = self._registration.record.reports.rpartition(":")
        reactor.listenUDP(int(port), self._reports, interface=host)
        loop.spawn(self._follower.run())
        loop.spawn(self._registration.run())
        if self.told.bootstrap:
            reactor.callLater(SETTLING_S, self._take_first_version)
        task.LoopingCall(self._keep_house).start(HOUSEKEEPING_S, now=False)
        self._settings_file.start()
        logs.write("started", address=listen.front, zone=self.told.zone)

    def terminate(self) -> None:
        """Leave: take no new callers, let answers finish, then end."""
        if self.is_leaving:
            return
        self.is_leaving = True
        self._forwarder.is_leaving = True
        logs.write("leaving", in_progress=len(self._forwarder.in_progress))
        record = msgspec.structs.replace(
            self._registration.record, phase=entry_directory.EntryPhase.LEAVING
        )
        loop.spawn(self._registration.update_record(record))
        reactor.callLater(ACCEPT_AFTER_TERM_S, self._stop_accepting)
        last_s = max(self.told.bounds.grace_s - END_MARGIN_S, 0.0)
        reactor.callLater(last_s, self._end)

    def hang_up(self) -> None:
        """Look at the settings file at once."""
        self._settings_file.check()

    # inside

    def _record(self) -> entry_directory.EntryRecord:
        told = self.told
        reports = f"{told.ip}:{told.internal_ports[0]}"
        return entry_directory.EntryRecord(
            told.node_name,
            told.zone,
            told.region,
            told.listen.front,
            told.listen.control,
            reports,
        )

    def _other_seeds(self) -> list[data.Address]:
        own = self.told.listen.control
        return [data.Address(seed) for seed in self.told.seeds if seed != own]

    def _place(self) -> load_balancing.EntryLocation:
        return load_balancing.EntryLocation(
            data.ZoneName(self.told.zone),
            self.told.map_zones_to_regions(),
            max(len(self.known.directory.serving()), 1),
        )

    def _origin_address(self) -> data.Address | None:
        service = (
            self.known.route_table.origin_service() if self.known.route_table else None
        )
        return service.origin if service is not None else None

    def _origin_region(self) -> str:
        service = (
            self.known.route_table.origin_service() if self.known.route_table else None
        )
        if service is None:
            return ""
        return self.told.map_zones_to_regions().get(service.origin_zone, "")

    def _on_changes(self, changes: list[store_view.KeyChange]) -> None:
        now_s = reactor.seconds()
        follower = self._follower
        news = cluster_state.ChangeTiming(
            now_s, follower.previous_confirmed_s, follower.outage_until_s
        )
        away = now_s - follower.store_failed_s < STORE_AWAY_S
        for change in changes:
            event = decoding.decode_change(change)
            if event is None or not self.known.apply(event, news, away):
                continue
            self._note(event, change)
            if isinstance(event, cluster_state.VersionNamed):
                is_news = news.earliest_in_force_s > float("-inf")
                self._take_owned(event.model, event.version, is_news)
        self.excerpts.notify_waiters()

    def _on_records(self, changes: list[store_view.KeyChange]) -> None:
        """Take in who is there, before anything else is known."""
        for change in changes:
            event = decoding.decode_change(change)
            if isinstance(event, cluster_state.EntrySeen):
                self.known.directory.put(event.record)

    def _note(self, event: data.Event, change: store_view.KeyChange) -> None:
        logs.write(
            "belief_changed",
            what=type(event).__name__,
            key=change.key,
            revision=change.revision,
        )
        if isinstance(event, cluster_state.VersionNamed):
            logs.write(
                "version_named",
                model=event.model,
                version=event.version,
                due_in_s=self.known.due_in_s(event, reactor.seconds()),
            )

    def _take_first_version(self) -> None:
        """Fetch the weights in use, so that engines that are added can be filled.

        The origin may be away by the time they come.
        """
        if self.known.route_table is None:
            reactor.callLater(SETTLING_S, self._take_first_version)
            return
        for service in self.known.route_table.services.values():
            if service.profile is not None:
                model = service.profile.model
                self._take_owned(model, self.known.versions_of(model).newest)

    def _take_owned(
        self, model: data.ModelName, version: int, is_news: bool = True
    ) -> None:
        loop.spawn(self.pieces.fetch_kept_pieces(model, version, is_news))

    def _origin_piece_s(self, model: data.ModelName) -> float:
        if self.known.route_table is None:
            return 0.0
        return self.known.route_table.origin_piece_s(model)

    def _keep_house(self) -> None:
        now_s = reactor.seconds()
        for engine_id in self.known.registry.drop_removed(now_s):
            logs.write("engine_dropped", engine=engine_id)
        self.known.directory.drop_expired_records(now_s)
        self._pool.drop_expired()
        self.pieces.update_kept_pieces(now_s)

    def _reload(self) -> None:
        try:
            told = settings.Settings.from_file(self._path)
            told.require("front", "readiness", "control", "directory")
        except settings.SettingsError as error:
            logs.write("settings_refused", why=str(error), then="the old ones stay")
            return
        self.told = told
        logs.write("settings_reloaded", seeds=",".join(told.seeds))

    def _stop_accepting(self) -> None:
        self._server.port.stopListening()
        self._end_when_done()

    def _end_when_done(self) -> None:
        self._server.close_idle()
        if not self._forwarder.in_progress and not self._server.connections:
            self._end()
            return
        reactor.callLater(HOUSEKEEPING_S, self._end_when_done)

    def _end(self) -> None:
        loop.spawn(self._end_lease())

    async def _end_lease(self) -> None:
        await self._registration.deregister()
        process.stop()


def main() -> None:
    """Run the program with the platform's settings file."""
    path = pathlib.Path(os.environ.get(settings.PATH_VARIABLE, ""))
    try:
        told = settings.Settings.from_file(path)
        entry = Entry(told, path)
    except settings.SettingsError as error:
        process.exit_with_error(str(error))
    process.start_logs(told.node_name, "entry")
    process.run(entry.start, entry.terminate, entry.hang_up)


if __name__ == "__main__":
    main()
