import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from standins import virtual_swarm
from toucanspread.core.transfers import manifest

CHUNK_BYTES = 1_000_000
PIECES = 12
SHARED = 6
ENDPOINTS = 6
RATE_BYTES_S = 2_000_000.0
NUMBERS = st.integers(0, ENDPOINTS - 1)


class TransferMachine(stateful.RuleBasedStateMachine):
    """Faults at any moment; once they are over, every live process is whole."""

    @stateful.initialize(
        seed=st.integers(0, 2**16), loss=st.sampled_from((0.0, 0.1, 0.3))
    )
    def begin(self, seed, loss):
        self.swarm = virtual_swarm.VirtualSwarm(
            seed, RATE_BYTES_S, 2 * RATE_BYTES_S, CHUNK_BYTES, "region-0", loss
        )
        self.slots = []
        for number in range(ENDPOINTS):
            self.slots.append(self.add(number, incarnation=1))
        self.versions = 0
        self.change_version()

    def add(self, number, incarnation):
        return self.swarm.add_endpoint(
            f"endpoint-{number}",
            f"zone-{number % 3}",
            f"region-{number % 2}",
            incarnation,
        )

    @stateful.rule()
    def change_version(self):
        self.versions += 1
        self.made = virtual_swarm.make_manifest(
            f"v{self.versions}", PIECES, CHUNK_BYTES, SHARED
        )
        self.wanted = self.swarm.publish(self.made)
        for one in self.slots:
            self.swarm.want(one, self.wanted, weight=self.versions % 2)

    @stateful.rule(seconds=st.floats(0.1, 20))
    def pass_time(self, seconds):
        self.swarm.run(lambda: False, seconds)

    @stateful.rule(number=NUMBERS)
    def restart_empty(self, number):
        old = self.slots[number]
        self.swarm.kill(old)
        new = self.add(number, old.identity.incarnation + 1)
        self.slots[number] = new
        self.swarm.want(new, self.wanted, weight=1.0)

    @stateful.rule(number=NUMBERS, on=st.booleans())
    def corrupt(self, number, on):
        self.slots[number].corrupting = on

    @stateful.rule(number=NUMBERS, on=st.booleans())
    def stall(self, number, on):
        self.slots[number].stalled = on

    @stateful.rule(on=st.booleans())
    def refuse(self, on):
        self.swarm.origin_refuses = on

    @stateful.rule(on=st.booleans())
    def cut(self, on):
        self.swarm.cut_regions = on

    @stateful.rule(number=NUMBERS)
    def lose_staging(self, number):
        self.slots[number].staged.clear()

    @stateful.invariant()
    def whole_was_said_only_of_what_was_staged(self):
        for one in getattr(self, "slots", ()):
            assert not one.said_whole_without

    def teardown(self):
        if not hasattr(self, "slots"):
            return
        self.swarm.origin_refuses = False
        self.swarm.cut_regions = False
        self.swarm.loss = 0.0
        for one in self.slots:
            one.stalled = one.corrupting = False
        self.swarm.run(self.all_hold_everything, 400)
        assert self.all_hold_everything(), [
            (one.identity.instance_id, len(one.staged), one.failures)
            for one in self.slots
        ]

    def all_hold_everything(self):
        pieces = {piece.chunk_hash for piece in manifest.list_pieces(self.made)}
        return all(
            self.wanted in one.whole_at_s and pieces <= one.staged for one in self.slots
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
