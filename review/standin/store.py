"""Stand-in of the platform's key-value store, as PROTOCOL.md describes it."""

import asyncio
import base64
import collections
import contextlib
import json
import time
import urllib.parse
from typing import Any

from standin import http

_PAGE_ITEMS = 500
_HISTORY_S = 20.0
_ANSWER_S = 0.004


class Store:
    """Serves range reads and watches; entries with a lease end unless they are renewed.

    Attributes:
        address: ``ip:port``.
        revision: revision of the last change.
    """

    def __init__(self) -> None:
        self.address = ""
        self.revision = 400
        self._oldest_revision = 400
        self._item_by_key: dict[str, dict[str, Any]] = {}
        self._expiry_by_key: dict[str, float] = {}
        self._history: collections.deque[tuple[float, dict[str, Any]]] = collections.deque()
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self, host: str) -> None:
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self._sweeper = asyncio.create_task(self._sweep())

    def stop(self) -> None:
        """Stops to listen."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()

    async def put(self, key: str, value: bytes, lease_s: float | None = None) -> int:
        """Writes a value; returns the revision once the write is acknowledged."""
        self.revision += 1
        known = self._item_by_key.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": 0 if lease_s is None else 1,
        }
        self._item_by_key[key] = item
        self.renew(key, lease_s)
        await self._publish(item)
        return self.revision

    def renew(self, key: str, lease_s: float | None) -> None:
        """Extends the lease of a key without a change of its value."""
        if lease_s is None:
            self._expiry_by_key.pop(key, None)
        elif key in self._item_by_key:
            self._expiry_by_key[key] = time.monotonic() + lease_s

    async def delete(self, key: str) -> None:
        """Removes a key."""
        self._expiry_by_key.pop(key, None)
        if self._item_by_key.pop(key, None) is not None:
            self.revision += 1
            await self._publish({"key": key, "revision": self.revision, "tombstone": True})

    def holds(self, key: str) -> bool:
        """Returns whether a key has a value."""
        return key in self._item_by_key

    async def _publish(self, event: dict[str, Any]) -> None:
        self._history.append((time.monotonic(), event))
        async with self._changed:
            self._changed.notify_all()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for key, expiry_s in list(self._expiry_by_key.items()):
                if now > expiry_s:
                    await self.delete(key)
            while self._history and now - self._history[0][0] > _HISTORY_S:
                self._oldest_revision = self._history.popleft()[1]["revision"]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*http.ENDS), contextlib.closing(writer):
            while True:
                request = await http.read_message(reader)
                path, _, query = request.first[1].partition("?")
                parameters = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                await asyncio.sleep(_ANSWER_S)
                status, page = await self._answer(path, parameters)
                body = json.dumps(page).encode()
                head = {"Content-Type": "application/json"}
                writer.write(http.encode(f"HTTP/1.1 {status} X", head, body))
                await writer.drain()

    async def _answer(self, path: str, parameters: dict[str, str]) -> tuple[int, Any]:
        prefix = parameters.get("prefix", "")
        if path == "/api/kv-key":
            item = self._item_by_key.get(parameters.get("key", ""))
            return (404, {}) if item is None else (200, {**item, "currentRev": self.revision})
        if path == "/api/kv-range":
            after = parameters.get("after", "")
            keys = [k for k in sorted(self._item_by_key) if k.startswith(prefix) and k > after]
            page = [self._item_by_key[key] for key in keys[:_PAGE_ITEMS]]
            more = len(keys) > _PAGE_ITEMS
            return 200, {"items": page, "hasMore": more, "currentRev": self.revision}
        if path != "/api/kv-watch":
            return 404, {}
        after_revision = int(parameters["after"])
        if after_revision < self._oldest_revision:
            return 410, {}
        events = self._events(prefix, after_revision)
        until_s = time.monotonic() + int(parameters["waitMs"]) / 1000
        while not events and (left_s := until_s - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s), self._changed:
                    await self._changed.wait()
            events = self._events(prefix, after_revision)
        return 200, {"events": events, "currentRev": self.revision}

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for _, event in self._history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
