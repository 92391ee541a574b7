"""What the process beside an engine asks of it."""

import abc

from toucanspread.core.entry import data as entry_data
from toucanspread.core.weights import staging_events


class EngineError(Exception):
    """The engine beside this process gave no usable answer."""


class EngineControl(abc.ABC):
    """The engine on the same instance.

    Every method raises :class:`EngineError` when it gets no usable answer.
    """

    @abc.abstractmethod
    async def read_report(self) -> entry_data.EngineReport:
        """Return what the engine says of itself now."""

    @abc.abstractmethod
    async def list_pieces(self, model: str) -> list[int]:
        """Return the numbers of the pieces that lie staged."""

    @abc.abstractmethod
    async def get_piece(self, model: str, number: int) -> bytes | None:
        """Return a staged piece, or None."""

    @abc.abstractmethod
    async def put_piece(self, model: str, number: int, piece: bytes) -> None:
        """Hand a piece to the engine."""

    @abc.abstractmethod
    async def send_order(self, model: str, order: staging_events.SendOrder) -> bool:
        """Order the engine to load what lies staged; return whether it accepted."""
