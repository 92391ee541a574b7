"""Tests that urgent requests go first while callers compete for too little room."""

from typing import NamedTuple

import testtools

from toucanspread.core.entry import (
    admission_queue,
    decisions,
    forwarding_test,
    priority_rules,
)
from toucanspread.core.entry import data as entry_data

NOW_S = 10.0


class Request(NamedTuple):
    """A queued request of which the time left and the rank are known."""

    rank: int
    left_s: float = 0.5
    waited_s: float = 0.1

    @property
    def arrived_s(self):
        return NOW_S - self.waited_s

    @property
    def start_deadline_s(self):
        return NOW_S + self.left_s


class OrderTest(testtools.TestCase):
    def sort(self, *requests, has_priorities=True):
        return admission_queue.sort_queue(requests, 0.0, NOW_S, has_priorities)

    def test_an_urgent_request_goes_before_one_with_more_time_left(self):
        """Guards against a burst of a patient kind that makes urgent ones late."""
        patient, urgent = Request(2, left_s=0.9), Request(0, left_s=0.2)
        self.assertEqual([urgent, patient], self.sort(patient, urgent))
        self.assertEqual(
            [patient, urgent], self.sort(urgent, patient, has_priorities=False)
        )

    def test_a_request_that_can_be_on_time_goes_before_an_urgent_one_that_is_late(self):
        late, on_time = Request(0, left_s=-0.1), Request(2)
        self.assertEqual([on_time, late], self.sort(late, on_time))


class AllowanceTest(testtools.TestCase):
    def test_a_less_urgent_request_leaves_room_for_more_urgent_ones(self):
        rules = priority_rules.PriorityRules([2, 0, 1, 1])
        allowances = [rules.find_allowance(rank) for rank in (0, 1, 2)]
        self.assertEqual(priority_rules.FULL_ALLOWANCE, allowances[0])
        slots = [each.reserved_slots for each in allowances]
        factors = [each.backlog_factor for each in allowances]
        self.assertEqual(sorted(set(slots)), slots)
        self.assertEqual(sorted(set(factors), reverse=True), factors)

    def test_requests_of_a_service_with_one_priority_leave_nothing_free(self):
        """Guards against idle slots where nobody is more urgent."""
        rules = priority_rules.PriorityRules([1, 1])
        self.assertEqual(priority_rules.FULL_ALLOWANCE, rules.find_allowance(1))

    def test_only_the_last_slots_are_kept_from_a_less_urgent_request(self):
        rules = priority_rules.PriorityRules([0, 2])
        allowance = rules.find_allowance(2)
        for free_slots, expected in ((-1, False), (0, True), (6, True)):
            capacity = admission_queue.EngineCapacity(0.0, 0.0, free_slots)
            can_start = admission_queue.can_start(
                Request(2), capacity, NOW_S, allowance=allowance
            )
            self.assertEqual(expected, can_start, free_slots)

    def test_a_late_request_leaves_as_much_more_free_as_one_on_time(self):
        """Guards against late requests that take the slots kept for urgent ones."""
        allowance = priority_rules.PriorityRules([0, 2]).find_allowance(2)
        late = Request(2, left_s=-0.1)
        enough = admission_queue.LATE_MIN_FREE_COUNT + allowance.reserved_slots
        for free_slots, expected in ((enough - 1, False), (enough, True)):
            capacity = admission_queue.EngineCapacity(0.0, 0.0, free_slots)
            can_start = admission_queue.can_start(
                late, capacity, NOW_S, allowance=allowance
            )
            self.assertEqual(expected, can_start, free_slots)

    def test_a_late_request_starts_at_an_idle_engine_with_few_slots(self):
        """Guards against prompts too long for their target that never start."""
        rules = priority_rules.PriorityRules([0, 1, 2])
        late = Request(2, left_s=-0.1)
        for slots in (4, 6, 8, 12):
            most_slots = slots - admission_queue.LATE_MIN_FREE_COUNT
            allowance = rules.find_allowance(2, most_slots)
            capacity = admission_queue.EngineCapacity(0.0, 0.0, slots)
            self.assertTrue(
                admission_queue.can_start(late, capacity, NOW_S, allowance=allowance)
            )

    def test_a_late_request_with_a_turn_leaves_no_more_free_for_its_rank(self):
        """Guards against long prompts of the least urgent kind that are starved."""
        allowance = priority_rules.PriorityRules([0, 1, 2]).find_allowance(2)
        late = Request(2, left_s=-0.1)
        free_slots = admission_queue.TURN_MIN_FREE_COUNT
        capacity = admission_queue.EngineCapacity(0.0, 0.0, free_slots)
        for has_turn in (False, True):
            can_start = admission_queue.can_start(
                late, capacity, NOW_S, has_turn, allowance
            )
            self.assertEqual(has_turn, can_start)

    def test_the_ranks_are_those_of_the_routes_to_the_service(self):
        def make_route(service, priority):
            share = entry_data.Share(service, 1.0)
            kind = entry_data.RequestKind.STREAMING
            return entry_data.Route(
                "r", "h", "/", kind, 6.0, 0.4, priority, (share,), 2
            )

        configuration = entry_data.Configuration(
            1, (make_route("pool", 2), make_route("pool", 1), make_route("other", 0))
        )
        rules = priority_rules.PriorityRules.from_configuration(
            configuration, forwarding_test.SERVICE
        )
        self.assertEqual(priority_rules.FULL_ALLOWANCE, rules.find_allowance(1))
        self.assertEqual(
            priority_rules.RESERVED_SLOT_COUNTS[1],
            rules.find_allowance(2).reserved_slots,
        )


class RefusalTest(testtools.TestCase):
    def resume(self, now_s, priorities):
        """Return the decision about a queued request while all slots are taken."""
        fixture = forwarding_test.Fixture(names=("a",))
        slot_count = forwarding_test.make_entry("a").slots
        for _ in range(slot_count - admission_queue.LATE_MIN_FREE_COUNT + 1):
            fixture.registry.get("a").record_dispatch(0.0)
        request = fixture.make_request(forwarding_test.make_route())
        context = fixture.at(now_s)._replace(priorities=priorities)
        return [type(effect) for effect in request.resume_queued(context)]

    def test_a_late_request_is_refused_before_its_caller_leaves(self):
        """Guards against requests that begin so late that callers abandon them."""
        rules = priority_rules.PriorityRules([0, 1])
        limit_s = admission_queue.MAX_DECLARED_WAIT_S
        self.assertEqual([decisions.Enqueue], self.resume(limit_s - 0.01, rules))
        self.assertEqual([decisions.Reject], self.resume(limit_s, rules))
        self.assertEqual([decisions.Enqueue], self.resume(limit_s, None))
