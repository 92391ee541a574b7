"""Splits a stream of server-sent events at the end of complete events.

An engine may stop in the middle of an event. Only complete events are relayed, so that
the stream can be resumed on another engine after the last of them.
"""

import re

MAX_EVENT_BYTES = 1_048_576
EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Buffers the bytes of an incomplete event."""

    def __init__(self):
        self._buffer = bytearray()
        self.last_event_id: str | None = None

    def feed(self, piece: bytes) -> bytes:
        """Add bytes and return those up to the end of the last complete event."""
        search_start = max(len(self._buffer) - 3, 0)
        self._buffer += piece
        end = 0
        for match in EVENT_END.finditer(self._buffer, search_start):
            end = match.end()
        if end == 0:
            return b""
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        ids = EVENT_ID.findall(complete)
        if ids:
            self.last_event_id = ids[-1].decode("latin-1").strip()
        return complete

    @property
    def is_event_too_large(self) -> bool:
        """Return whether the incomplete event exceeds ``MAX_EVENT_BYTES``."""
        return len(self._buffer) > MAX_EVENT_BYTES

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds the beginning of an event."""
        return bool(self._buffer)
