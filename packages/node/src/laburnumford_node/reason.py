"""Reasons of the answers that a node generates itself."""

import enum


class Reason(enum.Enum):
    """Names why a node answers itself: value of `laburnumford-reason`, status code and title."""

    OVERLOADED = ("overloaded", 503, "Overloaded")
    DRAINING = ("draining", 503, "Draining")
    NO_SERVER = ("no-server", 503, "No backend server available")
    NO_CONFIGURATION = ("no-configuration", 503, "No configuration in force")
    STALE_CONNECTION = ("stale-connection", 409, "Request belongs to another connection")
    DUPLICATE = ("duplicate", 409, "Duplicate request")
    IN_FLIGHT = ("in-flight", 409, "Request with this key is in flight")
    DEADLINE = ("deadline", 504, "Deadline exceeded before the request ran")
    NO_ROUTE = ("no-route", 404, "No route")
    TICKET_REQUIRED = ("ticket-required", 428, "Ticket required")
    TICKET_INVALID = ("ticket-invalid", 400, "Invalid ticket")
    TICKET_MISMATCH = ("ticket-mismatch", 422, "Ticket belongs to another request")
    TICKET_UNKNOWN = ("ticket-unknown", 409, "Outcome of this ticket is unknown")
    TICKET_OWNER_GONE = ("ticket-owner-gone", 502, "Owner of the ticket is gone")
    TICKET_DONE = ("ticket-done", 409, "Request ran; its answer was not kept")
    SERVER_FAILED = ("server-failed", 502, "Backend server failed")
    BROKEN_ANSWER = ("broken-answer", 502, "Broken answer from the backend server")
    TIMEOUT = ("timeout", 504, "No answer before the deadline")
    DEPTH = ("depth", 508, "Too many nested calls")
    BAD_REQUEST = ("bad-request", 400, "Bad request")
    HEADER_TOO_LARGE = ("header-too-large", 431, "Header section too large")
    NOT_SUPPORTED = ("not-supported", 501, "Not supported")
    INTERNAL = ("internal", 500, "Internal error")

    def __init__(self, label: str, status: int, title: str) -> None:
        self.label = label
        self.status = status
        self.title = title


BY_LABEL = {reason.label: reason for reason in Reason}
