"""Describes the fields of the models in words, from their JSON schemas."""

import functools
from collections.abc import Sequence
from typing import Any

import pydantic

Schema = dict[str, Any]


@functools.cache
def model_schema(model: type[pydantic.BaseModel]) -> Schema:
    """Returns the JSON schema of a model."""
    return model.model_json_schema()


def field_schema(model: type[pydantic.BaseModel], path: Sequence[str | int]) -> Schema:
    """Returns the schema of the field at `path`, or an empty schema if there is none."""
    root = model_schema(model)
    schema = root
    for step in path:
        schema = resolve(root, schema)
        if isinstance(step, int):
            schema = schema.get("items", {})
        elif step in schema.get("properties", {}):
            schema = schema["properties"][step]
        else:
            schema = schema.get("additionalProperties") or {}
            schema = schema if isinstance(schema, dict) else {}
    return resolve(root, schema)


def resolve(root: Schema, schema: Schema) -> Schema:
    """Returns `schema` with its reference replaced by the schema that it refers to.

    If the schema allows one type or null, returns the schema of that type with the key
    ``nullable``.
    """
    if "$ref" in schema:
        target = root["$defs"][schema["$ref"].rsplit("/", 1)[1]]
        return {**target, **{key: value for key, value in schema.items() if key != "$ref"}}
    options = [option for option in schema.get("anyOf", ()) if option.get("type") != "null"]
    if len(options) == 1:
        inner = resolve(root, options[0])
        outer = {key: value for key, value in schema.items() if key not in ("anyOf", "title")}
        return {**inner, **outer, "nullable": True}
    return schema


def describe_allowed(root: Schema, schema: Schema) -> str:
    """Returns the values that a schema allows, as text."""
    schema = resolve(root, schema)
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
        return _describe_array(root, schema) + null
    if kind == "object":
        if "properties" in schema:
            return "object with the fields " + ", ".join(schema["properties"]) + null
        values = describe_allowed(root, schema.get("additionalProperties", {}))
        unit = f" ({schema['unit']})" if schema.get("unit") else ""
        return f"object of name to {values}{unit}{null}"
    if kind == "string":
        length_limit = (
            f" of at most {schema['maxLength']} characters" if "maxLength" in schema else ""
        )
        return _string_title(schema) + length_limit + null
    return "any value"


def _describe_array(root: Schema, schema: Schema) -> str:
    min_items, max_items = schema.get("minItems"), schema.get("maxItems")
    items = resolve(root, schema.get("items", {}))
    noun = items["title"] if "properties" in items else f"({describe_allowed(root, items)})"
    if min_items is not None and max_items is not None:
        return f"array of {min_items} to {max_items} {noun}"
    if min_items is not None:
        return f"array of at least {min_items} {noun}"
    return f"array of at most {max_items} {noun}" if max_items is not None else f"array of {noun}"


def _string_title(schema: Schema) -> str:
    # Pydantic derives the title of a plain field from its name, with a capital first letter. The
    # types of this package set a title that describes the allowed values.
    title = str(schema.get("title", ""))
    return title if title[:1].islower() or title.startswith("IPv4") else "string"
