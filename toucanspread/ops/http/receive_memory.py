"""Bounds the memory that the connections of a process hold together.

A limit for each message doesn't bound their sum, and a few large messages must not take
the memory away from many small ones. So an account counts what all its holders keep,
and when that exceeds its limit, the largest one gives way of those whose other side
has the most, so that one faulty server takes no memory away from the answers of others.
"""

import abc
import collections

from toucanspread.ops.telemetry import logs, metric_buffer

# A machine has 150 MB or more, and the process itself takes about 50.
MAX_HELD_BYTES = 16_777_216
MAX_REQUESTS_BYTES = 25_165_824  # kept until the end of their answers
SMALL_BYTES = 16_384  # a request that holds no more is never refused for memory
ALONE_SHARE = 1 / 16  # of the limit, held by all others together
HEADER_LINE_BYTES = 200  # of the objects for a header line, besides its text


class Holder(abc.ABC):
    """Something that keeps bytes."""

    @property
    @abc.abstractmethod
    def peer(self) -> str:
        """Return the address of the other side."""

    @abc.abstractmethod
    def give_way(self) -> None:
        """Release all that is held, at once."""


class MemoryAccount:
    """Counts the bytes that holders of one kind keep.

    :param kind: what is held, for logs and metrics.
    :param limit_bytes: for all holders together.
    :param small_bytes: holders of no more than this never give way.
    :ivar held_bytes: by all holders together.
    """

    def __init__(
        self, kind: str, limit_bytes: int = MAX_HELD_BYTES, small_bytes: int = 0
    ):
        self.kind = kind
        self._small_bytes = small_bytes
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._holders: dict[Holder, int] = {}

    @classmethod
    def from_process(
        cls, kind: str, limit_bytes: int = MAX_HELD_BYTES, small_bytes: int = 0
    ) -> "MemoryAccount":
        """Return an account of this process, whose size is a metric."""
        account = cls(kind, limit_bytes, small_bytes)
        metric_buffer.watch("held_bytes", lambda: account.held_bytes, kind=kind)
        return account

    def update(self, holder: Holder, held_bytes: int) -> None:
        """Set how much a holder keeps; others may have to give way then.

        :param held_bytes: 0 once it keeps nothing.
        """
        known_bytes = self._holders.get(holder, 0)
        if held_bytes == known_bytes:
            return
        self.held_bytes += held_bytes - known_bytes
        if held_bytes:
            self._holders[holder] = held_bytes
        else:
            del self._holders[holder]
        while self.held_bytes > self.limit_bytes:
            candidate = self._find_candidate()
            if candidate is None:
                return
            self._let_give_way(candidate)

    def reserve(self, size_bytes: int) -> None:
        """Add bytes of which none can give way; a negative number releases them."""
        self.held_bytes += size_bytes

    def _find_candidate(self) -> Holder | None:
        """Return the holder that gives way next: of the peer that has the most."""
        holders_by_peer = collections.defaultdict(list)
        bytes_by_peer = collections.Counter()
        for holder, held_bytes in self._holders.items():
            if held_bytes <= self._small_bytes:
                continue
            holders_by_peer[holder.peer].append(holder)
            bytes_by_peer[holder.peer] += held_bytes
        if not bytes_by_peer:
            return None
        peer = max(bytes_by_peer, key=bytes_by_peer.__getitem__)
        largest = max(holders_by_peer[peer], key=self._holders.__getitem__)
        others_bytes = self.held_bytes - self._holders[largest]
        # One that is nearly alone is bounded by its own limit.
        is_alone = others_bytes < self.limit_bytes * ALONE_SHARE
        return None if is_alone else largest

    def _let_give_way(self, holder: Holder) -> None:
        size_bytes = self._holders.pop(holder)
        metric_buffer.count("holders_gave_way", kind=self.kind)
        logs.write(
            "holder_gave_way",
            kind=self.kind,
            peer=holder.peer,
            bytes=size_bytes,
            held_bytes=self.held_bytes,
            holders=len(self._holders) + 1,
        )
        self.held_bytes -= size_bytes
        try:
            holder.give_way()
        except Exception as error:
            # Its failure is none of the connection that has just received bytes.
            logs.write("handler_failed", kind=type(error).__name__, why=str(error))


ENGINE_ANSWERS = MemoryAccount.from_process("answers of engines")
REQUESTS = MemoryAccount.from_process("requests", MAX_REQUESTS_BYTES, SMALL_BYTES)
UNREAD_ANSWERS = MemoryAccount.from_process("unread answers")
CALL_ANSWERS = MemoryAccount.from_process("answers to own calls")
