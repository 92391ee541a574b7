"""Transfers chunks from peers and the origin to the engine's staging, and to peers.

The process holds the bytes of a chunk only between download and staging, or during an
upload; the total of held bytes is bounded.
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

MAX_CONCURRENT_UPLOADS = 2
MAX_QUEUED_UPLOADS = 2  # longer queues at one peer would leave other links idle
MAX_HELD_BYTES = (
    request_scheduler.MAX_IN_FLIGHT_BYTES
    + MAX_CONCURRENT_UPLOADS * manifest.MAX_CHUNK_BYTES
)

BUSY = b""  # unambiguous as an answer, since no chunk is empty

Status = transfer_events.FetchStatus


class TransferAdapter(runtime.Adapter):
    """Executes the transfer effects and serves chunks to peers.

    :param state: state of the transfers, which lists the verified chunks.
    :param post: called with the resulting events.
    :ivar peak_held_bytes: maximum of the chunk bytes that the process held at once.
    """

    def __init__(
        self,
        state: transfer_state.State,
        transport: grpc_transport.GrpcTransport,
        local_engine: engine.Engine,
        chunk_origin: origin.Origin,
        post: Callable[[data.Event], None],
        upload_rate_bytes_s: float = 0,
        download_rate_bytes_s: float = 0,
    ):
        self._state = state
        self._transport = transport
        self._engine = local_engine
        self._origin = chunk_origin
        self._post = post
        self._upload_limiter = rate_limiter.RateLimiter(
            upload_rate_bytes_s, time.monotonic
        )
        self._download_limiter = rate_limiter.RateLimiter(
            download_rate_bytes_s, time.monotonic
        )
        self._upload_slots = asyncio.Semaphore(MAX_CONCURRENT_UPLOADS)
        self._upload_count = 0
        self._fetch_tasks: dict[int, asyncio.Task] = {}
        self._held_bytes = 0
        self.peak_held_bytes = 0

    async def start(self) -> None:
        """Start serving chunks to other processes."""
        self._transport.serve_chunks(self.serve_chunk)

    async def stop(self) -> None:
        """Cancel the fetches in progress."""
        for task in tuple(self._fetch_tasks.values()):
            task.cancel()

    async def serve_chunk(self, chunk_hash: data.ChunkHash) -> bytes | None:
        """Return a verified chunk, ``BUSY`` at the upload limit, or None."""
        if chunk_hash not in self._state.held_hashes:
            return None
        if self._upload_count >= MAX_CONCURRENT_UPLOADS + MAX_QUEUED_UPLOADS:
            return BUSY
        self._upload_count += 1
        try:
            async with self._upload_slots:
                return await self._read_for_upload(chunk_hash)
        finally:
            self._upload_count -= 1

    async def _read_for_upload(self, chunk_hash: data.ChunkHash) -> bytes | None:
        try:
            payload = await self._engine.get_chunk(chunk_hash)
        except engine.EngineError:
            return None
        if payload is None:
            self._state.held_hashes.discard(chunk_hash)
            return None
        self._add_held_bytes(len(payload))
        try:
            await self._upload_limiter.acquire(len(payload))
        finally:
            self._subtract_held_bytes(len(payload))
        return payload

    def _fetch_from_peer(self, effect: transfer_events.FetchFromPeer) -> None:
        download = self._transport.fetch_chunk(
            effect.address, effect.chunk_hash, effect.deadline_s
        )
        self._start_fetch(effect.fetch_id, effect.chunk_hash, download)

    def _fetch_from_origin(self, effect: transfer_events.FetchFromOrigin) -> None:
        if effect.path:
            download = self._origin.fetch_range(
                effect.manifest_hash,
                effect.path,
                effect.offset_bytes,
                effect.size_bytes,
                effect.stall_s,
            )
        else:
            download = self._origin.fetch_manifest(effect.manifest_hash, effect.stall_s)
        self._start_fetch(effect.fetch_id, effect.chunk_hash, download)

    def _start_fetch(
        self,
        fetch_id: int,
        chunk_hash: data.ChunkHash,
        download: Coroutine[None, None, bytes],
    ) -> None:
        task = loop.spawn(self._fetch(fetch_id, chunk_hash, download))
        self._fetch_tasks[fetch_id] = task
        task.add_done_callback(lambda _: self._fetch_tasks.pop(fetch_id, None))

    def _set_rate_share(self, effect: throttle.SetRateShare) -> None:
        self._upload_limiter.set_rate_share(effect.share)
        self._download_limiter.set_rate_share(effect.share)

    def _cancel_fetch(self, effect: transfer_events.CancelFetch) -> None:
        task = self._fetch_tasks.pop(effect.fetch_id, None)
        if task is not None:
            task.cancel()

    async def _fetch(
        self,
        fetch_id: int,
        chunk_hash: data.ChunkHash,
        download: Coroutine[None, None, bytes],
    ) -> None:
        try:
            payload = await download
        except grpc_transport.PeerError as error:
            status = _get_failure_status(error)
            self._post(transfer_events.FetchEnded(fetch_id, status, detail=str(error)))
            return
        except origin.OriginError as error:
            status = Status.STALLED if error.stalled else Status.FAILED
            self._post(transfer_events.FetchEnded(fetch_id, status, detail=str(error)))
            return
        if payload == BUSY:
            self._post(transfer_events.FetchEnded(fetch_id, Status.BUSY))
            return
        self._add_held_bytes(len(payload))
        try:
            ended = await self._stage(fetch_id, chunk_hash, payload)
        finally:
            self._subtract_held_bytes(len(payload))
        self._post(ended)

    async def _stage(
        self, fetch_id: int, chunk_hash: data.ChunkHash, payload: bytes
    ) -> transfer_events.FetchEnded:
        await self._download_limiter.acquire(len(payload))
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

    async def _delete_chunks(self, chunk_hashes: tuple[data.ChunkHash, ...]) -> None:
        try:
            await self._engine.delete_chunks(chunk_hashes)
        except engine.EngineError:
            return  # the next listing of the staging shows the remaining chunks

    def _add_held_bytes(self, size_bytes: int) -> None:
        self._held_bytes += size_bytes
        self.peak_held_bytes = max(self.peak_held_bytes, self._held_bytes)
        invariants.check(
            self._held_bytes <= MAX_HELD_BYTES,
            invariants.Invariant.STAGING_BOUND,
            f"{self._held_bytes} of {MAX_HELD_BYTES} bytes",
        )

    def _subtract_held_bytes(self, size_bytes: int) -> None:
        self._held_bytes -= size_bytes

    def handlers(self) -> Mapping[type, runtime.EffectHandler]:
        """Return the handlers of the transfer effects."""
        return {
            transfer_events.FetchFromPeer: self._fetch_from_peer,
            transfer_events.FetchFromOrigin: self._fetch_from_origin,
            transfer_events.CancelFetch: self._cancel_fetch,
            throttle.SetRateShare: self._set_rate_share,
            transfer_events.ListStaging: lambda _: loop.spawn(self._list_staging()),
            transfer_events.ReadManifest: lambda effect: loop.spawn(
                self._read_manifest(effect.manifest_hash)
            ),
            transfer_events.DeleteChunks: lambda effect: loop.spawn(
                self._delete_chunks(effect.chunk_hashes)
            ),
        }


def _get_failure_status(error: grpc_transport.PeerError) -> Status:
    if error.reason is data.Reason.SILENT:
        return Status.STALLED
    if error.reason is data.Reason.NOT_WHOLE:
        return Status.ABSENT
    return Status.FAILED
