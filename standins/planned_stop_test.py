"""Tests what callers of an entry's process get of their answers at a planned stop."""

import asyncio
import socket
import time

from standins import platform_engine, platform_programs_test
from toucanspread.ops import loop

GRACE_S = 4
TIMEOUT_MS = 30_000
HEAD = (
    b"POST /a/x HTTP/%b\r\nHost: jepu9.example\r\nX-Attempt-Id: 9c41d07be2a35f68\r\n"
    b"X-Timeout-Ms: 60000\r\nApi-Key: jnbanfqasnmgkcuyj8pj\r\nContent-Length: 2\r\n\r\n"
)
LATE_TIMEOUT_MS = 2_000  # ends before the grace does
REQUEST = HEAD % b"1.1" + b"hi"
BODY = bytes(range(256)) * 12_000
RECEIVE_BUFFER_BYTES = 16_384
STREAM = (
    b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Attempt-Id: 9c41d07be2a35f68\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
run = platform_programs_test.run


class EndlessStreamEngine:
    """Sends an event every 0.1 s until the connection ends."""

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\nhi")
            writer.write(STREAM)
            for number in range(1, 200):
                event = b"id: %d\ndata: a\n\n" % number
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(0.1)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()


class PlannedStopCase(platform_programs_test.ProgramsTestCase):
    @classmethod
    def start_programs(cls):
        cls.entry = cls.deployment.start_entry("entry-1", GRACE_S)
        cls.deployment.timeout_ms = TIMEOUT_MS
        cls.deployment.write_configuration(3, "/a/")
        cls.wait_until(cls.is_serving)

    @classmethod
    async def is_serving(cls):
        return await platform_programs_test.have_readiness([cls.entry], 200)

    async def connect(self):
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        caller.setblocking(False)
        self.addCleanup(caller.close)
        host, _, port = self.entry.get_address("front").rpartition(":")
        await loop.EVENT_LOOP.sock_connect(caller, (host, int(port)))
        return caller

    async def read(self, caller, pause_s=0.0, part_bytes=65_536):
        """Return what is read until the end, and how it ended."""
        received = bytearray()
        try:
            while part := await loop.EVENT_LOOP.sock_recv(caller, part_bytes):
                received += part
                await asyncio.sleep(pause_s)
        except ConnectionResetError:
            return bytes(received), "reset"
        return bytes(received), "closed"

    def tearDown(self):
        super().tearDown()
        deadline_s = time.monotonic() + GRACE_S
        while self.entry.exit_code is None and time.monotonic() < deadline_s:
            time.sleep(0.05)


class SlowCallerAtStopTest(PlannedStopCase):
    async def read_while_it_stops(self):
        caller = await self.connect()
        late = await self.connect()
        late_request = REQUEST.replace(b"60000", b"%d" % LATE_TIMEOUT_MS)
        await loop.EVENT_LOOP.sock_sendall(caller, REQUEST)
        await loop.EVENT_LOOP.sock_sendall(late, late_request[:40])
        await asyncio.sleep(0.3)
        self.entry.terminate()
        reading = asyncio.ensure_future(self.read(caller, 0.002, 8_192))
        await asyncio.sleep(0.5)
        await loop.EVENT_LOOP.sock_sendall(late, late_request[40:])
        return await asyncio.gather(reading, self.read(late))

    def test_slow_caller_and_one_with_part_of_a_head_get_whole_answers(self):
        self.patch(platform_engine, "ANSWER_BODY", BODY)
        (slow, slow_end), (late, late_end) = run(self.read_while_it_stops())
        self.assertEqual((True, "closed"), (slow.endswith(BODY), slow_end))
        self.assertEqual((True, "closed"), (late.endswith(BODY), late_end))


class LastMomentTest(PlannedStopCase):
    async def read_while_it_stops(self):
        caller = await self.connect()
        await loop.EVENT_LOOP.sock_sendall(caller, REQUEST)
        await asyncio.sleep(0.3)
        self.entry.terminate()
        return await self.read(caller, 0.012, 8_192)

    def test_answer_written_before_the_end_of_the_grace_is_whole(self):
        self.patch(platform_engine, "ANSWER_BODY", BODY)
        received, end = run(self.read_while_it_stops())
        self.assertEqual((True, "closed"), (received.endswith(BODY), end))


class UnframedStreamCase(PlannedStopCase):
    @classmethod
    def setUpClass(cls):
        starting = asyncio.start_server(EndlessStreamEngine().serve, "127.0.0.1", 0)
        cls.server = run(starting)
        cls.addClassCleanup(cls.server.close)
        super().setUpClass()

    @classmethod
    def start_programs(cls):
        port = cls.server.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        cls.deployment._write_engine(
            "i-plain", "plain", address, platform_engine.BORN_MS
        )
        super().start_programs()


class UnframedStreamAtStopTest(UnframedStreamCase):
    async def read_while_it_stops(self, version):
        caller = await self.connect()
        request = HEAD % version + b"hi"
        await loop.EVENT_LOOP.sock_sendall(caller, request)
        await asyncio.sleep(0.3)
        self.entry.terminate()
        return await self.read(caller)

    def test_stream_to_an_http_1_0_caller_cut_by_the_stop_does_not_look_complete(self):
        received, end = run(self.read_while_it_stops(b"1.0"))
        self.assertIn(b"id: 1\n", received)
        self.assertEqual("reset", end)


class UnframedStreamAtKillTest(UnframedStreamCase):
    async def read_while_it_is_killed(self):
        caller = await self.connect()
        await loop.EVENT_LOOP.sock_sendall(caller, HEAD % b"1.0" + b"hi")
        await asyncio.sleep(0.3)
        self.entry.kill()
        return await self.read(caller)

    def test_stream_to_an_http_1_0_caller_cut_by_a_kill_does_not_look_complete(self):
        received, end = run(self.read_while_it_is_killed())
        self.assertIn(b"id: 1\n", received)
        self.assertEqual("reset", end)
