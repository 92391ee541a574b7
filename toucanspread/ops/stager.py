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
from toucanspread.core.entry import members
from toucanspread.core.weights import sources, staging
from toucanspread.ops import engine_control, http1_pool, logs, loop, pieces, tallies

REPORT_INTERVAL_S = 0.2  # a request's first event takes about as long
QUIET_LOAD_INTERVAL_S = 0.8  # an unchanged load is repeated within its usable age


class LoadSender(protocol.DatagramProtocol):
    """Sends load reports to the entries."""

    def __init__(self, entries: Callable[[], list[members.EntryRecord]], reactor):
        self._entries = entries
        self._reactor = reactor
        self._last: entry_data.EngineLoad | None = None
        self._last_s = float("-inf")

    def send(self, load: entry_data.EngineLoad) -> None:
        """Send a report, unless the entries know it already."""
        now_s = self._reactor.seconds()
        if load == self._last and now_s - self._last_s < QUIET_LOAD_INTERVAL_S:
            return
        self._last = load
        self._last_s = now_s
        payload = msgspec.msgpack.encode(load)
        for entry in self._entries():
            host, _, port = entry.reports.rpartition(":")
            self.transport.write(payload, (host, int(port)))


class LocalWeights:
    """Drives the stager of the engine beside this process.

    :param address: of the engine.
    :param entries: returns the entries that are there.
    """

    def __init__(
        self,
        stager: staging.Stager,
        engine: engine_control.EngineControl,
        address: data.Address,
        pool: http1_pool.Pool,
        entries: Callable[[], list[members.EntryRecord]],
        region: str,
        sender: LoadSender,
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
        self._step = stager.step
        self._handlers = {
            staging.ReadManifest: self._read_manifest,
            staging.CheckStaged: self._check_staged,
            staging.FetchPiece: self._fetch_piece,
            staging.GiveOrder: self._give_order,
        }

    async def run(self) -> None:
        """Follow the engine until cancelled."""
        while True:
            await self._read_report()
            self._carry_out(self._stager.on_tick(self._now_s()))
            await asyncio.sleep(REPORT_INTERVAL_S)

    def want(self, version: int, order_at_s: float) -> None:
        """Turn to a version that the operator has named."""
        wanted = staging.VersionWanted(version)
        self._carry_out(self._stager.on_wanted(wanted, self._now_s(), order_at_s))

    def _now_s(self) -> float:
        return self._pool.reactor.seconds()

    async def _read_report(self) -> None:
        try:
            report = await self._engine.report()
        except engine_control.EngineError as error:
            if self._reached:
                logs.write("engine_lost", why=str(error))
            self._reached = False
            return
        if not self._reached:
            logs.write("engine_regained", born_ms=report.born_ms)
        self._reached = True
        version = entry_data.version_of(report.loaded, self._stager.profile)
        self._sender.send(
            entry_data.EngineLoad(
                self._address,
                report.born_ms,
                report.active,
                report.queued,
                version,
                report.is_busy,
                report.pace,
            )
        )
        event = staging.ReportRead(
            version, report.is_busy, report.orders, report.born_ms
        )
        self._carry_out(self._stager.on_report(event, self._now_s()))

    def _carry_out(self, effects: list[data.Effect]) -> None:
        if self._stager.step is not self._step:
            self._step = self._stager.step
            logs.write(
                "staging_step", step=self._step.value, version=self._stager.wanted
            )
        for effect in effects:
            loop.spawn(self._handlers[type(effect)](effect))

    async def _read_manifest(self, effect: staging.ReadManifest) -> None:
        key = sources.PieceKey(self._model, effect.version, sources.MANIFEST)
        for holder in sources.holders(key, self._entries(), self._region):
            try:
                digests = await pieces.fetch_digests(self._pool, holder.control, key)
            except pieces.PieceError as error:
                self._log_holder(key, holder, error)
                continue
            read = staging.ManifestRead(effect.version, digests)
            self._carry_out(self._stager.on_manifest(read, self._now_s()))
            return
        self._fail(effect.version)

    async def _check_staged(self, effect: staging.CheckStaged) -> None:
        good = set()
        try:
            for number in await self._engine.held(self._model):
                if number >= len(effect.digests):
                    continue
                piece = await self._engine.staged(self._model, number)
                if piece is None:
                    continue
                if pieces.is_right(piece, effect.digests[number]):
                    good.add(number)
        except engine_control.EngineError as error:
            logs.write("check_failed", version=effect.version, why=str(error))
            self._fail(effect.version)
            return
        checked = staging.StagedChecked(effect.version, frozenset(good))
        logs.write("staged_checked", version=effect.version, good=len(good))
        self._carry_out(self._stager.on_checked(checked, self._now_s()))

    async def _fetch_piece(self, effect: staging.FetchPiece) -> None:
        key = sources.PieceKey(self._model, effect.version, effect.number)
        for holder in sources.holders(key, self._entries(), self._region):
            if self._stager.wanted != effect.version:
                return
            try:
                piece = await pieces.fetch_piece(self._pool, holder.control, key)
            except pieces.PieceError as error:
                self._log_holder(key, holder, error)
                continue
            if not pieces.is_right(piece, effect.digest):
                logs.write("piece_spoilt", piece=key.text, source=holder.name)
                continue
            await self._stage(effect, piece)
            return
        self._fail(effect.version, effect.number)

    async def _stage(self, effect: staging.FetchPiece, piece: bytes) -> None:
        if self._stager.wanted != effect.version:
            return
        try:
            await self._engine.stage(self._model, effect.number, piece)
        except engine_control.EngineError as error:
            logs.write("stage_failed", number=effect.number, why=str(error))
            self._fail(effect.version, effect.number)
            return
        tallies.count("pieces_staged")
        staged = staging.PieceStaged(effect.version, effect.number)
        self._carry_out(self._stager.on_staged(staged, self._now_s()))

    async def _give_order(self, effect: staging.GiveOrder) -> None:
        try:
            accepted = await self._engine.order(self._model, effect)
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
        answered = staging.OrderAnswered(accepted)
        self._carry_out(self._stager.on_order_answered(answered, self._now_s()))

    def _fail(self, version: int, number: int | None = None) -> None:
        failed = staging.WishFailed(version, number)
        self._carry_out(self._stager.on_failed(failed, self._now_s()))

    def _log_holder(
        self, key: sources.PieceKey, holder: members.EntryRecord, error: Exception
    ) -> None:
        logs.write("holder_failed", piece=key.text, holder=holder.name, why=str(error))
