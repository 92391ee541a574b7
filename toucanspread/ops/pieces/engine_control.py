"""Interface through which the sidecar process of an engine controls it."""

import abc

from toucanspread.core.entry import data as entry_data
from toucanspread.core.weights import staging_events


class EngineError(Exception):
    """The local engine gave no usable answer."""


class EngineControl(abc.ABC):
    """Control of the engine on the same instance.

    Every method raises :class:`EngineError` when it gets no usable answer.
    """

    @abc.abstractmethod
    async def read_report(self) -> entry_data.EngineReport:
        """Return the engine's current report."""

    @abc.abstractmethod
    async def list_pieces(self, model: str) -> list[int]:
        """Return the numbers of the staged pieces."""

    @abc.abstractmethod
    async def get_piece(self, model: str, number: int) -> bytes | None:
        """Return a staged piece, or None when it is not staged."""

    @abc.abstractmethod
    async def put_piece(self, model: str, number: int, piece: bytes) -> None:
        """Stage a piece at the engine."""

    @abc.abstractmethod
    async def send_order(self, model: str, order: staging_events.SendOrder) -> bool:
        """Order the engine to load the staged pieces; return whether it accepted."""
