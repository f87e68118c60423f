"""Tests of the registry."""

import pytest

from laburnumford_objects import errors, registry


@pytest.fixture
def limiters() -> registry.Registry[object]:
    """Returns a registry with one class."""
    limiters: registry.Registry[object] = registry.Registry("limiter")

    @limiters.register("fixed")
    class FixedLimiter:
        def __init__(self, *, limit: int = 1) -> None:
            self.limit = limit

    return limiters


def test_create_passes_parameters(limiters):
    """Guards against parameters of the settings that do not reach the class."""
    assert limiters.create("fixed", limit=7).limit == 7


def test_unknown_name_lists_allowed_names(limiters):
    """Guards against an error that leaves the operator without the allowed names."""
    with pytest.raises(errors.RegistryError, match=r"unknown limiter 'gradient'; allowed: fixed"):
        limiters.create("gradient")


def test_second_registration_fails(limiters):
    """Guards against two modules that silently replace each other's class."""
    with pytest.raises(errors.RegistryError, match="registered twice"):
        limiters.register("fixed")(object)
