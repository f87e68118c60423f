"""The ``bundle`` command, which writes the values to publish."""

import pathlib

import click

from laburnumford_client import errors, folder_values
from laburnumford_objects import bundle as bundles
from laburnumford_objects import deployment, head, published
from laburnumford_objects import errors as object_errors


@click.command()
@click.option(
    "--previous",
    required=True,
    metavar="FILE_OR_NONE",
    help="File of the head in force, as DIR/laburnumford/WORKSPACE/head, or none to start a"
    " new chain.",
)
@click.option("--version", required=True, type=int, help="Version to create.")
@click.option(
    "--out", required=True, type=click.Path(), help="Folder that receives one file per key."
)
@click.argument("file", type=click.Path())
def bundle(previous: str, version: int, out: str, file: str) -> None:
    """Writes the keys and values that publish the deployment FILE.

    The head is written last, so a folder whose head names this version contains all its values.
    """
    objects = deployment.load(file)
    base = None if previous.lower() == "none" else _read_previous(previous, objects.workspace)
    values = bundles.bundle(base, objects, version)
    folder = folder_values.FolderValues(folder=pathlib.Path(out))
    head_key = bundles.key_prefix(objects.workspace) + "head"
    if head_key in folder:
        head_in_folder = head.Head.decode(folder[head_key])
        if head_in_folder.version >= version:
            raise errors.FileError(
                f"{pathlib.Path(out) / head_key}: found version {head_in_folder.version};"
                f" allowed: a version below {version}, which would replace it"
            )
    for key in sorted(values, key=lambda key: key == head_key):
        folder.write(key, values[key])
        click.echo(f"{pathlib.Path(out) / key}: {len(values[key])} bytes")


def _read_previous(path: str, workspace: str) -> published.PublishedVersion:
    head_path = pathlib.Path(path).absolute()
    key = bundles.key_prefix(workspace) + "head"
    if head_path.parts[-3:] != pathlib.PurePosixPath(key).parts:
        raise errors.FileError(f"--previous: found {path!r}; allowed: none or a path to {key}")
    values = folder_values.FolderValues(folder=head_path.parents[2])
    try:
        return bundles.read(values, workspace)
    except object_errors.VersionError as error:
        raise errors.FileError(f"{path}: {error}") from error
