"""Faults of answers, which violate P2 (complete own answer) or P3 (refused never ran)."""

from typing import Any

from laburnumford_node import dispatch, errors, exchange
from laburnumford_node.http import client_connection
from laburnumford_testkit.backend import fault as backend_fault
from laburnumford_testkit.caller import call
from laburnumford_testkit.controls import fault, trial
from laburnumford_testkit.judge import invariant


@fault.faults.register("reports-unknown-as-refused")
class ReportsUnknownAsRefused(fault.Fault):
    """A node reports a request that may have run as refused."""

    invariant = invariant.Invariant.REFUSED_NEVER_RAN
    setup = trial.Setup(services=("hallmark-issuing",))

    def install(self) -> None:
        """Turns the error that a caller gets into a refusal with the same reason."""

        def to_refusal(error: errors.AttemptError, _: bool) -> errors.AttemptError:
            return errors.RefusedError(error.reason, error.detail)

        fault.replace(dispatch, "_error_for_caller", to_refusal)

    async def apply_load(self, active_trial: trial.Trial) -> None:
        """Sends bookings while servers close connections after they ran the request."""
        await active_trial.set_server_faults(
            backend_fault.Fault(kind=backend_fault.FaultKind.CLOSE, share=0.3)
        )
        await active_trial.send_calls(BOOKING, rate_per_s=60.0, duration_s=1.5)


@fault.faults.register("reuses-unread-connection")
class ReusesUnreadConnection(fault.Fault):
    """A node sends the next request on a connection whose last answer has not been read."""

    invariant = invariant.Invariant.COMPLETE_OWN_ANSWER
    setup = trial.Setup(services=("assay-results",))

    def install(self) -> None:
        """Keeps connections of abandoned exchanges open and reusable."""

        def abandon(self: Any) -> None:
            if not self._ended:
                self._ended = True
                self._release(False)

        def reusable(self: Any) -> bool:
            return not self._lost and not self._transport.is_closing()

        fault.replace(exchange.Exchange, "abandon", abandon)
        fault.replace(client_connection.ClientConnection, "reusable", property(reusable))

    async def apply_load(self, active_trial: trial.Trial) -> None:
        """Sends lookups while some answers arrive after the deadline of their request."""
        await active_trial.set_server_faults(
            backend_fault.Fault(kind=backend_fault.FaultKind.LATE, share=0.3, delay_s=0.25)
        )
        lookup = call.Call(path="/assay-results/bars/7", timeout_ms=150, work_ms=2.0)
        await active_trial.send_calls(lookup, rate_per_s=150.0, duration_s=2.0)


@fault.faults.register("ends-truncated-answer")
class EndsTruncatedAnswer(fault.Fault):
    """A node forwards a truncated answer as if it were complete."""

    invariant = invariant.Invariant.COMPLETE_OWN_ANSWER
    setup = trial.Setup(services=("assay-results",))

    def install(self) -> None:
        """Ends the body of an answer regularly when its connection is lost."""
        original_fail = client_connection.ClientConnection._fail

        def fail(self: Any, error: Exception) -> None:
            if self._body is not None and not self._answer_ended:
                self._body.finish()
            original_fail(self, error)

        fault.replace(client_connection.ClientConnection, "_fail", fail)

    async def apply_load(self, active_trial: trial.Trial) -> None:
        """Requests chunked answers, some of which the servers truncate after half of the bytes.

        A chunked answer has no length by which a caller could notice the missing half.
        """
        await active_trial.set_server_faults(
            backend_fault.Fault(kind=backend_fault.FaultKind.TRUNCATE, share=0.3)
        )
        lookup = call.Call(
            path="/assay-results/bars/7", answer_bytes=20_000, chunked_answer=True, timeout_ms=500
        )
        await active_trial.send_calls(lookup, rate_per_s=80.0, duration_s=1.5)


BOOKING = call.Call(
    kind="booking", method="POST", path="/hallmarks", body_bytes=300, timeout_ms=2000, work_ms=2.0
)
