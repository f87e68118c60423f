"""Base class of all models, and the value types that they share."""

import ipaddress
import re
from typing import Annotated, Any

import pydantic


class Model(pydantic.BaseModel):
    """Base class of the published objects and the settings.

    Instances are immutable. Values are not converted to the type of a field, and unknown fields
    are errors.
    """

    model_config = pydantic.ConfigDict(
        frozen=True, extra="forbid", strict=True, allow_inf_nan=False
    )


def described_field(description: str, unit: str = "", **constraints: Any) -> Any:
    """Returns a pydantic field with a description, an optional unit and constraints.

    The reference pages show the description and the unit, error messages show the unit.
    """
    return pydantic.Field(description=description, json_schema_extra={"unit": unit}, **constraints)


_IPV4_AND_PORT = re.compile(
    r"(?:(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(?:\.(?!:)|(?=:))){4}:([1-9]\d{0,4})", re.ASCII
)


def _check_address(text: str) -> str:
    # A snapshot of 10,000 servers has 40,000 addresses. For IPv4 the regular expression is several
    # times faster than ipaddress, which checks all other texts.
    match = _IPV4_AND_PORT.fullmatch(text)
    if match and int(match[1]) <= 65535:
        return text
    host, separator, port = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
        valid = bool(separator) and bracketed == (ip.version == 6)
    except ValueError:
        valid = False
    number = int(port) if port.isascii() and port.isdigit() and len(port) <= 5 else 0
    if not valid or str(number) != port or not 1 <= number <= 65535:
        raise ValueError(
            f"found address {text!r};"
            " expected IPv4:port or [IPv6]:port with a port from 1 to 65535"
        )
    return text


# Names contain no dots: the name of a node is part of its tickets, whose parts are separated by
# dots.
Name = Annotated[
    str,
    pydantic.StringConstraints(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"),
    pydantic.WithJsonSchema(
        {
            "type": "string",
            "title": "name of 1 to 63 characters: lower-case letters, digits and inner hyphens",
        }
    ),
]
Address = Annotated[
    str,
    pydantic.StringConstraints(max_length=64),
    pydantic.AfterValidator(_check_address),
    pydantic.WithJsonSchema(
        {"type": "string", "title": "IPv4:port or [IPv6]:port with a port from 1 to 65535"}
    ),
]
