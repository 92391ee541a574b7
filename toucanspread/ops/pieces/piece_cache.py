"""Cache of the pieces of weights that an entry holds in memory and serves.

Concurrent requests for a piece share one transfer. Every piece is verified against the
digest of the manifest before it is kept or served.
"""

import abc
import asyncio
import hashlib
from collections.abc import Callable
from typing import NamedTuple

from toucanspread.core import data, decoder
from toucanspread.core.entry import entry_directory
from toucanspread.core.weights import piece_placement
from toucanspread.ops import loop
from toucanspread.ops.http import answer_match, http1, http1_client, http1_pool
from toucanspread.ops.pieces import manifest_match, piece_parts
from toucanspread.ops.telemetry import logs, metric_buffer

PIECE_TARGET = "/piece"
MANIFEST_TARGET = "/manifest"
MAX_MANIFEST_BYTES = 1_048_576  # 15,000 pieces with digests of 64 characters
DEFAULT_MAX_PIECE_BYTES = 16_777_216  # of a model whose pieces have no known size
PEER_TIMEOUT_S = 3.0  # an owner may itself wait for the origin's narrow link
MAX_VERSION_COUNT = 2  # the version in use and the previous one
ORIGIN_ATTEMPT_COUNT = 3
ORIGIN_RETRY_DELAY_S = 0.2
MEMBERSHIP_SETTLE_S = 2.0  # a restarted entry is back within this time
FETCH_RETRY_DELAY_S = 0.4  # the origin may start after this process or be down


class PieceError(Exception):
    """A piece or a manifest could not be obtained."""


class UnreachableError(PieceError):
    """A process was unreachable or did not answer."""


class FetchedPiece(NamedTuple):
    """A piece without verification.

    :param longest_part_s: the longest time from the head to the end of a part.
    """

    body: bytes
    longest_part_s: float


class PieceOrigin(abc.ABC):
    """The service that all weights come from."""

    @abc.abstractmethod
    async def read_digests(
        self, model: str, version: int, has_own_connection: bool = False
    ) -> tuple[str, ...]:
        """Return the hex digests of a version's pieces, in order.

        :param has_own_connection: whether to use a connection for this call only.
        :raises PieceError: when they cannot be obtained.
        """

    @abc.abstractmethod
    async def read_piece(self, key: piece_placement.PieceKey) -> bytes:
        """Return a piece without verification.

        :raises PieceError: when it cannot be obtained.
        """


