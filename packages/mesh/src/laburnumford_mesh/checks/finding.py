"""One result of the check of a configuration."""

import dataclasses

from laburnumford_mesh.checks import severity as severity_module


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """Value of a configuration that is not allowed or probably a mistake.

    Attributes:
        severity: whether the configuration may be published.
        code: identifier of the violated rule, such as ``service-undefined``.
        object: kind and name of the object, such as ``route 'lookup'``.
        field: name of the field, empty for the object itself.
        found: the value found, as text.
        allowed: the values allowed, as text.
    """

    severity: severity_module.Severity
    code: str
    object: str
    field: str
    found: str
    allowed: str

    def __str__(self) -> str:
        field = f"{self.field}: " if self.field else ""
        return (
            f"{self.severity} {self.code}: {self.object}: {field}found {self.found}; "
            f"allowed: {self.allowed}"
        )
