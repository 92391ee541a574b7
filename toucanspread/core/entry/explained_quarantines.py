"""Finds the quarantines whose crashes have another cause."""

from toucanspread.core.entry import crash_causes, crash_evidence, part_quarantine

# Only then is the evidence of two parts complete enough to compare.
COMPARISON_S = 5.0


def find(
    quarantines: list[part_quarantine.Quarantine],
    evidence: crash_evidence.CrashEvidence,
    now_s: float,
) -> list[part_quarantine.Quarantine]:
    """Return the quarantines whose crashes all have a cause that explains more."""
    return [
        quarantine
        for quarantine in quarantines
        if now_s - quarantine.began_s <= COMPARISON_S
        and _is_explained(quarantine, quarantines, evidence)
    ]


def _is_explained(
    quarantine: part_quarantine.Quarantine,
    quarantines: list[part_quarantine.Quarantine],
    evidence: crash_evidence.CrashEvidence,
) -> bool:
    crashes = evidence.crashes_of(quarantine.parts)
    if len(crashes) < crash_causes.MIN_CRASH_COUNT:
        return False  # this entry does not know those that led to it
    return any(
        crashes < evidence.crashes_of(other.parts)
        for other in quarantines
        if not other.parts & quarantine.parts
    )
