"""Tests the client of the platform's store against its stand-in, over loopback."""

import asyncio
import json
import pathlib
import socket
import subprocess
import sys
import urllib.request

import testtools

from toucanspread.ops import loop  # isort: skip  (installs the reactor)

from twisted.internet import reactor, task
from twisted.web import server

from standins import platform_store, platform_store_state
from toucanspread.ops.copies import prefix_store
from toucanspread.ops.http import http1, http1_pool
from toucanspread.platform import store

ROOT = pathlib.Path(__file__).resolve().parent.parent
NO_WAIT_S = 0.0
LONG_WAIT_S = 10.0
TEST_TIMEOUT_S = 20.0


def run(coroutine):
    return loop.EVENT_LOOP.run_until_complete(
        asyncio.wait_for(coroutine, TEST_TIMEOUT_S)
    )


class ServedStoreTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        resource = platform_store.PlatformStoreResource(self.clock, max_page_items=2)
        self.state = resource.state
        site = server.Site(resource)
        port = reactor.listenTCP(0, site, interface="127.0.0.1")
        self.addCleanup(lambda: run(loop.as_future(port.stopListening())))
        self.address = f"127.0.0.1:{port.getHost().port}"
        self.pool = http1_pool.ConnectionPool(reactor)
        self.addCleanup(self.pool.close_idle, self.address)
        self.client = store.PlatformStore(self.pool, self.address)

    def call(self, method, target, body=b""):
        """Return the status and the decoded body of a call."""
        head = http1.RequestHead(method, target, [])
        reply = run(self.pool.call(self.address, head, body))
        return reply.status, json.loads(reply.body)

    def commit(self, **transaction):
        return self.call(b"POST", b"/-/kv-txn", json.dumps(transaction).encode())

    def watch(self, after, wait_s=NO_WAIT_S):
        return self.client.watch("op/", after, wait_s)

    def test_all_pages_of_a_prefix_are_read(self):
        for number in range(5):
            self.state.write_unchecked(f"servers/{number}", b"\xff%d" % number)
        self.state.write_unchecked("op/config", b"{}")
        found = run(self.client.read_all("servers/"))
        self.assertEqual(
            [(f"servers/{n}", b"\xff%d" % n) for n in range(5)],
            [(change.key, change.value) for change in found.changes],
        )
        self.assertEqual(self.state.revision, found.revision)

    def test_pages_and_changes_with_values_of_the_largest_size_are_read(self):
        size_bytes = platform_store_state.MAX_VALUE_BYTES
        first_revision = self.state.revision
        for number in range(5):
            self.state.write_unchecked(f"op/{number}", bytes(size_bytes))
        for answer in (
            run(self.client.read_all("op/")),
            run(self.watch(first_revision)),
        ):
            sizes_bytes = [len(change.value) for change in answer.changes]
            self.assertEqual([size_bytes] * 5, sizes_bytes)

    def test_a_waiting_watch_returns_on_a_change_of_its_prefix_only(self):
        async def write_while_watching():
            waiting = asyncio.ensure_future(self.watch(after, LONG_WAIT_S))
            while self.state.wait_count == 0:
                await asyncio.sleep(0.01)
            self.state.write_unchecked("servers/a", b"other prefix")
            self.state.write_unchecked("op/config", b"new")
            return await waiting

        after = self.state.revision
        found = run(write_while_watching())
        self.assertEqual([b"new"], [change.value for change in found.changes])
        self.assertEqual(self.state.revision, found.revision)

    def test_a_watch_returns_deletions_and_all_writes_in_order(self):
        after = self.state.revision
        self.state.write_unchecked("op/config", b"1")
        self.state.write_unchecked("op/config", b"2")
        self.state.delete_unchecked("op/config")
        found = run(self.watch(after))
        self.assertEqual([b"1", b"2", None], [c.value for c in found.changes])

    def test_a_watch_without_a_change_ends_after_its_wait(self):
        async def let_the_wait_pass():
            waiting = asyncio.ensure_future(self.watch(self.state.revision, 0.5))
            while self.state.wait_count == 0:
                await asyncio.sleep(0.01)
            self.clock.advance(0.5)
            return await waiting

        self.assertEqual([], run(let_the_wait_pass()).changes)

    def test_a_watch_after_a_dropped_revision_reports_the_lost_history(self):
        after = self.state.revision
        self.state.write_unchecked("op/config", b"1")
        self.state.drop_history()
        self.assertRaises(prefix_store.HistoryGoneError, run, self.watch(after))
        self.assertEqual([], self.state.list_events("op/", self.state.revision))

    def test_old_changes_leave_the_history_with_time(self):
        after = self.state.revision
        self.state.write_unchecked("op/config", b"1")
        self.clock.advance(platform_store_state.HISTORY_S + 1)
        self.state.write_unchecked("op/config", b"2")
        self.assertRaises(prefix_store.HistoryGoneError, run, self.watch(after))

    def test_a_key_lives_as_long_as_its_lease_is_renewed(self):
        lease = run(self.client.grant_lease(2.0))
        run(self.client.put("entries/a", b"here", lease))
        self.clock.advance(1.5)
        run(self.client.renew_lease(lease))
        self.clock.advance(1.5)
        self.assertEqual(b"here", self.state.get("entries/a").value)
        self.clock.advance(0.5)
        self.assertIsNone(self.state.get("entries/a"))
        for call in (
            self.client.renew_lease(lease),
            self.client.put("entries/a", b"again", lease),
        ):
            self.assertRaises(prefix_store.LeaseEndedError, run, call)

    def test_a_revoked_lease_removes_its_keys_at_once(self):
        lease = run(self.client.grant_lease(2.0))
        run(self.client.put("entries/a", b"here", lease))
        run(self.client.revoke_lease(lease))
        self.assertIsNone(self.state.get("entries/a"))
        self.clock.advance(5.0)

    def test_the_system_may_not_write_keys_of_operator_and_engines(self):
        revision = self.state.revision
        for key in ("op/config", "servers/a"):
            put = {"key": key, "value": "", "lease": 0}
            self.assertEqual(403, self.commit(puts=[put])[0])
            self.assertEqual(403, self.commit(deletes=[key])[0])
        self.assertEqual(revision, self.state.revision)

    def test_a_failed_condition_changes_nothing_and_returns_the_items(self):
        put = {"key": "a", "value": "MQ==", "lease": 0}
        absent = [{"key": "a", "revision": 0}]
        status, written = self.commit(expected=absent, puts=[put])
        self.assertEqual(200, status)
        other = {**put, "key": "b"}
        status, body = self.commit(expected=absent, puts=[other], deletes=["a"])
        self.assertEqual(412, status)
        self.assertEqual(written["revision"], body["items"][0]["revision"])
        self.assertEqual(404, self.call(b"GET", b"/-/kv-key?key=b")[0])
        status, item = self.call(b"GET", b"/-/kv-key?key=a")
        self.assertEqual((200, "MQ=="), (status, item["value"]))
        self.assertEqual(written["revision"], item["store_revision"])

    def test_a_malformed_call_is_refused(self):
        self.assertEqual(400, self.call(b"POST", b"/-/kv-txn", b"{")[0])
        self.assertEqual(400, self.call(b"GET", b"/-/kv-watch?prefix=a")[0])
        too_many = [f"key-{number}" for number in range(33)]
        self.assertEqual(400, self.commit(deletes=too_many)[0])
        self.assertEqual(404, self.call(b"GET", b"/-/kv-other")[0])


class StoreProcessTest(testtools.TestCase):
    def test_operators_write_keys_of_a_store_that_runs_as_a_process(self):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        command = [sys.executable, "-m", "standins.platform_store", "--port", str(port)]
        process = subprocess.Popen(command, cwd=ROOT)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        address = f"127.0.0.1:{port}"
        write = urllib.request.Request(
            f"http://{address}/admin/keys/op/config", b"{}", method="PUT"
        )
        run(self.send_when_started(write))
        pool = http1_pool.ConnectionPool(reactor)
        self.addCleanup(pool.close_idle, address)
        found = run(store.PlatformStore(pool, address).read_all("op/"))
        self.assertEqual([b"{}"], [change.value for change in found.changes])

    async def send_when_started(self, request):
        while True:
            try:
                answer = await asyncio.to_thread(urllib.request.urlopen, request)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            answer.close()
            return
