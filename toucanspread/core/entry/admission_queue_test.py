"""What callers get of waiting at the entry, played without a network."""

import dataclasses
import random

import testtools

from toucanspread.core.entry import admission_queue

AIM_S = 0.4
READ_S = 0.075
MARGIN_S = 0.06  # this engine makes no passes between prompts
FREE_PLACES = 8.0  # this engine is held up by reading alone


@dataclasses.dataclass(eq=False)
class Request:
    arrived_s: float
    read_s: float

    @property
    def start_deadline_s(self):
        return self.arrived_s + AIM_S - self.read_s - MARGIN_S


def arrivals(load, seconds, seed):
    """Return requests at ``load`` times what one engine can read."""
    source = random.Random(seed)
    now_s = 0.0
    found = []
    while now_s < seconds:
        now_s += source.expovariate(load / READ_S)
        found.append(Request(now_s, source.expovariate(1 / READ_S)))
    return found


def play(requests, holds_back):
    """Return each request's time to its first event at one engine."""
    free_at_s = 0.0
    first_s = {}
    held = []
    pending = list(requests)
    now_s = 0.0
    while pending or held:
        now_s += 0.01
        while pending and pending[0].arrived_s <= now_s:
            held.append(pending.pop(0))
        backlog_s = max(free_at_s - now_s, 0.0)
        order = list(held)
        if holds_back:
            order = admission_queue.sort_queue(held, backlog_s, now_s)
        for request in order:
            backlog_s = max(free_at_s - now_s, 0.0)
            if holds_back and not admission_queue.can_start(
                request,
                admission_queue.EngineCapacity(backlog_s, backlog_s, FREE_PLACES),
                now_s,
            ):
                break
            free_at_s = max(free_at_s, now_s) + request.read_s
            first_s[id(request)] = free_at_s - request.arrived_s
            held.remove(request)
    return [first_s[id(request)] for request in requests]


def share_on_time(times):
    return sum(time <= AIM_S for time in times) / len(times)


class WaitingTest(testtools.TestCase):
    SEEDS = range(12)

    def on_time(self, load, holds_back):
        shares = []
        for seed in self.SEEDS:
            times = play(arrivals(load, 8.0, seed), holds_back)
            shares.append(share_on_time(times))
        return sum(shares) / len(shares)

    def test_in_an_overload_most_of_what_can_be_on_time_is(self):
        """A little and a third more than an engine can read."""
        self.assertLess(self.on_time(1.1, holds_back=False), 0.4)
        self.assertGreater(self.on_time(1.1, holds_back=True), 0.6)
        self.assertGreater(self.on_time(1.3, holds_back=True), 0.45)

    def test_below_what_engines_can_do_nothing_is_lost(self):
        at_once = self.on_time(0.6, holds_back=False)
        self.assertGreaterEqual(self.on_time(0.6, holds_back=True), at_once)

    def test_nobody_waits_until_the_caller_gives_up_where_room_comes_back(self):
        for seed in self.SEEDS:
            times = play(arrivals(1.0, 8.0, seed), holds_back=True)
            self.assertLess(max(times), 3.2)
