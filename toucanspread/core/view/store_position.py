"""Places in the history of the platform's store, ordered across its eras.

The store may come back from an older copy. It then loses changes that it had
acknowledged and gives out their revisions again; its era tells both uses apart.
"""

from typing import NamedTuple

UNKNOWN_ERA = 0  # the store or the process that sent something names no era


class StorePosition(NamedTuple):
    """A revision of the store in one of its eras; a later era is greater."""

    era: int = UNKNOWN_ERA
    revision: int = 0
