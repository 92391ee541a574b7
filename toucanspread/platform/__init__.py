"""The platform on which the system runs: its names, its wire, its two programs.

Nothing outside this package knows how the platform spells things; nothing in it
decides anything.
"""

# The reactor has to be chosen before any module of twisted installs the default one.
from toucanspread.ops import loop as loop
