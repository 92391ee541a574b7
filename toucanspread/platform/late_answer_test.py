"""Tests over loopback that no call takes the answer to an earlier one for its own.

The server sends a copy of the last answer on a connection again where the next one is
expected.
"""

import asyncio
import json
from types import SimpleNamespace

import testtools
from twisted.internet import reactor

from standins import repeating_server, running_reactor
from toucanspread.core import data
from toucanspread.core.view import store_view
from toucanspread.core.weights import piece_placement
from toucanspread.ops import loop
from toucanspread.ops.copies import (
    excerpt_client,
    excerpt_server,
    newer_values,
    prefix_store,
)
from toucanspread.ops.http import http1, http1_pool
from toucanspread.ops.pieces import piece_cache
from toucanspread.platform import decoding, engine, entry_handlers, store

CLOSE_S = 0.02  # until both ends of a connection are closed
MAX_PIECE_BYTES = 65_536


class LateAnswerTestCase(testtools.TestCase):
    """Calls a server that repeats its answers."""

    def setUp(self):
        super().setUp()
        running_reactor.start(self)
        self.pool = http1_pool.ConnectionPool(reactor)

    def run_async(self, coroutine):
        return loop.EVENT_LOOP.run_until_complete(coroutine)

    def start_server(self, answer):
        """Start a server and return its address."""
        self.server = repeating_server.RepeatingServer(answer)
        address = self.run_async(self.server.start())
        self.addCleanup(self.server.server.close)
        self.addCleanup(self.close_connections, address)
        return address

    def close_connections(self, address):
        # A test of trial that runs later fails if any is left.
        self.pool.close_idle(address)
        self.run_async(asyncio.sleep(CLOSE_S))

    def call(self, coroutine):
        """Return the result of a call once its connection is idle."""

        async def call():
            result = await coroutine
            await asyncio.sleep(0)
            return result

        return self.run_async(call())


class OriginTest(LateAnswerTestCase):
    def make_origin(self, answer):
        address = self.start_server(answer)
        return engine.Origin(self.pool, lambda: address, lambda _: MAX_PIECE_BYTES)

    async def make_manifest(self, method, target):
        version = int(target.rpartition("=")[2])
        digests = [f"digest of {version}"]
        manifest = {"model": "m", "version": version, "digests": digests}
        return 200, json.dumps(manifest).encode()

    async def make_unnamed_manifest(self, method, target):
        return 200, json.dumps({"digests": [target]}).encode()

    def test_the_manifest_of_another_version_is_not_taken(self):
        origin = self.make_origin(self.make_manifest)
        for version in (5, 6, 7, 8):
            digests = self.call(origin.read_digests("m", version))
            self.assertEqual((f"digest of {version}",), digests)

    def test_a_manifest_without_a_version_is_not_taken_for_another(self):
        origin = self.make_origin(self.make_unnamed_manifest)
        for version in (5, 6, 7, 8):
            digests = self.call(origin.read_digests("m", version))
            self.assertEqual((f"/-/manifest/m?version={version}",), digests)

    def test_a_manifest_of_another_model_is_not_taken(self):
        async def answer(method, target):
            model = target.rpartition("/")[2].partition("?")[0]
            manifest = {"model": model, "version": 5, "digests": [model]}
            return 200, json.dumps(manifest).encode()

        origin = self.make_origin(answer)
        for model in ("a", "b", "a"):
            self.assertEqual((model,), self.call(origin.read_digests(model, 5)))

    def test_an_origin_that_only_has_another_version_is_asked_twice_at_most(self):
        async def answer(method, target):
            return await self.make_manifest(method, "version=5")

        origin = self.make_origin(answer)
        with testtools.ExpectedException(piece_cache.PieceError):
            self.call(origin.read_digests("m", 6))
        self.assertLessEqual(len(self.server.targets), 2)


