import types

import testtools

from toucanspread.core import data, effects, events, machine
from toucanspread.core.requests import (
    draining,
    entry_selection,
    request_events,
    requests,
    retries,
    routing,
)

LOCAL = data.Identity("e1", data.Role.ENTRY, 1, "za", "ra", "127.0.0.1:1", "h1")
MODEL = data.Intent("redactor", data.ServiceKind.MODEL, 2, 1, ("za",))
PLAIN = data.Intent("reservas", data.ServiceKind.PLAIN, 2, 1, ("za",), repeatable=False)


def make_identity(name, zone="za", incarnation=1):
    address = f"127.0.0.1:{name}"
    return data.Identity(
        name, data.Role.ENDPOINT, incarnation, zone, f"r{zone[1:]}", address
    )


def make_report(name, service=MODEL, zone="za", incarnation=1, **fields):
    values = {
        "version": "v1",
        "load": data.Load(limit=8),
        "state": data.MemberState.LIVE,
        **fields,
    }
    identity = make_identity(name, zone, incarnation)
    return data.Report(
        identity, 1, service=service.service, kind=service.kind, **values
    )


def make_entry(*reports, seed=1):
    config = types.SimpleNamespace(intents={i.service: i for i in (MODEL, PLAIN)})
    node = machine.Node(
        LOCAL,
        seed,
        config=config,
        membership=types.SimpleNamespace(members={}, ready_counts={}),
        routing=routing.State(),
        requests=requests.State(),
        draining=draining.State(),
        entry_selection=entry_selection.State(),
    )
    handlers = [
        part.HANDLERS for part in (routing, requests, draining, entry_selection)
    ]
    entry = machine.Machine(node, handlers)
    for report in reports:
        entry.step(0.0, events.ReportReceived(report))
    return entry


def make_request(name="q1", service=MODEL, budget_s=30.0, **fields):
    repeatable = fields.pop("repeatable", service.repeatable)
    return data.Request(
        name, "team", service.service, budget_s, repeatable=repeatable, **fields
    )


def filter_by_type(kind, outputs):
    return [effect for effect in outputs if type(effect) is kind]


def find_dispatch(outputs):
    sent = filter_by_type(request_events.SendDispatch, outputs)
    return sent[0] if sent else None


def find_finish(outputs):
    ends = filter_by_type(request_events.FinishRequest, outputs)
    return ends[0] if ends else None


def receive(entry, now_s, *args, **fields):
    return entry.step(
        now_s, request_events.RequestReceived(make_request(*args, **fields))
    )


def current_attempt(entry):
    return entry.node.requests.live["q1"].attempt


def make_end(entry, outcome, reason=data.Reason.NONE, **fields):
    """Return an event that ends the running attempt."""
    answer_end = data.AnswerEnd("q1", current_attempt(entry), outcome, reason, **fields)
    return request_events.AttemptEnded(answer_end)


def make_failure(
    entry, sent, payload_bytes=0, reason=data.Reason.STREAM_BROKE, **fields
):
    """Return an event that reports the running attempt as failed."""
    return request_events.AttemptFailed(
        "q1", current_attempt(entry), reason, sent, payload_bytes, **fields
    )


