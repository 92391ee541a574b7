import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from standins import transfer_simulation
from toucanspread.core.transfers import manifest

CHUNK_BYTES = 1_000_000
PIECE_COUNT = 12
SHARED_COUNT = 6
ENDPOINT_COUNT = 6
RATE_BYTES_S = 2_000_000.0
ENDPOINT_NUMBERS = st.integers(0, ENDPOINT_COUNT - 1)


class TransferMachine(stateful.RuleBasedStateMachine):
    """Faults occur at any time; after they end, all live processes are complete."""

    @stateful.initialize(
        seed=st.integers(0, 2**16), loss=st.sampled_from((0.0, 0.1, 0.3))
    )
    def begin(self, seed, loss):
        self.swarm = transfer_simulation.TransferSimulation(
            seed, RATE_BYTES_S, 2 * RATE_BYTES_S, CHUNK_BYTES, "region-0", loss
        )
        self.slots = []
        for number in range(ENDPOINT_COUNT):
            self.slots.append(self.add_endpoint(number, incarnation=1))
        self.version_count = 0
        self.change_version()

    def add_endpoint(self, number, incarnation):
        return self.swarm.add_endpoint(
            f"endpoint-{number}",
            f"zone-{number % 3}",
            f"region-{number % 2}",
            incarnation,
        )

    @stateful.rule()
    def change_version(self):
        self.version_count += 1
        self.manifest = transfer_simulation.make_manifest(
            f"v{self.version_count}", PIECE_COUNT, CHUNK_BYTES, SHARED_COUNT
        )
        self.wanted_hash = self.swarm.publish(self.manifest)
        for endpoint in self.slots:
            self.swarm.request_version(
                endpoint, self.wanted_hash, weight=self.version_count % 2
            )

    @stateful.rule(seconds=st.floats(0.1, 20))
    def pass_time(self, seconds):
        self.swarm.run(lambda: False, seconds)

    @stateful.rule(number=ENDPOINT_NUMBERS)
    def restart_empty(self, number):
        old = self.slots[number]
        self.swarm.kill(old)
        new = self.add_endpoint(number, old.identity.incarnation + 1)
        self.slots[number] = new
        self.swarm.request_version(new, self.wanted_hash, weight=1.0)

    @stateful.rule(number=ENDPOINT_NUMBERS, on=st.booleans())
    def corrupt_chunks(self, number, on):
        self.slots[number].corrupting = on

    @stateful.rule(number=ENDPOINT_NUMBERS, on=st.booleans())
    def stall_endpoint(self, number, on):
        self.slots[number].stalled = on

    @stateful.rule(on=st.booleans())
    def refuse_requests(self, on):
        self.swarm.origin_refuses = on

    @stateful.rule(on=st.booleans())
    def cut_regions(self, on):
        self.swarm.cut_regions = on

    @stateful.rule(number=ENDPOINT_NUMBERS)
    def lose_staging(self, number):
        self.slots[number].staged.clear()

    @stateful.invariant()
    def versions_are_reported_whole_only_when_staged(self):
        for endpoint in getattr(self, "slots", ()):
            assert not endpoint.missing_when_staged

    def teardown(self):
        if not hasattr(self, "slots"):
            return
        self.swarm.origin_refuses = False
        self.swarm.cut_regions = False
        self.swarm.loss_ratio = 0.0
        for endpoint in self.slots:
            endpoint.stalled = endpoint.corrupting = False
        self.swarm.run(self.all_hold_everything, 400)
        assert self.all_hold_everything(), [
            (endpoint.identity.instance_id, len(endpoint.staged), endpoint.failures)
            for endpoint in self.slots
        ]

    def all_hold_everything(self):
        pieces = {piece.chunk_hash for piece in manifest.list_pieces(self.manifest)}
        return all(
            self.wanted_hash in endpoint.completed_at_s and pieces <= endpoint.staged
            for endpoint in self.slots
        )


TestTransferMachine = TransferMachine.TestCase
TestTransferMachine.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=15,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
