"""The other nodes, by the address of their VM."""

import asyncio
import random
from collections.abc import Callable, Mapping

from laburnumford_mesh import clock, frames, peer
from laburnumford_policy.placement import spread

_HEARD_S = 5.0
"""A node that sent a datagram this recently exists, though no entry names its VM."""


class Peers:
    """Opens streams to other nodes on demand.

    Args:
        own_ip: address of this VM.
        own_zone: its availability zone.
        port: port of the nodes.
        incarnation: number of this start of the node.
        generator: source of random numbers.
        on_values: called with published values that a node sent.
        on_goodbye: called with the address of a node that stops.
        on_suspect: called with the address of a node that seems to be out of reach.
    """

    def __init__(
        self,
        *,
        own_ip: str,
        own_zone: str,
        port: int,
        incarnation: int,
        generator: random.Random,
        on_values: Callable[[str, frames.Values], None],
        on_goodbye: Callable[[str], None],
        on_suspect: Callable[[str], None],
    ) -> None:
        self._own_ip = own_ip
        self._own_zone = own_zone
        self._port = port
        self._incarnation = incarnation
        self._generator = generator
        self._on_values = on_values
        self._on_goodbye = on_goodbye
        self._on_suspect = on_suspect
        self._peer_by_ip: dict[str, peer.Peer] = {}
        self._listed_ips: frozenset[str] = frozenset()
        self._near_ips: list[str] = []
        self._far_ips: list[str] = []
        self._heard_s_by_ip: dict[str, float] = {}

    @property
    def count(self) -> int:
        """Number of nodes that the entries name, this one not counted."""
        return len(self._listed_ips)

    def apply(self, zone_by_ip: Mapping[str, str]) -> None:
        """Takes over the addresses of all VMs with a backend server, and their zones."""
        self._listed_ips = frozenset(zone_by_ip) - {self._own_ip}
        ordered = sorted(self._listed_ips)
        self._near_ips = [ip for ip in ordered if zone_by_ip[ip] == self._own_zone]
        self._far_ips = [ip for ip in ordered if zone_by_ip[ip] != self._own_zone]

    def observe_heard(self, ip: str) -> None:
        """Remembers that a node sent something."""
        if ip != self._own_ip:
            self._heard_s_by_ip[ip] = clock.now()

    def get(self, ip: str) -> peer.Peer:
        """Returns the peer at an address."""
        found = self._peer_by_ip.get(ip)
        if found is None:
            found = peer.Peer(
                address=f"{ip}:{self._port}",
                incarnation=self._incarnation,
                on_values=self._on_values,
                on_goodbye=self._on_goodbye,
                on_suspect=self._on_suspect,
            )
            self._peer_by_ip[ip] = found
        return found

    def sample(self, count: int) -> list[str]:
        """Returns some random addresses of other nodes, most of them in the own zone."""
        now = clock.now()
        unlisted: list[str] = []
        for ip, heard_s in list(self._heard_s_by_ip.items()):
            if now - heard_s > _HEARD_S:
                del self._heard_s_by_ip[ip]
            elif ip not in self._listed_ips:
                unlisted.append(ip)
        # The zone of a node without an entry is not known.
        far = [*self._far_ips, *unlisted]
        return spread.choose_targets(
            self._generator, same_zone=self._near_ips, other_zones=far, count=count
        )

    async def run(self) -> None:
        """Checks all streams until it is cancelled."""
        while True:
            await asyncio.sleep(peer.CHECK_INTERVAL_S)
            for each in self._peer_by_ip.values():
                each.check()

    async def close(self) -> None:
        """Ends all streams."""
        await asyncio.gather(*(each.close() for each in self._peer_by_ip.values()))
