"""Names of this system's header fields and of the standard fields that nodes interpret."""

CONNECTION = b"laburnumford-connection"
"""Nonce of the peer connection, from the reply to the hello."""
SENT_MS = b"laburnumford-sent-ms"
"""Milliseconds from the hello of the connection to the sending of the request."""
TIMEOUT_MS = b"laburnumford-timeout-ms"
"""Milliseconds from the sending of the request to its deadline."""
ATTEMPTS = b"laburnumford-attempts"
"""Number of resends of the call so far, over all levels of nested calls."""
DEPTH = b"laburnumford-depth"
"""Levels of calls above the request, 0 for a call from outside."""
SERVICE = b"laburnumford-service"
PRIORITY = b"laburnumford-priority"
VERSION = b"laburnumford-version"
LOAD = b"laburnumford-load"
OUTCOME = b"laburnumford-outcome"
REASON = b"laburnumford-reason"
DRAINING = b"laburnumford-draining"
TARGET = b"laburnumford-target"
NODE = b"laburnumford-node"
INCARNATION = b"laburnumford-incarnation"
IDEMPOTENCY_KEY = b"idempotency-key"
TRACEPARENT = b"traceparent"

REPLACED_AT_EACH_HOP = frozenset({TRACEPARENT, b"expect"})
"""Received fields that a node does not forward; it sends its own value or none."""

KEPT_FROM_CALLERS = frozenset({TIMEOUT_MS, ATTEMPTS, DEPTH})
"""Fields of this system that callers may set; the edge listener drops all others."""

KEPT_TOWARDS_CALLERS = frozenset({OUTCOME, REASON})
"""Fields of this system that are forwarded to callers in answers."""
