"""Faults of a node."""

import abc
from typing import Any, ClassVar

from laburnumford_objects import registry
from laburnumford_testkit import errors
from laburnumford_testkit.controls import trial
from laburnumford_testkit.judge import invariant as invariant_module


class Fault(abc.ABC):
    """One fault of the node and a load under which it violates an invariant.

    Attributes:
        invariant: what the fault violates.
        setup: the cluster of the trial.
    """

    invariant: ClassVar[invariant_module.Invariant]
    setup: ClassVar[trial.Setup]

    @abc.abstractmethod
    def install(self) -> None:
        """Replaces a method or a value in the process of a node, before the node starts."""

    @abc.abstractmethod
    async def apply_load(self, running: trial.Trial) -> None:
        """Makes calls to the cluster of a trial; also used with intact nodes."""


faults: registry.Registry[Fault] = registry.Registry("fault")


def replace(owner: Any, name: str, value: Any) -> Any:
    """Replaces an attribute of a class or module and returns the former value.

    Raises:
        TestkitError: the node has no such attribute, so the fault would have no effect.
    """
    if name not in vars(owner):
        raise errors.TestkitError(f"{owner.__name__} has no attribute {name!r} to replace")
    former = getattr(owner, name)
    setattr(owner, name, value)
    return former
