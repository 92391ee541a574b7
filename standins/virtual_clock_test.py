"""Checks that the clock of simulations fires its timers as Twisted's clock does."""

import random

import testtools
from twisted.internet import task

from standins import virtual_clock

STEP_COUNT = 2_000
SEEDS = (1, 2, 3)


def record_firings(clock, seed):
    """Return what fires when, as timers are added, moved and cancelled at random."""
    draw = random.Random(seed)
    firings = []
    timers = []

    def fire(number):
        firings.append((round(clock.seconds(), 9), number))
        if draw.random() < 0.3:
            add(f"{number}+")

    def add(number):
        timers.append(clock.callLater(draw.uniform(0.0, 5.0), fire, number))

    for step in range(STEP_COUNT):
        add(str(step))
        active = [timer for timer in timers if timer.active()]
        moved = draw.choice(active)
        if draw.random() < 0.2:
            moved.cancel()
        elif draw.random() < 0.5:
            moved.reset(draw.uniform(0.0, 5.0))
        else:
            moved.delay(draw.uniform(0.0, 2.0))
        clock.advance(draw.uniform(0.0, 0.1))
        timers = [timer for timer in timers if timer.active()]
    return firings


class VirtualClockTest(testtools.TestCase):
    def test_timers_fire_at_the_same_times_as_those_of_the_usual_clock(self):
        for seed in SEEDS:
            expected = record_firings(task.Clock(), seed)
            self.assertGreater(len(expected), STEP_COUNT / 2)
            self.assertEqual(
                expected, record_firings(virtual_clock.VirtualClock(), seed)
            )

    def test_timers_of_one_time_fire_in_the_order_in_which_they_were_added(self):
        clock = virtual_clock.VirtualClock()
        fired = []
        for number in range(100):
            clock.callLater(1.0, fired.append, number)
        clock.advance(1.0)
        self.assertEqual(list(range(100)), fired)

    def test_cancelled_timers_are_not_due(self):
        clock = virtual_clock.VirtualClock()
        timer = clock.callLater(1.0, self.fail, "fired")
        clock.callLater(2.0, lambda: None)
        timer.cancel()
        self.assertEqual(2.0, clock.next_due_s)
        self.assertEqual(1, len(clock.getDelayedCalls()))
