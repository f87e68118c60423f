"""Priorities of calls."""

#: Priorities from highest to lowest. Under overload the lowest one is shed first.
PRIORITIES = ("lookup", "booking", "upload", "statement")

RANK_BY_PRIORITY = {name: rank for rank, name in enumerate(PRIORITIES)}
