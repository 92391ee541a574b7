"""A recorded session of an entry's requests, compared with a golden file."""

import pathlib

import testtools

from standins import golden_files
from toucanspread.core import data, events, sessions
from toucanspread.core.requests import entry_selection, request_events, requests_test

GOLDEN = pathlib.Path(__file__).parent / "golden" / "requests_entry.jsonl"
MODEL = requests_test.MODEL
PLAIN = requests_test.PLAIN


class Session:
    """A fixed session of answers, refusals, broken streams, silence and a drain."""

    def __init__(self):
        self.recorder = sessions.Recorder(requests_test.make_entry(seed=7))
        self.now_s = 0.0

    def step(self, event, after_s=0.1):
        self.now_s = round(self.now_s + after_s, 6)
        return self.recorder.step(self.now_s, event)

    def receive(self, name, service, **fields):
        request = requests_test.make_request(name, service, **fields)
        outputs = self.step(request_events.RequestReceived(request))
        return requests_test.find_dispatch(outputs).dispatch

    def end(self, dispatch, outcome, reason=data.Reason.NONE, **fields):
        request_id = dispatch.request.request_id
        end = data.AnswerEnd(request_id, dispatch.attempt, outcome, reason, **fields)
        outputs = self.step(request_events.AttemptEnded(end))
        retried = requests_test.find_dispatch(outputs)
        return retried.dispatch if retried else None

    def fail_attempt(self, dispatch, reason, sent, **fields):
        request_id = dispatch.request.request_id
        failed = request_events.AttemptFailed(
            request_id, dispatch.attempt, reason, sent, **fields
        )
        outputs = self.step(failed)
        retried = requests_test.find_dispatch(outputs)
        return retried.dispatch if retried else None

    def run(self):
        for name in ("p1", "p2", "p3"):
            self.step(events.ReportReceived(requests_test.make_report(name)))
        for name in ("r1", "r2"):
            self.step(events.ReportReceived(requests_test.make_report(name, PLAIN)))
        self.step(entry_selection.AddressesRequested("a1", "team", "redactor"))
        self.run_model_requests()
        self.run_plain_requests()
        silent = self.receive("q6", MODEL)
        self.step(events.Tick(), after_s=20.0)
        self.end(silent, data.Outcome.DONE)
        self.step(events.ShutdownRequested())
        refused = requests_test.make_request("q7", MODEL)
        self.step(request_events.RequestReceived(refused))
        self.step(request_events.CallerDisconnected("q6"))
        self.step(events.Tick(), after_s=20.0)

    def run_model_requests(self):
        load = data.Load(running=3, limit=8, service_time_s=0.4)
        first = self.receive("q1", MODEL, prefix_hash=99)
        self.end(first, data.Outcome.DONE, payload_bytes=40, version="v1", load=load)
        second = self.receive("q2", MODEL, prefix_hash=99)
        overloaded = data.Reason.OVERLOADED
        second = self.end(second, data.Outcome.NOT_RUN, overloaded, retry_after_s=2.5)
        self.end(second, data.Outcome.DONE, payload_bytes=40, version="v1")
        third = self.receive("q3", MODEL)
        stream_broke = data.Reason.STREAM_BROKE
        third = self.fail_attempt(
            third, stream_broke, True, payload_bytes=90, payload_events=3, version="v1"
        )
        self.end(third, data.Outcome.DONE, payload_bytes=30, version="v1")

    def run_plain_requests(self):
        fourth = self.receive("q4", PLAIN, idempotency_key="deposit-1")
        unreachable = data.Reason.UNREACHABLE
        fourth = self.fail_attempt(fourth, unreachable, False)
        self.end(fourth, data.Outcome.DONE, payload_bytes=9, status=201)
        fifth = self.receive("q5", PLAIN, idempotency_key="deposit-2")
        self.fail_attempt(fifth, data.Reason.STREAM_BROKE, True)


class RequestsGoldenTest(testtools.TestCase):
    def test_session_equals_its_golden_file(self):
        session = Session()
        session.run()
        text = session.recorder.text()
        self.assertEqual([], golden_files.compare_session(GOLDEN, text))
        fresh = requests_test.make_entry(seed=7)
        self.assertEqual([], sessions.replay(GOLDEN.read_text(), fresh))
