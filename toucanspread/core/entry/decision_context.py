"""The information on which an entry bases its decisions about a request."""

import random
from typing import NamedTuple

from toucanspread.core.entry import (
    crash_guard,
    engine_requirements,
    engines,
    priority_rules,
    retry_budget,
)
from toucanspread.core.entry import data as entry_data


class Context(NamedTuple):
    """What an entry knows when it decides.

    :param guard: decides which requests may be sent to engines.
    :param minimum_version: minimum version of the weights for the route's service.
    :param upcoming_versions: versions of its weights that are not in force yet.
    :param requests_end_s: time by which requests must have ended, since the entry
        stops then; infinite while it is not leaving.
    :param has_turn: whether requests of its size were begun too rarely.
    :param priorities: the declared priorities; None if they decide only at engines.
    """

    now_s: float
    registry: engines.EngineRegistry
    retry_budgets: retry_budget.RetryBudget
    location: engine_requirements.EntryLocation
    random_source: random.Random
    guard: crash_guard.CrashGuard
    minimum_version: int = 0
    upcoming_versions: tuple[entry_data.DueVersion, ...] = ()
    requests_end_s: float = float("inf")
    has_turn: bool = False
    priorities: priority_rules.PriorityRules | None = None

    @property
    def is_leaving(self) -> bool:
        """Return whether the entry is leaving."""
        return self.requests_end_s < float("inf")
