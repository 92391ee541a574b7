"""Adapters to the platform on which the system runs, and the two programs.

Only this package uses the names of the platform's wire format. It makes no decisions;
these are made in :mod:`toucanspread.core`.
"""

# The reactor has to be selected before a module of twisted installs the default one.
from toucanspread.ops import loop as loop
