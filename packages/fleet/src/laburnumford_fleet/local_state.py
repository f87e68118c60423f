"""What this node tells its neighbours and learns from them."""

import time
from collections.abc import Callable

from laburnumford_fleet import (
    membership,
    messages,
    meter,
    report_state,
    sample,
    version_store,
)


class LocalState:
    """State that all neighbour tasks of a node share.

    Args:
        node: name of this node's server.
        incarnation: random number that identifies this run of the process.
        store: version in force.
        view: membership view.
        counter: counts control traffic.
        on_ahead: called with node and version when a peer has a higher version.
        on_contact: called with a node's name when it sent a message.
    """

    def __init__(
        self,
        *,
        node: str,
        incarnation: int,
        store: version_store.VersionStore,
        view: membership.Membership,
        counter: meter.Meter,
        on_higher_version: Callable[[str, int], None],
        on_contact: Callable[[str], None],
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.store = store
        self.view = view
        self.counter = counter
        self.sample = sample.VersionSample(node=node)
        self.leaving = False
        self._on_higher_version = on_higher_version
        self._on_contact = on_contact
        self._started_at = time.monotonic()

    def exchange_message(self) -> messages.Exchange:
        """Returns the anti-entropy message to send or to answer with."""
        now = time.monotonic()
        self.sample.set_own_version(version=self.store.version)
        return messages.Exchange(
            self.node,
            self.incarnation,
            self._uptime_ms(now),
            self.store.version,
            self.store.digest,
            self.leaving,
            self.sample.entries(now=now),
            self.view.reports(limit=messages.MAX_REPORTS, now=now),
        )

    def announce_message(self) -> messages.Announce:
        """Returns the announcement of the version in force, with waiting reports."""
        now = time.monotonic()
        return messages.Announce(
            self.node,
            self.incarnation,
            self._uptime_ms(now),
            self.store.version,
            self.store.digest,
            self.leaving,
            self.view.reports(limit=messages.MAX_REPORTS, now=now),
        )

    def observe(self, message: messages.Exchange | messages.Announce) -> None:
        """Merges what a peer says about itself and about others."""
        now = time.monotonic()
        state = (
            report_state.ReportState.LEAVING if message.leaving else report_state.ReportState.LIVE
        )
        self.view.observe_report(
            messages.Report(message.node, message.incarnation, int(state), message.uptime_ms, 0),
            now=now,
        )
        for report in message.reports:
            # Only this node speaks for itself, but it may learn that the list shows it as leaving.
            if report.server != self.node or report.state == int(
                report_state.ReportState.LISTED_LEAVING
            ):
                self.view.observe_report(report, now=now)
        if isinstance(message, messages.Exchange):
            self.sample.observe(message.samples, now=now)
        self._on_contact(message.node)
        self.observe_version(message.node, message.version)

    def observe_self(self) -> None:
        """Merges this node's own incarnation into its view."""
        now = time.monotonic()
        live = int(report_state.ReportState.LIVE)
        self.view.observe_report(
            messages.Report(self.node, self.incarnation, live, self._uptime_ms(now), 0), now=now
        )

    def observe_version(self, node: str, version: int) -> None:
        """Takes over the version in force at another node."""
        if version > self.store.version:
            self._on_higher_version(node, version)

    def _uptime_ms(self, now: float) -> int:
        return int((now - self._started_at) * 1000.0)
