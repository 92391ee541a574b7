"""Carries out what :mod:`toucanspread.core.weights.staging` decides.

It also tells the entries how busy the engine is: here the report is fresh and costs
nothing, and a datagram to each entry is a few dozen bytes.
"""

import asyncio
from collections.abc import Callable

import msgspec
from twisted.internet import protocol

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import entry_directory
from toucanspread.core.weights import piece_placement, staging, staging_events
from toucanspread.ops import (
    engine_control,
    http1_pool,
    logs,
    loop,
    metric_buffer,
    piece_cache,
)

MAX_HOLDER_ATTEMPTS = 3  # each holder asks the others itself; a retry follows
UNREACHABLE_BACKOFF_S = 2.0  # such an entry is asked after all others meanwhile
# A manifest is small: the next holder is asked before the first one times out.
NEXT_HOLDER_DELAY_S = 0.1
REPORT_INTERVAL_S = 0.2  # a request's first event takes about as long
UNCHANGED_LOAD_INTERVAL_S = 0.6  # shorter than the maximum age of a load report
REMOTE_ZONE_LOAD_INTERVAL_S = 0.6  # entries of other zones send few requests


class _SendSchedule:
    """What some entries were told last.

    :param interval_s: after which the same is told again.
    """

    def __init__(self, interval_s: float):
        self._interval_s = interval_s
        self._last: entry_data.EngineLoad | None = None
        self._last_s = float("-inf")

    def is_due(self, known: entry_data.EngineLoad, now_s: float) -> bool:
        """Tell whether to tell them, and take it that they are told then.

        :param known: the part of the report of which each change counts.
        """
        if known == self._last and now_s - self._last_s < self._interval_s:
            return False
        self._last = known
        self._last_s = now_s
        return True


class LoadReportSender(protocol.DatagramProtocol):
    """Sends load reports to the entries.

    Those of other zones hear at once of what decides whether they may use the engine,
    and seldom of how busy it is: bytes between regions are dear.

    :param zone: of the engine.
    """

    def __init__(
        self,
        entries: Callable[[], list[entry_directory.EntryRecord]],
        reactor,
        zone: data.ZoneName,
    ):
        self._entries = entries
        self._reactor = reactor
        self._zone = zone
        self._near = _SendSchedule(UNCHANGED_LOAD_INTERVAL_S)
        self._far = _SendSchedule(REMOTE_ZONE_LOAD_INTERVAL_S)

    def send(self, load: entry_data.EngineLoad) -> None:
        """Send a report, unless the entries know it already."""
        now_s = self._reactor.seconds()
        # The time until an order runs down by itself.
        lasting = msgspec.structs.replace(load, order_in_s=None)
        state = msgspec.structs.replace(lasting, active=0, queued=0)
        is_near_due = self._near.is_due(lasting, now_s)
        is_far_due = self._far.is_due(state, now_s)
        payload = msgspec.msgpack.encode(load)
        for entry in self._entries():
            is_due = is_near_due if entry.zone == self._zone else is_far_due
            if not is_due:
                continue
            host, _, port = entry.reports.rpartition(":")
            self.transport.write(payload, (host, int(port)))


