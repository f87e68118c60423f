"""Priorities of calls."""

#: Priorities from first to last. Under overload the last one is shed first.
PRIORITIES = ("lookup", "booking", "upload", "statement")

RANK_BY_PRIORITY = {name: rank for rank, name in enumerate(PRIORITIES)}
