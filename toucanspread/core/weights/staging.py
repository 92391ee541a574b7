"""Brings the engine beside this process to the version that the operator named.

From the engine's reports and the results of its own effects, a :class:`Stager` derives
the next effects: read the manifest, check the staged pieces, collect those that are
missing or corrupt, hand them to the engine, check them and order the switch. After a
crash all of it is derived from the engine and the store again; the engine's next report
shows whether an order without an answer was executed.

A newer version may be named before the engine has loaded the current target, and its
pieces may be unavailable: the origin may become unreachable right after it is named.
:mod:`toucanspread.core.weights.version_order` decides which of both comes first, again
with each event. If the newer version comes first, the target is kept: it is completed
and loaded as long as pieces of the newer version cannot be had, and given up when the
newer version is whole.
"""

import collections

from toucanspread.core import invariants
from toucanspread.core.entry import data as entry_data
from toucanspread.core.weights import (
    staging_events,
    staging_target,
    switch_turns,
    version_order,
)

MAX_CONCURRENT_PIECES = 2  # callers' requests share the same narrow link
# On a link slower than configured, callers' requests queue behind pieces; then only one
# piece is fetched at a time. The factors are multiples of a piece's expected duration.
SLOW_PIECE_FACTOR = 2.5
FAST_PIECE_FACTOR = 1.5
ORDER_REPORT_TIMEOUT_S = 1.0  # until the engine's report shows an order
RETRY_DELAY_S = 0.3
MANIFEST_RETRY_DELAY_S = 0.05  # entries may start just after this process
CHECK_VALIDITY_S = 0.5  # until the order, since staged bytes may become corrupt
INITIAL_VERSION = 1


