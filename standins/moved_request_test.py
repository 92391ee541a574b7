"""Tests that no request is lost by a move to another engine, with real programs."""

import asyncio
import os

from standins import (
    pausing_engine,
    planned_stop_callers_test,
    platform_engine,
    platform_programs_test,
    stop_callers,
)

ENGINE_COUNT = 4
CALLER_COUNT = 30
FIRST_SEED = int(os.environ.get("SOAK_FIRST_SEED", "1"))
SERVING_S = 2.5  # until the signal to terminate
GRACE_S = 8
STREAM = stop_callers.RequestKind("/stream/x", 6_000, 1.5, is_stream=True)
ANSWER = stop_callers.RequestKind("/a/x", 6_000, 0.6)
run = platform_programs_test.run


class MovedRequestCase(planned_stop_callers_test.PlannedStopCase):
    """Starts an entry and engines that pause, or reject requests, but break none."""

    graces_s = (GRACE_S,)
    habits = pausing_engine.Habits(1.8, pause_share=0.5, rejection_share=0.6)
    kind = STREAM

    @classmethod
    def start_programs(cls):
        starting = pausing_engine.start_all(cls.habits, ENGINE_COUNT, FIRST_SEED)
        cls.engines, addresses = run(starting)
        for number, address in enumerate(addresses):
            cls.addClassCleanup(cls.engines[number].close)
            engine_id = "i-plain" if number == 0 else f"i-{number}"
            born_ms = platform_engine.BORN_MS
            cls.deployment._write_engine(engine_id, "plain", address, born_ms)
        cls.deployment.timeout_ms = planned_stop_callers_test.ROUTE_TIMEOUT_MS
        cls.deployment.kinds = {"/stream/": "streaming"}
        cls.deployment.resumable_prefixes = {"/stream/"}
        cls.entries = [cls.deployment.start_entry("entry-0", GRACE_S)]
        cls.deployment.write_configuration(3, "/a/", "/stream/")
        cls.wait_until(cls.are_serving)

    @classmethod
    async def stop_under_load(cls):
        entry = cls.entries[0]
        callers = [
            stop_callers.KeptCaller(entry, cls.kind) for _ in range(CALLER_COUNT)
        ]
        running = [asyncio.ensure_future(caller.run()) for caller in callers]
        await asyncio.sleep(SERVING_S)
        entry.terminate()
        await asyncio.gather(*running)
        return [outcome for caller in callers for outcome in caller.outcomes]

    def count_runs(self, outcome):
        received = [r for e in self.engines for r in e.find(outcome.attempt_id)]
        return sum(not each.is_rejected for each in received)

    def list_lost(self, outcomes):
        """Return the requests that ran and ended unanswered before their time."""
        return [
            (outcome.status, round(outcome.ended_s - outcome.sent_s, 2))
            for outcome in outcomes
            if self.count_runs(outcome)
            and not (outcome.status == 200 and outcome.is_whole)
            and outcome.ended_s - outcome.sent_s < outcome.timeout_s
        ]

    def check(self):
        outcomes = run(self.stop_under_load())
        served = [each for each in outcomes if each.status == 200 and each.is_whole]
        moved = [each for each in served if self.count_runs(each) > 1]
        self.assertNotEqual([], moved, "none was moved")
        self.assertEqual([], self.list_lost(outcomes))


class MovedStreamTest(MovedRequestCase):
    def test_no_stream_ends_because_other_engines_reject_it_while_its_own_pauses(self):
        self.check()


class MovedAnswerTest(MovedRequestCase):
    kind = ANSWER

    def test_no_request_fails_because_others_reject_it_while_its_engine_pauses(self):
        self.check()
