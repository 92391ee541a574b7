"""Runs the command line, also as ``python -m toucanspread``.

Passes the platform's wire format to the tools, which do not import its package.
"""

import sys

from toucanspread.platform import configuration_format
from toucanspread.tools import cli


def main() -> None:
    """Run the command line."""
    cli.main(configuration_format.StoreFormat())


if __name__ == "__main__":
    sys.argv[0] = "toucanspread"  # shown in usage messages
    main()
