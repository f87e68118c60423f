"""Tickets that one incarnation of a node has issued."""

import collections
import dataclasses
import hashlib
import hmac
import secrets

from laburnumford_policy.admission import parameters
from laburnumford_policy.once import begin_result, begin_state, errors, kept_answer, ticket

_MAC_BYTES = 16
# Forgetting 150,000 tickets in one call after a pause blocked the event loop for 105 ms.
_MAX_FORGOTTEN_PER_CALL = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Record:
    """State of a ticket that has been used."""

    state: begin_state.BeginState
    digest: bytes
    handover: int


class TicketBook:
    """Issues tickets and remembers what became of each of them until it expires.

    A new incarnation is a new book with a new key, so a ticket of an earlier one is
    never handed over again. A book that is full issues no more tickets; it never
    forgets an unexpired one.

    Args:
        node: name of the node.
        incarnation: random 64-bit number chosen at start.
        key: key of the MAC; a random one by default.
        max_tickets: unexpired tickets.
        max_answer_bytes: size up to which an answer is kept.
        max_kept_bytes: size of all kept answers; the oldest are dropped first, and their
            tickets stay done.
        lifetime_s: seconds from issue to expiry.

    Raises:
        ParameterError: a parameter lies outside its range.
    """

    _TABLE = {
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
            "ticket book",
            self._TABLE,
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
        self._handovers = 0
        self._records_by_sequence: dict[int, _Record] = {}
        self._answers_by_sequence: dict[int, kept_answer.KeptAnswer] = {}
        self._kept_bytes = 0

    def issue(self, now: float) -> str:
        """Returns a new ticket.

        Raises:
            TicketBookFullError: there are `max_tickets` unexpired tickets.
        """
        self._advance(now)
        if len(self._issued_ms) >= self._max_tickets:
            wait_ms = self._issued_ms[0] + self._lifetime_ms - self._now_ms
            raise errors.TicketBookFullError(
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

    def begin(self, text: str, digest: bytes, now: float) -> begin_result.Begin:
        """Decides about a request that carries a ticket.

        Args:
            text: the ticket.
            digest: digest of method, target and body.
            now: monotonic time in seconds.
        """
        self._advance(now)
        try:
            parsed = ticket.parse(text)
        except errors.TicketFormatError as error:
            return begin_result.Begin(state=begin_state.BeginState.INVALID, reason=str(error))
        if parsed.node != self._node:
            return begin_result.Begin(state=begin_state.BeginState.UNKNOWN, reason="other-owner")
        if parsed.incarnation != self._incarnation:
            return begin_result.Begin(state=begin_state.BeginState.UNKNOWN, reason="restarted")
        if not hmac.compare_digest(parsed.mac, self._mac(parsed)):
            return begin_result.Begin(state=begin_state.BeginState.INVALID, reason="mac")
        if not self._unexpired(parsed):
            return begin_result.Begin(state=begin_state.BeginState.UNKNOWN, reason="expired")
        return self._begin_unexpired(parsed.sequence, digest)

    def finish(self, text: str, answer: kept_answer.KeptAnswer | None, now: float) -> bool:
        """Notes that the request was answered, and keeps the answer if it is small enough.

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

    def fail(self, text: str, now: float) -> bool:
        """Notes that the outcome of the request is unknown.

        Returns:
            Whether the ticket was in flight.

        Raises:
            TicketFormatError: the text is not a ticket.
        """
        return self._end(text, begin_state.BeginState.UNKNOWN, now) is not None

    def abandon(self, text: str, now: float, *, handover: int) -> bool:
        """Returns the ticket to fresh. Needs proof that the request did not run.

        Args:
            text: the ticket.
            now: monotonic time in seconds.
            handover: number from the `Begin` of this request. It keeps a late second call
                from releasing the ticket of a later request that may already run.

        Returns:
            Whether the ticket was in flight with this handover.

        Raises:
            TicketFormatError: the text is not a ticket.
        """
        return self._end(text, begin_state.BeginState.FRESH, now, handover) is not None

    @property
    def ticket_count(self) -> int:
        """Number of tickets that are remembered."""
        return len(self._issued_ms)

    @property
    def kept_bytes(self) -> int:
        """Size of the kept answers."""
        return self._kept_bytes

    def _begin_unexpired(self, sequence: int, digest: bytes) -> begin_result.Begin:
        record = self._records_by_sequence.get(sequence)
        if record is not None and not hmac.compare_digest(record.digest, digest):
            return begin_result.Begin(state=begin_state.BeginState.MISMATCH)
        if record is None or record.state is begin_state.BeginState.FRESH:
            self._handovers += 1
            self._records_by_sequence[sequence] = _Record(
                state=begin_state.BeginState.IN_FLIGHT, digest=digest, handover=self._handovers
            )
            return begin_result.Begin(state=begin_state.BeginState.FRESH, handover=self._handovers)
        return begin_result.Begin(
            state=record.state, answer=self._answers_by_sequence.get(sequence)
        )

    def _end(
        self, text: str, state: begin_state.BeginState, now: float, handover: int | None = None
    ) -> int | None:
        """Ends a request in flight and returns its sequence number."""
        self._advance(now)
        parsed = ticket.parse(text)
        if parsed.node != self._node or parsed.incarnation != self._incarnation:
            return None
        if not hmac.compare_digest(parsed.mac, self._mac(parsed)):
            return None
        record = self._records_by_sequence.get(parsed.sequence)
        if record is None or record.state is not begin_state.BeginState.IN_FLIGHT:
            return None
        if handover is not None and handover != record.handover:
            return None
        self._records_by_sequence[parsed.sequence] = dataclasses.replace(record, state=state)
        return parsed.sequence

    def _mac(self, unsigned: ticket.Ticket) -> bytes:
        return hashlib.blake2b(
            unsigned.signed_text.encode(), key=self._key, digest_size=_MAC_BYTES
        ).digest()

    def _unexpired(self, authentic: ticket.Ticket) -> bool:
        # The time is checked as well because forgetting is bounded and may lag behind.
        return (
            authentic.sequence >= self._first_sequence
            and authentic.issued_ms + self._lifetime_ms > self._now_ms
        )

    def _advance(self, now: float) -> None:
        """Forgets expired tickets. Time never goes back, so an expired one stays expired."""
        self._now_ms = max(self._now_ms, int(now * 1000))
        for _ in range(_MAX_FORGOTTEN_PER_CALL):
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
