"""Protects engines from requests that crash them.

Engines crash when they begin to answer a prompt with a certain part, or a certain
request that comes again, which is treated as one more part. Each entry sees only some
of the crashes, so the entries notify each other of the parts that are suspect, of those
that are sound, and of the quarantines that follow.

The guard decides by itself; the program around it sends the notices that
:meth:`CrashGuard.take_due` returns at the times that the guard asks for.
"""

import enum
import random

import xxhash

from toucanspread.core import rendezvous
from toucanspread.core.entry import (
    crash_causes,
    crash_evidence,
    explained_quarantines,
    guard_program,
    lifted_quarantines,
    notice_timing,
    part_quarantine,
    short_answers,
    sound_parts,
    sound_replies,
)
from toucanspread.core.entry import data as entry_data

NOTICE_SPREAD_S = 0.2  # other entries' notices arrive within a part of this time
ANNOUNCEMENT_INTERVAL_S = 0.8
MATCH_REFRESH_S = 60.0  # a match that is newer by this time is announced
DECISION_INTERVAL_S = 0.1
DECISION_DURATION_S = 0.6  # decisions on new evidence are made for so long
NEVER_S = float("inf")


class Admission(enum.Enum):
    """Whether a request may be sent to an engine."""

    ADMITTED = "admitted"
    TRIAL = "trial"
    REFUSED = "refused"


