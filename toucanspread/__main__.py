"""Runs the command line as ``python -m toucanspread``."""

import sys

from toucanspread.tools import cli

sys.argv[0] = "toucanspread"  # shown in usage messages
cli.main()
