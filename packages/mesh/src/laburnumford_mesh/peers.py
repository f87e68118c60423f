"""Keeps a peer for each other node, by the IP address of its VM."""

import asyncio
import random
from collections.abc import Callable, Mapping

from laburnumford_mesh import clock, frames, peer
from laburnumford_mesh.http import buffer_budget
from laburnumford_policy.placement import spread

_UNLISTED_PEER_TTL_S = 5.0
"""Seconds since its last datagram for which a node counts as alive although no server entry names
its VM."""


class Peers:
    """Opens streams to other nodes on demand.

    Args:
        own_ip: IP address of this VM.
        own_zone: availability zone of this VM.
        port: port on which all nodes listen for peers.
        incarnation: random number of this start of the node.
        generator: source of random numbers.
        budget: limit on the bodies that the process holds.
        on_pull_response: called with the IP address of a node and its answer to a pull.
        on_go_away: called with the IP address of a node that announces its stop.
        on_suspect: called with the IP address of a node that does not answer a ping in time.
        on_round_trip: called with the IP address of a node and the round trip to it in seconds.
    """

    def __init__(
        self,
        *,
        own_ip: str,
        own_zone: str,
        port: int,
        incarnation: int,
        generator: random.Random,
        budget: buffer_budget.BufferBudget,
        on_pull_response: Callable[[str, frames.PullResponse], None],
        on_go_away: Callable[[str], None],
        on_suspect: Callable[[str], None],
        on_round_trip: Callable[[str, float], None] | None = None,
    ) -> None:
        self._own_ip = own_ip
        self._own_zone = own_zone
        self._port = port
        self._incarnation = incarnation
        self._generator = generator
        self._budget = budget
        self._on_pull_response = on_pull_response
        self._on_go_away = on_go_away
        self._on_suspect = on_suspect
        self._on_round_trip = on_round_trip
        self._peer_by_ip: dict[str, peer.Peer] = {}
        self._listed_ips: frozenset[str] = frozenset()
        self._same_zone_ips: list[str] = []
        self._other_zone_ips: list[str] = []
        self._last_datagram_s_by_ip: dict[str, float] = {}

    @property
    def count(self) -> int:
        """Number of nodes with a server entry, without this one."""
        return len(self._listed_ips)

    def apply(self, zone_by_ip: Mapping[str, str]) -> None:
        """Replaces the list of VMs with a backend server.

        Args:
            zone_by_ip: availability zone of each VM by its IP address.
        """
        self._listed_ips = frozenset(zone_by_ip) - {self._own_ip}
        ordered = sorted(self._listed_ips)
        self._same_zone_ips = [ip for ip in ordered if zone_by_ip[ip] == self._own_zone]
        self._other_zone_ips = [ip for ip in ordered if zone_by_ip[ip] != self._own_zone]

    def observe_datagram(self, ip: str) -> None:
        """Records that a node sent a datagram."""
        if ip != self._own_ip:
            self._last_datagram_s_by_ip[ip] = clock.now()

    def get(self, ip: str) -> peer.Peer:
        """Returns the peer at an IP address."""
        found = self._peer_by_ip.get(ip)
        if found is None:
            found = peer.Peer(
                address=f"{ip}:{self._port}",
                incarnation=self._incarnation,
                budget=self._budget,
                on_pull_response=self._on_pull_response,
                on_go_away=self._on_go_away,
                on_suspect=self._on_suspect,
                on_round_trip=self._on_round_trip,
            )
            self._peer_by_ip[ip] = found
        return found

    def sample(self, count: int) -> list[str]:
        """Returns IP addresses of random other nodes, most of them in the own zone."""
        now = clock.now()
        unlisted: list[str] = []
        for ip, last_datagram_s in list(self._last_datagram_s_by_ip.items()):
            if now - last_datagram_s > _UNLISTED_PEER_TTL_S:
                del self._last_datagram_s_by_ip[ip]
            elif ip not in self._listed_ips:
                unlisted.append(ip)
        # The zone of a node without a server entry is unknown.
        other_zones = [*self._other_zone_ips, *unlisted]
        return spread.choose_targets(
            self._generator, same_zone=self._same_zone_ips, other_zones=other_zones, count=count
        )

    async def run(self) -> None:
        """Checks all streams until it is cancelled."""
        while True:
            await asyncio.sleep(peer.CHECK_INTERVAL_S)
            for each in self._peer_by_ip.values():
                each.check()

    async def close(self) -> None:
        """Closes all streams."""
        await asyncio.gather(*(each.close() for each in self._peer_by_ip.values()))
