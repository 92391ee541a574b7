"""Quarantines of prompt parts that crash engines.

A request matches a quarantine if its prompt holds all of the quarantined parts. As a
quarantine may be wrong, single requests are let through as trials, more and more
seldom; a whole answer to one of them ends it.
"""

from toucanspread.core.entry import crash_causes, crash_evidence
from toucanspread.core.entry import data as entry_data

MAX_QUARANTINE_COUNT = 32
MAX_IDLE_S = 600.0  # a part that returns later has to be recognized again
# Until each trial after the one before; the last one holds for all later ones.
TRIAL_INTERVALS_S = (30.0, 120.0, 480.0, 1_920.0, 7_680.0)
# While other parts may be the cause. The first trial may meet an engine that crashes
# for another request.
EARLY_TRIAL_INTERVALS_S = (1.0, 5.0, *TRIAL_INTERVALS_S[1:])
TRIAL_WIDENING_S = 1.0  # after this time, twice as many entries may make the trial
MAX_WIDENING_COUNT = 20


class Quarantine:
    """A quarantine of all requests whose prompts hold certain parts.

    :param crashes: the crashes that are known to have them as their cause.
    :param is_ambiguous: whether other parts may be the cause of the same crashes.
    :ivar matched_s: time at which a matching request was last seen.
    :ivar trials: number of trials that were begun.
    :ivar trial_s: time from which the next trial may begin.
    :ivar announce_s: time of the next announcement to the other entries.
    """

    def __init__(
        self,
        parts: crash_evidence.PartSet,
        now_s: float,
        crashes: frozenset[crash_evidence.Incarnation] = frozenset(),
        is_ambiguous: bool = False,
    ):
        self.parts = parts
        self.began_s = now_s
        self.matched_s = now_s
        self.trials = 0
        self._is_ambiguous = is_ambiguous
        self._intervals_s = (
            EARLY_TRIAL_INTERVALS_S if is_ambiguous else TRIAL_INTERVALS_S
        )
        self.trial_s = now_s + self._intervals_s[0]
        self.announce_s = now_s
        self._crashes = set(crashes)
        self._needed_count = min(len(crashes), crash_causes.MIN_CRASH_COUNT)

    @property
    def name(self) -> str:
        """Return a text that is equal at all entries."""
        return ",".join(sorted(self.parts))

    def is_trial_allowed(self, rank: int, now_s: float) -> bool:
        """Return whether this entry may begin a trial.

        Only the first-ranked entry may at first, so that there is one trial. It may
        have no matching request for long, and the others follow gradually.

        :param rank: position of this entry among all, from 0.
        """
        elapsed_s = now_s - self.trial_s
        if elapsed_s < 0:
            return False
        doublings = min(int(elapsed_s / TRIAL_WIDENING_S), MAX_WIDENING_COUNT)
        return rank < 2**doublings

    def begin_trial(self, now_s: float) -> None:
        """Record that a matching request is let through."""
        self.trials += 1
        number = min(self.trials, len(self._intervals_s) - 1)
        self.trial_s = now_s + self._intervals_s[number]

    def remove_crash(self, incarnation: crash_evidence.Incarnation) -> bool:
        """Remove a crash that was none; return whether too few are left."""
        if incarnation not in self._crashes:
            return False
        self._crashes.remove(incarnation)
        return len(self._crashes) < self._needed_count

    def apply_notice(self, notice: entry_data.PartsQuarantined, now_s: float) -> None:
        """Apply what another entry knows of the quarantine."""
        self.matched_s = max(self.matched_s, now_s - notice.idle_s)
        if notice.trials > self.trials:
            self.trials = notice.trials
            self.trial_s = now_s + notice.trial_in_s

    def make_notice(self, now_s: float) -> entry_data.PartsQuarantined:
        """Return the announcement to the other entries."""
        return entry_data.PartsQuarantined(
            tuple(sorted(self.parts)),
            max(now_s - self.matched_s, 0.0),
            self.trials,
            max(self.trial_s - now_s, 0.0),
            self._is_ambiguous,
        )

    def narrow(self, parts: crash_evidence.PartSet) -> "Quarantine":
        """Return the quarantine of only some of the parts."""
        narrower = Quarantine(parts, self.began_s, is_ambiguous=self._is_ambiguous)
        narrower.matched_s = self.matched_s
        narrower.trials = self.trials
        narrower.trial_s = self.trial_s
        narrower.announce_s = self.announce_s
        narrower._crashes = set(self._crashes)
        narrower._needed_count = self._needed_count
        return narrower


class QuarantineList:
    """The quarantines that are in force, a limited number of them."""

    def __init__(self):
        self._quarantines: dict[crash_evidence.PartSet, Quarantine] = {}

    def __bool__(self) -> bool:
        return bool(self._quarantines)

    def all(self) -> list[Quarantine]:
        """Return all quarantines."""
        return list(self._quarantines.values())

    def get(self, parts: crash_evidence.PartSet) -> Quarantine | None:
        """Return the quarantine of parts, or None."""
        return self._quarantines.get(parts)

    def signatures(self) -> list[crash_evidence.PartSet]:
        """Return the parts of each quarantine."""
        return list(self._quarantines)

    def matching(
        self, prompt_parts: tuple[entry_data.PromptPartId, ...]
    ) -> list[Quarantine]:
        """Return the quarantines that a request with some parts matches."""
        if not self._quarantines or not prompt_parts:
            return []
        held = frozenset(prompt_parts)
        return [each for parts, each in self._quarantines.items() if parts <= held]

    def put(self, quarantine: Quarantine) -> None:
        """Add a quarantine; the one that was unused for longest makes room."""
        self._quarantines[quarantine.parts] = quarantine
        if len(self._quarantines) > MAX_QUARANTINE_COUNT:
            others = [each for each in self.all() if each is not quarantine]
            oldest = min(others, key=lambda each: each.matched_s)
            self.remove(oldest.parts)

    def remove(self, parts: crash_evidence.PartSet) -> bool:
        """End a quarantine; return whether there was one."""
        return self._quarantines.pop(parts, None) is not None

    def release(
        self, sound: crash_evidence.PartSet
    ) -> list[tuple[Quarantine, crash_evidence.PartSet]]:
        """Remove sound parts from all quarantines.

        :return: the quarantines that held some, each with its remaining parts; one
            without any has ended.
        """
        changed = []
        for quarantine in self.all():
            remaining = quarantine.parts - sound
            if remaining == quarantine.parts:
                continue
            changed.append((quarantine, remaining))
            self.remove(quarantine.parts)
            if remaining and self.get(remaining) is None:
                self.put(quarantine.narrow(remaining))
        return changed

    def drop_idle(self, now_s: float) -> list[Quarantine]:
        """End and return the quarantines without a matching request for long."""
        idle = [each for each in self.all() if now_s - each.matched_s > MAX_IDLE_S]
        for quarantine in idle:
            self.remove(quarantine.parts)
        return idle
