"""Tests that no reason that forbids an engine is forgotten when another one ends."""

import msgspec
import testtools
from hypothesis import settings, stateful
from hypothesis import strategies as st

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import (
    engine_obstacles,
    engine_requirements,
    engine_statement,
    engines,
    forwarding_test,
)

DRAIN_S = 2.0
NAME = "a"
ZONE = forwarding_test.ZONE
LOCATION = engine_requirements.EntryLocation(ZONE, {ZONE: data.RegionName("g")}, 1)
REQUIREMENTS = engine_requirements.EngineRequirements(forwarding_test.SERVICE)
Cause = engine_obstacles.Cause


class ObstacleMachine(stateful.RuleBasedStateMachine):
    """Compares the obstacles of one engine with a model that keeps each by itself.

    :ivar incarnation: the present one; statements and backoffs belong to one of them.
    """

    def __init__(self):
        super().__init__()
        self.registry = engines.EngineRegistry(DRAIN_S)
        self.now_s = 100.0
        self.incarnation = 1
        self.reported_incarnation = 1
        self.refuting_count = 0
        self.is_draining = False
        self.usable_until_s = None
        self.stale_until_s = 0.0
        self.has_weights = True
        self.leaving = set()
        self.backoff_until_s = {}
        self.put()

    def put(self):
        layers = forwarding_test.LAYERS if self.has_weights else ()
        state = entry_data.EngineState.READY
        if self.is_draining:
            state = entry_data.EngineState.DRAINING
        entry = forwarding_test.make_entry(NAME, layers)
        self.registry.put(
            msgspec.structs.replace(entry, state=state, born_ms=self.incarnation)
        )
        self.usable_until_s = None

    @property
    def engine(self):
        return self.registry.get(NAME)

    @stateful.rule(step_s=st.sampled_from([0.1, 0.6, 1.1, 3.0, 10.0]))
    def pass_time(self, step_s):
        self.now_s += step_s

    @stateful.rule(backoff_s=st.sampled_from([0.5, 2.0, 7.0]))
    def ask_for_backoff(self, backoff_s):
        if self.engine is None:
            return
        statement = engine_statement.EngineStatement(backoff_s=backoff_s)
        self.engine.apply_statement(statement, self.now_s, self.now_s)
        until_s = self.backoff_until_s.get(self.incarnation, 0.0)
        self.backoff_until_s[self.incarnation] = max(until_s, self.now_s + backoff_s)

    @stateful.rule()
    def say_leaving(self):
        if self.engine is None:
            return
        statement = engine_statement.EngineStatement(is_leaving=True)
        self.engine.apply_statement(statement, self.now_s, self.now_s)
        self.leaving.add(self.incarnation)

    @stateful.rule()
    def answer_well(self):
        if self.engine is None:
            return
        statement = engine_statement.EngineStatement()
        self.engine.apply_statement(statement, self.now_s, self.now_s)
        self.engine.record_success()

    @stateful.rule()
    def write_again(self):
        self.put()

    @stateful.rule(is_draining=st.booleans())
    def write_state(self, is_draining):
        self.is_draining = is_draining
        self.put()

    @stateful.rule(has_weights=st.booleans())
    def write_weights(self, has_weights):
        self.has_weights = has_weights
        self.put()

    @stateful.rule()
    def expire(self):
        self.registry.remove(NAME, self.now_s)
        if self.usable_until_s is None:
            grace_s = DRAIN_S * engines.REMOVED_GRACE_RATIO
            self.usable_until_s = self.now_s + grace_s

    @stateful.rule()
    def drop_removed(self):
        self.registry.drop_removed(self.now_s)

    @stateful.rule()
    def meet_other_instance(self):
        if self.engine is None:
            return
        self.engine.record_other_instance(self.now_s)
        self.stale_until_s = self.now_s + engines.STALE_ENTRY_BACKOFF_S

    @stateful.rule()
    def start_again(self):
        self.incarnation += 1
        self.reported_incarnation = self.incarnation
        self.is_draining = False
        self.stale_until_s = 0.0
        self.put()

    @stateful.rule()
    def report_newer_incarnation(self):
        if self.engine is None:
            return
        address = self.engine.entry.address
        born_ms = self.incarnation + 1
        load = entry_data.EngineLoad(address, born_ms, 0, 0, 1, False)
        self.registry.apply_load(load, self.now_s)
        self.reported_incarnation = born_ms
        self.refuting_count = 0

    @stateful.rule()
    def report_known_incarnation(self):
        if self.engine is None:
            return
        address = self.engine.entry.address
        load = entry_data.EngineLoad(address, self.incarnation, 0, 0, 1, False)
        # So old that the version of its weights does not count.
        received_s = self.now_s - engines.VERSION_REPORT_MAX_AGE_S - 0.1
        self.registry.apply_load(load, received_s)
        self.refuting_count += 1
        if self.refuting_count >= engines.RESTART_REFUTED_COUNT:
            self.reported_incarnation = self.incarnation

    def list_causes(self):
        """Return all causes that hold."""
        is_removed = self.usable_until_s is not None
        holds = {
            Cause.DRAINING: self.is_draining,
            Cause.SAYS_LEAVING: self.incarnation in self.leaving,
            Cause.RESTARTED: self.reported_incarnation > self.incarnation,
            Cause.ENTRY_OUTDATED: self.now_s < self.stale_until_s,
            Cause.ENTRY_REMOVED: is_removed and self.now_s >= self.usable_until_s,
            Cause.NO_WEIGHTS: not self.has_weights,
            Cause.BACKOFF: self.now_s
            < self.backoff_until_s.get(self.incarnation, float("-inf")),
        }
        return {cause for cause, is_held in holds.items() if is_held}

    @stateful.invariant()
    def obstacle_is_one_that_holds(self):
        if self.engine is None:
            # What the engine object knew of itself is gone with its record.
            self.stale_until_s = 0.0
            self.reported_incarnation = self.incarnation
            return
        choice = engine_obstacles.Choice(REQUIREMENTS, LOCATION, self.now_s)
        obstacle = engine_obstacles.find(self.engine, choice)
        causes = self.list_causes()
        if obstacle is None:
            assert causes == set(), causes
        else:
            assert obstacle.cause in causes, (obstacle, causes)
        forbids = engine_obstacles.forbids_dispatch(self.engine, self.now_s)
        assert forbids == bool(causes - {Cause.NO_WEIGHTS}), causes


ObstacleMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
ObstacleTest = ObstacleMachine.TestCase


class UntilTest(testtools.TestCase):
    def find(self, engine, now_s, **options):
        requirements = REQUIREMENTS._replace(**options)
        choice = engine_obstacles.Choice(requirements, LOCATION, now_s)
        return engine_obstacles.find(engine, choice)

    def setUp(self):
        super().setUp()
        self.engine = forwarding_test.Fixture(names=("a",)).registry.get("a")

    def test_the_end_of_a_backoff_is_named(self):
        self.engine.backoff.on_answer(4.0, 0.0, 1.0)
        self.assertEqual((Cause.BACKOFF, 5.0), self.find(self.engine, 2.0))

    def test_a_limit_is_named_only_without_a_backoff(self):
        self.engine.limit.on_answer(1.0, 0.0, 0.0)
        self.engine.backoff.on_answer(4.0, 0.0, 0.0)
        self.assertIs(Cause.BACKOFF, self.find(self.engine, 0.5).cause)
        for _ in range(5):
            self.engine.limit.record_dispatch(4.5)
        self.assertIs(Cause.LIMIT_USED_UP, self.find(self.engine, 4.6).cause)

    def test_an_engine_that_the_request_has_tried_is_named_as_tried(self):
        self.engine.backoff.on_answer(4.0, 0.0, 0.0)
        obstacle = self.find(self.engine, 0.5, excluded=frozenset({"a"}))
        self.assertEqual((Cause.TRIED, engine_obstacles.UNKNOWN_S), obstacle)
