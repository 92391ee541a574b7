"""Splits a stream of server-sent events at the end of complete events.

An engine may stop in the middle of an event. Only complete events are relayed, so that
the stream can be resumed on another engine after the last of them.
"""

import re

from toucanspread.core import data

MAX_EVENT_BYTES = 1_048_576
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
LINE_END = rb"(?>\r\n|\r|\n)"
BLANK_LINE_ENDS = (b"\n\n", b"\n\r\n")
ANY_LINE_END = re.compile(rb"[\r\n]")
EVENT_END = re.compile(LINE_END + rb"{2,}")
# Blank lines and comments between events.
FILLER = re.compile(rb"(?:(?::[^\r\n]*)?" + LINE_END + rb")+")
EVENT_ID = re.compile(rb"(?:\A|(?<=[\r\n]))id:[ ]?([^\r\n]*)")
FIELD = re.compile(rb"(?:\A|(?<=[\r\n]))[^:\r\n]")


class EventSplitter:
    """Buffers the bytes of an incomplete event.

    :param is_continuation: whether the stream continues another one, so that a byte
        order mark at its start is dropped.
    :param after_event_id: id after which it continues; None if that has no id.
    :ivar is_wrong_continuation: whether its first event is none that can follow there.
    :ivar has_completed_event: whether the bytes added last completed an event, not only
        comments and blank lines.
    """

    def __init__(
        self, is_continuation: bool = False, after_event_id: str | None = None
    ):
        self.is_wrong_continuation = False
        self._after_event_id = after_event_id if is_continuation else None
        self._buffer = bytearray()
        self._is_continuation = is_continuation
        self._is_at_start = True
        self._byte_order_mark = b""
        self._ends_with_return = False
        self.has_completed_event = False
        self.last_event_id: str | None = None

    def feed(self, piece: bytes) -> bytes:
        """Add bytes and return those up to the end of the last complete event.

        Blank lines and comments that follow it are returned as well.
        """
        self.has_completed_event = False
        search_start = max(len(self._buffer) - 3, 0)
        self._buffer += piece
        if self._is_at_start and not self._read_byte_order_mark():
            return b""
        end = self._find_end(search_start)
        if end == 0:
            return b""
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._ends_with_return = complete.endswith(b"\r")
        self.has_completed_event = FIELD.search(complete) is not None
        if self._after_event_id is not None and self.has_completed_event:
            self.is_wrong_continuation = not _follows(complete, self._after_event_id)
            self._after_event_id = None
        if self.is_wrong_continuation:
            return b""
        ids = EVENT_ID.findall(complete)
        if ids:
            self.last_event_id = ids[-1].decode("latin-1").strip()
        mark, self._byte_order_mark = self._byte_order_mark, b""
        return mark + complete

    @property
    def is_event_too_large(self) -> bool:
        """Return whether the incomplete event exceeds ``MAX_EVENT_BYTES``."""
        return len(self._buffer) > MAX_EVENT_BYTES

    @property
    def buffered_bytes(self) -> int:
        """Return the size of what waits for the end of an event."""
        return len(self._buffer)

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds the beginning of an event."""
        return bool(self._buffer)

    @property
    def partial_event_bytes(self) -> int:
        """Return the size of an event that has begun; 0 for the start of a comment."""
        if self._buffer.startswith((b":", b"\r")):
            return 0
        return len(self._buffer)

    def _read_byte_order_mark(self) -> bool:
        """Remove the mark from the buffer; return False if more bytes are needed."""
        if BYTE_ORDER_MARK[:-1].startswith(self._buffer):
            return False
        self._is_at_start = False
        if self._buffer.startswith(BYTE_ORDER_MARK):
            del self._buffer[: len(BYTE_ORDER_MARK)]
            if not self._is_continuation:
                self._byte_order_mark = BYTE_ORDER_MARK
        return True

    def _find_end(self, search_start: int) -> int:
        """Return the size of the events and filler at the start of the buffer."""
        if self._buffer.endswith(BLANK_LINE_ENDS):
            return len(self._buffer)
        if not ANY_LINE_END.search(self._buffer, search_start):
            return 0
        limit = len(self._buffer) - self._may_end_inside_line_end()
        end = 0
        for match in EVENT_END.finditer(self._buffer, search_start, limit):
            end = match.end()
        filler = FILLER.match(self._buffer, end, limit)
        return end if filler is None else filler.end()

    def _may_end_inside_line_end(self) -> bool:
        """Return whether the last byte may be the first half of a line end.

        After a line that ended with a lone carriage return, it is taken as whole.
        """
        if not self._buffer.endswith(b"\r"):
            return False
        if len(self._buffer) == 1:
            return not self._ends_with_return
        return self._buffer[-2:-1] != b"\r"


def _follows(events: bytes, event_id: str) -> bool:
    """Return whether the first of some events has an id that can follow another one."""
    filler = FILLER.match(events)
    start = 0 if filler is None else filler.end()
    end = EVENT_END.search(events, start)
    first_id = EVENT_ID.search(events, start, len(events) if end is None else end.end())
    if first_id is None:
        return False
    number = data.parse_count(first_id.group(1).decode("latin-1").strip())
    last_number = data.parse_count(event_id)
    if number is None or last_number is None:
        return True
    return number > last_number
