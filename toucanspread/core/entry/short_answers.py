"""Whole answers that were so short that their engine may still crash because of them.

They show that their prompts are sound only once the engine is alive a while later.
"""

from typing import NamedTuple

from toucanspread.core.entry import crash_evidence

MAX_ANSWER_COUNT = 1_024  # of all engines


class _Answer(NamedTuple):
    """One short answer.

    :param began_s: when the engine began to write it, or later.
    """

    incarnation: crash_evidence.Incarnation
    request: crash_evidence.Suspect
    began_s: float


class ShortAnswers:
    """The short answers of engines that were not seen alive since."""

    def __init__(self):
        self._answers: dict[crash_evidence.Incarnation, list[_Answer]] = {}
        self._count = 0

    def add(
        self,
        incarnation: crash_evidence.Incarnation,
        request: crash_evidence.Suspect,
        began_s: float,
    ) -> None:
        """Add an answer; those of another engine make room if needed."""
        if self._count >= MAX_ANSWER_COUNT:
            self._count -= len(self._answers.pop(next(iter(self._answers))))
        answer = _Answer(incarnation, request, began_s)
        self._answers.setdefault(incarnation, []).append(answer)
        self._count += 1

    def take_survived(
        self, incarnation: crash_evidence.Incarnation, now_s: float
    ) -> crash_evidence.PartSet:
        """Return the parts of answers that the engine has survived for a while."""
        if incarnation not in self._answers:
            return frozenset()
        latest_s = now_s - crash_evidence.JUST_BEGUN_S
        answers = self._take(incarnation)
        for answer in answers:
            if answer.began_s > latest_s:
                self.add(*answer)
        survived = [each.request.parts for each in answers if each.began_s <= latest_s]
        return frozenset().union(*survived)

    def take_suspect(
        self, incarnation: crash_evidence.Incarnation, now_s: float
    ) -> list[crash_evidence.Suspect]:
        """Return the requests that an engine began to answer just before a crash."""
        earliest_s = now_s - crash_evidence.JUST_BEGUN_S
        answers = self._take(incarnation)
        return [each.request for each in answers if each.began_s >= earliest_s]

    def _take(self, incarnation: crash_evidence.Incarnation) -> list[_Answer]:
        answers = self._answers.pop(incarnation, [])
        self._count -= len(answers)
        return answers
