"""One failure at a time, with the real reducers of a small fleet in virtual time."""

import testtools

from toucanspread.core import data, events
from toucanspread.core.agreement import (
    change_log,
    config_gossip,
    confirmations,
    leases,
    plan_requests,
)
from toucanspread.core.agreement.agreement_test import (
    NEXT_MANIFEST,
    confirm_and_run,
    confirmation,
    intent,
    known_revisions,
    lease_holders,
    list_verdicts,
    logged_fields,
    make_fleet,
    read_head,
    served_versions,
)


class ConfirmFailuresTest(testtools.TestCase):
    def test_answer_lost_after_the_write_took_effect(self):
        fleet = make_fleet()
        fleet.kv.lose_answers = 1
        self.assertEqual(
            confirmations.Verdict.ACCEPTED, confirm_and_run(fleet, intent()).verdict
        )
        self.assertEqual(
            (1, 1), (read_head(fleet).revision, len(read_head(fleet).changes))
        )

    def test_write_lost_before_it_took_effect(self):
        fleet = make_fleet()
        fleet.kv.drop_writes = 1
        self.assertEqual(
            confirmations.Verdict.ACCEPTED, confirm_and_run(fleet, intent()).verdict
        )
        self.assertEqual({1}, known_revisions(fleet))

    def test_service_down_refuses_confirmations_at_once_but_not_plans(self):
        fleet = make_fleet()
        fleet.kv.is_up = False
        answer = confirm_and_run(fleet, intent(), seconds=1.0)
        self.assertEqual(confirmations.Verdict.NOT_ACCEPTED, answer.verdict)
        self.assertGreater(answer.retry_after_s, 0)
        fleet.post("entry-0", plan_requests.PlanRequested("plan", (intent(),)))
        self.assertFalse(fleet.answers[-1].service_known)
        self.assertEqual(2, len(fleet.answers[-1].plan.steps))
        fleet.run(600.0)
        fleet.kv.is_up = True
        self.assertEqual(
            confirmations.Verdict.ACCEPTED, confirm_and_run(fleet, intent()).verdict
        )

    def test_service_fails_while_a_write_is_in_progress(self):
        for took_effect in (True, False):
            fleet = make_fleet()
            fleet.kv.lose_answers = int(took_effect)
            fleet.kv.drop_writes = int(not took_effect)
            fleet.post("entry-0", confirmation(0, intent()))
            fleet.run(0.1)
            fleet.kv.is_up = False
            while not fleet.answers:
                fleet.run(0.1)
            self.assertIn(
                list_verdicts(fleet)[0],
                (confirmations.Verdict.UNKNOWN, confirmations.Verdict.ACCEPTED),
            )
            fleet.kv.is_up = True
            fleet.post("entry-1", confirmation(0, intent(), operation="again"))
            fleet.run(5.0)
            self.assertEqual(confirmations.Verdict.ACCEPTED, list_verdicts(fleet)[-1])
            self.assertEqual(1, read_head(fleet).revision)

    def test_service_restored_while_the_write_was_unanswered(self):
        fleet = make_fleet()
        confirm_and_run(fleet, intent("first", 0, 0))
        saved = fleet.kv.save()
        fleet.kv.lose_answers = 1
        fleet.kv.delay_s = 0.5
        fleet.post("entry-0", confirmation(1, intent("second", 0, 0), operation="lost"))
        fleet.run(0.7)
        self.assertEqual(2, read_head(fleet).revision)
        fleet.kv.values = saved
        fleet.run(60.0)
        in_force = "second" in fleet.nodes["entry-1"].config.intents
        if list_verdicts(fleet)[-1] is confirmations.Verdict.NOT_ACCEPTED:
            self.assertFalse(in_force)
        if list_verdicts(fleet)[-1] is confirmations.Verdict.ACCEPTED:
            self.assertTrue(in_force)

    def test_slow_service_never_gives_a_wrong_verdict(self):
        fleet = make_fleet()
        fleet.kv.delay_s = 2.5
        confirm_and_run(fleet, intent(), seconds=10.0)
        self.assertEqual([confirmations.Verdict.UNKNOWN], list_verdicts(fleet))
        fleet.kv.delay_s = 0.002
        fleet.post("entry-1", confirmation(0, intent(), operation="again"))
        fleet.run(5.0)
        self.assertEqual(confirmations.Verdict.ACCEPTED, list_verdicts(fleet)[-1])

    def test_repeated_confirmation_of_a_plan_that_was_replaced_since(self):
        fleet = make_fleet()
        confirm_and_run(fleet, intent())
        confirm_and_run(fleet, intent(manifest=NEXT_MANIFEST), operation="next")
        fleet.post("entry-1", confirmation(0, intent(), operation="again"))
        fleet.run(2.0)
        last = fleet.answers[-1]
        self.assertEqual(
            (confirmations.Verdict.ACCEPTED, 1), (last.verdict, last.revision)
        )

    def test_changes_of_other_services_do_not_conflict(self):
        fleet = make_fleet()
        confirm_and_run(fleet, intent("first"))
        fleet.post("entry-1", confirmation(0, intent("second"), operation="other"))
        fleet.run(3.0)
        self.assertEqual([confirmations.Verdict.ACCEPTED] * 2, list_verdicts(fleet))

    def test_changes_that_need_the_same_instances_conflict(self):
        fleet = make_fleet(endpoints=4)
        confirm_and_run(fleet, intent("first", replicas=3))
        fleet.post("entry-1", confirmation(0, intent("second", replicas=2)))
        fleet.run(3.0)
        self.assertEqual(confirmations.Verdict.CONFLICT, list_verdicts(fleet)[-1])
        self.assertIn("second would be 1 instances short", fleet.answers[-1].changed[0])

    def test_many_operators_at_once(self):
        fleet = make_fleet(entries=12)
        for number in range(12):
            wanted = intent(f"service-{number}", 0, 0)
            request = confirmation(0, wanted, operation=f"op-{number}")
            fleet.post(f"entry-{number}", request)
        fleet.run(5.0)
        self.assertEqual([confirmations.Verdict.ACCEPTED] * 12, list_verdicts(fleet))
        self.assertLess(fleet.kv.calls["KvWrite"], 60)

    def test_plan_id_of_another_proposal_is_refused(self):
        fleet = make_fleet()
        request = confirmation(0, intent())
        other = confirmations.ConfirmRequested(
            "op", 0, (intent(replicas=3),), (), request.plan_id
        )
        fleet.post("entry-0", other)
        self.assertEqual([confirmations.Verdict.NOT_ACCEPTED], list_verdicts(fleet))

    def test_changes_beyond_the_head_reach_a_new_entry_by_snapshot(self):
        fleet = make_fleet(entries=3, endpoints=1)
        for number in range(60):
            teams = tuple(data.TeamShare(f"team-{each}", 1.0) for each in range(10))
            wanted = intent(f"service-{number % 7}", 0, 0, teams=teams)
            confirm_and_run(fleet, wanted, operation=f"op-{number}", seconds=0.5)
        self.assertEqual([confirmations.Verdict.ACCEPTED] * 60, list_verdicts(fleet))
        self.assertLess(
            len(change_log.encode(read_head(fleet))),
            2 * change_log.MAX_HEAD_CHANGES_BYTES,
        )
        fleet.run(5.0)
        self.assertEqual({60}, known_revisions(fleet))
        fleet.add("entry-9", data.Role.ENTRY, "brest-a", "finistere")
        fleet.nodes["entry-9"].membership.entry_ids.clear()
        fleet.nodes["entry-9"].membership.members.clear()
        fleet.run(5.0)
        self.assertEqual(60, fleet.nodes["entry-9"].config.revision)