class Exchange:
    """A request to an entry, and its answer."""

    def __init__(self, target):
        self.head = http1.RequestHead(b"GET", target.encode(), [])
        self.on_disconnected = None

    def respond(self, status, headers=(), body=b""):
        self.status = status
        self.headers = headers
        self.body = body


class Pieces:
    """Digests that an entry has in memory."""

    async def get_digests(self, model, version):
        return (f"digest of {version}",)

    def peek_digests(self, key):
        return None


class EntryManifestTest(LateAnswerTestCase):
    """A sidecar or an entry asks another entry for manifests."""

    async def answer(self, method, target):
        exchange = Exchange(target)
        program = SimpleNamespace(pieces=Pieces(), is_leaving=False)
        self.patch(loop, "spawn", self.spawned.append)
        entry_handlers.ControlHandler(program).on_request(exchange)
        await self.spawned.pop()
        return exchange.status, exchange.body

    async def answer_as_before_names(self, method, target):
        return await self.answer(method, target.replace("&named=1", ""))

    def check(self, answer):
        self.spawned = []
        address = self.start_server(answer)
        for version in (5, 6, 7):
            key = piece_placement.PieceKey(
                data.ModelName("m"), version, piece_placement.MANIFEST_NUMBER
            )
            digests = self.call(piece_cache.fetch_digests(self.pool, address, key))
            self.assertEqual((f"digest of {version}",), digests)

    def test_the_manifest_of_another_version_is_not_taken_from_an_entry(self):
        self.check(self.answer)

    def test_no_manifest_of_an_entry_of_an_earlier_release_is_taken_for_another(self):
        self.check(self.answer_as_before_names)


class ExcerptTest(LateAnswerTestCase):
    """A process asks an entry for parts of its copy of the store."""

    async def answer(self, method, target):
        exchange = Exchange(target)
        program = SimpleNamespace(excerpts=self.excerpts, is_leaving=False)
        entry_handlers.ControlHandler(program).on_request(exchange)
        return exchange.status, exchange.body, exchange.headers

    async def answer_as_before_call_ids(self, method, target):
        return await self.answer(method, target.partition("&call=")[0])

    def start_entry(self, answer):
        view = store_view.View(decoding.read_version)
        self.excerpts = excerpt_server.ExcerptServer(view, reactor)
        changes = [
            store_view.KeyChange(key, 3, b'{"version":3}')
            for key in ("op/config", "servers/a")
        ]
        view.replace(changes, 3, 0.0)
        return self.start_server(answer)

    def fetch(self, address, *prefixes):
        request = excerpt_client.ExcerptRequest(0, prefixes)
        return self.call(excerpt_client.fetch_excerpt(self.pool, address, request, 1.0))

    def test_the_items_of_one_request_are_not_taken_for_those_of_another(self):
        address = self.start_entry(self.answer)
        self.fetch(address, "op/config")
        excerpt = self.fetch(address, "op/", "servers/")
        self.assertEqual(2, len(excerpt.changes))

    def test_newer_values_are_not_taken_for_an_excerpt(self):
        address = self.start_entry(self.answer)
        request = newer_values.NewerValuesRequest(("op/",), {"op/config": 1})
        newer = newer_values.fetch_newer(self.pool, [address], request)
        self.assertEqual(1, len(self.call(newer)))
        self.assertEqual(2, len(self.fetch(address, "op/", "servers/").changes))

    def test_an_entry_of_an_earlier_release_is_followed(self):
        address = self.start_entry(self.answer_as_before_call_ids)
        for _ in range(2):
            self.assertEqual(1, len(self.fetch(address, "op/config").changes))
        self.run_async(asyncio.sleep(5 * repeating_server.LATE_S))
        self.assertEqual(2, len(self.server.targets))


