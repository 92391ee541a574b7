"""Tests of the key-value client against the stand-in service over loopback."""

import asyncio

from twisted.internet import defer, reactor
from twisted.trial import unittest
from twisted.web import server

from standins import key_value as standin
from toucanspread.core import data, effects
from toucanspread.ops import key_value, loop

Status = data.KvStatus
KEY = "toucanspread/config"


class KeyValueTest(unittest.TestCase):
    timeout = 10

    def setUp(self):
        self.standin = standin.KeyValueResource()
        site = server.Site(self.standin)
        self.port = reactor.listenTCP(0, site, interface="127.0.0.1")
        self.addCleanup(lambda: defer.Deferred.fromFuture(loop.spawn(self._stop())))
        self.answers = defer.DeferredQueue()
        self.service = self.client()
        self.adapter = key_value.KeyValueAdapter(self.service, self.answers.put)

    def client(self):
        port = self.port.getHost().port
        return key_value.HttpKeyValueService(f"http://127.0.0.1:{port}")

    async def _stop(self):
        await self.adapter.stop()
        await loop.as_future(defer.maybeDeferred(self.port.stopListening))
        await asyncio.sleep(0.01)
        for call in reactor.getDelayedCalls():
            call.cancel()

    async def execute(self, kind, **fields):
        effect = kind(operation_id=data.OperationId("op"), **fields)
        self.adapter.handlers()[kind](effect)
        return await loop.as_future(self.answers.get())

    def write(self, value, expected):
        return self.execute(
            effects.KvWrite, key=KEY, value=value, expected_version=expected
        )

    def acquire(self, holder="a", ttl_s=10.0):
        return self.execute(effects.LeaseAcquire, key=KEY, holder=holder, ttl_s=ttl_s)

    def test_write_with_stale_version_is_a_conflict(self):
        async def scenario():
            first = await self.write(b"one", 0)
            self.assertEqual(Status.OK, first.status)
            again = await self.write(b"two", 0)
            self.assertEqual(Status.CONFLICT, again.status)
            second = await self.write(b"two", first.version)
            self.assertTrue(second.version > first.version)
            read = await self.execute(effects.KvRead, key=KEY)
            self.assertEqual((b"two", second.version), (read.value, read.version))

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_write_with_lost_answer_is_unknown_and_applied(self):
        async def scenario():
            self.standin.faults.lose_answers = 1
            lost = await self.write(b"one", 0)
            self.assertEqual(Status.UNKNOWN, lost.status)
            read = await self.execute(effects.KvRead, key=KEY)
            self.assertEqual(b"one", read.value)

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_write_over_refused_connection_is_not_applied(self):
        async def scenario():
            await loop.as_future(self.port.stopListening())
            refused = await self.write(b"one", 0)
            self.assertEqual(Status.NOT_APPLIED, refused.status)

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_write_to_unavailable_service_is_unknown(self):
        async def scenario():
            self.standin.faults.down = True
            failed = await self.write(b"one", 0)
            self.assertEqual(Status.UNKNOWN, failed.status)

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_silent_service_times_out(self):
        self.patch(key_value, "CALL_TIMEOUT_S", 0.05)

        async def scenario():
            self.standin.faults.slow_s = 1000.0
            failed = await self.write(b"one", 0)
            self.assertEqual(Status.UNKNOWN, failed.status)
            self.standin.faults.slow_s = 0.0
            self.assertEqual(Status.OK, (await self.write(b"one", 0)).status)

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_watch_returns_a_change_with_one_request(self):
        async def scenario():
            first = await self.write(b"one", 0)
            watching = loop.spawn(self.service.watch(KEY, first.version, wait_s=5.0))
            await asyncio.sleep(0.02)
            other = self.client()
            await other.write(KEY, b"two", first.version)
            await other.close()
            self.assertEqual(b"two", (await watching).value)
            self.assertEqual(1, self.standin.calls["watch"])

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_watch_of_an_absent_key_ends_unchanged(self):
        async def scenario():
            fields = {"key": KEY, "after_version": 0, "wait_s": 0.05}
            answer = await self.execute(effects.KvWatch, **fields)
            self.assertEqual(Status.UNCHANGED, answer.status)

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_watch_returns_a_restored_older_state(self):
        async def scenario():
            first = await self.write(b"one", 0)
            self.standin.store.save()
            second = await self.write(b"two", first.version)
            self.standin.store.restore()
            answer = await self.service.watch(KEY, second.version, wait_s=5.0)
            self.assertEqual((b"one", first.version), (answer.value, answer.version))

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_new_holder_of_a_lease_gets_a_higher_fence(self):
        async def scenario():
            first = await self.acquire(ttl_s=0.1)
            other = self.client()
            refused = await other.acquire(KEY, "b", ttl_s=10.0)
            self.assertEqual((Status.CONFLICT, "a"), (refused.status, refused.holder))
            await asyncio.sleep(0.12)
            second = await other.acquire(KEY, "b", ttl_s=10.0)
            self.assertTrue(second.fence > first.fence)
            fields = {"key": KEY, "holder": "a", "fence": first.fence, "ttl_s": 10.0}
            late = await self.execute(effects.LeaseRenew, **fields)
            self.assertEqual(Status.CONFLICT, late.status)
            await other.close()

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_acquire_with_lost_answer_is_read_back(self):
        async def scenario():
            create_session = self.service._create_session

            async def create_then_lose(ttl_s):
                session = await create_session(ttl_s)
                self.standin.faults.lose_answers = 1
                return session

            self.patch(self.service, "_create_session", create_then_lose)
            granted = await self.acquire()
            self.assertEqual((Status.OK, "a"), (granted.status, granted.holder))

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_renewal_with_lost_answer_keeps_the_lease(self):
        async def scenario():
            granted = await self.acquire()
            fields = {"key": KEY, "holder": "a", "fence": granted.fence, "ttl_s": 10.0}
            self.standin.faults.lose_answers = 1
            lost = await self.execute(effects.LeaseRenew, **fields)
            self.assertEqual(Status.UNKNOWN, lost.status)
            renewed = await self.execute(effects.LeaseRenew, **fields)
            self.assertEqual(
                (Status.OK, granted.fence), (renewed.status, renewed.fence)
            )

        return defer.Deferred.fromFuture(loop.spawn(scenario()))
