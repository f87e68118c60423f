"""Reads the operators' pages of nodes."""

import asyncio
import json
import re
from collections.abc import Sequence
from typing import Any, NoReturn

import aiohttp
import click

from laburnumford_client import document, errors

# A status with 1,320 histograms (330 services, 4 priorities) of 3 KB each takes 4 MB.
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
_MAX_CONCURRENT_REQUESTS = 32
_ADDRESS_PATTERN = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[0-9A-Za-z.-]+):([0-9]{1,5})")


class PageReader:
    """Requests pages from nodes, with a limit on the time and size of each answer.

    Args:
        timeout_s: time limit for the complete answer of a node, in seconds.
    """

    def __init__(self, *, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._request_slots = asyncio.Semaphore(_MAX_CONCURRENT_REQUESTS)

    async def read_all(
        self, addresses: Sequence[str], path: str
    ) -> list[document.Document | errors.PageError]:
        """Returns the document or the error of each node, in the order of `addresses`."""
        return await asyncio.gather(*(self._read_or_error(each, path) for each in addresses))

    async def read(
        self, address: str, path: str, query: dict[str, str] | None = None
    ) -> document.Document:
        """Returns the document of one page.

        Args:
            address: ``host:port`` of the operators' pages of a node.
            path: path of the page.
            query: query parameters.

        Raises:
            PageError: the node cannot be reached, or its answer is not a JSON object with
                status 200.
        """
        async with self._request_slots:
            try:
                async with asyncio.timeout(self._timeout_s):
                    status, body = await self._get(address, path, query or {})
            except TimeoutError as error:
                raise errors.PageError(
                    f"{address}: no answer to GET {path} within {self._timeout_s:g} s"
                ) from error
            except (aiohttp.ClientError, OSError, ValueError) as error:
                raise errors.PageError(
                    f"{address}: cannot read GET {path}: {_error_text(error)}"
                ) from error
        if status != 200:
            raise errors.PageError(
                f"{address}: GET {path}:"
                f" found status {status}{_problem_detail(body)}; allowed: 200"
            )
        return document.Document(value=_decode(body, address, path), source=address)

    async def _read_or_error(
        self, address: str, path: str
    ) -> document.Document | errors.PageError:
        try:
            return await self.read(address, path)
        except errors.PageError as error:
            return error

    async def _get(self, address: str, path: str, query: dict[str, str]) -> tuple[int, bytes]:
        # Compression is neither requested nor decoded, so the limit also bounds the parsed body.
        async with (
            aiohttp.ClientSession(
                headers={"accept-encoding": "identity"}, auto_decompress=False
            ) as session,
            session.get(f"http://{address}{path}", params=query, allow_redirects=False) as answer,
        ):
            body = bytearray()
            async for chunk in answer.content.iter_any():
                body += chunk
                if len(body) > _MAX_ANSWER_BYTES:
                    raise ValueError(
                        f"found over {_MAX_ANSWER_BYTES} bytes;"
                        f" allowed: at most {_MAX_ANSWER_BYTES}"
                    )
            return answer.status, bytes(body)


def check_address(
    context: click.Context, parameter: click.Parameter, value: str | tuple[str, ...]
) -> str | tuple[str, ...]:
    """Checks the addresses of a command line, as a callback of click.

    Raises:
        BadParameter: an address is not ``host:port``.
    """
    for address in (value,) if isinstance(value, str) else value:
        match = _ADDRESS_PATTERN.fullmatch(address)
        if match is None or not 1 <= int(match[2]) <= 65535:
            raise click.BadParameter(
                f"found {address!r}; allowed: HOST:PORT, the operator_address of a node",
                context,
                parameter,
            )
    return value


def _decode(body: bytes, address: str, path: str) -> Any:
    try:
        return json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise errors.PageError(
            f"{address}: GET {path}: found {body[:40]!r}; allowed: a JSON document"
        ) from error


def _error_text(error: Exception) -> str:
    if isinstance(error, aiohttp.ClientConnectorError):
        # The message of aiohttp repeats the address in another form.
        return document.printable(error.strerror or "no connection")
    return document.printable(str(error) or type(error).__name__)[:200]


def _reject_constant(name: str) -> NoReturn:
    """Rejects NaN and infinities, which the json module accepts but JSON does not allow."""
    raise ValueError(f"found {name}; allowed: a JSON number")


def _problem_detail(body: bytes) -> str:
    """Returns the detail of a problem answer (RFC 9457) in parentheses, or an empty string."""
    try:
        detail = json.loads(body[:4096])["detail"]
    except (ValueError, RecursionError, LookupError, TypeError):
        return ""
    return f" ({document.printable(detail)[:200]})" if isinstance(detail, str) else ""
