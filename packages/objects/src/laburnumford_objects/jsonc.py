"""Parses JSON with comments and keeps the line of each value.

The syntax is RFC 8259 plus ``//`` and ``/* */`` comments. Trailing commas are not allowed.
"""

import functools
import importlib.resources
import json
import math
import types
from collections.abc import Iterator, Mapping
from typing import Any, cast

import lark
from lark import exceptions as lark_exceptions

from laburnumford_objects import errors, located

MAX_FILE_BYTES = 16 * 1024 * 1024  # 10,000 backend servers take about 3 MB
MAX_TOKENS = 1_000_000  # 10,000 backend servers take about 370,000
MAX_NESTING_DEPTH = 32  # a deployment needs 6; code that reads the result recurses once per level
_MAX_SHOWN_CHARACTERS = 40
_NO_CHILDREN: Mapping[str | int, located.LocatedValue] = types.MappingProxyType({})
MAX_NUMBER_CHARACTERS = 64  # Python refuses to convert integers of more than 4300 digits

_DESCRIPTION_BY_TERMINAL = {
    "LBRACE": "'{'",
    "RBRACE": "'}'",
    "LSQB": "'['",
    "RSQB": "']'",
    "COMMA": "','",
    "COLON": "':'",
    "STRING": "a string",
    "NUMBER": "a number",
    "TRUE": "true",
    "FALSE": "false",
    "NULL": "null",
    "$END": "the end of the file",
}


class _TokenLimits:
    """Limits nesting depth and number of tokens between the lexer and the parser."""

    always_accept = ("INVALID",)

    def process(self, stream: Iterator[lark.Token]) -> Iterator[lark.Token]:
        """Yields the tokens unchanged.

        Raises:
            JsoncError: the nesting is deeper than `MAX_NESTING_DEPTH`, or there are more than
                `MAX_TOKENS` tokens.
        """
        depth = 0
        for count, token in enumerate(stream, 1):
            if count > MAX_TOKENS:
                raise errors.JsoncError(
                    "",
                    token.line or 0,
                    f"found over {MAX_TOKENS} tokens; expected <= {MAX_TOKENS}",
                )
            if token.type in ("LBRACE", "LSQB"):
                depth += 1
                if depth > MAX_NESTING_DEPTH:
                    raise errors.JsoncError(
                        "",
                        token.line or 0,
                        f"found nesting deeper than {MAX_NESTING_DEPTH};"
                        f" expected <= {MAX_NESTING_DEPTH}",
                    )
            elif token.type in ("RBRACE", "RSQB"):
                depth -= 1
            yield token


class _Builder(lark.Transformer[lark.Token, Any]):
    """Builds the values with their lines while the text is parsed, without a syntax tree."""

    def start(self, items: list[Any]) -> Any:
        return items[0]

    def string(self, items: list[Any]) -> located.LocatedValue:
        return _located_value(items[0], _decode_string(items[0]))

    def number(self, items: list[Any]) -> located.LocatedValue:
        return _located_value(items[0], _decode_number(items[0]))

    def true(self, items: list[Any]) -> located.LocatedValue:
        return _located_value(items[0], True)

    def false(self, items: list[Any]) -> located.LocatedValue:
        return _located_value(items[0], False)

    def null(self, items: list[Any]) -> located.LocatedValue:
        return _located_value(items[0], None)

    def pair(self, items: list[Any]) -> tuple[lark.Token, located.LocatedValue]:
        return items[0], items[2]

    def object(self, items: list[Any]) -> located.LocatedValue:
        children: dict[str | int, located.LocatedValue] = {}
        key_lines: dict[str, int] = {}
        for key, child in (item for item in items if isinstance(item, tuple)):
            name = _decode_string(key)
            if name in key_lines:
                raise errors.JsoncError(
                    "",
                    key.line,
                    f"found key {name[:_MAX_SHOWN_CHARACTERS]!r} again,"
                    f" first used on line {key_lines[name]}; expected each key once",
                )
            key_lines[name] = key.line
            children[name] = child
        data = {key: child.data for key, child in children.items()}
        return _located_value(items[0], data, children)

    def array(self, items: list[Any]) -> located.LocatedValue:
        values = [item for item in items if isinstance(item, located.LocatedValue)]
        data = tuple(value.data for value in values)
        return _located_value(items[0], data, dict(enumerate(values)))


