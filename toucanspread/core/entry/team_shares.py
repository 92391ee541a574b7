"""Counts the prompt work that was recently begun for each team.

Where callers compete for the engines, one team that sends many requests would take
nearly all that its entries begin. Among requests of one priority, those of the team
with the least recent work go first. An entry knows only its own requests; its counts
fade, so that a team is not held back for what it asked long ago.
"""

import collections
from typing import NamedTuple

HALF_LIFE_S = 5.0
MAX_TEAM_COUNT = 1_000
# Teams whose work differs by less than about a prompt are ordered by the time left.
STEP_TOKENS = 1_000.0


class _Work(NamedTuple):
    """Prompt tokens begun for a team, as of a time."""

    tokens: float
    counted_s: float

    def at(self, now_s: float) -> float:
        passed_s = max(now_s - self.counted_s, 0.0)
        return self.tokens * 0.5 ** (passed_s / HALF_LIFE_S)


class TeamShares:
    """The prompt work of the teams at one entry."""

    def __init__(self):
        self._work: collections.OrderedDict[str | None, _Work] = (
            collections.OrderedDict()
        )

    def record_begin(self, team: str | None, prompt_tokens: int, now_s: float) -> None:
        """Count a request that is sent to its first engine.

        :param team: its name; None for callers without a team.
        """
        tokens = self._tokens(team, now_s) + prompt_tokens
        self._work[team] = _Work(tokens, now_s)
        self._work.move_to_end(team)
        if len(self._work) > MAX_TEAM_COUNT:
            self._work.popitem(last=False)

    def find_step(self, team: str | None, now_s: float) -> int:
        """Return how much was recently begun for a team, in steps; fewer go first."""
        return int(self._tokens(team, now_s) // STEP_TOKENS)

    def _tokens(self, team: str | None, now_s: float) -> float:
        work = self._work.get(team)
        return 0.0 if work is None else work.at(now_s)