class OutcomeTest(testtools.TestCase):
    def test_request_is_dispatched_with_its_remaining_budget(self):
        entry = make_entry(make_report("p1"))
        sent = find_dispatch(receive(entry, 1.0, budget_s=4.0))
        self.assertEqual("p1", sent.instance_id)
        self.assertEqual(4.0, sent.dispatch.budget_s)
        outputs = entry.step(2.0, make_end(entry, data.Outcome.DONE, version="v1"))
        self.assertIs(data.Outcome.DONE, find_finish(outputs).outcome)
        self.assertEqual({}, entry.node.requests.live)
        self.assertEqual(0, entry.node.routing.endpoints["p1"].in_flight)

    def test_unknown_service_and_missing_endpoint_are_refused_at_once(self):
        entry = make_entry()
        other = data.Intent("none", data.ServiceKind.MODEL, 1, 1, ())
        finished = find_finish(receive(entry, 1.0, service=other))
        self.assertIs(data.Reason.UNKNOWN_SERVICE, finished.reason)
        finished = find_finish(receive(entry, 1.0))
        self.assertIs(data.Reason.NO_ENDPOINT, finished.reason)
        self.assertIs(data.Outcome.NOT_RUN, finished.outcome)
        self.assertGreater(finished.retry_after_s, 0)

    def test_refused_attempt_is_retried_at_another_endpoint_at_once(self):
        entry = make_entry(make_report("p1"), make_report("p2"))
        first = find_dispatch(receive(entry, 1.0))
        refused = make_end(entry, data.Outcome.NOT_RUN, reason=data.Reason.OVERLOADED)
        second = find_dispatch(entry.step(1.1, refused))
        self.assertNotEqual(first.instance_id, second.instance_id)
        self.assertEqual(first.dispatch.attempt + 1, second.dispatch.attempt)

    def test_endpoint_that_switches_versions_is_tried_again(self):
        entry = make_entry(make_report("p1"))
        first = find_dispatch(receive(entry, 1.0)).dispatch.attempt
        refused = make_end(entry, data.Outcome.NOT_RUN, data.Reason.WRONG_VERSION)
        outputs = entry.step(1.1, refused)
        self.assertEqual((None, None), (find_dispatch(outputs), find_finish(outputs)))
        sent = find_dispatch(entry.step(1.6, events.Tick()))
        self.assertEqual(first + 1, sent.dispatch.attempt)

    def test_request_with_transient_refusals_ends_long_before_its_deadline(self):
        entry = make_entry(make_report("p1"))
        receive(entry, 1.0, budget_s=30.0)
        now_s = 1.0
        finished = None
        while finished is None:
            refused = make_end(entry, data.Outcome.NOT_RUN, data.Reason.NOT_WHOLE)
            finished = find_finish(entry.step(now_s, refused))
            while finished is None and entry.node.requests.live["q1"].endpoint is None:
                now_s += 0.1
                entry.step(now_s, events.Tick())
        self.assertIs(data.Outcome.NOT_RUN, finished.outcome)
        self.assertLess(now_s, 5.0)

    def test_request_refused_as_overloaded_is_retried_only_once(self):
        entry = make_entry(*(make_report(f"p{number}") for number in range(4)))
        receive(entry, 1.0)
        overloaded = data.Reason.OVERLOADED
        outputs = entry.step(1.1, make_end(entry, data.Outcome.NOT_RUN, overloaded))
        self.assertIsNotNone(find_dispatch(outputs))
        refused = make_end(entry, data.Outcome.NOT_RUN, overloaded, retry_after_s=2.0)
        finished = find_finish(entry.step(1.2, refused))
        self.assertIs(data.Outcome.NOT_RUN, finished.outcome)
        self.assertGreater(finished.retry_after_s, 1.4)

    def test_not_run_needs_proof_for_every_attempt(self):
        entry = make_entry(make_report("p1"), make_report("p2"))
        receive(entry, 1.0)
        entry.step(1.1, make_failure(entry, True))
        refused = make_end(entry, data.Outcome.NOT_RUN, data.Reason.OVERLOADED)
        finished = find_finish(entry.step(1.2, refused))
        self.assertIs(data.Outcome.UNKNOWN, finished.outcome)

    def test_non_repeatable_request_that_may_have_run_ends_as_unknown_at_once(self):
        entry = make_entry(make_report("p1", PLAIN), make_report("p2", PLAIN))
        receive(entry, 1.0, service=PLAIN)
        finished = find_finish(entry.step(1.1, make_failure(entry, True)))
        self.assertIs(data.Outcome.UNKNOWN, finished.outcome)

    def test_non_repeatable_request_that_was_never_sent_is_tried_elsewhere(self):
        entry = make_entry(make_report("p1", PLAIN), make_report("p2", PLAIN))
        receive(entry, 1.0, service=PLAIN)
        outputs = entry.step(
            1.1, make_failure(entry, False, reason=data.Reason.UNREACHABLE)
        )
        self.assertIsNotNone(find_dispatch(outputs))

    def test_deadline_ends_a_running_request_as_unknown(self):
        entry = make_entry(make_report("p1"))
        receive(entry, 1.0, budget_s=2.0)
        self.assertEqual([], entry.step(2.9, events.Tick()))
        outputs = entry.step(3.0, events.Tick())
        self.assertIs(data.Outcome.UNKNOWN, find_finish(outputs).outcome)
        self.assertEqual(1, len(filter_by_type(request_events.CancelAttempt, outputs)))

    def test_silent_attempt_is_cancelled_and_tried_elsewhere(self):
        entry = make_entry(make_report("p1"), make_report("p2"))
        first = find_dispatch(receive(entry, 1.0)).instance_id
        outputs = entry.step(16.0, events.Tick())
        cancelled = filter_by_type(request_events.CancelAttempt, outputs)
        self.assertEqual([f"127.0.0.1:{first}"], [c.silent_address for c in cancelled])
        self.assertNotEqual(first, find_dispatch(outputs).instance_id)

    def test_late_end_of_an_earlier_attempt_is_dropped_and_counted(self):
        entry = make_entry(make_report("p1"), make_report("p2"))
        receive(entry, 1.0)
        late = make_end(entry, data.Outcome.DONE)
        entry.step(16.0, events.Tick())
        self.assertEqual([effects.Count("answers_late")], entry.step(16.1, late))
        outputs = entry.step(16.2, make_end(entry, data.Outcome.DONE))
        self.assertIs(data.Outcome.DONE, find_finish(outputs).outcome)

    def test_silent_plain_call_is_not_cancelled_before_its_deadline(self):
        entry = make_entry(make_report("p1", PLAIN))
        receive(entry, 1.0, service=PLAIN, budget_s=60.0)
        self.assertEqual([], entry.step(60.0, events.Tick()))

    def test_duplicate_of_a_running_request_never_ends_as_not_run(self):
        entry = make_entry(make_report("p1"))
        receive(entry, 1.0)
        outputs = receive(entry, 1.1)
        self.assertIs(data.Outcome.UNKNOWN, find_finish(outputs).outcome)
        self.assertIsNone(find_dispatch(outputs))

    def test_repeat_with_the_same_id_gets_another_attempt_number(self):
        entry = make_entry(make_report("p1"))
        first = find_dispatch(receive(entry, 1.0)).dispatch.attempt
        entry.step(1.5, make_end(entry, data.Outcome.DONE))
        self.assertNotEqual(first, find_dispatch(receive(entry, 2.0)).dispatch.attempt)

    def test_caller_disconnect_cancels_its_attempt(self):
        entry = make_entry(make_report("p1"))
        receive(entry, 1.0)
        outputs = entry.step(1.5, request_events.CallerDisconnected("q1"))
        self.assertEqual(1, len(filter_by_type(request_events.CancelAttempt, outputs)))
        self.assertIsNone(find_finish(outputs))
        self.assertEqual({}, entry.node.requests.live)


