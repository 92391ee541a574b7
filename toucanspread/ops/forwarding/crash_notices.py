"""Runs the guard against prompts that crash engines, and logs what it decides.

:mod:`toucanspread.core.entry.crash_guard` decides; this module sends its notices when
they are due and tells the forwarder of new quarantines.
"""

import random
from collections.abc import Callable

from toucanspread.core.entry import (
    crash_evidence,
    crash_guard,
    engines,
    guard_program,
)
from toucanspread.core.entry import data as entry_data
from toucanspread.ops.telemetry import logs, metric_buffer


class CrashNotices(guard_program.GuardProgram):
    """The guard of one entry, with its timer.

    :param list_members: returns the entries that serve callers.
    :param send: sends a notice to all other entries.
    :param on_quarantine: called when a quarantine begins.
    """

    def __init__(
        self,
        reactor,
        random_source: random.Random,
        list_members: Callable[[], guard_program.Members],
        send: Callable[[entry_data.CrashNotice], None],
        on_quarantine: Callable[[], None],
    ):
        self.guard = crash_guard.CrashGuard(self, random_source)
        self._reactor = reactor
        self._list_members = list_members
        self._send = send
        self._call_on_quarantine = on_quarantine
        self._timer = None

    def receive(self, notice: entry_data.CrashNotice) -> None:
        """Apply a notice of another entry."""
        self.guard.on_notice(notice, self._reactor.seconds())

    def record_alive(self, alive: list[engines.Engine]) -> None:
        """Record that engines are alive, as a report says."""
        now_s = self._reactor.seconds()
        for engine in alive:
            self.guard.on_engine_alive(engine.incarnation, now_s)

    def list_members(self) -> guard_program.Members:
        """Return the entries that serve callers."""
        return self._list_members()

    def on_due(self, due_s: float) -> None:
        """Take the notices that are due at a time."""
        if due_s == crash_guard.NEVER_S:
            return
        delay_s = max(due_s - self._reactor.seconds(), 0.0)
        if self._timer is None or not self._timer.active():
            self._timer = self._reactor.callLater(delay_s, self._send_due)
        elif due_s < self._timer.getTime():
            self._timer.reset(delay_s)

    def on_suspected(
        self, crash: entry_data.CrashSuspected, call: entry_data.Call
    ) -> None:
        """Log a request that is suspect to have crashed an engine."""
        logs.write(
            "engine_crash_suspected",
            engine=crash.engine_id,
            id=call.attempt_id,
            parts=",".join(crash.parts),
        )
        metric_buffer.count("crashes_suspected")

    def on_quarantined(
        self,
        parts: crash_evidence.PartSet,
        crashes: frozenset[crash_evidence.Incarnation],
    ) -> None:
        """Log the begin of a quarantine and tell the forwarder of it."""
        logs.write(
            "prompt_part_quarantined",
            parts=_render(parts),
            engines=",".join(sorted(crash.engine_id for crash in crashes)),
        )
        metric_buffer.count("prompt_parts_quarantined")
        # Later, as another request's answer may have led to it.
        self._reactor.callLater(0.0, self._call_on_quarantine)

    def on_narrowed(
        self, parts: crash_evidence.PartSet, remaining: crash_evidence.PartSet
    ) -> None:
        """Log a quarantine of which some parts are sound."""
        logs.write(
            "prompt_part_narrowed", parts=_render(parts), remaining=_render(remaining)
        )
        self._reactor.callLater(0.0, self._call_on_quarantine)

    def on_lifted(self, parts: crash_evidence.PartSet, why: str) -> None:
        """Log the end of a quarantine."""
        logs.write("prompt_part_lifted", parts=_render(parts), why=why)
        metric_buffer.count("prompt_parts_lifted", why=why)

    def _send_due(self) -> None:
        for notice in self.guard.take_due(self._reactor.seconds()):
            self._send(notice)


def _render(parts: crash_evidence.PartSet) -> str:
    return ",".join(sorted(parts))
