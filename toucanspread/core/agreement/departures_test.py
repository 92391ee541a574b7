"""Instances that leave or die, many entries, and plans, in virtual time."""

import msgspec
import testtools

from standins import agreement_simulation
from toucanspread.core import data
from toucanspread.core.agreement import (
    confirmations,
    plan_requests,
    plans,
)
from toucanspread.core.agreement.agreement_test import (
    NEXT_MANIFEST,
    WALL_S,
    ZONES,
    confirm_and_run,
    confirmation,
    intent,
    logged_fields,
    make_fleet,
    served_versions,
)


class PlainServiceTest(testtools.TestCase):
    def test_plain_instances_serve_only_the_service_they_offer(self):
        fleet = make_fleet(endpoints=1)
        plain = data.ServiceKind.PLAIN
        for index, service in enumerate(("desk", "desk", "office")):
            fleet.add(
                f"plain-{index}",
                data.Role.ENDPOINT,
                "brest-a",
                "finistere",
                plain,
                service,
            )
        fleet.run(2.0)
        desk = data.Intent("desk", plain, 3, 1, ())
        confirm_and_run(
            fleet, desk, data.Intent("office", plain, 1, 1, ()), seconds=15.0
        )
        served = {
            name: node.orders.serving.service
            for name, node in fleet.nodes.items()
            if node.identity.role is data.Role.ENDPOINT and node.orders.serving
        }
        expected = {"plain-0": "desk", "plain-1": "desk", "plain-2": "office"}
        self.assertEqual(expected, served)
        self.assertIn(
            "1 instances short", logged_fields(fleet, "controller_warning")[0]["why"]
        )


class DepartureTest(testtools.TestCase):
    def departure(self, fleet, name, seconds):
        start_s = WALL_S + fleet.now_s + seconds
        return data.Departure(name, start_s, start_s + 600.0)

    def test_departing_instance_drains_after_its_replacement_loaded(self):
        fleet = make_fleet(endpoints=4)
        confirm_and_run(fleet, intent(replicas=2, floor=2), seconds=20.0)
        leaving = sorted(served_versions(fleet))[0]
        wanted = intent(
            replicas=2, floor=2, departures=(self.departure(fleet, leaving, 300.0),)
        )
        confirm_and_run(fleet, wanted, operation="leave", seconds=0.5)
        least = 2
        for _ in range(300):
            fleet.run(0.1)
            least = min(least, len(served_versions(fleet)))
        self.assertEqual(2, least)
        self.assertTrue(fleet.nodes[leaving].orders.draining)
        self.assertEqual(2, len(served_versions(fleet)))

    def test_released_replica_counts_as_gone_while_its_reports_are_lost(self):
        fleet = make_fleet(endpoints=2)
        confirm_and_run(fleet, intent(replicas=2, floor=1), seconds=20.0)
        confirm_and_run(
            fleet, intent(replicas=1, floor=1), operation="less", seconds=0.0
        )
        fleet.orders.clear()
        while not fleet.orders or fleet.orders[-1].service:
            fleet.run(0.1)
        released = fleet.orders[-1].instance_id
        fleet.unreported_ids.add(released)
        fleet.run(2.0)
        staying = next(iter(served_versions(fleet)))
        wanted = intent(
            replicas=1, floor=1, departures=(self.departure(fleet, staying, 900.0),)
        )
        confirm_and_run(fleet, wanted, operation="leave", seconds=20.0)
        self.assertEqual([staying], [*served_versions(fleet)])
        fleet.unreported_ids.clear()
        fleet.run(20.0)
        self.assertEqual([released], [*served_versions(fleet)])

    def test_instance_drains_in_time_without_service_and_entries(self):
        fleet = make_fleet(endpoints=2)
        confirm_and_run(fleet, intent(replicas=2, floor=2), seconds=20.0)
        leaving = sorted(served_versions(fleet))[0]
        wanted = intent(
            replicas=2, floor=1, departures=(self.departure(fleet, leaving, 300.0),)
        )
        confirm_and_run(fleet, wanted, operation="leave", seconds=0.5)
        fleet.run(8.0)
        fleet.kv.is_up = False
        for node in fleet.list_entries():
            fleet.remove(node.identity.instance_id)
        fleet.run(300.0)
        self.assertTrue(fleet.nodes[leaving].orders.draining)
        drains = [log for _, _, log in fleet.logs if log.event == "drain_started"]
        self.assertEqual(1, len(drains))

    def test_departure_without_a_replacement_is_a_problem_of_the_plan(self):
        fleet = make_fleet(endpoints=2)
        confirm_and_run(fleet, intent(replicas=2, floor=2), seconds=20.0)
        leaving = sorted(served_versions(fleet))[0]
        wanted = intent(
            replicas=2, floor=2, departures=(self.departure(fleet, leaving, 900.0),)
        )
        fleet.post("entry-0", plan_requests.PlanRequested("plan", (wanted,)))
        self.assertIn("the floor is 2", fleet.answers[-1].problems[0])

    def test_dead_instance_is_replaced(self):
        fleet = make_fleet(endpoints=4)
        confirm_and_run(fleet, intent(replicas=2, floor=1), seconds=20.0)
        fleet.remove(sorted(served_versions(fleet))[0])
        fleet.run(20.0)
        self.assertEqual(2, len(served_versions(fleet)))

    def test_removed_service_is_released(self):
        fleet = make_fleet()
        confirm_and_run(fleet, intent(), seconds=20.0)
        fleet.post("entry-0", confirmation(1, removed=("pool",), operation="remove"))
        fleet.run(20.0)
        self.assertEqual({}, served_versions(fleet))
        kinds = {
            order.kind
            for engine in fleet.engines.values()
            for order in engine.executed_orders
        }
        self.assertIn(data.OrderKind.UNLOAD, kinds)