class NeverRevertTest(testtools.TestCase):
    def test_stale_peer_is_refused_and_logged(self):
        fleet = make_fleet()
        confirm_and_run(fleet, intent())
        confirm_and_run(fleet, intent(manifest=NEXT_MANIFEST), operation="next")
        node = fleet.nodes["entry-1"]
        stale = config_gossip.ConfigDelta(0, 1, "", ())
        message = events.MessageReceived(fleet.nodes["entry-0"].identity, stale)
        fleet.post("entry-1", message)
        self.assertEqual(2, node.config.revision)
        self.assertEqual(1, len(logged_fields(fleet, "config_older_refused")))

    def test_restored_service_is_refused_and_repaired(self):
        fleet = make_fleet()
        confirm_and_run(fleet, intent())
        saved = fleet.kv.save()
        confirm_and_run(fleet, intent(manifest=NEXT_MANIFEST), operation="next")
        fleet.kv.values = saved
        early = confirm_and_run(fleet, intent("other"), operation="early", seconds=1.0)
        self.assertEqual(confirmations.Verdict.NOT_ACCEPTED, early.verdict)
        fleet.run(30.0)
        self.assertEqual({2}, known_revisions(fleet))
        self.assertEqual(2, read_head(fleet).revision)
        late = confirm_and_run(fleet, intent("other"), operation="late")
        self.assertEqual(
            (confirmations.Verdict.ACCEPTED, 3), (late.verdict, late.revision)
        )
        self.assertEqual({3}, known_revisions(fleet))
        for node in fleet.nodes.values():
            self.assertEqual(NEXT_MANIFEST, node.config.intents["pool"].manifest_hash)

    def test_diverged_histories_are_merged_without_loss(self):
        fleet = make_fleet()
        confirm_and_run(fleet, intent("first", 0, 0))
        saved = fleet.kv.save()
        fleet.partitions.add(frozenset(("finistere", "morbihan")))
        fleet.kv_cut_regions.add("morbihan")
        confirm_and_run(fleet, intent("near", 0, 0), entry="entry-0", operation="near")
        fleet.kv.values = saved
        fleet.kv_cut_regions = {"finistere"}
        far = confirm_and_run(
            fleet, intent("far", 0, 0), entry="entry-1", operation="far"
        )
        self.assertEqual(
            (confirmations.Verdict.ACCEPTED, 2), (far.verdict, far.revision)
        )
        fleet.partitions.clear()
        fleet.kv_cut_regions.clear()
        fleet.run(60.0)
        self.assertEqual({3}, known_revisions(fleet))
        for node in fleet.nodes.values():
            expected = {"first", "near", "far"}
            self.assertEqual(expected, set(node.config.intents))
        last = confirm_and_run(fleet, intent("last", 0, 0), operation="last")
        self.assertEqual(confirmations.Verdict.ACCEPTED, last.verdict)

    def test_emptied_service_is_repaired(self):
        fleet = make_fleet()
        confirm_and_run(fleet, intent())
        fleet.kv.values = {}
        fleet.run(60.0)
        self.assertEqual(1, read_head(fleet).revision)
        self.assertEqual({1}, known_revisions(fleet))

    def test_burst_of_changes_is_in_force_in_time(self):
        fleet = make_fleet(entries=4, endpoints=40)
        for number in range(20):
            teams = tuple(data.TeamShare(f"team-{each}", 1.0) for each in range(10))
            wanted = intent(f"service-{number}", 0, 0, teams=teams)
            confirm_and_run(fleet, wanted, operation=f"op-{number}", seconds=0.3)
        fleet.run(11.0)
        self.assertEqual({20}, known_revisions(fleet))

    def test_lost_watches_do_not_delay_a_change_for_long(self):
        fleet = make_fleet()
        fleet.run(1.0)
        fleet.kv.watches.clear()
        confirm_and_run(fleet, intent(), seconds=8.0)
        self.assertEqual({1}, known_revisions(fleet))

    def test_entries_replaced_one_after_another_while_the_service_is_down(self):
        fleet = make_fleet()
        confirm_and_run(fleet, intent(), seconds=20.0)
        before = served_versions(fleet)
        fleet.kv.is_up = False
        for node in fleet.list_entries():
            identity = node.identity
            fleet.remove(identity.instance_id)
            fleet.run(1.0)
            name = identity.instance_id + "-new"
            fleet.add(name, data.Role.ENTRY, identity.zone, identity.region)
            fleet.run(8.0)
        self.assertEqual({1}, known_revisions(fleet))
        self.assertEqual(before, served_versions(fleet))
        fleet.kv.is_up = True
        fleet.run(15.0)
        self.assertEqual(1, len(lease_holders(fleet)))

    def test_endpoint_that_starts_while_the_service_is_down_learns_and_resumes(self):
        fleet = make_fleet()
        confirm_and_run(fleet, intent(replicas=4), seconds=20.0)
        fleet.kv.is_up = False
        fleet.run(30.0)
        fleet.add("engine-0", data.Role.ENDPOINT, "brest-a", "finistere")
        fleet.run(20.0)
        self.assertEqual({1}, known_revisions(fleet))
        self.assertEqual(4, len(served_versions(fleet)))

    def test_region_cut_off_for_an_hour_catches_up(self):
        fleet = make_fleet(entries=4, endpoints=4)
        confirm_and_run(fleet, intent(replicas=4), seconds=20.0)
        fleet.partitions.add(frozenset(("finistere", "morbihan")))
        fleet.kv_cut_regions.add("morbihan")
        fleet.run(30.0)
        wanted = intent(replicas=4, manifest=NEXT_MANIFEST)
        answer = confirm_and_run(fleet, wanted, entry="entry-0", operation="cut")
        self.assertEqual(confirmations.Verdict.ACCEPTED, answer.verdict)
        fleet.run(3600.0)
        self.assertEqual({1, 2}, known_revisions(fleet))
        answer = confirm_and_run(fleet, intent("far"), entry="entry-1", operation="far")
        self.assertEqual(confirmations.Verdict.NOT_ACCEPTED, answer.verdict)
        fleet.partitions.clear()
        fleet.kv_cut_regions.clear()
        fleet.run(40.0)
        self.assertEqual({2}, known_revisions(fleet))
        self.assertEqual({"v-b"}, set(served_versions(fleet).values()))
        loads = [
            order
            for engine in fleet.engines.values()
            for order in engine.executed_orders
            if order.kind is data.OrderKind.LOAD and order.version == "v-b"
        ]
        self.assertEqual(4, len(loads))