class StreamTest(testtools.TestCase):
    def progress(self, entry, now_s, payload_bytes):
        event = request_events.AttemptProgressed(
            "q1", current_attempt(entry), payload_bytes, version="v1"
        )
        return entry.step(now_s, event)

    def test_broken_stream_resumes_at_the_same_endpoint_only(self):
        entry = make_entry(make_report("p1"), make_report("p2"))
        first = find_dispatch(receive(entry, 1.0)).instance_id
        self.progress(entry, 1.2, 10)
        failure = make_failure(entry, True, 25, payload_events=2, version="v1")
        resumed = find_dispatch(entry.step(1.3, failure))
        self.assertEqual(first, resumed.instance_id)
        self.assertEqual(25, resumed.dispatch.resume_from_bytes)
        self.assertEqual(2, resumed.dispatch.resume_from_events)
        self.assertEqual("v1", resumed.dispatch.request.version)

    def test_stream_of_an_unknown_version_does_not_resume(self):
        entry = make_entry(make_report("p1"))
        receive(entry, 1.0)
        outputs = entry.step(1.3, make_failure(entry, True, payload_bytes=25))
        self.assertIs(data.Outcome.UNKNOWN, find_finish(outputs).outcome)

    def test_stream_that_cannot_resume_ends_as_unknown(self):
        entry = make_entry(make_report("p1"), make_report("p2"))
        receive(entry, 1.0)
        entry.step(1.3, make_failure(entry, True, payload_bytes=25, version="v1"))
        refused = make_end(entry, data.Outcome.NOT_RUN, data.Reason.STREAM_BROKE)
        outputs = entry.step(1.4, refused)
        self.assertIsNone(find_dispatch(outputs))
        self.assertIs(data.Outcome.UNKNOWN, find_finish(outputs).outcome)

    def test_stream_of_a_restarted_endpoint_does_not_resume(self):
        entry = make_entry(make_report("p1"))
        receive(entry, 1.0)
        self.progress(entry, 1.2, 10)
        entry.step(1.3, events.ReportReceived(make_report("p1", incarnation=2)))
        outputs = entry.step(1.4, make_failure(entry, True, payload_bytes=10))
        self.assertIs(data.Outcome.UNKNOWN, find_finish(outputs).outcome)


