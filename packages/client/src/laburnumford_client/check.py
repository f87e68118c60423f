"""The ``check`` command, which validates a deployment file."""

import click

from laburnumford_objects import check as checks
from laburnumford_objects import deployment, errors


@click.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Reports all problems of the deployment FILE."""
    result = deployment.read(file)
    problems = checks.check_read_result(result)
    if problems or result.object_set is None:
        raise errors.DeploymentError(problems)
    objects = result.object_set
    servers = sum(len(group.backend_servers) for group in objects.groups_by_name.values())
    click.echo(
        f"{file}: no problems; workspace {objects.workspace!r},"
        f" {len(objects.services_by_name)} services, {servers} backend servers,"
        f" {len(objects.routes_by_name)} routes, {len(objects.policies_by_name)} policies"
    )
