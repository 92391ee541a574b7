"""What an endpoint process knows of its neighbours in one transfer.

Holdings are bitmaps kept as integers: bit ``i`` stands for piece ``i`` of the manifest.
"""

from collections.abc import Iterator

from toucanspread.core import data

MAX_PEERS = 28
WANTED_NEIGHBOURS = 12  # asked for; about as many ask in turn
MAX_STRIKES = 3
MAX_FAILURES = 3  # in a row, then the neighbour is forgotten
BACKOFF_S = 0.5
FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 2.0
REQUESTS_PER_NEIGHBOUR = 2
SMOOTHING = 0.2
SLOW_FACTOR = 4.0


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
        self.has = 0
        self.has_manifest = False
        self.in_flight = 0
        self.strikes = 0
        self.failures = 0
        self.blocked_until_s = 0.0
        self.heard_s = now_s
        self.answered = False
        self.progressed_s = now_s
        self.service_s = 0.0

    def hear(self, now_s: float) -> None:
        """Note a message."""
        self.heard_s = now_s
        self.answered = True

    def usable(self, now_s: float) -> bool:
        """Return whether another request may be sent."""
        if self.strikes >= MAX_STRIKES or now_s < self.blocked_until_s:
            return False
        return self.in_flight < REQUESTS_PER_NEIGHBOUR

    def served(self, took_s: float) -> None:
        """Note an answer that was whole and right."""
        self.failures = 0
        if not self.service_s:
            self.service_s = took_s
        self.service_s += SMOOTHING * (took_s - self.service_s)

    def refused(self, now_s: float, chance: float) -> None:
        """Leave a busy neighbour alone for about the time of one answer."""
        pause_s = self.service_s / 2 or FIRST_PAUSE_S
        self.blocked_until_s = now_s + min(pause_s, MAX_PAUSE_S) * (0.5 + chance)

    def failed(self, now_s: float) -> None:
        """Leave the neighbour alone for a while, longer each time."""
        self.failures += 1
        self.blocked_until_s = now_s + BACKOFF_S * 2**self.failures


class PeerSet:
    """The bounded set of neighbours and the availability of pieces among them.

    :ivar counts: per piece, how many neighbours of the own region hold it.
    :ivar favoured: instances for which there is always room, a few.
    """

    def __init__(self, identity: data.Identity):
        self._own = identity
        self.by_id: dict[data.InstanceId, Peer] = {}
        self.counts: list[int] = []
        self.struck_out: set[data.InstanceId] = set()
        self.favoured: frozenset[data.InstanceId] = frozenset()

    def set_pieces(self, number: int) -> None:
        """Say how many pieces there are, once the manifest is known."""
        self.counts = [0] * number
        for neighbour in self.by_id.values():
            neighbour.has &= (1 << number) - 1
            self._add_counts(neighbour, neighbour.has, 1)

    def get_or_add(self, identity: data.Identity, now_s: float) -> Peer | None:
        """Return the neighbour, a new one if there is room and it may be used."""
        instance_id = identity.instance_id
        known = self.by_id.get(instance_id)
        if known is not None and known.identity.incarnation == identity.incarnation:
            return known
        if instance_id == self._own.instance_id or instance_id in self.struck_out:
            return None
        if known is not None:
            self.remove(instance_id)
        if len(self.by_id) >= MAX_PEERS and instance_id not in self.favoured:
            return None
        neighbour = self.by_id[instance_id] = Peer(identity, now_s)
        return neighbour

    def enough(self) -> bool:
        """Return whether no more neighbours have to be asked for."""
        return len(self.by_id) >= WANTED_NEIGHBOURS

    def remove(self, instance_id: data.InstanceId) -> None:
        """Forget a neighbour."""
        neighbour = self.by_id.pop(instance_id, None)
        if neighbour is None:
            return
        if neighbour.strikes >= MAX_STRIKES:
            self.struck_out.add(instance_id)
        self._add_counts(neighbour, neighbour.has, -1)

    def update_held_pieces(self, neighbour: Peer, has: int, now_s: float) -> None:
        """Take in a whole bitmap."""
        if self.counts:
            has &= (1 << len(self.counts)) - 1
        if has & ~neighbour.has:
            neighbour.progressed_s = now_s
        self._add_counts(neighbour, has & ~neighbour.has, 1)
        self._add_counts(neighbour, neighbour.has & ~has, -1)
        neighbour.has = has

    def add_pieces(
        self, neighbour: Peer, pieces: tuple[int, ...], now_s: float
    ) -> None:
        """Take in an increment."""
        added = 0
        for piece in pieces:
            if 0 <= piece < (len(self.counts) or 1 << 20):
                added |= 1 << piece
        self.update_held_pieces(neighbour, neighbour.has | added, now_s)

    def lacks(self, neighbour: Peer, piece: int) -> None:
        """Note that a neighbour does not hold a piece after all."""
        if neighbour.has >> piece & 1:
            neighbour.has &= ~(1 << piece)
            self._add_counts(neighbour, 1 << piece, -1)

    def is_local(self, neighbour: Peer) -> bool:
        """Return whether a neighbour stands in the own region."""
        return neighbour.identity.region == self._own.region

    def distance(self, neighbour: Peer) -> int:
        """Return 0 for the own zone, 1 for the own region, 2 across regions."""
        if neighbour.identity.region != self._own.region:
            return 2
        return int(neighbour.identity.zone != self._own.zone)

    def slow_limit_s(self) -> float:
        """Return the answer time above which a neighbour counts as slow."""
        times = sorted(
            neighbour.service_s
            for neighbour in self.by_id.values()
            if neighbour.service_s
        )
        if not times:
            return float("inf")
        return SLOW_FACTOR * times[len(times) // 2]

    def _add_counts(self, neighbour: Peer, bits: int, amount: int) -> None:
        if not self.counts or not self.is_local(neighbour):
            return
        for piece in bit_numbers(bits):
            self.counts[piece] += amount


def bit_numbers(bits: int) -> Iterator[int]:
    """Yield the numbers of the bits that are set."""
    while bits:
        low = bits & -bits
        yield low.bit_length() - 1
        bits ^= low


def to_bitmap(bits: int) -> bytes:
    """Return a bitmap as bytes."""
    return bits.to_bytes(-(-bits.bit_length() // 8), "little")


def from_bitmap(bitmap: bytes) -> int:
    """Return a bitmap as an integer."""
    return int.from_bytes(bitmap, "little")
