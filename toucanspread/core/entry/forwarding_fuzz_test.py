"""Whatever happens to a request, it keeps the promises of its one answer."""

import random

import hypothesis
import testtools
from hypothesis import strategies

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import (
    decisions,
    engines,
    forwarding,
    load_balancing,
    retry_budget,
)

ZONE = data.ZoneName("z")
PROFILE = entry_data.ModelProfile(data.ModelName("m"), 4, 8, 1024, 0.3)
LAYERS = (entry_data.LoadedLayers(PROFILE.model, 1, 0, 4),)
ENGINES = ("a", "b", "c")
FINAL = (
    decisions.RelayAnswer,
    decisions.CloseStream,
    decisions.BreakStream,
    decisions.Reject,
    decisions.Fail,
)
# Only these say that an engine did not run what it was sent.
NOT_RUN = (
    decisions.DispatchFailure.NOT_CONNECTED,
    decisions.DispatchFailure.REJECTED,
    decisions.DispatchFailure.OTHER_INSTANCE,
)
HAPPENINGS = ("opened", "events", "answer", "failure", "go on", "time over", "left")
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(HAPPENINGS),
        strategies.sampled_from(decisions.DispatchFailure),
        strategies.sampled_from((200, 404, 429, 500, 503)),
        strategies.floats(0.0, 1.0),
    ),
    max_size=12,
)


class Player:
    """Plays what happens to one request, and remembers what may have run.

    :ivar may_have_run: engines that got it and did not say that they did not run it.
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
        call = entry_data.Call("id", "h", "/", None, 5.0, prompt_tokens=900)
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
        self.now_s = 0.0
        self.has_engine = False
        self.is_held = False
        self.may_have_run = 0
        self.final = []

    def surroundings(self):
        place = load_balancing.EntryLocation(ZONE, {ZONE: data.RegionName("g")}, 1)
        return forwarding.DecisionContext(
            self.now_s, self.registry, self.retry_budgets, place, random.Random(1)
        )

    def take(self, effects):
        for effect in effects:
            if isinstance(effect, decisions.SendToEngine):
                self.has_engine = True
                self.is_held = False
                self.may_have_run += 1
            elif isinstance(effect, decisions.Hold):
                self.is_held = True
            elif isinstance(effect, FINAL):
                self.final.append(effect)
                self.has_engine = False

    def step(self, happening, failure, status, after_s):
        """Let something happen, if it can at this point."""
        self.now_s += after_s
        now = self.surroundings()
        request = self.request
        if happening == "time over":
            self.take(request.on_deadline(now))
        elif happening == "left":
            self.take(request.on_caller_disconnected(now))
            self.has_engine = False
        elif happening == "go on" and self.is_held:
            self.take(request.resume_held(now))
        elif not self.has_engine:
            return
        elif happening == "opened":
            self.take(request.on_stream_opened())
        elif happening == "events":
            request.on_events("3")
        elif happening == "answer":
            self.has_engine = False
            self.take(request.on_answer(now, status))
        elif happening == "failure":
            self.fail(failure, now)

    def fail(self, failure, now):
        effects = self.request.on_failure(now, failure)
        if not effects and failure is decisions.DispatchFailure.SILENT:
            return
        self.has_engine = False
        if failure in NOT_RUN:
            self.may_have_run -= 1
        self.take(effects)


class ForwardingFuzzTest(testtools.TestCase):
    @hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.sampled_from(entry_data.RequestKind),
        strategies.integers(1, 3),
        strategies.booleans(),
        STEPS,
    )
    def test_promises_hold(self, kind, attempts, has_profile, steps):
        player = Player(kind, attempts, has_profile)
        player.take(player.request.start(player.surroundings()))
        for step in steps:
            if player.request.is_finished:
                break
            player.step(*step)
            most = attempts if player.route.is_repeatable else 1
            self.assertLessEqual(player.may_have_run, most)
        self.assertLessEqual(len(player.final), 1)
        for effect in player.final:
            if isinstance(effect, decisions.Reject):
                self.assertEqual(0, player.may_have_run)