class EndpointChangeTest(testtools.TestCase):
    def test_endpoint_that_refuses_as_leaving_is_avoided_for_a_while(self):
        entry = make_entry(make_report("p1"), make_report("p2"))
        first = find_dispatch(receive(entry, 1.0)).instance_id
        leaving = make_end(entry, data.Outcome.NOT_RUN, data.Reason.LEAVING)
        other = find_dispatch(entry.step(1.1, leaving)).instance_id
        self.assertNotEqual(first, other)
        entry.step(1.2, make_end(entry, data.Outcome.DONE))
        for number in range(20):
            sent = find_dispatch(receive(entry, 1.3, f"q{number + 2}"))
            self.assertEqual(other, sent.instance_id)

    def test_answer_of_an_endpoint_that_membership_declared_dead_is_accepted(self):
        entry = make_entry(make_report("p1"))
        receive(entry, 1.0)
        dead = events.MemberChanged(make_identity("p1"), data.MemberState.DEAD)
        entry.step(1.1, dead)
        finished = find_finish(entry.step(1.2, make_end(entry, data.Outcome.DONE)))
        self.assertIs(data.Outcome.DONE, finished.outcome)

    def test_request_without_endpoint_is_redirected_to_entries_with_endpoints(self):
        entry = make_entry()
        other = data.Identity("e2", data.Role.ENTRY, 1, "zb", "ra", "x", "h2")
        member = types.SimpleNamespace(identity=other, state=data.MemberState.LIVE)
        entry.node.membership.members["e2"] = member
        entry.node.membership.ready_counts["e2"] = {"redactor": 3}
        self.assertEqual(("h2",), find_finish(receive(entry, 1.0)).addresses)

    def test_retry_budget_limits_attempts_during_an_outage(self):
        entry = make_entry(*(make_report(f"p{number}") for number in range(4)))
        attempts = 0
        for number in range(200):
            outputs = receive(entry, 1.0 + number, "q1")
            while find_dispatch(outputs) is not None:
                attempts += 1
                outputs = entry.step(entry.node.now_s, make_failure(entry, False))
            if "q1" in entry.node.requests.live:
                entry.step(entry.node.now_s, request_events.CallerDisconnected("q1"))
        self.assertLess(
            attempts, 200 * (1 + retries.RETRY_RATIO) + retries.MAX_RETRY_TOKENS + 1
        )
        self.assertGreater(attempts, 200)


class DrainTest(testtools.TestCase):
    def test_drain_refuses_new_requests_and_exits_after_the_running_ones(self):
        entry = make_entry(make_report("p1"))
        receive(entry, 1.0)
        entry.step(2.0, events.ShutdownRequested())
        refused = find_finish(receive(entry, 2.1, "q2"))
        self.assertIs(data.Reason.LEAVING, refused.reason)
        progress = request_events.AttemptProgressed("q1", current_attempt(entry), 5)
        entry.step(10.0, progress)
        self.assertEqual([], entry.step(13.0, events.Tick()))
        done = find_finish(entry.step(13.5, make_end(entry, data.Outcome.DONE)))
        self.assertIs(data.Outcome.DONE, done.outcome)
        self.assertEqual([effects.Exit()], entry.step(13.6, events.Tick()))
        self.assertEqual([], entry.step(13.7, events.Tick()))
