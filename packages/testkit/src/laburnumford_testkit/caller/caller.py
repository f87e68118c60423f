"""Makes calls and records what they saw."""

import asyncio
import hashlib
import time

from laburnumford_testkit import content, errors
from laburnumford_testkit.caller import call as call_module
from laburnumford_testkit.caller import connection as connection_module
from laburnumford_testkit.caller import exchange as exchange_module
from laburnumford_testkit.caller import pool as pool_module
from laburnumford_testkit.caller import record as record_module

_TIMEOUT_MARGIN_S = 1.0  # a node answers 504 at the deadline; the caller waits a little longer


class Caller:
    """Makes calls with the behaviour that the system expects of callers.

    A 428 answer with a ticket is followed by the same request with the ticket.
    A request with a ticket whose outcome is unknown is repeated with the same
    ticket.

    Args:
        pool: connections.
        name: prefix of call ids, unique among the callers of one test.
        repeats: repeats after an unknown outcome.
        repeat_delay_s: wait before each repeat.
    """

    def __init__(
        self,
        *,
        pool: pool_module.Pool,
        name: str = "c",
        repeats: int = 2,
        repeat_delay_s: float = 0.05,
    ) -> None:
        self.records: list[record_module.Record] = []
        self._pool = pool
        self._name = name
        self._repeats = repeats
        self._repeat_delay_s = repeat_delay_s
        self._calls = 0

    async def call(
        self, call: call_module.Call, address: str, due: float | None = None
    ) -> record_module.Record:
        """Makes a call and returns the record of its last request.

        Args:
            call: what to ask for.
            address: `ip:port` of a node or a backend server.
            due: time at which the call was due, default now.
        """
        self._calls += 1
        call_name = f"{self._name}{self._calls}"
        started = time.monotonic() if due is None else due
        key = ""
        repeats = 0
        ids: list[str] = []
        while True:
            ids.append(f"{call_name}.{len(ids)}")
            record, issued = await self._request(
                call, call_name, ids[-1], ids, address, key, started
            )
            self.records.append(record)
            if record.status == 428 and issued and not key:
                key = issued
                continue
            if not _is_unknown(record) or not key or repeats >= self._repeats:
                return record
            repeats += 1
            await asyncio.sleep(self._repeat_delay_s)

    async def call_through_two(
        self, call: call_module.Call, first: str, second: str, due: float | None = None
    ) -> tuple[record_module.Record, ...]:
        """Obtains one ticket and sends the request with it to two nodes at the same time.

        Args:
            call: what to ask for; its route must require a ticket.
            first: `ip:port` of the node that issues the ticket.
            second: `ip:port` of another node.
            due: time at which the call was due, default now.
        """
        self._calls += 1
        call_name = f"{self._name}{self._calls}"
        started = time.monotonic() if due is None else due
        ids = [f"{call_name}.0"]
        record, key = await self._request(call, call_name, ids[0], ids, first, "", started)
        self.records.append(record)
        if record.status != 428 or not key:
            return (record,)

        async def send(address: str) -> record_module.Record:
            for _ in range(1 + self._repeats):
                call_id = f"{call_name}.{len(ids)}"
                ids.append(call_id)
                found, _ = await self._request(
                    call, call_name, call_id, ids, address, key, started
                )
                self.records.append(found)
                if not _is_unknown(found):
                    break
                await asyncio.sleep(self._repeat_delay_s)
            return found

        return tuple(await asyncio.gather(send(first), send(second)))

    async def _request(
        self,
        call: call_module.Call,
        call_name: str,
        call_id: str,
        ids: list[str],
        address: str,
        key: str,
        due: float,
    ) -> tuple[record_module.Record, str]:
        """Sends one request; returns its record and the ticket that came with the answer."""
        exchange = exchange_module.Exchange(method=call.method)
        body_digest = ""
        sent = time.monotonic()
        answered: float | None = None
        error = ""
        connection: connection_module.Connection | None = None
        try:
            async with asyncio.timeout(call.timeout_ms / 1000 + _TIMEOUT_MARGIN_S):
                connection = self._pool.take_idle(address) or await self._pool.take(address)
                sent = time.monotonic()
                connection.begin(exchange, _header_section(call, call_id, key, address))
                if call.body_bytes:
                    body_digest = await _send_body(connection, call, call_name, exchange)
                await exchange.ended
            answered = time.monotonic()
        except TimeoutError:
            error = "timeout"
        except errors.ConnectionBrokenError as broken:
            error = str(broken)
        finally:
            if connection is not None:
                self._finish(address, connection, answered is not None and not error)
        headers = exchange.headers
        record = record_module.Record(
            call=call_name,
            call_id=call_id,
            kind=call.kind,
            key=key,
            target=address,
            due=due,
            sent=sent,
            answered=answered,
            status=exchange.status or None,
            outcome=headers.get("laburnumford-outcome", ""),
            reason=headers.get("laburnumford-reason", ""),
            server=headers.get("x-server", ""),
            answer_id=headers.get("x-call-id", ""),
            answer_bytes=exchange.body_bytes,
            whole=exchange.whole and exchange.framed,
            own=_is_own(call, ids, exchange, body_digest),
            error=error,
        )
        return record, headers.get("idempotency-key", "")

    def _finish(self, address: str, connection: connection_module.Connection, whole: bool) -> None:
        if whole:
            self._pool.give_back(address, connection)
        else:
            connection.close()


