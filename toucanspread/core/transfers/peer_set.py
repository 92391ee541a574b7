"""What an endpoint process knows of its neighbours in one transfer.

Holdings are bitmaps kept as integers: bit ``i`` stands for piece ``i`` of the manifest.
"""

from collections.abc import Iterator

from toucanspread.core import data

MAX_PEERS = 28
TARGET_PEER_COUNT = 12  # asked for; about as many ask in turn
MAX_CORRUPT_CHUNKS = 3
MAX_CONSECUTIVE_FAILURES = 3  # in a row, then the neighbour is forgotten
FAILURE_BACKOFF_S = 0.5
INITIAL_BUSY_BACKOFF_S = 0.2
MAX_BUSY_BACKOFF_S = 2.0
MAX_REQUESTS_PER_PEER = 2
SMOOTHING_FACTOR = 0.2
SLOW_PEER_FACTOR = 4.0


class Holding(data.Message):
    """All that the sender holds of a version.

    :param bitmap: little-endian, one bit for each piece.
    :param hello: whether an answer is wanted.
    """

    manifest_hash: data.ManifestHash
    has_manifest: bool
    bitmap: bytes = b""
    hello: bool = False


class PiecesAdded(data.Message):
    """Pieces that the sender holds since it last told."""

    manifest_hash: data.ManifestHash
    pieces: tuple[int, ...]


class Peer:
    """Another endpoint process of the same transfer.

    :ivar progressed_s: when it last told of a new piece.
    :ivar service_s: a smoothed time of its answers; 0 when none came yet.
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
        """Note a message."""
        self.last_contact_s = now_s
        self.has_answered = True

    def is_available(self, now_s: float) -> bool:
        """Return whether another request may be sent."""
        if (
            self.corrupt_chunk_count >= MAX_CORRUPT_CHUNKS
            or now_s < self.backoff_until_s
        ):
            return False
        return self.in_flight_count < MAX_REQUESTS_PER_PEER

    def record_success(self, took_s: float) -> None:
        """Note an answer that was whole and right."""
        self.consecutive_failures = 0
        if not self.response_time_s:
            self.response_time_s = took_s
        self.response_time_s += SMOOTHING_FACTOR * (took_s - self.response_time_s)

    def record_busy(self, now_s: float, jitter: float) -> None:
        """Leave a busy neighbour alone for about the time of one answer."""
        backoff_s = self.response_time_s / 2 or INITIAL_BUSY_BACKOFF_S
        self.backoff_until_s = now_s + min(backoff_s, MAX_BUSY_BACKOFF_S) * (
            0.5 + jitter
        )

    def record_failure(self, now_s: float) -> None:
        """Leave the neighbour alone for a while, longer each time."""
        self.consecutive_failures += 1
        self.backoff_until_s = now_s + FAILURE_BACKOFF_S * 2**self.consecutive_failures


class PeerSet:
    """The bounded set of neighbours and the availability of pieces among them.

    :ivar counts: per piece, how many neighbours of the own region hold it.
    :ivar favoured: instances for which there is always room, a few.
    """

    def __init__(self, identity: data.Identity):
        self._own_identity = identity
        self.by_id: dict[data.InstanceId, Peer] = {}
        self.local_holder_counts: list[int] = []
        self.banned_ids: set[data.InstanceId] = set()
        self.preferred_ids: frozenset[data.InstanceId] = frozenset()

    def set_piece_count(self, piece_count: int) -> None:
        """Say how many pieces there are, once the manifest is known."""
        self.local_holder_counts = [0] * piece_count
        for peer in self.by_id.values():
            peer.held_pieces &= (1 << piece_count) - 1
            self._adjust_holder_counts(peer, peer.held_pieces, 1)

    def get_or_add(self, identity: data.Identity, now_s: float) -> Peer | None:
        """Return the neighbour, a new one if there is room and it may be used."""
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
        """Return whether no more neighbours have to be asked for."""
        return len(self.by_id) >= TARGET_PEER_COUNT

    def remove(self, instance_id: data.InstanceId) -> None:
        """Forget a neighbour."""
        peer = self.by_id.pop(instance_id, None)
        if peer is None:
            return
        if peer.corrupt_chunk_count >= MAX_CORRUPT_CHUNKS:
            self.banned_ids.add(instance_id)
        self._adjust_holder_counts(peer, peer.held_pieces, -1)

    def update_held_pieces(self, peer: Peer, held_pieces: int, now_s: float) -> None:
        """Take in a whole bitmap."""
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
        """Take in an increment."""
        added = 0
        for piece_number in piece_numbers:
            if 0 <= piece_number < (len(self.local_holder_counts) or 1 << 20):
                added |= 1 << piece_number
        self.update_held_pieces(peer, peer.held_pieces | added, now_s)

    def mark_piece_absent(self, peer: Peer, piece_number: int) -> None:
        """Note that a neighbour does not hold a piece after all."""
        if peer.held_pieces >> piece_number & 1:
            peer.held_pieces &= ~(1 << piece_number)
            self._adjust_holder_counts(peer, 1 << piece_number, -1)

    def is_same_region(self, peer: Peer) -> bool:
        """Return whether a neighbour stands in the own region."""
        return peer.identity.region == self._own_identity.region

    def compute_distance(self, peer: Peer) -> int:
        """Return 0 for the own zone, 1 for the own region, 2 across regions."""
        if peer.identity.region != self._own_identity.region:
            return 2
        return int(peer.identity.zone != self._own_identity.zone)

    def compute_slow_threshold_s(self) -> float:
        """Return the answer time above which a neighbour counts as slow."""
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
    """Return a bitmap as bytes."""
    return bits.to_bytes(-(-bits.bit_length() // 8), "little")


def decode_bitmap(bitmap: bytes) -> int:
    """Return a bitmap as an integer."""
    return int.from_bytes(bitmap, "little")