class StoreTest(LateAnswerTestCase):
    """The store has two items, of which one is the record of an entry."""

    def make_store(self, answer):
        self.lease_pool = http1_pool.ConnectionPool(reactor)
        address = self.start_server(answer)
        self.addCleanup(self.lease_pool.close_idle, address)
        return store.PlatformStore(self.pool, address, self.lease_pool)

    async def answer_read(self, method, target):
        keys = ["entries/a"]
        if "prefix=&" in f"{target}&":
            keys.append("op/config")
        items = [{"key": key, "revision": 7, "value": "YQ=="} for key in keys]
        return encode({"items": items, "has_more": False, "store_revision": 7})

    def test_the_items_of_one_prefix_are_not_taken_for_the_whole_store(self):
        client = self.make_store(self.answer_read)
        self.call(client.read_all("entries/"))
        changes = self.call(client.read_all("")).changes
        self.assertEqual(["entries/a", "op/config"], [c.key for c in changes])

    def test_the_same_page_is_not_taken_for_the_next(self):
        async def answer(method, target):
            key = "b" if "after=a" in target else "a"
            items = [{"key": key, "revision": 7, "value": "YQ=="}]
            page = {"items": items, "has_more": key == "a", "store_revision": 7}
            return encode(page)

        changes = self.call(self.make_store(answer).read_all("")).changes
        self.assertEqual(["a", "b"], [change.key for change in changes])

    def test_changes_of_the_last_watch_are_not_taken_for_the_next(self):
        async def answer(method, target):
            after = int(target.partition("after=")[2].partition("&")[0])
            event = {"key": "op/config", "revision": after + 1, "value": "YQ=="}
            return encode({"events": [event], "store_revision": after + 1})

        client = self.make_store(answer)
        for after in (5, 6, 7):
            watched = self.call(client.watch("", after, 0.5))
            self.assertEqual([after + 1], [c.revision for c in watched.changes])

    def test_the_end_of_the_last_watch_is_not_taken_for_that_of_the_next(self):
        async def answer(method, target):
            events = []
            if len(self.server.targets) > 1:
                events = [{"key": "op/config", "revision": 6, "value": "YQ=="}]
            else:
                await asyncio.sleep(0.2)
            return encode({"events": events, "store_revision": 5 + len(events)})

        client = self.make_store(answer)
        self.assertEqual([], self.call(client.watch("", 5, 0.2)).changes)
        self.assertEqual(6, self.call(client.watch("", 5, 0.2)).revision)

    def test_a_lost_write_is_not_taken_as_done_by_the_answer_to_the_last(self):
        async def answer(method, target):
            if len(self.server.targets) == 1:
                return encode({"revision": 8})
            return 503, b""

        client = self.make_store(answer)
        self.call(client.put("k", b"v", 1))
        with testtools.ExpectedException(prefix_store.StoreError):
            self.call(client.put("k", b"v", 1))

    def test_each_lease_is_that_of_its_own_grant(self):
        async def answer(method, target):
            return encode({"lease": len(self.server.targets)})

        client = self.make_store(answer)
        leases = [self.call(client.grant_lease(4.0)) for _ in range(3)]
        self.assertEqual([1, 2, 3], leases)

    def test_an_ended_lease_is_not_taken_as_renewed_by_the_answer_to_a_watch(self):
        async def answer(method, target):
            if method == "POST":
                return 404, b""
            return encode({"events": [], "store_revision": 5})

        client = self.make_store(answer)
        self.call(client.watch("", 5, 0.0))
        with testtools.ExpectedException(prefix_store.LeaseEndedError):
            self.call(client.renew_lease(1))

    def test_a_lease_is_ended_by_no_answer_to_another_call(self):
        async def answer(method, target):
            if method == "DELETE":
                return 503, b""
            return encode({"revision": 8})

        client = self.make_store(answer)
        self.call(client.put("k", b"v", 1))
        with testtools.ExpectedException(prefix_store.StoreError):
            self.call(client.revoke_lease(1))


def encode(answer):
    """Return a successful answer with a JSON body."""
    return 200, json.dumps(answer).encode()
