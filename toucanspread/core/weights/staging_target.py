"""A version that is being brought to an engine: its pieces, its step and its timing."""

import enum

from toucanspread.core.weights import switch_turns


class Step(enum.Enum):
    """The progress of a version; the values are logged."""

    MANIFEST_WANTED = "manifest wanted"
    READING_MANIFEST = "reading the manifest"
    CHECKING = "checking what is there"
    COLLECTING = "collecting"
    COLLECTED = "collected"
    STAGING = "staging"  # hands collected pieces over and checks all before the order
    READY = "ready"  # all staged pieces are verified
    ORDERED = "ordered"


class Target:
    """A version that is being brought to the engine.

    :ivar digests: of the pieces, by their numbers; empty until the manifest is read.
    :ivar held_numbers: numbers of the pieces that are staged or collected.
    :ivar in_flight_numbers: numbers of the pieces that are being fetched.
    :ivar request_times_s: when each piece in flight was requested.
    :ivar whole_s: when all pieces were held for the first time, or None.
    :ivar retry_times_s: when each piece that could not be had may be requested again.
    :ivar is_failing: whether the piece that was tried last could not be had.
    """

    def __init__(self, version: int, timing: switch_turns.SwitchTiming):
        self.version = version
        self.timing = timing
        self.step = Step.MANIFEST_WANTED
        self.digests: tuple[str, ...] = ()
        self.held_numbers: set[int] = set()
        self.in_flight_numbers: set[int] = set()
        self.request_times_s: dict[int, float] = {}
        self.retry_times_s: dict[int, float] = {}
        self.whole_s: float | None = None
        self.is_failing = False
        self._last_number = -1
        self.last_check_s = float("-inf")
        self.order_time_s = 0.0
        self.retry_at_s = 0.0

    def reset(self) -> None:
        """Start again with the manifest, since the engine may have lost its pieces."""
        self.step = Step.MANIFEST_WANTED
        self.held_numbers = set()
        self.in_flight_numbers = set()
        self.retry_times_s = {}
        self.whole_s = None
        self.last_check_s = float("-inf")

    def record_held(self, numbers: frozenset[int], now_s: float) -> None:
        """Record which pieces are staged."""
        self.held_numbers = set(numbers)
        self._record_if_whole(now_s)

    def record_requested(self, number: int, now_s: float) -> None:
        """Record that a piece is in flight."""
        self.in_flight_numbers.add(number)
        self.request_times_s[number] = now_s

    def record_collected(self, number: int, now_s: float) -> None:
        """Record that a piece has come."""
        self.in_flight_numbers.discard(number)
        self.held_numbers.add(number)
        self._last_number = number
        self.is_failing = False
        self._record_if_whole(now_s)

    def _record_if_whole(self, now_s: float) -> None:
        if self.is_whole and self.whole_s is None:
            self.whole_s = now_s

    def record_failed(self, number: int, retry_at_s: float) -> None:
        """Record that a piece could not be had."""
        self.in_flight_numbers.discard(number)
        self.retry_times_s[number] = retry_at_s
        self.is_failing = True

    def find_requestable(self, now_s: float) -> int | None:
        """Return the number of the piece to request next, or None.

        Pieces that could not be had come after all others. While pieces come, the next
        one after the last that came is first, since entries fetch them in this order;
        otherwise the one that has waited longest.
        """
        if self.step is not Step.COLLECTING:
            return None
        never_tried_s = float("-inf")
        numbers = [
            number
            for number in range(len(self.digests))
            if number not in self.held_numbers
            and number not in self.in_flight_numbers
            and self.retry_times_s.get(number, never_tried_s) <= now_s
        ]
        untried_numbers = [n for n in numbers if n not in self.retry_times_s]
        if untried_numbers:
            return untried_numbers[0]
        if not self.is_failing:
            later_numbers = [n for n in numbers if n > self._last_number]
            return next(iter(later_numbers or numbers), None)
        return min(numbers, key=lambda number: self.retry_times_s[number], default=None)

    @property
    def missing_count(self) -> int:
        """Return how many pieces are not held yet."""
        return len(self.digests) - len(self.held_numbers)

    @property
    def is_whole(self) -> bool:
        """Return whether all pieces are held."""
        return bool(self.digests) and self.missing_count == 0
