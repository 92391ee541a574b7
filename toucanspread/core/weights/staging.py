"""Brings the engine beside this process onto the version that the operator named.

Told what the engine reports and what became of its own wishes, a :class:`Stager` says
what to do next: read the manifest, see what lies staged, collect the pieces that are
missing or bad, hand them to the engine, check them, give the order. All of it is
derived from the engine and the store again after any crash; an order without an
answer shows in the engine's next report.

A version may be named before the one before it is on the engine. The older one is
finished first where both can be there in time, for the newer one's pieces may not be
to be had: the origin may go away right after it is named. The pieces of the newer one
are collected meanwhile.
"""

import enum
from typing import NamedTuple

from toucanspread.core import invariants
from toucanspread.core.entry import data as entry_data
from toucanspread.core.weights import staging_events

PIECES_AT_ONCE = 2  # callers' requests come over the same narrow link
# On a link that is narrower than it should be, what callers send waits behind pieces.
SLOW_PIECE_FACTOR = 2.5
QUICK_PIECE_FACTOR = 1.5
ORDER_SETTLES_S = 1.0  # an order shows in the engine's report within this
RETRY_PAUSE_S = 0.3
MANIFEST_RETRY_DELAY_S = 0.05  # entries that start with this process are there soon
CHECK_VALID_S = 0.5  # staged bytes may rot: an order follows a check this closely
INITIAL_VERSION = 1


class Step(enum.Enum):
    """What is being done about a version."""

    MANIFEST_WANTED = "manifest wanted"
    MANIFEST = "reading the manifest"
    CHECKING = "checking what is there"
    COLLECTING = "collecting"
    COLLECTED = "collected"
    STAGING = "staging"
    READY = "ready"
    ORDERED = "ordered"


class SwitchTiming(NamedTuple):
    """The times of a version, on the clock of ``now_s``.

    :param quiet_at_s: from when on the engine should be given nothing new.
    :param order_at_s: the earliest time at which it may switch.
    :param due_s: when requests may no longer begin on older versions.
    """

    quiet_at_s: float
    order_at_s: float
    due_s: float


IMMEDIATE = SwitchTiming(float("-inf"), float("-inf"), float("inf"))


class Target:
    """A version on its way to the engine."""

    def __init__(self, version: int, timing: SwitchTiming = IMMEDIATE):
        self.version = version
        self.timing = timing
        self.step = Step.MANIFEST_WANTED
        self.digests: tuple[str, ...] = ()
        self.have: set[int] = set()
        self.coming: set[int] = set()
        self.began_s: dict[int, float] = {}
        self.checked_s = float("-inf")
        self.ordered_s = 0.0
        self.pause_until_s = 0.0

    def restart(self) -> None:
        """Forget what was done, for the engine may have lost it."""
        self.step = Step.MANIFEST_WANTED
        self.have = set()
        self.coming = set()
        self.checked_s = float("-inf")

    @property
    def missing(self) -> list[int]:
        """Return the numbers of the pieces that are neither there nor coming."""
        taken = self.have | self.coming
        return [n for n in range(len(self.digests)) if n not in taken]

    @property
    def left(self) -> int:
        """Return how many pieces are not there yet."""
        return len(self.digests) - len(self.have)

    @property
    def is_whole(self) -> bool:
        """Tell whether all pieces are there."""
        return bool(self.digests) and self.left == 0


