"""Two entries, three gates and one plain service under every order of faults.

The machines are the real ones. What is between them is a bag of things under way;
Hypothesis delivers, copies, loses and delays them, restarts and drains processes.
The service counts executions. More than one execution of a call that may not be
repeated, or one of a request that was said not to have run, is the fault.
"""

import collections
import dataclasses
import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from standins import gate_fakes
from toucanspread.core import data, effects, events
from toucanspread.core.gate import dispatch_events
from toucanspread.core.requests import request_events, requests_test

ENTRIES = 2
ENDPOINTS = 3
KEYS = ("", "deposit-1", "deposit-2")
ENDS = (
    dispatch_events.RefuseDispatch,
    dispatch_events.EndDispatch,
    dispatch_events.ReplayAnswer,
)
CALLS = (effects.KvRead, effects.KvWrite, effects.KvDelete)
PENDING = st.integers(0, 1 << 16)


@dataclasses.dataclass
class Underway:
    """Something that was sent and has not arrived.

    :param kind: dispatch, end, call (on the key-value service), told or run.
    :param process: the entry or the rig that sent it or waits for it.
    :param detached: a dispatch on whose answer nobody waits any more.
    :param copied: a dispatch of which a copy is under way as well.
    """

    kind: str
    process: object
    item: object
    detached: bool = False
    copied: bool = False


