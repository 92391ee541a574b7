"""Tests of datagrams over loopback."""

import asyncio

from twisted.internet import defer
from twisted.trial import unittest

from toucanspread.core import data
from toucanspread.core.membership import membership_messages as messages
from toucanspread.ops import datagram_transport, loop


def identity(port):
    return data.Identity(
        data.InstanceId("brest-a-1"),
        data.Role.ENTRY,
        data.Incarnation(1),
        data.ZoneName("brest-a"),
        data.RegionName("finistere"),
        data.Address(f"127.0.0.1:{port}"),
    )


class DatagramsTest(unittest.TestCase):
    timeout = 10

    def setUp(self):
        self.received = defer.DeferredQueue()
        self.large = []
        self.sender = self.build(lambda event: None)
        self.receiver = self.build(self.received.put)

    def build(self, post):
        built = datagram_transport.DatagramTransport(
            identity(0), post, lambda address, message: self.large.append(message)
        )
        self.addCleanup(lambda: defer.Deferred.fromFuture(loop.spawn(built.stop())))
        return built

    async def start(self):
        await self.sender.start()
        await self.receiver.start()
        return f"127.0.0.1:{self.receiver.port}"

    def test_message_arrives_after_malformed_ones(self):
        async def scenario():
            address = await self.start()
            host, port = address.split(":")
            for payload in (b"", b"\xff" * 50, b"\x80"):
                self.sender._port.write(payload, (host, int(port)))
            self.sender.send(address, messages.Ping(3))
            event = await loop.as_future(self.received.get())
            self.assertEqual((identity(0), 3), (event.sender, event.message.number))
            self.assertEqual([], self.received.pending)

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_sender_is_known_by_reference_and_introduced_again(self):
        async def scenario():
            address = await self.start()
            for number in range(5):
                self.sender.send(address, messages.Ping(number))
                event = await loop.as_future(self.received.get())
                self.assertEqual(
                    (identity(0), number), (event.sender, event.message.number)
                )
            self.receiver._senders.clear()
            self.sender.send(address, messages.Ping(5))
            await asyncio.sleep(0.05)
            self.assertEqual([], self.received.pending)
            self.sender.send(address, messages.Ping(6))
            event = await loop.as_future(self.received.get())
            self.assertEqual(6, event.message.number)

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_sender_is_introduced_again_without_being_asked(self):
        async def scenario():
            address = await self.start()
            self.sender._introduced[address] = (
                datagram_transport.FULL_ENVELOPE_INTERVAL_COUNT - 1
            )
            self.patch(self.receiver, "_write", lambda payload, target: None)
            self.sender.send(address, messages.Ping(1))
            self.sender.send(address, messages.Ping(2))
            event = await loop.as_future(self.received.get())
            self.assertEqual(2, event.message.number)

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_large_message_takes_the_other_way(self):
        async def scenario():
            address = await self.start()
            update = messages.make_update(identity(1), data.MemberState.LIVE, 0)
            view = messages.View((update,) * 20)
            self.sender.send(address, view)
            self.assertEqual([view], self.large)

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_unusable_address_is_a_loss(self):
        async def scenario():
            await self.start()
            self.sender.send("nowhere", messages.Ping(1))

        return defer.Deferred.fromFuture(loop.spawn(scenario()))
