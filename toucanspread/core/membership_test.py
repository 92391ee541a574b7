"""Tests of membership over several real reducers in virtual time."""

import testtools

from toucanspread.core import data, events, machine, membership, reporting
from toucanspread.tools import virtual_network

State = data.MemberState


def identity(name, role=data.Role.ENTRY, incarnation=1, zone="brest-a"):
    return data.Identity(
        data.InstanceId(name),
        role,
        data.Incarnation(incarnation),
        data.ZoneName(zone),
        data.RegionName("finistere"),
        data.Address(f"{name}:1"),
    )


def build(who, seed=7):
    state = membership.State()
    if who.role is data.Role.ENTRY:
        node = machine.Node(who, seed, membership=state)
        return machine.Machine(node, [membership.HANDLERS])
    node = machine.Node(who, seed, membership=state, reporting=reporting.State())
    return machine.Machine(node, [membership.HANDLERS, reporting.HANDLERS])


class Fleet:
    """A few entries and endpoints that have read the same list."""

    def __init__(self, entries=4, endpoints=3):
        self.network = virtual_network.VirtualNetwork()
        self.listed = []
        for number in range(entries):
            self.start(identity(f"entry-{number}"))
        for number in range(endpoints):
            self.start(identity(f"endpoint-{number}", data.Role.ENDPOINT))
        self.read_list()

    def start(self, who):
        self.network.add(build(who))
        self.listed = [old for old in self.listed if old.address != who.address]
        self.listed.append(who)

    def read_list(self, leaving=(), listed=None):
        shown = []
        for who in self.listed if listed is None else listed:
            fields = {"incarnation": data.Incarnation(0)}
            shown.append(data.msgspec.structs.replace(who, **fields))
        event = events.InstanceListRead(tuple(shown), tuple(leaving))
        for address in list(self.network.machines):
            self.network.post(address, event)

    def node(self, name):
        return self.network.machines[f"{name}:1"].node

    def states(self, name, at="entry-0"):
        member = self.node(at).membership.members.get(name)
        return None if member is None else member.state

    def kill(self, name):
        self.network.remove(data.Address(f"{name}:1"))


class MembershipTest(testtools.TestCase):
    def test_reports_arrive_at_every_entry(self):
        fleet = Fleet()
        fleet.network.run(3.0)
        for number in range(4):
            found = membership.reports(fleet.node(f"entry-{number}"))
            self.assertEqual(3, len(found))

    def test_dead_entry_is_found(self):
        fleet = Fleet()
        fleet.network.run(5.0)
        fleet.kill("entry-3")
        fleet.network.run(15.0)
        for number in range(3):
            self.assertEqual(State.DEAD, fleet.states("entry-3", f"entry-{number}"))
        self.assertEqual(State.DEAD, fleet.states("entry-3", "endpoint-0"))

    def test_dead_endpoint_is_found(self):
        fleet = Fleet()
        fleet.network.run(5.0)
        fleet.kill("endpoint-1")
        fleet.network.run(10.0)
        self.assertEqual(State.DEAD, fleet.states("endpoint-1"))
        self.assertEqual(2, len(membership.reports(fleet.node("entry-0"))))

    def test_steady_fleet_has_no_changes(self):
        fleet = Fleet(entries=6, endpoints=6)
        fleet.network.run(5.0)
        changes = []
        fleet.network.on_effect = lambda _, effect: changes.append(effect)
        fleet.network.run(60.0)
        found = [effect for effect in changes if type(effect).__name__ == "Log"]
        self.assertEqual([], found)
