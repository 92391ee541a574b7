"""Brings the engine beside this process onto the version that the operator named.

Told what the engine reports and what became of its own wishes, a :class:`Stager` says
what to do next: read the manifest, check what lies staged, fetch the pieces that are
missing or bad, check once more, give the order. All of it is derived from the engine
and the store again after any crash; an order without an answer shows in the engine's
next report.
"""

import enum

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data

PIECES_AT_ONCE = 2  # callers' requests come over the same narrow link
ORDER_SETTLES_S = 1.0  # an order shows in the engine's report within this
RETRY_PAUSE_S = 0.3
CHECK_VALID_S = 1.0  # staged bytes may rot: an order follows a check this closely


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


class VersionWanted(data.Event):
    """The operator has named a version."""

    version: int


class ManifestRead(data.Event):
    """The digests of a version are known."""

    version: int
    digests: tuple[str, ...]


class StagedChecked(data.Event):
    """What lies staged was compared with a manifest.

    :param good: the numbers of the pieces that are right.
    """

    version: int
    good: frozenset[int]


class PieceStaged(data.Event):
    """A checked piece was handed to the engine."""

    version: int
    number: int


class OrderAnswered(data.Event):
    """The engine has answered an order, or the answer did not come."""

    accepted: bool


class WishFailed(data.Event):
    """Something that was asked for did not work out.

    :param number: of the piece; None for anything else.
    """

    version: int
    number: int | None = None


class ReadManifest(data.Effect):
    """Fetch the digests of a version."""

    version: int


class CheckStaged(data.Effect):
    """Compare what lies staged with the digests."""

    version: int
    digests: tuple[str, ...]


class FetchPiece(data.Effect):
    """Fetch a piece, check it, and hand it to the engine."""

    version: int
    number: int
    digest: str


class GiveOrder(data.Effect):
    """Order the engine to load what lies staged.

    :param expected_orders: how many the engine should have begun so far.
    """

    version: int
    mode: SwitchMode
    expected_orders: int


class Step(enum.Enum):
    """What the stager is about."""

    IDLE = "idle"
    MANIFEST = "manifest"
    CHECKING = "checking"
    FETCHING = "fetching"
    CHECKING_AGAIN = "checking again"
    READY = "ready"
    ORDERED = "ordered"


class Stager:
    """The state of one engine's way to a version.

    :param profile: of the model that the engine runs.
    """

    def __init__(self, profile: entry_data.ModelProfile):
        self.profile = profile
        self.wanted = 1
        self.step = Step.IDLE
        self._digests: tuple[str, ...] = ()
        self._good: set[int] = set()
        self._fetching: set[int] = set()
        self._report: ReportRead | None = None
        self._ordered_s = 0.0
        self._checked_s = float("-inf")
        self._pause_until_s = 0.0
        self._begin_order_s = 0.0

    def on_wanted(self, event: VersionWanted, now_s: float, order_at_s: float) -> list:
        """Turn to a newer version at once; an older one is not finished.

        :param order_at_s: the earliest time at which the engine may switch.
        """
        if event.version <= self.wanted:
            return []
        self.wanted = event.version
        self._begin_order_s = order_at_s
        self._restart()
        return self._next(now_s)

    def on_report(self, event: ReportRead, now_s: float) -> list:
        """Take the engine's word for what it holds."""
        known, self._report = self._report, event
        if known is not None and known.born_ms != event.born_ms:
            # What lies staged may have gone with the engine's instance.
            self._restart()
        if event.version == self.wanted:
            if not event.is_busy:
                self.step = Step.IDLE
            return []
        if self.step is Step.ORDERED:
            if event.is_busy or now_s - self._ordered_s < ORDER_SETTLES_S:
                return []
            self._restart()
        if self.step is Step.IDLE:
            self._restart()
        return self._next(now_s)

    def on_manifest(self, event: ManifestRead, now_s: float) -> list:
        """Check what lies staged already."""
        if event.version != self.wanted or self.step is not Step.MANIFEST:
            return []
        self._digests = event.digests
        self.step = Step.CHECKING
        return [CheckStaged(self.wanted, self._digests)]

    def on_checked(self, event: StagedChecked, now_s: float) -> list:
        """Fetch what is missing, or give the order when nothing is."""
        if event.version != self.wanted:
            return []
        if self.step not in (Step.CHECKING, Step.CHECKING_AGAIN):
            return []
        self._good = set(event.good)
        if len(self._good) == len(self._digests):
            self.step = Step.READY
            self._checked_s = now_s
        else:
            self.step = Step.FETCHING
        return self._next(now_s)

    def on_staged(self, event: PieceStaged, now_s: float) -> list:
        """Go on with the next piece."""
        if event.version != self.wanted or self.step is not Step.FETCHING:
            return []
        self._fetching.discard(event.number)
        self._good.add(event.number)
        return self._next(now_s)

    def on_order_answered(self, event: OrderAnswered, now_s: float) -> list:
        """Wait for the engine's report; it decides what comes next."""
        if not event.accepted and self.step is Step.ORDERED:
            self.step = Step.READY
            self._pause_until_s = now_s + RETRY_PAUSE_S
        return []

    def on_failed(self, event: WishFailed, now_s: float) -> list:
        """Try again a little later."""
        if event.version != self.wanted:
            return []
        self._pause_until_s = now_s + RETRY_PAUSE_S
        if event.number is not None:
            self._fetching.discard(event.number)
            return []
        if self.step in (Step.CHECKING, Step.CHECKING_AGAIN, Step.MANIFEST):
            self._restart()
        return []

    def on_tick(self, now_s: float) -> list:
        """Go on with what had to wait."""
        if self._report is None:
            return []
        return self._next(now_s)

    # inside

    def _restart(self) -> None:
        self.step = Step.IDLE
        self._good = set()
        self._fetching = set()
        self._digests = ()

    def _next(self, now_s: float) -> list:
        if self._report is None or now_s < self._pause_until_s:
            return []
        if self._report.version == self.wanted:
            return []
        if self.step is Step.IDLE:
            self.step = Step.MANIFEST
            return [ReadManifest(self.wanted)]
        if self.step is Step.FETCHING:
            return self._fetch(now_s)
        if self.step is Step.READY:
            return self._order(now_s)
        return []

    def _fetch(self, now_s: float) -> list:
        missing = [n for n in range(len(self._digests)) if n not in self._good]
        if not missing:
            self.step = Step.CHECKING_AGAIN
            return [CheckStaged(self.wanted, self._digests)]
        effects = []
        for number in missing:
            if len(self._fetching) >= PIECES_AT_ONCE:
                break
            if number in self._fetching:
                continue
            self._fetching.add(number)
            effects.append(FetchPiece(self.wanted, number, self._digests[number]))
        return effects

    def _order(self, now_s: float) -> list:
        if self._report.is_busy or now_s < self._begin_order_s:
            return []
        if now_s - self._checked_s > CHECK_VALID_S:
            self.step = Step.CHECKING_AGAIN
            return [CheckStaged(self.wanted, self._digests)]
        self.step = Step.ORDERED
        self._ordered_s = now_s
        return [GiveOrder(self.wanted, SwitchMode.WAIT, self._report.orders)]
