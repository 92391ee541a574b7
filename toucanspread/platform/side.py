"""The program beside an engine: brings its weights, and tells how busy it is.

``python3 -m toucanspread.platform.side`` on the platform.
"""

import asyncio
import os
import pathlib
from typing import NamedTuple

import msgspec
from twisted.internet import reactor, task

from toucanspread.core import data
from toucanspread.core.entry import cluster_state, entry_directory
from toucanspread.core.entry import data as entry_data
from toucanspread.core.view import source_selection, store_view
from toucanspread.core.weights import staging, waves
from toucanspread.ops import (
    http1_pool,
    logs,
    loop,
    prefix_store,
    process,
    staging_driver,
    view_sync,
)
from toucanspread.platform import decoding, engine, settings, store

HOUSEKEEPING_S = 0.5
RETRY_PAUSE_S = 0.4
ENTRIES_ASKED = 2  # before the store
PROFILE_TIMEOUT_S = 1.0
# An entry's margin, the age of its copy, and a report's way to it.
SWITCHED_BEFORE_S = (
    cluster_state.VERSION_DISPATCH_MARGIN_S + source_selection.PEER_WAIT_S
)


class _Named(NamedTuple):
    """A version that the operator has named.

    :param is_news: whether it was named while this process was listening.
    """

    version: int
    since_s: float
    is_news: bool


