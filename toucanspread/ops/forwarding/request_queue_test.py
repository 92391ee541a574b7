"""Tests that queued requests are retried whatever becomes of one of them."""

import testtools
from twisted.internet import task

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.ops.forwarding import request_queue


class FailingItem(request_queue.QueueItem):
    """A queued request for whose service no decision can be made."""

    state = None

    def __init__(self, service):
        self.service = entry_data.Service(data.ServiceName(service))
        self.try_count = 0

    def make_decision_context(self):
        self.try_count += 1
        raise OverflowError("int too large to convert to float")

    def carry_out(self, effects):
        raise AssertionError(effects)


class FailingServiceTest(testtools.TestCase):
    def test_a_service_for_which_decisions_fail_does_not_keep_others_waiting(self):
        clock = task.Clock()
        queue = request_queue.RequestQueue(clock)
        items = [FailingItem("s1"), FailingItem("s2")]
        for item in items:
            queue.add(item)
        for _ in range(3):
            clock.advance(request_queue.QUEUE_CHECK_INTERVAL_S)
        self.assertEqual([3, 3], [item.try_count for item in items])
