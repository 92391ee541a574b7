"""Moves chunks: from peers and the origin into the engine's staging, and to peers.

The process holds a chunk's bytes only between their arrival and their staging, or
while they are sent on; the bytes held in all are bounded.
"""

import asyncio
import time
from collections.abc import Callable, Coroutine, Mapping

from toucanspread.core import data, invariants
from toucanspread.core.transfers import (
    manifest,
    request_scheduler,
    throttle,
    transfer_events,
    transfer_state,
)
from toucanspread.ops import engine, grpc_transport, loop, origin, rate_limiter, runtime

MAX_UPLOADS = 2  # at once
MAX_QUEUED_UPLOADS = 2  # long queues at one peer leave other links idle
MAX_HELD_BYTES = (
    request_scheduler.MAX_IN_FLIGHT_BYTES + MAX_UPLOADS * manifest.MAX_CHUNK_BYTES
)

BUSY = b""  # no chunk is empty

Status = transfer_events.FetchStatus


class TransferAdapter(runtime.Adapter):
    """Carries out the effects of the transfer part.

    :param state: the transfer part's state, to see what is verified.
    :param post: takes the events that follow.
    :ivar peak_held_bytes: the most chunk bytes that the process held at once.
    """

    def __init__(
        self,
        state: transfer_state.State,
        channel: grpc_transport.GrpcTransport,
        local_engine: engine.Engine,
        store: origin.Origin,
        post: Callable[[data.Event], None],
        upload_rate_bytes_s: float = 0,
        download_rate_bytes_s: float = 0,
    ):
        self._state = state
        self._channel = channel
        self._engine = local_engine
        self._origin = store
        self._post = post
        self._upload_pacer = rate_limiter.RateLimiter(
            upload_rate_bytes_s, time.monotonic
        )
        self._download_pacer = rate_limiter.RateLimiter(
            download_rate_bytes_s, time.monotonic
        )
        self._upload_slots = asyncio.Semaphore(MAX_UPLOADS)
        self._uploads = 0
        self._fetches: dict[int, asyncio.Task] = {}
        self._held_bytes = 0
        self.peak_held_bytes = 0

    async def start(self) -> None:
        """Serve chunks to other processes."""
        self._channel.serve_chunks(self.serve_chunk)

    async def stop(self) -> None:
        """Drop what is under way."""
        for running in tuple(self._fetches.values()):
            running.cancel()

    async def serve_chunk(self, chunk_hash: data.ChunkHash) -> bytes | None:
        """Return a verified chunk for another process, ``BUSY``, or None."""
        if chunk_hash not in self._state.held_hashes:
            return None
        if self._uploads >= MAX_UPLOADS + MAX_QUEUED_UPLOADS:
            return BUSY
        self._uploads += 1
        try:
            async with self._upload_slots:
                return await self._read_for_upload(chunk_hash)
        finally:
            self._uploads -= 1

    async def _read_for_upload(self, chunk_hash: data.ChunkHash) -> bytes | None:
        try:
            payload = await self._engine.get_chunk(chunk_hash)
        except engine.EngineError:
            return None
        if payload is None:
            self._state.held_hashes.discard(chunk_hash)
            return None
        self._hold(len(payload))
        try:
            await self._upload_pacer.acquire(len(payload))
        finally:
            self._release(len(payload))
        return payload

    def _from_peer(self, effect: transfer_events.FetchFromPeer) -> None:
        incoming = self._channel.fetch_chunk(
            effect.address, effect.chunk_hash, effect.deadline_s
        )
        self._begin(effect.fetch_id, effect.chunk_hash, incoming)

    def _from_origin(self, effect: transfer_events.FetchFromOrigin) -> None:
        if effect.path:
            incoming = self._origin.fetch_range(
                effect.manifest_hash,
                effect.path,
                effect.offset_bytes,
                effect.size_bytes,
                effect.stall_s,
            )
        else:
            incoming = self._origin.fetch_manifest(effect.manifest_hash, effect.stall_s)
        self._begin(effect.fetch_id, effect.chunk_hash, incoming)

    def _begin(
        self,
        fetch_id: int,
        chunk_hash: data.ChunkHash,
        incoming: Coroutine[None, None, bytes],
    ) -> None:
        task = loop.spawn(self._fetch(fetch_id, chunk_hash, incoming))
        self._fetches[fetch_id] = task
        task.add_done_callback(lambda _: self._fetches.pop(fetch_id, None))

    def _set_pace(self, effect: throttle.SetRateShare) -> None:
        self._upload_pacer.set_rate_share(effect.share)
        self._download_pacer.set_rate_share(effect.share)

    def _cancel(self, effect: transfer_events.CancelFetch) -> None:
        task = self._fetches.pop(effect.fetch_id, None)
        if task is not None:
            task.cancel()

    async def _fetch(
        self,
        fetch_id: int,
        chunk_hash: data.ChunkHash,
        incoming: Coroutine[None, None, bytes],
    ) -> None:
        try:
            payload = await incoming
        except grpc_transport.PeerError as error:
            status = _peer_status(error)
            self._post(transfer_events.FetchEnded(fetch_id, status, detail=str(error)))
            return
        except origin.OriginError as error:
            status = Status.STALLED if error.stalled else Status.FAILED
            self._post(transfer_events.FetchEnded(fetch_id, status, detail=str(error)))
            return
        if payload == BUSY:
            self._post(transfer_events.FetchEnded(fetch_id, Status.BUSY))
            return
        self._hold(len(payload))
        try:
            ended = await self._stage(fetch_id, chunk_hash, payload)
        finally:
            self._release(len(payload))
        self._post(ended)

    async def _stage(
        self, fetch_id: int, chunk_hash: data.ChunkHash, payload: bytes
    ) -> transfer_events.FetchEnded:
        await self._download_pacer.acquire(len(payload))
        digest = manifest.hash_content(payload)
        if digest != chunk_hash:
            return transfer_events.FetchEnded(fetch_id, Status.CORRUPT)
        try:
            await self._engine.put_chunk(chunk_hash, payload)
        except engine.EngineError as error:
            return transfer_events.FetchEnded(
                fetch_id, Status.STAGING_FAILED, detail=str(error)
            )
        return transfer_events.FetchEnded(fetch_id, Status.STAGED, digest)

    async def _list_staging(self) -> None:
        try:
            chunk_hashes = await self._engine.list_chunks()
        except engine.EngineError:
            chunk_hashes = None
        self._post(transfer_events.StagingListed(chunk_hashes))

    async def _read_manifest(self, manifest_hash: data.ManifestHash) -> None:
        try:
            payload = await self._engine.get_chunk(data.ChunkHash(manifest_hash))
        except engine.EngineError:
            payload = None
        if payload is not None and manifest.hash_content(payload) != manifest_hash:
            payload = None
        self._post(transfer_events.ManifestRead(manifest_hash, payload))

    async def _delete(self, chunk_hashes: tuple[data.ChunkHash, ...]) -> None:
        try:
            await self._engine.delete_chunks(chunk_hashes)
        except engine.EngineError:
            return  # the next listing of the staging shows what is still there

    def _hold(self, size_bytes: int) -> None:
        self._held_bytes += size_bytes
        self.peak_held_bytes = max(self.peak_held_bytes, self._held_bytes)
        invariants.check(
            self._held_bytes <= MAX_HELD_BYTES,
            invariants.Invariant.STAGING_BOUND,
            f"{self._held_bytes} of {MAX_HELD_BYTES} bytes",
        )

    def _release(self, size_bytes: int) -> None:
        self._held_bytes -= size_bytes

    def handlers(self) -> Mapping[type, runtime.EffectHandler]:
        """Return the effects that this adapter carries out."""
        return {
            transfer_events.FetchFromPeer: self._from_peer,
            transfer_events.FetchFromOrigin: self._from_origin,
            transfer_events.CancelFetch: self._cancel,
            throttle.SetRateShare: self._set_pace,
            transfer_events.ListStaging: lambda _: loop.spawn(self._list_staging()),
            transfer_events.ReadManifest: lambda effect: loop.spawn(
                self._read_manifest(effect.manifest_hash)
            ),
            transfer_events.DeleteChunks: lambda effect: loop.spawn(
                self._delete(effect.chunk_hashes)
            ),
        }


def _peer_status(error: grpc_transport.PeerError) -> Status:
    if error.reason is data.Reason.SILENT:
        return Status.STALLED
    if error.reason is data.Reason.NOT_WHOLE:
        return Status.ABSENT
    return Status.FAILED
