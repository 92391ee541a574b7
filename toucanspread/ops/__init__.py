"""The running of the decisions: daemons, transports and clients of the platform."""

# The reactor has to be chosen before any module of twisted installs the default one.
from toucanspread.ops import loop as loop
