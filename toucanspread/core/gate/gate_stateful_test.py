"""Several gates, one key-value service and one plain service under random faults.

The test fails if a call that may not be repeated runs twice, or if a dispatch runs
that was answered "not run".
"""

import collections
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from standins import gate_harness
from toucanspread.core import data, events
from toucanspread.core.gate import dispatch_events

GATES = 3
KEYS = ("deposit-1", "swap-1")
gates = st.integers(0, GATES - 1)
budgets = st.sampled_from((5.0, 20.0, 0.4, 0.0))
indexes = st.integers(0, 10_000)


@dataclasses.dataclass
class Sent:
    """A dispatch that an entry sent, of which copies may arrive later."""

    gate_number: int
    dispatch: data.Dispatch


class GatesMachine(stateful.RuleBasedStateMachine):
    """Checks at-most-once execution and "not run" answers over all gates."""

    def __init__(self):
        super().__init__()
        self.kv = gate_harness.FakeKeyValue()
        self.rigs = [self.new_rig(number, 1) for number in range(GATES)]
        self.calls: list[tuple[int, int, data.Effect]] = []
        self.late_writes: list[data.Effect] = []
        self.late_answers: list[tuple[int, int, data.Event]] = []
        self.runs: list[tuple[int, dispatch_events.StartRun]] = []
        self.sent: list[Sent] = []
        self.executed: collections.Counter[str] = collections.Counter()
        self.executed_attempts: set[data.AttemptKey] = set()
        self.started_attempts: collections.Counter[data.AttemptKey] = (
            collections.Counter()
        )
        self.not_run: set[data.AttemptKey] = set()
        self.open_streams: dict[int, tuple[int, data.AttemptKey]] = {}
        self.draining = False
        self.requests = 0
        self.streams = 0

    def new_rig(self, number, incarnation):
        kind = data.ServiceKind.PLAIN
        return gate_harness.GateHarness(
            kind, f"endpoint-{number}", incarnation, limit=3
        )

    def step(self, number, event, after_s=0.0):
        rig = self.rigs[number]
        for effect in rig.step(event, after_s):
            self.on_effect(number, effect)

    def on_effect(self, number, effect):
        if gate_harness.is_key_value_call(effect):
            incarnation = self.rigs[number].node.identity.incarnation
            self.calls.append((number, incarnation, effect))
        elif isinstance(effect, dispatch_events.StartRun):
            self.started_attempts[(effect.request_id, effect.attempt)] += 1
            self.runs.append((number, effect))
        elif isinstance(
            effect, dispatch_events.RefuseDispatch | dispatch_events.EndDispatch
        ):
            self.on_end(effect.stream, effect.end)
        elif isinstance(effect, dispatch_events.ReplayAnswer):
            assert effect.kept_key in self.executed_attempts
            self.on_end(effect.stream, effect.end)

    def on_end(self, stream, end):
        _, key = self.open_streams.pop(stream)  # raises KeyError on a second end
        assert key == (end.request_id, end.attempt)
        if end.outcome is not data.Outcome.NOT_RUN:
            return
        self.not_run.add(key)
        still_running = {(run.request_id, run.attempt) for _, run in self.runs}
        assert key not in self.executed_attempts | still_running

    def deliver(self, sent):
        self.streams += 1
        request_id = sent.dispatch.request.request_id
        key = (request_id, sent.dispatch.attempt)
        self.open_streams[self.streams] = (sent.gate_number, key)
        event = dispatch_events.DispatchReceived(
            gate_harness.ENTRY, sent.dispatch, self.streams
        )
        self.step(sent.gate_number, event)

    @stateful.rule(number=gates, key=st.sampled_from(KEYS), budget_s=budgets)
    def send(self, number, key, budget_s):
        self.requests += 1
        request = data.Request(
            data.RequestId(f"r{self.requests}"),
            data.TeamName("parish"),
            gate_harness.SERVICE,
            budget_s,
            repeatable=False,
            idempotency_key=data.IdempotencyKey(key),
        )
        incarnation = self.rigs[number].node.identity.incarnation
        dispatch = data.Dispatch(request, 1, budget_s, "entry-1", incarnation)
        self.sent.append(Sent(number, dispatch))
        self.deliver(self.sent[-1])

    @stateful.rule(
        number=gates,
        key=st.sampled_from(KEYS),
        fault=st.sampled_from(
            ("none", "none", "lost answer", "lost call", "late write")
        ),
    )
    def send_and_claim(self, number, key, fault):
        """Send a dispatch, answer its claim's read, and answer or fail its write."""
        self.send(number, key, 20.0)
        self.claim(fault)

    def claim(self, fault):
        if not self.calls:
            return
        self.answer_key_value(-1, 1)
        if not self.calls:
            return
        if fault == "none":
            self.answer_key_value(-1, 1)
        else:
            self.fail_key_value(-1, fault)

    @stateful.rule()
    def finish_all(self):
        """Answer all key-value calls and finish all runs successfully."""
        self.answer_key_value(0, 20)
        while self.runs:
            self.end_run(0, "complete")

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(index=indexes, is_claimed=st.booleans())
    def deliver_a_late_copy(self, index, is_claimed):
        self.deliver(self.sent[index % len(self.sent)])
        if is_claimed:
            self.claim("none")

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(index=indexes, count=st.sampled_from((1, 1, 2, 6)))
    def answer_key_value(self, index, count):
        for _ in range(count):
            if not self.calls:
                return
            number, incarnation, effect = self.calls.pop(index % len(self.calls))
            self.answer(number, incarnation, self.kv.carry_out(effect))

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(
        index=indexes, fault=st.sampled_from(("lost answer", "lost call", "late write"))
    )
    def fail_key_value(self, index, fault):
        number, incarnation, effect = self.calls.pop(index % len(self.calls))
        if fault == "lost answer":
            self.kv.carry_out(effect)
        elif fault == "late write":
            self.late_writes.append(effect)
        unknown = data.KvStatus.UNKNOWN
        self.answer(
            number,
            incarnation,
            events.KvAnswered(effect.operation_id, unknown, effect.key),
        )

    def answer(self, number, incarnation, answer):
        if self.rigs[number].node.identity.incarnation == incarnation:
            self.step(number, answer)

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(index=indexes)
    def delay_an_answer(self, index):
        number, incarnation, effect = self.calls.pop(index % len(self.calls))
        done = self.kv.carry_out(effect)
        self.late_answers.append((number, incarnation, done))

    @stateful.precondition(lambda self: self.late_answers)
    @stateful.rule(index=indexes)
    def answer_late(self, index):
        self.answer(*self.late_answers.pop(index % len(self.late_answers)))

    @stateful.precondition(lambda self: self.late_writes)
    @stateful.rule(index=indexes)
    def apply_late_write(self, index):
        self.kv.carry_out(self.late_writes.pop(index % len(self.late_writes)))

    @stateful.precondition(lambda self: self.runs)
    @stateful.rule(
        index=indexes,
        ending=st.sampled_from(("complete", "complete", "lost", "failed", "refused")),
    )
    def end_run(self, index, ending):
        number, run = self.runs.pop(index % len(self.runs))
        if ending in ("complete", "lost"):
            self.execute(run)
        ended = dispatch_events.RunEnded(
            run.request_id,
            run.attempt,
            ok=ending == "complete",
            status=200,
            started=ending != "refused",
            detail="",
            service_time_s=0.1,
        )
        self.step(number, ended)

    def execute(self, run):
        key = (run.request_id, run.attempt)
        self.executed[run.request.idempotency_key] += 1
        self.executed_attempts.add(key)
        assert key not in self.not_run, f"{key} was executed after 'not run'"

    @stateful.rule(number=gates)
    def restart(self, number):
        """Restart a process; the runs that it had started count as executed."""
        for gate_number, run in tuple(self.runs):
            if gate_number == number:
                self.execute(run)
        self.runs = [item for item in self.runs if item[0] != number]
        self.open_streams = {
            stream: item
            for stream, item in self.open_streams.items()
            if item[0] != number
        }
        before = self.rigs[number]
        incarnation = before.node.identity.incarnation + 1
        self.rigs[number] = self.new_rig(number, incarnation)
        self.rigs[number].now_s = before.now_s

    @stateful.rule(number=gates)
    def change_what_is_served(self, number):
        """Serve another service, or the first one again."""
        serving = self.rigs[number].node.orders.serving
        is_first = serving.service == gate_harness.SERVICE
        serving.service = "another" if is_first else gate_harness.SERVICE

    @stateful.precondition(lambda self: not self.draining)
    @stateful.rule(number=gates)
    def drain(self, number):
        self.draining = True
        self.step(number, events.DrainStarted(data.Reason.LEAVING))

    @stateful.precondition(lambda self: self.open_streams)
    @stateful.rule(index=indexes)
    def cancel(self, index):
        stream = list(self.open_streams)[index % len(self.open_streams)]
        number, (request_id, attempt) = self.open_streams[stream]
        self.step(
            number, dispatch_events.DispatchCancelled(request_id, attempt, stream)
        )

    @stateful.rule(after_s=st.sampled_from((0.1, 0.5, 1.1, 1.6)))
    def tick(self, after_s):
        for number in range(GATES):
            self.step(number, events.Tick(), after_s)

    @stateful.invariant()
    def no_call_is_executed_twice(self):
        assert all(count <= 1 for count in self.executed.values()), self.executed

    @stateful.invariant()
    def no_attempt_starts_twice(self):
        assert all(count <= 1 for count in self.started_attempts.values())

    def teardown(self):
        """Check that every dispatch of a running process ends after its runs."""
        while self.runs:
            self.end_run(0, "complete")
        for _ in range(3):
            self.tick(12.0)
            while self.runs:
                self.end_run(0, "complete")
        assert not self.open_streams, self.open_streams


GatesTest = GatesMachine.TestCase
GatesTest.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
