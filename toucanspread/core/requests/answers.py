"""Verifies that an answer is complete and belongs to its request."""

import xxhash

from toucanspread.core import data


class AnswerMismatchError(Exception):
    """A frame is not the next one of its attempt, or the payload is incomplete."""


class AnswerCheck:
    """Verifies the frames of one attempt as they arrive.

    :param resume_from_bytes: the offset in the answer at which the attempt must start.
    :ivar payload_bytes: the payload of the frames so far.
    """

    def __init__(
        self, request_id: data.RequestId, attempt: int, resume_from_bytes: int = 0
    ):
        self._resume_from_bytes = resume_from_bytes
        self._request_id = request_id
        self._attempt = attempt
        self._frame_count = 0
        self._digest = xxhash.xxh64()
        self.payload_bytes = 0

    def check_frame(self, frame: data.AnswerFrame) -> None:
        """Verify the next frame.

        :raises AnswerMismatchError: if it is of another attempt or out of order.
        """
        self._check_ids(frame.request_id, frame.attempt)
        if frame.sequence != self._frame_count:
            raise AnswerMismatchError(
                f"got frame {frame.sequence} of {self._request_id},"
                f" expected {self._frame_count}"
            )
        if self._resume_from_bytes:
            # An endpoint that does not support resuming starts over; the caller
            # already has the start of the answer.
            self._check_offset(frame.offset_bytes)
        self._frame_count += 1
        self.payload_bytes += len(frame.payload)
        self._digest.update(frame.payload)

    def check_end(self, end: data.AnswerEnd) -> None:
        """Verify the last frame.

        :raises AnswerMismatchError: if the answer before it is incomplete.
        """
        self._check_ids(end.request_id, end.attempt)
        if end.outcome is not data.Outcome.DONE:
            return
        expected = (end.frames, end.payload_bytes, end.checksum)
        received = (self._frame_count, self.payload_bytes, self._digest.hexdigest())
        if expected != received:
            raise AnswerMismatchError(
                f"answer of {self._request_id}: expected {expected},"
                f" received {received}"
            )

    def _check_offset(self, offset_bytes: int) -> None:
        expected_bytes = self._resume_from_bytes + self.payload_bytes
        if offset_bytes != expected_bytes:
            raise AnswerMismatchError(
                f"answer of {self._request_id} resumes at byte {offset_bytes},"
                f" expected {expected_bytes}"
            )

    def _check_ids(self, request_id: data.RequestId, attempt: int) -> None:
        if (request_id, attempt) != (self._request_id, self._attempt):
            raise AnswerMismatchError(
                f"got an answer of {request_id} attempt {attempt},"
                f" expected {self._request_id} attempt {self._attempt}"
            )