class RequestPath(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.key_value = gate_fakes.FakeKeyValue()
        self.underway: list[Underway] = []
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
            self.report(rig)

    def make_rig(self, number, incarnation):
        kind = data.ServiceKind.PLAIN
        name = f"p{number}"
        return gate_fakes.Rig(kind, name, incarnation, limit=2, seed=number)

    def report(self, rig):
        told = data.Report(
            rig.node.identity,
            1,
            data.MemberState.LIVE,
            gate_fakes.SERVICE,
            data.ServiceKind.PLAIN,
            load=data.Load(limit=2),
        )
        for entry in self.entries:
            self.step_entry(entry, events.ReportReceived(told))

    def step_entry(self, entry, event):
        for effect in entry.step(self.now_s, event):
            if isinstance(effect, request_events.SendDispatch):
                self.underway.append(Underway("dispatch", entry, effect))
            elif isinstance(effect, request_events.CancelAttempt):
                self.cancel(effect)
            elif isinstance(effect, request_events.FinishRequest):
                self.finish(effect)

    def step_rig(self, rig, event):
        rig.now_s = self.now_s
        for effect in rig.step(event):
            if isinstance(effect, dispatch_events.StartRun):
                self.underway.append(Underway("run", rig, effect))
            elif isinstance(effect, ENDS):
                self.send_end(rig, effect.stream, effect.end)
            elif isinstance(effect, CALLS):
                self.underway.append(Underway("call", rig, effect))

    def send_end(self, rig, stream, end):
        entry = self.streams.get((id(rig), stream))
        if entry is not None:
            self.underway.append(Underway("end", entry, end))

    def cancel(self, effect):
        for rig in self.rigs:
            work = rig.node.dispatches.live.get((effect.request_id, effect.attempt))
            if work is not None:
                cancelled = dispatch_events.DispatchCancelled(
                    effect.request_id, effect.attempt, work.stream
                )
                self.step_rig(rig, cancelled)

    def finish(self, effect):
        assert effect.request_id not in self.outcomes, "ended twice"
        self.outcomes[effect.request_id] = effect.outcome
        if effect.outcome is data.Outcome.NOT_RUN:
            assert not self.run_requests[effect.request_id], "not run, but it was"
            assert effect.retry_after_s > 0
        if effect.outcome is data.Outcome.DONE:
            assert self.run_requests[effect.request_id], "done, but never run"

    def execute(self, request):
        self.run_requests[request.request_id] += 1
        told = self.outcomes.get(request.request_id)
        assert told is not data.Outcome.NOT_RUN, "run after it was said not to be"
        if request.repeatable:
            return
        key = request.idempotency_key or request.request_id
        self.run_keys[key] += 1
        assert self.run_keys[key] == 1, f"{key} was executed twice"

    def take(self, pending):
        index = pending % len(self.underway)
        return self.underway.pop(index)

    def draining(self):
        return [
            rig for rig in self.rigs if rig.node.dispatches.draining_since_s is not None
        ]

    def is_current(self, rig):
        return any(rig is known for known in self.rigs)

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
            gate_fakes.SERVICE,
            budget_s,
            repeatable=repeatable,
            idempotency_key=key if not repeatable else "",
        )
        entry = self.entries[number]
        self.step_entry(entry, request_events.RequestReceived(request))

    @stateful.precondition(lambda self: self.underway)
    @stateful.rule(pending=PENDING)
    def deliver(self, pending):
        going = self.take(pending)
        getattr(self, f"deliver_{going.kind}")(going)

    @stateful.precondition(lambda self: self.underway)
    @stateful.rule(count=st.integers(2, 12))
    def deliver_in_order(self, count):
        for _ in range(min(count, len(self.underway))):
            going = self.underway.pop(0)
            getattr(self, f"deliver_{going.kind}")(going)

    def deliver_dispatch(self, going):
        effect = going.item
        for rig in self.rigs:
            if rig.node.identity.instance_id != effect.instance_id:
                continue
            stream = next(self.numbers)
            # The answer to a copy goes nowhere.
            self.streams[id(rig), stream] = None if going.detached else going.process
            sender = going.process.node.identity
            arrived = dispatch_events.DispatchReceived(sender, effect.dispatch, stream)
            self.step_rig(rig, arrived)

    def deliver_end(self, going):
        self.step_entry(going.process, request_events.AttemptEnded(going.item))

    def deliver_call(self, going):
        answer = self.key_value.carry_out(going.item)
        self.underway.append(Underway("told", going.process, answer))

    def deliver_told(self, going):
        if self.is_current(going.process):
            self.step_rig(going.process, going.item)

    def deliver_run(self, going):
        self.execute(going.item.request)
        self.end_run(going, ok=True, started=True)

    def end_run(self, going, ok, started):
        if not self.is_current(going.process):
            return
        effect = going.item
        ended = dispatch_events.RunEnded(
            effect.request_id, effect.attempt, ok, 200, started, "", 0.1
        )
        self.step_rig(going.process, ended)

    @stateful.precondition(lambda self: self.underway)
    @stateful.rule(pending=PENDING)
    def lose(self, pending):
        going = self.take(pending)
        getattr(self, f"lose_{going.kind}")(going)

    def lose_dispatch(self, going):
        if going.detached:
            return
        dispatch = going.item.dispatch
        request_id = dispatch.request.request_id
        self.break_attempt(going.process, request_id, dispatch, going.copied)

    def lose_end(self, going):
        self.break_attempt(going.process, going.item.request_id, going.item, True)

    def break_attempt(self, entry, request_id, attempted, sent):
        reason = data.Reason.STREAM_BROKE if sent else data.Reason.UNREACHABLE
        broke = request_events.AttemptFailed(
            request_id, attempted.attempt, reason, sent
        )
        self.step_entry(entry, broke)

    def lose_call(self, going):
        self.answer_unknown(going.process, going.item)

    def lose_told(self, going):
        self.answer_unknown(going.process, going.item)

    def answer_unknown(self, rig, call):
        if not self.is_current(rig):
            return
        unknown = data.KvStatus.UNKNOWN
        self.step_rig(rig, events.KvAnswered(call.operation_id, unknown, call.key))

    def lose_run(self, going):
        self.end_run(going, ok=False, started=False)

    @stateful.precondition(lambda self: self.underway)
    @stateful.rule(pending=PENDING)
    def execute_and_lose_the_answer(self, pending):
        runs = [going for going in self.underway if going.kind == "run"]
        if not runs:
            return
        going = runs[pending % len(runs)]
        self.underway.remove(going)
        self.execute(going.item.request)
        self.end_run(going, ok=False, started=True)

    @stateful.precondition(lambda self: self.underway)
    @stateful.rule(pending=PENDING)
    def copy(self, pending):
        going = self.underway[pending % len(self.underway)]
        if going.kind == "dispatch":
            going.copied = True
            self.underway.append(dataclasses.replace(going, detached=True))
        elif going.kind == "end":
            self.underway.append(dataclasses.replace(going))

    @stateful.precondition(lambda self: self.underway)
    @stateful.rule(pending=PENDING)
    def break_while_under_way(self, pending):
        going = self.underway[pending % len(self.underway)]
        if going.kind != "dispatch" or going.detached:
            return
        # The entry hears of the break; what it sent may still arrive.
        going.detached = True
        dispatch = going.item.dispatch
        self.break_attempt(going.process, dispatch.request.request_id, dispatch, True)

    @stateful.rule(number=st.integers(0, ENDPOINTS - 1), heard=st.booleans())
    def restart(self, number, heard):
        before = self.rigs[number]
        incarnation = before.node.identity.incarnation + 1
        self.rigs[number] = self.make_rig(number, incarnation)
        self.rigs[number].now_s = self.now_s
        if not heard:
            return
        self.report(self.rigs[number])
        for entry in self.entries:
            for live in tuple(entry.node.requests.live.values()):
                if live.endpoint == before.node.identity:
                    request_id = live.request.request_id
                    self.break_attempt(entry, request_id, live, True)

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
                self.report(rig)

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
