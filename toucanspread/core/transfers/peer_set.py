"""The peers of an endpoint process in one transfer, and the pieces that they hold.

The pieces that a peer holds are a bitmap in an integer: bit ``i`` is piece ``i`` of the
manifest.
"""

from collections.abc import Iterator

from toucanspread.core import data

MAX_PEERS = 28
TARGET_PEER_COUNT = 12  # added by this process; about as many others add it
MAX_CORRUPT_CHUNKS = 3  # from one peer, which is then banned
MAX_CONSECUTIVE_FAILURES = 3  # of one peer, which is then dropped
FAILURE_BACKOFF_S = 0.5
INITIAL_BUSY_BACKOFF_S = 0.2
MAX_BUSY_BACKOFF_S = 2.0
MAX_REQUESTS_PER_PEER = 2
SMOOTHING_FACTOR = 0.2
SLOW_PEER_FACTOR = 4.0  # times the median response time


class Holding(data.Message):
    """All pieces of a version that the sender holds.

    :param bitmap: little-endian, one bit for each piece.
    :param hello: whether the receiver should answer with its own holding.
    """

    manifest_hash: data.ManifestHash
    has_manifest: bool
    bitmap: bytes = b""
    hello: bool = False


class PiecesAdded(data.Message):
    """Numbers of the pieces that the sender has staged since its last message."""

    manifest_hash: data.ManifestHash
    pieces: tuple[int, ...]


class Peer:
    """Another endpoint process that fetches or holds the same version.

    :ivar held_pieces: bitmap of the pieces that the peer holds.
    :ivar in_flight_count: number of requests to the peer in flight.
    :ivar has_answered: whether the peer has sent any message in this transfer.
    :ivar last_progress_s: when the peer last reported a new piece.
    :ivar response_time_s: smoothed response time; 0 before the first response.
    """

    def __init__(self, identity: data.Identity, now_s: float):
        self.identity = identity
        self.held_pieces = 0
        self.has_manifest = False
        self.in_flight_count = 0
        self.corrupt_chunk_count = 0
        self.consecutive_failures = 0
        self.backoff_until_s = 0.0
        self.last_contact_s = now_s
        self.has_answered = False
        self.last_progress_s = now_s
        self.response_time_s = 0.0

    def record_contact(self, now_s: float) -> None:
        """Record that a message came from the peer."""
        self.last_contact_s = now_s
        self.has_answered = True

    def is_available(self, now_s: float) -> bool:
        """Return whether another request may be sent to the peer."""
        if (
            self.corrupt_chunk_count >= MAX_CORRUPT_CHUNKS
            or now_s < self.backoff_until_s
        ):
            return False
        return self.in_flight_count < MAX_REQUESTS_PER_PEER

    def record_success(self, took_s: float) -> None:
        """Record a response whose content was complete and verified."""
        self.consecutive_failures = 0
        if not self.response_time_s:
            self.response_time_s = took_s
        self.response_time_s += SMOOTHING_FACTOR * (took_s - self.response_time_s)

    def record_busy(self, now_s: float, jitter: float) -> None:
        """Send a busy peer no requests for about half its response time.

        :param jitter: random factor from 0 to 1 that spreads the retries.
        """
        backoff_s = self.response_time_s / 2 or INITIAL_BUSY_BACKOFF_S
        self.backoff_until_s = now_s + min(backoff_s, MAX_BUSY_BACKOFF_S) * (
            0.5 + jitter
        )

    def record_failure(self, now_s: float) -> None:
        """Send the peer no requests for a time that doubles with each failure."""
        self.consecutive_failures += 1
        self.backoff_until_s = now_s + FAILURE_BACKOFF_S * 2**self.consecutive_failures


