"""The events and effects by which the transfer part moves chunks."""

import enum

from toucanspread.core import data


class FetchStatus(enum.Enum):
    """How a fetch ended."""

    STAGED = "staged"  # verified, and held in the engine's staging
    CORRUPT = "corrupt"
    ABSENT = "absent"  # the source does not have it
    BUSY = "busy"  # the source's queue is full
    FAILED = "failed"
    STALLED = "stalled"  # no progress before the deadline
    STAGING_FAILED = "staging failed"


class FetchFromPeer(data.Effect):
    """Fetch a chunk from a peer, verify it and put it into the engine's staging.

    :param deadline_s: how long the peer may take.
    """

    fetch_id: int
    chunk_hash: data.ChunkHash
    address: data.Address
    size_bytes: int
    deadline_s: float


class FetchFromOrigin(data.Effect):
    """Fetch a chunk from the origin, verify it and stage it.

    :param path: the file in which the chunk stands; empty for the manifest itself.
    :param stall_s: how long the origin may send nothing.
    """

    fetch_id: int
    manifest_hash: data.ManifestHash
    chunk_hash: data.ChunkHash
    path: str
    offset_bytes: int
    size_bytes: int
    stall_s: float


class CancelFetch(data.Effect):
    """Give up a fetch; no event follows unless one was already under way."""

    fetch_id: int


class ListStaging(data.Effect):
    """Ask the engine which chunks its staging holds."""


class ReadManifest(data.Effect):
    """Read a manifest from the engine's staging."""

    manifest_hash: data.ManifestHash


class DeleteChunks(data.Effect):
    """Remove chunks from the engine's staging."""

    chunk_hashes: tuple[data.ChunkHash, ...]


class FetchEnded(data.Event):
    """A fetch ended.

    :param digest: the hash of the bytes that were staged.
    """

    fetch_id: int
    status: FetchStatus
    digest: data.ChunkHash = data.ChunkHash("")
    detail: str = ""


class StagingListed(data.Event):
    """The engine told what its staging holds; None when it did not answer."""

    chunk_hashes: tuple[data.ChunkHash, ...] | None


class ManifestRead(data.Event):
    """A manifest was read from staging; ``payload`` is None when it is not there."""

    manifest_hash: data.ManifestHash
    payload: bytes | None
