"""Estimates what an engine saves that still holds the beginning of a prompt.

An engine that keeps prompts skips the prefill of a beginning that it has processed
before. An entry assumes that an engine holds what it answered for this entry, and
prefers it by the prefill time that this saves. Nothing is held at engines that declare
no capacity for it (``prefix_cache_tokens``).

This answers the load of prompts with shared beginnings, some of which are in most
requests: all entries know the same engine as the holder of such a beginning, and learn
of each other's requests only with the next load report.
"""

import collections
import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple, NewType

from toucanspread.core.entry import data as entry_data

UNUSED_S = 30.0  # after this time without use, a beginning counts as dropped
RATE_WINDOW_S = 5.0
# Bounds the memory for callers that name very small parts.
MAX_HELD_COUNT = 4_096
# Hash of a part and of all parts before it. A collision makes one estimate wrong.
BeginningId = NewType("BeginningId", int)


class HeldBeginning(NamedTuple):
    """A part of a prompt that an engine holds after the parts before it.

    :param tokens: of this part alone.
    :param uses: number of uses, which fades within ``RATE_WINDOW_S``.
    :param sent_tokens: number of tokens that had been sent to the engine at its use.
    """

    tokens: int
    used_s: float
    uses: float
    sent_tokens: int

    def fade_uses(self, now_s: float) -> float:
        """Return the faded number of uses."""
        return self.uses * math.exp((self.used_s - now_s) / RATE_WINDOW_S)


class Match(NamedTuple):
    """What an engine is assumed to hold of a prompt.

    :param tokens: whose prefill the engine skips.
    :param rate_per_s: requests of this entry with the same beginning at the engine.
    """

    tokens: int = 0
    rate_per_s: float = 0.0


NO_MATCH = Match()


class HeldPrompts:
    """The beginnings that one incarnation of an engine is assumed to hold."""

    def __init__(self):
        # The least recently used is first. A part is always used later than the parts
        # that follow it, so that these are evicted before it.
        self._held: collections.OrderedDict[BeginningId, HeldBeginning] = (
            collections.OrderedDict()
        )
        self._held_tokens = 0
        self._sent_tokens = 0
        self._version = 0

    def record_sent(self, tokens: int) -> None:
        """Record a prompt of this or another entry, which takes the place of others.

        :param tokens: without those that the engine is assumed to hold.
        """
        self._sent_tokens += tokens

    def clear(self) -> None:
        """Forget everything, since the engine has dropped it."""
        self._held.clear()
        self._held_tokens = 0

    def record_answer(
        self,
        call: entry_data.Call,
        capacity_tokens: int,
        version: int,
        now_s: float,
    ) -> None:
        """Record that the engine has processed a prompt.

        Of a prompt that exceeds the capacity, only the parts that fit are recorded.

        :param capacity_tokens: number of tokens that the engine keeps.
        :param version: of the weights with which it processed the prompt.
        """
        if version != self._version:
            self.clear()
            self._version = version
        fitting = []
        left_tokens = capacity_tokens
        for beginning, part in _list_beginnings(call):
            left_tokens -= part.tokens
            if left_tokens < 0:
                break
            fitting.append((beginning, part))
        for beginning, part in reversed(fitting):
            uses = 1.0
            known = self._held.pop(beginning, None)
            if known is not None:
                self._held_tokens -= known.tokens
                uses += known.fade_uses(now_s)
            self._held[beginning] = HeldBeginning(
                part.tokens, now_s, uses, self._sent_tokens
            )
            self._held_tokens += part.tokens
        self._evict(capacity_tokens, now_s)

    def find(
        self,
        call: entry_data.Call,
        capacity_tokens: int,
        version: int,
        now_s: float,
    ) -> Match:
        """Return what the engine holds of a prompt.

        :param capacity_tokens: number of tokens that the engine keeps.
        :param version: of the weights that the engine has now.
        """
        if version != self._version:
            self.clear()
            self._version = version
        tokens = 0
        deepest = None
        for beginning, part in _list_beginnings(call):
            held = self._held.get(beginning)
            if held is None or now_s - held.used_s >= UNUSED_S:
                break
            if self._sent_tokens - held.sent_tokens > capacity_tokens - held.tokens:
                break
            tokens += part.tokens
            deepest = held
        # The first output token needs the prefill of at least one prompt token.
        tokens = min(tokens, call.prompt_tokens - 1)
        if deepest is None or tokens <= 0:
            return NO_MATCH
        return Match(tokens, deepest.fade_uses(now_s) / RATE_WINDOW_S)

    def _evict(self, capacity_tokens: int, now_s: float) -> None:
        while self._held:
            oldest = next(iter(self._held.values()))
            is_full = (
                self._held_tokens > capacity_tokens or len(self._held) > MAX_HELD_COUNT
            )
            if not is_full and now_s - oldest.used_s < UNUSED_S:
                return
            self._held.popitem(last=False)
            self._held_tokens -= oldest.tokens


class Holder(NamedTuple):
    """An engine that holds the beginning of a prompt.

    :param saved_s: prefill time that is saved there, at the pace of the engine.
    :param cost_s: time for which the request still keeps the engine from others.
    :param free_slots: number of requests that it can still run.
    :param rate_per_s: requests of this entry with the same beginning there.
    """

    engine_id: str
    saved_s: float
    cost_s: float
    free_slots: float
    rate_per_s: float

    @property
    def room(self) -> float:
        """Return how many requests gain there before the wait exceeds the saving.

        It is less than 1 for an engine without a free slot, which needs its memory for
        the requests that it runs.
        """
        return min(1 + self.saved_s / self.cost_s, self.free_slots)


def draw_savings_s(
    holders: Sequence[Holder], entry_count: int, unseen_time_s: float, draw: float
) -> dict[str, float]:
    """Return the saving at each engine that counts for a request, by engine id.

    If all entries together send more requests with the beginning than its holders have
    room for until the entries learn of them, only a part of the requests prefers the
    holders. The others make further engines hold the beginning.

    :param entry_count: number of entries that send requests.
    :param unseen_time_s: time until an entry learns of the requests of others.
    :param draw: a random number, at least 0 and below 1.
    """
    with_room = [holder for holder in holders if holder.room >= 1]
    rate_per_s = sum(holder.rate_per_s for holder in holders) * max(entry_count, 1)
    room = sum(holder.room for holder in with_room)
    if draw * rate_per_s * unseen_time_s >= room:
        return {}
    return {holder.engine_id: holder.saved_s for holder in with_room}


def _list_beginnings(
    call: entry_data.Call,
) -> Iterable[tuple[BeginningId, entry_data.PromptPart]]:
    beginning = BeginningId(0)
    for part in call.sized_parts:
        beginning = BeginningId(hash((beginning, part.part_id)))
        yield beginning, part
