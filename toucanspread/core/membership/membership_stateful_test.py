"""Random faults over several real reducers: what is reachable does not stay dead."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from toucanspread.core import data
from toucanspread.core.membership.membership_test import Fleet, State, identity

ENTRIES = 4
ENDPOINTS = 3
SETTLE_S = 60.0
NAMES = [f"entry-{number}" for number in range(ENTRIES)]
NAMES += [f"endpoint-{number}" for number in range(ENDPOINTS)]
names = st.sampled_from(NAMES)


class MembershipMachine(RuleBasedStateMachine):
    """Kills, freezes, restarts, cuts and loses; checks after all is healed."""

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed):
        self.fleet = Fleet(ENTRIES, ENDPOINTS, seed)
        self.incarnations = dict.fromkeys(NAMES, 1)
        self.seen = {}
        self.cuts = set()
        self.fleet.network.cut = lambda a, b: (
            (a.instance_id, b.instance_id) in self.cuts
        )

    def is_running(self, name):
        return f"{name}:1" in self.fleet.network.machines

    @rule(duration_s=st.sampled_from([0.3, 1.0, 4.0, 10.0, 30.0]))
    def run(self, duration_s):
        self.fleet.network.run(duration_s)

    @rule(name=names)
    def kill(self, name):
        if self.is_running(name):
            self.fleet.thaw(name)
            self.fleet.kill(name)

    @rule(name=names)
    def restart(self, name):
        self.incarnations[name] += 1
        self.fleet.thaw(name)
        old = next(who for who in self.fleet.listed if who.instance_id == name)
        self.fleet.start(
            identity(name, old.role, self.incarnations[name], zone=old.zone)
        )
        self.fleet.read_list()

    @rule(name=names)
    def freeze(self, name):
        self.fleet.freeze(name)

    @rule(name=names)
    def thaw(self, name):
        self.fleet.thaw(name)

    @rule(sender=names, receiver=names)
    def cut(self, sender, receiver):
        self.cuts.add((sender, receiver))

    @rule(group=st.sets(names))
    def cut_off(self, group):
        for inside in group:
            for outside in set(NAMES) - group:
                self.cuts.update({(inside, outside), (outside, inside)})

    @rule()
    def heal(self):
        self.cuts.clear()

    @rule(loss=st.sampled_from([0.0, 0.1, 0.3]), jitter_s=st.sampled_from([0.0, 2.0]))
    def disturb(self, loss, jitter_s):
        self.fleet.network.loss = loss
        self.fleet.network.doubling = loss
        self.fleet.network.jitter_s = jitter_s

    @rule()
    def settle(self):
        self.cuts.clear()
        self.disturb(0.0, 0.0)
        for name in NAMES:
            self.fleet.thaw(name)
        self.fleet.read_list()
        self.fleet.network.run(SETTLE_S)
        for name in NAMES:
            running = self.is_running(name)
            for node in self.fleet.entry_nodes():
                if node.identity.instance_id != name:
                    self.check(node, name, running)

    def check(self, node, name, running):
        member = node.membership.members.get(name)
        at = node.identity.instance_id
        if not running:
            assert member is None or member.state is State.DEAD, (at, name, member)
            return
        assert member is not None and member.state is State.LIVE, (at, name, member)
        assert member.identity.incarnation == self.incarnations[name], (at, name)
        if member.identity.role is data.Role.ENDPOINT:
            assert member.report is not None, (at, name)

    @invariant()
    def incarnations_never_go_back(self):
        for stepper in self.fleet.network.machines.values():
            own = stepper.node.identity
            for name, member in stepper.node.membership.members.items():
                key = (own.instance_id, own.incarnation, name)
                found = member.identity.incarnation
                assert found >= self.seen.get(key, 0), (key, found)
                self.seen[key] = found


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(
    max_examples=30, stateful_step_count=25, deadline=None, derandomize=True
)
