import asyncio
import json
import pathlib
import tempfile

import testtools
from twisted.internet import endpoints, reactor
from twisted.web import server

from standins import origin as origin_standin
from toucanspread.core import data
from toucanspread.core.transfers import manifest, transfer, transfer_events
from toucanspread.ops import (
    grpc_transport,
    http_client,
    loop,
    origin,
    transfer_adapter,
    weight_files,
)

Status = transfer_events.FetchStatus


class FakeEngine:
    """Staging in memory."""

    def __init__(self):
        self.staged = {}

    async def put_chunk(self, chunk_hash, payload):
        self.staged[chunk_hash] = payload

    async def get_chunk(self, chunk_hash):
        return self.staged.get(chunk_hash)

    async def list_chunks(self):
        return tuple(self.staged)


class FakeChannel:
    """A peer that serves from a mapping; ``handler`` is the own side."""

    def __init__(self):
        self.chunks = {}
        self.handler = None

    def serve_chunks(self, handler):
        self.handler = handler

    async def fetch_chunk(self, address, chunk_hash, timeout_s):
        if chunk_hash not in self.chunks:
            raise grpc_transport.PeerError(
                "no", sent=True, reason=data.Reason.NOT_WHOLE
            )
        return self.chunks[chunk_hash]


class TransfersTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        root = pathlib.Path(holder.name)
        weight_files.make_sample(root / "sample", 1, 64 * 1024)
        self.made = weight_files.build_manifest(
            root / "sample", data.ModelName("m"), data.VersionName("v1"), 4096
        )
        self.manifest_hash = weight_files.publish(root / "sample", root, self.made)
        self.pieces = manifest.list_pieces(self.made)
        self.events = asyncio.Queue()
        self.state = transfer.State()
        self.engine = FakeEngine()
        self.channel = FakeChannel()
        self.site = origin_standin.Origin(root, 1e9)
        if not reactor.running:
            reactor.startRunning(installSignalHandlers=False)
        self.run_async(self.start())

    def run_async(self, coroutine):
        return loop.EVENT_LOOP.run_until_complete(coroutine)

    async def start(self):
        listening = endpoints.TCP4ServerEndpoint(reactor, 0, interface="127.0.0.1")
        port = await loop.as_future(listening.listen(server.Site(self.site)))
        self.addCleanup(lambda: port.stopListening())
        self.address = f"127.0.0.1:{port.getHost().port}"
        store = origin.HttpOrigin.from_config(f"http://{self.address}")
        self.adapter = transfer_adapter.TransferAdapter(
            self.state, self.channel, self.engine, store, self.events.put_nowait
        )
        await self.adapter.start()

    def carry_out(self, effect):
        async def carry():
            self.adapter.handlers()[type(effect)](effect)
            return await asyncio.wait_for(self.events.get(), 10)

        return self.run_async(carry())

    def set_faults(self, **faults):
        client = http_client.HttpClient(self.address)
        body = json.dumps(faults).encode()
        self.run_async(client.call("PUT", "/faults", body))

    def from_origin(self, piece):
        return self.carry_out(
            transfer_events.FetchFromOrigin(
                1,
                self.manifest_hash,
                piece.chunk_hash,
                piece.path,
                piece.offset_bytes,
                piece.size_bytes,
                5.0,
            )
        )

    def from_peer(self, chunk_hash):
        return self.carry_out(
            transfer_events.FetchFromPeer(
                1, chunk_hash, data.Address("127.0.0.1:1"), 0, 5.0
            )
        )

    def test_every_chunk_of_the_origin_is_staged_by_its_hash(self):
        for piece in self.pieces:
            ended = self.from_origin(piece)
            self.assertEqual(
                (Status.STAGED, piece.chunk_hash), (ended.status, ended.digest)
            )
        self.assertEqual(
            {piece.chunk_hash for piece in self.pieces}, set(self.engine.staged)
        )

    def test_manifest_of_the_origin_is_staged_and_read(self):
        ended = self.carry_out(
            transfer_events.FetchFromOrigin(
                1, self.manifest_hash, self.manifest_hash, "", 0, 0, 5.0
            )
        )
        self.assertEqual(Status.STAGED, ended.status)
        read = self.carry_out(transfer_events.ReadManifest(self.manifest_hash))
        self.assertEqual(self.made, manifest.decode(read.payload))

    def test_corrupt_chunk_of_the_origin_is_not_staged(self):
        piece = self.pieces[-1]
        self.set_faults(corrupt_path=f"files/{self.manifest_hash}/{piece.path}")
        self.assertEqual(Status.CORRUPT, self.from_origin(piece).status)
        self.assertEqual({}, self.engine.staged)

    def test_refusing_origin_fails_the_fetch(self):
        self.set_faults(refuse=True)
        self.assertEqual(Status.FAILED, self.from_origin(self.pieces[0]).status)

    def test_corrupt_and_absent_chunks_of_a_peer(self):
        self.channel.chunks["a" * 64] = b"other"
        self.assertEqual(Status.CORRUPT, self.from_peer("a" * 64).status)
        self.assertEqual(Status.ABSENT, self.from_peer("b" * 64).status)
        self.assertEqual({}, self.engine.staged)

    def test_only_verified_chunks_are_served(self):
        self.engine.staged["a" * 64] = b"x"
        self.assertIsNone(self.run_async(self.channel.handler("a" * 64)))
        self.state.held_hashes.add("a" * 64)
        self.assertEqual(b"x", self.run_async(self.channel.handler("a" * 64)))
