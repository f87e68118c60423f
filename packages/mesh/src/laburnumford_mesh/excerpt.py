"""Short representation of values from outside for messages and logs."""

import reprlib
from typing import Any

_MAX_CHARACTERS = 160


def excerpt(value: Any) -> str:
    """Returns a representation of at most `_MAX_CHARACTERS` characters; raises no error."""
    try:
        found = reprlib.repr(value)
    except (ValueError, RecursionError):
        # Python refuses to print integers of more than 4,300 digits.
        return f"<{type(value).__name__}>"
    return found if len(found) <= _MAX_CHARACTERS else f"{found[: _MAX_CHARACTERS - 3]}..."
