"""The state of the transfer part of an endpoint process."""

from toucanspread.core import data
from toucanspread.core.transfers import manifest, peer_set, throttle

MANIFEST_PIECE = -1
NO_REGION = data.RegionName("")


class Fetch:
    """One request for a piece that is under way.

    :param source: the neighbour asked, or None for the origin.
    """

    def __init__(
        self,
        fetch_id: int,
        piece: int,
        chunk_hash: data.ChunkHash,
        size_bytes: int,
        source: peer_set.Peer | None,
        now_s: float,
    ):
        self.fetch_id = fetch_id
        self.piece = piece
        self.chunk_hash = chunk_hash
        self.size_bytes = size_bytes
        self.source = source
        self.started_s = now_s


class OriginUse:
    """What one transfer knows of the origin and takes from it.

    :ivar owned: the pieces that this process is the one to bring into its region.
    :ivar order_key: for what seeds and stuck seeds ``owned`` was worked out.
    """

    def __init__(self):
        self.owned = 0
        self.order_key: tuple = ()
        self.rankings: list[list[data.InstanceId]] = []
        self.ranked_seeds: tuple[data.InstanceId, ...] = ()
        self.used_bytes = 0
        self.spare_bytes = 0
        self.failures = 0
        self.blocked_until_s = 0.0
        self.service_s = 0.0
        self.corrupt: dict[int, int] = {}


class Transfer:
    """The making whole of one version, and its offering to others afterwards.

    :ivar have: a bitmap of the pieces that are verified and staged.
    :ivar todo: the pieces neither held nor requested, in an order of the process's own.
    :ivar fetches: the requests under way, by id.
    """

    def __init__(self, identity: data.Identity, now_s: float, **wanted):
        self.model: data.ModelName = wanted["model"]
        self.version: data.VersionName = wanted["version"]
        self.manifest_hash: data.ManifestHash = wanted["manifest_hash"]
        self.origin_weight: float = wanted["origin_weight"]
        self.started_s = now_s
        self.progressed_s = now_s
        self.has_manifest = False
        self.reading_manifest = False
        self.weights_hash = ""
        self.pieces: tuple[manifest.Piece, ...] = ()
        self.piece_numbers: dict[data.ChunkHash, int] = {}
        self.total_bytes = 0
        self.have = 0
        self.staged_count = 0
        self.pending_pieces: list[int] = []
        self.fetches: dict[int, Fetch] = {}
        self.requested: dict[int, int] = {}
        self.peers = peer_set.PeerSet(identity)
        self.seeds: tuple[data.Identity, ...] = ()
        self.seeds_changed_s = now_s
        self.followers = 1
        self.origin = OriginUse()
        self.unannounced: list[int] = []
        self.announce_due_s = 0.0
        self.whole = False
        self.confirming = False
        self.failed = False
        self.next_ask_s = now_s
        self.ask_interval_s = 0.0
        self.next_audit_s = now_s
        self.asked_tracker = 0
        self.offered = True

    def in_flight_bytes(self) -> int:
        """Return the bytes of all requests under way."""
        return sum(fetch.size_bytes for fetch in self.fetches.values())

    def is_moving(self) -> bool:
        """Return whether pieces are moved to this process or may be from it."""
        if not self.whole:
            return True
        everything = (1 << len(self.pieces)) - 1
        return any(
            neighbour.has != everything for neighbour in self.peers.by_id.values()
        )

    def apply_manifest(self, described: manifest.Manifest) -> None:
        """Take in the manifest."""
        self.has_manifest = True
        self.weights_hash = described.weights_hash
        self.pieces = manifest.list_pieces(described)
        self.piece_numbers = {
            piece.chunk_hash: number for number, piece in enumerate(self.pieces)
        }
        self.total_bytes = sum(piece.size_bytes for piece in self.pieces)
        self.peers.set_pieces(len(self.pieces))

    def add(self, number: int) -> None:
        """Note that a piece is held."""
        self.have |= 1 << number
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
        self.listing = False
        self.next_list_s = 0.0
        self.next_housekeeping_s = 0.0

    @property
    def target_version(self) -> data.VersionName:
        """Return the version being moved, if any."""
        if self.current is None or self.current.whole:
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