def _is_unknown(record: record_module.Record) -> bool:
    return record.status is None or bool(record.error) or record.outcome == "unknown"


def _header_section(call: call_module.Call, call_id: str, key: str, address: str) -> bytes:
    lines = [
        f"{call.method} {call.path} HTTP/1.1",
        f"host: {call.host or address}",
        f"x-call-id: {call_id}",
        f"x-answer-bytes: {call.answer_bytes}",
        f"laburnumford-timeout-ms: {call.timeout_ms}",
    ]
    if call.work_ms is not None:
        lines.append(f"x-work-ms: {call.work_ms:g}")
    if call.chunked_answer:
        lines.append("x-answer-framing: chunked")
    if key:
        lines.append(f"idempotency-key: {key}")
    if call.body_bytes or call.method in ("POST", "PUT", "PATCH"):
        lines.append(f"content-length: {call.body_bytes}")
    lines += [f"{name}: {value}" for name, value in call.headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def _send_body(
    connection: connection_module.Connection,
    call: call_module.Call,
    call_name: str,
    exchange: exchange_module.Exchange,
) -> str:
    """Sends the body, derived from the call, and returns its digest.

    Stops when the answer ends, which makes the rest of the body pointless.
    """
    digest = hashlib.blake2b(digest_size=content.DIGEST_BYTES)
    full, rest = divmod(call.body_bytes, content.BLOCK_BYTES)
    started = time.monotonic()
    sent = 0
    for index in range(full + (1 if rest else 0)):
        if exchange.ended.done():
            connection.close()
            break
        block = content.block(call_name, index, content.BLOCK_BYTES if index < full else rest)
        digest.update(block)
        await connection.send(block)
        sent += len(block)
        # Without a wait, a long upload would hold up the other calls of this process.
        due = 0.0 if call.body_rate is None else started + sent / call.body_rate
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    return digest.hexdigest()


def _is_own(
    call: call_module.Call,
    ids: list[str],
    exchange: exchange_module.Exchange,
    body_digest: str,
) -> bool | None:
    """Returns whether a whole answer of a backend server belongs to the call."""
    headers = exchange.headers
    if not exchange.whole or exchange.status != 200 or "laburnumford-outcome" in headers:
        return None
    expected = 0 if call.method == "HEAD" else call.answer_bytes
    if headers.get("x-call-id") not in ids or exchange.body_bytes != expected:
        return False
    return exchange.matches and headers.get("x-body-digest", "") == body_digest
