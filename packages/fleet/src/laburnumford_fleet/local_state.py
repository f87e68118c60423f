"""State that this node exchanges with its neighbours."""

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
    """Holds the state that all neighbour tasks of a node share.

    Args:
        node: name of this node's server.
        incarnation: random number that identifies this run of the node.
        store: version in force.
        view: membership view.
        counter: counts control traffic.
        on_higher_version: called with node and version when a peer holds a higher version.
        on_contact: called with the name of each node that sent a message.
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
        """Returns the anti-entropy message, used as request and as answer."""
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
        """Returns the announcement of the version in force, with queued reports."""
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
        """Merges the state of a peer and its reports about other nodes."""
        now = time.monotonic()
        state = (
            report_state.ReportState.LEAVING if message.leaving else report_state.ReportState.LIVE
        )
        self.view.observe_report(
            messages.Report(message.node, message.incarnation, int(state), message.uptime_ms, 0),
            now=now,
        )
        for report in message.reports:
            # Reports of peers about this node are ignored, except that the list shows it as leaving.
            if report.server != self.node or report.state == int(
                report_state.ReportState.LISTED_LEAVING
            ):
                self.view.observe_report(report, now=now)
        if isinstance(message, messages.Exchange):
            self.sample.observe(message.samples, now=now)
        self._on_contact(message.node)
        self.observe_version(message.node, message.version)

    def observe_self(self) -> None:
        """Merges this node's own incarnation into its membership view."""
        now = time.monotonic()
        live = int(report_state.ReportState.LIVE)
        self.view.observe_report(
            messages.Report(self.node, self.incarnation, live, self._uptime_ms(now), 0), now=now
        )

    def observe_version(self, node: str, version: int) -> None:
        """Reports a version of another node that is higher than the version in force here."""
        if version > self.store.version:
            self._on_higher_version(node, version)

    def _uptime_ms(self, now: float) -> int:
        return int((now - self._started_at) * 1000.0)
