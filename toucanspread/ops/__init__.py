"""Daemons, transports and clients that carry out the decisions of the core."""

# The reactor must be installed before a module of twisted installs the default one.
from toucanspread.ops import loop as loop
