"""Random faults on several machines: a reachable process does not stay dead."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from toucanspread.core import data
from toucanspread.core.membership.membership_test import Fleet, State, make_identity

ENTRIES = 4
ENDPOINTS = 3
RECOVERY_S = 60.0
NAMES = [f"entry-{number}" for number in range(ENTRIES)]
NAMES += [f"endpoint-{number}" for number in range(ENDPOINTS)]
process_names = st.sampled_from(NAMES)


class MembershipMachine(RuleBasedStateMachine):
    """Kills, pauses and restarts processes, cuts links and loses messages.

    Checks all states after the faults have ended.
    """

    @initialize(seed=st.integers(0, 1_000))
    def start_fleet(self, seed):
        self.fleet = Fleet(ENTRIES, ENDPOINTS, seed)
        self.last_incarnations = dict.fromkeys(NAMES, 1)
        self.highest_incarnations = {}
        self.cuts = set()
        self.fleet.network.cut = lambda a, b: (
            (a.instance_id, b.instance_id) in self.cuts
        )

    def is_running(self, name):
        return f"{name}:1" in self.fleet.network.machines

    @rule(duration_s=st.sampled_from([0.3, 1.0, 4.0, 10.0, 30.0]))
    def run(self, duration_s):
        self.fleet.network.run(duration_s)

    @rule(name=process_names)
    def kill(self, name):
        if self.is_running(name):
            self.fleet.thaw(name)
            self.fleet.kill(name)

    @rule(name=process_names)
    def restart(self, name):
        self.last_incarnations[name] += 1
        self.fleet.thaw(name)
        old = next(who for who in self.fleet.listed if who.instance_id == name)
        self.fleet.start(
            make_identity(name, old.role, self.last_incarnations[name], zone=old.zone)
        )
        self.fleet.post_instance_list()

    @rule(name=process_names)
    def freeze(self, name):
        self.fleet.freeze(name)

    @rule(name=process_names)
    def thaw(self, name):
        self.fleet.thaw(name)

    @rule(sender=process_names, receiver=process_names)
    def cut(self, sender, receiver):
        self.cuts.add((sender, receiver))

    @rule(group=st.sets(process_names))
    def cut_off_group(self, group):
        for inside in group:
            for outside in set(NAMES) - group:
                self.cuts.update({(inside, outside), (outside, inside)})

    @rule()
    def heal(self):
        self.cuts.clear()

    @rule(loss=st.sampled_from([0.0, 0.1, 0.3]), jitter_s=st.sampled_from([0.0, 2.0]))
    def degrade_network(self, loss, jitter_s):
        self.fleet.network.loss_ratio = loss
        self.fleet.network.duplication_ratio = loss
        self.fleet.network.jitter_s = jitter_s

    @rule()
    def run_fault_free_and_check(self):
        self.cuts.clear()
        self.degrade_network(0.0, 0.0)
        for name in NAMES:
            self.fleet.thaw(name)
        self.fleet.post_instance_list()
        self.fleet.network.run(RECOVERY_S)
        for name in NAMES:
            running = self.is_running(name)
            for node in self.fleet.list_entry_nodes():
                if node.identity.instance_id != name:
                    self.check_member(node, name, running)

    def check_member(self, node, name, running):
        member = node.membership.members.get(name)
        observer_id = node.identity.instance_id
        if not running:
            assert member is None or member.state is State.DEAD, (
                observer_id,
                name,
                member,
            )
            return
        assert member is not None and member.state is State.LIVE, (
            observer_id,
            name,
            member,
        )
        assert member.identity.incarnation == self.last_incarnations[name], (
            observer_id,
            name,
        )
        if member.identity.role is data.Role.ENDPOINT:
            assert member.report is not None, (observer_id, name)

    @invariant()
    def incarnations_never_decrease(self):
        for stepper in self.fleet.network.machines.values():
            own = stepper.node.identity
            for name, member in stepper.node.membership.members.items():
                key = (own.instance_id, own.incarnation, name)
                incarnation = member.identity.incarnation
                assert incarnation >= self.highest_incarnations.get(key, 0), (
                    key,
                    incarnation,
                )
                self.highest_incarnations[key] = incarnation


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(
    max_examples=30, stateful_step_count=25, deadline=None, derandomize=True
)
