"""Client of the platform's store, which is a key-value service with an HTTP API."""

import base64
import binascii
from collections.abc import Callable
from urllib.parse import quote

import msgspec

from toucanspread.core import bounds, data, decoder
from toucanspread.core.view import store_position, store_view
from toucanspread.ops.copies import prefix_store
from toucanspread.ops.http import answer_match, http1, http1_client, http1_pool
from toucanspread.ops.telemetry import logs, metric_buffer

CALL_TIMEOUT_S = 1.2  # the store usually answers in milliseconds, at times in a second
WATCH_ANSWER_MARGIN_S = 0.6  # maximum delay of a watch's answer beyond its wait
STALL_TIMEOUT_S = 0.6  # pause within an answer after which the path is taken for dead
READ_TIMEOUT_S = 2.5  # pages of up to 1 MB over a narrow link
# 1 MiB of values and one more value of 1 MiB, in base64, and the keys.
MAX_PAGE_BYTES = 4_194_304
MAX_PAGES = 64  # of up to about 500 items
MAX_READ_BYTES = 33_554_432  # of all pages of a read
MAX_WATCH_BYTES = 8_388_608  # pages with all items replace a larger answer
MAX_WRITE_ANSWER_BYTES = 65_536  # answers to writes and calls on leases
# Part of its wait before which a watch rarely ends without changes.
EARLY_WAIT_SHARE = 0.5
ERA_HEADER = b"store-era"
JSON_TYPE = http1.Header(b"Content-Type", b"application/json")


class _KeyEvent(msgspec.Struct, frozen=True):
    """An item, or the deletion of one."""

    key: str
    revision: bounds.Revision
    value: object = None  # checked by itself, so that a bad one costs only its key
    deleted: bool = False


class _Page(msgspec.Struct, frozen=True):
    items: list[_KeyEvent]
    has_more: bool
    store_revision: bounds.Revision


class _WatchAnswer(msgspec.Struct, frozen=True):
    events: list[_KeyEvent]
    store_revision: bounds.Revision


class _Revision(msgspec.Struct, frozen=True):
    revision: bounds.Revision


class _WatchedRevisions(msgspec.Struct, frozen=True):
    """The part of a watch's answer that tells whose it is."""

    events: list[_Revision]


class _GrantedLease(msgspec.Struct, frozen=True):
    lease: bounds.LeaseNumber


class _WriteResult(msgspec.Struct, frozen=True):
    revision: bounds.Revision


class _Put(msgspec.Struct, frozen=True):
    key: str
    value: str
    lease: int


class _Transaction(msgspec.Struct, frozen=True):
    expected: list[dict]
    puts: list[_Put]
    deletes: list[str]


class _ValueDecodeError(Exception):
    """The value of a key is not base64 text."""


class _PagedRead:
    """Collects the pages of a read.

    :ivar last_key: key after which the next page begins; empty before the first one.
    :ivar is_complete: whether the last page was added.
    """

    def __init__(self):
        self.last_key = ""
        self.is_complete = False
        self._changes: list[store_view.KeyChange] = []
        self._unreadable_keys: list[str] = []
        self._revision = 0
        self._era = store_position.UNKNOWN_ERA
        self._last_keys: set[str] = set()
        self._read_bytes = 0

    def add(self, page: _Page, size_bytes: int, era: int) -> None:
        """Add a page.

        :param era: era of the store that has answered.
        :raises prefix_store.StoreError: when it cannot be part of the read.
        """
        if not self._last_keys:
            self._revision, self._era = page.store_revision, era
        if era != self._era:
            raise prefix_store.StoreError(f"era {era} began between two pages")
        readable, unreadable = _make_changes(page.items)
        self._changes.extend(readable)
        self._unreadable_keys.extend(unreadable)
        self._read_bytes += size_bytes
        self.is_complete = not page.has_more
        if page.has_more:
            self._check_progress(page)

    def make_changes(self) -> prefix_store.Changes:
        """Return all items of the pages."""
        return prefix_store.Changes(
            self._changes,
            self._revision,
            frozenset(self._unreadable_keys),
            self._era,
        )

    def _check_progress(self, page: _Page) -> None:
        if not page.items or page.items[-1].key in self._last_keys:
            raise prefix_store.NoProgressError(
                f"the page after {self.last_key!r} leads to no further one"
            )
        self.last_key = page.items[-1].key
        self._last_keys.add(self.last_key)
        if len(self._last_keys) >= MAX_PAGES or self._read_bytes > MAX_READ_BYTES:
            raise prefix_store.LargeAnswerError(
                f"more than {len(self._last_keys)} pages, {self._read_bytes} bytes"
            )


