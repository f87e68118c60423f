"""Learned state per service: chooser and retry budget."""

import random
from collections.abc import Callable

from laburnumford_node import latency_window, view
from laburnumford_objects import backend_server, policy, resolution, zone
from laburnumford_policy import choice
from laburnumford_policy.retry import hedge_policy as hedges
from laburnumford_policy.retry import retry_budget as budgets
from laburnumford_policy.retry import retry_policy as policies


class ServiceState:
    """What this node has learned about one service.

    Args:
        chooser: chooser of the service.
        retry_budget: budget for all resends of the service.
        retry_policy: rule that decides about each resend.
        hedge_policy: rule that decides about each second attempt beside the first.
    """

    def __init__(
        self,
        *,
        chooser: choice.Chooser,
        retry_budget: budgets.RetryBudget,
        retry_policy: policies.RetryPolicy,
        hedge_policy: hedges.HedgePolicy,
    ) -> None:
        self.chooser = chooser
        self.retry_budget = retry_budget
        self.retry_policy = retry_policy
        self.hedge_policy = hedge_policy
        self.latencies = latency_window.LatencyWindow()
        self._spare_by_name: dict[str, bool] = {}
        self.server_names: frozenset[str] = frozenset()

    def serves(self, name: str) -> bool:
        """Whether the backend server belongs to the service."""
        return name in self.server_names

    def observe_load(self, name: str, load: choice.LoadReport) -> None:
        """Takes the load that came with an answer of a backend server."""
        self._spare_by_name[name] = load.queued == 0 and load.running < load.limit

    def has_spare(self, name: str) -> bool:
        """Whether the latest report of a backend server showed a free slot."""
        return name in self.server_names and self._spare_by_name.get(name, False)


class ServiceStates:
    """Keeps the state of the services that this node calls.

    State is made on the first call to a service, since a node calls a few of the
    published services only.

    Args:
        chooser_name: name in the registry of choosers.
        zone_name: availability zone of this node.
        server_name: name of the adjacent backend server.
        current: returns the view in force.
        usable: whether the fleet's view allows sending to a backend server.
        generator: source of random numbers.
        clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        chooser_name: str,
        zone_name: str,
        server_name: str,
        current: Callable[[], view.View],
        usable: Callable[[str], bool],
        generator: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._chooser_name = chooser_name
        self._zone_name = zone_name
        self._server_name = server_name
        self._current = current
        self._usable = usable
        self._generator = generator
        self._clock = clock
        self._states_by_service: dict[str, ServiceState] = {}

    def state(self, service: str) -> ServiceState:
        """Returns the state of a published service."""
        state = self._states_by_service.get(service)
        if state is None:
            state = self._create(service)
            self._states_by_service[service] = state
        return state

    def apply(self) -> None:
        """Takes over the candidates of the view in force and of the fleet's view."""
        current = self._current()
        for service in list(self._states_by_service):
            if current.servers_of(service) is None:
                del self._states_by_service[service]
            else:
                self._apply_to(service, self._states_by_service[service])

    def known(self) -> dict[str, ServiceState]:
        """Returns the states made so far, by service."""
        return dict(self._states_by_service)

    def _create(self, service: str) -> ServiceState:
        resolved = self._policy(service)
        budget = budgets.RetryBudget(share=resolved.retry_share)
        state = ServiceState(
            chooser=choice.choosers.create(self._chooser_name, generator=self._generator),
            retry_budget=budget,
            retry_policy=policies.RetryPolicy(
                budget=budget, generator=self._generator, max_resends=resolved.max_resends
            ),
            hedge_policy=hedges.HedgePolicy(budget=budget, max_resends=resolved.max_resends),
        )
        self._apply_to(service, state)
        return state

    def _policy(self, service: str) -> policy.Policy:
        objects = self._current().objects
        name = objects.services_by_name[service].policy
        return resolution.resolve(objects.policies_by_name, name)

    def _apply_to(self, service: str, state: ServiceState) -> None:
        current = self._current()
        servers = current.servers_of(service) or ()
        usable = [s for s in servers if not s.draining and self._usable(s.name)]
        # With no server left by the fleet's view, the view is the likelier error.
        chosen = usable or list(servers)
        own_zone = current.objects.zones_by_name.get(self._zone_name)
        state.server_names = frozenset(server.name for server in chosen)
        state.chooser.apply(
            [self._candidate(server, own_zone) for server in chosen], self._clock()
        )

    def _candidate(
        self, server: backend_server.BackendServer, own_zone: zone.Zone | None
    ) -> choice.Candidate:
        distance_ms = 0.0
        if own_zone is not None and server.zone != self._zone_name:
            distance_ms = own_zone.one_way_ms_by_zone.get(server.zone, 0.0)
        return choice.Candidate(
            name=server.name,
            one_way_delay_ms=distance_ms,
            slots=server.slots,
            local=server.name == self._server_name,
        )
