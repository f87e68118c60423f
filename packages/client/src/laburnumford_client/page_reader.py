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
_MAX_BYTES = 16 * 1024 * 1024
_MAX_PARALLEL = 32
_ADDRESS = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[0-9A-Za-z.-]+):([0-9]{1,5})")


class PageReader:
    """Asks nodes for pages, with a bound on time and size of each answer.

    Args:
        timeout_s: time for the whole answer of a node, in seconds.
    """

    def __init__(self, *, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._parallel = asyncio.Semaphore(_MAX_PARALLEL)

    async def read_all(
        self, addresses: Sequence[str], path: str
    ) -> list[document.Document | errors.PageError]:
        """Returns the document or the error of each node, in the order of the addresses."""
        return await asyncio.gather(*(self._read_or_error(each, path) for each in addresses))

    async def read(
        self, address: str, path: str, query: dict[str, str] | None = None
    ) -> document.Document:
        """Returns one document.

        Args:
            address: ``host:port`` of the operators' pages of a node.
            path: path of the page.
            query: parameters of the page.

        Raises:
            PageError: the node cannot be reached, or its answer is not the page.
        """
        async with self._parallel:
            try:
                async with asyncio.timeout(self._timeout_s):
                    status, body = await self._get(address, path, query or {})
            except TimeoutError as error:
                raise errors.PageError(
                    f"{address}: no answer to GET {path} within {self._timeout_s:g} s"
                ) from error
            except (aiohttp.ClientError, OSError, ValueError) as error:
                raise errors.PageError(
                    f"{address}: cannot read GET {path}: {_reason(error)}"
                ) from error
        if status != 200:
            raise errors.PageError(
                f"{address}: GET {path}: found status {status}{_detail(body)}; allowed: 200"
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
        # Compression is not asked for and not undone, so the limit holds for what is decoded.
        async with (
            aiohttp.ClientSession(
                headers={"accept-encoding": "identity"}, auto_decompress=False
            ) as session,
            session.get(f"http://{address}{path}", params=query, allow_redirects=False) as answer,
        ):
            body = bytearray()
            async for chunk in answer.content.iter_any():
                body += chunk
                if len(body) > _MAX_BYTES:
                    raise ValueError(f"found more than {_MAX_BYTES} bytes")
            return answer.status, bytes(body)


def check_address(
    context: click.Context, parameter: click.Parameter, value: str | tuple[str, ...]
) -> str | tuple[str, ...]:
    """Checks the addresses of a command line, as a callback of click.

    Raises:
        BadParameter: an address is not ``host:port``.
    """
    for address in (value,) if isinstance(value, str) else value:
        match = _ADDRESS.fullmatch(address)
        if match is None or not 1 <= int(match[2]) <= 65535:
            raise click.BadParameter(
                f"found {address!r}; allowed: HOST:PORT, the operator_address of a node",
                context,
                parameter,
            )
    return value


def _decode(body: bytes, address: str, path: str) -> Any:
    try:
        return json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise errors.PageError(
            f"{address}: GET {path}: found {body[:40]!r}; allowed: a JSON document"
        ) from error


def _reason(error: Exception) -> str:
    if isinstance(error, aiohttp.ClientConnectorError):
        # The text of the library repeats the address in its own form.
        return document.printable(error.strerror or "no connection")
    return document.printable(str(error) or type(error).__name__)[:200]


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"found {name}; allowed: a JSON number")


def _detail(body: bytes) -> str:
    """Returns the detail of problem details (RFC 9457), or nothing."""
    try:
        detail = json.loads(body[:4096])["detail"]
    except (ValueError, RecursionError, LookupError, TypeError):
        return ""
    return f" ({document.printable(detail)[:200]})" if isinstance(detail, str) else ""
