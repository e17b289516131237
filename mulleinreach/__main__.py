"""Runs the command line as ``python -m mulleinreach``."""

from mulleinreach.cli.main import main

main()
