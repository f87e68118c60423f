"""Resolves policies that extend other policies."""

from collections.abc import Mapping
from typing import Any

from laburnumford_objects import errors, policy


def extension_chain(
    policies_by_name: Mapping[str, policy.Policy], name: str
) -> tuple[policy.Policy, ...]:
    """Returns the policy `name`, the policy that it extends, and so on to the last.

    Raises:
        PolicyError: a policy of the chain is missing or extends itself.
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
    """Returns the policy `name` merged with the policies that it extends.

    A field of a policy overrides that of the extended policy only if the policy sets it. The
    fields of `measuring` are overridden one by one.

    Raises:
        PolicyError: a policy of the chain is missing or extends itself.
    """
    fields: dict[str, Any] = {}
    for entry in reversed(extension_chain(policies_by_name, name)):
        for field in entry.model_fields_set - {"name", "extends"}:
            value = getattr(entry, field)
            if field == "measuring" and field in fields:
                changed = {key: getattr(value, key) for key in value.model_fields_set}
                value = fields[field].model_copy(update=changed)
            fields[field] = value
    # The fields were validated in the policies that set them.
    return policy.Policy.model_construct({"name", *fields}, name=name, **fields)
