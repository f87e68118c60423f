"""Tests of JSON with comments."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from laburnumford_objects import errors, jsonc

_PROPERTY_SETTINGS = hypothesis.settings(derandomize=True, deadline=None)

_TEXT = strategies.text(strategies.characters(exclude_categories=["Cs"]), max_size=20)
_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(10**30), 10**30)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | _TEXT,
    lambda inner: (
        strategies.lists(inner, max_size=4) | strategies.dictionaries(_TEXT, inner, max_size=4)
    ),
    max_leaves=12,
)


def _with_lists(value):
    """Returns `value` with lists for the tuples of the parser."""
    if isinstance(value, tuple):
        return [_with_lists(item) for item in value]
    if isinstance(value, dict):
        return {key: _with_lists(item) for key, item in value.items()}
    return value


@_PROPERTY_SETTINGS
@hypothesis.given(_VALUES, strategies.sampled_from([None, 2]))
def test_every_json_text_parses_to_its_value(value, indent):
    """Guards against values that differ from those of a JSON parser."""
    assert _with_lists(jsonc.parse(json.dumps(value, indent=indent)).data) == value


@_PROPERTY_SETTINGS
@hypothesis.given(strategies.text('{}[]:,"\\/*ue01-.\n\ta', max_size=40))
def test_arbitrary_text_gives_a_value_or_a_located_error(text):
    """Guards against exceptions of the parser library that reach the operator."""
    try:
        file, line = "file", jsonc.parse(text, "file").line
    except errors.JsoncError as error:
        file, line = error.file, error.line
    assert file == "file"
    assert 1 <= line <= text.count("\n") + 1


def test_values_keep_their_lines_around_comments():
    """Guards against wrong line numbers after a comment."""
    value = jsonc.parse('// one\n{"a": /* two\n three */ [1,\n{"b": "/* text */"}]}')
    assert [value.line, value.line_of(["a"]), value.line_of(["a", 1, "b"])] == [2, 3, 4]
    assert value.line_of(["a", 7, "unknown"]) == 3
    assert value.data == {"a": (1, {"b": "/* text */"})}


@pytest.mark.parametrize(
    ("text", "line", "detail"),
    [
        ('{"a": 1,\n"a": 2}', 2, "found key 'a' again, first used on line 1"),
        ('{"a"\n1}', 2, "found '1'; expected ':'"),
        ("[1,\n]", 2, "found ']'; expected '{' or '[' or a string or a number"),
        ("{}\nx", 2, "found 'x'; expected the end of the file"),
        ('{"a": 1\n', 2, "found the end of the file; expected '}' or ','"),
        ("/* open", 1, "found '/*'; expected '{'"),
        ('"\\ud800"', 1, "half of a surrogate pair"),
        ("1e999", 1, "found 1e999; expected a number within"),
        ("[" * 33 + "]" * 33, 1, "found nesting deeper than 32"),
        ("1" * 65, 1, "found a number of 65 characters"),
    ],
)
def test_error_names_line_and_expectation(text, line, detail):
    """Guards against errors without the line, the text found or the tokens expected."""
    with pytest.raises(errors.JsoncError) as caught:
        jsonc.parse(text, "file")
    assert caught.value.line == line
    assert detail in caught.value.detail


def test_size_is_bounded(write, monkeypatch):
    """Guards against a file that exhausts the memory of the client."""
    monkeypatch.setattr(jsonc, "MAX_FILE_BYTES", 10)
    with pytest.raises(errors.JsoncError, match="expected <= 10"):
        jsonc.load(write('"' + "a" * 20 + '"'))
    with pytest.raises(errors.JsoncError, match="expected <= 10"):
        jsonc.parse('"' + "a" * 20 + '"')
    monkeypatch.setattr(jsonc, "MAX_TOKENS", 3)
    with pytest.raises(errors.JsoncError, match="found over 3 tokens"):
        jsonc.parse("[1,1]")


def test_unreadable_files_are_reported(write, tmp_path):
    """Guards against OSError and UnicodeDecodeError that are not converted to JsoncError."""
    with pytest.raises(errors.JsoncError, match="cannot read the file"):
        jsonc.load(str(tmp_path))
    with pytest.raises(errors.JsoncError, match=":2: found bytes that are not UTF-8"):
        jsonc.load(write(b'"\n\xff"'))
