"""Fetches and stages chunks of weights for the processes of a simulated system."""

from collections.abc import Callable

from standins import system_parts
from toucanspread.core import data
from toucanspread.core.transfers import transfer_events


class Transfers:
    """The transfers of chunks from peers and the origin, and the staged chunks."""

    def __init__(self, system: system_parts.System):
        self._system = system

    def handlers(self) -> dict[type, Callable]:
        """Return what carries out each kind of effect."""
        return {
            transfer_events.ListStaging: self._list_staging,
            transfer_events.ReadManifest: self._read_manifest,
            transfer_events.DeleteChunks: self._delete_chunks,
            transfer_events.FetchFromPeer: self._fetch_from_peer,
            transfer_events.FetchFromOrigin: self._fetch_from_origin,
            transfer_events.CancelFetch: self._cancel_fetch,
        }

    def _list_staging(
        self, process: system_parts.Process, effect: transfer_events.ListStaging
    ) -> None:
        staging = self._system.hosts[process.identity.instance_id].engine.staging
        listed = transfer_events.StagingListed(tuple(staging))
        self._system.deliver(process.identity, system_parts.NETWORK_DELAY_S, listed)

    def _read_manifest(
        self, process: system_parts.Process, effect: transfer_events.ReadManifest
    ) -> None:
        staging = self._system.hosts[process.identity.instance_id].engine.staging
        payload = staging.get(data.ChunkHash(effect.manifest_hash))
        read = transfer_events.ManifestRead(effect.manifest_hash, payload)
        self._system.deliver(process.identity, system_parts.NETWORK_DELAY_S, read)

    def _delete_chunks(
        self, process: system_parts.Process, effect: transfer_events.DeleteChunks
    ) -> None:
        staging = self._system.hosts[process.identity.instance_id].engine.staging
        for chunk_hash in effect.chunk_hashes:
            staging.pop(chunk_hash, None)

    def _fetch_from_peer(
        self, process: system_parts.Process, effect: transfer_events.FetchFromPeer
    ) -> None:
        process.fetches.add(effect.fetch_id)
        peer = self._system.find_process(effect.address)
        status = transfer_events.FetchStatus.STAGED
        payload = b""
        delay_s = 0.01 + 0.05 * self._system.random.random()
        if peer is None:
            status = transfer_events.FetchStatus.FAILED
        elif peer.frozen or self._system.is_partitioned(
            process.identity, peer.identity
        ):
            status = transfer_events.FetchStatus.STALLED
            delay_s = effect.deadline_s
        elif effect.chunk_hash not in peer.stepper.node.transfer.held_hashes:
            status = transfer_events.FetchStatus.ABSENT
        elif peer.identity.instance_id in self._system.corrupting_ids:
            status = transfer_events.FetchStatus.CORRUPT
        else:
            staging = self._system.hosts[peer.identity.instance_id].engine.staging
            payload = staging[effect.chunk_hash]
        self._end_fetch(process, effect, delay_s, status, payload)

    def _fetch_from_origin(
        self, process: system_parts.Process, effect: transfer_events.FetchFromOrigin
    ) -> None:
        process.fetches.add(effect.fetch_id)
        payload = b"chunk"
        if not effect.path:
            payload = self._system.origin.manifests[effect.manifest_hash]
        else:
            self._system.origin.sent_chunks[effect.manifest_hash] += 1
        delay_s = 0.02 + 0.1 * self._system.random.random()
        status = transfer_events.FetchStatus.STAGED
        self._end_fetch(process, effect, delay_s, status, payload)

    def _end_fetch(
        self,
        process: system_parts.Process,
        effect,
        delay_s: float,
        status,
        payload: bytes,
    ) -> None:
        engine = self._system.hosts[process.identity.instance_id].engine
        is_staged = status is transfer_events.FetchStatus.STAGED
        digest = effect.chunk_hash if is_staged else data.ChunkHash("")
        ended = transfer_events.FetchEnded(effect.fetch_id, status, digest)

        def finish_fetch() -> None:
            if effect.fetch_id not in process.fetches:
                return
            process.fetches.discard(effect.fetch_id)
            if is_staged:
                engine.stage(effect.chunk_hash, payload)
            self._system.deliver(process.identity, 0.0, ended)

        self._system.call_later(delay_s, finish_fetch)

    def _cancel_fetch(
        self, process: system_parts.Process, effect: transfer_events.CancelFetch
    ) -> None:
        process.fetches.discard(effect.fetch_id)
