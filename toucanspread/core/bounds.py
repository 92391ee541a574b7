"""Types of numbers that other writers set, each with the bounds that its meaning has.

A decoder refuses a number outside of its bounds, so that no arithmetic on it overflows
and no loop over it goes on for long.
"""

from typing import Annotated, NamedTuple

import msgspec

MAX_STORED_NUMBER = 2**63 - 1  # the store counts in 64 bits
MAX_EXACT_NUMBER = 2**53 - 1  # every JSON implementation keeps integers up to this one
MAX_SLOTS = 1_000_000  # requests that one engine runs concurrently
MAX_UNIX_MS = 253_402_300_799_999  # the end of the year 9999
MAX_LAYERS = 1_000  # above the number of layers of any model
MAX_PIECES = 65_536  # of one version of weights
MAX_TOKENS = 10_000_000  # of one request
MAX_PACE = 1_000_000.0
MAX_DURATION_S = 365 * 86_400.0
MAX_DURATION_MS = MAX_DURATION_S * 1_000

Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_NUMBER)]
Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
Layer = Annotated[int, msgspec.Meta(ge=0, le=MAX_LAYERS)]
Pace = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_PACE)]
DurationMs = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DURATION_MS)]
DurationS = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DURATION_S)]
Rate = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]  # per second
Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_STORED_NUMBER)]
LeaseNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_STORED_NUMBER)]


class Range(NamedTuple):
    """Bounds to which a number is clamped where it cannot be refused."""

    lowest: float
    highest: float

    def clamp(self, number: float) -> float:
        """Return the number, or the bound that it is beyond."""
        return min(max(number, self.lowest), self.highest)
