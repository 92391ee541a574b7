"""Lets ``python -m toucanspread`` run the command line."""

from toucanspread.tools import cli

cli.main()
