"""Lets urgent requests go first while callers compete for too little room.

This answers the load of a burst of one kind of request beside more urgent ones, with
tens of entries that each see a few requests a second. The queue of one entry is short
then, so that its order alone decides little. What counts is what a less urgent request
leaves free at the engines for the more urgent ones of all entries: it starts only where
slots and prefill time are left for them.
"""

from collections.abc import Iterable
from typing import NamedTuple

from toucanspread.core.entry import data as entry_data

# Slots that a request leaves free at an engine, by the number of declared ranks that
# are more urgent; further ranks leave as much as the last. The least urgent kind has
# the bursts, and reports show the slots that it fills only some tenths of a second
# later.
RESERVED_SLOT_COUNTS = (0, 2, 6)
# Part of the allowed prefill backlog that a request of the next rank may use.
BACKLOG_FACTOR = 0.6


class Allowance(NamedTuple):
    """What a request may use of an engine, compared with the most urgent one.

    :param reserved_slots: slots that it leaves free beyond those.
    :param backlog_factor: part of the prefill backlog under which it may start.
    """

    reserved_slots: int = 0
    backlog_factor: float = 1.0


FULL_ALLOWANCE = Allowance()


class PriorityRules:
    """The declared ranks of the requests of a service; 0 is the most urgent.

    :param ranks: of routes and teams, in any order.
    """

    def __init__(self, ranks: Iterable[int]):
        self._ranks = sorted(set(ranks))

    @classmethod
    def from_configuration(
        cls, configuration: entry_data.Configuration, service: entry_data.Service
    ) -> "PriorityRules":
        """Return the rules for the routes of a service, whatever the team."""
        return cls(
            route.priority
            for route in configuration.routes
            if any(share.service == service.name for share in route.shares)
        )

    def find_allowance(self, rank: int, most_slots: int | None = None) -> Allowance:
        """Return what a request of a rank may use of an engine.

        :param most_slots: most slots that it leaves free, so that an engine with few
            slots starts it at all; None for no limit.
        """
        more_urgent = sum(1 for each in self._ranks if each < rank)
        steps = min(more_urgent, len(RESERVED_SLOT_COUNTS) - 1)
        reserved_slots = RESERVED_SLOT_COUNTS[steps]
        if most_slots is not None:
            reserved_slots = min(reserved_slots, max(most_slots, 0))
        return Allowance(reserved_slots, BACKLOG_FACTOR**steps)
