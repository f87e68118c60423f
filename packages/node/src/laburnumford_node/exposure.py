"""Checks whether listeners without authentication are reachable from outside the fleet."""

import ipaddress

from laburnumford_objects import node_settings

_UNAUTHENTICATED_ADDRESS_FIELDS = ("operator_address", "peer_address", "control_address")
# Loopback, private (RFC 1918, RFC 4193) and link-local networks. `is_private` of ipaddress also
# holds for 0.0.0.0, which listens on every interface.
_INTERNAL_NETWORKS = tuple(
    ipaddress.ip_network(text)
    for text in (
        "127.0.0.0/8",
        "10.0.0.0/8",
        "172.16.0.0/12",
        "192.168.0.0/16",
        "169.254.0.0/16",
        "::1/128",
        "fc00::/7",
        "fe80::/10",
    )
)


def warnings(settings: node_settings.NodeSettings) -> list[str]:
    """Returns a warning for each listening address that is neither loopback nor private.

    The listeners for operators, peers and control traffic do not authenticate clients.
    """
    return [
        f"{field} {value} is not a loopback or private address;"
        " this listener does not authenticate, so the network must admit only the fleet"
        for field in _UNAUTHENTICATED_ADDRESS_FIELDS
        if not _is_internal(value := getattr(settings, field))
    ]


def _is_internal(address: str) -> bool:
    host = address.rpartition(":")[0].strip("[]").partition("%")[0]
    found = ipaddress.ip_address(host)
    if isinstance(found, ipaddress.IPv6Address) and found.ipv4_mapped is not None:
        found = found.ipv4_mapped
    return any(found in network for network in _INTERNAL_NETWORKS)
