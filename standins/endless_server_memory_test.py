"""Tests the memory of an entry's process that much is sent to."""

import asyncio
import json
import pathlib
import re
import socket
from typing import NamedTuple

import testtools

from toucanspread.ops import loop  # isort: skip  # installs the reactor

from twisted.internet import reactor

from standins import endless_server, platform_deployment

CALLERS = 60
SOUND_CALLS = 12
CALLING_S = 1.5
CALL_TIMEOUT_S = 3.0
MAX_GROWTH_BYTES = 64_000_000
LARGE_BYTES = 4_000_000
READ_BYTES = 4_096
SOUND_SERVICE = "plain"
SOUND_ENGINE = "i-plain"
ENDLESS_SERVICE = "endless"
HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Seal: s\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class Memory(NamedTuple):
    """Resident memory of a process in bytes."""

    now_bytes: int
    peak_bytes: int


class Play(NamedTuple):
    """What callers and the process have seen."""

    growth_bytes: int
    sound_statuses: list[bytes]


def run(coroutine):
    return loop.EVENT_LOOP.run_until_complete(coroutine)


def read_memory(process_id):
    """Return the resident memory of a process."""
    status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    sizes = dict(re.findall(r"(VmRSS|VmHWM):\s+(\d+) kB", status))
    return Memory(int(sizes["VmRSS"]) * 1_024, int(sizes["VmHWM"]) * 1_024)


def render_call(prefix, number):
    return (
        b"POST /%b/%d HTTP/1.1\r\nHost: %b\r\nX-Attempt-Id: id-1\r\n"
        b"X-Timeout-Ms: 3000\r\nApi-Key: %b\r\nContent-Length: 1\r\n\r\na"
        % (
            prefix.encode(),
            number,
            platform_deployment.HOST.encode(),
            platform_deployment.KEY.encode(),
        )
    )


