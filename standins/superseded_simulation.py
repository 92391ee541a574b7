"""Simulates two versions of weights, in virtual time, while the origin is unavailable.

The entries are the product's own piece caches, the sidecars its own stagers. The
origin's link is shared evenly by the pieces that it sends; each engine's link passes
one piece after the other. The figures are those of deployment D2 in
``docs/design/hard-load.md``.
"""

import asyncio
import hashlib
from typing import NamedTuple

import msgspec

from standins import virtual_time
from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import entry_directory
from toucanspread.core.weights import (
    piece_placement,
    staging,
    staging_events,
    switch_turns,
)
from toucanspread.ops.http import http1, http1_pool
from toucanspread.ops.pieces import piece_cache

MODEL = data.ModelName("m")
REGIONS = ("r1", "r2", "r3")
ENTRY_COUNT = 43
ENGINE_COUNT = 17
PIECE_COUNT = 96
PIECE_BYTES = 24_576
ORIGIN_BYTES_PER_S = 4_380_000 / 8
ENGINE_BYTES_PER_S = 3_650_000 / 8
LATENCY_S = 0.0034
LEARNING_DELAY_S = 0.4  # from the operator's write to the processes' copies
REPORT_INTERVAL_S = 0.2
LOAD_S = 0.5
WITHIN_S = 13.4
STAGER_MARGIN_S = 1.15  # as in platform/side.py
SLICE_BYTES = 4096
ORIGIN_TIMEOUT_S = 4.0  # as in platform/engine.py


class Outage(NamedTuple):
    """Time during which the origin is unavailable."""

    from_s: float
    until_s: float


def make_piece(version: int, number: int) -> bytes:
    """Return the bytes of a piece."""
    return f"{version}/{number}/".encode().ljust(PIECE_BYTES, b".")


DIGESTS = {
    version: tuple(
        hashlib.sha256(make_piece(version, number)).hexdigest()
        for number in range(PIECE_COUNT)
    )
    for version in (2, 3)
}


class _Transfer:
    def __init__(self):
        self.left_bytes = PIECE_BYTES
        self.done = asyncio.get_running_loop().create_future()


