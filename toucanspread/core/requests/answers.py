"""Checks at one hop that an answer is whole and belongs to its request."""

import xxhash

from toucanspread.core import data


class AnswerMismatchError(Exception):
    """A frame is not the next one of this attempt, or the payload is not whole."""


class AnswerCheck:
    """Follows the frames of one attempt.

    :param resume_from_bytes: where in the answer the attempt has to start.
    :ivar payload_bytes: of the frames so far.
    """

    def __init__(
        self, request_id: data.RequestId, attempt: int, resume_from_bytes: int = 0
    ):
        self._resume_from_bytes = resume_from_bytes
        self._request_id = request_id
        self._attempt = attempt
        self._frames = 0
        self._digest = xxhash.xxh64()
        self.payload_bytes = 0

    def check_frame(self, frame: data.AnswerFrame) -> None:
        """Check the next frame.

        :raises AnswerMismatchError: when it is of another attempt or out of order.
        """
        self._check_ids(frame.request_id, frame.attempt)
        if frame.sequence != self._frames:
            raise AnswerMismatchError(
                f"frame {frame.sequence} of {self._request_id}, not {self._frames}"
            )
        if self._resume_from_bytes:
            # An endpoint that knows of no resuming starts over; that is no answer.
            self._check_offset(frame.offset_bytes)
        self._frames += 1
        self.payload_bytes += len(frame.payload)
        self._digest.update(frame.payload)

    def check_end(self, end: data.AnswerEnd) -> None:
        """Check the last frame.

        :raises AnswerMismatchError: when the answer before it is not whole.
        """
        self._check_ids(end.request_id, end.attempt)
        if end.outcome is not data.Outcome.DONE:
            return
        told = (end.frames, end.payload_bytes, end.checksum)
        seen = (self._frames, self.payload_bytes, self._digest.hexdigest())
        if told != seen:
            raise AnswerMismatchError(
                f"answer of {self._request_id}: told {told}, seen {seen}"
            )

    def _check_offset(self, offset_bytes: int) -> None:
        expected_bytes = self._resume_from_bytes + self.payload_bytes
        if offset_bytes != expected_bytes:
            raise AnswerMismatchError(
                f"answer of {self._request_id} goes on at {offset_bytes},"
                f" not {expected_bytes}"
            )

    def _check_ids(self, request_id: data.RequestId, attempt: int) -> None:
        if (request_id, attempt) != (self._request_id, self._attempt):
            raise AnswerMismatchError(
                f"answer of {request_id} attempt {attempt}"
                f" came for {self._request_id} attempt {self._attempt}"
            )
