"""Rules on names and addresses that must be unique."""

from laburnumford_objects import _findings, source

_ADDRESS_FIELDS = ("address", "edge_address", "peer_address", "control_address")


def check(findings: _findings.Findings) -> None:
    """Finds objects whose name differs from their key, and duplicate names and addresses."""
    _check_keys(findings)
    first_by_name: dict[str, source.ObjectKey] = {}
    first_by_address: dict[str, tuple[source.ObjectKey, str]] = {}
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
                    found=f"{server.name!r}, also the name of {_locate(findings, first, 'name')}",
                    allowed="a name that no other backend server has",
                    rule="duplicate-name",
                )
            for field in _ADDRESS_FIELDS:
                address = getattr(server, field)
                use = (key, field)
                first_use = first_by_address.setdefault(address, use)
                if first_use is not use:
                    findings.add(
                        key,
                        [field],
                        found=f"{address!r}, also the {first_use[1]} of"
                        f" {_locate(findings, *first_use)}",
                        allowed="an address that is used once",
                        rule="duplicate-address",
                    )


def _check_keys(findings: _findings.Findings) -> None:
    for kind, attribute in _findings.ATTRIBUTE_BY_KIND.items():
        for name, entry in getattr(findings.objects, attribute).items():
            if entry.name != name:
                findings.add(
                    (kind, name),
                    ["name"],
                    found=repr(entry.name),
                    allowed=f"{name!r}, its key in {attribute}",
                    rule="name",
                )


def _locate(findings: _findings.Findings, key: source.ObjectKey, field: str) -> str:
    line = findings.line_of(key, [field])
    return findings.describe(key) + (f" on line {line}" if line else "")
