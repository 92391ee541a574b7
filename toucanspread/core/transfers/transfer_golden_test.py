import pathlib

import testtools

from standins import golden_files, transfer_simulation
from toucanspread.core import machine, sessions
from toucanspread.core.transfers import transfer

GOLDEN = pathlib.Path(__file__).parent / "golden"
PIECE_COUNT = 6
SHARED_COUNT = 3
CHUNK_BYTES = 1_000_000
RATE_BYTES_S = 1_000_000.0


class GoldenTest(testtools.TestCase):
    """Recorded sessions of one process of a swarm of three, until it is complete."""

    def setUp(self):
        super().setUp()
        self.swarm = transfer_simulation.TransferSimulation(
            7, RATE_BYTES_S, 2 * RATE_BYTES_S, CHUNK_BYTES
        )
        for number in range(3):
            self.swarm.add_endpoint(f"endpoint-{number}")
        self.recorded = list(self.swarm.endpoints.values())[0]
        self.recorder = sessions.Recorder(self.recorded.machine)
        self.recorded.machine = self.recorder

    def start_transfers(self, version):
        described = transfer_simulation.make_manifest(
            version, PIECE_COUNT, CHUNK_BYTES, SHARED_COUNT
        )
        manifest_hash = self.swarm.publish(described)
        for endpoint in self.swarm.endpoints.values():
            self.swarm.request_version(endpoint, manifest_hash, 1.0)
        return manifest_hash

    def check_recording(self, manifest_hash, golden):
        is_whole = self.swarm.run(
            lambda: self.swarm.is_complete_everywhere(manifest_hash), 120
        )
        self.assertTrue(is_whole)
        text = self.recorder.text()
        self.assertEqual([], golden_files.compare_session(GOLDEN / golden, text))
        self.assertEqual([], sessions.replay(text, self.fresh_machine()))

    def fresh_machine(self):
        node = self.recorder.node
        fresh = machine.Node(
            node.identity,
            self.recorded.seed,
            transfer=transfer.State(),
            membership=node.membership,
        )
        return machine.Machine(fresh, [transfer.HANDLERS])

    def test_quiet_burst(self):
        self.check_recording(self.start_transfers("v1"), "transfer_quiet_burst.jsonl")

    def test_corrupt_peer(self):
        list(self.swarm.endpoints.values())[1].corrupting = True
        self.check_recording(self.start_transfers("v1"), "transfer_corrupt_peer.jsonl")

    def test_version_change_in_flight(self):
        first = self.start_transfers("v1")
        self.swarm.run(lambda: False, 3.0)
        for endpoint in self.swarm.endpoints.values():
            self.swarm.cancel(endpoint, first)
        self.check_recording(
            self.start_transfers("v2"), "transfer_version_change.jsonl"
        )
