"""One caller's request, from its arrival to its one final answer.

A :class:`Forwarding` is told what happens to the request and returns what is to be
done about it. It keeps the promises of an answer: what may not be repeated runs at
most once; "not run" is said only when it is certain; a stream goes on only where it
stopped; nothing is answered twice.
"""

import random
from typing import NamedTuple

from toucanspread.core import data, invariants
from toucanspread.core.entry import (
    admission_queue,
    decisions,
    engines,
    load_balancing,
    retry_budget,
    urgency,
)
from toucanspread.core.entry import data as entry_data

ENGINE_ANSWER_SLACK_S = 0.12  # an engine's own answer at the deadline is awaited
MIN_TIME_TO_DISPATCH_S = 0.03  # less than the way to an engine and its shortest work
MAX_REJECTIONS = 3  # engines that reject a request before the caller hears of it
STREAM_SILENCE_TARGETS = 2.5  # first event: of the time in which it is on time
STREAM_GAP_TIMEOUT_S = 1.0  # between events; longer than any pause of a sound engine
ANSWER_SILENCE_TARGETS = 1.6  # one answer: of the time in which it is on time
FRESH_CONNECTION_S = 0.5  # for what may not be repeated: no race with an idle timeout
RETRY_AFTER_BASE_S = 0.25
RETRY_AFTER_SPREAD_S = 0.5
NO_ENGINE_RETRY_AFTER_S = 0.6


class DecisionContext(NamedTuple):
    """What decisions about a request look at.

    :param minimum_version: of the weights for the route's service.
    """

    now_s: float
    registry: engines.EngineRegistry
    retry_budgets: retry_budget.RetryBudget
    location: load_balancing.EntryLocation
    source: random.Random
    minimum_version: int = 0


