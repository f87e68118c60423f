"""State of the tickets that one incarnation of a node has issued."""

import collections
import dataclasses
import hashlib
import hmac
import secrets

from laburnumford_policy.admission import parameters
from laburnumford_policy.once import begin_result, begin_state, errors, kept_answer, ticket

_MAC_BYTES = 16
# Removing 150,000 expired tickets in one call after a pause blocked the event loop for 105 ms.
_MAX_EXPIRED_PER_CALL = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Record:
    """State of a ticket that a request has used."""

    state: begin_state.BeginState
    digest: bytes
    dispatch_id: int


class TicketStore:
    """Issues tickets and stores the state of each of them until it expires.

    A new incarnation has a new store with a new key, so a request with a ticket of an
    earlier incarnation is never dispatched again. A full store issues no more tickets;
    it never removes an unexpired one.

    Args:
        node: name of the node.
        incarnation: random 64-bit number that the node chooses when it starts.
        key: key of the MAC; a random one by default.
        max_tickets: highest number of unexpired tickets.
        max_answer_bytes: size in bytes up to which an answer is kept.
        max_kept_bytes: highest total size of the kept answers in bytes; the oldest are dropped
            first, and their tickets stay done.
        lifetime_s: seconds from issue to expiry.

    Raises:
        ParameterError: a parameter lies outside its range.
    """

    _PARAMETER_RANGES = {
        "incarnation": parameters.Range(lowest=0, highest=2**64 - 1, whole=True),
        "max_tickets": parameters.Range(lowest=1, whole=True),
        "max_answer_bytes": parameters.Range(lowest=0, whole=True),
        "max_kept_bytes": parameters.Range(lowest=0, whole=True),
        "lifetime_s": parameters.Range(lowest=0.001),
    }

    def __init__(
        self,
        *,
        node: str,
        incarnation: int,
        key: bytes | None = None,
        max_tickets: int = 150_000,
        max_answer_bytes: int = 16_384,
        max_kept_bytes: int = 33_554_432,
        lifetime_s: float = 900.0,
    ) -> None:
        parameters.check(
            "ticket store",
            self._PARAMETER_RANGES,
            {
                "incarnation": incarnation,
                "max_tickets": max_tickets,
                "max_answer_bytes": max_answer_bytes,
                "max_kept_bytes": max_kept_bytes,
                "lifetime_s": lifetime_s,
            },
        )
        self._node = node
        self._incarnation = incarnation
        self._key = secrets.token_bytes(32) if key is None else key
        self._max_tickets = max_tickets
        self._max_answer_bytes = max_answer_bytes
        self._max_kept_bytes = max_kept_bytes
        self._lifetime_ms = round(lifetime_s * 1000)
        self._now_ms = 0
        # Tickets expire in the order of their sequence numbers.
        self._issued_ms: collections.deque[int] = collections.deque()
        self._first_sequence = 1
        self._dispatch_count = 0
        self._records_by_sequence: dict[int, _Record] = {}
        self._answers_by_sequence: dict[int, kept_answer.KeptAnswer] = {}
        self._kept_bytes = 0

    def issue(self, now: float) -> str:
        """Returns the text of a new ticket.

        Raises:
            TicketStoreFullError: there are `max_tickets` unexpired tickets.
        """
        self._advance(now)
        if len(self._issued_ms) >= self._max_tickets:
            wait_ms = self._issued_ms[0] + self._lifetime_ms - self._now_ms
            raise errors.TicketStoreFullError(
                # Callers get this text as the detail of an answer; its wording stays.
                f"ticket book of node {self._node!r} holds {len(self._issued_ms)} tickets; "
                f"allowed: {self._max_tickets}; the next expires in {wait_ms} ms"
            )
        issued = ticket.Ticket(
            node=self._node,
            incarnation=self._incarnation,
            issued_ms=self._now_ms,
            sequence=self._first_sequence + len(self._issued_ms),
            mac=b"",
        )
        self._issued_ms.append(self._now_ms)
        return dataclasses.replace(issued, mac=self._mac(issued)).text

    def begin(self, text: str, digest: bytes, now: float) -> begin_result.BeginResult:
        """Returns the state of a ticket and marks a fresh one as in flight.

        Args:
            text: text of the ticket.
            digest: digest of the request's method, target and body.
            now: monotonic time in seconds.
        """
        self._advance(now)
        try:
            parsed = ticket.parse(text)
        except errors.TicketFormatError as error:
            return begin_result.BeginResult(
                state=begin_state.BeginState.INVALID, reason=str(error)
            )
        if parsed.node != self._node:
            return begin_result.BeginResult(
                state=begin_state.BeginState.UNKNOWN, reason="other-owner"
            )
        if parsed.incarnation != self._incarnation:
            return begin_result.BeginResult(
                state=begin_state.BeginState.UNKNOWN, reason="restarted"
            )
        if not hmac.compare_digest(parsed.mac, self._mac(parsed)):
            return begin_result.BeginResult(state=begin_state.BeginState.INVALID, reason="mac")
        if not self._is_unexpired(parsed):
            return begin_result.BeginResult(state=begin_state.BeginState.UNKNOWN, reason="expired")
        return self._begin_unexpired(parsed.sequence, digest)

    def finish(self, text: str, answer: kept_answer.KeptAnswer | None, now: float) -> bool:
        """Records that the request was answered, and keeps the answer if it is small enough.

        Returns:
            Whether the ticket was in flight.

        Raises:
            TicketFormatError: the text is not a ticket.
        """
        sequence = self._end(text, begin_state.BeginState.DONE, now)
        if sequence is None:
            return False
        if answer is not None and answer.size <= min(self._max_answer_bytes, self._max_kept_bytes):
            self._answers_by_sequence[sequence] = answer
            self._kept_bytes += answer.size
            while self._kept_bytes > self._max_kept_bytes:
                self._drop_answer(next(iter(self._answers_by_sequence)))
        return True

    def mark_unknown(self, text: str, now: float) -> bool:
        """Records that the outcome of the request is unknown.

        Returns:
            Whether the ticket was in flight.

        Raises:
            TicketFormatError: the text is not a ticket.
        """
        return self._end(text, begin_state.BeginState.UNKNOWN, now) is not None

    def release(self, text: str, now: float, *, dispatch_id: int) -> bool:
        """Makes the ticket fresh again. The caller needs proof that the request did not run.

        Args:
            text: text of the ticket.
            now: monotonic time in seconds.
            dispatch_id: number from the `BeginResult` of this request. It prevents a late
                second call from releasing the ticket of a later request that may run already.

        Returns:
            Whether the ticket was in flight with this dispatch id.

        Raises:
            TicketFormatError: the text is not a ticket.
        """
        return self._end(text, begin_state.BeginState.FRESH, now, dispatch_id) is not None

    @property
    def ticket_count(self) -> int:
        """Number of stored tickets; some of them may have expired."""
        return len(self._issued_ms)

    @property
    def kept_bytes(self) -> int:
        """Total size of the kept answers in bytes."""
        return self._kept_bytes

    def _begin_unexpired(self, sequence: int, digest: bytes) -> begin_result.BeginResult:
        record = self._records_by_sequence.get(sequence)
        if record is not None and not hmac.compare_digest(record.digest, digest):
            return begin_result.BeginResult(state=begin_state.BeginState.MISMATCH)
        if record is None or record.state is begin_state.BeginState.FRESH:
            self._dispatch_count += 1
            self._records_by_sequence[sequence] = _Record(
                state=begin_state.BeginState.IN_FLIGHT,
                digest=digest,
                dispatch_id=self._dispatch_count,
            )
            return begin_result.BeginResult(
                state=begin_state.BeginState.FRESH, dispatch_id=self._dispatch_count
            )
        return begin_result.BeginResult(
            state=record.state, answer=self._answers_by_sequence.get(sequence)
        )

    def _end(
        self, text: str, state: begin_state.BeginState, now: float, dispatch_id: int | None = None
    ) -> int | None:
        """Ends a request in flight; returns its sequence number, or None if none matches."""
        self._advance(now)
        parsed = ticket.parse(text)
        if parsed.node != self._node or parsed.incarnation != self._incarnation:
            return None
        if not hmac.compare_digest(parsed.mac, self._mac(parsed)):
            return None
        record = self._records_by_sequence.get(parsed.sequence)
        if record is None or record.state is not begin_state.BeginState.IN_FLIGHT:
            return None
        if dispatch_id is not None and dispatch_id != record.dispatch_id:
            return None
        self._records_by_sequence[parsed.sequence] = dataclasses.replace(record, state=state)
        return parsed.sequence

    def _mac(self, unsigned: ticket.Ticket) -> bytes:
        return hashlib.blake2b(
            unsigned.signed_text.encode(), key=self._key, digest_size=_MAC_BYTES
        ).digest()

    def _is_unexpired(self, authentic: ticket.Ticket) -> bool:
        # The time is checked as well, because the removal of expired tickets is bounded per call
        # and may lag behind.
        return (
            authentic.sequence >= self._first_sequence
            and authentic.issued_ms + self._lifetime_ms > self._now_ms
        )

    def _advance(self, now: float) -> None:
        """Removes expired tickets. The time never goes back, so an expired ticket stays expired."""
        self._now_ms = max(self._now_ms, int(now * 1000))
        for _ in range(_MAX_EXPIRED_PER_CALL):
            if not self._issued_ms or self._issued_ms[0] + self._lifetime_ms > self._now_ms:
                return
            self._issued_ms.popleft()
            self._records_by_sequence.pop(self._first_sequence, None)
            self._drop_answer(self._first_sequence)
            self._first_sequence += 1

    def _drop_answer(self, sequence: int) -> None:
        answer = self._answers_by_sequence.pop(sequence, None)
        if answer is not None:
            self._kept_bytes -= answer.size
