"""Synchronizes a process's copy of the store with the store or with a peer's copy.

:mod:`toucanspread.core.view.source_selection` selects the source of each request.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from toucanspread.core import data
from toucanspread.core.view import (
    outage,
    source_selection,
    store_position,
    store_view,
)
from toucanspread.ops import (
    excerpt_codec,
    http1,
    http1_pool,
    http1_server,
    logs,
    metric_buffer,
    prefix_store,
)

EXCERPT_TARGET = "/excerpt"
FIRST_COPY_EXTRA_TIMEOUT_S = 2.0  # the first answer contains the whole copy
EMPTY_VIEW_WAIT_S = 0.8  # a starting process answers 503 if it has no copy by then


class ExcerptError(Exception):
    """A peer returned no usable excerpt of its copy."""


class PeerDiscovery(NamedTuple):
    """How a process that has just started learns the addresses of its peers.

    All processes may start at once. If each of them read everything from the store, the
    links between regions would be saturated for a second and the store unreachable.

    :param prefix: key prefix of the peers' records, a small part of the store.
    :param on_records: called with the records.
    """

    prefix: str
    on_records: Callable[[list[store_view.KeyChange]], None]


class ViewSynchronizer:
    """Keeps the view up to date with the keys below some prefixes of the store.

    :param peers: returns the peers that serve their copy.
    :param seeds: returns addresses of peers that the settings name.
    :param on_changes: called with the changes that are new to the view.
    :param needs_all_keys: whether the prefixes are all there is in the store, so that
        one watch of all keys serves them. Otherwise the items below each prefix are
        read again when the store is asked, and no other value is received.
    :ivar store_failed_s: time of the last failed call on the store, or at which it was
        found to have returned from an older copy.
    :ivar previous_confirmed_s: time up to which the view was known to be current
        before the latest call.
    """

    def __init__(
        self,
        view: store_view.View,
        store: prefix_store.PrefixStore,
        pool: http1_pool.ConnectionPool,
        selector: source_selection.SourceSelector,
        prefixes: tuple[str, ...],
        peers: Callable[[], list[source_selection.Peer]],
        seeds: Callable[[], list[data.Address]],
        on_changes: Callable[[list[store_view.KeyChange]], None],
        peer_discovery: PeerDiscovery | None = None,
        needs_all_keys: bool = True,
    ):
        self.view = view
        self._peer_discovery = peer_discovery
        self.store_failed_s = float("-inf")
        self.previous_confirmed_s = float("-inf")
        self._outage_tracker = outage.OutageTracker(selector.zone)
        self._store = store
        self._pool = pool
        self._selector = selector
        self._prefixes = prefixes
        self._store_prefixes = prefixes
        if needs_all_keys and len(prefixes) > 1:
            self._store_prefixes = ("",)
        self._peers = peers
        self._seeds = seeds
        self._on_changes = on_changes
        self._must_read_all = False
        self._needs_whole_excerpt = False
        self._undelivered: list[store_view.KeyChange] = []

    async def run(self) -> None:
        """Synchronize until cancelled.

        After an unexpected exception, all items are read and passed on again, since it
        is unknown which changes took effect.
        """
        try:
            while True:
                await self.sync_once()
        except Exception:
            self._must_read_all = True
            changes = self._undelivered + self.view.list_as_changes()
            newest = {change.key: change for change in changes}
            self._undelivered = list(newest.values())
            raise

    @property
    def outage_until_s(self) -> float:
        """Return the time until which the store was unavailable to all zones."""
        return self._outage_tracker.outage_until_s(peer.zone for peer in self._peers())

    async def sync_once(self) -> None:
        """Request an update from one source, or pause when no source is eligible."""
        if self._peer_discovery is not None:
            await self._discover_peers()
        self._deliver()
        now_s = self._pool.reactor.seconds()
        self.previous_confirmed_s = self.view.confirmed_s
        source = self._selector.select_source(self._peers(), self._seeds(), now_s)
        if source is None:
            await asyncio.sleep(source_selection.RETRY_DELAY_S)
            return
        await self._sync_from(source)

    async def _discover_peers(self) -> None:
        """Read the peers' records once; without them, the whole store is read."""
        discovery, self._peer_discovery = self._peer_discovery, None
        try:
            records = await self._store.read_all(discovery.prefix)
        except prefix_store.StoreError as error:
            logs.write("introduction_failed", why=str(error))
            return
        discovery.on_records(records.changes)

    async def _sync_from(self, source: source_selection.Source) -> None:
        try:
            if source.kind is source_selection.SourceKind.STORE:
                await self._sync_from_store()
            else:
                await self._sync_from_peer(source)
        except (prefix_store.StoreError, ExcerptError) as error:
            self._record_failure(source, error)
            await asyncio.sleep(0)
            return
        now_s = self._pool.reactor.seconds()
        if self._selector.record_answer(source, self.view.age_s(now_s), now_s):
            logs.write("source_regained", source=source.kind.value, at=source.address)
        if source == source_selection.STORE and not self._can_watch:
            await asyncio.sleep(source_selection.STORE_READ_INTERVAL_S)

    def _record_failure(
        self, source: source_selection.Source, error: Exception
    ) -> None:
        now_s = self._pool.reactor.seconds()
        if source.kind is source_selection.SourceKind.STORE:
            self.store_failed_s = now_s
        metric_buffer.count("source_failures", source=source.kind.value)
        if self._selector.record_failure(source, now_s):
            logs.write(
                "source_lost",
                source=source.kind.value,
                at=source.address,
                why=str(error),
                age_s=self.view.age_s(now_s),
                revision=self.view.revision,
            )

    @property
    def _can_watch(self) -> bool:
        """Return whether one watch covers all that this process needs of the store."""
        return len(self._store_prefixes) == 1

    async def _sync_from_store(self) -> None:
        is_later_era = self._store.era > self.view.position.era
        if self.view.is_empty or self._must_read_all or is_later_era:
            await self._read_all()
            return
        if not self._can_watch:
            await self._read_all()
            return
        age_s = self.view.age_s(self._pool.reactor.seconds())
        # Followers of this process need to know soon whether the store serves it.
        wait_s = self._selector.wait_s(source_selection.STORE, age_s)
        try:
            answer = await self._store.watch(
                self._store_prefixes[0], self.view.revision, wait_s
            )
        except prefix_store.HistoryGoneError:
            logs.write("history_gone", revision=self.view.revision)
            self._must_read_all = True
            await self._read_all()
            return
        except (prefix_store.SlowAnswerError, prefix_store.LargeAnswerError):
            # The answer has all versions of each value; all items may be much less.
            self._must_read_all = True
            raise
        if answer.era > self.view.position.era:
            # The revision may stand for another change than the one that the copy has.
            await self._read_all()
            return
        now_s = self._pool.reactor.seconds()
        changes = [c for c in answer.changes if c.key.startswith(self._prefixes)]
        self._notify_changes(self.view.apply(changes, answer.revision, now_s))
        if answer.changes:
            await asyncio.sleep(source_selection.BATCH_DELAY_S)

    async def _read_all(self) -> None:
        requested_s = self._pool.reactor.seconds()
        answers = [await self._store.read_all(p) for p in self._store_prefixes]
        self._must_read_all = False
        changes = [
            change
            for answer in answers
            for change in answer.changes
            if change.key.startswith(self._prefixes)
        ]
        # What has changed between the reads is part of the next update.
        revision = min(answer.revision for answer in answers)
        kept_keys = frozenset().union(*(a.unreadable_keys for a in answers))
        era = answers[0].era
        if any(answer.era != era for answer in answers):
            raise prefix_store.StoreError("a new era began between two reads")
        self._replace_copy(changes, revision, requested_s, kept_keys, era)

    def _replace_copy(
        self,
        items: Iterable[store_view.KeyChange],
        revision: int,
        confirmed_s: float,
        kept_keys: frozenset[str],
        era: int,
    ) -> None:
        """Replace the copy, and log the beginning of another era of the store."""
        before = self.view.position
        changes = self.view.replace(items, revision, confirmed_s, kept_keys, era)
        if before.era not in (store_position.UNKNOWN_ERA, self.view.position.era):
            # What is missing now may be written again, as after an outage.
            self.store_failed_s = self._pool.reactor.seconds()
            logs.write(
                "store_returned",
                era_before=before.era,
                revision_before=before.revision,
                era=era,
                revision=revision,
                changed=sum(change.value is not None for change in changes),
                removed=sum(change.value is None for change in changes),
            )
        self._notify_changes(changes)

    async def _sync_from_peer(self, source: source_selection.Source) -> None:
        age_s = self.view.age_s(self._pool.reactor.seconds())
        # A process with a stale copy needs the peer's copy at once. It must not wait
        # for the peer's next change, since the peer may be stale as well.
        wait_s = self._selector.wait_s(source, age_s)
        timeout_s = wait_s + source_selection.ANSWER_GRACE_S
        if self.view.is_empty:
            timeout_s += FIRST_COPY_EXTRA_TIMEOUT_S
        excerpt = await fetch_excerpt(
            self._pool,
            source.address,
            ExcerptRequest(
                0 if self._needs_whole_excerpt else self.view.revision,
                self._prefixes,
                wait_s,
                self.view.position.era,
            ),
            timeout_s,
        )
        self._check_era(excerpt)
        now_s = self._pool.reactor.seconds()
        confirmed_s = now_s - excerpt.age_s
        for peer in self._peers():
            if peer.address == source.address:
                self._outage_tracker.record_answer(peer.zone, excerpt.age_s, now_s)
        if excerpt.is_whole:
            self._needs_whole_excerpt = False
            self._replace_copy(
                excerpt.changes,
                excerpt.revision,
                confirmed_s,
                frozenset(),
                excerpt.era,
            )
            return
        self._notify_changes(
            self.view.apply(excerpt.changes, excerpt.revision, confirmed_s)
        )

    def _check_era(self, excerpt: store_view.Excerpt) -> None:
        """Check that an excerpt can be applied to the copy.

        :raises ExcerptError: when it is of an earlier era, or has only the changes of a
            later one.
        """
        own_era = self.view.position.era
        if excerpt.era in (store_position.UNKNOWN_ERA, own_era):
            return
        if excerpt.era < own_era:
            raise ExcerptError(f"copy of era {excerpt.era}, not {own_era}")
        if not excerpt.is_whole:
            self._needs_whole_excerpt = True
            raise ExcerptError(f"changes of era {excerpt.era} for one of {own_era}")

    def _notify_changes(self, changes: list[store_view.KeyChange]) -> None:
        self._undelivered += changes
        self._deliver()

    def _deliver(self) -> None:
        """Pass on the changes that the copy has taken in, until that has succeeded."""
        if self._undelivered:
            self._on_changes(self._undelivered)
            self._undelivered = []


