"""Compares the processor time per MiB of chunk transfers over gRPC and plain HTTP.

Client and server run in the same process, so that each value is the sum of both.
"""

import asyncio
import socket
import time

# Installs the event loop; otherwise importing twisted's reactor would install another.
from toucanspread.ops import grpc_transport, loop
from toucanspread.ops.http import http_client

# isort: split
from twisted.internet import reactor
from twisted.web import resource, server

from toucanspread.core import data

CHUNK_SIZES_BYTES = (64 * 1024, 256 * 1024, 1024 * 1024, 2 * 1024 * 1024)
TOTAL_BYTES = 128 * 1024 * 1024
CHUNK_HASH = data.ChunkHash("0" * 64)
MIB_BYTES = 1024 * 1024
IDENTITY = data.Identity(
    data.InstanceId("bench"),
    data.Role.ENDPOINT,
    data.Incarnation(1),
    data.ZoneName("za"),
    data.RegionName("ra"),
    data.Address("127.0.0.1:0"),
)


class ChunkResource(resource.Resource):
    """Serves one chunk over HTTP."""

    isLeaf = True  # noqa: N815 (twisted's name)

    def __init__(self, payload: bytes):
        super().__init__()
        self._payload = payload

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Return the chunk."""
        return self._payload


async def measure_grpc(payload: bytes) -> float:
    """Return processor seconds per MiB over gRPC."""
    port = _find_free_port()
    identity = data.Identity(
        *[getattr(IDENTITY, name) for name in IDENTITY.__struct_fields__[:5]],
        data.Address(f"127.0.0.1:{port}"),
    )
    channel = grpc_transport.GrpcTransport(identity, lambda event: None)

    async def read_chunk(chunk_hash: data.ChunkHash) -> bytes:
        return payload

    channel.serve_chunks(read_chunk)
    await channel.start()
    fetch = lambda: channel.fetch_chunk(identity.address, CHUNK_HASH, 10.0)  # noqa: E731
    cpu_s = await _measure_cpu_s_per_mib(fetch, len(payload))
    await channel.stop()
    return cpu_s


async def measure_http(payload: bytes) -> float:
    """Return processor seconds per MiB over HTTP."""
    site = server.Site(ChunkResource(payload))
    listener = reactor.listenTCP(0, site, interface="127.0.0.1")
    client = http_client.HttpClient(f"127.0.0.1:{listener.getHost().port}")
    cpu_s = await _measure_cpu_s_per_mib(
        lambda: client.call("GET", "/chunk"), len(payload)
    )
    await client.close()
    listener.stopListening()
    return cpu_s


async def _measure_cpu_s_per_mib(fetch, size_bytes: int) -> float:
    await fetch()
    count = TOTAL_BYTES // size_bytes
    started_s = time.process_time()
    for _ in range(count):
        await fetch()
    return (time.process_time() - started_s) / (count * size_bytes / MIB_BYTES)


def _find_free_port() -> int:
    with socket.socket() as opened:
        opened.bind(("127.0.0.1", 0))
        return opened.getsockname()[1]


async def main() -> None:
    """Measure each chunk size over both transports."""
    for size_bytes in CHUNK_SIZES_BYTES:
        payload = bytes(size_bytes)
        grpc_s = await measure_grpc(payload)
        http_s = await measure_http(payload)
        size = f"{size_bytes // 1024}_kib"
        print(f"chunk_grpc_cpu_ms_per_mib_{size}={grpc_s * 1e3:.2f}")
        print(f"chunk_http_cpu_ms_per_mib_{size}={http_s * 1e3:.2f}", flush=True)
        await asyncio.sleep(0)
    reactor.stop()


if __name__ == "__main__":
    reactor.callWhenRunning(lambda: loop.spawn(main()))
    reactor.run()
