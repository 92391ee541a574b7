import asyncio
import json
import pathlib
import tempfile

import testtools
from twisted.internet import endpoints, reactor
from twisted.web import server

from standins import origin as origin_standin
from standins import running_reactor
from toucanspread.core import data
from toucanspread.core.transfers import manifest, transfer, transfer_events
from toucanspread.ops import (
    grpc_transport,
    loop,
    origin,
    transfer_adapter,
    weight_files,
)
from toucanspread.ops.http import http_client

Status = transfer_events.FetchStatus


class FakeEngine:
    """An engine with its staging area in memory."""

    def __init__(self):
        self.staged = {}

    async def put_chunk(self, chunk_hash, payload):
        self.staged[chunk_hash] = payload

    async def get_chunk(self, chunk_hash):
        return self.staged.get(chunk_hash)

    async def list_chunks(self):
        return tuple(self.staged)


class FakeTransport:
    """A transport whose peer serves ``chunks``; ``handler`` serves the own chunks."""

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


class TransferAdapterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        root = pathlib.Path(temporary.name)
        weight_files.make_sample(root / "sample", 1, 64 * 1024)
        self.built_manifest = weight_files.build_manifest(
            root / "sample", data.ModelName("m"), data.VersionName("v1"), 4096
        )
        self.manifest_hash = weight_files.publish(
            root / "sample", root, self.built_manifest
        )
        self.pieces = manifest.list_pieces(self.built_manifest)
        self.events = asyncio.Queue()
        self.state = transfer.State()
        self.engine = FakeEngine()
        self.transport = FakeTransport()
        self.origin_site = origin_standin.Origin(root, 1e9)
        running_reactor.start(self)
        self.run_async(self.start())

    def run_async(self, coroutine):
        return loop.EVENT_LOOP.run_until_complete(coroutine)

    async def start(self):
        listening = endpoints.TCP4ServerEndpoint(reactor, 0, interface="127.0.0.1")
        port = await loop.as_future(listening.listen(server.Site(self.origin_site)))
        self.addCleanup(lambda: port.stopListening())
        self.address = f"127.0.0.1:{port.getHost().port}"
        store = origin.HttpOrigin.from_config(f"http://{self.address}")
        self.adapter = transfer_adapter.TransferAdapter(
            self.state, self.transport, self.engine, store, self.events.put_nowait
        )
        await self.adapter.start()

    def execute(self, effect):
        async def execute():
            self.adapter.handlers()[type(effect)](effect)
            return await asyncio.wait_for(self.events.get(), 10)

        return self.run_async(execute())

    def set_faults(self, **faults):
        client = http_client.HttpClient(self.address)
        body = json.dumps(faults).encode()
        self.run_async(client.call("PUT", "/faults", body))

    def fetch_from_origin(self, piece):
        return self.execute(
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

    def fetch_from_peer(self, chunk_hash):
        return self.execute(
            transfer_events.FetchFromPeer(
                1, chunk_hash, data.Address("127.0.0.1:1"), 0, 5.0
            )
        )

    def test_chunks_from_the_origin_are_staged_by_hash(self):
        for piece in self.pieces:
            ended = self.fetch_from_origin(piece)
            self.assertEqual(
                (Status.STAGED, piece.chunk_hash), (ended.status, ended.digest)
            )
        self.assertEqual(
            {piece.chunk_hash for piece in self.pieces}, set(self.engine.staged)
        )

    def test_manifest_from_the_origin_is_staged_and_read(self):
        ended = self.execute(
            transfer_events.FetchFromOrigin(
                1, self.manifest_hash, self.manifest_hash, "", 0, 0, 5.0
            )
        )
        self.assertEqual(Status.STAGED, ended.status)
        read = self.execute(transfer_events.ReadManifest(self.manifest_hash))
        self.assertEqual(self.built_manifest, manifest.decode(read.payload))

    def test_corrupt_chunk_from_the_origin_is_not_staged(self):
        piece = self.pieces[-1]
        self.set_faults(corrupt_path=f"files/{self.manifest_hash}/{piece.path}")
        self.assertEqual(Status.CORRUPT, self.fetch_from_origin(piece).status)
        self.assertEqual({}, self.engine.staged)

    def test_refused_request_to_the_origin_fails_the_fetch(self):
        self.set_faults(refuse=True)
        self.assertEqual(Status.FAILED, self.fetch_from_origin(self.pieces[0]).status)

    def test_corrupt_and_absent_chunks_of_a_peer_are_not_staged(self):
        self.transport.chunks["a" * 64] = b"other"
        self.assertEqual(Status.CORRUPT, self.fetch_from_peer("a" * 64).status)
        self.assertEqual(Status.ABSENT, self.fetch_from_peer("b" * 64).status)
        self.assertEqual({}, self.engine.staged)

    def test_only_verified_chunks_are_served(self):
        self.engine.staged["a" * 64] = b"x"
        self.assertIsNone(self.run_async(self.transport.handler("a" * 64)))
        self.state.held_hashes.add("a" * 64)
        self.assertEqual(b"x", self.run_async(self.transport.handler("a" * 64)))
