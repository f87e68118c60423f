"""Creates the console that tables are printed on."""

import os
import sys

from rich import console

_NON_TERMINAL_WIDTH_COLUMNS = 140


def create_console() -> console.Console:
    """Returns a console on standard output, with 140 columns for a pipe or a file."""
    width = None if sys.stdout.isatty() or "COLUMNS" in os.environ else _NON_TERMINAL_WIDTH_COLUMNS
    return console.Console(width=width, highlight=False, emoji=False)
