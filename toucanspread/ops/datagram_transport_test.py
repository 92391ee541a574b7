"""Tests of the datagram transport over loopback."""

import asyncio

from twisted.internet import defer
from twisted.trial import unittest

from toucanspread.core import data
from toucanspread.core.membership import membership_messages as messages
from toucanspread.ops import datagram_transport, loop


def make_identity(port):
    return data.Identity(
        data.InstanceId("brest-a-1"),
        data.Role.ENTRY,
        data.Incarnation(1),
        data.ZoneName("brest-a"),
        data.RegionName("finistere"),
        data.Address(f"127.0.0.1:{port}"),
    )


class DatagramTransportTest(unittest.TestCase):
    timeout = 10

    def setUp(self):
        self.received = defer.DeferredQueue()
        self.large = []
        self.sender = self.make_transport(lambda event: None)
        self.receiver = self.make_transport(self.received.put)

    def make_transport(self, post):
        transport = datagram_transport.DatagramTransport(
            make_identity(0), post, lambda address, message: self.large.append(message)
        )
        self.addCleanup(lambda: defer.Deferred.fromFuture(loop.spawn(transport.stop())))
        return transport

    async def start(self):
        await self.sender.start()
        await self.receiver.start()
        return f"127.0.0.1:{self.receiver.port}"

    def test_malformed_datagrams_do_not_stop_the_receiver(self):
        async def scenario():
            address = await self.start()
            host, port = address.split(":")
            for payload in (b"", b"\xff" * 50, b"\x80"):
                self.sender._port.write(payload, (host, int(port)))
            self.sender.send(address, messages.Ping(3))
            event = await loop.as_future(self.received.get())
            self.assertEqual(
                (make_identity(0), 3), (event.sender, event.message.number)
            )
            self.assertEqual([], self.received.pending)

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_receiver_requests_the_envelope_of_an_unknown_reference(self):
        async def scenario():
            address = await self.start()
            for number in range(5):
                self.sender.send(address, messages.Ping(number))
                event = await loop.as_future(self.received.get())
                self.assertEqual(
                    (make_identity(0), number), (event.sender, event.message.number)
                )
            self.receiver._senders.clear()
            self.sender.send(address, messages.Ping(5))
            await asyncio.sleep(0.05)
            self.assertEqual([], self.received.pending)
            self.sender.send(address, messages.Ping(6))
            event = await loop.as_future(self.received.get())
            self.assertEqual(6, event.message.number)

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_full_envelope_is_repeated_without_a_request(self):
        async def scenario():
            address = await self.start()
            self.sender._sent_counts[address] = (
                datagram_transport.FULL_ENVELOPE_INTERVAL_COUNT - 1
            )
            self.patch(self.receiver, "_write", lambda payload, target: None)
            self.sender.send(address, messages.Ping(1))
            self.sender.send(address, messages.Ping(2))
            event = await loop.as_future(self.received.get())
            self.assertEqual(2, event.message.number)

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_message_over_datagram_size_goes_to_send_large(self):
        async def scenario():
            address = await self.start()
            update = messages.make_update(make_identity(1), data.MemberState.LIVE, 0)
            view = messages.View((update,) * 20)
            self.sender.send(address, view)
            self.assertEqual([view], self.large)

        return defer.Deferred.fromFuture(loop.spawn(scenario()))

    def test_send_to_malformed_address_does_not_raise(self):
        async def scenario():
            await self.start()
            self.sender.send("nowhere", messages.Ping(1))

        return defer.Deferred.fromFuture(loop.spawn(scenario()))
