"""Judges whether the bytes received of a stream show that its engine makes progress."""

from toucanspread.core.entry import request_timing

MIN_PROGRESS_BYTES = int(
    request_timing.STREAM_MIN_BYTES_PER_S * request_timing.STREAM_GAP_TIMEOUT_S
)


class StreamProgress:
    """Tells progress from bytes that only keep a connection busy.

    Progress is a complete event, the beginning of one, or enough bytes within one.
    Comments and blank lines between events are none.
    """

    def __init__(self):
        self._counted_bytes = 0

    def record(self, has_completed_event: bool, partial_event_bytes: int) -> bool:
        """Record received bytes and return whether they are progress.

        :param has_completed_event: whether an event was completed by them.
        :param partial_event_bytes: size of the part of the next event so far; 0 if none
            has begun.
        """
        if has_completed_event:
            self._counted_bytes = partial_event_bytes
            return True
        if partial_event_bytes == 0:
            return False
        new_bytes = partial_event_bytes - self._counted_bytes
        if self._counted_bytes and new_bytes < MIN_PROGRESS_BYTES:
            return False
        self._counted_bytes = partial_event_bytes
        return True
