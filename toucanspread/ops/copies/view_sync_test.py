"""Tests of the synchronization with the store while the store or peers fail."""

import asyncio

import msgspec
import testtools
from twisted.internet import task

from toucanspread.core import data
from toucanspread.core.view import source_selection, store_view, value_delta
from toucanspread.ops.copies import excerpt_client, prefix_store, view_sync
from toucanspread.ops.http import http1_pool
from toucanspread.platform import store


class Store(prefix_store.PrefixStore):
    """Holds one key; it can be unavailable or lack its history."""

    def __init__(self):
        self.has_lost_history = False
        self.is_unavailable = False
        self.is_slow = False
        self.is_too_large = False
        self.revision = 1
        self.read_prefixes = []
        self.max_bytes = None

    def _changes(self):
        if self.is_unavailable:
            raise prefix_store.StoreError("unavailable")
        change = store_view.KeyChange("op/config", self.revision, b"%d" % self.revision)
        return prefix_store.Changes([change], self.revision)

    async def read_all(self, prefix):
        self.read_prefixes.append(prefix)
        return self._changes()

    async def watch(self, prefix, after, wait_s, max_bytes=None):
        self.max_bytes = max_bytes
        if self.has_lost_history:
            raise prefix_store.HistoryGoneError("history is gone")
        if self.is_slow:
            raise prefix_store.SlowAnswerError("slow")
        if self.is_too_large:
            raise prefix_store.LargeAnswerError("too large")
        answer = self._changes()
        return answer if after < self.revision else answer._replace(changes=[])

    async def put(self, key, value, lease):
        raise NotImplementedError

    async def grant_lease(self, ttl_s):
        raise NotImplementedError

    async def renew_lease(self, lease):
        raise NotImplementedError

    async def revoke_lease(self, lease):
        raise NotImplementedError


class Pool(http1_pool.ConnectionPool):
    """Records the targets that peers are requested for; no peer answers."""

    def __init__(self):
        super().__init__(task.Clock())
        self.requested_targets = []

    async def call(
        self,
        address,
        head,
        body=b"",
        timeout_s=1.0,
        stall_timeout_s=None,
        max_body_bytes=0,
        matcher=None,
    ):
        self.requested_targets.append(head.target.decode())
        raise http1_pool.CallError(None, "silent")


class TimeoutTest(testtools.TestCase):
    def test_timeout_of_a_silent_source_leaves_time_for_another(self):
        """A change has to be in force within 2 s, also when two sources fail."""
        connect_s = http1_pool.CONNECT_TIMEOUT_S
        store_s = source_selection.STORE_WAIT_S + store.WATCH_ANSWER_MARGIN_S
        peer_s = source_selection.PEER_WAIT_S + source_selection.ANSWER_GRACE_S
        self.assertLess(max(store_s, peer_s) + connect_s, 2.0)
        self.assertLess(peer_s + source_selection.DEPUTY_WAIT_S, 2.0)


class ViewSynchronizerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = Store()
        self.pool = Pool()
        self.view = store_view.View()
        self.changes = []
        peer = source_selection.Peer("b", data.ZoneName("y"), data.Address("b:1"))
        self.synchronizer = self.make_synchronizer(self.changes.extend, [peer])

    def make_synchronizer(self, on_changes, peers=(), prefixes=("op/",), **options):
        return view_sync.ViewSynchronizer(
            self.view,
            self.store,
            self.pool,
            source_selection.SourceSelector("a", data.ZoneName("z"), can_lead=True),
            prefixes,
            lambda: list(peers),
            list,
            on_changes,
            **options,
        )

    def sync(self):
        """Request an update from the next source once."""
        asyncio.run(self.synchronizer.sync_once())

    def test_reads_all_keys_first_and_then_changes(self):
        self.sync()
        self.store.revision = 5
        self.sync()
        self.assertEqual([1, 5], [change.revision for change in self.changes])

    def test_reads_all_keys_at_once_when_the_history_is_gone(self):
        self.sync()
        self.store.revision = 9
        self.store.has_lost_history = True
        self.pool.reactor.advance(source_selection.MAX_TRUSTED_AGE_S + 1)
        self.sync()
        self.assertEqual([1, 9], [change.revision for change in self.changes])
        self.assertEqual([], self.pool.requested_targets)

    def test_reads_all_keys_when_the_changes_since_the_copy_take_too_long(self):
        self.sync()
        self.store.revision = 9
        self.store.is_slow = True
        self.sync()
        self.pool.reactor.advance(source_selection.FAILED_SOURCE_BACKOFF_S)
        self.sync()
        self.assertEqual([1, 9], [change.revision for change in self.changes])

    def test_does_not_pause_before_all_keys_are_read_instead_of_large_changes(self):
        self.sync()
        self.store.revision = 9
        self.store.is_too_large = True
        self.sync()
        self.assertEqual([1, 9], [change.revision for change in self.changes])

    def test_does_not_receive_more_changes_than_all_items_have_bytes(self):
        value = b"v" * 300_000
        self.view.replace([store_view.KeyChange("op/config", 1, value)], 1, 0.0)
        self.sync()
        value_in_base64_bytes = len(value) * 4 / 3
        self.assertLess(value_in_base64_bytes * 1.2, self.store.max_bytes)
        self.assertGreater(value_in_base64_bytes * 1.6, self.store.max_bytes)

    def test_reads_all_keys_when_the_changes_since_the_copy_are_too_large(self):
        self.sync()
        self.store.revision = 9
        self.store.is_too_large = True
        self.sync()
        self.pool.reactor.advance(source_selection.FAILED_SOURCE_BACKOFF_S)
        self.sync()
        self.assertEqual([1, 9], [change.revision for change in self.changes])

    def test_changes_are_passed_on_again_after_an_unexpected_exception(self):
        def fail_once(changes):
            self.changes.extend(changes)
            if len(self.changes) == 1:
                raise ValueError("unexpected")

        synchronizer = self.make_synchronizer(fail_once)
        self.assertRaises(ValueError, asyncio.run, synchronizer.run())
        asyncio.run(synchronizer.sync_once())
        self.assertEqual({1}, {change.revision for change in self.changes})
        self.assertGreater(len(self.changes), 1)
        self.assertEqual(["op/", "op/"], self.store.read_prefixes)

    def test_reads_peer_records_before_all_keys(self):
        records = []
        discovery = view_sync.PeerDiscovery("entries/", records.extend)
        synchronizer = self.make_synchronizer(
            self.changes.extend, peer_discovery=discovery
        )
        asyncio.run(synchronizer.sync_once())
        asyncio.run(synchronizer.sync_once())
        self.assertEqual(["entries/"], self.store.read_prefixes[:1])
        self.assertEqual(1, len(records))
        self.assertEqual(1, self.store.read_prefixes.count("entries/"))

    def test_reads_only_the_prefixes_of_a_process_that_does_not_need_all_keys(self):
        synchronizer = self.make_synchronizer(
            self.changes.extend, prefixes=("a/", "b/"), needs_all_keys=False
        )
        for _ in range(2):
            asyncio.run(synchronizer.sync_once())
        self.assertEqual(["a/", "b/"] * 2, self.store.read_prefixes)

    def test_does_not_wait_at_peers_with_a_stale_copy(self):
        self.sync()
        self.store.is_unavailable = True
        self.pool.reactor.advance(source_selection.MAX_TRUSTED_AGE_S + 1)
        self.sync()
        self.sync()
        self.assertIn("wait_ms=0", self.pool.requested_targets[0])


