"""Tests of membership with several machines in virtual time."""

import msgspec
import testtools

from standins import simulated_network
from toucanspread.core import data, effects, events, machine
from toucanspread.core.gate import admission
from toucanspread.core.membership import membership, reporting
from toucanspread.core.membership import membership_messages as messages

State = data.MemberState
ZONES = ("brest-a", "vannes-a")


def make_identity(name, role=data.Role.ENTRY, incarnation=1, zone="brest-a"):
    return data.Identity(
        data.InstanceId(name),
        role,
        data.Incarnation(incarnation),
        data.ZoneName(zone),
        data.RegionName("finistere"),
        data.Address(f"{name}:1"),
    )


def record_member_change(node, event):
    node.member_changes.append((event.identity.incarnation, event.state))
    return []


def record_report(node, event):
    node.received_reports.append(event.report)
    return []


RECORDERS = {
    events.MemberChanged: record_member_change,
    events.ReportReceived: record_report,
}


def build_machine(who, seed=7):
    node = machine.Node(
        who,
        seed,
        membership=membership.State(),
        reporting=reporting.State(),
        member_changes=[],
        received_reports=[],
    )
    handlers = [membership.HANDLERS, reporting.HANDLERS, RECORDERS]
    return machine.Machine(node, handlers)


class FakeOrders:
    serving = data.Report(None, 0, State.LIVE, "toucan-pool", version="v1")


class Fleet:
    """Entries and endpoint processes in two zones that have read the same list."""

    def __init__(self, entries=4, endpoints=3, seed=1):
        self.network = simulated_network.SimulatedNetwork(seed)
        self.listed = []
        for number in range(entries):
            self.start(make_identity(f"entry-{number}", zone=ZONES[number % 2]))
        for number in range(endpoints):
            zone = ZONES[number % 2]
            self.start(
                make_identity(f"endpoint-{number}", data.Role.ENDPOINT, zone=zone)
            )
        self.post_instance_list()

    def start(self, who):
        self.network.add(build_machine(who))
        self.listed = [old for old in self.listed if old.address != who.address]
        self.listed.append(who)

    def post_instance_list(self, leaving=(), listed=None):
        instances = []
        for who in self.listed if listed is None else listed:
            fields = {"incarnation": data.Incarnation(0)}
            instances.append(msgspec.structs.replace(who, **fields))
        event = events.InstanceListRead(tuple(instances), tuple(leaving))
        for address in list(self.network.machines):
            self.network.post(address, event)

    def get_node(self, name):
        return self.network.machines[f"{name}:1"].node

    def list_entry_nodes(self):
        nodes = []
        for stepper in self.network.machines.values():
            if stepper.node.identity.role is data.Role.ENTRY:
                nodes.append(stepper.node)
        return nodes

    def find_states(self, name):
        """Return the states of a process at all other entries, None if unknown."""
        states = set()
        for node in self.list_entry_nodes():
            member = node.membership.members.get(name)
            if node.identity.instance_id != name:
                states.add(None if member is None else member.state)
        return states

    def kill(self, name):
        self.network.remove(data.Address(f"{name}:1"))

    def freeze(self, name):
        self.network.frozen.add(data.Address(f"{name}:1"))

    def thaw(self, name):
        self.network.frozen.discard(data.Address(f"{name}:1"))

    def run_and_collect_changes(self, duration_s):
        """Run for some time and return the logged changes as (member, state)."""
        changes = []

        def record_change(stepper, effect):
            if isinstance(effect, effects.Log) and effect.event == "member_changed":
                changes.append((effect.fields["member"], effect.fields["state"]))

        self.network.on_effect = record_change
        self.network.run(duration_s)
        self.network.on_effect = None
        return changes


