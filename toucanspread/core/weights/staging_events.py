"""Events and effects of :mod:`toucanspread.core.weights.staging`."""

import enum

from toucanspread.core import data


class SwitchMode(enum.Enum):
    """How an engine treats running requests when it switches to a version."""

    WAIT = "wait"
    TRUNCATE = "truncate"


class ReportRead(data.Event):
    """A report of the engine was read.

    :param version: of which the engine has loaded all layers; 0 for none.
    :param orders: number of orders that the engine has begun.
    :param born_ms: start of the engine's incarnation, in milliseconds.
    """

    version: int
    is_busy: bool
    orders: int
    born_ms: int


class DigestsRead(data.Event):
    """The digests of a version's pieces were read, in the order of their numbers."""

    version: int
    digests: tuple[str, ...]


class StagedPiecesChecked(data.Event):
    """The staged pieces were compared with the digests.

    :param good: numbers of the pieces that match.
    """

    version: int
    good: frozenset[int]


class PieceCollected(data.Event):
    """A verified piece is in this process's memory.

    :param transfer_s: time from the first to the last byte of it; infinite if unknown.
    """

    version: int
    number: int
    transfer_s: float = float("inf")


class OrderAnswered(data.Event):
    """The engine answered an order."""

    accepted: bool


class EffectFailed(data.Event):
    """An effect failed.

    :param number: of the piece that was not collected; None for other effects.
    """

    version: int
    number: int | None = None


class ReadDigests(data.Effect):
    """Fetch the digests of a version's pieces."""

    version: int


class CheckStagedPieces(data.Effect):
    """Hand collected pieces to the engine, and compare all staged ones with digests."""

    version: int
    digests: tuple[str, ...]


class CollectPiece(data.Effect):
    """Fetch a piece, verify it and keep it in memory."""

    version: int
    number: int
    digest: str


class SendOrder(data.Effect):
    """Order the engine to load the staged version.

    :param expected_orders: number of orders that the engine should have begun so far.
    """

    version: int
    mode: SwitchMode
    expected_orders: int
