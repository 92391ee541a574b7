"""Parts of prompts that are sound, because engines gave whole answers to them.

Only the others can be the reason why engines crash. What was sound a long time ago may
have changed meanwhile, e.g. with the weights.
"""

import collections

from toucanspread.core.entry import data as entry_data

MEMORY_S = 60.0
MAX_PART_COUNT = 16_384


class SoundParts:
    """The parts of the last whole answers, a limited number of them."""

    def __init__(self):
        self._answered_s: collections.OrderedDict[entry_data.PromptPartId, float] = (
            collections.OrderedDict()
        )

    def record(self, part: entry_data.PromptPartId, answered_s: float) -> None:
        """Record a whole answer to a prompt with the part."""
        if answered_s <= self._answered_s.get(part, float("-inf")):
            return
        self._answered_s[part] = answered_s
        self._answered_s.move_to_end(part)
        if len(self._answered_s) > MAX_PART_COUNT:
            self._answered_s.popitem(last=False)

    def age_s(self, part: entry_data.PromptPartId, now_s: float) -> float:
        """Return the time since the last whole answer; infinite without one."""
        return now_s - self._answered_s.get(part, float("-inf"))

    def is_sound(self, part: entry_data.PromptPartId, now_s: float) -> bool:
        """Return whether there was a whole answer lately."""
        return self.age_s(part, now_s) <= MEMORY_S
