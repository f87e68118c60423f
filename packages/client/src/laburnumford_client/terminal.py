"""Output of tables."""

import os
import sys

from rich import console

_WIDTH = 140


def make() -> console.Console:
    """Returns a console on standard output; a pipe or file gets 140 columns."""
    width = None if sys.stdout.isatty() or "COLUMNS" in os.environ else _WIDTH
    return console.Console(width=width, highlight=False, emoji=False)