class MembershipTest(testtools.TestCase):
    def test_reports_arrive_at_every_entry(self):
        fleet = Fleet()
        fleet.network.run(3.0)
        for node in fleet.list_entry_nodes():
            self.assertEqual(3, len(membership.list_reports(node)))

    def test_entries_send_no_reports(self):
        fleet = Fleet(entries=2, endpoints=0)
        fleet.network.run(3.0)
        self.assertEqual([], membership.list_reports(fleet.get_node("entry-0")))

    def test_load_reaches_entries_by_load_reports(self):
        fleet = Fleet()
        state = admission.State()
        fleet.get_node("endpoint-0").admission = state
        fleet.network.run(3.0)
        state.running = {number: data.TeamName("familias") for number in range(5)}
        kinds = set()
        fleet.network.on_effect = lambda _, effect: kinds.add(
            type(getattr(effect, "message", None))
        )
        fleet.network.run(2.0)
        self.assertIn(reporting.LoadReport, kinds)
        self.assertNotIn(data.Report, kinds)
        report = fleet.get_node("entry-0").membership.members["endpoint-0"].report
        self.assertEqual(5, report.load.running)

    def test_load_report_without_its_base_requests_a_full_report(self):
        fleet = Fleet()
        fleet.network.run(5.0)
        fleet.kill("entry-1")
        fleet.start(make_identity("entry-1", incarnation=2, zone=ZONES[1]))
        fleet.post_instance_list()
        fleet.network.run(3.0)
        self.assertEqual(3, len(membership.list_reports(fleet.get_node("entry-1"))))

    def test_capacity_reaches_all_entries_and_excludes_dead_processes(self):
        fleet = Fleet(entries=6, endpoints=3)
        for number in range(3):
            fleet.get_node(f"endpoint-{number}").orders = FakeOrders()
        fleet.network.run(15.0)
        for node in fleet.list_entry_nodes():
            self.assertEqual(6, len(node.membership.ready_counts))
            for counts in node.membership.ready_counts.values():
                self.assertEqual({"toucan-pool": 3}, counts)
        fleet.kill("endpoint-0")
        fleet.kill("entry-5")
        fleet.network.run(30.0)
        for node in fleet.list_entry_nodes():
            self.assertEqual(5, len(node.membership.ready_counts))
            for counts in node.membership.ready_counts.values():
                self.assertEqual({"toucan-pool": 2}, counts)

    def test_reports_go_to_few_of_many_entries_and_dead_ones_are_replaced(self):
        fleet = Fleet(entries=40, endpoints=10)
        fleet.network.run(5.0)
        first = set(fleet.get_node("endpoint-0").reporting.chosen_entry_ids)
        self.assertEqual(3, len(first))
        killed = sorted(first)[0]
        fleet.kill(killed)
        fleet.network.run(30.0)
        second = set(fleet.get_node("endpoint-0").reporting.chosen_entry_ids)
        self.assertEqual(3, len(second))
        self.assertEqual(first - {killed}, first & second)
        revived = next(who for who in fleet.listed if who.instance_id == killed)
        fleet.start(msgspec.structs.replace(revived, incarnation=data.Incarnation(2)))
        fleet.post_instance_list()
        fleet.network.run(30.0)
        self.assertEqual(
            first, set(fleet.get_node("endpoint-0").reporting.chosen_entry_ids)
        )
        receiving_ids = set()
        for node in fleet.list_entry_nodes():
            if "endpoint-0" in node.membership.reporter_ids:
                receiving_ids.add(node.identity.instance_id)
        self.assertEqual(first, receiving_ids)

    def test_unchanged_fleet_has_no_state_changes(self):
        fleet = Fleet(entries=6, endpoints=6)
        fleet.network.run(5.0)
        self.assertEqual([], fleet.run_and_collect_changes(60.0))

    def test_lossy_network_makes_no_process_dead(self):
        fleet = Fleet(entries=6, endpoints=6)
        fleet.network.loss_ratio = 0.1
        fleet.network.duplication_ratio = 0.1
        fleet.network.jitter_s = 0.3
        dead = [
            name
            for name, state in fleet.run_and_collect_changes(120.0)
            if state == "dead"
        ]
        self.assertEqual([], dead)

    def test_killed_processes_are_marked_dead(self):
        fleet = Fleet()
        fleet.network.run(5.0)
        fleet.kill("entry-3")
        fleet.kill("endpoint-1")
        fleet.network.run(12.0)
        self.assertEqual({State.DEAD}, fleet.find_states("entry-3"))
        self.assertEqual({State.DEAD}, fleet.find_states("endpoint-1"))
        self.assertEqual(2, len(membership.list_reports(fleet.get_node("entry-0"))))
        self.assertNotIn(
            "entry-3", fleet.get_node("endpoint-0").reporting.chosen_entry_ids
        )

    def test_entry_resumed_after_a_pause_changes_no_other_state(self):
        fleet = Fleet()
        fleet.network.run(5.0)
        fleet.freeze("entry-3")
        fleet.network.run(30.0)
        self.assertEqual({State.DEAD}, fleet.find_states("entry-3"))
        fleet.thaw("entry-3")
        changes = fleet.run_and_collect_changes(10.0)
        self.assertEqual({"entry-3"}, {name for name, _ in changes})
        self.assertEqual({State.LIVE}, fleet.find_states("entry-3"))

    def test_entry_with_repeated_pauses_makes_no_process_dead(self):
        fleet = Fleet(entries=6)
        fleet.network.run(5.0)
        changes = []
        for _ in range(20):
            fleet.freeze("entry-0")
            changes += fleet.run_and_collect_changes(2.0)
            fleet.thaw("entry-0")
            changes += fleet.run_and_collect_changes(1.0)
        self.assertNotIn("dead", {state for _, state in changes})

    def test_one_broken_link_makes_no_process_dead(self):
        for sender, receiver in (
            ("entry-0", "entry-1"),
            ("endpoint-0", "entry-1"),
            ("entry-1", "endpoint-0"),
        ):
            fleet = Fleet()
            fleet.network.run(5.0)
            fleet.network.cut = lambda a, b, one=sender, other=receiver: (
                a.instance_id == one and b.instance_id == other
            )
            changes = fleet.run_and_collect_changes(60.0)
            self.assertNotIn("dead", {state for _, state in changes})

    def test_restart_at_the_same_address_replaces_the_incarnation(self):
        fleet = Fleet()
        fleet.network.run(5.0)
        earlier_count = len(fleet.get_node("entry-0").member_changes)
        fleet.start(make_identity("endpoint-0", data.Role.ENDPOINT, incarnation=2))
        fleet.post_instance_list()
        fleet.network.run(3.0)
        changes = fleet.get_node("entry-0").member_changes[earlier_count:]
        self.assertEqual([(1, State.DEAD), (2, State.LIVE)], changes)
        for node in fleet.list_entry_nodes():
            member = node.membership.members["endpoint-0"]
            self.assertEqual(2, member.report.identity.incarnation)
            self.assertEqual(State.LIVE, member.state)

    def test_late_message_of_an_old_incarnation_changes_nothing(self):
        fleet = Fleet()
        fleet.network.run(5.0)
        old = fleet.get_node("endpoint-0").identity
        fleet.start(make_identity("endpoint-0", data.Role.ENDPOINT, incarnation=2))
        fleet.post_instance_list()
        fleet.network.run(3.0)
        report = data.Report(old, 10_000, State.LIVE)
        late = events.MessageReceived(old, report)
        fleet.network.post("entry-0:1", late)
        member = fleet.get_node("entry-0").membership.members["endpoint-0"]
        self.assertEqual(2, member.report.identity.incarnation)

    def test_instance_whose_address_is_taken_over_is_dead(self):
        fleet = Fleet()
        fleet.network.run(5.0)
        fleet.kill("endpoint-0")
        new = make_identity("endpoint-9", data.Role.ENDPOINT, incarnation=2)
        new = msgspec.structs.replace(new, address=data.Address("endpoint-0:1"))
        fleet.start(new)
        fleet.network.post("endpoint-0:1", events.InstanceListRead(tuple(fleet.listed)))
        fleet.network.run(3.0)
        self.assertEqual({State.DEAD}, fleet.find_states("endpoint-0"))
        self.assertEqual({State.LIVE}, fleet.find_states("endpoint-9"))

    def test_lagging_list_revives_no_process(self):
        fleet = Fleet()
        fleet.network.run(5.0)
        fleet.kill("entry-3")
        fleet.network.run(15.0)
        fleet.post_instance_list()
        self.assertEqual({State.DEAD}, fleet.find_states("entry-3"))
        self.assertEqual([], fleet.run_and_collect_changes(30.0))

    def test_process_missing_from_the_list_is_known(self):
        fleet = Fleet()
        old = list(fleet.listed)
        fleet.network.run(5.0)
        fleet.start(make_identity("entry-9"))
        fleet.start(make_identity("endpoint-9", data.Role.ENDPOINT))
        fleet.post_instance_list(listed=old)
        fleet.network.run(10.0)
        fleet.post_instance_list(listed=old)
        self.assertEqual({State.LIVE}, fleet.find_states("entry-9"))
        self.assertEqual({State.LIVE}, fleet.find_states("endpoint-9"))

    def test_process_learns_from_seeds_while_the_list_is_down(self):
        fleet = Fleet()
        fleet.network.run(5.0)
        stepper = build_machine(make_identity("endpoint-9", data.Role.ENDPOINT))
        stepper.node.membership.seeds = (data.Address("entry-2:1"),)
        fleet.network.add(stepper)
        fleet.network.run(10.0)
        self.assertEqual(4, len(stepper.node.reporting.chosen_entry_ids))
        self.assertEqual({State.LIVE}, fleet.find_states("endpoint-9"))

    def test_leaving_reaches_all_entries_and_stays(self):
        fleet = Fleet()
        fleet.network.run(5.0)
        event = events.DrainStarted(data.Reason.LEAVING)
        fleet.network.post("entry-1:1", event)
        list_read = events.InstanceListRead(
            tuple(fleet.listed), (data.InstanceId("endpoint-1"),)
        )
        fleet.network.post("entry-0:1", list_read)
        fleet.network.run(5.0)
        self.assertEqual({State.LEAVING}, fleet.find_states("entry-1"))
        self.assertEqual({State.LEAVING}, fleet.find_states("endpoint-1"))
        self.assertTrue(fleet.get_node("endpoint-1").membership.leaving)
        fleet.post_instance_list()
        fleet.network.run(30.0)
        self.assertEqual({State.LEAVING}, fleet.find_states("endpoint-1"))

    def test_wrong_death_is_refuted_at_all_entries(self):
        fleet = Fleet(entries=20, endpoints=0)
        fleet.network.run(30.0)
        wrong_update = messages.make_update(
            fleet.get_node("entry-5").identity, State.DEAD, 0
        )
        for name in ("entry-0", "entry-1"):
            ping = messages.Ping(0, (wrong_update,))
            event = events.MessageReceived(fleet.get_node("entry-2").identity, ping)
            fleet.network.post(f"{name}:1", event)
        fleet.network.run(15.0)
        self.assertEqual({State.LIVE}, fleet.find_states("entry-5"))
        dead_again = [
            name
            for name, state in fleet.run_and_collect_changes(60.0)
            if state == "dead"
        ]
        self.assertEqual([], dead_again)
        for node in fleet.list_entry_nodes():
            member = node.membership.members.get("entry-5")
            if member is not None:
                self.assertEqual(1, member.refutation)

    def test_lost_zone_is_dead_and_the_other_stays_live(self):
        fleet = Fleet(entries=10, endpoints=20)
        fleet.network.run(5.0)
        for who in fleet.listed:
            if who.zone == ZONES[1]:
                fleet.kill(who.instance_id)
        fleet.network.run(25.0)
        for who in fleet.listed:
            expected = State.DEAD if who.zone == ZONES[1] else State.LIVE
            self.assertEqual({expected}, fleet.find_states(who.instance_id))

    def test_partitioned_zones_rejoin(self):
        fleet = Fleet(entries=10, endpoints=10)
        fleet.network.run(5.0)
        fleet.network.cut = lambda a, b: a.zone != b.zone
        fleet.network.run(3600.0)
        same_zone_state = fleet.get_node("entry-0").membership.members["entry-2"].state
        other_zone_state = fleet.get_node("entry-0").membership.members["entry-1"].state
        self.assertEqual((State.LIVE, State.DEAD), (same_zone_state, other_zone_state))
        fleet.network.cut = lambda a, b: False
        fleet.network.run(40.0)
        for who in fleet.listed:
            self.assertEqual({State.LIVE}, fleet.find_states(who.instance_id))
