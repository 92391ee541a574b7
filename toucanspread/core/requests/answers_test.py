import hypothesis
import msgspec
import testtools
import xxhash
from hypothesis import strategies as st

from toucanspread.core import data
from toucanspread.core.requests import answers

PAYLOADS = st.lists(st.binary(min_size=1, max_size=4), max_size=6)
FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["drop", "duplicate", "swap", "alter", "wrong request", "old attempt"]
        ),
        st.integers(0, 5),
    ),
    max_size=3,
)


def make_answer(payloads, attempt=7, request_id="q1"):
    """Return the frames and the end of a complete answer."""
    frames = [
        data.AnswerFrame(request_id, attempt, number, payload)
        for number, payload in enumerate(payloads)
    ]
    joined = b"".join(payloads)
    end = data.AnswerEnd(
        request_id,
        attempt,
        data.Outcome.DONE,
        frames=len(frames),
        payload_bytes=len(joined),
        checksum=xxhash.xxh64_hexdigest(joined),
    )
    return frames, end


def inject_fault(frames, kind, position):
    """Return the frames with one transmission fault."""
    if not frames:
        return frames
    index = position % len(frames)
    before, frame, after = frames[:index], frames[index], frames[index + 1 :]
    altered = {
        "drop": [],
        "duplicate": [frame, frame],
        "swap": [*after[:1], frame],
        "alter": [msgspec.structs.replace(frame, payload=b"?" + frame.payload[1:])],
        "wrong request": [msgspec.structs.replace(frame, request_id="q2")],
        "old attempt": [msgspec.structs.replace(frame, attempt=6)],
    }[kind]
    return [*before, *altered, *(after[1:] if kind == "swap" else after)]


class AnswerCheckTest(testtools.TestCase):
    @hypothesis.given(payloads=PAYLOADS, faults=FAULTS)
    @hypothesis.settings(deadline=None, derandomize=True, max_examples=300)
    def test_accepted_frames_are_the_complete_answer(self, payloads, faults):
        frames, end = make_answer(payloads)
        for kind, position in faults:
            frames = inject_fault(frames, kind, position)
        check = answers.AnswerCheck("q1", 7)
        received = b""
        try:
            for frame in frames:
                check.check_frame(frame)
                received += frame.payload
            check.check_end(end)
        except answers.AnswerMismatchError:
            return
        self.assertEqual(b"".join(payloads), received)

    def test_end_of_another_attempt_is_rejected(self):
        _, end = make_answer([], attempt=6)
        check = answers.AnswerCheck("q1", 7)
        self.assertRaises(answers.AnswerMismatchError, check.check_end, end)

    def test_refusal_needs_no_checksum(self):
        end = data.AnswerEnd("q1", 7, data.Outcome.NOT_RUN, data.Reason.OVERLOADED)
        answers.AnswerCheck("q1", 7).check_end(end)