def apply_each(
    changes: list[store_view.KeyChange],
    apply_one: Callable[[store_view.KeyChange], None],
) -> None:
    """Apply changes one after the other; one that cannot be applied is logged."""
    for change in changes:
        try:
            apply_one(change)
        except Exception as error:
            metric_buffer.count("changes_failed")
            logs.write(
                "change_failed",
                key=change.key,
                revision=change.revision,
                kind=type(error).__name__,
                why=str(error),
            )


class ExcerptRequest(NamedTuple):
    """A request for the part of a peer's copy that is new.

    :param after: revision of the requester's own copy.
    :param prefixes: key prefixes to return.
    :param wait_s: how long the peer may wait for a change.
    :param era: era of the store that the requester's copy is of.
    """

    after: int
    prefixes: tuple[str, ...]
    wait_s: float = 0.0
    era: int = store_position.UNKNOWN_ERA


async def fetch_excerpt(
    pool: http1_pool.ConnectionPool,
    address: data.Address,
    request: ExcerptRequest,
    timeout_s: float,
) -> store_view.Excerpt:
    """Return the requested part of another process's copy.

    :raises ExcerptError: when that process returns no usable excerpt.
    """
    query = f"after={request.after}&wait_ms={int(request.wait_s * 1000)}"
    query += f"&prefixes={','.join(request.prefixes)}&compressed=1"
    query += f"&era={request.era}"
    head = http1.RequestHead(b"GET", f"{EXCERPT_TARGET}?{query}".encode(), [])
    try:
        reply = await pool.call(
            address,
            head,
            timeout_s=timeout_s,
            stall_timeout_s=source_selection.ANSWER_GRACE_S,
            max_body_bytes=excerpt_codec.MAX_ENCODED_BYTES,
        )
    except http1_pool.CallError as error:
        raise ExcerptError(str(error)) from error
    if reply.status != 200:
        raise ExcerptError(f"{address} answered with status {reply.status}")
    try:
        return excerpt_codec.decode_excerpt(reply.body)
    except excerpt_codec.ExcerptDecodeError as error:
        raise ExcerptError(f"{address}: malformed excerpt: {error}") from error