class LeaseFailuresTest(testtools.TestCase):
    def test_lost_lease_answers_never_give_two_holders(self):
        fleet = make_fleet(seed=3)
        fleet.run(2.0)
        for _ in range(10):
            fleet.kv.lose_answers = 1
            fleet.run(5.0)
            self.assertLessEqual(len(lease_holders(fleet)), 1)
        fleet.run(15.0)
        self.assertEqual(1, len(lease_holders(fleet)))

    def test_holder_stops_before_its_lease_ends(self):
        for delay_s in (0.002, 2.8):
            fleet = make_fleet()
            fleet.kv.delay_s = delay_s
            fleet.run(20.0)
            holder = lease_holders(fleet)[0]
            fleet.kv.is_up = False
            _, _, expires_s = fleet.kv.leases[leases.LEASE_KEY]
            while leases.is_held(holder):
                fleet.run(0.1)
            self.assertLess(fleet.now_s, expires_s)

    def test_paused_holder_does_no_harm_to_an_engine_that_ignores_fencing(self):
        fleet = make_fleet()
        for engine in fleet.engines.values():
            engine.checks_fence = False
        confirm_and_run(fleet, intent(replicas=4), seconds=20.0)
        paused = lease_holders(fleet)[0].identity.instance_id
        stale_fence = fleet.nodes[paused].leases.fence
        fleet.frozen.add(paused)
        fleet.run(20.0)
        other = lease_holders(fleet)[-1].identity.instance_id
        self.assertNotEqual(paused, other)
        wanted = intent(replicas=4, manifest=NEXT_MANIFEST)
        confirm_and_run(fleet, wanted, entry=other, operation="next", seconds=20.0)
        order = data.Order(
            stale_fence,
            "stale",
            "engine-0",
            "pool",
            data.ServiceKind.MODEL,
            "m",
            "v-a",
            "a" * 64,
            sequence=999,
        )
        sender = fleet.nodes[paused].identity
        fleet.post("engine-0", events.MessageReceived(sender, order))
        fleet.frozen.clear()
        fleet.run(20.0)
        self.assertEqual({"v-b"}, set(served_versions(fleet).values()))
        self.assertEqual(1, len(lease_holders(fleet)))
        self.assertEqual(
            "stale", logged_fields(fleet, "order_refused")[0]["operation_id"]
        )

    def test_new_holder_fences_remaining_replicas_before_a_release(self):
        fleet = make_fleet(endpoints=2)
        confirm_and_run(fleet, intent(replicas=2), seconds=20.0)
        paused = lease_holders(fleet)[0].identity.instance_id
        fleet.frozen.add(paused)
        other = next(name for name in ("entry-0", "entry-1") if name != paused)
        confirm_and_run(
            fleet, intent(replicas=1), entry=other, operation="less", seconds=1.0
        )
        fleet.orders.clear()
        while not fleet.orders or fleet.orders[-1].service:
            before = {node: node.orders.fence for node in fleet.list_endpoints()}
            fleet.run(0.1)
        release = fleet.orders[-1]
        staying = "engine-0" if release.instance_id == "engine-1" else "engine-1"
        self.assertEqual(release.fence, before[fleet.nodes[staying]])
        fleet.run(5.0)
        self.assertEqual([staying], [*served_versions(fleet)])

    def test_restarted_endpoint_learns_the_fence_although_its_engine_keeps_none(self):
        fleet = make_fleet()
        fleet.engines["engine-0"].checks_fence = False
        confirm_and_run(fleet, intent(replicas=4), seconds=20.0)
        fence = fleet.nodes["engine-0"].orders.fence
        fleet.add("engine-0", data.Role.ENDPOINT, "brest-a", "finistere")
        fleet.run(3.0)
        order = data.Order(
            fence - 1, "stale", "engine-0", "", data.ServiceKind.MODEL, sequence=99
        )
        sender = fleet.nodes["entry-0"].identity
        fleet.post("engine-0", events.MessageReceived(sender, order))
        self.assertEqual(1, len(logged_fields(fleet, "order_refused")))

    def test_fencing_numbers_grow_after_the_service_was_restored(self):
        fleet = make_fleet()
        confirm_and_run(fleet, intent(replicas=4), seconds=20.0)
        highest = fleet.nodes["engine-0"].orders.fence
        fleet.kv.leases.clear()
        fleet.kv.last_fence = 0
        fleet.run(30.0)
        confirm_and_run(
            fleet,
            intent(replicas=4, manifest=NEXT_MANIFEST),
            operation="next",
            seconds=40.0,
        )
        self.assertEqual({"v-b"}, set(served_versions(fleet).values()))
        self.assertGreater(fleet.nodes["engine-0"].orders.fence, highest)


