"""Runs the client as ``python -m laburnumford_client``."""

from laburnumford_client import main

main.main()
