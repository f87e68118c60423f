"""Checks of a configuration before it is published."""