class PeerSet:
    """The bounded set of peers, and how many of them hold each piece.

    :ivar local_holder_counts: for each piece, how many peers of this process's region
        hold it; empty until the manifest is known.
    :ivar banned_ids: instances that have sent too many corrupt chunks.
    :ivar preferred_ids: a few instances that are added even when the set is full.
    """

    def __init__(self, identity: data.Identity):
        self._own_identity = identity
        self.by_id: dict[data.InstanceId, Peer] = {}
        self.local_holder_counts: list[int] = []
        self.banned_ids: set[data.InstanceId] = set()
        self.preferred_ids: frozenset[data.InstanceId] = frozenset()

    def set_piece_count(self, piece_count: int) -> None:
        """Set the number of pieces, once the manifest is known."""
        self.local_holder_counts = [0] * piece_count
        for peer in self.by_id.values():
            peer.held_pieces &= (1 << piece_count) - 1
            self._adjust_holder_counts(peer, peer.held_pieces, 1)

    def get_or_add(self, identity: data.Identity, now_s: float) -> Peer | None:
        """Return the known or a new peer; None if it is banned or the set is full."""
        instance_id = identity.instance_id
        known_peer = self.by_id.get(instance_id)
        if (
            known_peer is not None
            and known_peer.identity.incarnation == identity.incarnation
        ):
            return known_peer
        if (
            instance_id == self._own_identity.instance_id
            or instance_id in self.banned_ids
        ):
            return None
        if known_peer is not None:
            self.remove(instance_id)
        if len(self.by_id) >= MAX_PEERS and instance_id not in self.preferred_ids:
            return None
        peer = self.by_id[instance_id] = Peer(identity, now_s)
        return peer

    def has_enough(self) -> bool:
        """Return whether there are as many peers as wanted."""
        return len(self.by_id) >= TARGET_PEER_COUNT

    def remove(self, instance_id: data.InstanceId) -> None:
        """Remove a peer, and ban it if it has sent too many corrupt chunks."""
        peer = self.by_id.pop(instance_id, None)
        if peer is None:
            return
        if peer.corrupt_chunk_count >= MAX_CORRUPT_CHUNKS:
            self.banned_ids.add(instance_id)
        self._adjust_holder_counts(peer, peer.held_pieces, -1)

    def update_held_pieces(self, peer: Peer, held_pieces: int, now_s: float) -> None:
        """Replace the bitmap of the pieces that a peer holds."""
        if self.local_holder_counts:
            held_pieces &= (1 << len(self.local_holder_counts)) - 1
        if held_pieces & ~peer.held_pieces:
            peer.last_progress_s = now_s
        self._adjust_holder_counts(peer, held_pieces & ~peer.held_pieces, 1)
        self._adjust_holder_counts(peer, peer.held_pieces & ~held_pieces, -1)
        peer.held_pieces = held_pieces

    def add_held_pieces(
        self, peer: Peer, piece_numbers: tuple[int, ...], now_s: float
    ) -> None:
        """Add pieces to those that a peer holds; numbers out of range are ignored."""
        added = 0
        for piece_number in piece_numbers:
            if 0 <= piece_number < (len(self.local_holder_counts) or 1 << 20):
                added |= 1 << piece_number
        self.update_held_pieces(peer, peer.held_pieces | added, now_s)

    def mark_piece_absent(self, peer: Peer, piece_number: int) -> None:
        """Record that a peer does not hold a piece that it has reported."""
        if peer.held_pieces >> piece_number & 1:
            peer.held_pieces &= ~(1 << piece_number)
            self._adjust_holder_counts(peer, 1 << piece_number, -1)

    def is_same_region(self, peer: Peer) -> bool:
        """Return whether a peer is in the region of this process."""
        return peer.identity.region == self._own_identity.region

    def compute_distance(self, peer: Peer) -> int:
        """Return 0 for a peer of the same zone, 1 of the same region, 2 of another."""
        if peer.identity.region != self._own_identity.region:
            return 2
        return int(peer.identity.zone != self._own_identity.zone)

    def compute_slow_threshold_s(self) -> float:
        """Return the response time above which a peer counts as slow."""
        times = sorted(
            peer.response_time_s for peer in self.by_id.values() if peer.response_time_s
        )
        if not times:
            return float("inf")
        return SLOW_PEER_FACTOR * times[len(times) // 2]

    def _adjust_holder_counts(self, peer: Peer, bits: int, change: int) -> None:
        if not self.local_holder_counts or not self.is_same_region(peer):
            return
        for piece_number in iterate_set_bits(bits):
            self.local_holder_counts[piece_number] += change


def iterate_set_bits(bits: int) -> Iterator[int]:
    """Yield the numbers of the bits that are set."""
    while bits:
        low = bits & -bits
        yield low.bit_length() - 1
        bits ^= low


def encode_bitmap(bits: int) -> bytes:
    """Return the bytes of a bitmap."""
    return bits.to_bytes(-(-bits.bit_length() // 8), "little")


def decode_bitmap(bitmap: bytes) -> int:
    """Return the integer of a bitmap."""
    return int.from_bytes(bitmap, "little")
