"""Bounds the memory that the connections of a process hold together.

A limit for each message doesn't bound their sum, and a few large messages must not take
the memory away from many small ones. So an account counts what all its holders keep.
"""

import abc

from toucanspread.ops.telemetry import metric_buffer

HEADER_LINE_BYTES = 200  # of the objects for a header line, besides its text


class Holder(abc.ABC):
    """Something that keeps bytes."""

    @property
    @abc.abstractmethod
    def peer(self) -> str:
        """Return the address of the other side, for logs."""


class MemoryAccount:
    """Counts the bytes that holders of one kind keep.

    :param kind: what is held, for logs and metrics.
    :ivar held_bytes: by all holders together.
    """

    def __init__(self, kind: str):
        self.kind = kind
        self.held_bytes = 0
        self._holders: dict[Holder, int] = {}

    @classmethod
    def from_process(cls, kind: str) -> "MemoryAccount":
        """Return an account of this process, whose size is a metric."""
        account = cls(kind)
        metric_buffer.watch("held_bytes", lambda: account.held_bytes, kind=kind)
        return account

    def update(self, holder: Holder, held_bytes: int) -> None:
        """Set how much a holder keeps.

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


ANSWERS = MemoryAccount.from_process("answers")
