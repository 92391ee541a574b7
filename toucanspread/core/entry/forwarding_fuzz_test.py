"""Tests the guarantees of a request's answer over random sequences of events."""

import random

import hypothesis
import testtools
from hypothesis import strategies

from toucanspread.core import data
from toucanspread.core.entry import (
    crash_guard_test,
    decision_context,
    decisions,
    engine_requirements,
    engines,
    forwarding,
    retry_budget,
)
from toucanspread.core.entry import data as entry_data

ZONE = data.ZoneName("z")
PROFILE = entry_data.ModelProfile(data.ModelName("m"), 4, 8, 1024, 0.3)
LAYERS = (entry_data.LoadedLayers(PROFILE.model, 1, 0, 4),)
ENGINES = ("a", "b", "c")
FINAL_EFFECTS = (
    decisions.RelayAnswer,
    decisions.CloseStream,
    decisions.BreakStream,
    decisions.Reject,
    decisions.Fail,
)
# Only after these failures is it certain that the engine did not run the request.
NOT_RUN_FAILURES = (
    decisions.DispatchFailure.NOT_CONNECTED,
    decisions.DispatchFailure.REJECTED,
    decisions.DispatchFailure.OTHER_INSTANCE,
    decisions.DispatchFailure.WITHDRAWN_UNSENT,
)
EVENTS = (
    "opened",
    "events",
    "answer",
    "failure",
    "go on",
    "quarantine",
    "time over",
    "left",
)
QUARANTINE = entry_data.PartsQuarantined(("P",), 0.0, 0, 1.0)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(EVENTS),
        strategies.sampled_from(decisions.DispatchFailure),
        strategies.sampled_from((200, 404, 429, 500, 503)),
        strategies.floats(0.0, 1.0),
        strategies.integers(0, 1),
    ),
    max_size=12,
)


class RequestDriver:
    """Passes events to one request and counts its possible runs.

    :ivar possible_runs: number of engines that got the request, without those that
        certainly did not run it.
    :ivar at_engines: the numbers of the dispatches that are not over.
    """

    def __init__(self, kind, attempts, has_profile):
        profile = PROFILE if has_profile else None
        self.service = entry_data.Service(data.ServiceName("s"), profile)
        self.route = entry_data.Route(
            "r",
            "h",
            "/",
            kind,
            6.0,
            0.4,
            1,
            (entry_data.Share(self.service.name, 1.0),),
            attempts,
            resumable=kind is entry_data.RequestKind.STREAMING,
        )
        call = entry_data.Call(
            "id", "h", "/", None, 5.0, prompt_tokens=900, prompt_parts=("P",)
        )
        self.request = forwarding.RequestState(self.route, self.service, call, 0.0)
        self.registry = engines.EngineRegistry(2.0)
        for name in ENGINES:
            self.registry.put(
                entry_data.EngineEntry(
                    name,
                    self.service.name,
                    data.Address(f"{name}:1"),
                    ZONE,
                    16,
                    entry_data.EngineState.READY,
                    loaded=LAYERS,
                )
            )
        self.retry_budgets = retry_budget.RetryBudget(0.2, 50, 10.0)
        self.guard = crash_guard_test.make_guard()
        self.now_s = 0.0
        self.at_engines = set()
        self.is_queued = False
        self.possible_runs = 0
        self.final_effects = []

    def context(self):
        location = engine_requirements.EntryLocation(
            ZONE, {ZONE: data.RegionName("g")}, 1
        )
        return decision_context.Context(
            self.now_s,
            self.registry,
            self.retry_budgets,
            location,
            random.Random(1),
            self.guard,
        )

    def apply(self, effects):
        for effect in effects:
            if isinstance(effect, decisions.SendToEngine):
                self.at_engines.add(effect.number)
                self.is_queued = False
                self.possible_runs += 1
            elif isinstance(effect, decisions.Cancel):
                self.at_engines.remove(effect.number)
            elif isinstance(effect, decisions.Enqueue):
                self.is_queued = True
            elif isinstance(effect, FINAL_EFFECTS):
                self.final_effects.append(effect)

    def step(self, event, failure, status, after_s, position):
        """Pass an event to the request if it can occur in its present state.

        :param position: of its dispatch among those that are not over.
        """
        self.now_s += after_s
        context = self.context()
        request = self.request
        if event == "time over":
            self.apply(request.on_deadline(context))
        elif event == "left":
            self.apply(request.on_caller_disconnected(context))
        elif event == "go on" and self.is_queued:
            self.apply(request.resume_queued(context))
        elif event == "quarantine":
            self.guard.on_notice(QUARANTINE, self.now_s)
            self.apply(request.on_quarantine(context))
        elif self.at_engines:
            numbers = sorted(self.at_engines)
            number = numbers[position % len(numbers)]
            self.process_answer(event, failure, status, number)

    def process_answer(self, event, failure, status, number):
        """Pass an event of the answer to one dispatch to the request."""
        context = self.context()
        request = self.request
        if event == "opened":
            self.apply(request.choose_dispatch(context, number))
            self.apply(request.on_stream_opened())
        elif event == "events":
            self.apply(request.choose_dispatch(context, number))
            request.on_events(self.now_s, "3")
        elif event == "answer":
            self.at_engines.remove(number)
            self.apply(request.on_answer(context, status, number))
        elif event == "failure":
            self.fail(failure, context, number)

    def fail(self, failure, context, number):
        if failure not in decisions.UNFINISHED_FAILURES:
            self.at_engines.remove(number)
        if failure in NOT_RUN_FAILURES:
            self.possible_runs -= 1
        self.apply(self.request.on_failure(context, failure, number))


class ForwardingFuzzTest(testtools.TestCase):
    @hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.sampled_from(entry_data.RequestKind),
        strategies.integers(1, 3),
        strategies.booleans(),
        STEPS,
    )
    def test_guarantees_hold(self, kind, attempts, has_profile, steps):
        driver = RequestDriver(kind, attempts, has_profile)
        driver.apply(driver.request.start(driver.context()))
        for step in steps:
            if driver.request.is_finished:
                break
            driver.step(*step)
            max_runs = attempts if driver.route.is_repeatable else 1
            self.assertLessEqual(driver.possible_runs, max_runs)
            self.assertEqual(
                driver.at_engines, set(driver.request.running.live_numbers)
            )
        if driver.request.is_finished:
            self.assertEqual(set(), driver.at_engines)
        self.assertLessEqual(len(driver.final_effects), 1)
        for effect in driver.final_effects:
            if isinstance(effect, decisions.Reject):
                self.assertEqual(0, driver.possible_runs)