class ExcerptServer:
    """Serves excerpts of this process's copy to peers, by long polling."""

    def __init__(self, view: store_view.View, reactor):
        self._view = view
        self._reactor = reactor
        self._encoder = excerpt_codec.ExcerptEncoder()
        self._waiting: dict[http1_server.Exchange, _WaitingRequest] = {}

    def on_request(
        self,
        exchange: http1_server.Exchange,
        request: ExcerptRequest,
        can_decompress: bool = False,
    ) -> None:
        """Answer now if there is a change, else on a change or after the wait.

        :param can_decompress: whether the peer accepts compressed changes.
        """
        waiting = _WaitingRequest(request, can_decompress)
        wait_s = request.wait_s
        if self._view.is_empty:
            wait_s = max(wait_s, EMPTY_VIEW_WAIT_S)
        elif self._is_behind(request) or wait_s <= 0:
            excerpt = self._make_excerpt(waiting)
            if excerpt.is_whole or excerpt.changes:
                self._send(exchange, waiting, excerpt)
                return
        waiting.timer = self._reactor.callLater(wait_s, self._answer, exchange)
        exchange.on_disconnected = lambda: self._remove_waiting(exchange)
        self._waiting[exchange] = waiting

    def _is_behind(self, request: ExcerptRequest) -> bool:
        era = request.era or self._view.position.era
        return store_position.StorePosition(era, request.after) < self._view.position

    def notify_waiters(self) -> None:
        """Answer the waiting requests that a change concerns."""
        for exchange, waiting in list(self._waiting.items()):
            excerpt = self._make_excerpt(waiting)
            if excerpt.changes:
                self._remove_waiting(exchange)
                self._send(exchange, waiting, excerpt)

    def _answer(self, exchange: http1_server.Exchange) -> None:
        waiting = self._remove_waiting(exchange)
        if waiting is None:
            return
        if self._view.is_empty:
            exchange.respond(503)
            return
        self._send(exchange, waiting, self._make_excerpt(waiting))

    def _remove_waiting(
        self, exchange: http1_server.Exchange
    ) -> "_WaitingRequest | None":
        waiting = self._waiting.pop(exchange, None)
        if waiting is not None and waiting.timer.active():
            waiting.timer.cancel()
        return waiting

    def _make_excerpt(self, waiting: "_WaitingRequest") -> store_view.Excerpt:
        now_s = self._reactor.seconds()
        request = waiting.request
        return self._view.make_excerpt(
            request.after, request.prefixes, now_s, request.era
        )

    def _send(
        self,
        exchange: http1_server.Exchange,
        waiting: "_WaitingRequest",
        excerpt: store_view.Excerpt,
    ) -> None:
        body = self._encoder.encode(excerpt, waiting.can_decompress)
        metric_buffer.count("excerpts_sent", whole=str(excerpt.is_whole).lower())
        metric_buffer.count("excerpt_bytes_sent", len(body))
        exchange.respond(200, body=body)


class _WaitingRequest:
    """An unanswered request with the timer that ends its wait."""

    def __init__(self, request: ExcerptRequest, can_decompress: bool):
        self.request = request
        self.can_decompress = can_decompress
        self.timer = None