class CopyAgeTest(testtools.TestCase):
    """A copy has the state of the time at which its source made the answer.

    The bytes may need long on a full link, or wait for a process that is suspended.
    """

    TRANSFER_S = 3.0

    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.pool = Pool()
        self.pool.reactor = self.clock
        self.view = store_view.View()
        self.view.replace([make_change("op/a", 9)], 9, self.clock.seconds())
        self.store = Store()
        self.store.revision = 9

    def sync(self, can_lead):
        peer = source_selection.Peer("b", data.ZoneName("z"), data.Address("b:1"))
        synchronizer = view_sync.ViewSynchronizer(
            self.view,
            self.store,
            self.pool,
            source_selection.SourceSelector("a", data.ZoneName("z"), can_lead),
            ("op/",),
            lambda: [] if can_lead else [peer],
            list,
            lambda changes: None,
        )
        asyncio.run(synchronizer.sync_once())
        return synchronizer

    def assert_older_than_the_transfer(self):
        age_s = self.view.age_s(self.clock.seconds())
        self.assertGreaterEqual(age_s, self.TRANSFER_S)

    def test_a_copy_is_not_younger_than_the_transfer_of_a_peers_excerpt(self):
        async def fetch(pool, address, request, timeout_s):
            excerpt = self.view.make_excerpt(9, ("op/",), self.clock.seconds())
            self.clock.advance(self.TRANSFER_S)
            return excerpt

        self.patch(excerpt_client, "fetch_excerpt", fetch)
        self.sync(can_lead=False)
        self.assert_older_than_the_transfer()

    def test_the_transfer_of_an_excerpt_is_no_time_without_contact(self):
        async def fetch(pool, address, request, timeout_s):
            excerpt = self.view.make_excerpt(9, ("op/",), self.clock.seconds())
            self.clock.advance(self.TRANSFER_S)
            return excerpt

        self.patch(excerpt_client, "fetch_excerpt", fetch)
        self.sync(can_lead=False)
        self.assertEqual(0.0, self.sync(can_lead=False).previous_contact_age_s)
        self.clock.advance(self.TRANSFER_S)
        synchronizer = self.sync(can_lead=False)
        self.assertEqual(self.TRANSFER_S, synchronizer.previous_contact_age_s)

    def exchange(self, **fields):
        """Synchronize by an exchange that waits for 0.5 s and takes 0.9 s."""

        async def fetch(pool, address, request, timeout_s):
            excerpt = self.view.make_excerpt(9, ("op/",), self.clock.seconds())
            self.clock.advance(0.9)
            return msgspec.structs.replace(excerpt, waited_s=0.5, **fields)

        self.patch(excerpt_client, "fetch_excerpt", fetch)
        return self.sync(can_lead=False)

    def test_the_delay_of_an_exchange_does_not_include_its_wait_and_is_forgotten(self):
        synchronizer = self.exchange()
        self.assertAlmostEqual(0.4, synchronizer.exchange_delay_s)
        self.clock.advance(view_sync.EXCHANGE_MEMORY_S + 0.1)
        self.assertEqual(0.0, synchronizer.exchange_delay_s)

    def test_a_peer_that_does_not_name_the_wait_measures_no_delay(self):
        self.assertEqual(0.0, self.exchange(contact_age_s=None).exchange_delay_s)

    def test_a_copy_is_not_younger_than_the_transfer_of_the_stores_answer(self):
        async def watch(prefix, after, wait_s, max_bytes):
            self.clock.advance(wait_s + self.TRANSFER_S)
            return prefix_store.Changes([], 9)

        self.store.watch = watch
        self.sync(can_lead=True)
        self.assert_older_than_the_transfer()

    def test_a_copy_is_not_younger_than_the_transfer_of_changes(self):
        answers = [
            prefix_store.Changes([make_change("op/a", 10)], 10),
            prefix_store.Changes([], 11, frozenset({"op/config"})),
        ]

        async def watch(prefix, after, wait_s, max_bytes):
            self.clock.advance(self.TRANSFER_S)
            return answers.pop(0)

        self.store.watch = watch
        while answers:
            self.sync(can_lead=True)
            self.assert_older_than_the_transfer()

    def test_a_copy_is_not_younger_than_an_empty_answer_before_the_end_of_the_wait(
        self,
    ):
        async def watch(prefix, after, wait_s, max_bytes):
            self.clock.advance(wait_s / 2)
            return prefix_store.Changes([], 9)

        self.store.watch = watch
        requested_s = self.clock.seconds()
        self.sync(can_lead=True)
        self.assertLessEqual(self.view.confirmed_s, requested_s)


