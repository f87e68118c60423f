"""Answers that the edge listener and the peer listener write in the same way."""

from collections.abc import Sequence

from laburnumford_node import errors, outcome, problem
from laburnumford_node.http import client_connection, fields, request, server_connection


def write_problem(
    received: request.Request,
    connection: server_connection.ServerConnection,
    error: errors.AttemptError,
    *,
    close: bool = False,
    extra: Sequence[fields.Field] = (),
) -> None:
    """Answers with the problem details (RFC 9457) of a failed attempt.

    Args:
        received: request to answer.
        connection: connection that the request came on.
        error: a refusal or an unknown outcome.
        close: closes the connection although it could be reused.
        extra: further header fields.
    """
    if connection.answer_started:
        # Part of an answer has been sent already and must not look complete.
        connection.abort()
        return
    refused = isinstance(error, errors.RefusedError)
    close = close or not received.keep_alive or not received.body.received
    if close:
        connection.close_after_answer()
    connection.write(
        problem.encode(
            error.reason,
            outcome.Outcome.REFUSED if refused else outcome.Outcome.UNKNOWN,
            error.detail,
            close=close,
            head_only=received.method == b"HEAD",
            extra=extra,
        )
    )


def informational_forwarder(
    received: request.Request, connection: server_connection.ServerConnection
) -> client_connection.InformationalCallback | None:
    """Returns a callback that forwards 1xx answers, or None for an HTTP/1.0 caller.

    HTTP/1.0 has no 1xx answers.
    """
    if received.version != "1.1":
        return None

    def forward(status: int, head: Sequence[fields.Field]) -> None:
        connection.write_informational(
            fields.encode(problem.status_line(status), fields.forwarded(head))
        )

    return forward
