"""Cache of the pieces of weights that an entry holds in memory and serves.

Concurrent requests for a piece share one transfer. Every piece is verified against the
digest of the manifest before it is kept or served.
"""

import abc
import asyncio
import collections
import hashlib
from collections.abc import Callable
from typing import NamedTuple

from toucanspread.core import data, decoder
from toucanspread.core.entry import entry_directory
from toucanspread.core.weights import piece_placement, version_order
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
ORIGIN_PROBE_INTERVAL_S = 0.1  # until one of the missing pieces can be had again
# Each of so many probes is for any version, since only one of them may be available.
OTHER_VERSION_PROBE_INTERVAL = 5
# From the last piece at an entry until requests can begin on the version: the engine's
# link, the check, the loading, and the report of it to the entries.
ENGINE_DELAY_S = 1.5
MAX_TURN_WAIT_S = 0.5  # for a piece that is planned; other pieces can be had meanwhile
TURN_CHECK_INTERVAL_S = 0.05
NOT_YET_STATUS = 425


class PieceError(Exception):
    """A piece or a manifest could not be obtained."""


class NotYetError(PieceError):
    """The owner of a piece reads it later, in its turn or when the origin is back."""


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
    :param version_within_s: time within which all requests have to begin on a version
        that was named.
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
        version_within_s: float = float("inf"),
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
        self._version_within_s = version_within_s
        # The two newest versions of each model, and when each was named.
        self._named_times_s: dict[data.ModelName, dict[int, float]] = {}
        self._missing_keys: set[piece_placement.PieceKey] = set()
        # When the first piece of a version was due, or would have been.
        self._plan_starts_s: dict[tuple[data.ModelName, int], float] = {}
        self._turns_s: dict[piece_placement.PieceKey, float] = {}
        self._probed_models: set[data.ModelName] = set()
        self._plan_numbers: collections.Counter[data.ModelName] = collections.Counter()
        self._obtained_times_s: dict[data.ModelName, float] = {}
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
            await self._wait_for_turn(key)
        if key not in self._pieces:
            await self._load_once(key, self._load_piece)
        return self._pieces[key]

    async def _wait_for_turn(self, key: piece_placement.PieceKey) -> None:
        """Wait until this entry reads a piece that it owns.

        Otherwise, the requests of engines would decide what is read from the origin
        first, and all be sent to it at the moment of its return.

        While the origin is unavailable, the answer is delayed, as engines repeat their
        requests.

        :raises NotYetError: when it takes too long.
        """
        if key not in self._missing_keys or self._find_upstream(key) is not None:
            return
        if key in self._load_tasks:
            return
        wait_until_s = _now_s() + MAX_TURN_WAIT_S
        while key.model in self._probed_models:
            if _now_s() >= wait_until_s:
                raise NotYetError(f"{key.text}: the origin is unavailable")
            await asyncio.sleep(TURN_CHECK_INTERVAL_S)
        wait_s = self._turns_s.get(key, 0.0) - _now_s()
        if wait_s > MAX_TURN_WAIT_S:
            raise NotYetError(f"{key.text}: its turn comes in {wait_s:.1f} s")
        if wait_s > 0:
            await asyncio.sleep(wait_s)

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

        The version before is fetched, too, until this entry has all that it has to keep
        of the new one: the origin may send that one too late.
        """
        self._drop_old_versions(model, version)
        times_s = self._named_times_s.setdefault(model, {})
        times_s.setdefault(version, _now_s())
        for older in sorted(times_s)[:-MAX_VERSION_COUNT]:
            del times_s[older]
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
        new_keys = set()
        for number in range(len(digests)):
            key = piece_placement.PieceKey(model, version, number)
            if key in self._pieces or key in self._missing_keys:
                continue
            is_kept = self._find_upstream(key) is None
            if in_each_region:
                is_kept = piece_placement.is_kept_by(key, self._entries(), self._name)
            if is_kept:
                new_keys.add(key)
        if new_keys:
            self._missing_keys |= new_keys
            self._plan_fetches(model)

    def _plan_fetches(self, model: data.ModelName) -> None:
        """Schedule the missing pieces of a model anew; requests on their way go on."""
        if model in self._probed_models:
            return
        self._plan_numbers[model] += 1
        now_s = _now_s()
        piece_transfer_s = self._piece_transfer_s(model)
        for fetch in self._list_planned_fetches(model):
            key = piece_placement.PieceKey(model, fetch.version, fetch.number)
            self._turns_s[key] = now_s + fetch.delay_s
            if (model, fetch.version) not in self._plan_starts_s or fetch.delay_s > 0:
                self._plan_starts_s[model, fetch.version] = (
                    now_s + fetch.delay_s - fetch.number * piece_transfer_s
                )
            loop.spawn(
                self._fetch_kept_piece(key, fetch.delay_s, self._plan_numbers[model])
            )

    def _list_planned_fetches(
        self, model: data.ModelName
    ) -> list[version_order.PlannedFetch]:
        """Return the missing pieces of a model in the order of their need."""
        missing = [
            version_order.MissingPieces(
                version,
                self._list_missing_numbers(model, version),
                self._count_pieces(model, version),
                self._find_position(model, version),
            )
            for version in self._order_versions(model)
        ]
        return version_order.plan_fetches(missing, self._piece_transfer_s(model))

    def _count_pieces(self, model: data.ModelName, version: int) -> int:
        return len(self._digests.get(_make_manifest_key(model, version), ()))

    def _find_position(self, model: data.ModelName, version: int) -> float:
        """Return the number of the piece that all entries together have come to."""
        piece_count = self._count_pieces(model, version)
        if model in self._probed_models:
            held_numbers = [
                key.number
                for key in self._pieces
                if key.model == model and key.version == version
            ]
            missing_numbers = self._list_missing_numbers(model, version)
            if not held_numbers and (model, version) not in self._plan_starts_s:
                return 0.0
            return version_order.estimate_position(
                missing_numbers, held_numbers, piece_count
            )
        start_s = self._plan_starts_s.get((model, version))
        piece_transfer_s = self._piece_transfer_s(model)
        if start_s is None or piece_transfer_s <= 0:
            return 0.0
        position = (_now_s() - start_s) / piece_transfer_s
        return min(max(position, 0.0), float(piece_count))

    def _list_missing_numbers(self, model: data.ModelName, version: int) -> list[int]:
        return sorted(
            key.number
            for key in self._missing_keys
            if key.model == model and key.version == version
        )

    def _order_versions(self, model: data.ModelName) -> list[int]:
        """Return the versions of a model in the order in which they are needed."""
        times_s = self._named_times_s.get(model, {})
        versions = sorted(times_s)
        if len(versions) < MAX_VERSION_COUNT:
            return versions
        older, newer = versions
        progress = [self._estimate_progress(model, v) for v in versions]
        is_older_first = version_order.is_older_first(
            _now_s(), *progress, self._piece_transfer_s(model), ENGINE_DELAY_S
        )
        return [older, newer] if is_older_first else [newer, older]

    def _estimate_progress(
        self, model: data.ModelName, version: int
    ) -> version_order.VersionProgress:
        """Return what all entries together miss, judged by what this one misses."""
        left_count = self._count_pieces(model, version) - self._find_position(
            model, version
        )
        due_s = self._named_times_s[model][version] + self._version_within_s
        return version_order.VersionProgress(round(left_count), due_s)

    async def _fetch_kept_piece(
        self, key: piece_placement.PieceKey, delay_s: float, plan_number: int
    ) -> None:
        """Fetch a piece at its time unless the plan was replaced by another one."""
        await asyncio.sleep(delay_s)
        while (
            self._plan_numbers[key.model] == plan_number
            and key in self._missing_keys
            and self._is_needed(key)
        ):
            started_s = _now_s()
            if await self._try_fetch_kept_piece(key):
                return
            if self._obtained_times_s.get(key.model, float("-inf")) < started_s:
                # Requests for all other pieces would fail, too, and all be repeated
                # at the same time.
                if self._plan_numbers[key.model] == plan_number:
                    await self._probe_until_available(key.model)
                return
            await asyncio.sleep(FETCH_RETRY_DELAY_S)

    async def _try_fetch_kept_piece(self, key: piece_placement.PieceKey) -> bool:
        """Return whether a piece that this entry has to keep is held now."""
        try:
            if key not in self._pieces:
                await self._load_once(key, self._load_piece)
        except PieceError as error:
            logs.write("piece_missing", piece=key.text, why=str(error))
            return False
        self._missing_keys.discard(key)
        self._turns_s.pop(key, None)
        self._obtained_times_s[key.model] = _now_s()
        return True

    async def _probe_until_available(self, model: data.ModelName) -> None:
        """Request one missing piece after the other until one can be had."""
        if model in self._probed_models:
            return
        self._probed_models.add(model)
        self._plan_numbers[model] += 1
        try:
            await self._probe(model)
            # Estimated while it is known that the fetches were interrupted.
            piece_transfer_s = self._piece_transfer_s(model)
            for version in self._named_times_s.get(model, {}):
                position = self._find_position(model, version)
                if (model, version) in self._plan_starts_s:
                    self._plan_starts_s[model, version] = (
                        _now_s() - position * piece_transfer_s
                    )
        finally:
            self._probed_models.discard(model)
        self._plan_fetches(model)

    async def _probe(self, model: data.ModelName) -> None:
        """Return once a missing piece could be had, or if none is needed."""
        attempt_count = 0
        while True:
            await asyncio.sleep(ORIGIN_PROBE_INTERVAL_S)
            keys = [
                piece_placement.PieceKey(model, fetch.version, fetch.number)
                for fetch in self._list_planned_fetches(model)
            ]
            needed_keys = [key for key in keys if self._is_needed(key)]
            if not needed_keys:
                return
            attempt_count += 1
            first_version = needed_keys[0].version
            if attempt_count % OTHER_VERSION_PROBE_INTERVAL:
                # What comes with the first success should be needed first.
                needed_keys = [k for k in needed_keys if k.version == first_version]
            key = needed_keys[attempt_count % len(needed_keys)]
            if await self._try_fetch_kept_piece(key):
                return

    def _is_needed(self, key: piece_placement.PieceKey) -> bool:
        """Return whether engines may still need a piece from this entry.

        A version is given up when this entry has all that it keeps of a newer one.
        """
        if not self._is_superseded(key):
            return True
        newest = self._newest_versions[key.model]
        if key.version not in self._named_times_s.get(key.model, {}):
            return False
        manifest_key = _make_manifest_key(key.model, newest)
        has_newest = manifest_key in self._digests and not self._list_missing_numbers(
            key.model, newest
        )
        return not has_newest

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
            except NotYetError:
                raise
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
        self._missing_keys = {
            key
            for key in self._missing_keys
            if key.model != model or key.version >= oldest
        }
        self._turns_s = {
            key: turn_s
            for key, turn_s in self._turns_s.items()
            if key in self._missing_keys
        }
        for planned in list(self._plan_starts_s):
            if planned[0] == model and planned[1] < oldest:
                del self._plan_starts_s[planned]


def _make_manifest_key(model: data.ModelName, version: int) -> piece_placement.PieceKey:
    return piece_placement.PieceKey(model, version, piece_placement.MANIFEST_NUMBER)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


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
    if reply.status == NOT_YET_STATUS:
        raise NotYetError(f"{address} reads it later")
    is_part = byte_range is not None and reply.status == 206
    if reply.status != 200 and not is_part:
        raise PieceError(f"{address} answered with status {reply.status}")
    return reply
