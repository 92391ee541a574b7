"""Keeps a process's copy of the store up to date, from the store or from peers.

Whom to ask is decided by :mod:`toucanspread.core.view.source_selection`.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from toucanspread.core import data
from toucanspread.core.view import outage, source_selection, store_view
from toucanspread.ops import (
    http1,
    http1_pool,
    http1_server,
    logs,
    metric_buffer,
    prefix_store,
)

EXCERPT_TARGET = "/excerpt"
FIRST_COPY_EXTRA_TIMEOUT_S = 2.0
EMPTY_VIEW_WAIT_S = 0.8  # one that starts has its copy within this, or is asked in vain
MAX_RETRY_WAIT_S = 0.6

_excerpts = msgspec.msgpack.Decoder(store_view.Excerpt)


class ExcerptError(Exception):
    """Another process did not hand its copy on."""


class PeerDiscovery(NamedTuple):
    """How a process that has just started learns whom it can ask.

    All processes may start at once. If each read everything from the store, the links
    between regions would be full for a second, and the store out of reach behind them.

    :param prefix: of the records of those that can be asked, a small part of the store.
    :param take: told of the records.
    """

    prefix: str
    on_records: Callable[[list[store_view.KeyChange]], None]


class ViewSynchronizer:
    """Follows the store under some prefixes.

    :param may_lead: whether this process may be the one of its zone that asks the
        store; others ask it when nobody else answers.
    :param on_changes: told of what is new, and whether the store was away before.
    """

    def __init__(
        self,
        view: store_view.View,
        store: prefix_store.PrefixStore,
        pool: http1_pool.ConnectionPool,
        chooser: source_selection.SourceSelector,
        prefixes: tuple[str, ...],
        peers: Callable[[], list[source_selection.Peer]],
        seeds: Callable[[], list[data.Address]],
        on_changes: Callable[[list[store_view.KeyChange]], None],
        introduction: PeerDiscovery | None = None,
    ):
        self.view = view
        self._introduction = introduction
        self.store_failed_s = float("-inf")
        self.previous_confirmed_s = float("-inf")
        self._outage = outage.OutageTracker(chooser.zone)
        self._store = store
        self._pool = pool
        self._chooser = chooser
        self._prefixes = prefixes
        self._peers = peers
        self._seeds = seeds
        self._on_changes = on_changes
        self._whole_wanted = False

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self.sync_once()

    @property
    def outage_until_s(self) -> float:
        """Return until when the store was known to be away for everybody."""
        return self._outage.outage_until_s(peer.zone for peer in self._peers())

    async def sync_once(self) -> None:
        """Ask the next source once, or pause when all have failed or are doubted."""
        if self._introduction is not None:
            await self._introduce()
        now_s = self._pool.reactor.seconds()
        self.previous_confirmed_s = self.view.confirmed_s
        source = self._chooser.select_source(self._peers(), self._seeds(), now_s)
        if source is None:
            await asyncio.sleep(source_selection.RETRY_DELAY_S)
            return
        await self._ask(source)

    async def _introduce(self) -> None:
        """Read who is there, once; without it, the store is asked for everything."""
        introduction, self._introduction = self._introduction, None
        try:
            found = await self._store.read_all(introduction.prefix)
        except prefix_store.StoreError as error:
            logs.write("introduction_failed", why=str(error))
            return
        introduction.on_records(found.changes)

    async def _ask(self, source: source_selection.Source) -> None:
        try:
            if source.kind is source_selection.SourceKind.STORE:
                await self._ask_store()
            else:
                await self._ask_peer(source)
        except (prefix_store.StoreError, ExcerptError) as error:
            self._note_failure(source, error)
            await asyncio.sleep(0)
            return
        now_s = self._pool.reactor.seconds()
        if self._chooser.record_answer(source, self.view.age_s(now_s), now_s):
            logs.write("source_regained", source=source.kind.value, at=source.address)

    def _note_failure(self, source: source_selection.Source, error: Exception) -> None:
        now_s = self._pool.reactor.seconds()
        if source.kind is source_selection.SourceKind.STORE:
            self.store_failed_s = now_s
        metric_buffer.count("source_failures", source=source.kind.value)
        if self._chooser.record_failure(source, now_s):
            logs.write(
                "source_lost",
                source=source.kind.value,
                at=source.address,
                why=str(error),
                age_s=self.view.age_s(now_s),
                revision=self.view.revision,
            )

    async def _ask_store(self) -> None:
        if self.view.is_empty or self._whole_wanted:
            await self._read_all()
            return
        # Several prefixes share one watch of everything: one call, not one for each.
        prefix = self._prefixes[0] if len(self._prefixes) == 1 else ""
        try:
            found = await self._store.watch(
                prefix, self.view.revision, source_selection.STORE_WAIT_S
            )
        except prefix_store.HistoryGoneError:
            logs.write("history_gone", revision=self.view.revision)
            self._whole_wanted = True
            await self._read_all()
            return
        now_s = self._pool.reactor.seconds()
        wanted = [c for c in found.changes if c.key.startswith(self._prefixes)]
        self._publish(self.view.apply(wanted, found.revision, now_s))
        if found.changes:
            await asyncio.sleep(source_selection.BATCH_DELAY_S)

    async def _read_all(self) -> None:
        asked_s = self._pool.reactor.seconds()
        prefix = self._prefixes[0] if len(self._prefixes) == 1 else ""
        found = await self._store.read_all(prefix)
        self._whole_wanted = False
        wanted = [c for c in found.changes if c.key.startswith(self._prefixes)]
        self._publish(self.view.replace(wanted, found.revision, asked_s))

    async def _ask_peer(self, source: source_selection.Source) -> None:
        age_s = self.view.age_s(self._pool.reactor.seconds())
        # An old copy wants a newer one, not the next change of another old one.
        wait_s = self._chooser.wait_s(source, age_s)
        timeout_s = wait_s + source_selection.ANSWER_GRACE_S
        if self.view.is_empty:
            timeout_s += FIRST_COPY_EXTRA_TIMEOUT_S
        excerpt = await fetch_excerpt(
            self._pool,
            source.address,
            ExcerptRequest(self.view.revision, self._prefixes, wait_s),
            timeout_s,
        )
        now_s = self._pool.reactor.seconds()
        confirmed_s = now_s - excerpt.age_s
        for peer in self._peers():
            if peer.address == source.address:
                self._outage.record_answer(peer.zone, excerpt.age_s, now_s)
        if excerpt.is_whole:
            new = self.view.replace(excerpt.changes, excerpt.revision, confirmed_s)
        else:
            new = self.view.apply(excerpt.changes, excerpt.revision, confirmed_s)
        self._publish(new)

    def _publish(self, new: list[store_view.KeyChange]) -> None:
        if new:
            self._on_changes(new)


class ExcerptRequest(NamedTuple):
    """What is asked of a peer's copy.

    :param after: the revision up to which everything is known.
    :param wait_s: how long the peer may wait for something new.
    """

    after: int
    prefixes: tuple[str, ...]
    wait_s: float = 0.0


async def fetch_excerpt(
    pool: http1_pool.ConnectionPool,
    address: data.Address,
    wanted: ExcerptRequest,
    timeout_s: float,
) -> store_view.Excerpt:
    """Return a part of another process's copy.

    :raises PeerError: when it does not hand it on.
    """
    query = f"after={wanted.after}&wait_ms={int(wanted.wait_s * 1000)}"
    query += f"&prefixes={','.join(wanted.prefixes)}"
    head = http1.RequestHead(b"GET", f"{EXCERPT_TARGET}?{query}".encode(), [])
    try:
        reply = await pool.call(address, head, timeout_s=timeout_s)
    except http1_pool.CallError as error:
        raise ExcerptError(str(error)) from error
    if reply.status != 200:
        raise ExcerptError(f"{address} answered {reply.status}")
    try:
        return _excerpts.decode(reply.body)
    except msgspec.MsgspecError as error:
        raise ExcerptError(f"{address}: malformed excerpt: {error}") from error


class ExcerptServer:
    """Hands this process's copy on to others that wait for what is new."""

    def __init__(self, view: store_view.View, reactor):
        self._view = view
        self._reactor = reactor
        self._waiting: dict[http1_server.Exchange, _WaitingRequest] = {}

    def on_request(
        self, exchange: http1_server.Exchange, after: int, wait_s: float, prefixes: str
    ) -> None:
        """Answer at once when something is new, else when it is or time is over."""
        wanted = _WaitingRequest(after, tuple(prefixes.split(",")))
        if self._view.is_empty:
            wait_s = max(wait_s, EMPTY_VIEW_WAIT_S)
        elif after < self._view.revision or wait_s <= 0:
            excerpt = self._excerpt(wanted)
            if excerpt.is_whole or excerpt.changes:
                exchange.respond(200, body=msgspec.msgpack.encode(excerpt))
                return
        wanted.timer = self._reactor.callLater(wait_s, self._answer, exchange)
        exchange.on_disconnected = lambda: self._forget(exchange)
        self._waiting[exchange] = wanted

    def notify_waiters(self) -> None:
        """Answer those for whom something is new."""
        for exchange, wanted in list(self._waiting.items()):
            if self._excerpt(wanted).changes:
                self._answer(exchange)

    def _answer(self, exchange: http1_server.Exchange) -> None:
        wanted = self._forget(exchange)
        if wanted is None:
            return
        if self._view.is_empty:
            exchange.respond(503)
            return
        excerpt = self._excerpt(wanted)
        exchange.respond(200, body=msgspec.msgpack.encode(excerpt))

    def _forget(self, exchange: http1_server.Exchange) -> "_WaitingRequest | None":
        wanted = self._waiting.pop(exchange, None)
        if wanted is not None and wanted.timer.active():
            wanted.timer.cancel()
        return wanted

    def _excerpt(self, wanted: "_WaitingRequest") -> store_view.Excerpt:
        now_s = self._reactor.seconds()
        return self._view.make_excerpt(wanted.after, wanted.prefixes, now_s)


class _WaitingRequest:
    """What a waiting process wants to hear of."""

    def __init__(self, after: int, prefixes: tuple[str, ...]):
        self.after = after
        self.prefixes = prefixes
        self.timer = None