class ManyEntriesTest(testtools.TestCase):
    """With many entries, each gets the reports of only some endpoint processes."""

    def make_fleet_of_many_entries(self):
        fleet = agreement_simulation.Fleet(2)
        for index in range(36):
            fleet.add(f"entry-{index}", data.Role.ENTRY, *ZONES[index % 2])
        for index in range(12):
            fleet.add(f"engine-{index}", data.Role.ENDPOINT, *ZONES[index % 2])
        fleet.run(30.0)
        return fleet

    def test_holder_orders_and_plans_for_all_endpoint_processes(self):
        fleet = self.make_fleet_of_many_entries()
        early = confirm_and_run(fleet, intent(replicas=12, floor=8), seconds=2.0)
        self.assertEqual(confirmations.Verdict.ACCEPTED, early.verdict)
        fleet.run(70.0)
        self.assertEqual(12, len(served_versions(fleet)))
        for name in ("entry-0", "entry-20"):
            wanted = intent(replicas=12, floor=8, manifest=NEXT_MANIFEST)
            fleet.post(name, plan_requests.PlanRequested("plan", (wanted,)))
            fleet.run(1.5)
            self.assertEqual(12, len(fleet.answers[-1].plan.steps))

    def test_plan_without_a_lease_holder_warns_that_it_is_incomplete(self):
        fleet = self.make_fleet_of_many_entries()
        fleet.kv.is_up = False
        fleet.run(20.0)
        fleet.post(
            "entry-0", plan_requests.PlanRequested("plan", (intent(replicas=12),))
        )
        fleet.run(1.5)
        self.assertEqual((), fleet.answers[-1].problems)
        self.assertIn("are known here", fleet.answers[-1].plan.warnings[-1])

    def test_dead_instance_is_replaced(self):
        fleet = self.make_fleet_of_many_entries()
        confirm_and_run(fleet, intent(replicas=6), seconds=80.0)
        fleet.remove(sorted(served_versions(fleet))[0])
        fleet.run(30.0)
        self.assertEqual(6, len(served_versions(fleet)))


class PlanTest(testtools.TestCase):
    def test_entries_make_the_same_plan_of_a_proposal(self):
        fleet = make_fleet()
        for name in ("entry-0", "entry-1"):
            fleet.post(name, plan_requests.PlanRequested("plan", (intent(),)))
        left, right = (answer.plan for answer in fleet.answers)
        self.assertEqual(left, right)

    def test_unknown_region_of_the_origin_gives_a_warning(self):
        fleet = make_fleet()
        wanted = intent(weights_bytes=1000)
        fleet.post("entry-0", plan_requests.PlanRequested("plan", (wanted,)))
        plan = fleet.answers[-1].plan
        self.assertEqual((1000, ()), (plan.origin_bytes, plan.link_bytes))
        self.assertIn("region is not set", plan.warnings[0])

    def test_plan_estimates_bytes_links_and_time(self):
        fleet = make_fleet()
        costs = plans.Costs(store_region="finistere")
        fleet.nodes["entry-0"].plan_requests.costs = costs
        wanted = intent(
            replicas=5,
            weights_bytes=3_000_000,
            departures=(data.Departure("engine-0", WALL_S + 3, WALL_S + 60),),
        )
        fleet.post("entry-0", plan_requests.PlanRequested("plan", (wanted,)))
        plan = fleet.answers[-1].plan
        self.assertEqual(3_000_000, plan.origin_bytes)
        self.assertEqual("morbihan", plan.link_bytes[0].to_region)
        self.assertEqual(12.0, plan.expected_s)
        self.assertEqual(2, len(plan.warnings))
        self.assertEqual(3, len(plan.steps))

    def test_zone_without_endpoint_processes_gives_a_warning(self):
        fleet = make_fleet()
        zones = ("brest-a", "bresst-b")
        wanted = msgspec.structs.replace(intent(weights_bytes=1), zones=zones)
        fleet.post("entry-0", plan_requests.PlanRequested("plan", (wanted,)))
        warnings = fleet.answers[-1].plan.warnings
        where = "service pool: no endpoint process is known in zone bresst-b"
        self.assertIn(where, warnings)
