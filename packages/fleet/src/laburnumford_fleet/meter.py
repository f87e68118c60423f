"""Counters of control traffic."""

import collections

# The two messages of a unary call take 128 and 136 bytes on the connection for payloads of 70 and
# 72 bytes, so their HTTP/2 frames take 58 and 64 bytes. A call takes three segments with its
# acknowledgement, so each message adds 1.5 segments with 66 bytes of Ethernet, IP and TCP headers
# each. An idle connection sends nothing.
MESSAGE_OVERHEAD_BYTES = 160
# A SYN and its refusal, or two unanswered SYNs.
FAILED_CONNECT_OVERHEAD_BYTES = 150
# The first call of a connection takes 430 bytes more; setup and teardown (SYN, FIN) take 7
# segments.
CONNECT_OVERHEAD_BYTES = 900
_RATE_WINDOW_S = 60.0


class Meter:
    """Counts control bytes and messages sent and received by this node."""

    def __init__(self) -> None:
        self.payload_sent = 0
        self.payload_received = 0
        self.messages_sent = 0
        self.messages_received = 0
        self.failed_connects = 0
        self.connects = 0
        self._rate_points: collections.deque[tuple[float, int, int]] = collections.deque()

    def count_sent(self, size: int) -> None:
        """Counts one message sent, with its payload in bytes."""
        self.payload_sent += size
        self.messages_sent += 1

    def count_received(self, size: int) -> None:
        """Counts one message received, with its payload in bytes."""
        self.payload_received += size
        self.messages_received += 1

    def count_failed_connect(self) -> None:
        """Counts one failed attempt to connect."""
        self.failed_connects += 1

    def count_connect(self) -> None:
        """Counts one established connection."""
        self.connects += 1

    @property
    def estimated_bytes(self) -> int:
        """Payload and estimated protocol overhead in bytes, sent and received together."""
        messages = self.messages_sent + self.messages_received
        payload = self.payload_sent + self.payload_received
        return (
            payload
            + messages * MESSAGE_OVERHEAD_BYTES
            + self.failed_connects * FAILED_CONNECT_OVERHEAD_BYTES
            + self.connects * CONNECT_OVERHEAD_BYTES
        )

    def add_rate_point(self, *, now: float) -> None:
        """Adds a point to the window over which `rates` averages; called every few seconds."""
        messages = self.messages_sent + self.messages_received
        self._rate_points.append((now, self.estimated_bytes, messages))
        while now - self._rate_points[0][0] > _RATE_WINDOW_S:
            self._rate_points.popleft()

    def rates(self, *, now: float) -> tuple[float, float]:
        """Returns the estimated bytes per second and messages per second over the last minute."""
        if not self._rate_points or now - self._rate_points[0][0] <= 0.0:
            return 0.0, 0.0
        at, size, messages = self._rate_points[0]
        total = self.messages_sent + self.messages_received
        return (self.estimated_bytes - size) / (now - at), (total - messages) / (now - at)
