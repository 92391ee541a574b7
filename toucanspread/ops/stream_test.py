"""Tests streams with faulty endpoints through the real HTTP API.

Whatever an endpoint does, a caller receives a prefix of its own answer without missing
or repeated events, and ``event: end`` only after the complete answer. The endpoints
interrupt streams, refuse, start over, send a wrong checksum, or mix in the answer to
another request.
"""

import asyncio

import hypothesis
import xxhash
from hypothesis import strategies as st

from toucanspread.core import data, events
from toucanspread.core.requests import requests_test
from toucanspread.ops import caller_api_test, grpc_transport, loop

EVENTS = [b"data: %d\n\n" % number for number in range(8)]
ENDINGS = ("end", "break", "close", "refuse", "lie", "cross", "start over")
ATTEMPTS = st.lists(
    st.tuples(st.integers(0, len(EVENTS)), st.sampled_from(ENDINGS), st.booleans()),
    min_size=1,
    max_size=5,
)


class FaultyPeers(caller_api_test.FakePeers):
    """Plays one attempt after the other, each with its own fault.

    :param attempts: tuples of the number of events before the fault, the fault, and
        whether two events share a frame.
    """

    def __init__(self, attempts):
        super().__init__()
        self.attempts = list(attempts)

    async def play(self, dispatch):
        if not self.attempts:
            raise grpc_transport.PeerError(
                "away", sent=False, reason=data.Reason.UNREACHABLE
            )
        count, ending, paired = self.attempts.pop(0)
        first = dispatch.resume_from_events
        if ending == "start over":
            first = 0
        last = len(EVENTS) if ending in ("end", "start over") else first + count
        pieces = EVENTS[first:last]
        if paired:
            pieces = [b"".join(pieces[n : n + 2]) for n in range(0, len(pieces), 2)]
        if ending == "refuse":
            yield self.end(dispatch, [], data.Outcome.NOT_RUN)
            return
        offset_bytes = len(b"".join(EVENTS[:first]))
        for number, piece in enumerate(pieces):
            request_id = dispatch.request.request_id
            if ending == "cross" and number == len(pieces) - 1:
                request_id = "another"
                piece = b"data: of another family\n\n"
            yield data.AnswerFrame(
                request_id,
                dispatch.attempt,
                number,
                piece,
                offset_bytes if dispatch.resume_from_bytes else 0,
                "v1" if number == 0 else "",
            )
            offset_bytes += len(piece)
            await asyncio.sleep(0)
        if ending == "break":
            raise grpc_transport.PeerError(
                "gone", sent=True, reason=data.Reason.STREAM_BROKE
            )
        if ending in ("end", "start over"):
            yield self.end(dispatch, pieces, data.Outcome.DONE)
        if ending == "lie":
            yield self.end(dispatch, [*pieces, b"more"], data.Outcome.DONE)

    def end(self, dispatch, pieces, outcome):
        joined = b"".join(pieces)
        return data.AnswerEnd(
            dispatch.request.request_id,
            dispatch.attempt,
            outcome,
            data.Reason.NONE,
            frames=len(pieces),
            payload_bytes=len(joined),
            checksum=xxhash.xxh64_hexdigest(joined),
        )


def decode_chunked(chunked):
    """Return the payload of a chunked body and whether its final chunk is present."""
    payload = b""
    while chunked:
        size, _, rest = chunked.partition(b"\r\n")
        if int(size, 16) == 0:
            return payload, True
        payload += rest[: int(size, 16)]
        chunked = rest[int(size, 16) + 2 :]
    return payload, False


class StreamTest(caller_api_test.CallerApiCase):
    @hypothesis.given(attempts=ATTEMPTS)
    @hypothesis.settings(
        deadline=None,
        derandomize=True,
        max_examples=150,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    def test_caller_gets_a_prefix_of_its_answer_and_the_end_only_when_complete(
        self, attempts
    ):
        reports = [requests_test.make_report(name) for name in ("p1", "p2")]
        self.start(reports=reports)
        self.peers = FaultyPeers(attempts)
        self.dispatcher._transport = self.peers
        transport = self.post("redactor")
        while self.host.node.requests.live:
            # Delays between attempts pass; the request must end well before its
            # deadline.
            self.now_s += 0.5
            self.host.post(events.Tick())
            loop.EVENT_LOOP.run_until_complete(self.run_pending_tasks())
            self.assertLess(self.now_s, 4.0)
        head, body = self.split(transport)
        if "text/event-stream" not in head:
            self.assertNotIn("200 OK", head)
            return
        payload, has_final_chunk = decode_chunked(body)
        received, _, outcome = payload.partition(b"event: ")
        complete = b"".join(EVENTS)
        self.assertTrue(complete.startswith(received), received)
        is_ended = outcome.startswith(b"end\n")
        self.assertEqual(is_ended, has_final_chunk)
        if is_ended:
            self.assertEqual(complete, received)
        else:
            self.assertIn(b'"outcome":"unknown"', outcome)
