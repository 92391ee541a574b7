"""Executes the effects of :mod:`toucanspread.core.weights.staging` for one engine.

The driver also has the engine's load sent to the entries: it reads the report anyway.
"""

import asyncio
import math
from collections.abc import Callable

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import entry_directory
from toucanspread.core.weights import (
    piece_placement,
    staging,
    staging_events,
    switch_turns,
)
from toucanspread.ops import load_reports, loop
from toucanspread.ops.http import http1_pool
from toucanspread.ops.pieces import engine_control, piece_cache, piece_holders
from toucanspread.ops.telemetry import logs, metric_buffer

MAX_PENDING_MANIFEST_REQUESTS = 8  # more would load entries that are slow already
# A manifest is small, so the next holder is asked before the first one times out.
NEXT_HOLDER_DELAY_S = 0.1
REPORT_INTERVAL_S = 0.2  # about the time to a request's first event
# Each change of the number of thresholds that the delay of the link exceeds is logged.
LOGGED_LINK_DELAYS_S = (0.3, 0.6)
LINK_DELAY_STEP_S = 0.1


class StagingDriver:
    """Feeds the stager of the local engine with events and executes its effects.

    :param address: address of the engine.
    :param entries: returns the entries that can serve pieces.
    :param region: region of the engine.
    :param get_exchange_delay_s: returns for how long a recent exchange of this process
        with an entry was on its way, both directions together.
    :param part_bytes: size of the parts in which pieces are fetched.
    """

    def __init__(
        self,
        stager: staging.Stager,
        engine: engine_control.EngineControl,
        address: data.Address,
        pool: http1_pool.ConnectionPool,
        entries: Callable[[], list[entry_directory.EntryRecord]],
        region: str,
        sender: load_reports.LoadReportSender,
        get_exchange_delay_s: Callable[[], float],
        part_bytes: int,
    ):
        self._stager = stager
        self._get_exchange_delay_s = get_exchange_delay_s
        self._engine = engine
        self._address = address
        self._pool = pool
        self._holders = piece_holders.PieceHolders(entries, region, pool.reactor)
        self._sender = sender
        self._model = stager.profile.model
        self._max_piece_bytes = piece_cache.limit_piece_bytes(
            stager.profile.chunk_bytes
        )
        self._part_bytes = part_bytes
        self._is_engine_reachable = True
        self._logged_step = stager.target.step
        self._logged_delay_level = 0
        self._collected_pieces: dict[piece_placement.PieceKey, bytes] = {}
        self._handlers = {
            staging_events.ReadDigests: self._read_digests,
            staging_events.CheckStagedPieces: self._check_staged,
            staging_events.CollectPiece: self._collect_piece,
            staging_events.SendOrder: self._send_order,
        }

    async def run(self) -> None:
        """Poll the engine and continue the staging until cancelled."""
        while True:
            await self._read_report()
            self._tick()
            await asyncio.sleep(REPORT_INTERVAL_S)

    def request_version(self, version: int, timing: switch_turns.SwitchTiming) -> None:
        """Bring the engine to a version that the operator has named."""
        self._execute(self._stager.on_version_named(version, timing, self._now_s()))
        for key in list(self._collected_pieces):
            if self._is_superseded(key.version):
                del self._collected_pieces[key]
        self._holders.forget_versions(self._is_superseded)

    def _tick(self) -> None:
        self._execute(self._stager.on_tick(self._now_s()))

    def _now_s(self) -> float:
        return self._pool.reactor.seconds()

    async def _read_report(self) -> None:
        try:
            report = await self._engine.read_report()
        except engine_control.EngineError as error:
            if self._is_engine_reachable:
                logs.write("engine_lost", why=str(error))
            self._is_engine_reachable = False
            return
        if not self._is_engine_reachable:
            logs.write("engine_regained", born_ms=report.born_ms)
        self._is_engine_reachable = True
        link_delay_s = self._estimate_link_delay_s()
        self._log_link_delay(link_delay_s)
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
                link_delay_s,
                self._stager.coming_version,
                self._stager.estimate_load_delay_s(self._now_s()),
            )
        )
        event = staging_events.ReportRead(
            version, report.is_busy, report.orders, report.born_ms
        )
        self._execute(self._stager.on_report_read(event, self._now_s()))

    def _estimate_link_delay_s(self) -> float:
        """Return the seconds for which bytes to this instance are held on the way.

        It is rounded up, so that the load reports do not change each time.
        """
        delay_s = max(
            self._stager.estimate_link_delay_s(), self._get_exchange_delay_s()
        )
        return math.ceil(delay_s / LINK_DELAY_STEP_S) * LINK_DELAY_STEP_S

    def _log_link_delay(self, delay_s: float) -> None:
        """Log for how long other bytes are held up, if that crosses a threshold."""
        level = sum(delay_s > threshold_s for threshold_s in LOGGED_LINK_DELAYS_S)
        if level == self._logged_delay_level:
            return
        self._logged_delay_level = level
        logs.write("link_delay", delay_s=delay_s, level=level)

    def _execute(self, effects: list[data.Effect]) -> None:
        target = self._stager.target
        if target.step is not self._logged_step:
            self._logged_step = target.step
            logs.write(
                "staging_step", step=self._logged_step.value, version=target.version
            )
        for effect in effects:
            loop.spawn(self._carry_out(effect))

    async def _carry_out(self, effect: data.Effect) -> None:
        """Carry out an effect; report it as failed after an unexpected exception."""
        try:
            await self._handlers[type(effect)](effect)
        except Exception as error:
            loop.log_failure(type(effect).__name__, error)
            number = getattr(effect, "number", None)
            self._report_effect_failure(effect.version, number)

    async def _read_digests(self, effect: staging_events.ReadDigests) -> None:
        key = piece_placement.PieceKey(
            self._model, effect.version, piece_placement.MANIFEST_NUMBER
        )
        digests = await self._fetch_first_digests(key)
        if digests is None:
            self._report_effect_failure(effect.version)
            return
        event = staging_events.DigestsRead(effect.version, digests)
        self._execute(self._stager.on_digests_read(event, self._now_s()))

    async def _fetch_first_digests(
        self, key: piece_placement.PieceKey
    ) -> tuple[str, ...] | None:
        """Return the digests from the first entry that answers, or None."""
        requests: set[asyncio.Task] = set()
        try:
            for holder in self._holders.rank(key):
                requests.add(asyncio.ensure_future(self._fetch_digests(key, holder)))
                may_add = len(requests) < MAX_PENDING_MANIFEST_REQUESTS
                delay_s = NEXT_HOLDER_DELAY_S if may_add else None
                digests = await _wait_for_first_result(requests, delay_s)
                if digests is not None:
                    return digests
            while requests:
                digests = await _wait_for_first_result(requests, None)
                if digests is not None:
                    return digests
        finally:
            for task in requests:
                task.cancel()
        return None

    async def _fetch_digests(
        self, key: piece_placement.PieceKey, holder: entry_directory.EntryRecord
    ) -> tuple[str, ...] | None:
        try:
            return await piece_cache.fetch_digests(self._pool, holder.control, key)
        except piece_cache.PieceError as error:
            self._holders.record_failure(key, holder, error)
            return None

    async def _check_staged(self, effect: staging_events.CheckStagedPieces) -> None:
        try:
            await self._put_collected_pieces(effect.version)
            valid_numbers = await self._find_valid_numbers(effect.digests)
        except engine_control.EngineError as error:
            logs.write("check_failed", version=effect.version, why=str(error))
            self._report_effect_failure(effect.version)
            return
        logs.write("staged_checked", version=effect.version, good=len(valid_numbers))
        event = staging_events.StagedPiecesChecked(effect.version, valid_numbers)
        self._execute(self._stager.on_staged_checked(event, self._now_s()))

    async def _put_collected_pieces(self, version: int) -> None:
        """Put the collected pieces of a version into the engine's staging area."""
        for key in [key for key in self._collected_pieces if key.version == version]:
            piece = self._collected_pieces.get(key)
            if piece is None:
                # A concurrent call has put this piece already.
                continue
            await self._engine.put_piece(self._model, key.number, piece)
            metric_buffer.count("pieces_staged")
            self._collected_pieces.pop(key, None)

    async def _try_put_collected_pieces(self, version: int) -> None:
        try:
            await self._put_collected_pieces(version)
        except engine_control.EngineError as error:
            # The pieces stay in memory and are put again before the order.
            logs.write("stage_failed", version=version, why=str(error))

    async def _find_valid_numbers(self, digests: tuple[str, ...]) -> frozenset[int]:
        """Return the numbers of the staged pieces that match their digests."""
        valid_numbers = set()
        for number in await self._engine.list_pieces(self._model):
            if number >= len(digests):
                continue
            piece = await self._engine.get_piece(self._model, number)
            if piece is not None and piece_cache.has_digest(piece, digests[number]):
                valid_numbers.add(number)
        return frozenset(valid_numbers)

    async def _collect_piece(self, effect: staging_events.CollectPiece) -> None:
        key = piece_placement.PieceKey(self._model, effect.version, effect.number)
        started_s = self._now_s()
        for holder in self._holders.list_to_ask(key):
            if self._is_superseded(effect.version):
                return
            try:
                fetched = await piece_cache.fetch_piece_in_parts(
                    self._pool,
                    holder.control,
                    key,
                    self._max_piece_bytes,
                    self._part_bytes,
                )
            except piece_cache.PieceError as error:
                self._holders.record_failure(key, holder, error)
                if isinstance(error, piece_cache.UnreachableError):
                    continue
                # It has asked the owner of the piece, as any other holder would.
                if not isinstance(error, piece_cache.NotYetError):
                    self._holders.record_refusal(key)
                break
            piece = fetched.body
            if not piece_cache.has_digest(piece, effect.digest):
                logs.write("piece_spoilt", piece=key.text, source=holder.name)
                continue
            metric_buffer.observe("piece_transfer_s", self._now_s() - started_s)
            self._collected_pieces[key] = piece
            self._holders.record_fetched(key)
            if effect.version == self._stager.target.version:
                # Staged pieces are kept when this process ends.
                await self._try_put_collected_pieces(effect.version)
            event = staging_events.PieceCollected(
                effect.version, effect.number, fetched.longest_part_s
            )
            self._execute(self._stager.on_piece_collected(event, self._now_s()))
            return
        self._report_effect_failure(effect.version, effect.number)

    def _is_superseded(self, version: int) -> bool:
        targets = [self._stager.target, self._stager.next_target]
        return all(target is None or target.version != version for target in targets)

    async def _send_order(self, effect: staging_events.SendOrder) -> None:
        try:
            accepted = await self._engine.send_order(self._model, effect)
        except engine_control.EngineError as error:
            # The engine may have accepted it; its next report shows whether it did.
            logs.write("order_unanswered", version=effect.version, why=str(error))
            return
        logs.write(
            "order_answered",
            version=effect.version,
            accepted=accepted,
            mode=effect.mode.value,
            expected_orders=effect.expected_orders,
        )
        event = staging_events.OrderAnswered(accepted)
        self._execute(self._stager.on_order_answered(event, self._now_s()))

    def _report_effect_failure(self, version: int, number: int | None = None) -> None:
        event = staging_events.EffectFailed(version, number)
        self._execute(self._stager.on_effect_failed(event, self._now_s()))
        if number is None:
            self._pool.reactor.callLater(staging.MANIFEST_RETRY_DELAY_S, self._tick)


async def _wait_for_first_result(
    tasks: set[asyncio.Task], timeout_s: float | None
) -> tuple[str, ...] | None:
    """Return the first result that is not None; remove the tasks that are done."""
    done, _ = await asyncio.wait(
        tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
    )
    tasks -= done
    results = [task.result() for task in done]
    return next((result for result in results if result is not None), None)