class _WatchMatcher(answer_match.AnswerMatcher):
    """Expects the changes after a revision, or none after a wait.

    :param era: era of the revision; in another one, changes have other revisions.
    :param read_clock_s: returns the time.
    """

    def __init__(
        self, after: int, era: int, wait_s: float, read_clock_s: Callable[[], float]
    ):
        self._after = after
        self._era = era
        self._early_until_s = read_clock_s() + wait_s * EARLY_WAIT_SHARE
        self._read_clock_s = read_clock_s

    def match(self, head: http1.AnswerHead, body: bytes) -> answer_match.Match:
        """Return whether an answer can be that of the watch."""
        try:
            answer = decoder.decode_json(body, _WatchedRevisions)
        except decoder.MalformedError:
            return answer_match.Match.UNNAMED
        if _read_era(head) not in (store_position.UNKNOWN_ERA, self._era):
            return answer_match.Match.OWN
        if any(event.revision <= self._after for event in answer.events):
            return answer_match.Match.OTHER
        if not answer.events and self._read_clock_s() < self._early_until_s:
            # The store may have cut the watch short.
            return answer_match.Match.UNNAMED
        return answer_match.Match.OWN


class PlatformStore(prefix_store.PrefixStore):
    """Client of the store.

    Its answers name no call. A late copy of one would pass as the next of its kind, so
    reads of all items, writes, grants and ends of leases, which are few, have a
    connection for each call. Watches are compared with what they ask for.

    :param address: ``ip:port`` of the store.
    :param lease_pool: carries renewals of the lease and no other calls; the pool of
        all calls if None.
    """

    def __init__(
        self,
        pool: http1_pool.ConnectionPool,
        address: str,
        lease_pool: http1_pool.ConnectionPool | None = None,
    ):
        self._pool = pool
        self._lease_pool = lease_pool or pool
        self._address = address

    async def read_all(self, prefix: str) -> prefix_store.Changes:
        """Return all items under a prefix, read page by page.

        The revision is that of the first page: changes between two pages are then part
        of the next watch.

        :raises prefix_store.LargeAnswerError: when the pages have no end.
        :raises prefix_store.NoProgressError: when a page repeats an earlier one.
        """
        read = _PagedRead()
        while not read.is_complete:
            reply = await self._read_page(prefix, read.last_key)
            read.add(self._decode(reply, _Page), len(reply.body), self.era)
        return read.make_changes()

    async def watch(
        self, prefix: str, after: int, wait_s: float, max_bytes: int | None = None
    ) -> prefix_store.Changes:
        """Return the changes after a revision; wait for the first one if needed."""
        target = f"/-/kv-watch?prefix={quote(prefix, safe='')}&after={after}"
        target += f"&wait_ms={int(wait_s * 1000)}"
        reply = await self._call(
            b"GET",
            target,
            timeout_s=wait_s + WATCH_ANSWER_MARGIN_S,
            max_body_bytes=min(max_bytes or MAX_WATCH_BYTES, MAX_WATCH_BYTES),
            on_arriving=self.on_arriving,
            matcher=_WatchMatcher(after, self.era, wait_s, self._pool.reactor.seconds),
        )
        if reply.status == 410:
            raise prefix_store.HistoryGoneError(
                f"the store no longer has the changes after revision {after}"
            )
        answer = self._decode(reply, _WatchAnswer)
        changes, unreadable_keys = _make_changes(answer.events)
        return prefix_store.Changes(
            changes, answer.store_revision, frozenset(unreadable_keys), self.era
        )

    async def put(
        self, key: str, value: bytes, lease: prefix_store.LeaseId
    ) -> data.Revision:
        """Write a key unconditionally, since only its owner writes it."""
        put = _Put(key, base64.b64encode(value).decode(), lease)
        body = msgspec.json.encode(_Transaction([], [put], []))
        reply = await self._call(b"POST", "/-/kv-txn", body, has_own_connection=True)
        if reply.status == 404:
            raise prefix_store.LeaseEndedError(f"lease {lease} has ended")
        return data.Revision(self._decode(reply, _WriteResult).revision)

    async def grant_lease(self, ttl_s: float) -> prefix_store.LeaseId:
        """Create a lease and return its id."""
        body = msgspec.json.encode({"ttl_ms": int(ttl_s * 1000)})
        reply = await self._call(b"POST", "/-/kv-lease", body, has_own_connection=True)
        return self._decode(reply, _GrantedLease).lease

    async def renew_lease(self, lease: prefix_store.LeaseId) -> None:
        """Renew a lease; its lifetime starts again now."""
        target = f"/-/kv-keep/{lease}"
        reply = await self._call(b"POST", target, b"{}", pool=self._lease_pool)
        if reply.status == 404:
            raise prefix_store.LeaseEndedError(f"lease {lease} has ended")
        self._check(reply)

    async def revoke_lease(self, lease: prefix_store.LeaseId) -> None:
        """Revoke a lease, which deletes its keys."""
        target = f"/-/kv-lease-end/{lease}"
        self._check(await self._call(b"DELETE", target, has_own_connection=True))

    async def _read_page(self, prefix: str, after: str) -> http1_pool.Reply:
        target = f"/-/kv-range?prefix={quote(prefix, safe='')}"
        if after:
            target += f"&after={quote(after, safe='')}"
        return await self._call(
            b"GET",
            target,
            timeout_s=READ_TIMEOUT_S,
            max_body_bytes=MAX_PAGE_BYTES,
            on_arriving=self.on_arriving,
            has_own_connection=True,
        )

    async def _call(
        self,
        method: bytes,
        target: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
        max_body_bytes: int = MAX_WRITE_ANSWER_BYTES,
        on_arriving: Callable[[http1_pool.AnswerProgress], None] | None = None,
        has_own_connection: bool = False,
        matcher: answer_match.AnswerMatcher | None = None,
        pool: http1_pool.ConnectionPool | None = None,
    ) -> http1_pool.Reply:
        headers = [JSON_TYPE] if body else []
        head = http1.RequestHead(method, target.encode(), headers)
        try:
            reply = await (pool or self._pool).call(
                self._address,
                head,
                body,
                timeout_s,
                STALL_TIMEOUT_S,
                max_body_bytes,
                has_own_connection,
                on_arriving,
                matcher,
            )
        except http1_pool.CallError as error:
            if error.failure is http1_client.ExchangeFailure.TOO_LARGE:
                raise prefix_store.LargeAnswerError(str(error)) from error
            if error.received_bytes:
                raise prefix_store.SlowAnswerError(str(error)) from error
            raise prefix_store.StoreError(str(error), error.sent) from error
        self._observe_era(reply)
        return reply

    def _observe_era(self, reply: http1_pool.Reply) -> None:
        """Note the era that an answer names, and reject a late one of an earlier era.

        :raises prefix_store.StoreError: when the answer is of an earlier era.
        """
        era = _read_era(reply.head)
        if era == store_position.UNKNOWN_ERA or era == self.era:
            return
        if era < self.era:
            raise prefix_store.StoreError(f"answer of era {era}, now it is {self.era}")
        if self.era != store_position.UNKNOWN_ERA:
            logs.write("store_era_began", before=self.era, era=era)
        self.era = era

    def _check(self, reply: http1_pool.Reply) -> None:
        if reply.status != 200:
            # After 429 and 503 the store has executed nothing.
            may_be_applied = reply.status not in (429, 503)
            raise prefix_store.StoreError(
                f"the store answered with status {reply.status}", may_be_applied
            )

    def _decode(self, reply: http1_pool.Reply, answer_type: type):
        self._check(reply)
        try:
            return decoder.decode_json(reply.body, answer_type)
        except decoder.MalformedError as error:
            raise prefix_store.StoreError(
                f"malformed answer of the store: {error}"
            ) from error


