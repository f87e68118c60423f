"""Tests of the checks of configurations."""
