"""Lets ``python -m toucanspread`` run the command line."""

import sys

from toucanspread.tools import cli

sys.argv[0] = "toucanspread"  # the name that usage messages show
cli.main()
