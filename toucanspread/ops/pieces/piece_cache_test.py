"""Tests of fetching pieces from the origin, and from entries without the origin."""

import asyncio
import hashlib

import msgspec
import testtools
from twisted.internet import task

from toucanspread.core import data
from toucanspread.core.entry import entry_directory
from toucanspread.core.weights import piece_placement
from toucanspread.ops.http import http1_pool
from toucanspread.ops.pieces import piece_cache

MODEL = data.ModelName("m")
BYTES = [b"piece %d" % number for number in range(12)]
DIGESTS = tuple(hashlib.sha256(piece).hexdigest() for piece in BYTES)


class Origin(piece_cache.PieceOrigin):
    def __init__(self):
        self.is_unavailable = False
        self.corrupt_numbers = set()
        self.read_numbers = []
        self.refused_count = 0
        self.digests_by_version = {}
        self.first_digests = []
        self.confirmed_versions = []

    async def read_digests(self, model, version, has_own_connection=False):
        self._check_available()
        if has_own_connection:
            self.confirmed_versions.append(version)
        elif self.first_digests:
            return self.first_digests.pop(0)
        return self.digests_by_version.get(version, DIGESTS)

    async def read_piece(self, key):
        self._check_available()
        self.read_numbers.append(key.number)
        if key.number in self.corrupt_numbers:
            self.corrupt_numbers.discard(key.number)
            return b"corrupt"
        return BYTES[key.number]

    def _check_available(self):
        if self.is_unavailable:
            self.refused_count += 1
            raise piece_cache.PieceError("unavailable")


class Network:
    """Entries whose caches call each other without sockets."""

    def __init__(self, names):
        self.origin = Origin()
        self.records = [
            entry_directory.EntryRecord(name, name[:2], name[:2], "", f"{name}:1", "")
            for name in names
        ]
        self.caches = {
            name: piece_cache.PieceCache(
                name, Pool(self), self.origin, lambda: list(self.records)
            )
            for name in names
        }

    def remove_entry(self, name):
        self.records = [record for record in self.records if record.name != name]


class Pool(http1_pool.ConnectionPool):
    def __init__(self, network):
        super().__init__(task.Clock())
        self._network = network

    async def call(
        self,
        address,
        head,
        body=b"",
        timeout_s=1.0,
        max_body_bytes=0,
        matcher=None,
    ):
        cache = self._network.caches[address.partition(":")[0]]
        target, _, query = head.target.decode().partition("?")
        parameters = dict(item.split("=") for item in query.split("&"))
        held = parameters["held"] == "1"
        number = int(parameters.get("number", piece_placement.MANIFEST_NUMBER))
        key = piece_placement.PieceKey(MODEL, int(parameters["version"]), number)
        try:
            if target == piece_cache.MANIFEST_TARGET:
                content = cache.peek_digests(key) if held else None
                content = content or (
                    None if held else await cache.get_digests(MODEL, 2)
                )
                payload = msgspec.msgpack.encode(content)
            else:
                content = cache.peek_piece(key) if held else await cache.get_piece(key)
                payload = content
        except piece_cache.PieceError:
            return http1_pool.Reply(503, None, b"")
        if content is None:
            return http1_pool.Reply(404, None, b"")
        return http1_pool.Reply(200, None, payload)


class PieceCacheTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.network = Network([f"{r}-{n}" for r in ("r1", "r2") for n in range(3)])
        self.patch(piece_cache.loop, "spawn", asyncio.ensure_future)
        self.patch(piece_cache, "ORIGIN_RETRY_DELAY_S", 0.0)

    async def _announce_version(self):
        """Name version 2 to every entry."""
        caches = self.network.caches.values()
        await asyncio.gather(*(c.fetch_kept_pieces(MODEL, 2) for c in caches))
        for _ in range(50):
            await asyncio.sleep(0)

    def test_origin_serves_each_piece_once(self):
        async def scenario():
            await self._announce_version()
            for cache in self.network.caches.values():
                for number in range(len(BYTES)):
                    key = piece_placement.PieceKey(MODEL, 2, number)
                    self.assertEqual(BYTES[number], await cache.get_piece(key))

        asyncio.run(scenario())
        self.assertEqual(
            list(range(len(BYTES))), sorted(self.network.origin.read_numbers)
        )

    def test_corrupt_piece_is_read_again(self):
        self.network.origin.corrupt_numbers = {3, 5}

        async def scenario():
            await self._announce_version()
            for cache in self.network.caches.values():
                self.assertEqual(
                    BYTES[3],
                    await cache.get_piece(piece_placement.PieceKey(MODEL, 2, 3)),
                )

        asyncio.run(scenario())

    def test_new_owner_gets_its_pieces_without_the_origin(self):
        async def scenario():
            await self._announce_version()
            self.network.origin.is_unavailable = True
            self.network.remove_entry("r1-0")
            for record in self.network.records:
                cache = self.network.caches[record.name]
                for number in range(len(BYTES)):
                    key = piece_placement.PieceKey(MODEL, 2, number)
                    self.assertEqual(BYTES[number], await cache.get_piece(key))

        asyncio.run(scenario())

    def test_pieces_of_lost_entries_are_fetched_before_a_request(self):
        """Otherwise, the pieces are missing once the origin is unavailable."""

        async def scenario():
            await self._announce_version()
            for cache in self.network.caches.values():
                cache.update_kept_pieces(0.0)
            lost = ("r1-0", "r2-0")
            for name in lost:
                self.network.remove_entry(name)
            left = [self.network.caches[r.name] for r in self.network.records]
            for now_s in (1.0, 1.0 + piece_cache.MEMBERSHIP_SETTLE_S):
                for cache in left:
                    cache.update_kept_pieces(now_s)
            for _ in range(200):
                await asyncio.sleep(0)
            self.network.origin.is_unavailable = True
            for number in range(len(BYTES)):
                key = piece_placement.PieceKey(MODEL, 2, number)
                for cache in left:
                    self.assertEqual(BYTES[number], await cache.get_piece(key))

        asyncio.run(scenario())

    def test_transfer_time_may_become_known_after_the_version(self):
        """The first copy of the store contains both, in any order."""

        async def scenario():
            self.patch(piece_cache, "FETCH_RETRY_DELAY_S", 0.0)
            self.network.origin.is_unavailable = True
            transfer_s = 0.0
            cache = piece_cache.PieceCache(
                "r1-0",
                Pool(self.network),
                self.network.origin,
                lambda: self.network.records[:1],
                piece_transfer_s=lambda model: transfer_s,
            )
            fetch_task = asyncio.ensure_future(cache.fetch_kept_pieces(MODEL, 2))
            for _ in range(10):
                await asyncio.sleep(0)
            transfer_s = 600.0
            self.network.origin.is_unavailable = False
            await fetch_task
            for _ in range(50):
                await asyncio.sleep(0)
            self.assertEqual([0], self.network.origin.read_numbers)

        asyncio.run(scenario())

    def test_only_owners_fetch_a_version_that_engines_may_hold(self):
        """After a restart of all processes, perhaps no engine needs the pieces."""

        async def scenario():
            caches = self.network.caches.values()
            await asyncio.gather(
                *(
                    cache.fetch_kept_pieces(MODEL, 2, is_new_version=False)
                    for cache in caches
                )
            )
            for _ in range(50):
                await asyncio.sleep(0)
            for number in range(len(BYTES)):
                key = piece_placement.PieceKey(MODEL, 2, number)
                held = [cache for cache in caches if cache.peek_piece(key)]
                self.assertEqual(1, len(held))

        asyncio.run(scenario())

    def test_short_absence_of_an_entry_moves_no_pieces(self):
        async def scenario():
            await self._announce_version()
            cache = self.network.caches["r1-1"]
            read_count = len(self.network.origin.read_numbers)
            cache.update_kept_pieces(0.0)
            all_records = self.network.records
            self.network.remove_entry("r1-0")
            cache.update_kept_pieces(1.0)
            self.network.records = all_records
            cache.update_kept_pieces(1.0 + piece_cache.MEMBERSHIP_SETTLE_S)
            for _ in range(50):
                await asyncio.sleep(0)
            self.assertEqual(read_count, len(self.network.origin.read_numbers))

        asyncio.run(scenario())

    def test_late_origin_is_requested_again(self):
        self.patch(piece_cache, "FETCH_RETRY_DELAY_S", 0.0)
        self.network.origin.is_unavailable = True

        async def scenario():
            cache = self.network.caches["r1-1"]
            fetch_task = asyncio.ensure_future(cache.fetch_kept_pieces(MODEL, 2))
            for _ in range(20):
                await asyncio.sleep(0)
            self.network.origin.is_unavailable = False
            await fetch_task
            for _ in range(50):
                await asyncio.sleep(0)
            kept = [
                key
                for key in (
                    piece_placement.PieceKey(MODEL, 2, n) for n in range(len(BYTES))
                )
                if piece_placement.is_kept_by(key, self.network.records, "r1-1")
            ]
            self.assertNotEqual([], kept)
            for key in kept:
                self.assertEqual(BYTES[key.number], cache.peek_piece(key))

        asyncio.run(scenario())

    def test_holders_do_not_repeat_what_the_owner_tried_at_an_origin_that_is_away(self):
        async def scenario():
            cache = self.network.caches["r2-1"]
            key = piece_placement.PieceKey(MODEL, 2, 0)
            await cache.get_digests(MODEL, 2)
            self.network.origin.is_unavailable = True
            with testtools.ExpectedException(piece_cache.PieceError):
                await cache.get_piece(key)

        asyncio.run(scenario())
        self.assertEqual(
            piece_cache.ORIGIN_ATTEMPT_COUNT + 1, self.network.origin.refused_count
        )

    def test_missing_piece_raises_an_error(self):
        self.network.origin.is_unavailable = True
        cache = self.network.caches["r1-1"]
        key = piece_placement.PieceKey(MODEL, 2, 0)
        with testtools.ExpectedException(piece_cache.PieceError):
            asyncio.run(cache.get_piece(key))


class RepeatedDigestsTest(testtools.TestCase):
    """Two versions have the same digests, or the origin says so by mistake."""

    def setUp(self):
        super().setUp()
        self.origin = Origin()
        self.cache = piece_cache.PieceCache("e", None, self.origin, list)

    def test_digests_of_another_version_are_taken_only_if_the_origin_repeats_them(self):
        self.origin.digests_by_version = {5: ("a",), 6: ("b",)}
        self.origin.first_digests = [("a",), ("a",), ("b",)]

        async def read_both():
            await self.cache.get_digests(MODEL, 5)
            with testtools.ExpectedException(piece_cache.PieceError):
                await self.cache.get_digests(MODEL, 6)
            return await self.cache.get_digests(MODEL, 6)

        self.assertEqual(("b",), asyncio.run(read_both()))

    def test_two_versions_may_have_the_same_pieces(self):
        async def read_both():
            first = await self.cache.get_digests(MODEL, 5)
            return first, await self.cache.get_digests(MODEL, 6)

        self.assertEqual((DIGESTS, DIGESTS), asyncio.run(read_both()))
        self.assertEqual([6], self.origin.confirmed_versions)