class RequestState:
    """The state of one request.

    :param declared_rank: of its team; its route's when the team has none.
    :ivar deadline_s: when its time is over, on the clock of ``now_s``.
    """

    def __init__(
        self,
        route: entry_data.Route,
        service: entry_data.Service,
        call: entry_data.Call,
        arrived_s: float,
        declared_rank: int | None = None,
    ):
        self.route = route
        self.service = service
        self.call = call
        budget_s = route.timeout_s
        if call.budget_s is not None:
            budget_s = min(budget_s, call.budget_s)
        self.arrived_s = arrived_s
        self._rank = route.priority if declared_rank is None else declared_rank
        self.deadline_s = arrived_s + budget_s
        self.is_finished = False
        self.runs = 0  # engines that may have begun to work on it
        self.dispatches = 0
        self._rejections = 0
        self._engine: engines.Engine | None = None
        self._tried: set[str] = set()
        self._streaming = False
        self._last_event_id = call.last_event_id
        self._last_failure: decisions.DispatchFailure | None = None

    @property
    def engine_id(self) -> str:
        """Return the engine that has the request, or an empty string."""
        return self._engine.entry.engine_id if self._engine is not None else ""

    @property
    def start_deadline_s(self) -> float:
        """Return when an engine has to start on it for an answer on time."""
        reading_s = 0.0
        if self.service.profile is not None:
            reading_s = self.call.prompt_tokens / self.service.profile.read_per_s
        return (
            self.arrived_s
            + self.route.target_s
            - reading_s
            - admission_queue.FIRST_EVENT_MARGIN_S
        )

    @property
    def prefill_s(self) -> float:
        """Return what an engine needs to start on it, apart from its other work."""
        profile = self.service.profile
        if profile is None:
            return 0.0
        reading_s = self.call.prompt_tokens / profile.read_per_s
        return reading_s + engines.DECODE_PASSES_PER_PROMPT * profile.pass_s

    def start(
        self, now: DecisionContext, held_work_s: float = 0.0
    ) -> list[data.Effect]:
        """Send the request to a first engine, hold it back, or turn it away.

        :param held_work_s: of the requests to its service that are held back.
        """
        now.retry_budgets.record_request(self.service.name, now.now_s)
        if held_work_s == 0.0 or not self._may_be_held():
            return self._dispatch(now)
        ask = load_balancing.EngineRequirements(self.service, now.minimum_version)
        usable = len(load_balancing.eligible_engines(now.registry, ask, now.now_s))
        wait_s = admission_queue.expected_wait_s(
            held_work_s, usable, now.location.entries
        )
        if wait_s <= admission_queue.MAX_QUEUE_S:
            return [decisions.Hold()]
        return self._turn_away(now, wait_s)

    def resume_held(self, now: DecisionContext) -> list[data.Effect]:
        """Look for an engine again, after the request was held back."""
        return self._dispatch(now)

    def on_stream_opened(self) -> list[data.Effect]:
        """Take the head of a stream; only the first one is the caller's."""
        if self._streaming:
            return []
        self._streaming = True
        return [decisions.OpenStream()]

    def on_events(self, last_event_id: str | None) -> None:
        """Note whole events that were passed on."""
        if last_event_id is not None:
            self._last_event_id = last_event_id

    def on_answer(self, now: DecisionContext, status: int) -> list[data.Effect]:
        """Take an engine's whole answer, or the orderly end of its stream."""
        if status < 500:
            self._release(now, ok=True)
            return self._end(
                decisions.CloseStream() if self._streaming else decisions.RelayAnswer()
            )
        # The engine ran it and says that it failed.
        self._release(now, ok=False, weight=1)
        if not self._streaming and not self._may_run_again(now):
            return self._end(decisions.RelayAnswer())
        return self._again(now, decisions.DispatchFailure.FAILED)

    def on_failure(
        self, now: DecisionContext, failure: decisions.DispatchFailure
    ) -> list[data.Effect]:
        """Take the end of a dispatch that brought no whole answer."""
        if self.is_finished:
            return []
        self._last_failure = failure
        number = self.dispatches
        if failure is decisions.DispatchFailure.SILENT and not self._is_worth_moving(
            now
        ):
            return []
        if failure is decisions.DispatchFailure.REJECTED and self._engine is not None:
            self._engine.rejected(now.now_s)
        if (
            failure is decisions.DispatchFailure.OTHER_INSTANCE
            and self._engine is not None
        ):
            self._engine.answered_as_other(now.now_s)
        self._release(now, ok=False, weight=decisions.failure_weight(failure))
        dropped = (
            [decisions.Cancel(number)]
            if failure is decisions.DispatchFailure.SILENT
            else []
        )
        if failure in decisions.NOT_RUN_FAILURES:
            self.runs -= 1
            self._rejections += 1
        return dropped + self._again(now, failure)

    def on_deadline(self, now: DecisionContext) -> list[data.Effect]:
        """End a request whose time is over."""
        if self.is_finished:
            return []
        had_engine = self._engine is not None
        self._release(now, ok=False, weight=0)
        dropped = [decisions.Cancel(self.dispatches)] if had_engine else []
        if self._streaming:
            return dropped + self._end(
                decisions.BreakStream(decisions.FailureCause.DEADLINE_EXCEEDED)
            )
        if self.runs == 0:
            return self._end(
                self._reject(now, decisions.FailureCause.DEADLINE_EXCEEDED)
            )
        return dropped + self._end(
            decisions.Fail(decisions.FailureCause.DEADLINE_EXCEEDED, timed_out=True)
        )

    def on_caller_disconnected(self, now: DecisionContext) -> list[data.Effect]:
        """Stop the work that nobody waits for."""
        if self.is_finished:
            return []
        self.is_finished = True
        had_engine = self._engine is not None
        self._release(now, ok=False, weight=0)
        return [decisions.Cancel(self.dispatches)] if had_engine else []

    # inside

    def _dispatch(self, now: DecisionContext) -> list[data.Effect]:
        left_s = self.deadline_s - now.now_s
        if left_s < MIN_TIME_TO_DISPATCH_S:
            return self._give_up(now, decisions.FailureCause.DEADLINE_EXCEEDED)
        engine = self._choose_engine(now)
        if engine is None:
            return self._give_up(now, decisions.FailureCause.NO_ENGINE)
        if self._may_be_held():
            instead = self._hold_back(engine, now)
            if instead:
                return instead
        self._check_dispatch(engine, now)
        return [self._send_to(engine, now, left_s)]

    def _hold_back(
        self, engine: engines.Engine, now: DecisionContext
    ) -> list[data.Effect]:
        """Return what to do while the engine has too little room; nothing if not."""
        backlog_s = load_balancing.backlog_s(
            engine, self.service, now.location, now.now_s
        )
        free_places = load_balancing.free_slots(engine, now.location, now.now_s)
        room = admission_queue.EngineCapacity(
            backlog_s, engine.reading_s(now.now_s), free_places
        )
        if admission_queue.can_start(self, room, now.now_s):
            if self._is_hopeless(now, backlog_s):
                return self._turn_away(now, backlog_s)
            return []
        if now.now_s - self.arrived_s >= admission_queue.MAX_WAIT_S:
            return self._turn_away(now, admission_queue.MAX_QUEUE_S)
        return [decisions.Hold()]

    def _send_to(
        self, engine: engines.Engine, now: DecisionContext, left_s: float
    ) -> decisions.SendToEngine:
        self._engine = engine
        self._tried.add(engine.entry.engine_id)
        self.dispatches += 1
        self.runs += 1
        busy = engine.estimated_request_count(now.now_s, now.location.entries)
        busy_age_s = now.now_s - engine.load_at_s if engine.load is not None else -1.0
        engine.sent()
        if self.service.profile is not None:
            engine.add_prompt(self.call.prompt_tokens, self.service.profile, now.now_s)
        expected = 0
        if self.service.profile is not None and now.minimum_version > 1:
            expected = engine.complete_version(self.service.profile, now.now_s)
        return decisions.SendToEngine(
            self.dispatches,
            engine.entry.engine_id,
            engine.entry.address,
            left_s,
            self._silence_s(),
            self._last_event_id,
            expected,
            None if self.route.is_repeatable else FRESH_CONNECTION_S,
            busy,
            busy_age_s,
            self._priority(now.now_s),
        )

    def _check_dispatch(self, engine: engines.Engine, now: DecisionContext) -> None:
        """Check that one more engine may run the request."""
        call_id = self.call.attempt_id
        invariants.check(
            not self.is_finished, invariants.Invariant.ONE_FINAL_OUTCOME, call_id
        )
        if not self.route.is_repeatable:
            invariants.check(self.runs == 0, invariants.Invariant.AT_MOST_ONCE, call_id)
        invariants.check(
            self.runs < max(self.route.attempts, 1),
            invariants.Invariant.RETRY_ONLY_WHEN_SAFE,
            f"{call_id}: {self.runs} engines may have run it",
        )
        if self.service.profile is not None:
            version = engine.complete_version(self.service.profile, now.now_s)
            invariants.check(
                version >= max(now.minimum_version, 1),
                invariants.Invariant.DISPATCH_ONLY_WHOLE,
                f"{call_id}: {engine.entry.engine_id} holds {version}",
            )

    def _priority(self, now_s: float) -> int | None:
        if self.service.profile is None:
            return None
        kind = urgency.Urgency.LATE
        if self._last_event_id is not None:
            kind = urgency.Urgency.RESUMED
        elif now_s <= self.start_deadline_s:
            kind = urgency.Urgency.ON_TIME
        return urgency.engine_priority(kind, self._rank)

    def _choose_engine(self, now: DecisionContext) -> engines.Engine | None:
        """Return an engine that has not had the request, or one that rejected it."""
        ask = load_balancing.EngineRequirements(
            self.service,
            now.minimum_version,
            frozenset(self._tried),
            self._likely_tokens_left(),
            was_cut=self.runs > 0,
        )
        engine = load_balancing.choose_engine(
            now.registry, ask, now.location, now.now_s, now.source
        )
        if (
            engine is None
            and self._tried
            and self._last_failure in decisions.NOT_RUN_FAILURES
        ):
            ask = ask._replace(excluded=frozenset())
            engine = load_balancing.choose_engine(
                now.registry, ask, now.location, now.now_s, now.source
            )
        return engine

    def _again(
        self, now: DecisionContext, failure: decisions.DispatchFailure
    ) -> list[data.Effect]:
        """Send the request to another engine, if that is allowed and of use."""
        if failure in decisions.NOT_RUN_FAILURES:
            if self._rejections > MAX_REJECTIONS:
                return self._give_up(now, decisions.FailureCause.ENGINES_FULL)
        elif not self.route.is_repeatable or self.runs >= self.route.attempts:
            return self._give_up(now, decisions.FailureCause.ENGINE_FAILED)
        if not now.retry_budgets.acquire(
            self.service.name, now.now_s, now.location.entries
        ):
            return self._give_up(now, decisions.FailureCause.RETRY_BUDGET_EXHAUSTED)
        return self._dispatch(now)

    def _is_hopeless(self, now: DecisionContext, backlog_s: float) -> bool:
        """Tell whether its answer could not be whole before its time is over."""
        writing_s = load_balancing.decode_s(
            self.service.profile, self._likely_tokens_left()
        )
        if now.now_s - self.arrived_s < admission_queue.EXPIRING_AFTER_S:
            return False
        needed_s = min(backlog_s, admission_queue.MAX_QUEUE_S) + self.prefill_s
        return now.now_s + needed_s + writing_s > self.deadline_s

    def _turn_away(self, now: DecisionContext, wait_s: float) -> list[data.Effect]:
        retry_s = admission_queue.retry_after_s(wait_s, now.source.random())
        return self._end(decisions.Reject(decisions.FailureCause.ENGINES_FULL, retry_s))

    def _may_be_held(self) -> bool:
        return self.service.profile is not None and self.dispatches == 0

    def _may_run_again(self, now: DecisionContext) -> bool:
        if not self.route.is_repeatable or self.runs >= self.route.attempts:
            return False
        return self.deadline_s - now.now_s > MIN_TIME_TO_DISPATCH_S

    def _is_worth_moving(self, now: DecisionContext) -> bool:
        """Tell whether a silent engine's request has a better place to be."""
        if not self._may_run_again(now):
            return False
        tried = frozenset(self._tried)
        ask = load_balancing.EngineRequirements(
            self.service, now.minimum_version, tried
        )
        for engine in load_balancing.eligible_engines(now.registry, ask, now.now_s):
            if engine.is_avoided(now.now_s):
                continue
            if load_balancing.free_slots(engine, now.location, now.now_s) >= 1:
                return True
        return False

    def _give_up(
        self, now: DecisionContext, cause: decisions.FailureCause
    ) -> list[data.Effect]:
        if self._streaming:
            return self._end(decisions.BreakStream(cause))
        if self.runs == 0:
            return self._end(self._reject(now, cause))
        return self._end(
            decisions.Fail(
                cause, timed_out=cause is decisions.FailureCause.DEADLINE_EXCEEDED
            )
        )

    def _reject(
        self, now: DecisionContext, cause: decisions.FailureCause
    ) -> decisions.Reject:
        base_s = RETRY_AFTER_BASE_S
        if cause is decisions.FailureCause.NO_ENGINE:
            base_s = NO_ENGINE_RETRY_AFTER_S
        spread_s = now.source.random() * RETRY_AFTER_SPREAD_S
        return decisions.Reject(cause, base_s + spread_s)

    def _end(self, effect: data.Effect) -> list[data.Effect]:
        call_id = self.call.attempt_id
        invariants.check(
            not self.is_finished, invariants.Invariant.ONE_FINAL_OUTCOME, call_id
        )
        if isinstance(effect, decisions.Reject):
            invariants.check(
                self.runs == 0, invariants.Invariant.NOT_RUN_IS_PROVED, call_id
            )
        self.is_finished = True
        return [effect]

    def _release(self, now: DecisionContext, ok: bool, weight: int = 1) -> None:
        engine, self._engine = self._engine, None
        if engine is None:
            return
        engine.ended()
        if ok:
            engine.succeeded()
        elif weight:
            engine.failed(now.now_s, weight)

    def _likely_tokens_left(self) -> int:
        """Return how long the rest of the answer may be."""
        call = self.call
        likely = call.likely_tokens or call.output_tokens // 2
        profile = self.service.profile
        if profile is None or self._last_event_id is None:
            return likely
        if not self._last_event_id.isdigit():
            return likely
        return max(likely - int(self._last_event_id) * profile.pass_tokens, 0)

    def _silence_s(self) -> float:
        if self.route.kind is entry_data.RequestKind.STREAMING:
            return max(STREAM_SILENCE_TARGETS * self.route.target_s, 1.0)
        if self.route.is_repeatable:
            return ANSWER_SILENCE_TARGETS * self.route.target_s
        return self.route.timeout_s + ENGINE_ANSWER_SLACK_S
