"""Tests of reports passed on to collectors, over many entries in virtual time."""

import testtools

from toucanspread.core import data
from toucanspread.core.membership import report_relay, reporting
from toucanspread.core.membership.membership_test import (
    FakeOrders,
    Fleet,
    State,
    identity,
)

ENTRIES = reporting.REPORT_TO_ALL_MAX_COUNT + 6
ENDPOINTS = 24


class NewVersion:
    serving = data.Report(None, 0, State.LIVE, "toucan-pool", version="v2")


class RelayingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet(ENTRIES, ENDPOINTS)
        for number in range(ENDPOINTS):
            self.fleet.node(f"endpoint-{number}").orders = FakeOrders()
        self.fleet.network.run(10.0)
        self.names = report_relay.choose_collectors(self.fleet.node("entry-0"))

    def reports(self, collector):
        found = {}
        for member in self.fleet.node(collector).membership.members.values():
            if member.alive and member.report is not None:
                found[member.identity.instance_id] = member.report
        return found

    def test_collectors_see_all_reports(self):
        self.assertEqual(4, len(self.names))
        for name in self.names:
            found = self.reports(name)
            self.assertEqual(ENDPOINTS, len(found))
            self.assertEqual({"v1"}, {report.version for report in found.values()})
        others = set(self.fleet.network.machines) - {f"{name}:1" for name in self.names}
        entry = next(name for name in sorted(others) if name.startswith("entry"))
        self.assertTrue(len(self.reports(entry.partition(":")[0])) < ENDPOINTS)

    def test_change_and_restart_are_passed_on(self):
        self.fleet.node("endpoint-0").orders = NewVersion()
        fresh = identity("endpoint-1", data.Role.ENDPOINT, incarnation=2)
        self.fleet.start(fresh)
        self.fleet.read_list()
        self.fleet.network.run(6.0)
        for name in self.names:
            found = self.reports(name)
            self.assertEqual("v2", found["endpoint-0"].version)
            self.assertEqual(2, found["endpoint-1"].identity.incarnation)
            self.assertEqual("", found["endpoint-1"].version)

    def test_death_is_passed_on(self):
        self.fleet.kill("endpoint-3")
        self.fleet.network.run(12.0)
        for name in self.names:
            self.assertNotIn("endpoint-3", self.reports(name))

    def test_new_collector_learns_by_refreshes(self):
        self.fleet.network.loss = 0.2
        self.fleet.kill(self.names[0])
        self.fleet.network.run(2.0 * report_relay.REFRESH_INTERVAL_S)
        self.fleet.network.loss = 0.0
        self.fleet.network.run(1.5 * report_relay.REFRESH_INTERVAL_S)
        names = report_relay.choose_collectors(self.fleet.node("entry-1"))
        self.assertNotIn(self.names[0], names)
        for name in names:
            self.assertEqual(ENDPOINTS, len(self.reports(name)))

    def test_restarted_collector_learns_at_once(self):
        old = next(who for who in self.fleet.listed if who.instance_id == self.names[0])
        self.fleet.start(identity(old.instance_id, incarnation=2, zone=old.zone))
        self.fleet.read_list()
        self.fleet.network.run(15.0)
        self.assertEqual(ENDPOINTS, len(self.reports(self.names[0])))

    def test_report_that_nobody_passes_on_is_dropped(self):
        for name in list(self.fleet.network.machines):
            if not name.startswith(self.names[0]):
                self.fleet.network.remove(name)
        self.fleet.network.run(
            report_relay.STALE_REPORT_S + 2 * report_relay.STALE_CHECK_INTERVAL_S
        )
        self.assertEqual({}, self.reports(self.names[0]))
