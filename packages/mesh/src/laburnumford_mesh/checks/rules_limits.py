"""Rules on the limits on the requests of callers."""

from collections.abc import Iterator

from laburnumford_mesh import frames
from laburnumford_mesh.checks import object_names, registry, severity, subject, violation

_rule = registry.RULES.rule


@_rule("limit-zero", severity.Severity.ERROR)
def find_zero_limits(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds limits under which no request can be received."""
    limits = checked.candidate.limits
    for field in ("header_bytes", "header_timeout_s", "idle_timeout_s"):
        if getattr(limits, field) <= 0:
            yield violation.Violation(object_names.LIMITS, field, "0", "above 0")


@_rule("body-limit-zero", severity.Severity.WARNING)
def find_zero_body_limit(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds a limit that rejects every request with a body."""
    if checked.candidate.limits.body_bytes == 0:
        yield violation.Violation(object_names.LIMITS, "body_bytes", "0", "above 0")


@_rule("body-limit-too-large", severity.Severity.ERROR)
def find_large_body_limit(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds a limit above what a message between nodes can hold."""
    limits = checked.candidate.limits
    if limits.body_bytes + limits.header_bytes > frames.MAX_FRAME_BYTES:
        yield violation.Violation(
            object_names.LIMITS,
            "body_bytes",
            str(limits.body_bytes),
            f"with {limits.header_bytes} bytes of header at most {frames.MAX_FRAME_BYTES}",
        )


@_rule("header-timeout-above-idle-timeout", severity.Severity.WARNING)
def find_long_header_timeout(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds a connection that may stay open longer for a part of a header than without one."""
    limits = checked.candidate.limits
    if limits.header_timeout_s > limits.idle_timeout_s:
        yield violation.Violation(
            object_names.LIMITS,
            "header_timeout_s",
            f"{limits.header_timeout_s:g}",
            f"at most the idle timeout of {limits.idle_timeout_s:g} s",
        )