class Side:
    """The parts of the program, put together."""

    def __init__(self, told: settings.Settings, path: pathlib.Path):
        self.told = told
        self._pool = http1_pool.ConnectionPool(reactor)
        self._store = store.PlatformStore(self._pool, told.platform.address)
        self._view = store_view.View()
        self._is_following = False
        self._profile: entry_data.ModelProfile | None = None
        self._members = entry_directory.EntryDirectory()
        self._named: dict[data.ModelName, _Named] = {}
        self._engines: dict[str, entry_data.EngineEntry] = {}
        self._local: staging_driver.StagingDriver | None = None
        self._sender = staging_driver.LoadReportSender(
            self._members.all_entries, reactor, data.ZoneName(told.zone)
        )
        chooser = source_selection.SourceSelector(
            told.node_name, data.ZoneName(told.zone), can_lead=False
        )
        self._follower = view_sync.ViewSynchronizer(
            self._view,
            self._store,
            self._pool,
            chooser,
            decoding.SIDE_PREFIXES,
            lambda: self._members.peers_of(told.node_name),
            lambda: [data.Address(seed) for seed in self.told.seeds],
            self._on_changes,
            view_sync.PeerDiscovery(entry_directory.RECORDS_PREFIX, self._on_records),
        )
        self._path = path
        self._settings_file = process.SettingsFileWatcher(path, self._reload)

    def start(self) -> None:
        """Begin to follow the store and the engine."""
        reactor.listenUDP(0, self._sender, interface=self.told.ip)
        metrics_address = f"{self.told.ip}:{process.METRICS_PORT}"
        process.listen(metrics_address, process.MetricsHandler())
        task.LoopingCall(self._pool.drop_expired).start(HOUSEKEEPING_S, now=False)
        self._settings_file.start()
        loop.spawn(self._follower.run())
        if self.told.app:
            loop.spawn(self._run_engine())
        logs.write("started", engine=self.told.app, zone=self.told.zone)

    def terminate(self) -> None:
        """End; the engine's stop is its own."""
        process.stop()

    def hang_up(self) -> None:
        """Look at the settings file at once."""
        self._settings_file.check()

    async def _run_engine(self) -> None:
        while not self._is_following:
            # Without the version in force, an older one would be brought first.
            await asyncio.sleep(RETRY_PAUSE_S / 4)
        profile = await self._read_profile()
        local = engine.LocalEngine(self._pool, self.told.app)
        self._local = staging_driver.StagingDriver(
            staging.Stager(profile, self._piece_s(profile)),
            local,
            data.Address(self.told.app),
            self._pool,
            self._members.serving,
            self.told.region,
            self._sender,
        )
        named = self._named.get(profile.model)
        self._profile = profile
        if named is not None:
            self._want(named)
        await self._local.run()

    async def _read_profile(self) -> entry_data.ModelProfile:
        """Return the model of the engine's service, once it is declared."""
        while True:
            try:
                for change in await self._configuration_changes():
                    configuration = decoding.decode_configuration(change.value)
                    for service in configuration.services:
                        if service.name == self.told.service and service.profile:
                            return service.profile
            except (prefix_store.StoreError, msgspec.MsgspecError) as error:
                logs.write("profile_missing", why=str(error))
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _configuration_changes(self) -> list[store_view.KeyChange]:
        """Return the configuration's key, from an entry close by if one has it.

        It may be large, and the store behind a link between regions.
        """
        wanted = view_sync.ExcerptRequest(0, (decoding.CONFIGURATION_KEY,))
        near = [e for e in self._members.serving() if e.zone == self.told.zone]
        for entry in near[:ENTRIES_ASKED]:
            try:
                excerpt = await view_sync.fetch_excerpt(
                    self._pool, data.Address(entry.control), wanted, PROFILE_TIMEOUT_S
                )
            except view_sync.ExcerptError as error:
                logs.write("entry_without_configuration", why=str(error))
                continue
            if excerpt.changes:
                return list(excerpt.changes)
        found = await self._store.read_all(decoding.CONFIGURATION_KEY)
        return found.changes

    def _on_changes(self, changes: list[store_view.KeyChange]) -> None:
        now_s = reactor.seconds()
        for change in changes:
            match decoding.decode_change(change):
                case cluster_state.EntrySeen(record):
                    self._members.put(record)
                case cluster_state.EntryGone(name):
                    self._members.remove(name, now_s, store_was_unavailable=False)
                case cluster_state.EngineSeen(entry):
                    self._engines[entry.engine_id] = entry
                case cluster_state.EngineGone(engine_id):
                    self._engines.pop(engine_id, None)
                case cluster_state.VersionNamed(model, version):
                    self._on_named(model, version, now_s)
        # What comes with the first copy was named some time before.
        self._is_following = True

    def _on_records(self, changes: list[store_view.KeyChange]) -> None:
        """Take in who is there, before anything else is known."""
        for change in changes:
            event = decoding.decode_change(change)
            if isinstance(event, cluster_state.EntrySeen):
                self._members.put(event.record)

    def _on_named(self, model: data.ModelName, version: int, now_s: float) -> None:
        known = self._named.get(model)
        if known is not None and known.version >= version:
            return
        named = _Named(version, now_s, is_news=self._is_following)
        self._named[model] = named
        logs.write("belief_changed", what="version", model=model, version=version)
        if self._local is not None and model == self._profile.model:
            self._want(named)

    def _want(self, named: "_Named") -> None:
        timing = staging.IMMEDIATE
        if named.is_news:
            timing = self._timing(named.since_s)
        self._local.request_version(named.version, timing)

    def _timing(self, since_s: float) -> staging.SwitchTiming:
        """Return the times of a version that was named just now."""
        profile = self._profile
        # Entries count from when their copies were last without the version.
        within_s = self.told.bounds.version_ms / 1000 - SWITCHED_BEFORE_S
        own = waves.EnginePlacement(
            data.Address(self.told.app), data.ZoneName(self.told.zone)
        )
        neighbours = [
            waves.EnginePlacement(entry.address, entry.zone)
            for entry in self._engines.values()
            if entry.service == self.told.service
        ]
        staging_s = profile.chunks * self._piece_s(profile)
        wave = waves.assign_wave(own, neighbours)
        plan = waves.plan_switch(staging_s, within_s, profile.warmup_s, wave)
        return staging.SwitchTiming(
            since_s + plan.quiet_after_s,
            since_s + plan.order_after_s,
            since_s + within_s,
        )

    def _piece_s(self, profile: entry_data.ModelProfile) -> float:
        bits = profile.chunk_bytes * 8
        return bits / (self.told.limits.link_mbps * 1_000_000)

    def _reload(self) -> None:
        try:
            self.told = settings.Settings.from_file(self._path)
        except settings.SettingsError as error:
            logs.write("settings_refused", why=str(error), then="the old ones stay")
            return
        logs.write("settings_reloaded", seeds=",".join(self.told.seeds))


def main() -> None:
    """Run the program with the platform's settings file."""
    path = pathlib.Path(os.environ.get(settings.PATH_VARIABLE, ""))
    try:
        told = settings.Settings.from_file(path)
    except settings.SettingsError as error:
        process.exit_with_error(str(error))
    process.start_logs(told.node_name, "side")
    side = Side(told, path)
    process.run(side.start, side.terminate, side.hang_up)


if __name__ == "__main__":
    main()
