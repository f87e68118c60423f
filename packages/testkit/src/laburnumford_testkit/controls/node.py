"""Runs a node with one fault: `python -m laburnumford_testkit.controls.node`."""

import sys

import click

from laburnumford_node import main as node_main
from laburnumford_testkit import controls


@click.command()
@click.option("--fault", "name", required=True, type=click.Choice(controls.fault.faults.names()))
@click.option("--settings", required=True, help="Settings file of the node.")
def main(name: str, settings: str) -> None:
    """Installs the fault in this process and runs the node's own main."""
    controls.fault.faults.create(name).install()
    node_main.main(["--settings", settings], prog_name=sys.argv[0])


if __name__ == "__main__":
    main()
