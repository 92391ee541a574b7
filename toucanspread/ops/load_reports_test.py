"""Tests which entries get which load reports."""

import testtools
from twisted.internet import task

from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import entry_directory
from toucanspread.ops import load_reports


class Transport:
    def __init__(self):
        self.sent = []

    def write(self, payload, address):
        self.sent.append(address[0])


class LoadReportSenderTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        same_zone = entry_directory.EntryRecord("n", "z", "r", "", "", "same-zone:1")
        other_zone = entry_directory.EntryRecord("f", "y", "r", "", "", "other-zone:1")
        self.sender = load_reports.LoadReportSender(
            lambda: [same_zone, other_zone], self.clock, "z"
        )
        self.sender.transport = Transport()

    def send(self, active=1, busy=False, order_in_s=None):
        load = entry_data.EngineLoad(
            "a:1", 1, active, 0, 1, busy, order_in_s=order_in_s
        )
        del self.sender.transport.sent[:]
        self.sender.send(load)
        return self.sender.transport.sent

    def test_only_entries_of_the_zone_get_each_change_of_load(self):
        self.assertEqual(["same-zone", "other-zone"], self.send(active=1))
        self.clock.advance(0.2)
        self.assertEqual(["same-zone"], self.send(active=2))
        self.clock.advance(0.2)
        self.assertEqual([], self.send(active=2))
        self.clock.advance(0.2)
        self.assertEqual(["other-zone"], self.send(active=2))

    def test_all_entries_get_a_busy_engine_at_once(self):
        self.send()
        self.assertEqual(["same-zone", "other-zone"], self.send(busy=True))
        self.assertEqual([], self.send(busy=True, order_in_s=0.1))