class Stager:
    """The state of one engine's way to the newest version.

    :param profile: of the model that the engine runs.
    :param piece_s: what the link needs for a piece.
    """

    def __init__(self, profile: entry_data.ModelProfile, piece_s: float):
        self.profile = profile
        self.target = Target(INITIAL_VERSION)
        self.next_target: Target | None = None
        self._piece_s = piece_s
        self._pieces_at_once = PIECES_AT_ONCE
        self._report: staging_events.ReportRead | None = None

    @property
    def newest_version(self) -> int:
        """Return the newest version that was named."""
        return self.next_target.version if self.next_target else self.target.version

    def is_quiet(self, now_s: float) -> bool:
        """Tell whether the engine should be given nothing new."""
        if self._report is None or self._report.version == self.target.version:
            return False
        if not self._report.version or not self.target.is_whole:
            return False
        return now_s >= self.target.timing.quiet_at_s

    def estimate_order_delay_s(self, now_s: float) -> float | None:
        """Return the time until the engine cuts what it runs, or None.

        Missing pieces need the time of the link at least.
        """
        if self._report is None or not self._report.version or self._is_done:
            return None
        if self.target.timing is IMMEDIATE:
            return None
        missing = self.target.left if self.target.digests else self.profile.chunks
        planned_s = self.target.timing.order_at_s - now_s
        return max(planned_s, missing * self._piece_s, 0.0)

    def on_version_named(
        self, version: int, timing: SwitchTiming, now_s: float
    ) -> list:
        """Turn to a newer version, now or after the one that is on its way."""
        if version <= self.newest_version:
            return []
        target = Target(version, timing)
        if self._is_finished_first(now_s, target):
            self.next_target = target
        else:
            self.target = target
            self.next_target = None
        return self._next(now_s)

    def on_report_read(self, event: staging_events.ReportRead, now_s: float) -> list:
        """Take the engine's word for what it holds."""
        known, self._report = self._report, event
        if known is not None and known.born_ms != event.born_ms:
            # What lies staged may have gone with the engine's instance.
            self.target.restart()
        if self._is_done and self.next_target is not None:
            self.target, self.next_target = self.next_target, None
        target = self.target
        if target.step is Step.ORDERED and not self._is_done:
            if event.is_busy or now_s - target.ordered_s < ORDER_SETTLES_S:
                return []
            target.restart()
        return self._next(now_s)

    def on_digests_read(self, event: staging_events.DigestsRead, now_s: float) -> list:
        """Go on to what lies staged, or to collecting."""
        target = self._find(event.version)
        if target is None or target.step is not Step.MANIFEST:
            return []
        target.digests = event.digests
        if target is self.next_target:
            # What lies staged is the older version's until that is loaded.
            target.step = Step.COLLECTING
            return self._next(now_s)
        target.step = Step.CHECKING
        return [staging_events.CheckStagedPieces(target.version, target.digests)]

    def on_staged_checked(
        self, event: staging_events.StagedPiecesChecked, now_s: float
    ) -> list:
        """Collect what is missing, or get ready for the order."""
        target = self._find(event.version)
        if target is None or target.step not in (Step.CHECKING, Step.STAGING):
            return []
        target.have = set(event.good)
        if target.left == 0:
            target.step = Step.READY
            target.checked_s = now_s
        else:
            target.step = Step.COLLECTING
        return self._next(now_s)

    def on_piece_collected(
        self, event: staging_events.PieceCollected, now_s: float
    ) -> list:
        """Go on with the next piece."""
        target = self._find(event.version)
        if target is None:
            return []
        began_s = target.began_s.pop(event.number, now_s)
        self._note_pace(now_s - began_s)
        target.coming.discard(event.number)
        target.have.add(event.number)
        return self._next(now_s)

    def on_order_answered(
        self, event: staging_events.OrderAnswered, now_s: float
    ) -> list:
        """Wait for the engine's report; it decides what comes next."""
        if not event.accepted and self.target.step is Step.ORDERED:
            self.target.step = Step.READY
            self.target.pause_until_s = now_s + RETRY_PAUSE_S
        return []

    def on_effect_failed(
        self, event: staging_events.EffectFailed, now_s: float
    ) -> list:
        """Try again a little later."""
        target = self._find(event.version)
        if target is None:
            return []
        target.pause_until_s = now_s + RETRY_PAUSE_S
        if event.number is not None:
            target.coming.discard(event.number)
        elif target.step is Step.MANIFEST:
            target.step = Step.MANIFEST_WANTED
            target.pause_until_s = now_s + MANIFEST_RETRY_DELAY_S
        elif target.step in (Step.CHECKING, Step.STAGING):
            target.restart()
        return []

    def on_tick(self, now_s: float) -> list:
        """Go on with what had to wait."""
        return self._next(now_s)

    # inside

    @property
    def _is_done(self) -> bool:
        if self._report is None or self._report.is_busy:
            return False
        return self._report.version == self.target.version

    def _note_pace(self, took_s: float) -> None:
        """Ask for one piece at a time while the link is narrower than usual."""
        if took_s > SLOW_PIECE_FACTOR * PIECES_AT_ONCE * self._piece_s:
            self._pieces_at_once = 1
        elif took_s < QUICK_PIECE_FACTOR * self._piece_s:
            self._pieces_at_once = PIECES_AT_ONCE

    def _find(self, version: int) -> Target | None:
        for target in (self.target, self.next_target):
            if target is not None and target.version == version:
                return target
        return None

    def _is_finished_first(self, now_s: float, newer: Target) -> bool:
        """Tell whether the version on its way goes before a newer one."""
        current = self.target
        if self._report is None or self._is_done:
            return False
        if not current.digests or self._report.version == 0:
            return False
        if current.step is Step.ORDERED:
            return True
        whole_s = len(current.digests) * self._piece_s
        left_s = current.left * self._piece_s
        load_s = self.profile.warmup_s
        if now_s + left_s + load_s > current.timing.due_s:
            return False
        return now_s + left_s + whole_s + load_s <= newer.timing.due_s

    def _next(self, now_s: float) -> list:
        if self._report is None or self._is_done:
            return []
        effects = self._advance(self.target, now_s)
        if self.next_target is not None and self.target.left == 0:
            effects += self._advance(self.next_target, now_s)
        return effects

    def _advance(self, target: Target, now_s: float) -> list:
        if now_s < target.pause_until_s:
            return []
        if target.step is Step.MANIFEST_WANTED:
            target.step = Step.MANIFEST
            return [staging_events.ReadDigests(target.version)]
        if target.step is Step.COLLECTING:
            return self._collect(target, now_s)
        if target is self.next_target:
            return []
        if target.step in (Step.COLLECTED, Step.READY):
            return self._order(target, now_s)
        return []

    def _collect(self, target: Target, now_s: float) -> list:
        if target.left == 0:
            target.step = Step.COLLECTED
            # What was collected is handed over and checked before any order.
            target.checked_s = float("-inf")
            return [] if target is self.next_target else self._order(target, now_s)
        effects = []
        room = max(self._pieces_at_once - len(target.coming), 0)
        for number in target.missing[:room]:
            target.coming.add(number)
            target.began_s[number] = now_s
            digest = target.digests[number]
            effects.append(staging_events.CollectPiece(target.version, number, digest))
        return effects

    def _order(self, target: Target, now_s: float) -> list:
        if self._report.is_busy:
            return []
        is_empty = self._report.version == 0
        if now_s < target.timing.order_at_s and not is_empty:
            return []
        if now_s - target.checked_s > CHECK_VALID_S:
            target.step = Step.STAGING
            return [staging_events.CheckStagedPieces(target.version, target.digests)]
        invariants.check(
            target.is_whole and len(target.have) == len(target.digests),
            invariants.Invariant.CHUNK_VERIFIED,
            f"version {target.version}: {target.left} pieces missing",
        )
        target.step = Step.ORDERED
        target.ordered_s = now_s
        return [
            staging_events.SendOrder(
                target.version, staging_events.SwitchMode.TRUNCATE, self._report.orders
            )
        ]