class CrashGuard:
    """Decides which requests may be sent to engines, by their suspect parts."""

    def __init__(
        self, program: guard_program.GuardProgram, random_source: random.Random
    ):
        self.quarantines = part_quarantine.QuarantineList()
        self._program = program
        self._random_source = random_source
        self.evidence = crash_evidence.CrashEvidence()
        self._sound = sound_parts.SoundParts()
        self._replies = sound_replies.SoundReplies()
        self._short_answers = short_answers.ShortAnswers()
        self._lifted = lifted_quarantines.LiftedQuarantines()
        self._outbox: list[entry_data.CrashNotice] = []
        self._decide_s = NEVER_S
        self._decide_until_s = 0.0

    # Requests of this entry

    def admit(self, call: entry_data.Call, now_s: float) -> Admission:
        """Return whether a new request may be sent to an engine."""
        matching = self.quarantines.matching(call.suspect_parts)
        if not matching:
            return Admission.ADMITTED
        # A trial of several at once would tell nothing about any of them.
        may_try = len(matching) == 1 and self._may_try(matching[0], now_s)
        for quarantine in matching:
            quarantine.matched_s = now_s
            if may_try:
                quarantine.begin_trial(now_s)
                self._announce_at(quarantine, now_s)
        return Admission.TRIAL if may_try else Admission.REFUSED

    def is_quarantined(self, call: entry_data.Call) -> bool:
        """Return whether a request matches a quarantine."""
        return bool(self.quarantines.matching(call.suspect_parts))

    def may_repeat(self, call: entry_data.Call) -> bool:
        """Return whether a request that an engine broke off may be sent once more."""
        if not call.suspect_parts:
            return True
        if self.is_quarantined(call):
            return False
        held = frozenset(call.suspect_parts)
        causes = crash_causes.find_suspicion(
            self.evidence, self.quarantines.signatures()
        )
        return not any(cause.parts <= held for cause in causes)

    def on_break(
        self,
        incarnation: crash_evidence.Incarnation,
        call: entry_data.Call,
        now_s: float,
    ) -> None:
        """Record that an engine broke off when a request had just begun there."""
        parts = self._suspect_parts(call.suspect_parts, now_s)
        if parts:
            suspect = crash_evidence.Suspect(_hash_id(call), parts)
            notice = self._report_suspect(incarnation, suspect, now_s)
            self._program.on_suspected(notice, call)
        self._report_short_answers(incarnation, now_s)

    def on_survived(self, call: entry_data.Call, now_s: float) -> None:
        """Record that an engine has written an answer for a while."""
        self._record_sound(call.suspect_parts, now_s)

    def on_whole_answer(
        self,
        incarnation: crash_evidence.Incarnation,
        call: entry_data.Call,
        began_s: float,
        now_s: float,
    ) -> None:
        """Record that an engine gave a whole answer to a request.

        :param began_s: when the engine began to write it, or later.
        """
        if now_s - began_s < crash_evidence.JUST_BEGUN_S:
            answered = crash_evidence.Suspect(
                _hash_id(call), frozenset(call.suspect_parts)
            )
            self._short_answers.add(incarnation, answered, began_s)
            return
        self._record_sound(call.suspect_parts, now_s)

    def on_engine_alive(
        self,
        incarnation: crash_evidence.Incarnation,
        now_s: float,
        alive_s: float | None = None,
    ) -> None:
        """Record that an engine is alive, so what seemed to be a crash was none.

        :param alive_s: time at which it certainly was; None for now.
        """
        if alive_s is None:
            alive_s = now_s
        survived = self._short_answers.take_survived(incarnation, alive_s)
        if survived:
            self._record_sound(tuple(survived), now_s)
        if not self.evidence.remove_if_alive(incarnation, alive_s):
            return
        for quarantine in self.quarantines.all():
            if quarantine.remove_crash(incarnation):
                self._lift(quarantine, "engines alive", now_s)

    # Notices of other entries, and the time

    def on_notice(self, notice: entry_data.CrashNotice, now_s: float) -> None:
        """Apply a notice of another entry."""
        match notice:
            case entry_data.CrashSuspected():
                self._on_suspected(notice, now_s)
            case entry_data.PartsSound():
                self._on_sound(notice, now_s)
            case entry_data.PartsQuarantined():
                self._on_quarantined(notice, now_s)
            case entry_data.QuarantineLifted():
                self._on_lifted(notice, now_s)

    def take_due(self, now_s: float) -> list[entry_data.CrashNotice]:
        """Decide, and return the notices to all other entries that are due."""
        if now_s >= self._decide_s:
            self._decide(now_s)
        for quarantine in self.quarantines.drop_idle(now_s):
            self._program.on_lifted(quarantine.parts, "no more requests")
        notices, self._outbox = self._outbox, []
        notices += self._replies.take_due(self._sound, now_s)
        notices += self._lifted.take_due(now_s)
        notices += self._take_due_announcements(now_s)
        due_s = self._next_due_s()
        if due_s < NEVER_S:
            self._program.on_due(due_s)
        return notices

    # Evidence

    def _suspect_parts(
        self, parts: tuple[entry_data.PromptPartId, ...], now_s: float
    ) -> crash_evidence.PartSet:
        return frozenset(
            part for part in parts if not self._sound.is_sound(part, now_s)
        )

    def _add_evidence(
        self,
        incarnation: crash_evidence.Incarnation,
        suspect: crash_evidence.Suspect,
        now_s: float,
    ) -> None:
        self.evidence.add(incarnation, suspect, now_s)
        self._decide_until_s = now_s + DECISION_DURATION_S
        self._decide_soon(now_s)

    def _on_suspected(self, notice: entry_data.CrashSuspected, now_s: float) -> None:
        parts = self._suspect_parts(notice.parts, now_s)
        self._reply_sound(frozenset(notice.parts) - parts, now_s)
        if parts:
            suspect = crash_evidence.Suspect(notice.request, parts)
            incarnation = crash_evidence.Incarnation(notice.engine_id, notice.born_ms)
            self._add_evidence(incarnation, suspect, now_s)
            self._report_short_answers(incarnation, now_s)

    def _report_suspect(
        self,
        incarnation: crash_evidence.Incarnation,
        suspect: crash_evidence.Suspect,
        now_s: float,
    ) -> entry_data.CrashSuspected:
        """Record evidence of this entry, and notify the others of it."""
        self._add_evidence(incarnation, suspect, now_s)
        notice = entry_data.CrashSuspected(
            incarnation.engine_id,
            incarnation.born_ms,
            suspect.request,
            tuple(sorted(suspect.parts)),
        )
        self._send(notice, now_s)
        return notice

    def _report_short_answers(
        self, incarnation: crash_evidence.Incarnation, now_s: float
    ) -> None:
        """Report answers that ended just before a crash."""
        for answered in self._short_answers.take_suspect(incarnation, now_s):
            parts = self._suspect_parts(tuple(answered.parts), now_s)
            if parts:
                suspect = answered._replace(parts=parts)
                self._report_suspect(incarnation, suspect, now_s)

    # Sound parts

    def _record_sound(
        self, parts: tuple[entry_data.PromptPartId, ...], now_s: float
    ) -> None:
        """Record parts of whole answers; tell the others if one was suspect."""
        cleared = self._clear(parts, 0.0, now_s)
        for first in range(0, len(cleared), entry_data.MAX_SUSPECT_PARTS):
            batch = cleared[first : first + entry_data.MAX_SUSPECT_PARTS]
            self._replies.record_told(batch, now_s)
            self._send(entry_data.PartsSound(batch), now_s)

    def _clear(
        self,
        parts: tuple[entry_data.PromptPartId, ...],
        age_s: float,
        now_s: float,
    ) -> tuple[entry_data.PromptPartId, ...]:
        """Record sound parts; return those that were suspect or quarantined."""
        for part in parts:
            self._sound.record(part, now_s - age_s)
        sound = [part for part in parts if self._sound.is_sound(part, now_s)]
        suspect = {part for part in sound if self.evidence.remove_part(part)}
        quarantined = self._release(frozenset(sound))
        if quarantined:
            # What these parts seemed to explain may have another cause.
            self._decide_soon(now_s)
        return tuple(sorted(suspect | quarantined))

    def _release(self, sound: crash_evidence.PartSet) -> crash_evidence.PartSet:
        """Remove sound parts from all quarantines; return those that were there."""
        released = frozenset()
        for quarantine, remaining in self.quarantines.release(sound):
            released |= quarantine.parts - remaining
            if remaining:
                self._program.on_narrowed(quarantine.parts, remaining)
            else:
                self._program.on_lifted(quarantine.parts, "whole answer")
        return released

    def _on_sound(self, notice: entry_data.PartsSound, now_s: float) -> None:
        self._replies.record_told(notice.parts, now_s)
        self._clear(notice.parts, notice.age_s, now_s)

    def _reply_sound(self, parts: crash_evidence.PartSet, now_s: float) -> None:
        """Notify the others after a while that parts are sound, unless one does."""
        for part in sorted(parts):
            self._replies.add(part, now_s + self._draw_delay_s(), now_s)
        self._program.on_due(self._replies.next_due_s)

    # Quarantines

    def _decide(self, now_s: float) -> None:
        self.evidence.expire(now_s)
        self._decide_s = NEVER_S
        if now_s < self._decide_until_s:
            self._decide_s = now_s + DECISION_INTERVAL_S
        known = self.quarantines.signatures()
        causes = crash_causes.find_causes(self.evidence, known, now_s)
        causes += crash_causes.find_common_parts(
            self.evidence, known + [cause.parts for cause in causes], now_s
        )
        for cause in causes:
            self._quarantine(cause, now_s)
        for quarantine in explained_quarantines.find(
            self.quarantines.all(), self.evidence, now_s
        ):
            self._lift(quarantine, "explained by another", now_s)

    def _quarantine(self, cause: crash_causes.Cause, now_s: float) -> None:
        is_ambiguous = crash_causes.is_ambiguous(cause, self.evidence)
        quarantine = part_quarantine.Quarantine(
            cause.parts, now_s, cause.crashes, is_ambiguous
        )
        self.quarantines.put(quarantine)
        self._announce_at(quarantine, now_s + self._draw_delay_s())
        self._program.on_quarantined(cause.parts, cause.crashes)

    def _lift(
        self, quarantine: part_quarantine.Quarantine, why: str, now_s: float
    ) -> None:
        self.quarantines.remove(quarantine.parts)
        due_s = now_s + self._draw_delay_s()
        self._lifted.add(quarantine.parts, due_s, now_s)
        self._program.on_due(due_s)
        self._program.on_lifted(quarantine.parts, why)

    def _on_lifted(self, notice: entry_data.QuarantineLifted, now_s: float) -> None:
        parts = frozenset(notice.parts)
        self._lifted.record_notice(parts, now_s)
        if self.quarantines.remove(parts):
            self._program.on_lifted(parts, "lifted by another entry")
            # The evidence of this entry may say otherwise.
            self._decide_soon(now_s)

    def _may_try(self, quarantine: part_quarantine.Quarantine, now_s: float) -> bool:
        if now_s < quarantine.trial_s:
            return False
        members = self._program.list_members()
        ranked = rendezvous.rank(quarantine.name, members.names)
        if members.own_name not in ranked:
            return False
        return quarantine.is_trial_allowed(ranked.index(members.own_name), now_s)

    # Announcements

    def _on_quarantined(
        self, notice: entry_data.PartsQuarantined, now_s: float
    ) -> None:
        parts = self._suspect_parts(notice.parts, now_s)
        self._reply_sound(frozenset(notice.parts) - parts, now_s)
        if not parts or self._lifted.is_held(parts, now_s):
            return
        quarantine = self.quarantines.get(parts)
        if quarantine is None:
            quarantine = part_quarantine.Quarantine(
                parts, now_s, is_ambiguous=notice.is_ambiguous
            )
            quarantine.matched_s = now_s - notice.idle_s
            quarantine.trial_s = now_s + notice.trial_in_s
            self.quarantines.put(quarantine)
            self._program.on_quarantined(parts, frozenset())
        knows_more = (
            now_s - quarantine.matched_s < notice.idle_s - MATCH_REFRESH_S
            or quarantine.trials > notice.trials
        )
        quarantine.apply_notice(notice, now_s)
        delay_s = self._draw_delay_s()
        if not knows_more:
            delay_s += ANNOUNCEMENT_INTERVAL_S
        self._announce_at(quarantine, now_s + delay_s)

    def _announce_at(
        self, quarantine: part_quarantine.Quarantine, due_s: float
    ) -> None:
        quarantine.announce_s = due_s
        self._program.on_due(due_s)

    def _take_due_announcements(self, now_s: float) -> list[entry_data.CrashNotice]:
        notices = []
        for quarantine in self.quarantines.all():
            if now_s < quarantine.announce_s:
                continue
            notices.append(quarantine.make_notice(now_s))
            quarantine.announce_s = (
                now_s + ANNOUNCEMENT_INTERVAL_S + self._draw_delay_s()
            )
        return notices

    # Times

    def _send(self, notice: entry_data.CrashNotice, now_s: float) -> None:
        self._outbox.append(notice)
        self._program.on_due(now_s)

    def _decide_soon(self, now_s: float) -> None:
        self._decide_s = min(self._decide_s, now_s + DECISION_INTERVAL_S)
        self._program.on_due(self._decide_s)

    def _draw_delay_s(self) -> float:
        entry_count = len(self._program.list_members().names)
        return notice_timing.draw_delay_s(
            NOTICE_SPREAD_S, entry_count, self._random_source
        )

    def _next_due_s(self) -> float:
        announcements_s = [each.announce_s for each in self.quarantines.all()]
        return min(
            self._decide_s,
            self._replies.next_due_s,
            self._lifted.next_due_s,
            *announcements_s,
        )


def _hash_id(call: entry_data.Call) -> int:
    return xxhash.xxh32_intdigest(call.attempt_id.encode())
