"""Draws the parts and the callers of simulated prompts.

Sound prompts share their parts and API keys with each other, and with the prompts that
have a part on which engines crash. The last part of a prompt, which no other prompt
has, is left out.
"""

import itertools
import random
from typing import NamedTuple

from standins import load_profiles
from toucanspread.core.entry import data as entry_data

KEY_COUNT = 8
PART_COUNT = 60  # at each place of the shared parts
PLACE_COUNT = len(load_profiles.PartPlace)


class Prompt(NamedTuple):
    """Who sends a prompt, and what it shares with others.

    :param key: API key of the caller.
    :param parts: ids of the shared parts in order.
    :param crashing_part: the one of them on which engines crash, or the name of the
        request itself; None in a sound one.
    :param repeated_request: name that all requests have that are the same as this one;
        None if no other is.
    """

    key: str
    parts: tuple[entry_data.PromptPartId, ...]
    crashing_part: entry_data.PromptPartId | None = None
    repeated_request: entry_data.PromptPartId | None = None


class PromptSource:
    """Draws prompts; low numbers of keys and parts are the most frequent ones."""

    def __init__(self, seed: int):
        self._random = random.Random(f"{seed}/prompts")

    def draw_sound(self) -> Prompt:
        """Return a prompt with one to three shared parts."""
        part_count = self._random.randint(1, PLACE_COUNT)
        key_number = self._draw_number(KEY_COUNT)
        return Prompt(f"key-{key_number}", self._draw_parts(part_count))

    def draw_crashing(self, crashing: load_profiles.CrashingPart) -> Prompt:
        """Return a prompt that has a crashing part beside parts of sound prompts."""
        if crashing.place is None:
            parts = tuple(_make_part(place, 0) for place in range(PLACE_COUNT))
            return Prompt("key-0", parts, crashing.part, crashing.part)
        key_number = self._draw_number(KEY_COUNT)
        parts = list(self._draw_parts(PLACE_COUNT))
        if crashing.other_parts is not load_profiles.OtherParts.POPULAR:
            parts = _list_same_parts(crashing)
        if crashing.is_of_one_caller:
            key_number = 0
            parts[0] = _make_part(0, 0)
        parts[crashing.place.value] = crashing.part
        crashing_part = crashing.part if crashing.crashes_engines else None
        return Prompt(f"key-{key_number}", tuple(parts), crashing_part)

    def draw_interval_s(self, rate_per_s: float) -> float:
        """Return the time until the next request with a crashing part."""
        return self._random.expovariate(rate_per_s)

    def _draw_parts(self, count: int) -> tuple[entry_data.PromptPartId, ...]:
        return tuple(
            _make_part(place, self._draw_number(PART_COUNT)) for place in range(count)
        )

    def _draw_number(self, count: int) -> int:
        """Return a number below a count; each is drawn as often as its rank allows."""
        weights = itertools.accumulate(1 / rank for rank in range(1, count + 1))
        return self._random.choices(range(count), cum_weights=list(weights))[0]


def _list_same_parts(
    crashing: load_profiles.CrashingPart,
) -> list[entry_data.PromptPartId]:
    """Return the parts that all prompts with a crashing part have."""
    if crashing.other_parts is load_profiles.OtherParts.SAME:
        return [_make_part(place, 0) for place in range(PLACE_COUNT)]
    return [
        entry_data.PromptPartId(f"{crashing.part}-{place}")
        for place in range(PLACE_COUNT)
    ]


def _make_part(place: int, number: int) -> entry_data.PromptPartId:
    return entry_data.PromptPartId(f"part-{place}-{number}")