async def call(address, request):
    """Send a request and return the status of its answer; empty without one."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        async with asyncio.timeout(CALL_TIMEOUT_S):
            return (await reader.readline())[9:12]
    except (OSError, TimeoutError):
        return b""
    finally:
        writer.transport.abort()


async def call_repeatedly(address, prefix, number):
    """Send one request after the other until the time is up."""
    end_s = loop.EVENT_LOOP.time() + CALLING_S
    while loop.EVENT_LOOP.time() < end_s:
        await call(address, render_call(prefix, number))
        await asyncio.sleep(0.02)


async def send_incomplete(address, prefix, number):
    """Send all but the last byte of a large request, and wait for an answer."""
    head = render_call(prefix, number).replace(
        b"Content-Length: 1\r\n", b"Content-Length: %d\r\n" % LARGE_BYTES
    )
    await call(address, head + b"a" * (LARGE_BYTES - 2))


async def call_without_reading(address, prefix, number):
    """Send a request and leave its answer unread."""
    await asyncio.sleep(number * CALLING_S / CALLERS)
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        caller.setblocking(False)
        host, _, port = address.rpartition(":")
        await loop.EVENT_LOOP.sock_connect(caller, (host, int(port)))
        await loop.EVENT_LOOP.sock_sendall(caller, render_call(prefix, number))
        await asyncio.sleep(CALLING_S)


async def call_sound(address):
    """Return the statuses of some requests to a sound engine, spread over the time."""
    statuses = []
    for number in range(SOUND_CALLS):
        statuses.append(await call(address, render_call("sound", number)))
        await asyncio.sleep(CALLING_S / SOUND_CALLS / 2)
    return statuses


def make_configuration():
    """Return a configuration with a route to either engine."""
    services = {"sound": SOUND_SERVICE, "endless": ENDLESS_SERVICE}
    routes = [
        {
            "name": name,
            "host": platform_deployment.HOST,
            "prefix": f"/{name}/",
            "kind": "idempotent",
            "timeout_ms": 3_000,
            "slo_ms": 500,
            "service": service,
            "attempts": 2,
        }
        for name, service in services.items()
    ]
    tenant = platform_deployment.TENANT
    return {
        "version": 1,
        "routes": routes,
        "services": [{"name": service} for service in services.values()],
        "limits": {"max_header_bytes": 16_384, "idle_timeout_ms": 15_000},
        "tenants": [{"name": tenant, "api_keys": [platform_deployment.KEY]}],
    }


class EndlessAnswersMemoryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.deployment = platform_deployment.Deployment()
        self.addCleanup(lambda: run(self.deployment.close()))

    def start(self, answer):
        """Return an entry that serves callers with an engine that answers so."""
        self.add_engine(answer)
        self.write("op/config", make_configuration())
        entry = self.deployment.start_entry("entry-1")
        address = entry.get_address("front")

        async def is_serving():
            try:
                return await call(address, render_call("sound", 0)) == b"200"
            except OSError:
                return False

        run(self.deployment.wait_until(is_serving))
        return entry

    def add_engine(self, answer):
        """List an engine that answers without end, the only one of its service."""
        server = endless_server.EndlessServer(answer)
        port = reactor.listenTCP(0, server, interface="127.0.0.1")
        self.addCleanup(lambda: run(loop.as_future(port.stopListening())))
        sound = self.deployment.state.get(f"servers/{SOUND_ENGINE}")
        entry = json.loads(sound.value)
        entry["service"] = ENDLESS_SERVICE
        entry["address"] = f"127.0.0.1:{port.getHost().port}"
        self.write("servers/i-endless", entry)

    def write(self, key, value):
        self.deployment.state.write_unchecked(key, json.dumps(value).encode())

    async def play(self, entry, use=call_repeatedly):
        """Let callers use an engine that answers without end, and a sound one.

        :param use: called with the address of the entry, a prefix and a number.
        """
        address = entry.get_address("front")
        process_id = entry._process.pid
        before = read_memory(process_id)
        calls = [use(address, "endless", n) for n in range(CALLERS)]
        *_, statuses = await asyncio.gather(*calls, call_sound(address))
        after = read_memory(process_id)
        return Play(after.peak_bytes - before.now_bytes, statuses)

    def check(self, beginning, repeated, use=call_repeatedly):
        """Check the growth of an entry's process and the answers of a sound engine."""
        answer = endless_server.EndlessAnswer(beginning, repeated)
        play = run(self.play(self.start(answer), use))
        self.assertLess(play.growth_bytes, MAX_GROWTH_BYTES)
        self.assertEqual([b"200"] * SOUND_CALLS, play.sound_statuses)
        self.assertEqual([], self.deployment.list_faults())

    def test_bodies_without_a_length_do_not_fill_the_memory(self):
        self.check(HEAD + b"\r\n", b"a")

    def test_bodies_in_chunks_do_not_fill_the_memory(self):
        self.check(CHUNKED_HEAD, b"1000\r\n%b\r\n" % (b"a" * 4_096))

    def test_events_without_end_do_not_fill_the_memory(self):
        self.check(endless_server.STREAM + b"\r\ndata: ", b"a")

    def test_streams_without_end_do_not_fill_the_memory(self):
        self.check(endless_server.STREAM + b"\r\n", b"data: a\n\n")

    def test_header_lines_without_end_do_not_fill_the_memory(self):
        self.check(HEAD, b"A: b\r\n")

    def test_a_header_line_without_end_does_not_fill_the_memory(self):
        self.check(HEAD + b"A: ", b"a")

    def test_trailers_without_end_do_not_fill_the_memory(self):
        self.check(CHUNKED_HEAD + b"0\r\n", b"A: b\r\n")

    def test_noise_without_end_does_not_fill_the_memory(self):
        self.check(b"", b"\x00\xff")

    def test_large_requests_that_do_not_end_do_not_fill_the_memory(self):
        self.check(HEAD + b"\r\n", b"a", send_incomplete)

    def test_large_answers_that_are_not_read_do_not_fill_the_memory(self):
        length = b"Content-Length: %d\r\n\r\n" % LARGE_BYTES
        whole = HEAD + length + b"a" * LARGE_BYTES
        self.check(whole, b"a", call_without_reading)
