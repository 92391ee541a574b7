"""Interface of the guard against crashes to the program around it.

:class:`toucanspread.core.entry.crash_guard.CrashGuard` decides; the program keeps its
times, logs what it decides, and ends the requests that match a new quarantine.
"""

import abc
from typing import NamedTuple

from toucanspread.core.entry import crash_evidence
from toucanspread.core.entry import data as entry_data


class Members(NamedTuple):
    """The entries that serve callers.

    :param own_name: name of this entry.
    :param names: names of all entries, including this one.
    """

    own_name: str
    names: list[str]


class GuardProgram(abc.ABC):
    """The program around the guard."""

    @abc.abstractmethod
    def list_members(self) -> Members:
        """Return the entries that serve callers."""

    @abc.abstractmethod
    def on_due(self, due_s: float) -> None:
        """Call :meth:`CrashGuard.take_due` at a time, or earlier."""

    @abc.abstractmethod
    def on_suspected(
        self, crash: entry_data.CrashSuspected, call: entry_data.Call
    ) -> None:
        """Handle a request of this entry that is suspect to have crashed an engine."""

    @abc.abstractmethod
    def on_quarantined(
        self,
        parts: crash_evidence.PartSet,
        crashes: frozenset[crash_evidence.Incarnation],
    ) -> None:
        """Handle the begin of a quarantine.

        :param crashes: those that led to it; empty if another entry announced it.
        """

    @abc.abstractmethod
    def on_narrowed(
        self, parts: crash_evidence.PartSet, remaining: crash_evidence.PartSet
    ) -> None:
        """Handle a quarantine of which some parts are sound."""

    @abc.abstractmethod
    def on_lifted(self, parts: crash_evidence.PartSet, why: str) -> None:
        """Handle the end of a quarantine."""
