"""Reading and writing of HTTP/1.1 messages for the stand-ins."""

import asyncio
import dataclasses

ENDS = (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.CancelledError)
"""Errors that end the handler of a connection; the end of a script cancels it."""


@dataclasses.dataclass(frozen=True)
class Message:
    """A request or an answer.

    Attributes:
        first: the three parts of the first line.
        fields: header fields, names in lower case.
        body: the complete body.
    """

    first: tuple[str, str, str]
    fields: dict[str, str]
    body: bytes

    @property
    def closes(self) -> bool:
        """Whether the sender closes the connection after this message."""
        return self.fields.get("connection", "").lower() == "close"


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a message whose body has a length.

    Raises:
        asyncio.IncompleteReadError: the connection ended before the end of the message.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    parts = lines[0].split(" ", 2)
    fields: dict[str, str] = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Message((parts[0], parts[1], parts[2] if len(parts) > 2 else ""), fields, body)


def encode(first_line: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Returns an encoded message with a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
