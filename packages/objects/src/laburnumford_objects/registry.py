"""Registries of interchangeable classes that the settings select by name."""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

from laburnumford_objects import errors

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps the names that settings use to classes of one kind.

    Args:
        kind: noun for the classes in error messages, such as ``"chooser"``.

    Example:
        >>> limiters: Registry[object] = Registry("limiter")
        >>> @limiters.register("fixed")
        ... class FixedLimiter: ...
        >>> limiters.names()
        ('fixed',)
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._classes_by_name: dict[str, type[T]] = {}

    def register(self, name: str) -> Callable[[type[T]], type[T]]:
        """Returns a class decorator that adds the class under `name`.

        Raises:
            RegistryError: the name is taken.
        """

        def add(cls: type[T]) -> type[T]:
            if name in self._classes_by_name:
                raise errors.RegistryError(f"{self._kind} {name!r} is registered twice")
            self._classes_by_name[name] = cls
            return cls

        return add

    def names(self) -> tuple[str, ...]:
        """Returns the registered names in alphabetical order."""
        return tuple(sorted(self._classes_by_name))

    def create(self, name: str, **parameters: Any) -> T:
        """Creates an instance of the class registered under `name`.

        Args:
            name: the registered name.
            **parameters: arguments of the constructor.

        Raises:
            RegistryError: no class has this name.
        """
        if name not in self._classes_by_name:
            allowed = ", ".join(self.names())
            raise errors.RegistryError(f"unknown {self._kind} {name!r}; allowed: {allowed}")
        return self._classes_by_name[name](**parameters)
