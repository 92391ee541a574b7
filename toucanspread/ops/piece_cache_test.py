"""Entries get pieces once from the origin, and from each other while it is away."""

import asyncio
import hashlib

import msgspec
import testtools
from twisted.internet import task

from toucanspread.core import data
from toucanspread.core.entry import entry_directory
from toucanspread.core.weights import piece_placement
from toucanspread.ops import http1_pool, piece_cache

MODEL = data.ModelName("m")
BYTES = [b"piece %d" % number for number in range(12)]
DIGESTS = tuple(hashlib.sha256(piece).hexdigest() for piece in BYTES)


class Origin(piece_cache.PieceOrigin):
    def __init__(self):
        self.is_away = False
        self.spoilt = set()
        self.reads = []

    async def read_digests(self, model, version):
        self._check()
        return DIGESTS

    async def read_piece(self, key):
        self._check()
        self.reads.append(key.number)
        if key.number in self.spoilt:
            self.spoilt.discard(key.number)
            return b"spoilt"
        return BYTES[key.number]

    def _check(self):
        if self.is_away:
            raise piece_cache.PieceError("away")


class Network:
    """Some entries with caches that reach each other without sockets."""

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

    def cut(self, name):
        self.records = [record for record in self.records if record.name != name]


class Pool(http1_pool.ConnectionPool):
    def __init__(self, network):
        super().__init__(task.Clock())
        self._network = network

    async def call(self, address, head, body=b"", timeout_s=1.0):
        cache = self._network.caches[address.partition(":")[0]]
        target, _, query = head.target.decode().partition("?")
        wanted = dict(item.split("=") for item in query.split("&"))
        held = wanted["held"] == "1"
        number = int(wanted.get("number", piece_placement.MANIFEST_NUMBER))
        key = piece_placement.PieceKey(MODEL, int(wanted["version"]), number)
        try:
            if target == piece_cache.MANIFEST_TARGET:
                found = cache.peek_digests(key) if held else None
                found = found or (None if held else await cache.get_digests(MODEL, 2))
                payload = msgspec.msgpack.encode(found)
            else:
                found = cache.peek_piece(key) if held else await cache.get_piece(key)
                payload = found
        except piece_cache.PieceError:
            return http1_pool.Reply(503, None, b"")
        if found is None:
            return http1_pool.Reply(404, None, b"")
        return http1_pool.Reply(200, None, payload)


class PieceCacheTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.network = Network([f"{r}-{n}" for r in ("r1", "r2") for n in range(3)])
        self.patch(piece_cache.loop, "spawn", asyncio.ensure_future)
        self.patch(piece_cache, "ORIGIN_RETRY_DELAY_S", 0.0)

    async def _name(self):
        """Let every entry hear of version 2."""
        caches = self.network.caches.values()
        await asyncio.gather(*(c.fetch_kept_pieces(MODEL, 2) for c in caches))
        for _ in range(50):
            await asyncio.sleep(0)

    def test_the_origin_gives_one_copy(self):
        async def play():
            await self._name()
            for cache in self.network.caches.values():
                for number in range(len(BYTES)):
                    key = piece_placement.PieceKey(MODEL, 2, number)
                    self.assertEqual(BYTES[number], await cache.get_piece(key))

        asyncio.run(play())
        self.assertEqual(list(range(len(BYTES))), sorted(self.network.origin.reads))

    def test_a_spoilt_piece_is_read_again(self):
        self.network.origin.spoilt = {3, 5}

        async def play():
            await self._name()
            for cache in self.network.caches.values():
                self.assertEqual(
                    BYTES[3],
                    await cache.get_piece(piece_placement.PieceKey(MODEL, 2, 3)),
                )

        asyncio.run(play())

    def test_a_new_owner_finds_its_pieces_while_the_origin_is_away(self):
        async def play():
            await self._name()
            self.network.origin.is_away = True
            self.network.cut("r1-0")
            for record in self.network.records:
                cache = self.network.caches[record.name]
                for number in range(len(BYTES)):
                    key = piece_placement.PieceKey(MODEL, 2, number)
                    self.assertEqual(BYTES[number], await cache.get_piece(key))

        asyncio.run(play())

    def test_pieces_of_entries_that_were_lost_are_taken_before_they_are_wanted(self):
        """The origin goes away later, when nobody holds what the lost ones held."""

        async def play():
            await self._name()
            for cache in self.network.caches.values():
                cache.update_kept_pieces(0.0)
            lost = ("r1-0", "r2-0")
            for name in lost:
                self.network.cut(name)
            left = [self.network.caches[r.name] for r in self.network.records]
            for now_s in (1.0, 1.0 + piece_cache.MEMBERSHIP_SETTLE_S):
                for cache in left:
                    cache.update_kept_pieces(now_s)
            for _ in range(200):
                await asyncio.sleep(0)
            self.network.origin.is_away = True
            for number in range(len(BYTES)):
                key = piece_placement.PieceKey(MODEL, 2, number)
                for cache in left:
                    self.assertEqual(BYTES[number], await cache.get_piece(key))

        asyncio.run(play())

    def test_the_origins_pace_may_become_known_after_the_version(self):
        """Both come with the first copy, in any order."""

        async def play():
            self.patch(piece_cache, "FETCH_RETRY_DELAY_S", 0.0)
            self.network.origin.is_away = True
            pace_s = 0.0
            cache = piece_cache.PieceCache(
                "r1-0",
                Pool(self.network),
                self.network.origin,
                lambda: self.network.records[:1],
                piece_transfer_s=lambda model: pace_s,
            )
            loop_task = asyncio.ensure_future(cache.fetch_kept_pieces(MODEL, 2))
            for _ in range(10):
                await asyncio.sleep(0)
            pace_s = 600.0
            self.network.origin.is_away = False
            await loop_task
            for _ in range(50):
                await asyncio.sleep(0)
            self.assertEqual([0], self.network.origin.reads)

        asyncio.run(play())

    def test_only_owners_fetch_again_what_engines_may_hold(self):
        """After a restart of everything nobody may need the pieces at all."""

        async def play():
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

        asyncio.run(play())

    def test_entries_that_come_and_go_quickly_move_no_pieces(self):
        async def play():
            await self._name()
            cache = self.network.caches["r1-1"]
            reads = len(self.network.origin.reads)
            cache.update_kept_pieces(0.0)
            everybody = self.network.records
            self.network.cut("r1-0")
            cache.update_kept_pieces(1.0)
            self.network.records = everybody
            cache.update_kept_pieces(1.0 + piece_cache.MEMBERSHIP_SETTLE_S)
            for _ in range(50):
                await asyncio.sleep(0)
            self.assertEqual(reads, len(self.network.origin.reads))

        asyncio.run(play())

    def test_an_origin_that_comes_late_is_asked_again(self):
        self.patch(piece_cache, "FETCH_RETRY_DELAY_S", 0.0)
        self.network.origin.is_away = True

        async def play():
            cache = self.network.caches["r1-1"]
            taking = asyncio.ensure_future(cache.fetch_kept_pieces(MODEL, 2))
            for _ in range(20):
                await asyncio.sleep(0)
            self.network.origin.is_away = False
            await taking
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

        asyncio.run(play())

    def test_without_origin_and_copies_it_says_so(self):
        self.network.origin.is_away = True
        cache = self.network.caches["r1-1"]
        key = piece_placement.PieceKey(MODEL, 2, 0)
        with testtools.ExpectedException(piece_cache.PieceError):
            asyncio.run(cache.get_piece(key))
