"""Two entries, three endpoint processes and one plain service under random faults.

The state machines are the real ones. Hypothesis chooses which of the items in transit
between them is delivered, copied, lost or delayed, and restarts and drains processes.
The service counts executions. The test fails if a call that may not be repeated runs
more than once, or if a request runs whose outcome is "not run".
"""

import collections
import dataclasses
import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from standins import gate_harness
from toucanspread.core import data, effects, events
from toucanspread.core.gate import dispatch_events
from toucanspread.core.requests import request_events, requests_test

ENTRIES = 2
ENDPOINTS = 3
KEYS = ("", "deposit-1", "deposit-2")
END_EFFECTS = (
    dispatch_events.RefuseDispatch,
    dispatch_events.EndDispatch,
    dispatch_events.ReplayAnswer,
)
KV_EFFECTS = (effects.KvRead, effects.KvWrite, effects.KvDelete)
INDEXES = st.integers(0, 1 << 16)


@dataclasses.dataclass
class InTransit:
    """Something that was sent and has not arrived yet.

    :param kind: dispatch, end, kv_call, kv_answer or run.
    :param process: the entry or the rig that sent it or waits for it.
    :param content: what was sent.
    :param detached: whether nobody waits for the answer of this dispatch any more.
    :param copied: whether a copy of this dispatch is in transit as well.
    """

    kind: str
    process: object
    content: object
    detached: bool = False
    copied: bool = False