class Stager:
    """Decides the next effects that bring one engine to the newest version.

    :param profile: of the model that the engine runs; its ``chunks`` are the pieces.
    :param piece_transfer_s: seconds that the link takes for a piece.
    """

    def __init__(self, profile: entry_data.ModelProfile, piece_transfer_s: float):
        self.profile = profile
        self.target = staging_target.Target(INITIAL_VERSION, switch_turns.IMMEDIATE)
        self.next_target: staging_target.Target | None = None
        self._is_target_first = True
        self._piece_transfer_s = piece_transfer_s
        self._max_in_flight = MAX_CONCURRENT_PIECES
        self._link_delay_s = 0.0
        self._transfers_s: collections.deque[float] = collections.deque(
            maxlen=MAX_CONCURRENT_PIECES
        )
        self._report: staging_events.ReportRead | None = None

    @property
    def newest_version(self) -> int:
        """Return the newest version that was named."""
        return self.next_target.version if self.next_target else self.target.version

    def is_quiet(self, now_s: float) -> bool:
        """Return whether entries should send the engine no new requests."""
        if self._report is None or self._report.version >= self.target.version:
            return False
        if self._first_target is not self.target:
            return False
        if not self._report.version or not self.target.is_whole:
            return False
        order_at_s = self._order_at_s(self.target, now_s)
        return now_s >= order_at_s - entry_data.ORDER_QUIET_S

    def estimate_order_delay_s(self, now_s: float) -> float | None:
        """Return the seconds until the order that truncates requests, or None."""
        if self._report is None or not self._report.version or self._has_loaded_target:
            return None
        if self._first_target.timing is switch_turns.IMMEDIATE:
            return None
        return max(self._order_at_s(self._first_target, now_s) - now_s, 0.0)

    @property
    def coming_version(self) -> int:
        """Return the version that the engine loads next; 0 if there is none."""
        if self._report is None or self._has_loaded_target:
            return 0
        return self._first_target.version

    def estimate_load_delay_s(self, now_s: float) -> float | None:
        """Return the seconds until the engine has loaded its next version.

        It is None if that is not known, as while pieces cannot be had.
        """
        target = self._first_target
        if not self.coming_version or target.is_failing or not target.digests:
            return None
        load_s = self.profile.warmup_s
        if target.step is staging_target.Step.ORDERED:
            return max(target.order_time_s + load_s - now_s, 0.0)
        order_at_s = self._staged_s(target, now_s)
        if self._report.version:
            order_at_s = self._order_at_s(target, now_s)
        return max(order_at_s - now_s, 0.0) + load_s

    def estimate_link_delay_s(self) -> float:
        """Return the seconds for which pieces hold up other bytes to this instance.

        It is 0 if no piece is in flight.
        """
        in_flight = [
            number for target in self._targets for number in target.in_flight_numbers
        ]
        return self._link_delay_s if in_flight else 0.0

    def on_version_named(
        self, version: int, timing: switch_turns.SwitchTiming, now_s: float
    ) -> list:
        """Make a newer version the target, or the next one after the current target."""
        if version <= self.newest_version:
            return []
        newer = staging_target.Target(version, timing)
        if self.next_target is not None and not self.target.is_whole:
            # Entries keep the pieces of the two newest versions.
            self.target = self.next_target
        if self._report is None or self._has_loaded_target:
            self.target = newer
            self.next_target = None
        else:
            self.next_target = newer
            self._is_target_first = True
            self._update_order(now_s)
        return self._next_effects(now_s)

    def on_report_read(self, event: staging_events.ReportRead, now_s: float) -> list:
        """Apply the engine's report, which overrides what was assumed."""
        previous, self._report = self._report, event
        if previous is not None and previous.born_ms != event.born_ms:
            # The engine was restarted and may have lost its staged pieces.
            self.target.reset()
        if self._has_loaded_target:
            self._advance_to_next_target()
        target = self.target
        if target.step is staging_target.Step.ORDERED and not self._has_loaded_target:
            if event.is_busy or now_s - target.order_time_s < ORDER_REPORT_TIMEOUT_S:
                return []
            target.reset()
        return self._next_effects(now_s)

    def on_digests_read(self, event: staging_events.DigestsRead, now_s: float) -> list:
        """Continue with the check of the staged pieces, or with collecting."""
        target = self._find_target(event.version)
        if target is None or target.step is not staging_target.Step.READING_MANIFEST:
            return []
        target.digests = event.digests
        if target is self.next_target:
            # The staging area holds the older version until that one is loaded.
            target.step = staging_target.Step.COLLECTING
            return self._next_effects(now_s)
        target.step = staging_target.Step.CHECKING
        return [staging_events.CheckStagedPieces(target.version, target.digests)]

    def on_staged_checked(
        self, event: staging_events.StagedPiecesChecked, now_s: float
    ) -> list:
        """Collect the missing pieces, or get ready for the order."""
        target = self._find_target(event.version)
        if target is None or target.step not in (
            staging_target.Step.CHECKING,
            staging_target.Step.STAGING,
        ):
            return []
        target.record_held(event.good, now_s)
        if target.missing_count == 0:
            target.step = staging_target.Step.READY
            target.last_check_s = now_s
        else:
            target.step = staging_target.Step.COLLECTING
        return self._next_effects(now_s)

    def on_piece_collected(
        self, event: staging_events.PieceCollected, now_s: float
    ) -> list:
        """Record a collected piece and continue with the next one."""
        target = self._find_target(event.version)
        if target is None:
            return []
        requested_s = target.request_times_s.pop(event.number, now_s)
        self._adapt_concurrency(now_s - requested_s)
        # The holder of a piece may get it late itself, and pieces in flight may share
        # the link or follow each other.
        self._transfers_s.append(event.transfer_s)
        self._link_delay_s = min(now_s - requested_s, sum(self._transfers_s))
        target.record_collected(event.number, now_s)
        if target is self.next_target and target.is_whole:
            self._skip_target()
        return self._next_effects(now_s)

    def on_order_answered(
        self, event: staging_events.OrderAnswered, now_s: float
    ) -> list:
        """Retry a refused order later; the engine's report shows an accepted one."""
        if not event.accepted and self.target.step is staging_target.Step.ORDERED:
            self.target.step = staging_target.Step.READY
            self.target.retry_at_s = now_s + RETRY_DELAY_S
        return []

    def on_effect_failed(
        self, event: staging_events.EffectFailed, now_s: float
    ) -> list:
        """Schedule a retry of what failed."""
        target = self._find_target(event.version)
        if target is None:
            return []
        if event.number is not None:
            target.record_failed(event.number, now_s + RETRY_DELAY_S)
            return self._next_effects(now_s)
        target.retry_at_s = now_s + RETRY_DELAY_S
        if target.step is staging_target.Step.READING_MANIFEST:
            target.step = staging_target.Step.MANIFEST_WANTED
            target.retry_at_s = now_s + MANIFEST_RETRY_DELAY_S
        elif target.step in (staging_target.Step.CHECKING, staging_target.Step.STAGING):
            target.reset()
        return []

    def on_tick(self, now_s: float) -> list:
        """Return the effects that have become due."""
        return self._next_effects(now_s)

    @property
    def _has_loaded_target(self) -> bool:
        """Return whether the engine reports that it has loaded the target.

        It may have a newer version if this process has started with an older copy of
        the store.
        """
        if self._report is None or self._report.is_busy:
            return False
        return self._report.version >= self.target.version

    def _adapt_concurrency(self, took_s: float) -> None:
        """Fetch one piece at a time while the link is slower than configured."""
        if took_s > SLOW_PIECE_FACTOR * MAX_CONCURRENT_PIECES * self._piece_transfer_s:
            self._max_in_flight = 1
        elif took_s < FAST_PIECE_FACTOR * self._piece_transfer_s:
            self._max_in_flight = MAX_CONCURRENT_PIECES

    def _order_at_s(self, target: staging_target.Target, now_s: float) -> float:
        """Return when the engine is ordered to switch to a version."""
        staged_s = self._staged_s(target, now_s)
        return target.timing.order_at_s(staged_s, self.profile.warmup_s)

    def _staged_s(self, target: staging_target.Target, now_s: float) -> float:
        """Return when all pieces of a version were there, or will be.

        While pieces are missing, it follows from the time that the link takes for them.
        """
        if target.whole_s is not None and target.is_whole:
            return target.whole_s
        count = target.missing_count if target.digests else self.profile.chunks
        return now_s + count * self._piece_transfer_s

    @property
    def _targets(self) -> list[staging_target.Target]:
        """Return the versions that are being brought, the older one first."""
        return [self.target, self.next_target] if self.next_target else [self.target]

    def _find_target(self, version: int) -> staging_target.Target | None:
        for target in self._targets:
            if target.version == version:
                return target
        return None

    @property
    def _first_target(self) -> staging_target.Target:
        """Return the version that is collected first and ordered when it is whole."""
        if self.next_target is None or self._is_target_first:
            return self.target
        return self.target if self.next_target.is_failing else self.next_target

    def _advance_to_next_target(self) -> None:
        if self.next_target is not None:
            self.target, self.next_target = self.next_target, None

    def _skip_target(self) -> None:
        """Give up the target for the next one, unless it is ordered already."""
        if self.target.step is not staging_target.Step.ORDERED:
            self._advance_to_next_target()

    def _update_order(self, now_s: float) -> None:
        """Decide again whether the target is completed before the next one."""
        if self.next_target is None:
            return
        self._is_target_first = self._is_finished_first(now_s, self.next_target)

    def _is_finished_first(self, now_s: float, newer: staging_target.Target) -> bool:
        """Return whether the current target is completed before a newer version."""
        current = self.target
        if not current.digests or self._report.version == 0:
            return False
        if current.step is staging_target.Step.ORDERED:
            return True
        # Before its manifest is read, the newer one is assumed to have as many pieces.
        newer_count = newer.missing_count if newer.digests else len(current.digests)
        return version_order.is_older_first(
            now_s,
            version_order.VersionProgress(current.missing_count, current.timing.due_s),
            version_order.VersionProgress(newer_count, newer.timing.due_s),
            self._piece_transfer_s,
            self.profile.warmup_s,
            was_newer_first=not self._is_target_first,
        )

    def _next_effects(self, now_s: float) -> list:
        if self._report is None or self._has_loaded_target:
            return []
        self._update_order(now_s)
        effects = self._advance(self.target, now_s)
        if self.next_target is not None:
            effects += self._advance(self.next_target, now_s)
        return effects + self._collect_pieces(now_s)

    def _advance(self, target: staging_target.Target, now_s: float) -> list:
        if now_s < target.retry_at_s:
            return []
        if target.step is staging_target.Step.MANIFEST_WANTED:
            target.step = staging_target.Step.READING_MANIFEST
            return [staging_events.ReadDigests(target.version)]
        if target.step is staging_target.Step.COLLECTING and not target.missing_count:
            target.step = staging_target.Step.COLLECTED
            # Collected pieces are handed over and checked before any order.
            target.last_check_s = float("-inf")
        if target is not self._first_target or target is self.next_target:
            return []
        if target.step in (staging_target.Step.COLLECTED, staging_target.Step.READY):
            return self._check_then_order(target, now_s)
        return []

    def _collect_pieces(self, now_s: float) -> list:
        """Request pieces while the link has room for them."""
        effects = []
        for target in self._list_collected_targets():
            number = target.find_requestable(now_s)
            while number is not None and self._has_room_for(target):
                target.record_requested(number, now_s)
                digest = target.digests[number]
                effects.append(
                    staging_events.CollectPiece(target.version, number, digest)
                )
                number = target.find_requestable(now_s)
        return effects

    def _list_collected_targets(self) -> list[staging_target.Target]:
        """Return the versions of which pieces are requested, the first one first."""
        first = self._first_target
        if first is self.next_target and first.digests:
            # The older version would not be loaded.
            return [first]
        return sorted(self._targets, key=lambda target: target is not first)

    def _has_room_for(self, target: staging_target.Target) -> bool:
        """Return whether one more piece of a version may be in flight.

        One request for a piece that probably cannot be had does not load the link.
        """
        if target.is_failing and self.next_target is not None:
            return not target.in_flight_numbers
        loading_targets = [t for t in self._targets if t is target or not t.is_failing]
        in_flight_count = sum(len(t.in_flight_numbers) for t in loading_targets)
        return in_flight_count < self._max_in_flight

    def _check_then_order(self, target: staging_target.Target, now_s: float) -> list:
        if self._report.is_busy:
            return []
        is_empty = self._report.version == 0
        if now_s < self._order_at_s(target, now_s) and not is_empty:
            return []
        if now_s - target.last_check_s > CHECK_VALIDITY_S:
            target.step = staging_target.Step.STAGING
            return [staging_events.CheckStagedPieces(target.version, target.digests)]
        invariants.check(
            target.is_whole and len(target.held_numbers) == len(target.digests),
            invariants.Invariant.CHUNK_VERIFIED,
            f"version {target.version}: {target.missing_count} pieces missing",
        )
        target.step = staging_target.Step.ORDERED
        target.order_time_s = now_s
        return [
            staging_events.SendOrder(
                target.version, staging_events.SwitchMode.TRUNCATE, self._report.orders
            )
        ]
