"""Rules on names and addresses that must differ."""

from laburnumford_objects import _findings, source

_ADDRESSES = ("address", "edge_address", "peer_address", "control_address")


def check(findings: _findings.Findings) -> None:
    """Finds names that differ from their key, and names and addresses used twice."""
    _check_keys(findings)
    first_by_name: dict[str, source.Key] = {}
    first_by_address: dict[str, tuple[source.Key, str]] = {}
    for group in findings.objects.groups_by_name.values():
        count_by_name: dict[str, int] = {}
        for server in group.backend_servers:
            earlier = count_by_name.get(server.name, 0)
            count_by_name[server.name] = earlier + 1
            key = ("backend server", group.name, server.name, earlier)
            first = first_by_name.setdefault(server.name, key)
            if first is not key:
                findings.add(
                    key,
                    ["name"],
                    found=f"{server.name!r}, also the name of {_place(findings, first, 'name')}",
                    allowed="a name that no other backend server has",
                    rule="duplicate-name",
                )
            for field in _ADDRESSES:
                address = getattr(server, field)
                place = (key, field)
                first_place = first_by_address.setdefault(address, place)
                if first_place is not place:
                    findings.add(
                        key,
                        [field],
                        found=f"{address!r}, also the {first_place[1]} of"
                        f" {_place(findings, *first_place)}",
                        allowed="an address that is used once",
                        rule="duplicate-address",
                    )


def _check_keys(findings: _findings.Findings) -> None:
    for kind, section in _findings.SECTION_BY_KIND.items():
        for name, entry in getattr(findings.objects, section).items():
            if entry.name != name:
                findings.add(
                    (kind, name),
                    ["name"],
                    found=repr(entry.name),
                    allowed=f"{name!r}, its key in {section}",
                    rule="name",
                )


def _place(findings: _findings.Findings, key: source.Key, field: str) -> str:
    line = findings.line_of(key, [field])
    return findings.text(key) + (f" on line {line}" if line else "")
