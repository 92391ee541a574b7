"""Tests of reports relayed to collectors, with many entries in virtual time."""

import testtools

from toucanspread.core import data
from toucanspread.core.membership import report_relay, reporting
from toucanspread.core.membership.membership_test import (
    FakeOrders,
    Fleet,
    State,
    make_identity,
)

ENTRIES = reporting.REPORT_TO_ALL_MAX_COUNT + 6
ENDPOINTS = 24


class FakeOrdersOfNewVersion:
    serving = data.Report(None, 0, State.LIVE, "toucan-pool", version="v2")


class ReportRelayTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet(ENTRIES, ENDPOINTS)
        for number in range(ENDPOINTS):
            self.fleet.get_node(f"endpoint-{number}").orders = FakeOrders()
        self.fleet.network.run(10.0)
        self.collector_ids = report_relay.choose_collectors(
            self.fleet.get_node("entry-0")
        )

    def find_reports(self, collector):
        reports = {}
        for member in self.fleet.get_node(collector).membership.members.values():
            if member.is_alive and member.report is not None:
                reports[member.identity.instance_id] = member.report
        return reports

    def test_collectors_get_all_reports(self):
        self.assertEqual(4, len(self.collector_ids))
        for name in self.collector_ids:
            reports = self.find_reports(name)
            self.assertEqual(ENDPOINTS, len(reports))
            self.assertEqual({"v1"}, {report.version for report in reports.values()})
        others = set(self.fleet.network.machines) - {
            f"{name}:1" for name in self.collector_ids
        }
        entry = next(name for name in sorted(others) if name.startswith("entry"))
        self.assertTrue(len(self.find_reports(entry.partition(":")[0])) < ENDPOINTS)

    def test_change_and_restart_are_relayed(self):
        self.fleet.get_node("endpoint-0").orders = FakeOrdersOfNewVersion()
        fresh = make_identity("endpoint-1", data.Role.ENDPOINT, incarnation=2)
        self.fleet.start(fresh)
        self.fleet.post_instance_list()
        self.fleet.network.run(6.0)
        for name in self.collector_ids:
            reports = self.find_reports(name)
            self.assertEqual("v2", reports["endpoint-0"].version)
            self.assertEqual(2, reports["endpoint-1"].identity.incarnation)
            self.assertEqual("", reports["endpoint-1"].version)

    def test_death_is_relayed(self):
        self.fleet.kill("endpoint-3")
        self.fleet.network.run(12.0)
        for name in self.collector_ids:
            self.assertNotIn("endpoint-3", self.find_reports(name))

    def test_new_collector_gets_lost_reports_by_refreshes(self):
        self.fleet.network.loss_ratio = 0.2
        self.fleet.kill(self.collector_ids[0])
        self.fleet.network.run(2.0 * report_relay.REFRESH_INTERVAL_S)
        self.fleet.network.loss_ratio = 0.0
        self.fleet.network.run(1.5 * report_relay.REFRESH_INTERVAL_S)
        collector_ids = report_relay.choose_collectors(self.fleet.get_node("entry-1"))
        self.assertNotIn(self.collector_ids[0], collector_ids)
        for name in collector_ids:
            self.assertEqual(ENDPOINTS, len(self.find_reports(name)))

    def test_restarted_collector_gets_all_reports_at_once(self):
        old = next(
            who for who in self.fleet.listed if who.instance_id == self.collector_ids[0]
        )
        self.fleet.start(make_identity(old.instance_id, incarnation=2, zone=old.zone))
        self.fleet.post_instance_list()
        self.fleet.network.run(15.0)
        self.assertEqual(ENDPOINTS, len(self.find_reports(self.collector_ids[0])))

    def test_report_that_no_entry_relays_is_dropped(self):
        for name in list(self.fleet.network.machines):
            if not name.startswith(self.collector_ids[0]):
                self.fleet.network.remove(name)
        self.fleet.network.run(
            report_relay.STALE_REPORT_S + 2 * report_relay.STALE_CHECK_INTERVAL_S
        )
        self.assertEqual({}, self.find_reports(self.collector_ids[0]))