class SimulatedOrigin(piece_cache.PieceOrigin):
    """The origin, whose link is shared by the pieces that it sends.

    :ivar sent_bytes: by version, including those of pieces that nobody waited for.
    :ivar read_counts: requests for pieces that it began to answer, by version.
    """

    def __init__(self, outage: Outage | None):
        self._outage = outage
        self._transfers: list[_Transfer] = []
        self._sender: asyncio.Task | None = None
        self.sent_bytes = {2: 0, 3: 0}
        self.read_counts = {2: 0, 3: 0}

    async def read_digests(self, model, version, has_own_connection=False):
        """Return the digests of a version."""
        await asyncio.sleep(2 * LATENCY_S)
        self._check_available()
        return DIGESTS[version]

    async def read_piece(self, key):
        """Return a piece once it has passed the link."""
        await asyncio.sleep(2 * LATENCY_S)
        self._check_available()
        self.read_counts[key.version] += 1
        transfer = _Transfer()
        self._transfers.append(transfer)
        if self._sender is None or self._sender.done():
            self._sender = asyncio.ensure_future(self._send())
        try:
            await asyncio.wait_for(transfer.done, ORIGIN_TIMEOUT_S)
        except TimeoutError as error:
            raise piece_cache.PieceError("no answer in time") from error
        finally:
            self.sent_bytes[key.version] += PIECE_BYTES - transfer.left_bytes
            if transfer in self._transfers:
                self._transfers.remove(transfer)
        return make_piece(key.version, key.number)

    async def _send(self) -> None:
        while self._transfers:
            transfer = self._transfers.pop(0)
            size_bytes = min(SLICE_BYTES, transfer.left_bytes)
            self._transfers.append(transfer)
            await asyncio.sleep(size_bytes / ORIGIN_BYTES_PER_S)
            if self._is_unavailable():
                for cut in self._transfers:
                    if not cut.done.done():
                        cut.done.set_exception(piece_cache.PieceError("cut"))
                self._transfers.clear()
                return
            transfer.left_bytes -= size_bytes
            if transfer.left_bytes <= 0 and transfer in self._transfers:
                self._transfers.remove(transfer)
                if not transfer.done.done():
                    transfer.done.set_result(None)

    def _is_unavailable(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        outage = self._outage
        return outage is not None and outage.from_s <= now_s < outage.until_s

    def _check_available(self) -> None:
        if self._is_unavailable():
            raise piece_cache.PieceError("unavailable")


class _Pool(http1_pool.ConnectionPool):
    """Calls the caches of other entries; their links are not a limit."""

    def __init__(self, simulation, reactor):
        super().__init__(reactor)
        self._simulation = simulation

    async def call(
        self,
        address: str,
        head: http1.RequestHead,
        body: bytes = b"",
        timeout_s: float = 1.0,
        max_body_bytes: int = 0,
        matcher=None,
    ) -> http1_pool.Reply:
        _, _, query = head.target.decode().partition("?")
        arguments = dict(item.split("=") for item in query.split("&"))
        number = int(arguments.get("number", piece_placement.MANIFEST_NUMBER))
        key = piece_placement.PieceKey(MODEL, int(arguments["version"]), number)
        cache = self._simulation.caches[address]
        is_held_only = arguments["held"] == "1"
        answer = _answer(cache, key, is_held_only)
        try:
            return await asyncio.wait_for(answer, timeout_s)
        except TimeoutError as error:
            raise http1_pool.CallError(None, "no answer in time") from error


async def _answer(cache, key, is_held_only: bool) -> http1_pool.Reply:
    await asyncio.sleep(2 * LATENCY_S)
    if key.number == piece_placement.MANIFEST_NUMBER:
        digests = cache.peek_digests(key)
        if digests is None and not is_held_only:
            try:
                digests = await cache.get_digests(key.model, key.version)
            except piece_cache.PieceError:
                return http1_pool.Reply(503, None, b"")
        if digests is None:
            return http1_pool.Reply(404, None, b"")
        return http1_pool.Reply(200, None, msgspec.msgpack.encode(digests))
    if is_held_only and cache.peek_piece(key) is None:
        return http1_pool.Reply(404, None, b"")
    try:
        return http1_pool.Reply(200, None, await cache.get_piece(key))
    except piece_cache.NotYetError:
        return http1_pool.Reply(piece_cache.NOT_YET_STATUS, None, b"")
    except piece_cache.PieceError:
        return http1_pool.Reply(503, None, b"")


class SimulatedEngine:
    """An engine with its sidecar's stager.

    :ivar loaded_s: when each version was loaded.
    :ivar request_count: requests of the sidecar for pieces.
    """

    def __init__(self, simulation: "SupersededSimulation", number: int):
        self._simulation = simulation
        self._region = REGIONS[number % len(REGIONS)]
        self._turn = number / ENGINE_COUNT
        profile = entry_data.ModelProfile(MODEL, 1, PIECE_COUNT, PIECE_BYTES, LOAD_S)
        self._piece_transfer_s = PIECE_BYTES / ENGINE_BYTES_PER_S
        self._stager = staging.Stager(profile, self._piece_transfer_s)
        self._link = asyncio.Lock()
        self._collected: dict[int, set[int]] = {2: set(), 3: set()}
        self._attempts: dict[tuple[int, int], int] = {}
        self._version = 1
        self._order_count = 0
        self._loading_until_s = 0.0
        self.loaded_s: dict[int, float] = {}
        self.request_count = 0

    async def run(self) -> None:
        """Report at intervals, until cancelled."""
        while True:
            now_s = self._now_s()
            event = staging_events.ReportRead(
                self._version, now_s < self._loading_until_s, self._order_count, 0
            )
            self._execute(self._stager.on_report_read(event, now_s))
            self._execute(self._stager.on_tick(now_s))
            await asyncio.sleep(REPORT_INTERVAL_S)

    def request_version(self, version: int) -> None:
        """Learn that a version was named."""
        now_s = self._now_s()
        timing = switch_turns.SwitchTiming(
            now_s + WITHIN_S - STAGER_MARGIN_S, self._turn, ENGINE_COUNT * 1.2
        )
        self._execute(self._stager.on_version_named(version, timing, now_s))

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _execute(self, effects: list) -> None:
        for effect in effects:
            asyncio.ensure_future(self._carry_out(effect))

    async def _carry_out(self, effect) -> None:
        await asyncio.sleep(LATENCY_S)
        match effect:
            case staging_events.ReadDigests(version=version):
                event = staging_events.DigestsRead(version, DIGESTS[version])
                self._execute(self._stager.on_digests_read(event, self._now_s()))
            case staging_events.CheckStagedPieces(version=version):
                held = frozenset(self._collected[version])
                event = staging_events.StagedPiecesChecked(version, held)
                self._execute(self._stager.on_staged_checked(event, self._now_s()))
            case staging_events.CollectPiece(version=version, number=number):
                await self._collect(version, number)
            case staging_events.SendOrder(version=version):
                self._order_count += 1
                self._loading_until_s = self._now_s() + LOAD_S
                await asyncio.sleep(LOAD_S)
                self._version = version
                self.loaded_s[version] = self._now_s()

    async def _collect(self, version: int, number: int) -> None:
        key = piece_placement.PieceKey(MODEL, version, number)
        self.request_count += 1
        ranked = piece_placement.rank_holders(
            key, self._simulation.records, self._region
        )
        attempt = self._attempts.get((version, number), 0)
        holder = ranked[attempt % len(ranked)]
        try:
            await asyncio.wait_for(
                self._simulation.caches[holder.control].get_piece(key),
                piece_cache.PEER_TIMEOUT_S,
            )
        except (piece_cache.PieceError, TimeoutError) as error:
            if not isinstance(error, piece_cache.NotYetError):
                self._attempts[version, number] = attempt + 1
            event = staging_events.EffectFailed(version, number)
            self._execute(self._stager.on_effect_failed(event, self._now_s()))
            return
        async with self._link:
            await asyncio.sleep(self._piece_transfer_s)
        self._collected[version].add(number)
        event = staging_events.PieceCollected(version, number, self._piece_transfer_s)
        self._execute(self._stager.on_piece_collected(event, self._now_s()))


class SupersededSimulation:
    """Entries, engines and an origin; version 2 is named and then version 3."""

    def __init__(self, outage: Outage | None, reactor, named_s: dict[int, float]):
        self.origin = SimulatedOrigin(outage)
        self._named_s = named_s
        self.records = [
            entry_directory.EntryRecord(
                f"e{n}", REGIONS[n % 3], REGIONS[n % 3], "", f"e{n}:1", ""
            )
            for n in range(ENTRY_COUNT)
        ]
        self.caches = {
            record.control: piece_cache.PieceCache(
                record.name,
                _Pool(self, reactor),
                self.origin,
                lambda: self.records,
                lambda: REGIONS[0],
                lambda model: PIECE_BYTES / ORIGIN_BYTES_PER_S,
                version_within_s=WITHIN_S,
            )
            for record in self.records
        }
        self.engines = [SimulatedEngine(self, n) for n in range(ENGINE_COUNT)]

    async def run(self, until_s: float) -> None:
        """Play both versions."""
        tasks = [asyncio.ensure_future(engine.run()) for engine in self.engines]
        loop = asyncio.get_running_loop()
        for version, named_s in self._named_s.items():
            await asyncio.sleep(named_s + LEARNING_DELAY_S - loop.time())
            for cache in self.caches.values():
                asyncio.ensure_future(cache.fetch_kept_pieces(MODEL, version))
            for engine in self.engines:
                engine.request_version(version)
        await asyncio.sleep(until_s - loop.time())
        for running in [*tasks, *(t for t in asyncio.all_tasks() if t not in tasks)]:
            if running is not asyncio.current_task():
                running.cancel()

    def list_loaded_s(self, version: int) -> list[float]:
        """Return when engines loaded a version, in order."""
        return sorted(
            engine.loaded_s[version]
            for engine in self.engines
            if version in engine.loaded_s
        )

    def count_copies(self) -> float:
        """Return how many copies of a version the origin has sent."""
        return sum(self.origin.sent_bytes.values()) / (PIECE_COUNT * PIECE_BYTES)


def simulate(
    outage: Outage | None,
    until_s: float = 42.0,
    named_s: dict[int, float] | None = None,
) -> SupersededSimulation:
    """Return a simulation that has run."""
    loop = virtual_time.VirtualTimeLoop()

    async def play() -> SupersededSimulation:
        reactor = virtual_time.VirtualReactor(loop)
        simulation = SupersededSimulation(
            outage, reactor, named_s or {2: 18.0, 3: 20.0}
        )
        await simulation.run(until_s)
        return simulation

    try:
        return loop.run_until_complete(play())
    finally:
        loop.close()
