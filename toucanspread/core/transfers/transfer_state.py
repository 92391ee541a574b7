"""State of the transfers of an endpoint process."""

from toucanspread.core import data
from toucanspread.core.transfers import manifest, peer_set, throttle

MANIFEST_NUMBER = -1  # the piece number under which the manifest is requested
NO_REGION = data.RegionName("")


class Fetch:
    """A request in flight for a piece or the manifest.

    :param piece_number: number of the piece, or ``MANIFEST_NUMBER``.
    :param peer: the peer that is asked, or None for the origin.
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
    """What one transfer fetches from the origin, and how the origin responds.

    :ivar owned_pieces: bitmap of the pieces that this process, as their seed, brings
        into its region.
    :ivar ownership_key: the local seeds, the stalled ones among them and the number of
        pieces from which ``owned_pieces`` was computed.
    :ivar seed_rankings: for each piece the local seeds, the first owner first.
    :ivar ranked_seeds: the local seeds from which ``seed_rankings`` was computed.
    :ivar owned_piece_bytes: bytes requested from the origin for owned pieces.
    :ivar extra_copy_bytes: bytes requested from the origin only to save time.
    :ivar response_time_s: smoothed response time; 0 before the first response.
    :ivar corrupt_counts: number of corrupt responses for each piece number.
    """

    def __init__(self):
        self.owned_pieces = 0
        self.ownership_key: tuple = ()
        self.seed_rankings: list[list[data.InstanceId]] = []
        self.ranked_seeds: tuple[data.InstanceId, ...] = ()
        self.owned_piece_bytes = 0
        self.extra_copy_bytes = 0
        self.consecutive_failures = 0
        self.backoff_until_s = 0.0
        self.response_time_s = 0.0
        self.corrupt_counts: dict[int, int] = {}


class Transfer:
    """The transfer of one version to this process, and from it to peers.

    :param target: ``model``, ``version``, ``manifest_hash`` and ``origin_weight`` of
        the version.
    :ivar piece_numbers: the number of the piece with each chunk hash.
    :ivar staged_pieces: bitmap of the pieces that are verified and staged.
    :ivar pending_pieces: numbers of the pieces that are neither staged nor requested,
        in a random order that differs between processes.
    :ivar fetches: the requests in flight, by id.
    :ivar request_counts: the number of requests in flight for each piece number.
    :ivar seeds: per region the processes that fetch from the origin or another region.
    :ivar follower_count: number of processes that fetch or hold the version.
    :ivar unannounced: numbers of the staged pieces that are not announced yet.
    :ivar is_whole: whether all chunks and the manifest are staged and verified.
    :ivar tracker_index: which of the manifest's tracking entries to ask.
    :ivar has_tracker_answered: whether the entry that was asked last has answered.
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
        self.is_failure_reported = False
        self.next_tracker_request_s = now_s
        self.tracker_interval_s = 0.0
        self.next_audit_s = now_s
        self.tracker_index = 0
        self.has_tracker_answered = True

    def compute_in_flight_bytes(self) -> int:
        """Return the bytes of all requests in flight."""
        return sum(fetch.size_bytes for fetch in self.fetches.values())

    def is_active(self) -> bool:
        """Return whether this process lacks pieces, or a peer may fetch some here."""
        if not self.is_whole:
            return True
        all_pieces = (1 << len(self.pieces)) - 1
        return any(peer.held_pieces != all_pieces for peer in self.peers.by_id.values())

    def apply_manifest(self, described: manifest.Manifest) -> None:
        """Number the pieces of the manifest, and count the peers that hold each."""
        self.has_manifest = True
        self.weights_hash = described.weights_hash
        self.pieces = manifest.list_pieces(described)
        self.piece_numbers = {
            piece.chunk_hash: number for number, piece in enumerate(self.pieces)
        }
        self.total_bytes = sum(piece.size_bytes for piece in self.pieces)
        self.peers.set_piece_count(len(self.pieces))

    def mark_staged(self, piece_number: int) -> None:
        """Record that a piece is verified and staged."""
        self.staged_pieces |= 1 << piece_number
        self.staged_count += 1


class State:
    """The transfer state of an endpoint process.

    :param origin_region: the region of the origin; empty when all regions are equally
        close to it.
    :ivar held_hashes: hashes of the chunks and manifests that are verified and staged
        at the engine.
    :ivar current: the transfer of the target version, also once it is complete.
    :ivar serving_hashes: hashes of the chunks and the manifest of the version served.
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
        """Return the version that is being transferred, or an empty name."""
        if self.current is None or self.current.is_whole:
            return data.VersionName("")
        return self.current.version

    @property
    def staged_chunks(self) -> int:
        """Return how many distinct chunks of the target version are staged."""
        return self.current.staged_count if self.current else 0

    @property
    def target_chunks(self) -> int:
        """Return how many distinct chunks the target version has."""
        return len(self.current.pieces) if self.current else 0
