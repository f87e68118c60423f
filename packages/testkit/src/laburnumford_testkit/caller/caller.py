"""Makes calls and records their results."""

import asyncio
import hashlib
import time

from laburnumford_testkit import content, errors
from laburnumford_testkit.caller import call as call_module
from laburnumford_testkit.caller import connection as connection_module
from laburnumford_testkit.caller import exchange as exchange_module
from laburnumford_testkit.caller import pool as pool_module
from laburnumford_testkit.caller import record as record_module

# A node answers 504 at the deadline; the caller waits longer, to receive that answer.
_TIMEOUT_MARGIN_S = 1.0


class Caller:
    """Makes calls as the system expects it of its callers.

    After a 428 answer with a ticket, the caller sends the same request with the ticket. If the
    outcome of a request with a ticket is unknown, the caller retries it with the same ticket.

    Args:
        pool: pool from which connections are taken.
        name: prefix of call ids, unique among the callers of one test.
        max_retries: maximum of retries of a call after unknown outcomes.
        retry_delay_s: wait in seconds before each retry.

    Attributes:
        records: all requests in order of their end.
    """

    def __init__(
        self,
        *,
        pool: pool_module.Pool,
        name: str = "c",
        max_retries: int = 2,
        retry_delay_s: float = 0.05,
    ) -> None:
        self.records: list[record_module.Record] = []
        self._pool = pool
        self._name = name
        self._max_retries = max_retries
        self._retry_delay_s = retry_delay_s
        self._call_count = 0

    async def call(
        self, call: call_module.Call, address: str, due: float | None = None
    ) -> record_module.Record:
        """Makes a call and returns the record of its last request.

        Args:
            call: description of the call.
            address: `ip:port` of a node or a backend server.
            due: monotonic time in seconds at which the call was due; default now.
        """
        self._call_count += 1
        call_name = f"{self._name}{self._call_count}"
        call_due = time.monotonic() if due is None else due
        ticket = ""
        retries = 0
        call_ids: list[str] = []
        while True:
            call_ids.append(f"{call_name}.{len(call_ids)}")
            record, issued_ticket = await self._send_request(
                call, call_name, call_ids[-1], call_ids, address, ticket, call_due
            )
            self.records.append(record)
            if record.status == 428 and issued_ticket and not ticket:
                ticket = issued_ticket
                continue
            if not _has_unknown_outcome(record) or not ticket or retries >= self._max_retries:
                return record
            retries += 1
            await asyncio.sleep(self._retry_delay_s)

    async def call_through_two_nodes(
        self, call: call_module.Call, first: str, second: str, due: float | None = None
    ) -> tuple[record_module.Record, ...]:
        """Obtains one ticket and sends the request with it to two nodes at the same time.

        Args:
            call: description of the call, whose route must require a ticket.
            first: `ip:port` of the node that issues the ticket.
            second: `ip:port` of another node.
            due: monotonic time in seconds at which the call was due; default now.

        Returns:
            The last record of each node; only the first record if it came without a ticket.
        """
        self._call_count += 1
        call_name = f"{self._name}{self._call_count}"
        call_due = time.monotonic() if due is None else due
        call_ids = [f"{call_name}.0"]
        record, ticket = await self._send_request(
            call, call_name, call_ids[0], call_ids, first, "", call_due
        )
        self.records.append(record)
        if record.status != 428 or not ticket:
            return (record,)

        async def send(address: str) -> record_module.Record:
            for _ in range(1 + self._max_retries):
                call_id = f"{call_name}.{len(call_ids)}"
                call_ids.append(call_id)
                found, _ = await self._send_request(
                    call, call_name, call_id, call_ids, address, ticket, call_due
                )
                self.records.append(found)
                if not _has_unknown_outcome(found):
                    break
                await asyncio.sleep(self._retry_delay_s)
            return found

        return tuple(await asyncio.gather(send(first), send(second)))

    async def _send_request(
        self,
        call: call_module.Call,
        call_name: str,
        call_id: str,
        call_ids: list[str],
        address: str,
        ticket: str,
        due: float,
    ) -> tuple[record_module.Record, str]:
        """Sends one request; returns its record and the ticket in its answer, or an empty one."""
        exchange = exchange_module.Exchange(method=call.method)
        body_digest = ""
        sent = time.monotonic()
        answered: float | None = None
        error = ""
        connection: connection_module.Connection | None = None
        try:
            async with asyncio.timeout(call.timeout_ms / 1000 + _TIMEOUT_MARGIN_S):
                connection = self._pool.acquire_idle(address) or await self._pool.acquire(address)
                sent = time.monotonic()
                connection.begin(exchange, _header_section(call, call_id, ticket, address))
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
                self._release_connection(address, connection, answered is not None and not error)
        headers = exchange.headers
        record = record_module.Record(
            call=call_name,
            call_id=call_id,
            kind=call.kind,
            ticket=ticket,
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
            complete=exchange.complete and exchange.self_delimited,
            is_own_answer=_is_own_answer(call, call_ids, exchange, body_digest),
            error=error,
        )
        return record, headers.get("idempotency-key", "")

    def _release_connection(
        self, address: str, connection: connection_module.Connection, complete: bool
    ) -> None:
        if complete:
            self._pool.release(address, connection)
        else:
            connection.close()


def _has_unknown_outcome(record: record_module.Record) -> bool:
    return record.status is None or bool(record.error) or record.outcome == "unknown"


def _header_section(call: call_module.Call, call_id: str, ticket: str, address: str) -> bytes:
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
    if ticket:
        lines.append(f"idempotency-key: {ticket}")
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
    """Sends the body, whose bytes are derived from `call_name`, and returns its digest.

    Stops when the answer has ended, because the server then needs no more of the body.
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
        # Also yields to the event loop, so that a long upload does not block other calls.
        due = 0.0 if call.body_rate is None else started + sent / call.body_rate
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    return digest.hexdigest()


def _is_own_answer(
    call: call_module.Call,
    call_ids: list[str],
    exchange: exchange_module.Exchange,
    body_digest: str,
) -> bool | None:
    """Returns whether a complete answer of a backend server belongs to the call; else None."""
    headers = exchange.headers
    if not exchange.complete or exchange.status != 200 or "laburnumford-outcome" in headers:
        return None
    expected = 0 if call.method == "HEAD" else call.answer_bytes
    if headers.get("x-call-id") not in call_ids or exchange.body_bytes != expected:
        return False
    return exchange.body_matches and headers.get("x-body-digest", "") == body_digest
