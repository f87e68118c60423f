"""Entry point of the command-line client."""

import sys

import click

from laburnumford_client import bundle, check, decisions, explain, status, trace, why
from laburnumford_objects import errors


@click.group()
def commands() -> None:
    """Checks and publishes the objects of a workspace, and shows what its nodes report."""


commands.add_command(check.check)
commands.add_command(bundle.bundle)
commands.add_command(status.status)
commands.add_command(explain.explain)
commands.add_command(trace.trace)
commands.add_command(decisions.decisions)
commands.add_command(why.why)


def main() -> None:
    """Runs the client and exits with 0 on success, or else with 1 and the errors on stderr."""
    try:
        failed = commands.main(prog_name="laburnumford", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        sys.exit(1)
    except click.Abort:
        sys.exit(1)
    except errors.LaburnumfordError as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    sys.exit(1 if failed else 0)