class ArrivingAnswerTest(testtools.TestCase):
    """Peers are told that an answer of the store is arriving."""

    def setUp(self):
        super().setUp()
        self.pool = Pool()
        self.pool.reactor.advance(100.0)
        self.view = store_view.View()
        self.view.replace([make_change("op/a", 9)], 9, 95.0)
        self.store = Store()
        self.store.revision = 9
        self.store.watch = self.watch
        self.progress = http1_pool.AnswerProgress(10, 100, 0.2)
        self.error = None
        self.arriving_age_s = None
        self.synchronizer = view_sync.ViewSynchronizer(
            self.view,
            self.store,
            self.pool,
            source_selection.SourceSelector("a", data.ZoneName("z"), can_lead=True),
            ("op/",),
            list,
            list,
            lambda changes: None,
        )

    def make_excerpt(self):
        now_s = self.pool.reactor.seconds()
        return self.view.make_excerpt(9, ("op/",), now_s)

    async def read_all(self, prefix):
        return await self.watch(prefix, 0, 0.0, None)

    async def watch(self, prefix, after, wait_s, max_bytes):
        self.store.on_arriving(self.progress)
        self.pool.reactor.advance(0.5)
        self.arriving_age_s = self.make_excerpt().arriving_age_s
        if self.error is not None:
            raise self.error
        return prefix_store.Changes([], 9)

    def sync(self):
        asyncio.run(self.synchronizer.sync_once())
        self.pool.reactor.advance(source_selection.FAILED_SOURCE_BACKOFF_S)

    def test_peers_are_told_while_an_answer_arrives_and_not_afterwards(self):
        self.sync()
        self.assertEqual(0.5, self.arriving_age_s)
        self.assertIsNone(self.make_excerpt().arriving_age_s)

    def test_an_arriving_answer_does_not_make_the_copy_younger(self):
        self.error = prefix_store.StoreError("cut off")
        self.sync()
        self.assertGreater(self.make_excerpt().age_s, 5.0)
        self.assertGreater(self.make_excerpt().contact_age_s, 5.0)

    def test_peers_are_not_told_of_an_answer_that_may_be_abandoned(self):
        expected_s = view_sync.MAX_EXPECTED_ANSWER_S + 0.1
        self.progress = http1_pool.AnswerProgress(10, 100, expected_s / 10)
        self.sync()
        self.assertIsNone(self.arriving_age_s)

    def test_peers_are_told_of_an_answer_after_a_slow_one_when_much_of_it_is_there(
        self,
    ):
        self.error = prefix_store.SlowAnswerError("slow")
        self.store.read_all = self.read_all
        self.sync()
        self.assertEqual(0.5, self.arriving_age_s)
        self.sync()
        self.assertIsNone(self.arriving_age_s)
        self.progress = http1_pool.AnswerProgress(30, 100, 0.6)
        self.sync()
        self.assertEqual(0.5, self.arriving_age_s)

    def test_the_transfer_of_a_whole_read_is_no_time_without_contact(self):
        async def read_all(prefix):
            self.pool.reactor.advance(2.0)
            return prefix_store.Changes([make_change("op/a", 9)], 9)

        self.store.read_all = read_all
        self.synchronizer._must_read_all = True
        asyncio.run(self.synchronizer.sync_once())
        self.assertEqual(2.0, self.make_excerpt().age_s)
        self.assertEqual(0.0, self.make_excerpt().contact_age_s)


