"""Tests over loopback what callers that read slowly cost and get."""

import asyncio
import socket
import tracemalloc

from twisted.internet import reactor

from standins import endless_server, running_reactor
from toucanspread.core import data
from toucanspread.core.entry import request_timing
from toucanspread.ops import loop
from toucanspread.ops.forwarding import forwarder_loopback_test, forwarder_test
from toucanspread.ops.http import http1, http1_server

CALLER_COUNT = 10
MAX_BYTES_PER_CALLER = 524_288
RECEIVE_BUFFER_BYTES = 16_384
TIMEOUT_S = 30.0
TIMEOUT_MS = int(TIMEOUT_S * 1000)
REQUEST = forwarder_test.REQUEST.replace(b"-Ms: 3000", b"-Ms: %d" % TIMEOUT_MS)
EVENTS = [b"id: %d\ndata: %b\n\n" % (n, b"a" * 10_000) for n in range(1, 600)]


def run(coroutine):
    return loop.EVENT_LOOP.run_until_complete(asyncio.wait_for(coroutine, TIMEOUT_S))


class StreamingEngine:
    """Streams all events as fast as they are read.

    :ivar sent_count: number of events that were sent.
    :ivar closed_count: number of connections that ended before all events were sent.
    """

    def __init__(self):
        self.sent_count = 0
        self.closed_count = 0

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\nhi")
            writer.write(forwarder_test.STREAM)
            for event in EVENTS:
                writer.write(forwarder_test.chunk(event))
                await writer.drain()
                self.sent_count += 1
            writer.write(http1.LAST_CHUNK)
        except ConnectionError:
            self.closed_count += 1
        writer.close()


class SlowCallerCase(forwarder_loopback_test.LoopbackCase):
    """Forwards to one server that plays all engines."""

    def make_configuration(self):
        config = super().make_configuration()
        routes = [{**route, "timeout_ms": TIMEOUT_MS} for route in config["routes"]]
        return {**config, "routes": routes}

    def start(self):
        running_reactor.start(self)
        self.callers = []
        self.addCleanup(lambda: run(self.close_callers()))
        self.address = self.start_engine()
        super().start()
        factory = http1_server.ServerFactory(self.forwarder, reactor)
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        self.entry_address = ("127.0.0.1", port.getHost().port)

    def get_address(self, service, number):
        return self.address

    async def call(self):
        """Send a request whose answer isn't read; return the socket."""
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        caller.setblocking(False)
        self.callers.append(caller)
        await loop.EVENT_LOOP.sock_connect(caller, self.entry_address)
        await loop.EVENT_LOOP.sock_sendall(caller, REQUEST)
        return caller

    async def close_callers(self):
        """Close all connections, and wait until this has taken effect."""
        self.connection.connectionLost()
        for caller in self.callers:
            caller.close()
        await asyncio.sleep(0.05)
        self.pool.close_idle(self.address)
        await asyncio.sleep(0.01)


class ManySlowCallersTest(SlowCallerCase):
    def setUp(self):
        # The whole test may be held up for longer on a busy machine.
        self.patch(request_timing, "STREAM_GAP_TIMEOUT_S", TIMEOUT_S)
        super().setUp()

    def make_configuration(self):
        config = super().make_configuration()
        limits = {**config.get("limits", {}), "idle_timeout_ms": TIMEOUT_MS}
        return {**config, "limits": limits}

    def start_engine(self):
        beginning = endless_server.ENDLESS_ENGINE_ANSWERS["events"].beginning
        answer = endless_server.EndlessAnswer(beginning, EVENTS[0])
        self.server = endless_server.EndlessServer(answer)
        port = reactor.listenTCP(0, self.server, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        return data.Address(f"127.0.0.1:{port.getHost().port}")

    async def wait_until_sending_stops(self):
        sent_bytes = -1
        while sent_bytes < self.server.sent_bytes:
            sent_bytes = self.server.sent_bytes
            await asyncio.sleep(0.3)

    async def wait_for_closes(self):
        while self.server.closed_count < CALLER_COUNT:
            await asyncio.sleep(0.01)

    def test_memory_for_callers_that_read_nothing_is_bounded(self):
        for _ in range(CALLER_COUNT):
            run(self.call())
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        run(self.wait_until_sending_stops())
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLess(peak_bytes, CALLER_COUNT * MAX_BYTES_PER_CALLER)
        self.assertEqual(CALLER_COUNT, self.server.opened_count)
        self.assertEqual(0, self.server.closed_count)

    def test_disconnections_of_callers_that_read_nothing_reach_the_engine(self):
        for _ in range(CALLER_COUNT):
            run(self.call())
        run(self.wait_until_sending_stops())
        for caller in self.callers:
            caller.close()
        run(self.wait_for_closes())
        self.assertEqual(CALLER_COUNT, self.server.closed_count)
        self.assertEqual(set(), self.forwarder.in_progress)


class SlowReaderTest(SlowCallerCase):
    def start_engine(self):
        self.engine = StreamingEngine()
        return self.listen(self.engine)

    async def read(self, caller):
        """Return the body of the answer, read with pauses."""
        received = bytearray()
        while not received.endswith(http1.LAST_CHUNK):
            part = await loop.EVENT_LOOP.sock_recv(caller, 262_144)
            if not part:
                break
            received += part
            await asyncio.sleep(0.002)
        return bytes(received)

    async def read_late(self):
        caller = await self.call()
        await asyncio.sleep(1.0)
        return await self.read(caller)

    def test_stream_that_is_read_late_and_slowly_is_complete(self):
        received = run(self.read_late())
        body = b"".join(forwarder_test.chunk(event) for event in EVENTS)
        missing = [e for e in EVENTS if e not in received]
        self.assertEqual([], missing)
        self.assertEqual(len(body), len(received) - received.index(b"\r\n\r\n") - 9)
        self.assertEqual(len(EVENTS), self.engine.sent_count)

    def test_two_streams_do_not_block_each_other(self):
        run(self.call())
        run(asyncio.sleep(0.3))
        received = run(self.read(run(self.call())))
        self.assertTrue(received.endswith(http1.LAST_CHUNK))