def parse(text: str, file: str = "") -> located.LocatedValue:
    """Returns the value of a text, with the line of each value in it.

    Args:
        text: the content, at most `MAX_FILE_BYTES` characters.
        file: path of the file, for error messages.

    Raises:
        JsoncError: the text exceeds a limit of this module, repeats a key in an object, or is not
            JSON with comments.
    """
    if len(text) > MAX_FILE_BYTES:
        raise errors.JsoncError(
            file, 0, f"found {len(text)} characters; expected <= {MAX_FILE_BYTES}"
        )
    try:
        # The transformer returns a LocatedValue; the type hints of lark declare a tree.
        parsed: Any = _parser().parse(text)
    except errors.JsoncError as error:
        raise errors.JsoncError(file, error.line, error.detail) from None
    except lark_exceptions.VisitError as error:
        cause = error.orig_exc
        if isinstance(cause, errors.JsoncError):
            raise errors.JsoncError(file, cause.line, cause.detail) from None
        raise
    except lark_exceptions.UnexpectedToken as error:
        raise _syntax_error(text, file, error) from None
    return cast(located.LocatedValue, parsed)


def load(path: str) -> located.LocatedValue:
    """Reads and parses the file at `path`.

    Raises:
        JsoncError: the file cannot be read, is not UTF-8, or does not parse.
    """
    try:
        with open(path, "rb") as stream:
            content = stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise errors.JsoncError(path, 0, f"cannot read the file: {error.strerror}") from error
    if len(content) > MAX_FILE_BYTES:
        raise errors.JsoncError(
            path, 0, f"found over {MAX_FILE_BYTES} bytes; expected <= {MAX_FILE_BYTES}"
        )
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        raise errors.JsoncError(path, line, "found bytes that are not UTF-8") from error
    return parse(text, path)


@functools.cache
def _parser() -> lark.Lark:
    grammar = importlib.resources.files(__package__).joinpath("jsonc.lark").read_text("utf-8")
    return lark.Lark(
        grammar,
        parser="lalr",
        transformer=_Builder(),
        postlex=_TokenLimits(),
        keep_all_tokens=True,
        maybe_placeholders=False,
    )


def _located_value(
    token: lark.Token, data: Any, children: Mapping[str | int, located.LocatedValue] = _NO_CHILDREN
) -> located.LocatedValue:
    return located.LocatedValue(data=data, line=token.line or 0, children=children)


def _decode_string(token: lark.Token) -> str:
    text: str = json.loads(token)
    try:
        text.encode("utf-8")
    except UnicodeEncodeError:
        raise errors.JsoncError(
            "", token.line or 0, "found half of a surrogate pair; expected a Unicode character"
        ) from None
    return text


def _decode_number(token: lark.Token) -> int | float:
    if len(token) > MAX_NUMBER_CHARACTERS:
        raise errors.JsoncError(
            "",
            token.line or 0,
            f"found a number of {len(token)} characters; expected <= {MAX_NUMBER_CHARACTERS}",
        )
    number: int | float = json.loads(token)
    if not math.isfinite(number):
        raise errors.JsoncError(
            "", token.line or 0, f"found {token}; expected a number within the range of a double"
        )
    return number


def _syntax_error(
    text: str, file: str, error: lark_exceptions.UnexpectedToken
) -> errors.JsoncError:
    found, line = repr(str(error.token)[:_MAX_SHOWN_CHARACTERS]), error.line
    if error.token.type == "$END":
        found, line = "the end of the file", text.count("\n") + 1
    names = error.accepts or error.expected
    expected = [text for name, text in _DESCRIPTION_BY_TERMINAL.items() if name in names]
    return errors.JsoncError(file, line, f"found {found}; expected {' or '.join(expected)}")
