"""Reads the settings file of a node."""

from laburnumford_objects import _validation, errors, jsonc, node_settings, problem


def load(path: str) -> node_settings.NodeSettings:
    """Reads the settings file at `path`, in JSON with comments.

    Raises:
        SettingsError: the file cannot be read or is not valid; names all problems.
    """
    try:
        value = jsonc.load(path)
    except errors.JsoncError as error:
        raise errors.SettingsError([problem.from_syntax_error(error)]) from error
    loaded, problems = _validation.validate(
        node_settings.NodeSettings, value, path, lambda _: ("settings", 0)
    )
    if loaded is None:
        raise errors.SettingsError(problems)
    return loaded