def _read_era(head: http1.AnswerHead) -> int:
    """Return the era that an answer names."""
    value = (head.get(ERA_HEADER) or b"").decode("latin-1").strip()
    return data.parse_count(value) or store_position.UNKNOWN_ERA


def _make_changes(
    events: list[_KeyEvent],
) -> tuple[list[store_view.KeyChange], list[str]]:
    """Return the changes, and the keys of which the value cannot be decoded."""
    changes = []
    unreadable_keys = []
    for event in events:
        try:
            changes.append(_make_change(event))
        except _ValueDecodeError as error:
            metric_buffer.count("values_unreadable")
            logs.write("value_unreadable", key=event.key, why=str(error))
            unreadable_keys.append(event.key)
    return changes, unreadable_keys


def _make_change(event: _KeyEvent) -> store_view.KeyChange:
    """Return the change of an event.

    :raises _ValueDecodeError: when the value is not base64 text.
    """
    if event.deleted or event.value is None:
        return store_view.KeyChange(event.key, event.revision)
    if not isinstance(event.value, str):
        raise _ValueDecodeError(f"{type(event.value).__name__} instead of text")
    try:
        value = base64.b64decode(event.value, validate=True)
    except (binascii.Error, ValueError) as error:
        raise _ValueDecodeError(str(error)) from error
    return store_view.KeyChange(event.key, event.revision, value)
