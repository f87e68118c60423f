"""Generates the reference pages of settings and objects from the models.

Run as ``python -m laburnumford_objects.reference`` in the root of the repository.
"""

import argparse
import json
import pathlib

import pydantic

from laburnumford_objects import (
    _schema,
    backend_server,
    group,
    measuring,
    node_limits,
    node_log,
    node_settings,
    node_trace,
    policy,
    route,
    service,
    zone,
)

_GENERATED_NOTE = "<!-- Written by python -m laburnumford_objects.reference; do not edit. -->"
_TABLE_HEADER = (
    "| field | type | range | default | unit | description |\n|---|---|---|---|---|---|"
)

_SETTINGS: dict[str, type[pydantic.BaseModel]] = {
    "Node settings": node_settings.NodeSettings,
    "`log`": node_log.NodeLog,
    "`trace`": node_trace.NodeTrace,
    "`limits`": node_limits.NodeLimits,
}
_OBJECTS: dict[str, type[pydantic.BaseModel]] = {
    "`zones`": zone.Zone,
    "`services`": service.Service,
    "`groups`": group.Group,
    "`backend_servers` of a group": backend_server.BackendServer,
    "`routes`": route.Route,
    "`policies`": policy.Policy,
    "`measuring` of a policy": measuring.MeasuringLimits,
}


def pages() -> dict[str, str]:
    """Returns the texts of the pages by file name."""
    settings = [
        _GENERATED_NOTE,
        "# Settings of a node",
        "A settings file is one object of JSON with comments. Unknown fields are errors.",
        *(_section(title, model) for title, model in _SETTINGS.items()),
    ]
    objects = [
        _GENERATED_NOTE,
        "# Objects of a workspace",
        "A deployment file is one object of JSON with comments. It has the field `workspace`, the"
        " name\nof the workspace, and one array for each kind of object: `zones`, `services`,"
        " `groups`, `routes`\nand `policies`. Unknown fields are errors.",
        *(_section(title, model) for title, model in _OBJECTS.items()),
    ]
    return {
        "settings.md": "\n\n".join(settings) + "\n",
        "objects.md": "\n\n".join(objects) + "\n",
    }


def write(folder: pathlib.Path) -> None:
    """Writes the pages to a folder, which is created if it is missing."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, text in pages().items():
        (folder / name).write_text(text, encoding="utf-8")


def _section(title: str, model: type[pydantic.BaseModel]) -> str:
    text = "\n".join(line.strip() for line in (model.__doc__ or "").strip().splitlines())
    rows = [_row(model, name) for name in model.model_fields]
    return f"## {title}\n\n{text}\n\n" + "\n".join([_TABLE_HEADER, *rows])


def _row(model: type[pydantic.BaseModel], name: str) -> str:
    root = _schema.model_schema(model)
    schema = _schema.field_schema(model, [name])
    field = model.model_fields[name]
    if field.is_required():
        default = "required"
    else:
        value = schema.get("default", field.get_default(call_default_factory=True))
        default = f"`{json.dumps(value)}`"
    if "properties" in schema:
        default = default if default == "required" else "see below"
    kind = str(schema.get("type", "any"))
    cells = [
        f"`{name}`",
        f"{kind} or null" if schema.get("nullable") else kind,
        _range(root, schema),
        default,
        schema.get("unit") or "",
        field.description or "",
    ]
    return "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |"


def _range(root: _schema.Schema, schema: _schema.Schema) -> str:
    plain = {key: value for key, value in schema.items() if key not in ("nullable", "unit")}
    if "properties" in plain:
        return "see below"
    text = _schema.describe_allowed(root, plain)
    kind = str(plain.get("type"))
    return "" if text == kind else text.removeprefix(f"{kind} ")


def main() -> None:
    """Writes the pages to the folder given on the command line."""
    parser = argparse.ArgumentParser(description="Writes the reference pages.")
    parser.add_argument("--out", type=pathlib.Path, default=pathlib.Path("docs/reference"))
    write(parser.parse_args().out)


if __name__ == "__main__":
    main()
