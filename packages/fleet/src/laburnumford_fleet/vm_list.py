"""The platform's list of VMs."""

import dataclasses

from laburnumford_fleet import vm


@dataclasses.dataclass(frozen=True, slots=True)
class VmList:
    """Holds the VMs on the platform's list and the encoded size of the list in bytes."""

    vms: tuple[vm.Vm, ...]
    size_bytes: int
