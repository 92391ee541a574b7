"""A process learns what is in the store, also when the store misbehaves."""

import asyncio

import testtools
from twisted.internet import task

from toucanspread.core import data
from toucanspread.core.view import source_selection, store_view
from toucanspread.ops import http1_pool, prefix_store, view_sync
from toucanspread.platform import store


class Store(prefix_store.PrefixStore):
    """Holds one key, and may have forgotten how it came about."""

    def __init__(self):
        self.is_forgetful = False
        self.is_away = False
        self.revision = 1
        self.read_prefixes = []

    def _changes(self):
        if self.is_away:
            raise prefix_store.StoreError("away")
        change = store_view.KeyChange("op/config", self.revision, b"%d" % self.revision)
        return prefix_store.Changes([change], self.revision)

    async def read_all(self, prefix):
        self.read_prefixes.append(prefix)
        return self._changes()

    async def watch(self, prefix, after, wait_s):
        if self.is_forgetful:
            raise prefix_store.HistoryGoneError("gone")
        found = self._changes()
        return found if after < self.revision else found._replace(changes=[])

    async def put(self, key, value, lease):
        raise NotImplementedError

    async def grant_lease(self, ttl_s):
        raise NotImplementedError

    async def renew_lease(self, lease):
        raise NotImplementedError

    async def revoke_lease(self, lease):
        raise NotImplementedError


class Pool(http1_pool.ConnectionPool):
    """Notes which peers are asked, and for how long they may wait."""

    def __init__(self):
        super().__init__(task.Clock())
        self.asked = []

    async def call(self, address, head, body=b"", timeout_s=1.0):
        self.asked.append(head.target.decode())
        raise http1_pool.CallError(None, "silent")


class TimesTest(testtools.TestCase):
    def test_a_source_that_fell_silent_leaves_time_to_ask_another(self):
        """A change is in force within 2 s, also when two sources are out of reach."""
        connect_s = http1_pool.CONNECT_TIMEOUT_S
        store_s = source_selection.STORE_WAIT_S + store.WATCH_ANSWER_MARGIN_S
        peer_s = source_selection.PEER_WAIT_S + source_selection.ANSWER_GRACE_S
        self.assertLess(max(store_s, peer_s) + connect_s, 2.0)


class FollowerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = Store()
        self.pool = Pool()
        self.view = store_view.View()
        self.news = []
        peer = source_selection.Peer("b", data.ZoneName("y"), data.Address("b:1"))
        self.follower = view_sync.ViewSynchronizer(
            self.view,
            self.store,
            self.pool,
            source_selection.SourceSelector("a", data.ZoneName("z"), can_lead=True),
            ("op/",),
            lambda: [peer],
            list,
            self.news.extend,
        )

    def ask(self):
        """Ask whoever is next, once."""
        asyncio.run(self.follower.sync_once())

    def test_it_reads_everything_first_and_then_follows(self):
        self.ask()
        self.store.revision = 5
        self.ask()
        self.assertEqual([1, 5], [change.revision for change in self.news])

    def test_a_store_that_forgot_its_history_is_read_at_once(self):
        self.ask()
        self.store.revision = 9
        self.store.is_forgetful = True
        self.pool.reactor.advance(source_selection.MAX_TRUSTED_AGE_S + 1)
        self.ask()
        self.assertEqual([1, 9], [change.revision for change in self.news])
        self.assertEqual([], self.pool.asked)

    def test_it_learns_first_whom_it_can_ask_before_it_reads_everything(self):
        records = []
        introduction = view_sync.PeerDiscovery("entries/", records.extend)
        follower = view_sync.ViewSynchronizer(
            self.view,
            self.store,
            self.pool,
            source_selection.SourceSelector("a", data.ZoneName("z"), can_lead=True),
            ("op/",),
            list,
            list,
            self.news.extend,
            introduction,
        )
        asyncio.run(follower.sync_once())
        asyncio.run(follower.sync_once())
        self.assertEqual(["entries/"], self.store.read_prefixes[:1])
        self.assertEqual(1, len(records))
        self.assertEqual(1, self.store.read_prefixes.count("entries/"))

    def test_whoever_doubts_its_copy_does_not_wait_at_peers(self):
        self.ask()
        self.store.is_away = True
        self.pool.reactor.advance(source_selection.MAX_TRUSTED_AGE_S + 1)
        self.ask()
        self.ask()
        self.assertIn("wait_ms=0", self.pool.asked[0])


class Exchange:
    """A peer's question, and the answer that it got."""

    def __init__(self):
        self.status = None
        self.body = b""
        self.on_disconnected = None

    def respond(self, status, headers=(), body=b""):
        self.status = status
        self.body = body


class ExcerptServerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.view = store_view.View()
        self.server = view_sync.ExcerptServer(self.view, self.clock)
        self.exchange = Exchange()
        self.server.on_request(self.exchange, 0, 0.0, "op/")

    def test_one_that_starts_answers_when_it_has_its_copy(self):
        self.assertIsNone(self.exchange.status)
        change = store_view.KeyChange("op/config", 4, b"c")
        self.view.replace([change], 4, self.clock.seconds())
        self.server.notify_waiters()
        self.assertEqual(200, self.exchange.status)

    def test_one_that_gets_no_copy_says_so(self):
        self.clock.advance(view_sync.EMPTY_VIEW_WAIT_S)
        self.assertEqual(503, self.exchange.status)
