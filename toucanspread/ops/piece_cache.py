"""The pieces of weights that an entry holds in memory, and how it gets them.

Several processes that want the same piece wait for one transfer. Every piece is
compared with the manifest's digest before it is kept or handed on.
"""

import abc
import asyncio
import hashlib
from collections.abc import Callable

import msgspec

from toucanspread.core import data
from toucanspread.core.entry import entry_directory
from toucanspread.core.weights import piece_placement
from toucanspread.ops import http1, http1_pool, logs, loop, metric_buffer

PIECE_TARGET = "/piece"
MANIFEST_TARGET = "/manifest"
PEER_TIMEOUT_S = 3.0  # an owner may still be waiting for the origin's narrow link
MAX_VERSION_COUNT = 2  # the one in use and the one before it
ORIGIN_ATTEMPT_COUNT = 3
ORIGIN_RETRY_DELAY_S = 0.2
MEMBERSHIP_SETTLE_S = 2.0  # an entry that is restarted is back before
FETCH_RETRY_DELAY_S = 1.0  # the origin may start after this process or be down


class PieceError(Exception):
    """A piece or a manifest could not be had."""


class UnreachableError(PieceError):
    """A process could not be reached, or did not answer."""


class PieceOrigin(abc.ABC):
    """Where weights come from first."""

    @abc.abstractmethod
    async def read_digests(self, model: str, version: int) -> tuple[str, ...]:
        """Return the hex digests of a version's pieces, in order.

        :raises PieceError: when there are none to be had.
        """

    @abc.abstractmethod
    async def read_piece(self, key: piece_placement.PieceKey) -> bytes:
        """Return a piece, not checked.

        :raises PieceError: when it cannot be had.
        """


