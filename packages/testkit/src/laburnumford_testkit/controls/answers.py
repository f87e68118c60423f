"""Faults of answers: P2 and P3."""

from typing import Any

from laburnumford_node import dispatch, errors, exchange
from laburnumford_node.http import client_connection
from laburnumford_testkit.backend import fault as backend_fault
from laburnumford_testkit.caller import call
from laburnumford_testkit.controls import fault, trial
from laburnumford_testkit.judge import invariant


@fault.faults.register("reports-unknown-as-refused")
class ReportsUnknownAsRefused(fault.Fault):
    """A request that may have run is reported as refused."""

    invariant = invariant.Invariant.REFUSED_NEVER_RAN
    setup = trial.Setup(services=("hallmark-issuing",))

    def install(self) -> None:
        """Makes every final error of a call a refusal."""

        def final(error: errors.AttemptError, _: bool) -> errors.AttemptError:
            return errors.RefusedError(error.reason, error.detail)

        fault.replace(dispatch, "_error_for_caller", final)

    async def apply_load(self, running: trial.Trial) -> None:
        """Books while servers close connections after they ran the request."""
        await running.set_server_faults(
            backend_fault.Fault(kind=backend_fault.FaultKind.CLOSE, share=0.3)
        )
        await running.call(BOOKING, rate_per_s=60.0, duration_s=1.5)


@fault.faults.register("reuses-unread-connection")
class ReusesUnreadConnection(fault.Fault):
    """A connection whose answer has not been read carries the next request."""

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

    async def apply_load(self, running: trial.Trial) -> None:
        """Looks up while some answers come after the deadline of their request."""
        await running.set_server_faults(
            backend_fault.Fault(kind=backend_fault.FaultKind.LATE, share=0.3, delay_s=0.25)
        )
        lookup = call.Call(path="/assay-results/bars/7", timeout_ms=150, work_ms=2.0)
        await running.call(lookup, rate_per_s=150.0, duration_s=2.0)


@fault.faults.register("ends-truncated-answer")
class EndsTruncatedAnswer(fault.Fault):
    """An answer that breaks off is passed on with a regular end."""

    invariant = invariant.Invariant.COMPLETE_OWN_ANSWER
    setup = trial.Setup(services=("assay-results",))

    def install(self) -> None:
        """Ends the body of an answer when its connection is lost."""
        intact = client_connection.ClientConnection._fail

        def fail(self: Any, error: Exception) -> None:
            if self._body is not None and not self._answer_ended:
                self._body.finish()
            intact(self, error)

        fault.replace(client_connection.ClientConnection, "_fail", fail)

    async def apply_load(self, running: trial.Trial) -> None:
        """Asks for chunked answers, half of which some servers send."""
        await running.set_server_faults(
            backend_fault.Fault(kind=backend_fault.FaultKind.TRUNCATE, share=0.3)
        )
        lookup = call.Call(
            path="/assay-results/bars/7", answer_bytes=20_000, chunked_answer=True, timeout_ms=500
        )
        await running.call(lookup, rate_per_s=80.0, duration_s=1.5)


BOOKING = call.Call(
    kind="booking", method="POST", path="/hallmarks", body_bytes=300, timeout_ms=2000, work_ms=2.0
)
