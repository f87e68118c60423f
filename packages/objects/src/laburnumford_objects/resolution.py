"""Resolves policies that extend others."""

from collections.abc import Mapping
from typing import Any

from laburnumford_objects import errors, policy


def chain(policies_by_name: Mapping[str, policy.Policy], name: str) -> tuple[policy.Policy, ...]:
    """Returns the policy `name`, the policy it extends, and so on.

    Raises:
        PolicyError: a policy of the chain is missing or occurs twice.
    """
    found: dict[str, policy.Policy] = {}
    current: str | None = name
    while current is not None:
        if current in found:
            cycle = " -> ".join([*found, current])
            raise errors.PolicyError(
                f"policy {name!r}: field extends: found the cycle {cycle};"
                " allowed: a policy that does not extend this one"
            )
        if current not in policies_by_name:
            raise errors.PolicyError(
                f"policy {name!r}: found {current!r}; allowed: the name of a policy"
            )
        found[current] = policies_by_name[current]
        current = found[current].extends
    return tuple(found.values())


def resolve(policies_by_name: Mapping[str, policy.Policy], name: str) -> policy.Policy:
    """Returns the policy `name` with the fields of the policies that it extends.

    Only fields that a policy sets override those of the policy it extends; the fields of
    `measuring` are overridden one by one.

    Raises:
        PolicyError: a policy of the chain is missing or occurs twice.
    """
    fields: dict[str, Any] = {}
    for entry in reversed(chain(policies_by_name, name)):
        for field in entry.model_fields_set - {"name", "extends"}:
            value = getattr(entry, field)
            if field == "measuring" and field in fields:
                changed = {key: getattr(value, key) for key in value.model_fields_set}
                value = fields[field].model_copy(update=changed)
            fields[field] = value
    return policy.Policy(name=name, **fields)
