"""Generates the reference page of the reasons of answers that a node generates itself.

Run as ``python -m laburnumford_node.reference`` in the root of the repository.
"""

import argparse
import pathlib
import re

from laburnumford_node import reason

_PAGE_NAME = "reasons.md"
_GENERATED_NOTE = "<!-- Written by python -m laburnumford_node.reference; do not edit. -->"
_INTRODUCTION = """\
Every answer that a node generates itself names its reason in the header `laburnumford-reason` and
has problem details (RFC 9457) as its body. The header `laburnumford-outcome` alone says whether the
request ran: `refused` means that it did not run and never will, `unknown` that it may have run.
The table lists the usual outcome. If an earlier attempt may have run the request, the outcome is
`unknown` with every reason."""
_TABLE_HEAD = (
    "| reason | status | title | usual outcome | cause | what to do |\n|---|---|---|---|---|---|"
)
_Reason = reason.Reason
# Usual outcome, cause, and advice for callers and operators.
_DESCRIPTION_BY_REASON: dict[reason.Reason, tuple[str, str, str]] = {
    _Reason.OVERLOADED: (
        "refused",
        "No slot and no place in a queue was free, or the backend server refused.",
        "Caller: retry later with backoff. Operator: see Overload.",
    ),
    _Reason.DRAINING: (
        "refused",
        "The node or its backend server accepts no new requests.",
        "Caller: retry at another node.",
    ),
    _Reason.NO_SERVER: (
        "refused",
        "No published backend server of the service can be reached.",
        "Operator: compare the group with `explain` and the silent nodes of `status`.",
    ),
    _Reason.NO_CONFIGURATION: (
        "refused",
        "The node has started and has not received a version yet.",
        "Operator: check the head on the platform, `platform_url` and `control_seeds`.",
    ),
    _Reason.STALE_CONNECTION: (
        "refused",
        "A request between nodes was sent for another connection.",
        "Nothing; the sending node handles it.",
    ),
    _Reason.DUPLICATE: ("refused", "Reserved for duplicate requests.", "-"),
    _Reason.IN_FLIGHT: (
        "unknown",
        "An earlier request with this ticket has not ended.",
        "Caller: wait, then retry with the same ticket.",
    ),
    _Reason.DEADLINE: (
        "refused",
        "The remaining time ended, or would end, before the request ran.",
        "Caller: allow more time. Operator: if frequent, see Overload.",
    ),
    _Reason.NO_ROUTE: (
        "refused",
        "No route matches method, host and path.",
        "Caller: correct the request. Operator: check the routes in force.",
    ),
    _Reason.TICKET_REQUIRED: (
        "refused",
        "The route takes only requests with a ticket.",
        "Caller: send the request again with the `idempotency-key` of this answer.",
    ),
    _Reason.TICKET_INVALID: (
        "refused",
        "The key is not a ticket, or this node did not issue it.",
        "Caller: use a new ticket, unless the outcome of a request with this key is unknown.",
    ),
    _Reason.TICKET_MISMATCH: (
        "refused",
        "The ticket was first used with another method, target or body.",
        "Caller: use one ticket for one request.",
    ),
    _Reason.TICKET_UNKNOWN: (
        "unknown",
        "The ticket is older than 15 minutes, or the outcome of its first request is unknown.",
        "Caller: look up the outcome first; never retry with another ticket before that.",
    ),
    _Reason.TICKET_OWNER_GONE: (
        "unknown",
        "The node that issued the ticket has restarted or cannot be reached.",
        "Caller: as for `ticket-unknown`; an unreachable owner can become reachable again.",
    ),
    _Reason.TICKET_DONE: (
        "unknown",
        "The request ran to its end, but its answer was too large to keep.",
        "Caller: look up the result.",
    ),
    _Reason.SERVER_FAILED: (
        "refused or unknown",
        "No connection to the backend server (refused), or it was lost later (unknown).",
        "Operator: check the backend server.",
    ),
    _Reason.BROKEN_ANSWER: (
        "unknown",
        "The answer of the backend server was truncated or invalid.",
        "Operator: check the backend server.",
    ),
    _Reason.TIMEOUT: (
        "unknown",
        "The request was sent and no answer came before the deadline.",
        "Caller: retry only if idempotent or with the same ticket.",
    ),
    _Reason.DEPTH: (
        "refused",
        "The request is nested 18 calls deep.",
        "Operator: look for services that call each other in a cycle.",
    ),
    _Reason.BAD_REQUEST: (
        "refused",
        "The request is not valid HTTP/1.1, or its framing could allow request smuggling.",
        "Caller: correct the request.",
    ),
    _Reason.HEADER_TOO_LARGE: (
        "refused",
        "The header section is larger than `limits.header_bytes`.",
        "Caller: send fewer or shorter fields.",
    ),
    _Reason.NOT_SUPPORTED: (
        "refused",
        "The request uses CONNECT or Upgrade.",
        "Caller: use plain HTTP/1.1.",
    ),
    _Reason.INTERNAL: ("refused", "Reserved for internal errors of the node.", "-"),
}


def page() -> str:
    """Returns the text of the page."""
    sent = _sent_reasons()
    rows = [_row(entry, entry in sent) for entry in reason.Reason]
    return (
        "\n\n".join([_GENERATED_NOTE, "# Reasons", _INTRODUCTION, "\n".join([_TABLE_HEAD, *rows])])
        + "\n"
    )


def write(folder: pathlib.Path) -> None:
    """Writes the page to a folder, which is created if needed."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / _PAGE_NAME).write_text(page(), encoding="utf-8")


def _row(entry: reason.Reason, sent: bool) -> str:
    outcome, cause, advice = _DESCRIPTION_BY_REASON[entry]
    cells = [
        f"`{entry.label}`",
        str(entry.status),
        entry.title,
        outcome if sent else "not sent by this release",
        cause,
        advice,
    ]
    return "| " + " | ".join(cells) + " |"


def _sent_reasons() -> frozenset[reason.Reason]:
    """Returns the reasons that the code of this package names outside its tests."""
    own = pathlib.Path(__file__)
    names = {
        name
        for path in own.parent.rglob("*.py")
        if path.name not in (own.name, "reason.py") and "tests" not in path.parts
        for name in re.findall(r"\breason\.Reason\.([A-Z_]+)", path.read_text(encoding="utf-8"))
    }
    return frozenset(entry for entry in reason.Reason if entry.name in names)


def main() -> None:
    """Writes the page to the folder that the command line names."""
    parser = argparse.ArgumentParser(description="Writes the reference page of the reasons.")
    parser.add_argument("--out", type=pathlib.Path, default=pathlib.Path("docs/reference"))
    write(parser.parse_args().out)


if __name__ == "__main__":
    main()