class PieceCache:
    """What this entry holds.

    :param entries: returns the entries that are there, this one among them.
    :param home: returns the origin's region; empty while it is not known.
    :param piece_s: returns what the origin's link needs for a piece of a model.
    """

    def __init__(
        self,
        name: str,
        pool: http1_pool.ConnectionPool,
        origin: PieceOrigin,
        entries: Callable[[], list[entry_directory.EntryRecord]],
        origin_region: Callable[[], str] = str,
        piece_transfer_s: Callable[[data.ModelName], float] = lambda model: 0.0,
    ):
        self._name = name
        self._home = origin_region
        self._piece_s = piece_transfer_s
        self._pool = pool
        self._origin = origin
        self._entries = entries
        self._pieces: dict[piece_placement.PieceKey, bytes] = {}
        self._digests: dict[piece_placement.PieceKey, tuple[str, ...]] = {}
        self._newest: dict[data.ModelName, int] = {}
        self._coming: dict[piece_placement.PieceKey, asyncio.Task] = {}
        self._wanted: set[piece_placement.PieceKey] = set()
        self._among: frozenset[str] = frozenset()
        self._among_since_s = 0.0
        self._kept_among: frozenset[str] = frozenset()

    async def get_digests(self, model: data.ModelName, version: int) -> tuple[str, ...]:
        """Return the digests of a version's pieces.

        :raises PieceError: when they cannot be had.
        """
        key = piece_placement.PieceKey(model, version, piece_placement.MANIFEST_NUMBER)
        if key not in self._digests:
            await self._once(key, self._load_digests)
        return self._digests[key]

    async def get_piece(self, key: piece_placement.PieceKey) -> bytes:
        """Return a checked piece.

        :raises PieceError: when it cannot be had.
        """
        if key not in self._pieces:
            await self._once(key, self._load_piece)
        return self._pieces[key]

    async def fetch_kept_pieces(
        self, model: data.ModelName, version: int, is_new_version: bool = True
    ) -> None:
        """Fetch the pieces of a version that this entry keeps.

        Those of a new version are kept in each region, where engines ask for them at
        once. Of one that engines may hold already, only the owners fetch pieces; they
        cross to other regions when they are asked for.

        The origin may go away soon after a version is named. All owners together
        keep its link just busy: if all pieces came at once, none would be whole
        before the last.
        """
        self._forget_before(model, version)
        await self._take_kept(model, version, is_new_version)

    def update_kept_pieces(self, now_s: float) -> None:
        """Fetch what this entry has to keep since others are gone.

        The origin may be away by the time that it is wanted.
        """
        among = frozenset(entry.name for entry in self._entries())
        if among != self._among:
            self._among = among
            self._among_since_s = now_s
        if (
            among == self._kept_among
            or now_s - self._among_since_s < MEMBERSHIP_SETTLE_S
        ):
            return
        self._kept_among = among
        for model, version in self._newest.items():
            loop.spawn(self._take_kept(model, version, in_each_region=False))

    async def _take_kept(
        self, model: data.ModelName, version: int, in_each_region: bool
    ) -> None:
        digests = await self._retried_digests(model, version)
        piece_s = self._piece_s(model)
        for number in range(len(digests)):
            key = piece_placement.PieceKey(model, version, number)
            if key in self._pieces or key in self._wanted:
                continue
            is_kept = self._upstream(key) is None
            if in_each_region:
                is_kept = piece_placement.is_kept_by(key, self._entries(), self._name)
            if is_kept:
                self._wanted.add(key)
                loop.spawn(self._take(key, number * piece_s))

    async def _take(self, key: piece_placement.PieceKey, after_s: float) -> None:
        await asyncio.sleep(after_s)
        while not self._is_superseded(key):
            try:
                await self.get_piece(key)
                break
            except PieceError as error:
                logs.write("piece_missing", piece=key.text, why=str(error))
            await asyncio.sleep(FETCH_RETRY_DELAY_S)
        self._wanted.discard(key)

    async def _retried_digests(
        self, model: data.ModelName, version: int
    ) -> tuple[str, ...]:
        """Return a version's digests once they can be had; none if a newer came."""
        key = piece_placement.PieceKey(model, version, piece_placement.MANIFEST_NUMBER)
        while not self._is_superseded(key):
            try:
                return await self.get_digests(model, version)
            except PieceError as error:
                logs.write("manifest_missing", piece=key.text, why=str(error))
            await asyncio.sleep(FETCH_RETRY_DELAY_S)
        return ()

    def _is_superseded(self, key: piece_placement.PieceKey) -> bool:
        return key.version < self._newest.get(key.model, 0)

    async def _once(self, key: piece_placement.PieceKey, load) -> None:
        task = self._coming.get(key)
        if task is None:
            task = asyncio.ensure_future(load(key))
            self._coming[key] = task
            task.add_done_callback(lambda _: self._coming.pop(key, None))
        await asyncio.shield(task)

    async def _load_digests(self, key: piece_placement.PieceKey) -> None:
        owner = self._upstream(key)
        found = ()
        if owner is not None:
            found = await self._digests_from([owner], key, held=False)
        if not found:
            found = await self._digests_from_origin(key)
        self._digests[key] = found

    def _upstream(
        self, key: piece_placement.PieceKey
    ) -> entry_directory.EntryRecord | None:
        return piece_placement.find_upstream(
            key, self._entries(), self._name, self._home()
        )

    async def _digests_from_origin(
        self, key: piece_placement.PieceKey
    ) -> tuple[str, ...]:
        try:
            return await self._origin.read_digests(key.model, key.version)
        except PieceError as error:
            logs.write("origin_failed", piece=key.text, why=str(error))
            spare = piece_placement.rank_fallback_holders(
                key, self._entries(), self._name
            )
            found = await self._digests_from(spare, key, held=True)
            if not found:
                raise
            return found

    async def _digests_from(
        self,
        entries: list[entry_directory.EntryRecord],
        key: piece_placement.PieceKey,
        held: bool,
    ) -> tuple[str, ...]:
        for entry in entries:
            try:
                return await fetch_digests(self._pool, entry.control, key, held)
            except PieceError as error:
                logs.write(
                    "owner_failed", piece=key.text, owner=entry.name, why=str(error)
                )
        return ()

    def peek_digests(self, key: piece_placement.PieceKey) -> tuple[str, ...] | None:
        """Return a version's digests if they are in memory now."""
        return self._digests.get(key)

    async def _load_piece(self, key: piece_placement.PieceKey) -> None:
        digests = await self.get_digests(key.model, key.version)
        digest = digests[key.number]
        owner = self._upstream(key)
        if owner is not None:
            try:
                piece = await fetch_piece(self._pool, owner.control, key)
                if has_digest(piece, digest):
                    self._pieces[key] = piece
                    return
                logs.write("piece_spoilt", piece=key.text, source=owner.name)
            except PieceError as error:
                logs.write(
                    "owner_failed", piece=key.text, owner=owner.name, why=str(error)
                )
        self._pieces[key] = await self._piece_from_origin(key, digest)

    async def _piece_from_origin(
        self, key: piece_placement.PieceKey, digest: str
    ) -> bytes:
        for attempt in range(ORIGIN_ATTEMPT_COUNT):
            if attempt:
                await asyncio.sleep(ORIGIN_RETRY_DELAY_S)
            metric_buffer.count("origin_reads")
            try:
                piece = await self._origin.read_piece(key)
            except PieceError as error:
                logs.write("origin_failed", piece=key.text, why=str(error))
            else:
                if has_digest(piece, digest):
                    return piece
                logs.write("piece_spoilt", piece=key.text, source="origin")
            held = await self._piece_held_elsewhere(key, digest)
            if held is not None:
                return held
        raise PieceError(f"{key.text}: the origin has not delivered it")

    async def _piece_held_elsewhere(
        self, key: piece_placement.PieceKey, digest: str
    ) -> bytes | None:
        """Return a piece that another entry happens to hold, or None."""
        for entry in piece_placement.rank_fallback_holders(
            key, self._entries(), self._name
        ):
            try:
                piece = await fetch_piece(self._pool, entry.control, key, held=True)
            except PieceError as error:
                logs.write("not_held", piece=key.text, at=entry.name, why=str(error))
                continue
            if has_digest(piece, digest):
                return piece
            logs.write("piece_spoilt", piece=key.text, source=entry.name)
        return None

    def peek_piece(self, key: piece_placement.PieceKey) -> bytes | None:
        """Return a piece if it is in memory now."""
        return self._pieces.get(key)

    def _forget_before(self, model: data.ModelName, version: int) -> None:
        self._newest[model] = max(version, self._newest.get(model, 0))
        oldest = version - MAX_VERSION_COUNT + 1
        for held in (self._pieces, self._digests):
            for key in list(held):
                if key.model == model and key.version < oldest:
                    del held[key]


