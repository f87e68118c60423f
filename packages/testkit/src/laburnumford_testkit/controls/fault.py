"""Base class and registry of the faults of a node."""

import abc
from typing import Any, ClassVar

from laburnumford_objects import registry
from laburnumford_testkit import errors
from laburnumford_testkit.controls import trial
from laburnumford_testkit.judge import invariant as invariant_module


class Fault(abc.ABC):
    """One fault of the node and a load under which it violates an invariant.

    Attributes:
        invariant: the invariant that the fault violates.
        setup: the cluster and the callers of the trial.
    """

    invariant: ClassVar[invariant_module.Invariant]
    setup: ClassVar[trial.Setup]

    @abc.abstractmethod
    def install(self) -> None:
        """Replaces a method or a value of the node in this process, before the node starts."""

    @abc.abstractmethod
    async def apply_load(self, active_trial: trial.Trial) -> None:
        """Makes the calls under which the fault shows; also runs with intact nodes."""


faults: registry.Registry[Fault] = registry.Registry("fault")


def replace(owner: Any, name: str, value: Any) -> Any:
    """Replaces an attribute of a class or module and returns the original value.

    Raises:
        TestkitError: the class or module has no such attribute, so the fault would have no
            effect.
    """
    if name not in vars(owner):
        raise errors.TestkitError(f"{owner.__name__} has no attribute {name!r} to replace")
    original = getattr(owner, name)
    setattr(owner, name, value)
    return original
