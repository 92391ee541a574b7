"""Tests the queue of an entry by its effect on callers, without a network."""

import dataclasses
import random

import testtools

from toucanspread.core.entry import admission_queue

TARGET_S = 0.4
MEAN_PREFILL_S = 0.075
MARGIN_S = 0.06  # the simulated engine runs no decode passes between prompts
FREE_SLOT_COUNT = 8.0  # only prefill limits the simulated engine


@dataclasses.dataclass(eq=False)
class Request:
    arrived_s: float
    prefill_s: float

    @property
    def start_deadline_s(self):
        return self.arrived_s + TARGET_S - self.prefill_s - MARGIN_S


def make_requests(load, seconds, seed):
    """Return requests at ``load`` times the prefill rate of one engine."""
    random_source = random.Random(seed)
    now_s = 0.0
    requests = []
    while now_s < seconds:
        now_s += random_source.expovariate(load / MEAN_PREFILL_S)
        requests.append(Request(now_s, random_source.expovariate(1 / MEAN_PREFILL_S)))
    return requests


def simulate(requests, uses_queue):
    """Return the time to first event of each request at one engine."""
    free_at_s = 0.0
    first_s = {}
    queue = []
    pending = list(requests)
    now_s = 0.0
    while pending or queue:
        now_s += 0.01
        while pending and pending[0].arrived_s <= now_s:
            queue.append(pending.pop(0))
        backlog_s = max(free_at_s - now_s, 0.0)
        order = list(queue)
        if uses_queue:
            order = admission_queue.sort_queue(queue, backlog_s, now_s)
        for request in order:
            backlog_s = max(free_at_s - now_s, 0.0)
            if uses_queue and not admission_queue.can_start(
                request,
                admission_queue.EngineCapacity(backlog_s, backlog_s, FREE_SLOT_COUNT),
                now_s,
            ):
                break
            free_at_s = max(free_at_s, now_s) + request.prefill_s
            first_s[id(request)] = free_at_s - request.arrived_s
            queue.remove(request)
    return [first_s[id(request)] for request in requests]


def on_time_ratio(times):
    return sum(time <= TARGET_S for time in times) / len(times)


class AdmissionTest(testtools.TestCase):
    SEEDS = range(12)

    def mean_on_time_ratio(self, load, uses_queue):
        ratios = []
        for seed in self.SEEDS:
            times = simulate(make_requests(load, 8.0, seed), uses_queue)
            ratios.append(on_time_ratio(times))
        return sum(ratios) / len(ratios)

    def test_a_queue_raises_the_on_time_ratio_in_an_overload(self):
        """The loads are 10% and 30% above the prefill rate of the engine."""
        self.assertLess(self.mean_on_time_ratio(1.1, uses_queue=False), 0.4)
        self.assertGreater(self.mean_on_time_ratio(1.1, uses_queue=True), 0.6)
        self.assertGreater(self.mean_on_time_ratio(1.3, uses_queue=True), 0.45)

    def test_a_queue_does_not_lower_the_on_time_ratio_without_overload(self):
        without_queue = self.mean_on_time_ratio(0.6, uses_queue=False)
        self.assertGreaterEqual(
            self.mean_on_time_ratio(0.6, uses_queue=True), without_queue
        )

    def test_no_request_waits_until_its_caller_gives_up_at_full_load(self):
        for seed in self.SEEDS:
            times = simulate(make_requests(1.0, 8.0, seed), uses_queue=True)
            self.assertLess(max(times), 3.2)

    def can_start_late(self, free_slots, has_turn):
        capacity = admission_queue.EngineCapacity(0.0, 0.0, free_slots)
        request = Request(0.0, MEAN_PREFILL_S)
        return admission_queue.can_start(request, capacity, 1.0, has_turn)

    def test_a_late_request_with_a_turn_leaves_fewer_slots_to_others(self):
        turn_count = admission_queue.TURN_MIN_FREE_COUNT
        self.assertTrue(self.can_start_late(turn_count, has_turn=True))
        self.assertFalse(self.can_start_late(turn_count, has_turn=False))
        self.assertFalse(self.can_start_late(turn_count - 1, has_turn=True))

    def test_a_request_on_time_loses_nothing_by_a_turn(self):
        capacity = admission_queue.EngineCapacity(0.0, 0.0, 0.0)
        request = Request(0.0, MEAN_PREFILL_S)
        self.assertTrue(admission_queue.can_start(request, capacity, 0.0, True))
