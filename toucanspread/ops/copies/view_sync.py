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
from toucanspread.ops.copies import (
    excerpt_client,
    excerpt_codec,
    excerpt_deltas,
    newer_values,
    prefix_store,
)
from toucanspread.ops.http import http1_pool
from toucanspread.ops.telemetry import logs, metric_buffer

# Several versions of a large value take more than all items with the newest one, and
# processes that ask for them at once fill the link to the store. Values are sent in
# base64, 4/3 of their size; one that has grown by a third still arrives as a change.
WATCH_SIZE_RATIO = 16 / 9
MIN_WATCH_BYTES = 65_536  # changes that are received though the copy is small
EXCHANGE_MEMORY_S = 2.0  # peers are asked more often than this
FIRST_COPY_EXTRA_TIMEOUT_S = 2.0  # the first answer contains the whole copy
MAX_EXPECTED_ANSWER_S = 2.5  # a slower answer of the store may be abandoned
MIN_SHARE_AFTER_SLOW_ANSWER = 0.25


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
    :ivar previous_contact_age_s: time without contact with the store at the start of
        the latest call.
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
        self.previous_contact_age_s = float("inf")
        self._exchange_delay_s = 0.0
        self._exchanged_s = float("-inf")
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
        self._was_too_slow = False
        # The store does not send the changes after this position, or not in time.
        self._read_all_after: store_position.StorePosition | None = None
        store.on_arriving = self._on_arriving

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

    @property
    def exchange_delay_s(self) -> float:
        """Return for how long a recent exchange with a peer was on its way.

        It is the time of both directions together, and 0 if there was none recently.
        """
        if self._pool.reactor.seconds() - self._exchanged_s > EXCHANGE_MEMORY_S:
            return 0.0
        return self._exchange_delay_s

    def _record_exchange(
        self, excerpt: store_view.Excerpt, took_s: float, now_s: float
    ) -> None:
        if excerpt.contact_age_s is None:
            # A process of an older version does not say how long the request waited.
            return
        self._exchange_delay_s = max(took_s - excerpt.waited_s, 0.0)
        self._exchanged_s = now_s

    async def sync_once(self) -> None:
        """Request an update from one source, or pause when no source is eligible."""
        if self._peer_discovery is not None:
            await self._discover_peers()
        self._deliver()
        now_s = self._pool.reactor.seconds()
        self.previous_confirmed_s = self.view.confirmed_s
        self.previous_contact_age_s = self.view.contact_age_s(now_s)
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
            arriving_s = float("-inf")
            if source.kind is source_selection.SourceKind.STORE:
                await self._receive_from_store()
            else:
                arriving_s = await self._sync_from_peer(source)
        except (prefix_store.StoreError, excerpt_client.ExcerptError) as error:
            self._record_failure(source, error)
            await asyncio.sleep(0)
            return
        now_s = self._pool.reactor.seconds()
        contact_age_s = self.view.contact_age_s(now_s)
        if self._selector.record_answer(source, contact_age_s, now_s, arriving_s):
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

    async def _receive_from_store(self) -> None:
        """Synchronize from the store; meanwhile, peers are told of its answer."""
        try:
            await self._sync_from_store()
        except prefix_store.SlowAnswerError:
            self._was_too_slow = True
            raise
        finally:
            self.view.arriving_s = None
        self._was_too_slow = False

    def _on_arriving(self, progress: http1_pool.AnswerProgress) -> None:
        """Note that a part of an answer of the store has arrived.

        The first parts may be faster than the rest. After an answer that was too slow,
        they say nothing.
        """
        if self._was_too_slow and progress.share < MIN_SHARE_AFTER_SLOW_ANSWER:
            return
        if progress.expected_s <= MAX_EXPECTED_ANSWER_S:
            self.view.arriving_s = self._pool.reactor.seconds()

    async def _sync_from_store(self) -> None:
        is_later_era = self._store.era > self.view.position.era
        is_due = self._read_all_after == self.view.position
        if self.view.is_empty or self._must_read_all or is_later_era or is_due:
            await self._read_all()
            return
        if not self._can_watch:
            await self._read_all()
            return
        age_s = self.view.age_s(self._pool.reactor.seconds())
        # Followers of this process need to know soon whether the store serves it.
        wait_s = self._selector.wait_s(source_selection.STORE, age_s)
        requested_s = self._pool.reactor.seconds()
        try:
            answer = await self._store.watch(
                self._store_prefixes[0],
                self.view.revision,
                wait_s,
                self._limit_watch_bytes(),
            )
        except prefix_store.HistoryGoneError:
            logs.write("history_gone", revision=self.view.revision)
            await self._read_all_in_turn()
            return
        except prefix_store.LargeAnswerError:
            # The answer has all versions of each value; all items are less.
            await self._read_all_in_turn()
            return
        except prefix_store.SlowAnswerError:
            self._read_all_after = self.view.position
            raise
        if answer.era > self.view.position.era:
            # The revision may stand for another change than the one that the copy has.
            await self._read_all()
            return
        self._apply_watched(answer, requested_s, wait_s)
        if answer.changes:
            await asyncio.sleep(source_selection.BATCH_DELAY_S)

    async def _read_all_in_turn(self) -> None:
        """Read all items now if no other process comes first, else in its turn.

        A peer may have a newer copy by then, from which a watch can continue.
        """
        self._read_all_after = self.view.position
        if self._selector.is_first_in_turn:
            await self._read_all()

    def _apply_watched(
        self, answer: prefix_store.Changes, requested_s: float, wait_s: float
    ) -> None:
        """Apply the answer to a watch.

        :param wait_s: how long the store was to wait for a change.
        """
        now_s = self._pool.reactor.seconds()
        confirmed_s = requested_s
        if not answer.has_changes and now_s - requested_s >= wait_s:
            # The store has waited for all of this time.
            confirmed_s += wait_s
        changes = [c for c in answer.changes if c.key.startswith(self._prefixes)]
        self._notify_changes(
            self.view.apply(changes, answer.revision, confirmed_s, now_s)
        )

    def _limit_watch_bytes(self) -> int:
        """Return the size from which an answer to a watch is more than all items."""
        return int(self.view.value_bytes * WATCH_SIZE_RATIO) + MIN_WATCH_BYTES

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
        heard_s = self._pool.reactor.seconds()
        is_first_of_era = self.view.is_empty or era > self.view.position.era
        if is_first_of_era and self.view.has_versions:
            await self._learn_newer_values(changes)
        self._replace_copy(changes, revision, requested_s, kept_keys, era, heard_s)

    async def _learn_newer_values(self, items: list[store_view.KeyChange]) -> None:
        """Learn from peers what the store may have lost before it began this era."""
        addresses = self._selector.list_witnesses(
            self._peers(), self._seeds(), newer_values.ASKED_COUNT
        )
        self.view.learn(items)
        newer = await newer_values.fetch_newer(
            self._pool,
            addresses,
            newer_values.NewerValuesRequest(self._prefixes, self.view.versions),
        )
        if newer:
            logs.write("newer_values_learnt", count=len(newer))
        self.view.learn(newer)

    def _replace_copy(
        self,
        items: Iterable[store_view.KeyChange],
        revision: int,
        confirmed_s: float,
        kept_keys: frozenset[str],
        era: int,
        heard_s: float = float("-inf"),
    ) -> None:
        """Replace the copy, and log the beginning of another era of the store."""
        before = self.view.position
        changes = self.view.replace(
            items, revision, confirmed_s, kept_keys, era, heard_s
        )
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

    async def _sync_from_peer(self, source: source_selection.Source) -> float:
        """Synchronize from a peer.

        :return: when a part of an answer of the store last arrived at the peer.
        """
        now_s = self._pool.reactor.seconds()
        age_s = self.view.contact_age_s(now_s)
        age_s = min(age_s, now_s - self._selector.get_arriving_s(source))
        # A process with a stale copy needs the peer's copy at once. It must not wait
        # for the peer's next change, since the peer may be stale as well.
        wait_s = self._selector.wait_s(source, age_s)
        timeout_s = wait_s + source_selection.ANSWER_GRACE_S
        if self.view.is_empty:
            timeout_s += FIRST_COPY_EXTRA_TIMEOUT_S
        requested_s = self._pool.reactor.seconds()
        excerpt = await excerpt_client.fetch_excerpt(
            self._pool,
            source.address,
            excerpt_client.ExcerptRequest(
                0 if self._needs_whole_excerpt else self.view.revision,
                self._prefixes,
                wait_s,
                self.view.position.era,
                accepts_deltas=True,
            ),
            timeout_s,
        )
        self._check_era(excerpt)
        excerpt = self._complete(excerpt)
        now_s = self._pool.reactor.seconds()
        confirmed_s = excerpt.confirmed_s(requested_s, now_s)
        self._record_exchange(excerpt, now_s - requested_s, now_s)
        heard_s = excerpt.heard_s(now_s)
        for peer in self._peers():
            if peer.address == source.address:
                self._outage_tracker.record_answer(peer.zone, now_s - heard_s, now_s)
        if excerpt.is_whole:
            self._needs_whole_excerpt = False
            self._replace_copy(
                excerpt.changes,
                excerpt.revision,
                confirmed_s,
                frozenset(),
                excerpt.era,
                heard_s,
            )
            return excerpt.arriving_s(now_s)
        self._notify_changes(
            self.view.apply(excerpt.changes, excerpt.revision, confirmed_s, heard_s)
        )
        return excerpt.arriving_s(now_s)

    def _check_era(self, excerpt: store_view.Excerpt) -> None:
        """Check that an excerpt can be applied to the copy.

        :raises excerpt_client.ExcerptError: when it is of an earlier era, or has only
            the changes of a later one.
        """
        own_era = self.view.position.era
        if excerpt.era in (store_position.UNKNOWN_ERA, own_era):
            return
        if excerpt.era < own_era:
            raise excerpt_client.ExcerptError(
                f"copy of era {excerpt.era}, not {own_era}"
            )
        if not excerpt.is_whole:
            self._needs_whole_excerpt = True
            raise excerpt_client.ExcerptError(
                f"changes of era {excerpt.era} for one of {own_era}"
            )

    def _complete(self, excerpt: store_view.Excerpt) -> store_view.Excerpt:
        """Return an excerpt with values instead of deltas.

        :raises excerpt_client.ExcerptError: when they are deltas of other values than
            those of the copy. The next request is for all items.
        """
        try:
            return excerpt_deltas.apply_deltas(excerpt, self.view)
        except excerpt_codec.ExcerptDecodeError as error:
            self._needs_whole_excerpt = True
            logs.write("delta_refused", why=str(error), revision=self.view.revision)
            raise excerpt_client.ExcerptError(str(error)) from error

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
