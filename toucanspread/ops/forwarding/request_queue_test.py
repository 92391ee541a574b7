"""Tests that queued requests are retried whatever becomes of one of them."""

import random

import testtools
from twisted.internet import task

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import (
    decision_context,
    engine_requirements,
    engines,
    size_shares_test,
)
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


class RecordingItem(request_queue.QueueItem):
    """A queued request that leaves the queue only if it has a turn."""

    def __init__(self, timing):
        self.service = timing.service
        self.timing = timing
        self.start_deadline_s = timing.arrived_s
        self.arrived_s = timing.arrived_s
        self.turns = []

    @property
    def state(self):
        return self

    def make_decision_context(self):
        return size_context(self.timing.service)

    def carry_out(self, effects):
        raise AssertionError(effects)

    def resume(self, has_turn=False):
        self.turns.append(has_turn)
        return not has_turn


def size_context(service):
    """Return a context without engines."""
    location = engine_requirements.EntryLocation(data.ZoneName("z"), {}, 1)
    return decision_context.Context(
        1.0, engines.EngineRegistry(1.0), None, location, random.Random(1), None
    )


class StarvedSizeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.queue = request_queue.RequestQueue(self.clock)
        for size in size_shares_test.SIZES:
            timing = size_shares_test.make_timing(size)
            self.queue.shares.record_arrival(timing)
            if size <= 90:
                self.queue.shares.record_begin(timing)

    def resume(self, *sizes):
        items = []
        for number, size in enumerate(sizes):
            timing = size_shares_test.make_timing(size, 0.1 * number)
            items.append(RecordingItem(timing))
            self.queue.add(items[-1])
        self.clock.advance(request_queue.QUEUE_CHECK_INTERVAL_S)
        return [item.turns for item in items]

    def test_a_starved_size_goes_ahead_of_what_the_queue_holds(self):
        self.assertEqual([[False], [True], []], self.resume(10, 99, 10))

    def test_a_size_that_is_not_behind_gets_no_turn(self):
        self.assertEqual([[False], []], self.resume(10, 80))

    def test_a_starved_size_without_an_engine_does_not_hold_up_the_queue(self):
        item = RecordingItem(size_shares_test.make_timing(99, 0.2))
        item.resume = lambda has_turn=False: True
        self.queue.add(item)
        self.assertEqual([[False]], self.resume(10))


class AllowedRegionsTest(testtools.TestCase):
    def test_requests_of_other_regions_do_not_wait_behind_one_without_an_engine(self):
        """Guards against a full home region that holds up all other callers."""
        clock = task.Clock()
        queue = request_queue.RequestQueue(clock)
        items = [
            RecordingItem(size_shares_test.make_timing(10, 0.1 * number))
            for number in range(2)
        ]
        items[0].allowed_regions = frozenset({data.RegionName("full")})
        for item in items:
            queue.add(item)
        clock.advance(request_queue.QUEUE_CHECK_INTERVAL_S)
        self.assertEqual([[False], [False]], [item.turns for item in items])