class PieceCache:
    """Holds pieces and digests, and fetches them from other entries or the origin.

    :param entries: returns the serving entries, this one among them.
    :param origin_region: returns the region of the origin; empty while it is unknown.
    :param piece_transfer_s: returns the seconds that the origin's link takes for a
        piece of a model.
    :param max_piece_bytes: returns the limit for a piece of a model.
    """

    def __init__(
        self,
        name: str,
        pool: http1_pool.ConnectionPool,
        origin: PieceOrigin,
        entries: Callable[[], list[entry_directory.EntryRecord]],
        origin_region: Callable[[], str] = str,
        piece_transfer_s: Callable[[data.ModelName], float] = lambda model: 0.0,
        max_piece_bytes: Callable[[data.ModelName], int] = (
            lambda model: DEFAULT_MAX_PIECE_BYTES
        ),
    ):
        self._name = name
        self._origin_region = origin_region
        self._piece_transfer_s = piece_transfer_s
        self._max_piece_bytes = max_piece_bytes
        self._pool = pool
        self._origin = origin
        self._entries = entries
        self._pieces: dict[piece_placement.PieceKey, bytes] = {}
        self._digests: dict[piece_placement.PieceKey, tuple[str, ...]] = {}
        self._newest_versions: dict[data.ModelName, int] = {}
        self._load_tasks: dict[piece_placement.PieceKey, asyncio.Task] = {}
        self._scheduled_keys: set[piece_placement.PieceKey] = set()
        self._entry_names: frozenset[str] = frozenset()
        self._entries_changed_s = 0.0
        self._applied_entry_names: frozenset[str] = frozenset()

    async def get_digests(self, model: data.ModelName, version: int) -> tuple[str, ...]:
        """Return the digests of a version's pieces; fetch them if not in memory.

        :raises PieceError: when they cannot be obtained.
        """
        key = piece_placement.PieceKey(model, version, piece_placement.MANIFEST_NUMBER)
        if key not in self._digests:
            await self._load_once(key, self._load_digests)
        return self._digests[key]

    async def get_piece(self, key: piece_placement.PieceKey) -> bytes:
        """Return a verified piece; fetch it if it is not in memory.

        :raises PieceError: when it cannot be obtained.
        """
        if key not in self._pieces:
            await self._load_once(key, self._load_piece)
        return self._pieces[key]

    async def fetch_kept_pieces(
        self, model: data.ModelName, version: int, is_new_version: bool = True
    ) -> None:
        """Fetch the pieces of a version that this entry has to keep.

        The pieces of a new version are kept in each region, since all engines request
        them at once. If engines may already hold the version, only the owners fetch its
        pieces, which go to other regions on request.

        The origin may become unavailable soon after a version is named. The fetches are
        spread over time so that all owners together just saturate its link: if all
        pieces were fetched at once, none would be complete before the last one.
        """
        self._drop_old_versions(model, version)
        await self._schedule_kept_pieces(model, version, is_new_version)

    def update_kept_pieces(self, now_s: float) -> None:
        """Fetch the pieces that this entry has to keep after a change of the entries.

        By the time that an engine requests them, the origin may be unavailable.
        """
        entry_names = frozenset(entry.name for entry in self._entries())
        if entry_names != self._entry_names:
            self._entry_names = entry_names
            self._entries_changed_s = now_s
        if (
            entry_names == self._applied_entry_names
            or now_s - self._entries_changed_s < MEMBERSHIP_SETTLE_S
        ):
            return
        self._applied_entry_names = entry_names
        for model, version in self._newest_versions.items():
            loop.spawn(self._schedule_kept_pieces(model, version, in_each_region=False))

    async def _schedule_kept_pieces(
        self, model: data.ModelName, version: int, in_each_region: bool
    ) -> None:
        digests = await self._wait_for_digests(model, version)
        piece_transfer_s = self._piece_transfer_s(model)
        for number in range(len(digests)):
            key = piece_placement.PieceKey(model, version, number)
            if key in self._pieces or key in self._scheduled_keys:
                continue
            is_kept = self._find_upstream(key) is None
            if in_each_region:
                is_kept = piece_placement.is_kept_by(key, self._entries(), self._name)
            if is_kept:
                self._scheduled_keys.add(key)
                loop.spawn(self._fetch_kept_piece(key, number * piece_transfer_s))

    async def _fetch_kept_piece(
        self, key: piece_placement.PieceKey, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        while not self._is_superseded(key):
            try:
                await self.get_piece(key)
                break
            except PieceError as error:
                logs.write("piece_missing", piece=key.text, why=str(error))
            await asyncio.sleep(FETCH_RETRY_DELAY_S)
        self._scheduled_keys.discard(key)

    async def _wait_for_digests(
        self, model: data.ModelName, version: int
    ) -> tuple[str, ...]:
        """Retry until the digests are read; return none for a superseded version."""
        key = piece_placement.PieceKey(model, version, piece_placement.MANIFEST_NUMBER)
        while not self._is_superseded(key):
            try:
                return await self.get_digests(model, version)
            except PieceError as error:
                logs.write("manifest_missing", piece=key.text, why=str(error))
            await asyncio.sleep(FETCH_RETRY_DELAY_S)
        return ()

    def _is_superseded(self, key: piece_placement.PieceKey) -> bool:
        return key.version < self._newest_versions.get(key.model, 0)

    async def _load_once(self, key: piece_placement.PieceKey, load) -> None:
        task = self._load_tasks.get(key)
        if task is None:
            task = asyncio.ensure_future(load(key))
            self._load_tasks[key] = task
            task.add_done_callback(lambda _: self._load_tasks.pop(key, None))
        await asyncio.shield(task)

    async def _load_digests(self, key: piece_placement.PieceKey) -> None:
        upstream = self._find_upstream(key)
        digests = ()
        if upstream is not None:
            digests = await self._fetch_digests_from_entries(
                [upstream], key, held=False
            )
        if not digests:
            digests = await self._fetch_digests_from_origin(key)
        self._digests[key] = digests

    def _find_upstream(
        self, key: piece_placement.PieceKey
    ) -> entry_directory.EntryRecord | None:
        return piece_placement.find_upstream(
            key, self._entries(), self._name, self._origin_region()
        )

    async def _fetch_digests_from_origin(
        self, key: piece_placement.PieceKey
    ) -> tuple[str, ...]:
        try:
            digests = await self._origin.read_digests(key.model, key.version)
            await self._confirm_repeated_digests(key, digests)
            return digests
        except PieceError as error:
            logs.write("origin_failed", piece=key.text, why=str(error))
            fallback_holders = piece_placement.rank_fallback_holders(
                key, self._entries(), self._name
            )
            digests = await self._fetch_digests_from_entries(
                fallback_holders, key, held=True
            )
            if not digests:
                raise
            return digests

    async def _confirm_repeated_digests(
        self, key: piece_placement.PieceKey, digests: tuple[str, ...]
    ) -> None:
        """Read digests again that are those of another version of the model.

        Otherwise, the pieces of that version pass as those of this one.

        :raises PieceError: when the origin then names others, or does not answer.
        """
        versions = [
            other.version
            for other, known_digests in self._digests.items()
            if other.model == key.model
            and other.version != key.version
            and known_digests == digests
        ]
        if not versions:
            return
        logs.write("digests_repeated", piece=key.text, versions=versions)
        confirmed_digests = await self._origin.read_digests(
            key.model, key.version, has_own_connection=True
        )
        if confirmed_digests != digests:
            raise PieceError(f"{key.text}: digests of version {versions[0]} instead")

    async def _fetch_digests_from_entries(
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
        """Return the digests of a version's pieces if they are in memory."""
        return self._digests.get(key)

    async def _load_piece(self, key: piece_placement.PieceKey) -> None:
        digests = await self.get_digests(key.model, key.version)
        digest = digests[key.number]
        upstream = self._find_upstream(key)
        origin_attempt_count = ORIGIN_ATTEMPT_COUNT
        if upstream is not None:
            try:
                piece = await self._fetch_piece_from_entry(upstream, key, held=False)
                if has_digest(piece, digest):
                    self._pieces[key] = piece
                    return
                logs.write("piece_spoilt", piece=key.text, source=upstream.name)
            except PieceError as error:
                logs.write(
                    "owner_failed", piece=key.text, owner=upstream.name, why=str(error)
                )
                if not isinstance(error, UnreachableError):
                    # The owner has tried the origin just now.
                    origin_attempt_count = 1
        self._pieces[key] = await self._fetch_piece_from_origin(
            key, digest, origin_attempt_count
        )

    async def _fetch_piece_from_origin(
        self, key: piece_placement.PieceKey, digest: str, attempt_count: int
    ) -> bytes:
        for attempt in range(attempt_count):
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
            fallback_piece = await self._fetch_from_fallback_holder(key, digest)
            if fallback_piece is not None:
                return fallback_piece
        raise PieceError(
            f"{key.text}: neither the origin nor another entry returned it"
        )

    async def _fetch_from_fallback_holder(
        self, key: piece_placement.PieceKey, digest: str
    ) -> bytes | None:
        """Return a piece that another entry has in memory, or None."""
        for entry in piece_placement.rank_fallback_holders(
            key, self._entries(), self._name
        ):
            try:
                piece = await self._fetch_piece_from_entry(entry, key, held=True)
            except PieceError as error:
                logs.write("not_held", piece=key.text, at=entry.name, why=str(error))
                continue
            if has_digest(piece, digest):
                return piece
            logs.write("piece_spoilt", piece=key.text, source=entry.name)
        return None

    async def _fetch_piece_from_entry(
        self,
        entry: entry_directory.EntryRecord,
        key: piece_placement.PieceKey,
        held: bool,
    ) -> bytes:
        max_bytes = self._max_piece_bytes(key.model)
        return (await fetch_piece(self._pool, entry.control, key, max_bytes, held)).body

    def peek_piece(self, key: piece_placement.PieceKey) -> bytes | None:
        """Return a piece if it is in memory."""
        return self._pieces.get(key)

    def _drop_old_versions(self, model: data.ModelName, version: int) -> None:
        self._newest_versions[model] = max(version, self._newest_versions.get(model, 0))
        oldest = version - MAX_VERSION_COUNT + 1
        for cached in (self._pieces, self._digests):
            for key in list(cached):
                if key.model == model and key.version < oldest:
                    del cached[key]


def has_digest(piece: bytes, digest: str) -> bool:
    """Return whether a piece has the digest that the manifest gives."""
    return hashlib.sha256(piece).hexdigest() == digest.lower()


def limit_piece_bytes(chunk_bytes: int) -> int:
    """Return the limit for a piece.

    :param chunk_bytes: size of the pieces as configured; 0 if it is unknown.
    """
    if chunk_bytes <= 0:
        return DEFAULT_MAX_PIECE_BYTES
    # A change of the configured size reaches the processes at different times.
    return max(2 * chunk_bytes, http1_client.DEFAULT_MAX_BODY_BYTES)


async def fetch_piece(
    pool: http1_pool.ConnectionPool,
    address: str,
    key: piece_placement.PieceKey,
    max_bytes: int,
    held: bool = False,
) -> http1_pool.Reply:
    """Return the answer with a piece, from another process and without verification.

    :param max_bytes: limit for the piece.
    :param held: request the piece only if it is in that process's memory.
    :raises PieceError: when the process does not return it.
    """
    return await _fetch(pool, address, _make_piece_target(key, held), max_bytes)


async def fetch_piece_in_parts(
    pool: http1_pool.ConnectionPool,
    address: str,
    key: piece_placement.PieceKey,
    max_bytes: int,
    part_bytes: int,
) -> FetchedPiece:
    """Return a piece from another process, fetched one part after the other.

    :param max_bytes: limit for the piece.
    :raises PieceError: when the process does not return it.
    """
    body = b""
    longest_part_s = 0.0
    while True:
        byte_range = piece_parts.ByteRange(len(body), len(body) + part_bytes - 1)
        reply = await _fetch(
            pool, address, _make_piece_target(key), max_bytes, byte_range
        )
        longest_part_s = max(longest_part_s, reply.transfer_s)
        if reply.status == 200:
            return FetchedPiece(reply.body, longest_part_s)
        part = piece_parts.parse_content_range(reply.head)
        if part is None or part.first != len(body) or not reply.body:
            raise PieceError(f"{address}: malformed part of {key.text}")
        body += reply.body
        if len(body) > max_bytes:
            raise PieceError(f"{address}: {key.text} is larger than {max_bytes} bytes")
        if len(body) >= part.piece_bytes:
            return FetchedPiece(body, longest_part_s)


def _make_piece_target(key: piece_placement.PieceKey, held: bool = False) -> str:
    query = f"model={key.model}&version={key.version}&number={key.number}"
    return f"{PIECE_TARGET}?{query}&held={held:d}"


async def fetch_digests(
    pool: http1_pool.ConnectionPool,
    address: str,
    key: piece_placement.PieceKey,
    held: bool = False,
) -> tuple[str, ...]:
    """Return a version's digests from another process.

    :param held: request them only if they are in that process's memory.
    :raises PieceError: when the process does not return them.
    """
    target = f"{MANIFEST_TARGET}?model={key.model}&version={key.version}"
    target += f"&held={held:d}&named=1"
    matcher = manifest_match.ManifestMatcher(key, _decode_names)
    reply = await _fetch(pool, address, target, MAX_MANIFEST_BYTES, matcher=matcher)
    try:
        manifest = decoder.decode_msgpack(
            reply.body, manifest_match.NamedManifest | tuple[str, ...]
        )
    except decoder.MalformedError as error:
        raise PieceError(f"{address}: malformed manifest: {error}") from error
    if isinstance(manifest, manifest_match.NamedManifest):
        return manifest.digests
    # An entry of an earlier release names neither the model nor the version.
    return manifest


def _decode_names(body: bytes) -> manifest_match.ManifestNames:
    return decoder.decode_msgpack(body, manifest_match.ManifestNames)


async def _fetch(
    pool: http1_pool.ConnectionPool,
    address: str,
    target: str,
    max_body_bytes: int,
    byte_range: piece_parts.ByteRange | None = None,
    matcher: answer_match.AnswerMatcher | None = None,
) -> http1_pool.Reply:
    headers = [] if byte_range is None else [byte_range.header]
    head = http1.RequestHead(b"GET", target.encode(), headers)
    try:
        reply = await pool.call(
            address,
            head,
            timeout_s=PEER_TIMEOUT_S,
            max_body_bytes=max_body_bytes,
            matcher=matcher,
        )
    except http1_pool.CallError as error:
        raise UnreachableError(str(error)) from error
    is_part = byte_range is not None and reply.status == 206
    if reply.status != 200 and not is_part:
        raise PieceError(f"{address} answered with status {reply.status}")
    return reply
