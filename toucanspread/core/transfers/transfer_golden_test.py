import pathlib

import testtools

from standins import virtual_swarm
from toucanspread.core import machine, sessions
from toucanspread.core.transfers import transfer

GOLDEN = pathlib.Path(__file__).parent / "golden"
PIECES = 6
SHARED = 3
CHUNK_BYTES = 1_000_000
RATE_BYTES_S = 1_000_000.0


class GoldenTest(testtools.TestCase):
    """Sessions of one process of a swarm of three, from order to whole."""

    def setUp(self):
        super().setUp()
        self.swarm = virtual_swarm.VirtualSwarm(
            7, RATE_BYTES_S, 2 * RATE_BYTES_S, CHUNK_BYTES
        )
        for number in range(3):
            self.swarm.add_endpoint(f"endpoint-{number}")
        self.recorded = list(self.swarm.endpoints.values())[0]
        self.recorder = sessions.Recorder(self.recorded.machine)
        self.recorded.machine = self.recorder

    def want(self, version):
        made = virtual_swarm.make_manifest(version, PIECES, CHUNK_BYTES, SHARED)
        name = self.swarm.publish(made)
        for one in self.swarm.endpoints.values():
            self.swarm.want(one, name, 1.0)
        return name

    def finish(self, name, golden):
        done = self.swarm.run(lambda: self.swarm.all_whole(name), 120)
        self.assertTrue(done)
        text = self.recorder.text()
        self.assertEqual([], sessions.compare_golden(GOLDEN / golden, text))
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
        self.finish(self.want("v1"), "transfer_quiet_burst.jsonl")

    def test_corrupt_peer(self):
        list(self.swarm.endpoints.values())[1].corrupting = True
        self.finish(self.want("v1"), "transfer_corrupt_peer.jsonl")

    def test_version_change_in_flight(self):
        first = self.want("v1")
        self.swarm.run(lambda: False, 3.0)
        for one in self.swarm.endpoints.values():
            self.swarm.cancel(one, first)
        self.finish(self.want("v2"), "transfer_version_change.jsonl")
