"""The state of the transfer part of an endpoint process."""

from toucanspread.core import data
from toucanspread.core.transfers import manifest, peer_set, throttle

MANIFEST_NUMBER = -1
NO_REGION = data.RegionName("")


class Fetch:
    """One request for a piece that is under way.

    :param source: the neighbour asked, or None for the origin.
    """

    def __init__(
        self,
        fetch_id: int,
        piece_number: int,
        chunk_hash: data.ChunkHash,
        size_bytes: int,
        peer: peer_set.Peer | None,
        now_s: float,
    ):
        self.fetch_id = fetch_id
        self.piece_number = piece_number
        self.chunk_hash = chunk_hash
        self.size_bytes = size_bytes
        self.peer = peer
        self.started_s = now_s


class OriginUsage:
    """What one transfer knows of the origin and takes from it.

    :ivar owned: the pieces that this process is the one to bring into its region.
    :ivar order_key: for what seeds and stuck seeds ``owned`` was worked out.
    """

    def __init__(self):
        self.owned_pieces = 0
        self.ownership_key: tuple = ()
        self.seed_rankings: list[list[data.InstanceId]] = []
        self.ranked_seeds: tuple[data.InstanceId, ...] = ()
        self.first_copy_bytes = 0
        self.extra_copy_bytes = 0
        self.consecutive_failures = 0
        self.backoff_until_s = 0.0
        self.response_time_s = 0.0
        self.corrupt_counts: dict[int, int] = {}


class Transfer:
    """The making whole of one version, and its offering to others afterwards.

    :ivar have: a bitmap of the pieces that are verified and staged.
    :ivar todo: the pieces neither held nor requested, in an order of the process's own.
    :ivar fetches: the requests under way, by id.
    """

    def __init__(self, identity: data.Identity, now_s: float, **target):
        self.model: data.ModelName = target["model"]
        self.version: data.VersionName = target["version"]
        self.manifest_hash: data.ManifestHash = target["manifest_hash"]
        self.origin_weight: float = target["origin_weight"]
        self.started_s = now_s
        self.last_progress_s = now_s
        self.has_manifest = False
        self.is_reading_manifest = False
        self.weights_hash = ""
        self.pieces: tuple[manifest.Piece, ...] = ()
        self.piece_numbers: dict[data.ChunkHash, int] = {}
        self.total_bytes = 0
        self.staged_pieces = 0
        self.staged_count = 0
        self.pending_pieces: list[int] = []
        self.fetches: dict[int, Fetch] = {}
        self.request_counts: dict[int, int] = {}
        self.peers = peer_set.PeerSet(identity)
        self.seeds: tuple[data.Identity, ...] = ()
        self.seeds_changed_s = now_s
        self.follower_count = 1
        self.origin_usage = OriginUsage()
        self.unannounced: list[int] = []
        self.announce_due_s = 0.0
        self.is_whole = False
        self.confirming = False
        self.is_failure_reported = False
        self.next_tracker_request_s = now_s
        self.tracker_interval_s = 0.0
        self.next_audit_s = now_s
        self.tracker_index = 0
        self.has_tracker_answered = True

    def in_flight_bytes(self) -> int:
        """Return the bytes of all requests under way."""
        return sum(fetch.size_bytes for fetch in self.fetches.values())

    def is_active(self) -> bool:
        """Return whether pieces are moved to this process or may be from it."""
        if not self.is_whole:
            return True
        all_pieces = (1 << len(self.pieces)) - 1
        return any(peer.held_pieces != all_pieces for peer in self.peers.by_id.values())

    def apply_manifest(self, described: manifest.Manifest) -> None:
        """Take in the manifest."""
        self.has_manifest = True
        self.weights_hash = described.weights_hash
        self.pieces = manifest.list_pieces(described)
        self.piece_numbers = {
            piece.chunk_hash: number for number, piece in enumerate(self.pieces)
        }
        self.total_bytes = sum(piece.size_bytes for piece in self.pieces)
        self.peers.set_piece_count(len(self.pieces))

    def mark_staged(self, piece_number: int) -> None:
        """Note that a piece is held."""
        self.staged_pieces |= 1 << piece_number
        self.staged_count += 1


class State:
    """The transfer of an endpoint process.

    :param origin_region: the region in which the origin stands; empty when every
        region is as near to it.
    :ivar held: the chunks and manifests that are verified and staged at the engine.
    """

    def __init__(self, origin_region: data.RegionName = NO_REGION):
        self.origin_region = origin_region
        self.held_hashes: set[data.ChunkHash] = set()
        self.current: Transfer | None = None
        self.serving_hashes: frozenset[data.ChunkHash] = frozenset()
        self.throttle = throttle.Throttle()
        self.next_fetch_id = 0
        self.is_listing_staging = False
        self.next_listing_s = 0.0
        self.next_maintenance_s = 0.0

    @property
    def target_version(self) -> data.VersionName:
        """Return the version being moved, if any."""
        if self.current is None or self.current.is_whole:
            return data.VersionName("")
        return self.current.version

    @property
    def staged_chunks(self) -> int:
        """Return how many chunks of the target are held."""
        return self.current.staged_count if self.current else 0

    @property
    def target_chunks(self) -> int:
        """Return how many chunks the target has."""
        return len(self.current.pieces) if self.current else 0
