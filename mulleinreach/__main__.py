"""Runs the command line as ``python -m mulleinreach``."""

import sys

from mulleinreach.start_signals import prepare_signals


def start() -> None:
    """Prepare a node for signals before the rest of the program is imported; run the command."""
    if sys.argv[1:2] == ["node"]:
        prepare_signals()
    from mulleinreach.cli.main import main

    main()


if __name__ == "__main__":
    start()
