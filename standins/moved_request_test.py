"""Tests that no request is lost by a move to another engine, with real programs."""

import asyncio
import os
import socket
import time

import msgspec

from standins import (
    pausing_engine,
    planned_stop_callers_test,
    platform_engine,
    platform_programs_test,
    stop_callers,
)
from toucanspread.core import data
from toucanspread.core.entry import data as entry_data

ENGINE_COUNT = 4
CALLER_COUNT = 30
FIRST_SEED = int(os.environ.get("SOAK_FIRST_SEED", "1"))
SERVING_S = 2.5  # until the signal to terminate
GRACE_S = 8
STREAM = stop_callers.RequestKind("/stream/x", 6_000, 1.5, is_stream=True)
ANSWER = stop_callers.RequestKind("/a/x", 6_000, 0.6)
REPORT_INTERVAL_S = 0.2
run = platform_programs_test.run


class MovedRequestCase(planned_stop_callers_test.PlannedStopCase):
    """Starts an entry and engines that pause, or reject requests, but break none."""

    graces_s = (GRACE_S,)
    habits = pausing_engine.Habits(1.8, pause_share=0.5, rejection_share=0.6)
    kind = STREAM

    @classmethod
    def start_programs(cls):
        starting = pausing_engine.start_all(cls.habits, ENGINE_COUNT, FIRST_SEED)
        cls.engines, cls.addresses = run(starting)
        for number, address in enumerate(cls.addresses):
            cls.addClassCleanup(cls.engines[number].close)
            engine_id = "i-plain" if number == 0 else f"i-{number}"
            born_ms = platform_engine.BORN_MS
            cls.deployment._write_engine(engine_id, "plain", address, born_ms)
        cls.deployment.timeout_ms = planned_stop_callers_test.ROUTE_TIMEOUT_MS
        cls.deployment.kinds = {"/stream/": "streaming"}
        cls.deployment.resumable_prefixes = {"/stream/"}
        cls.entries = [cls.deployment.start_entry("entry-0", cls.graces_s[0])]
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


class StandingStillAtStopTest(MovedRequestCase):
    """Engines and the processes beside them pause, but for the first engine's."""

    graces_s = (4,)
    habits = pausing_engine.Habits(2.2, pause_share=1.0, rejection_share=0.0)
    kind = stop_callers.RequestKind("/stream/x", 6_000, 1.2, is_stream=True)

    async def report(self):
        """Send the load reports of the engines that don't pause."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            while True:
                for number, engine in enumerate(self.engines):
                    if number and time.monotonic() < engine.pausing_until_s:
                        continue
                    address = data.Address(self.addresses[number])
                    load = entry_data.EngineLoad(
                        address, platform_engine.BORN_MS, 0, 0, 1, False
                    )
                    payload = msgspec.msgpack.encode(load)
                    sender.sendto(payload, self.entries[0].reports_address)
                await asyncio.sleep(REPORT_INTERVAL_S)

    async def stop(self):
        reporting = asyncio.ensure_future(self.report())
        await asyncio.sleep(3 * REPORT_INTERVAL_S)
        entry = self.entries[0]
        kinds = [[self.kind]] * CALLER_COUNT
        sending = [stop_callers.send_in_line(entry, each) for each in kinds]
        answers = asyncio.gather(*sending)
        await asyncio.sleep(planned_stop_callers_test.BEFORE_SIGNAL_S)
        entry.terminate()
        outcomes = [outcome for line in await answers for outcome in line]
        reporting.cancel()
        return outcomes

    def test_a_stop_ends_no_stream_because_nothing_is_heard_of_its_engine(self):
        outcomes = run(self.stop())
        self.assertEqual(CALLER_COUNT, sum(each.status == 200 for each in outcomes))
        self.assertEqual([], self.list_lost(outcomes))
