"""Runs the node with `python -m laburnumford_node`."""

from laburnumford_node import main

main.main()