class LargeReadTest(testtools.TestCase):
    """A process that follows a peer finds that it needs all items of the store."""

    def setUp(self):
        super().setUp()
        self.pool = Pool()
        self.pool.reactor.advance(100.0)
        self.view = store_view.View()
        self.view.replace([make_change("op/a", 9)], 9, 90.0)
        self.store = Store()
        self.store.revision = 10
        peers = [
            source_selection.Peer(name, data.ZoneName("z"), data.Address(f"{name}:1"))
            for name in ("b", "c")
        ]
        self.synchronizer = view_sync.ViewSynchronizer(
            self.view,
            self.store,
            self.pool,
            source_selection.SourceSelector("a", data.ZoneName("z"), can_lead=False),
            ("op/",),
            lambda: peers,
            list,
            lambda changes: None,
        )

    def sync(self):
        asyncio.run(self.synchronizer.sync_once())

    def find_large_changes(self):
        for _ in range(3):  # both peers fail first
            self.sync()
        self.pool.reactor.advance(source_selection.STORE_TURN_S)

    def assert_read_in_turn(self):
        self.find_large_changes()
        self.assertEqual([], self.store.read_prefixes)
        self.sync()
        self.assertEqual(["op/"], self.store.read_prefixes)

    def test_it_reads_them_in_its_turn_after_changes_that_are_too_large(self):
        self.store.is_too_large = True
        self.assert_read_in_turn()

    def test_it_reads_them_in_its_turn_when_the_history_is_gone(self):
        self.store.has_lost_history = True
        self.assert_read_in_turn()

    def test_it_watches_again_after_it_has_got_a_newer_copy(self):
        self.store.is_too_large = True
        self.find_large_changes()
        self.view.apply([make_change("op/a", 10)], 10, 99.0)
        self.store.is_too_large = False
        self.sync()
        self.assertEqual([], self.store.read_prefixes)


class EraTest(testtools.TestCase):
    """The copy and a peer's excerpt are of different eras of the store."""

    def setUp(self):
        super().setUp()
        self.excerpts = []
        self.patch(excerpt_client, "fetch_excerpt", self.fetch)
        self.view = store_view.View()
        self.changes = []
        self.requests = []
        peer = source_selection.Peer("b", data.ZoneName("z"), data.Address("b:1"))
        self.synchronizer = view_sync.ViewSynchronizer(
            self.view,
            Store(),
            Pool(),
            source_selection.SourceSelector("a", data.ZoneName("z"), can_lead=False),
            ("op/",),
            lambda: [peer],
            list,
            self.changes.extend,
        )
        self.view.replace([make_change("op/a", 9)], 9, 0.0, era=2)

    async def fetch(self, pool, address, request, timeout_s):
        self.requests.append(request)
        return self.excerpts.pop(0)

    def sync(self, *excerpts):
        self.excerpts += excerpts
        for _ in excerpts:
            asyncio.run(self.synchronizer.sync_once())

    def test_all_items_of_a_later_era_replace_the_copy(self):
        change = make_change("op/b", 5)
        self.sync(store_view.Excerpt(6, 0.0, True, (change,), era=3))
        self.assertEqual((3, 6), self.view.position)
        self.assertIsNone(self.view.get("op/a"))

    def test_an_excerpt_of_an_earlier_era_is_not_applied(self):
        change = make_change("op/b", 50)
        self.sync(store_view.Excerpt(50, 0.0, True, (change,), era=1))
        self.assertEqual((2, 9), self.view.position)
        self.assertIsNone(self.view.get("op/b"))

    def test_changes_of_a_later_era_are_not_applied_to_the_copy_of_an_earlier(self):
        change = make_change("op/b", 10)
        self.sync(store_view.Excerpt(10, 0.0, False, (change,), era=3))
        self.assertEqual((2, 9), self.view.position)
        self.assertIsNone(self.view.get("op/b"))

    def test_the_excerpt_of_a_process_that_knows_no_era_is_applied(self):
        change = make_change("op/b", 10)
        self.sync(store_view.Excerpt(10, 0.0, False, (change,)))
        self.assertEqual((2, 10), self.view.position)
        self.assertEqual(2, self.requests[0].era)


