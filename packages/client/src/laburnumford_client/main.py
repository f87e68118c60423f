"""Entry point of the command-line client."""

import sys

import click

from laburnumford_client import bundle, check
from laburnumford_objects import errors


@click.group()
def commands() -> None:
    """Checks and publishes the objects of a workspace."""


commands.add_command(check.check)
commands.add_command(bundle.bundle)


def main() -> None:
    """Runs the client and exits with 0 on success, or else with 1 and the errors on stderr."""
    try:
        status = commands.main(prog_name="laburnumford", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        sys.exit(1)
    except click.Abort:
        sys.exit(1)
    except errors.LaburnumfordError as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    sys.exit(1 if status else 0)
