"""Tests of the HTTP connections."""