class DeltaTest(testtools.TestCase):
    """A peer sends what has changed in a value of the copy."""

    VALUE = bytes(range(256)) * 8

    def setUp(self):
        super().setUp()
        self.patch(excerpt_client, "fetch_excerpt", self.fetch)
        self.view = store_view.View()
        self.changes = []
        self.requests = []
        self.pool = Pool()
        peer = source_selection.Peer("b", data.ZoneName("z"), data.Address("b:1"))
        self.synchronizer = view_sync.ViewSynchronizer(
            self.view,
            Store(),
            self.pool,
            source_selection.SourceSelector("a", data.ZoneName("z"), can_lead=False),
            ("op/",),
            lambda: [peer],
            list,
            self.changes.extend,
        )
        self.view.replace([store_view.KeyChange("op/a", 9, self.VALUE)], 9, 0.0, era=2)

    async def fetch(self, pool, address, request, timeout_s):
        self.requests.append(request)
        return self.excerpt

    def sync(self, excerpt):
        self.excerpt = excerpt
        asyncio.run(self.synchronizer.sync_once())
        self.pool.reactor.advance(source_selection.FAILED_SOURCE_BACKOFF_S)

    def make_excerpt(self, base, base_revision=9, era=2):
        delta = value_delta.make_delta(base, base + b"x")
        deltas = (store_view.DeltaChange("op/a", 10, base_revision, delta),)
        changes = (make_change("op/b", 11),)
        return store_view.Excerpt(11, 0.0, False, changes, era, deltas=deltas)

    def assert_unchanged(self):
        self.assertEqual((2, 9), self.view.position)
        self.assertEqual(self.VALUE, self.view.get("op/a").value)
        self.assertIsNone(self.view.get("op/b"))
        self.assertEqual([], self.changes)

    def test_the_values_of_deltas_are_applied_and_passed_on(self):
        self.sync(self.make_excerpt(self.VALUE))
        self.assertTrue(self.requests[0].accepts_deltas)
        self.assertEqual((2, 11), self.view.position)
        self.assertEqual(self.VALUE + b"x", self.view.get("op/a").value)
        self.assertEqual(["op/a", "op/b"], [change.key for change in self.changes])

    def test_nothing_of_an_excerpt_with_an_unfit_delta_is_applied(self):
        self.sync(self.make_excerpt(b"y" + self.VALUE))
        self.assert_unchanged()
        self.sync(self.make_excerpt(self.VALUE, base_revision=8))
        self.assert_unchanged()

    def test_a_delta_of_another_era_is_not_applied(self):
        for era in (1, 3):
            self.sync(self.make_excerpt(self.VALUE, era=era))
            self.assert_unchanged()

    def test_all_items_are_requested_after_an_unfit_delta(self):
        self.sync(self.make_excerpt(b"y" + self.VALUE))
        change = make_change("op/a", 10)
        self.sync(store_view.Excerpt(11, 0.0, True, (change,), era=2))
        self.assertEqual((2, 11), self.view.position)
        self.assertEqual(b"10", self.view.get("op/a").value)
        self.sync(store_view.Excerpt(11, 0.0, False, era=2))
        self.assertEqual([9, 0, 11], [request.after for request in self.requests])


def make_change(key, revision):
    return store_view.KeyChange(key, revision, b"%d" % revision)


class ApplyEachTest(testtools.TestCase):
    def test_a_change_that_cannot_be_applied_costs_only_itself(self):
        def apply_one(change):
            if change.key == "bad":
                raise KeyError("unexpected")
            applied.append(change.key)

        applied = []
        changes = [store_view.KeyChange(key, 1) for key in ("a", "bad", "b")]
        view_sync.apply_each(changes, apply_one)
        self.assertEqual(["a", "b"], applied)
