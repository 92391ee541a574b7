"""Cuts a stream of events where whole events end.

An engine may stop in the middle of an event. Only whole events are passed on, so that
a stream can go on at another engine after the last of them.
"""

import re

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Holds back the bytes of an event that is not whole yet."""

    def __init__(self):
        self._held = bytearray()
        self.last_event_id: str | None = None

    def feed(self, piece: bytes) -> bytes:
        """Take bytes in and return those up to the end of the last whole event."""
        searched = max(len(self._held) - 3, 0)
        self._held += piece
        end = 0
        for match in EVENT_END.finditer(self._held, searched):
            end = match.end()
        if end == 0:
            return b""
        whole = bytes(self._held[:end])
        del self._held[:end]
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_event_id = ids[-1].decode("latin-1").strip()
        return whole

    @property
    def has_partial_event(self) -> bool:
        """Tell whether an event was begun and not ended."""
        return bool(self._held)