class OrderFailuresTest(testtools.TestCase):
    def test_late_order_of_the_same_holder_is_refused(self):
        fleet = make_fleet()
        confirm_and_run(fleet, intent(replicas=4), seconds=20.0)
        node = fleet.nodes["engine-0"]
        fields = ("engine-0", "pool", data.ServiceKind.MODEL, "m", "v-0", "0" * 64)
        old = data.Order(node.orders.fence, "old", *fields, sequence=0)
        sender = fleet.nodes["entry-0"].identity
        fleet.post("engine-0", events.MessageReceived(sender, old))
        self.assertEqual("v-a", node.orders.target.version)

    def test_repeated_order_loads_once(self):
        fleet = make_fleet(endpoints=1)
        confirm_and_run(fleet, intent(replicas=1), seconds=20.0)
        node = fleet.nodes["engine-0"]
        sender = fleet.nodes["entry-0"].identity
        for _ in range(3):
            message = events.MessageReceived(sender, node.orders.target)
            fleet.post("engine-0", message)
            fleet.run(5.0)
        kinds = [order.kind for order in fleet.engines["engine-0"].executed_orders]
        self.assertEqual([data.OrderKind.LOAD, data.OrderKind.ACTIVATE], kinds)

    def test_wrong_digest_is_not_served(self):
        fleet = make_fleet(endpoints=1)
        engine = fleet.engines["engine-0"]
        status = engine.status
        engine.status = lambda: data.EngineStatus(
            digests=dict.fromkeys(status().digests, "x")
        )
        confirm_and_run(fleet, intent(replicas=1, floor=0), seconds=100.0)
        self.assertEqual({}, served_versions(fleet))
        self.assertIn(
            "no end of checking", logged_fields(fleet, "order_failed")[0]["why"]
        )
