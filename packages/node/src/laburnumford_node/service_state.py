"""State that a node keeps for each service: chooser, retry budget, latencies and load."""

import random
from collections.abc import Callable

from laburnumford_node import latency_window, view
from laburnumford_objects import backend_server, policy, resolution, zone
from laburnumford_policy import choice
from laburnumford_policy.retry import hedge_policy as hedges
from laburnumford_policy.retry import retry_budget as budgets
from laburnumford_policy.retry import retry_policy as policies


class ServiceState:
    """Holds the chooser, the resend policies and the observations of one service.

    Args:
        chooser: chooses a backend server for each attempt.
        retry_budget: budget for all resends of the service.
        retry_policy: decides whether a failed call is sent again.
        hedge_policy: decides whether a slow call gets a second, concurrent attempt.
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
        self._free_slot_by_name: dict[str, bool] = {}
        self.server_names: frozenset[str] = frozenset()

    def serves(self, name: str) -> bool:
        """Returns whether the backend server is a candidate for calls to the service."""
        return name in self.server_names

    def observe_load(self, name: str, load: choice.LoadReport) -> None:
        """Records the load report that came with an answer of a backend server."""
        self._free_slot_by_name[name] = load.queued == 0 and load.running < load.limit

    def has_free_slot(self, name: str) -> bool:
        """Returns whether the latest load report of a backend server showed a free slot."""
        return name in self.server_names and self._free_slot_by_name.get(name, False)


class ServiceStates:
    """Keeps the state of the services that this node calls.

    The state of a service is created on the first call to it, since a node calls only a
    few of the published services.

    Args:
        chooser_name: name in the registry of choosers.
        zone_name: availability zone of this node.
        server_name: name of the adjacent backend server.
        current_view: returns the view in force.
        usable: returns whether the fleet's view allows sending to a backend server.
        generator: source of random numbers.
        clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        chooser_name: str,
        zone_name: str,
        server_name: str,
        current_view: Callable[[], view.View],
        usable: Callable[[str], bool],
        generator: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._chooser_name = chooser_name
        self._zone_name = zone_name
        self._server_name = server_name
        self._current_view = current_view
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
        """Updates the candidates of each service from the view in force and the fleet's view."""
        current_view = self._current_view()
        for service in list(self._states_by_service):
            if current_view.servers_of(service) is None:
                del self._states_by_service[service]
            else:
                self._apply_to(service, self._states_by_service[service])

    def states_by_service(self) -> dict[str, ServiceState]:
        """Returns the states created so far by name of the service."""
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
        objects = self._current_view().objects
        name = objects.services_by_name[service].policy
        return resolution.resolve(objects.policies_by_name, name)

    def _apply_to(self, service: str, state: ServiceState) -> None:
        current_view = self._current_view()
        servers = current_view.servers_of(service) or ()
        usable = [s for s in servers if not s.draining and self._usable(s.name)]
        # If the fleet's view leaves no server, a wrong view is more likely than the loss of all
        # servers, so all of them stay candidates.
        candidates = usable or list(servers)
        own_zone = current_view.objects.zones_by_name.get(self._zone_name)
        state.server_names = frozenset(server.name for server in candidates)
        state.chooser.apply(
            [self._candidate(server, own_zone) for server in candidates], self._clock()
        )

    def _candidate(
        self, server: backend_server.BackendServer, own_zone: zone.Zone | None
    ) -> choice.Candidate:
        one_way_delay_ms = 0.0
        if own_zone is not None and server.zone != self._zone_name:
            one_way_delay_ms = own_zone.one_way_ms_by_zone.get(server.zone, 0.0)
        return choice.Candidate(
            name=server.name,
            one_way_delay_ms=one_way_delay_ms,
            slots=server.slots,
            local=server.name == self._server_name,
        )
