"""Answers that both listeners write in the same way."""

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
    """Answers with the problem that an error stands for.

    Args:
        received: request that is answered.
        connection: connection of the request.
        error: a refusal, or an unknown outcome.
        close: closes the connection although it could be reused.
        extra: further header fields.
    """
    if connection.answer_started:
        # A part of an answer is out already, which must not look complete.
        connection.abort()
        return
    refused = isinstance(error, errors.RefusedError)
    close = close or not received.keep_alive or not received.body.received
    if close:
        connection.close_after_answer()
    connection.write(
        problem.encode(
            error.why,
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
    """Returns a function that passes 1xx answers on, or None if the caller reads none."""
    if received.version != "1.1":
        return None

    def forward(status: int, head: Sequence[fields.Field]) -> None:
        connection.write_informational(
            fields.encode(problem.start_line(status), fields.forwarded(head))
        )

    return forward
