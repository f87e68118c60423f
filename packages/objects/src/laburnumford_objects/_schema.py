"""Texts about fields, taken from the schemas of the models."""

import functools
from collections.abc import Sequence
from typing import Any

import pydantic

Schema = dict[str, Any]


@functools.cache
def of_model(model: type[pydantic.BaseModel]) -> Schema:
    """Returns the JSON schema of a model."""
    return model.model_json_schema()


def field(model: type[pydantic.BaseModel], path: Sequence[str | int]) -> Schema:
    """Returns the schema at `path`, or the empty schema if there is none."""
    root = of_model(model)
    schema = root
    for step in path:
        schema = resolved(root, schema)
        if isinstance(step, int):
            schema = schema.get("items", {})
        elif step in schema.get("properties", {}):
            schema = schema["properties"][step]
        else:
            schema = schema.get("additionalProperties") or {}
            schema = schema if isinstance(schema, dict) else {}
    return resolved(root, schema)


def resolved(root: Schema, schema: Schema) -> Schema:
    """Returns `schema` with its reference or its alternative to null resolved."""
    if "$ref" in schema:
        target = root["$defs"][schema["$ref"].rsplit("/", 1)[1]]
        return {**target, **{key: value for key, value in schema.items() if key != "$ref"}}
    options = [option for option in schema.get("anyOf", ()) if option.get("type") != "null"]
    if len(options) == 1:
        inner = resolved(root, options[0])
        outer = {key: value for key, value in schema.items() if key not in ("anyOf", "title")}
        return {**inner, **outer, "nullable": True}
    return schema


def allowed(root: Schema, schema: Schema) -> str:
    """Returns the values that a schema allows, as text."""
    schema = resolved(root, schema)
    null = " or null" if schema.get("nullable") else ""
    if "enum" in schema:
        return ", ".join(schema["enum"]) + null
    kind = schema.get("type")
    if kind in ("integer", "number"):
        noun = "integer" if kind == "integer" else "number"
        text = f"{noun} from {schema.get('minimum', '-')} to {schema.get('maximum', '-')}"
        return text + (f" ({schema['unit']})" if schema.get("unit") else "") + null
    if kind == "boolean":
        return "true, false" + null
    if kind == "array":
        return _allowed_array(root, schema) + null
    if kind == "object":
        if "properties" in schema:
            return "object with the fields " + ", ".join(schema["properties"]) + null
        values = allowed(root, schema.get("additionalProperties", {}))
        unit = f" ({schema['unit']})" if schema.get("unit") else ""
        return f"object of name to {values}{unit}{null}"
    if kind == "string":
        longest = f" of at most {schema['maxLength']} characters" if "maxLength" in schema else ""
        return _string_title(schema) + longest + null
    return "any value"


def _allowed_array(root: Schema, schema: Schema) -> str:
    least, most = schema.get("minItems"), schema.get("maxItems")
    items = resolved(root, schema.get("items", {}))
    noun = items["title"] if "properties" in items else f"({allowed(root, items)})"
    if least is not None and most is not None:
        return f"array of {least} to {most} {noun}"
    if least is not None:
        return f"array of at least {least} {noun}"
    return f"array of at most {most} {noun}" if most is not None else f"array of {noun}"


def _string_title(schema: Schema) -> str:
    # Pydantic titles a plain field after its name; the shared types carry a text instead.
    title = str(schema.get("title", ""))
    return title if title[:1].islower() or title.startswith("IPv4") else "string"
