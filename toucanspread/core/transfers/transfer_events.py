"""Events and effects of transfers: chunk fetches and the engine's staging area."""

import enum

from toucanspread.core import data


class FetchStatus(enum.Enum):
    """The result of a fetch."""

    STAGED = "staged"  # verified, and stored in the engine's staging area
    CORRUPT = "corrupt"
    ABSENT = "absent"  # the peer does not hold the chunk
    BUSY = "busy"  # the peer's upload queue is full
    FAILED = "failed"
    STALLED = "stalled"  # no progress before the deadline
    STAGING_FAILED = "staging failed"


class FetchFromPeer(data.Effect):
    """Fetch a chunk from a peer, verify it and stage it at the engine.

    :param deadline_s: seconds that the peer may take.
    """

    fetch_id: int
    chunk_hash: data.ChunkHash
    address: data.Address
    size_bytes: int
    deadline_s: float


class FetchFromOrigin(data.Effect):
    """Fetch a chunk from the origin, verify it and stage it at the engine.

    :param path: the file that contains the chunk; empty for the manifest itself.
    :param stall_s: seconds without any data after which the fetch fails.
    """

    fetch_id: int
    manifest_hash: data.ManifestHash
    chunk_hash: data.ChunkHash
    path: str
    offset_bytes: int
    size_bytes: int
    stall_s: float


class CancelFetch(data.Effect):
    """Cancel a fetch; no event follows unless one was already queued."""

    fetch_id: int


class ListStaging(data.Effect):
    """List the chunks in the engine's staging area."""


class ReadManifest(data.Effect):
    """Read a manifest from the engine's staging area."""

    manifest_hash: data.ManifestHash


class DeleteChunks(data.Effect):
    """Delete chunks from the engine's staging area."""

    chunk_hashes: tuple[data.ChunkHash, ...]


class FetchEnded(data.Event):
    """A fetch ended.

    :param digest: hash of the staged bytes; empty when none were staged.
    """

    fetch_id: int
    status: FetchStatus
    digest: data.ChunkHash = data.ChunkHash("")
    detail: str = ""


class StagingListed(data.Event):
    """The engine's staging area was listed; None when the engine did not answer."""

    chunk_hashes: tuple[data.ChunkHash, ...] | None


class ManifestRead(data.Event):
    """A manifest was read from staging; ``payload`` is None when it is missing."""

    manifest_hash: data.ManifestHash
    payload: bytes | None