class StagingDriver:
    """Drives the stager of the engine beside this process.

    :param address: of the engine.
    :param entries: returns the entries that are there.
    """

    def __init__(
        self,
        stager: staging.Stager,
        engine: engine_control.EngineControl,
        address: data.Address,
        pool: http1_pool.ConnectionPool,
        entries: Callable[[], list[entry_directory.EntryRecord]],
        region: str,
        sender: LoadReportSender,
    ):
        self._stager = stager
        self._engine = engine
        self._address = address
        self._pool = pool
        self._entries = entries
        self._region = region
        self._sender = sender
        self._model = stager.profile.model
        self._reached = True
        self._step = stager.target.step
        self._collected: dict[piece_placement.PieceKey, bytes] = {}
        self._silent_until_s: dict[str, float] = {}
        self._handlers = {
            staging_events.ReadDigests: self._read_manifest,
            staging_events.CheckStagedPieces: self._check_staged,
            staging_events.CollectPiece: self._collect_piece,
            staging_events.SendOrder: self._give_order,
        }

    async def run(self) -> None:
        """Follow the engine until cancelled."""
        while True:
            await self._read_report()
            self._tick()
            await asyncio.sleep(REPORT_INTERVAL_S)

    def request_version(self, version: int, timing: staging.SwitchTiming) -> None:
        """Turn to a version that the operator has named."""
        self._carry_out(self._stager.on_version_named(version, timing, self._now_s()))
        for key in list(self._collected):
            if self._is_given_up(key.version):
                del self._collected[key]

    def _tick(self) -> None:
        self._carry_out(self._stager.on_tick(self._now_s()))

    def _now_s(self) -> float:
        return self._pool.reactor.seconds()

    async def _read_report(self) -> None:
        try:
            report = await self._engine.read_report()
        except engine_control.EngineError as error:
            if self._reached:
                logs.write("engine_lost", why=str(error))
            self._reached = False
            return
        if not self._reached:
            logs.write("engine_regained", born_ms=report.born_ms)
        self._reached = True
        version = entry_data.complete_version(report.loaded, self._stager.profile)
        self._sender.send(
            entry_data.EngineLoad(
                self._address,
                report.born_ms,
                report.active,
                report.queued,
                version,
                report.is_busy or self._stager.is_quiet(self._now_s()),
                report.pace,
                self._stager.estimate_order_delay_s(self._now_s()),
            )
        )
        event = staging_events.ReportRead(
            version, report.is_busy, report.orders, report.born_ms
        )
        self._carry_out(self._stager.on_report_read(event, self._now_s()))

    def _carry_out(self, effects: list[data.Effect]) -> None:
        target = self._stager.target
        if target.step is not self._step:
            self._step = target.step
            logs.write("staging_step", step=self._step.value, version=target.version)
        for effect in effects:
            loop.spawn(self._handlers[type(effect)](effect))

    async def _read_manifest(self, effect: staging_events.ReadDigests) -> None:
        key = piece_placement.PieceKey(
            self._model, effect.version, piece_placement.MANIFEST_NUMBER
        )
        digests = await self._first_digests(key)
        if digests is None:
            self._fail(effect.version)
            return
        read = staging_events.DigestsRead(effect.version, digests)
        self._carry_out(self._stager.on_digests_read(read, self._now_s()))

    async def _first_digests(
        self, key: piece_placement.PieceKey
    ) -> tuple[str, ...] | None:
        """Return the manifest of the entry that is the first to answer."""
        asked: set[asyncio.Task] = set()
        found = None
        for holder in self._holders(key):
            asked.add(asyncio.ensure_future(self._digests_of(key, holder)))
            found = await _first_result(asked, NEXT_HOLDER_DELAY_S)
            if found is not None:
                break
        while asked and found is None:
            found = await _first_result(asked, None)
        for task in asked:
            task.cancel()
        return found

    async def _digests_of(
        self, key: piece_placement.PieceKey, holder: entry_directory.EntryRecord
    ) -> tuple[str, ...] | None:
        try:
            return await piece_cache.fetch_digests(self._pool, holder.control, key)
        except piece_cache.PieceError as error:
            self._note_failure(key, holder, error)
            return None

    def _holders(
        self, key: piece_placement.PieceKey
    ) -> list[entry_directory.EntryRecord]:
        now_s = self._now_s()
        silent = frozenset(
            name for name, until_s in self._silent_until_s.items() if now_s < until_s
        )
        return piece_placement.rank_holders(key, self._entries(), self._region, silent)

    async def _check_staged(self, effect: staging_events.CheckStagedPieces) -> None:
        try:
            await self._hand_over(effect.version)
            good = await self._right_numbers(effect.digests)
        except engine_control.EngineError as error:
            logs.write("check_failed", version=effect.version, why=str(error))
            self._fail(effect.version)
            return
        logs.write("staged_checked", version=effect.version, good=len(good))
        checked = staging_events.StagedPiecesChecked(effect.version, good)
        self._carry_out(self._stager.on_staged_checked(checked, self._now_s()))

    async def _hand_over(self, version: int) -> None:
        """Give the engine what was collected of a version."""
        for key in [key for key in self._collected if key.version == version]:
            piece = self._collected.get(key)
            if piece is None:
                # Another hand-over was faster.
                continue
            await self._engine.put_piece(self._model, key.number, piece)
            metric_buffer.count("pieces_staged")
            self._collected.pop(key, None)

    async def _hand_over_collected(self, version: int) -> None:
        try:
            await self._hand_over(version)
        except engine_control.EngineError as error:
            # They stay in memory, and are handed over again before the order.
            logs.write("stage_failed", version=version, why=str(error))

    async def _right_numbers(self, digests: tuple[str, ...]) -> frozenset[int]:
        """Return which of the staged pieces are as they should be."""
        good = set()
        for number in await self._engine.list_pieces(self._model):
            if number >= len(digests):
                continue
            piece = await self._engine.get_piece(self._model, number)
            if piece is not None and piece_cache.has_digest(piece, digests[number]):
                good.add(number)
        return frozenset(good)

    async def _collect_piece(self, effect: staging_events.CollectPiece) -> None:
        key = piece_placement.PieceKey(self._model, effect.version, effect.number)
        for holder in self._holders(key)[:MAX_HOLDER_ATTEMPTS]:
            if self._is_given_up(effect.version):
                return
            try:
                piece = await piece_cache.fetch_piece(self._pool, holder.control, key)
            except piece_cache.PieceError as error:
                self._note_failure(key, holder, error)
                continue
            if not piece_cache.has_digest(piece, effect.digest):
                logs.write("piece_spoilt", piece=key.text, source=holder.name)
                continue
            self._collected[key] = piece
            if effect.version == self._stager.target.version:
                # What lies with the engine outlives this process.
                await self._hand_over_collected(effect.version)
            collected = staging_events.PieceCollected(effect.version, effect.number)
            self._carry_out(self._stager.on_piece_collected(collected, self._now_s()))
            return
        self._fail(effect.version, effect.number)

    def _is_given_up(self, version: int) -> bool:
        wanted = [self._stager.target, self._stager.next_target]
        return all(t is None or t.version != version for t in wanted)

    async def _give_order(self, effect: staging_events.SendOrder) -> None:
        try:
            accepted = await self._engine.send_order(self._model, effect)
        except engine_control.EngineError as error:
            # It may have been taken; the engine's report will show.
            logs.write("order_unanswered", version=effect.version, why=str(error))
            return
        logs.write(
            "order_answered",
            version=effect.version,
            accepted=accepted,
            mode=effect.mode.value,
            expected_orders=effect.expected_orders,
        )
        answered = staging_events.OrderAnswered(accepted)
        self._carry_out(self._stager.on_order_answered(answered, self._now_s()))

    def _fail(self, version: int, number: int | None = None) -> None:
        failed = staging_events.EffectFailed(version, number)
        self._carry_out(self._stager.on_effect_failed(failed, self._now_s()))
        if number is None:
            self._pool.reactor.callLater(staging.MANIFEST_RETRY_DELAY_S, self._tick)

    def _note_failure(
        self,
        key: piece_placement.PieceKey,
        holder: entry_directory.EntryRecord,
        error: Exception,
    ) -> None:
        if isinstance(error, piece_cache.UnreachableError):
            self._silent_until_s[holder.name] = self._now_s() + UNREACHABLE_BACKOFF_S
        logs.write("holder_failed", piece=key.text, holder=holder.name, why=str(error))


async def _first_result(
    tasks: set[asyncio.Task], timeout_s: float | None
) -> tuple[str, ...] | None:
    """Return the first result that is not None; tasks that ended are removed."""
    done, _ = await asyncio.wait(
        tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
    )
    tasks -= done
    results = [task.result() for task in done]
    return next((result for result in results if result is not None), None)
