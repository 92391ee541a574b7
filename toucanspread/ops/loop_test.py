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
    def advance(self, clock_id, step_s):
        """Let one of the kernel's clocks be ahead."""
        read = time.clock_gettime

        def read_ahead(requested_id):
            return read(requested_id) + step_s * (requested_id == clock_id)

        self.patch(time, "clock_gettime", read_ahead)

    def test_a_step_of_the_system_clock_does_not_move_timers(self):
        self.assertIs(loop.read_clock_s, reactor.seconds)
        self.assertIs(loop.read_clock_s, loop.EVENT_LOOP.time)
        before_s = reactor.seconds(), loop.EVENT_LOOP.time()
        self.advance(time.CLOCK_REALTIME, 100.0)
        self.patch(time, "time", lambda: 0.0)
        self.assertLess(reactor.seconds() - before_s[0], 50.0)
        self.assertLess(loop.EVENT_LOOP.time() - before_s[1], 50.0)

    def test_timers_and_ages_count_the_time_of_a_suspended_machine(self):
        before_s = reactor.seconds(), loop.EVENT_LOOP.time()
        self.advance(time.CLOCK_BOOTTIME, 100.0)
        self.assertGreaterEqual(reactor.seconds() - before_s[0], 100.0)
        self.assertGreaterEqual(loop.EVENT_LOOP.time() - before_s[1], 100.0)

    def test_a_timer_that_was_due_while_the_machine_was_suspended_fires_at_once(self):
        async def wait():
            started_s = time.perf_counter()
            sleeping = asyncio.ensure_future(asyncio.sleep(30.0))
            await asyncio.sleep(0)
            self.advance(time.CLOCK_BOOTTIME, 100.0)
            await asyncio.wait_for(sleeping, 10.0)
            return time.perf_counter() - started_s

        elapsed_s = loop.EVENT_LOOP.run_until_complete(wait())
        self.assertLess(elapsed_s, 10.0)
