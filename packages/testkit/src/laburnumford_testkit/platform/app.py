"""HTTP interface of the fake platform."""

import asyncio
import dataclasses
import json
import time
from collections.abc import Awaitable, Callable

from starlette import applications, requests, responses, routing

from laburnumford_testkit.platform import mode as mode_module
from laburnumford_testkit.platform import read_limit
from laburnumford_testkit.platform import store as store_module

MAX_READ_WAIT_S = 60.0

Handler = Callable[[requests.Request], Awaitable[responses.Response]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Read:
    """One read, as the log of reads holds it.

    Attributes:
        at: monotonic time in seconds at which the read arrived.
        key: key that was read; `vms` for the VM list.
        waiting: whether the read is a watch, which waits for a revision after a given one.
        client: value of the header `user-agent`, or empty.
        status: HTTP status of the answer.
        bytes: bytes of the answer body.
    """

    at: float
    key: str
    waiting: bool
    client: str
    status: int
    bytes: int


class PlatformApp:
    """Answers reads and watches, and the admin requests of tests.

    Args:
        reads_per_s: read limit for all readers together; reads above it are answered 429.
        answer_s: delay of each answer in seconds.
    """

    def __init__(self, *, reads_per_s: int = 2000, answer_s: float = 0.0) -> None:
        self.store = store_module.Store()
        self.read_limit = read_limit.ReadLimit(reads_per_s=reads_per_s)
        self.vms: list[dict[str, str]] = []
        self.reads: list[Read] = []
        self._answer_s = answer_s
        self._frozen_vms: list[dict[str, str]] = []
        self.asgi = applications.Starlette(
            routes=[
                routing.Route("/config/{key:path}", self._read, methods=["GET"]),
                routing.Route("/vms", self._read_vms, methods=["GET"]),
                routing.Route("/admin/config", self._list_keys, methods=["GET"]),
                routing.Route("/admin/config/{key:path}", self._put, methods=["PUT"]),
                routing.Route("/admin/config/{key:path}", self._delete, methods=["DELETE"]),
                routing.Route("/admin/vms", self._put_vms, methods=["PUT"]),
                routing.Route("/admin/mode", self._put_mode, methods=["PUT"]),
                routing.Route("/admin/counters", self._counters, methods=["GET"]),
                routing.Route("/admin/reads", self._read_log, methods=["GET"]),
            ]
        )

    def set_mode(self, mode: mode_module.Mode, revision: int | None = None) -> None:
        """Changes the mode, see `store.Store.set_mode`; also keeps the VM list of this time."""
        self._frozen_vms = list(self.vms)
        self.store.set_mode(mode, revision)

    async def _answer_if_admitted(
        self, request: requests.Request, handler: Handler
    ) -> responses.Response:
        now = time.monotonic()
        if not self.read_limit.admit(now):
            response = responses.Response("read limit exceeded", status_code=429)
        else:
            if self._answer_s:
                await asyncio.sleep(self._answer_s)
            deadline = now + MAX_READ_WAIT_S
            while self.store.mode is mode_module.Mode.HANG and time.monotonic() < deadline:
                await self.store.wait_changed(deadline - time.monotonic())
            if self.store.mode is mode_module.Mode.DOWN:
                response = responses.Response("down", status_code=503)
            else:
                response = await handler(request)
        self.reads.append(
            Read(
                at=now,
                key=request.path_params.get("key", "vms"),
                waiting="after" in request.query_params,
                client=request.headers.get("user-agent", ""),
                status=response.status_code,
                bytes=len(response.body),
            )
        )
        return response

    async def _read(self, request: requests.Request) -> responses.Response:
        return await self._answer_if_admitted(request, self._answer_read)

    async def _answer_read(self, request: requests.Request) -> responses.Response:
        key = request.path_params["key"]
        after = request.query_params.get("after")
        try:
            after_revision = None if after is None else int(after)
            wait_s = min(MAX_READ_WAIT_S, float(request.query_params.get("wait_s", "0")))
        except ValueError:
            return responses.Response("after and wait_s must be numbers", status_code=400)
        deadline = time.monotonic() + wait_s
        while True:
            if self.store.mode is mode_module.Mode.DOWN:
                return responses.Response("down", status_code=503)
            next_change = self.store.next_change_event()
            found = self.store.get(key)
            if after_revision is None or (found is not None and found[1] > after_revision):
                break
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0 or await request.is_disconnected():
                return responses.Response(status_code=304)
            await self.store.wait_changed(remaining_s, next_change)
        if found is None:
            return responses.Response("no such key", status_code=404)
        value, revision = found
        return responses.Response(
            value, media_type="application/octet-stream", headers={"etag": str(revision)}
        )

    async def _read_vms(self, request: requests.Request) -> responses.Response:
        return await self._answer_if_admitted(request, self._answer_vms)

    async def _answer_vms(self, _request: requests.Request) -> responses.Response:
        is_current = self.store.mode in (mode_module.Mode.OK, mode_module.Mode.HALF)
        return responses.JSONResponse({"vms": self.vms if is_current else self._frozen_vms})

    async def _list_keys(self, _request: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {"revision": self.store.revision, "keys": list(self.store.keys())}
        )

    async def _put(self, request: requests.Request) -> responses.Response:
        try:
            revision = self.store.put(request.path_params["key"], await request.body())
        except store_module.ValueTooLargeError as error:
            return responses.Response(str(error), status_code=413)
        return responses.JSONResponse({"revision": revision})

    async def _delete(self, request: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {"revision": self.store.put(request.path_params["key"], None)}
        )

    async def _put_vms(self, request: requests.Request) -> responses.Response:
        self.vms = json.loads(await request.body())["vms"]
        return responses.Response(status_code=204)

    async def _put_mode(self, request: requests.Request) -> responses.Response:
        wanted = json.loads(await request.body())
        try:
            mode = mode_module.Mode(wanted.get("mode", self.store.mode.value))
        except ValueError:
            allowed = ", ".join(mode.value for mode in mode_module.Mode)
            message = f"unknown mode {wanted['mode']!r}; allowed: {allowed}"
            return responses.Response(message, status_code=400)
        if "rate" in wanted:
            self.read_limit.reads_per_s = int(wanted["rate"])
        if "mode" in wanted:
            self.set_mode(mode, wanted.get("revision"))
        return responses.Response(status_code=204)

    async def _counters(self, _request: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {
                "admitted": self.read_limit.admitted,
                "refused": self.read_limit.refused,
                "peak_per_s": self.read_limit.peak_per_s,
            }
        )

    async def _read_log(self, _request: requests.Request) -> responses.Response:
        return responses.JSONResponse({"reads": [dataclasses.asdict(read) for read in self.reads]})
