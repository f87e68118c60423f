"""Meaning of the reasons that nodes log."""

_MEANING_BY_REASON = {
    "answer-broken": "the server's response was incomplete or invalid",
    "answer-unsigned": "the server's response had no signature",
    "budget": "a retry was needed and the retry budget of the service was used up",
    "cancelled": "another attempt answered, the deadline passed or the caller disconnected",
    "deadline": "too little time was left before the caller's deadline",
    "leaving": "the node of the server was stopping",
    "memory-full": "the node of the server had no memory left for the body",
    "misdirected": "another server used the address",
    "no-configuration": "the node had no configuration yet",
    "no-room": "no server was left to ask",
    "no-server": "no server of the service was known and allowed",
    "node-error": "the node of the server failed with an unexpected error",
    "other-server": "another server used the address",
    "overloaded": "the request was expected to wait too long at the server",
    "peer-restarted": "the node of the server restarted during the attempt",
    "peer-silent": "the node of the server did not answer an offer in time",
    "peer-timeout": "the node of the server did not answer in time",
    "peer-unreachable": "the node of the server could not be reached",
    "rate-limited": "the rate limit of the server admitted the request too late",
    "refusal-unproved": "the server refused the request without stating that it had not run",
    "route-unknown-yet": "no route matched, and the node's values were too old to be sure",
    "server-down": "the server accepted no connection",
    "server-draining": "the server was about to end",
    "server-full": "the server reset the connection before the request was written",
    "server-refused": "the server itself refused the request",
    "server-timeout": "the server did not answer in time",
    "slow": "the server was in a slowdown that the sender did not know of",
    "stopping": "the node that the caller used was stopping",
    "zone-evacuated": "the zone of the server was evacuated",
}


def meaning(reason: str) -> str:
    """Returns the meaning of a reason; an unknown one is quoted."""
    return _MEANING_BY_REASON.get(reason, f"the reason {reason!r} is unknown to this release")
