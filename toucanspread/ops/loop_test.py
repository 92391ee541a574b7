"""Tests that tasks and periodic calls outlive unexpected exceptions."""

import asyncio
import time

import testtools
from twisted.internet import reactor, task

from toucanspread.ops import loop


class SupervisedTaskTest(testtools.TestCase):
    def run_supervised(self, *outcomes):
        """Return how often a task was started until it returned."""
        starts = []

        async def run():
            starts.append(len(starts))
            outcome = outcomes[len(starts) - 1]
            if outcome is not None:
                raise outcome

        async def supervise():
            await loop.supervise("probe", run, restart_delay_s=0.0)

        loop.EVENT_LOOP.run_until_complete(supervise())
        return len(starts)

    def test_a_task_that_fails_is_started_again(self):
        self.assertEqual(3, self.run_supervised(ValueError("a"), KeyError("b"), None))

    def test_a_task_that_is_cancelled_is_not_started_again(self):
        cancelled = asyncio.CancelledError()
        self.assertRaises(asyncio.CancelledError, self.run_supervised, cancelled)


class PeriodicCallTest(testtools.TestCase):
    def test_a_call_that_fails_once_is_made_again(self):
        calls = []

        def call():
            calls.append(clock.seconds())
            if len(calls) == 1:
                raise ValueError("unexpected")

        clock = task.Clock()
        loop.call_periodically("probe", 1.0, call, clock)
        clock.pump([1.0, 1.0, 1.0])
        self.assertEqual([1.0, 2.0, 3.0], calls)


class ReactorClockTest(testtools.TestCase):
    def test_a_step_of_the_system_clock_does_not_move_timers(self):
        self.assertIs(time.monotonic, reactor.seconds)
