"""What :mod:`toucanspread.core.weights.staging` is told, and what it asks for."""

import enum

from toucanspread.core import data


class SwitchMode(enum.Enum):
    """What becomes of running requests when an engine switches."""

    WAIT = "wait"
    TRUNCATE = "truncate"


class ReportRead(data.Event):
    """The engine has reported.

    :param version: of which it holds all layers; 0 for none.
    :param orders: how many it has begun.
    """

    version: int
    is_busy: bool
    orders: int
    born_ms: int


class DigestsRead(data.Event):
    """The digests of a version are known."""

    version: int
    digests: tuple[str, ...]


class StagedPiecesChecked(data.Event):
    """What lies staged, and was handed over, was compared with a manifest.

    :param good: the numbers of the pieces that are right.
    """

    version: int
    good: frozenset[int]


class PieceCollected(data.Event):
    """A checked piece is in this process's memory."""

    version: int
    number: int


class OrderAnswered(data.Event):
    """The engine has answered an order, or the answer did not come."""

    accepted: bool


class EffectFailed(data.Event):
    """Something that was asked for did not work out.

    :param number: of the piece; None for anything else.
    """

    version: int
    number: int | None = None


class ReadDigests(data.Effect):
    """Fetch the digests of a version."""

    version: int


class CheckStagedPieces(data.Effect):
    """Hand over what was collected, and compare all that lies staged."""

    version: int
    digests: tuple[str, ...]


class CollectPiece(data.Effect):
    """Fetch a piece, check it, and keep it in memory."""

    version: int
    number: int
    digest: str


class SendOrder(data.Effect):
    """Order the engine to load what lies staged.

    :param expected_orders: how many the engine should have begun so far.
    """

    version: int
    mode: SwitchMode
    expected_orders: int
