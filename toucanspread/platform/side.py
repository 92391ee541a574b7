"""The sidecar program of an engine: updates its weights and reports its load.

The platform runs it as ``python3 -m toucanspread.platform.side`` on the engine's
machine.
"""

import asyncio
import os
import pathlib
from typing import NamedTuple

from twisted.internet import reactor

from toucanspread.core import data, decoder
from toucanspread.core.entry import cluster_state, entry_directory
from toucanspread.core.entry import data as entry_data
from toucanspread.core.view import source_selection, store_view
from toucanspread.core.weights import staging, switch_turns
from toucanspread.ops import load_reports, loop, process
from toucanspread.ops.copies import excerpt_client, prefix_store, view_sync
from toucanspread.ops.http import http1_pool
from toucanspread.ops.pieces import piece_cache, staging_driver
from toucanspread.ops.telemetry import logs
from toucanspread.platform import decoding, engine, settings, store

MAINTENANCE_INTERVAL_S = 0.5
RETRY_DELAY_S = 0.4
MAX_QUERIED_ENTRIES = 2  # entries that are asked before the store
CONFIGURATION_TIMEOUT_S = 1.0
# Callers' requests wait behind the parts on the link, one for each piece in flight.
PART_TRANSFER_S = 0.02
MIN_PART_BYTES = 4096
# Covers the dispatch margin of entries, the age of an entry's copy of the store, and
# the time that a load report takes to reach the entry.
SWITCH_MARGIN_S = cluster_state.VERSION_DISPATCH_MARGIN_S + source_selection.PEER_WAIT_S


class _NamedVersion(NamedTuple):
    """A version that the operator has named.

    :param learnt_s: when this process learnt of it.
    :param is_new: whether it was named while this process followed the store.
    """

    version: int
    learnt_s: float
    is_new: bool