def has_digest(piece: bytes, digest: str) -> bool:
    """Tell whether a piece has the digest of its manifest."""
    return hashlib.sha256(piece).hexdigest() == digest.lower()


async def fetch_piece(
    pool: http1_pool.ConnectionPool,
    address: str,
    key: piece_placement.PieceKey,
    held: bool = False,
) -> bytes:
    """Return a piece from another process, not checked.

    :param held: only if it is in that process's memory now.
    :raises PieceError: when it does not hand it on.
    """
    query = f"model={key.model}&version={key.version}&number={key.number}"
    query += f"&held={held:d}"
    return (await _fetch(pool, address, f"{PIECE_TARGET}?{query}")).body


async def fetch_digests(
    pool: http1_pool.ConnectionPool,
    address: str,
    key: piece_placement.PieceKey,
    held: bool = False,
) -> tuple[str, ...]:
    """Return a version's digests from another process.

    :param held: only if they are in that process's memory now.
    :raises PieceError: when it does not hand them on.
    """
    target = f"{MANIFEST_TARGET}?model={key.model}&version={key.version}"
    target += f"&held={held:d}"
    reply = await _fetch(pool, address, target)
    try:
        return msgspec.msgpack.decode(reply.body, type=tuple[str, ...])
    except msgspec.MsgspecError as error:
        raise PieceError(f"{address}: malformed manifest: {error}") from error


async def _fetch(
    pool: http1_pool.ConnectionPool, address: str, target: str
) -> http1_pool.Reply:
    head = http1.RequestHead(b"GET", target.encode(), [])
    try:
        reply = await pool.call(address, head, timeout_s=PEER_TIMEOUT_S)
    except http1_pool.CallError as error:
        raise UnreachableError(str(error)) from error
    if reply.status != 200:
        raise PieceError(f"{address} answered {reply.status}")
    return reply