class RequestPath(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.key_value = gate_harness.FakeKeyValue()
        self.in_transit: list[InTransit] = []
        self.streams = {}
        self.numbers = itertools.count(1)
        self.outcomes = {}
        self.keys = {}
        self.run_requests = collections.Counter()
        self.run_keys = collections.Counter()
        self.entries = []
        for number in range(ENTRIES):
            self.entries.append(requests_test.make_entry(seed=number))
        self.rigs = [self.make_rig(number, 1) for number in range(ENDPOINTS)]
        for rig in self.rigs:
            self.send_report(rig)

    def make_rig(self, number, incarnation):
        kind = data.ServiceKind.PLAIN
        name = f"p{number}"
        return gate_harness.GateHarness(kind, name, incarnation, limit=2, seed=number)

    def send_report(self, rig):
        report = data.Report(
            rig.node.identity,
            1,
            data.MemberState.LIVE,
            gate_harness.SERVICE,
            data.ServiceKind.PLAIN,
            load=data.Load(limit=2),
        )
        for entry in self.entries:
            self.step_entry(entry, events.ReportReceived(report))

    def step_entry(self, entry, event):
        for effect in entry.step(self.now_s, event):
            if isinstance(effect, request_events.SendDispatch):
                self.in_transit.append(InTransit("dispatch", entry, effect))
            elif isinstance(effect, request_events.CancelAttempt):
                self.cancel(effect)
            elif isinstance(effect, request_events.FinishRequest):
                self.finish(effect)

    def step_rig(self, rig, event):
        rig.now_s = self.now_s
        for effect in rig.step(event):
            if isinstance(effect, dispatch_events.StartRun):
                self.in_transit.append(InTransit("run", rig, effect))
            elif isinstance(effect, END_EFFECTS):
                self.send_end(rig, effect.stream, effect.end)
            elif isinstance(effect, KV_EFFECTS):
                self.in_transit.append(InTransit("kv_call", rig, effect))

    def send_end(self, rig, stream, end):
        entry = self.streams.get((id(rig), stream))
        if entry is not None:
            self.in_transit.append(InTransit("end", entry, end))

    def cancel(self, effect):
        for rig in self.rigs:
            live = rig.node.dispatches.live.get((effect.request_id, effect.attempt))
            if live is not None:
                cancelled = dispatch_events.DispatchCancelled(
                    effect.request_id, effect.attempt, live.stream
                )
                self.step_rig(rig, cancelled)

    def finish(self, effect):
        assert effect.request_id not in self.outcomes, "second final outcome"
        self.outcomes[effect.request_id] = effect.outcome
        if effect.outcome is data.Outcome.NOT_RUN:
            assert not self.run_requests[effect.request_id], "'not run' after a run"
            assert effect.retry_after_s > 0
        if effect.outcome is data.Outcome.DONE:
            assert self.run_requests[effect.request_id], "'done' without a run"

    def execute(self, request):
        self.run_requests[request.request_id] += 1
        outcome = self.outcomes.get(request.request_id)
        assert outcome is not data.Outcome.NOT_RUN, "run after 'not run'"
        if request.repeatable:
            return
        key = request.idempotency_key or request.request_id
        self.run_keys[key] += 1
        assert self.run_keys[key] == 1, f"{key} was executed twice"

    def pop_in_transit(self, index):
        position = index % len(self.in_transit)
        return self.in_transit.pop(position)

    def draining(self):
        return [
            rig for rig in self.rigs if rig.node.dispatches.draining_since_s is not None
        ]

    def is_current(self, rig):
        return any(rig is current for current in self.rigs)

    @stateful.rule(
        number=st.integers(0, ENTRIES - 1),
        key=st.sampled_from(KEYS),
        repeatable=st.booleans(),
        budget_s=st.sampled_from([2.0, 10.0]),
    )
    def submit(self, number, key, repeatable, budget_s):
        request = data.Request(
            f"q{next(self.numbers)}",
            "team",
            gate_harness.SERVICE,
            budget_s,
            repeatable=repeatable,
            idempotency_key=key if not repeatable else "",
        )
        entry = self.entries[number]
        self.step_entry(entry, request_events.RequestReceived(request))

    @stateful.precondition(lambda self: self.in_transit)
    @stateful.rule(index=INDEXES)
    def deliver(self, index):
        item = self.pop_in_transit(index)
        getattr(self, f"deliver_{item.kind}")(item)

    @stateful.precondition(lambda self: self.in_transit)
    @stateful.rule(count=st.integers(2, 12))
    def deliver_in_order(self, count):
        for _ in range(min(count, len(self.in_transit))):
            item = self.in_transit.pop(0)
            getattr(self, f"deliver_{item.kind}")(item)

    def deliver_dispatch(self, item):
        effect = item.content
        for rig in self.rigs:
            if rig.node.identity.instance_id != effect.instance_id:
                continue
            stream = next(self.numbers)
            # The answer to a detached copy is dropped.
            self.streams[id(rig), stream] = None if item.detached else item.process
            sender = item.process.node.identity
            received = dispatch_events.DispatchReceived(sender, effect.dispatch, stream)
            self.step_rig(rig, received)

    def deliver_end(self, item):
        self.step_entry(item.process, request_events.AttemptEnded(item.content))

    def deliver_kv_call(self, item):
        answer = self.key_value.carry_out(item.content)
        self.in_transit.append(InTransit("kv_answer", item.process, answer))

    def deliver_kv_answer(self, item):
        if self.is_current(item.process):
            self.step_rig(item.process, item.content)

    def deliver_run(self, item):
        self.execute(item.content.request)
        self.end_run(item, ok=True, started=True)

    def end_run(self, item, ok, started):
        if not self.is_current(item.process):
            return
        effect = item.content
        ended = dispatch_events.RunEnded(
            effect.request_id, effect.attempt, ok, 200, started, "", 0.1
        )
        self.step_rig(item.process, ended)

    @stateful.precondition(lambda self: self.in_transit)
    @stateful.rule(index=INDEXES)
    def lose(self, index):
        item = self.pop_in_transit(index)
        getattr(self, f"lose_{item.kind}")(item)

    def lose_dispatch(self, item):
        if item.detached:
            return
        dispatch = item.content.dispatch
        request_id = dispatch.request.request_id
        self.fail_attempt(item.process, request_id, dispatch, item.copied)

    def lose_end(self, item):
        self.fail_attempt(item.process, item.content.request_id, item.content, True)

    def fail_attempt(self, entry, request_id, attempted, sent):
        reason = data.Reason.STREAM_BROKE if sent else data.Reason.UNREACHABLE
        failed = request_events.AttemptFailed(
            request_id, attempted.attempt, reason, sent
        )
        self.step_entry(entry, failed)

    def lose_kv_call(self, item):
        self.answer_unknown(item.process, item.content)

    def lose_kv_answer(self, item):
        self.answer_unknown(item.process, item.content)

    def answer_unknown(self, rig, call):
        if not self.is_current(rig):
            return
        unknown = data.KvStatus.UNKNOWN
        self.step_rig(rig, events.KvAnswered(call.operation_id, unknown, call.key))

    def lose_run(self, item):
        self.end_run(item, ok=False, started=False)

    @stateful.precondition(lambda self: self.in_transit)
    @stateful.rule(index=INDEXES)
    def execute_and_lose_the_answer(self, index):
        runs = [item for item in self.in_transit if item.kind == "run"]
        if not runs:
            return
        item = runs[index % len(runs)]
        self.in_transit.remove(item)
        self.execute(item.content.request)
        self.end_run(item, ok=False, started=True)

    @stateful.precondition(lambda self: self.in_transit)
    @stateful.rule(index=INDEXES)
    def copy(self, index):
        item = self.in_transit[index % len(self.in_transit)]
        if item.kind == "dispatch":
            item.copied = True
            self.in_transit.append(dataclasses.replace(item, detached=True))
        elif item.kind == "end":
            self.in_transit.append(dataclasses.replace(item))

    @stateful.precondition(lambda self: self.in_transit)
    @stateful.rule(index=INDEXES)
    def break_connection_in_transit(self, index):
        item = self.in_transit[index % len(self.in_transit)]
        if item.kind != "dispatch" or item.detached:
            return
        # The entry detects the broken connection; the dispatch may still arrive.
        item.detached = True
        dispatch = item.content.dispatch
        self.fail_attempt(item.process, dispatch.request.request_id, dispatch, True)

    @stateful.rule(number=st.integers(0, ENDPOINTS - 1), is_detected=st.booleans())
    def restart(self, number, is_detected):
        previous = self.rigs[number]
        incarnation = previous.node.identity.incarnation + 1
        self.rigs[number] = self.make_rig(number, incarnation)
        self.rigs[number].now_s = self.now_s
        if not is_detected:
            return
        self.send_report(self.rigs[number])
        for entry in self.entries:
            for live in tuple(entry.node.requests.live.values()):
                if live.endpoint == previous.node.identity:
                    request_id = live.request.request_id
                    self.fail_attempt(entry, request_id, live, True)

    @stateful.precondition(lambda self: not self.draining())
    @stateful.rule(number=st.integers(0, ENDPOINTS - 1))
    def drain(self, number):
        self.step_rig(self.rigs[number], events.DrainStarted(data.Reason.LEAVING))

    @stateful.rule(after_s=st.sampled_from([0.1, 1.0, 3.0]))
    def tick(self, after_s):
        self.now_s += after_s
        for entry in self.entries:
            self.step_entry(entry, events.Tick())
        for rig in self.rigs:
            self.step_rig(rig, events.Tick())
            if rig not in self.draining():
                self.send_report(rig)

    @stateful.invariant()
    def no_request_outlives_its_deadline(self):
        for entry in self.entries:
            for live in entry.node.requests.live.values():
                assert live.deadline_s >= self.now_s


RequestPath.TestCase.settings = hypothesis.settings(
    max_examples=200,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
RequestPathTest = RequestPath.TestCase
