"""Names of the system's own header fields."""

CONNECTION = b"laburnumford-connection"
SENT_MS = b"laburnumford-sent-ms"
TIMEOUT_MS = b"laburnumford-timeout-ms"
ATTEMPTS = b"laburnumford-attempts"
DEPTH = b"laburnumford-depth"
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
"""Fields that each node sends with its own value, or not at all."""

KEPT_FROM_CALLERS = frozenset({TIMEOUT_MS, ATTEMPTS, DEPTH})
"""The own fields that callers may set; all others are dropped at the edge."""

KEPT_TOWARDS_CALLERS = frozenset({OUTCOME, REASON})
"""The own fields of an answer that callers see."""