class Sidecar:
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
        self.process_settings = process_settings
        self._pool = http1_pool.ConnectionPool(reactor)
        self._store = store.PlatformStore(self._pool, process_settings.platform.address)
        self._view = store_view.View(decoding.read_version)
        self._has_first_copy = False
        self._profile: entry_data.ModelProfile | None = None
        self._directory = entry_directory.EntryDirectory()
        self._named_versions: dict[data.ModelName, _NamedVersion] = {}
        self._engines: dict[str, entry_data.EngineEntry] = {}
        self._driver: staging_driver.StagingDriver | None = None
        self._load_sender = load_reports.LoadReportSender(
            self._directory.all_entries, reactor, data.ZoneName(process_settings.zone)
        )
        source_selector = source_selection.SourceSelector(
            process_settings.node_name,
            data.ZoneName(process_settings.zone),
            can_lead=False,
        )
        self._synchronizer = view_sync.ViewSynchronizer(
            self._view,
            self._store,
            self._pool,
            source_selector,
            decoding.SIDECAR_PREFIXES,
            lambda: self._directory.peers_of(process_settings.node_name),
            lambda: [data.Address(seed) for seed in self.process_settings.seeds],
            self._on_changes,
            view_sync.PeerDiscovery(entry_directory.RECORDS_PREFIX, self._on_records),
            needs_all_keys=False,
        )
        self._path = path
        self._settings_file = process.SettingsFileWatcher(path, stamp, self._reload)

    def start(self) -> None:
        """Start to follow the store and the engine."""
        reactor.listenUDP(0, self._load_sender, interface=self.process_settings.ip)
        metrics_address = f"{self.process_settings.ip}:{process.METRICS_PORT}"
        process.listen(metrics_address, process.MetricsHandler())
        loop.call_periodically(
            "maintenance", MAINTENANCE_INTERVAL_S, self._pool.drop_expired
        )
        self._settings_file.start()
        loop.supervise("synchronization", self._synchronizer.run)
        if self.process_settings.app:
            loop.supervise("engine", self._run_engine)
        logs.write(
            "started", engine=self.process_settings.app, zone=self.process_settings.zone
        )

    def terminate(self) -> None:
        """Stop this process; the engine is stopped separately."""
        process.stop()

    def check_settings_file(self) -> None:
        """Reload the settings file now if it has changed."""
        self._settings_file.check()

    async def _run_engine(self) -> None:
        while not self._has_first_copy:
            # Before the version in force is known, an older one would be staged first.
            await asyncio.sleep(RETRY_DELAY_S / 4)
        profile = await self._read_profile()
        local_engine = engine.LocalEngine(
            self._pool,
            self.process_settings.app,
            piece_cache.limit_piece_bytes(profile.chunk_bytes),
        )
        self._driver = staging_driver.StagingDriver(
            staging.Stager(profile, self._compute_piece_transfer_s(profile)),
            local_engine,
            data.Address(self.process_settings.app),
            self._pool,
            self._directory.serving,
            self.process_settings.region,
            self._load_sender,
            lambda: self._synchronizer.exchange_delay_s,
            self._compute_part_bytes(),
        )
        named_version = self._named_versions.get(profile.model)
        self._profile = profile
        if named_version is not None:
            self._request_version(named_version)
        await self._driver.run()

    async def _read_profile(self) -> entry_data.ModelProfile:
        """Return the model profile of the engine's service once it is configured."""
        while True:
            try:
                for change in await self._read_configuration_changes():
                    configuration = decoding.decode_configuration(change.value)
                    for service in configuration.services:
                        if (
                            service.name == self.process_settings.service
                            and service.profile
                        ):
                            return service.profile
            except (prefix_store.StoreError, decoder.MalformedError) as error:
                logs.write("profile_missing", why=str(error))
            await asyncio.sleep(RETRY_DELAY_S)

    async def _read_configuration_changes(self) -> list[store_view.KeyChange]:
        """Return the configuration as a change of its key; empty if there is none.

        Entries of the same zone are asked before the store, since the configuration may
        be large and the store may be reached over a link between regions.
        """
        request = excerpt_client.ExcerptRequest(0, (decoding.CONFIGURATION_KEY,))
        zone_entries = [
            e for e in self._directory.serving() if e.zone == self.process_settings.zone
        ]
        for entry in zone_entries[:MAX_QUERIED_ENTRIES]:
            try:
                excerpt = await excerpt_client.fetch_excerpt(
                    self._pool,
                    data.Address(entry.control),
                    request,
                    CONFIGURATION_TIMEOUT_S,
                )
            except excerpt_client.ExcerptError as error:
                logs.write("entry_without_configuration", why=str(error))
                continue
            if excerpt.changes:
                return list(excerpt.changes)
        answer = await self._store.read_all(decoding.CONFIGURATION_KEY)
        return answer.changes

    def _on_changes(self, changes: list[store_view.KeyChange]) -> None:
        view_sync.apply_each(changes, self._apply_change)
        # Versions in the first copy of the store were named some time before.
        self._has_first_copy = True

    def _apply_change(self, change: store_view.KeyChange) -> None:
        now_s = reactor.seconds()
        match decoding.decode_change(change):
            case cluster_state.EntrySeen(record):
                self._directory.put(record)
            case cluster_state.EntryRemoved(name):
                self._directory.remove(name, now_s, store_was_unavailable=False)
            case cluster_state.EngineSeen(entry):
                self._engines[entry.engine_id] = entry
            case cluster_state.EngineRemoved(engine_id):
                self._engines.pop(engine_id, None)
            case cluster_state.VersionNamed(model, version):
                self._on_version_named(model, version, now_s)

    def _on_records(self, changes: list[store_view.KeyChange]) -> None:
        """Add the entries' records, which are read before the rest of the store."""
        view_sync.apply_each(changes, self._apply_record)

    def _apply_record(self, change: store_view.KeyChange) -> None:
        event = decoding.decode_change(change)
        if isinstance(event, cluster_state.EntrySeen):
            self._directory.put(event.record)

    def _on_version_named(
        self, model: data.ModelName, version: int, now_s: float
    ) -> None:
        previous = self._named_versions.get(model)
        if previous is not None and previous.version >= version:
            return
        named_version = _NamedVersion(version, now_s, is_new=self._has_first_copy)
        self._named_versions[model] = named_version
        logs.write("belief_changed", what="version", model=model, version=version)
        if self._driver is not None and model == self._profile.model:
            self._request_version(named_version)

    def _request_version(self, named_version: "_NamedVersion") -> None:
        timing = switch_turns.IMMEDIATE
        if named_version.is_new:
            timing = self._make_timing(named_version.learnt_s)
        self._driver.request_version(named_version.version, timing)

    def _make_timing(self, learnt_s: float) -> switch_turns.SwitchTiming:
        """Return when the engine switches to a version that was named just now."""
        # Entries count the time from when their copy last lacked the version.
        deadline_s = self.process_settings.bounds.version_ms / 1000 - SWITCH_MARGIN_S
        own_placement = switch_turns.EnginePlacement(
            data.Address(self.process_settings.app),
            data.ZoneName(self.process_settings.zone),
        )
        placements = [
            switch_turns.EnginePlacement(entry.address, entry.zone)
            for entry in self._engines.values()
            if entry.service == self.process_settings.service
        ]
        return switch_turns.plan_switch(
            own_placement, placements, learnt_s + deadline_s
        )

    def _compute_part_bytes(self) -> int:
        """Return the size of the parts of pieces that take the link a short time."""
        link_bytes_per_s = self.process_settings.limits.link_mbps * 1_000_000 / 8
        return max(int(link_bytes_per_s * PART_TRANSFER_S), MIN_PART_BYTES)

    def _compute_piece_transfer_s(self, profile: entry_data.ModelProfile) -> float:
        bits = profile.chunk_bytes * 8
        return bits / (self.process_settings.limits.link_mbps * 1_000_000)

    def _reload(self) -> None:
        try:
            self.process_settings = settings.Settings.from_file(self._path)
        except settings.SettingsError as error:
            logs.write("settings_refused", why=str(error), then="the old ones stay")
            return
        logs.write("settings_reloaded", seeds=",".join(self.process_settings.seeds))


def main() -> None:
    """Run the sidecar with the settings file that the platform names."""
    path = pathlib.Path(os.environ.get(settings.PATH_VARIABLE, ""))
    stamp = process.read_stamp(path)
    try:
        process_settings = settings.Settings.from_file(path)
    except settings.SettingsError as error:
        process.exit_with_error(str(error))
    process.start_logs(process_settings.node_name, "side")
    sidecar = Sidecar(process_settings, path, stamp)
    process.run(sidecar.start, sidecar.terminate, sidecar.check_settings_file)


if __name__ == "__main__":
    main()
