"""Tests of the instance list client against the stand-in service over loopback."""

import asyncio

from twisted.internet import defer, reactor, task
from twisted.trial import unittest
from twisted.web import server

from standins import instance_list as standin
from toucanspread.core import data
from toucanspread.ops import instance_list, loop
from toucanspread.ops.http import http_client

ROW = {
    "instance_id": "brest-a-1",
    "role": "entry",
    "zone": "brest-a",
    "region": "finistere",
    "address": "127.0.0.1:7000",
}


class InstanceListTest(unittest.TestCase):
    timeout = 10

    def setUp(self):
        self.clock = task.Clock()
        self.standin = standin.InstanceListResource(lag_s=5.0, clock=self.clock)
        site = server.Site(self.standin)
        self.port = reactor.listenTCP(0, site, interface="127.0.0.1")
        self.url = f"http://127.0.0.1:{self.port.getHost().port}"
        self.client = instance_list.HttpInstanceList(self.url)
        self.web = http_client.HttpClient.from_url(self.url)
        self.addCleanup(lambda: defer.Deferred.fromFuture(loop.spawn(self._stop())))

    async def _stop(self):
        await self.client.close()
        await self.web.close()
        await loop.as_future(defer.maybeDeferred(self.port.stopListening))
        await asyncio.sleep(0.01)

    async def administer(self, path, body=b"{}"):
        await self.web.call("PUT", f"/admin/{path}", body)

    def test_read_reports_late_instances_and_leaving_ones(self):
        async def scenario():
            await self.administer("instances", standin.json.dumps([ROW]).encode())
            self.assertEqual((), (await self.client.read()).event.instances)
            self.clock.advance(5.0)
            first = (await self.client.read()).event
            self.assertEqual("brest-a-1", first.instances[0].instance_id)
            self.assertEqual(0, first.instances[0].incarnation)
            self.assertIsNone(await self.client.read())
            await self.administer("leaving/brest-a-1")
            self.clock.advance(5.0)
            second = (await self.client.read()).event
            self.assertEqual((data.InstanceId("brest-a-1"),), second.leaving)

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_malformed_list_raises_an_error(self):
        async def scenario():
            await self.administer("instances", b'[{"instance_id": "x"}]')
            self.clock.advance(5.0)
            with self.assertRaises(instance_list.InstanceListError):
                await self.client.read()

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_poll_interval_increases_with_the_size_of_the_list(self):
        self.assertEqual(
            instance_list.POLL_INTERVAL_S, instance_list.compute_poll_interval(2_000)
        )
        self.assertEqual(256.0, instance_list.compute_poll_interval(1024 * 1024))
