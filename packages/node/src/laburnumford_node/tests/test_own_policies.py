"""Tests of the published policies that apply to the adjacent server."""

import pathlib

import pytest

from laburnumford_node import own_policies
from laburnumford_objects import deployment

_EXAMPLES = pathlib.Path(__file__).parents[5] / "examples"


@pytest.fixture
def nordvarde():
    """Returns the example deployment."""
    return deployment.load(str(_EXAMPLES / "nordvarde.jsonc"))


def test_limits_of_service_and_routes_apply(nordvarde):
    """Guards against a published queue limit or grace period that has no effect."""
    found = own_policies.OwnPolicyFinder(server_name="accounts-1").find(nordvarde)
    # Lookups of the service allow 24 waiting requests, statements of a route 64.
    assert found.queue_limit == 64
    assert found.grace_s == 600
    assert found.measuring is not None
    assert found.measuring.calls_per_s == 5


def test_server_that_moves_to_another_group_is_found(nordvarde):
    """Guards against applying the limits of the group that the server has left."""
    finder = own_policies.OwnPolicyFinder(server_name="accounts-1")
    finder.find(nordvarde)
    groups = dict(nordvarde.groups_by_name)
    accounts, files = groups["accounts"], groups["lab-files"]
    (moved,) = (one for one in accounts.backend_servers if one.name == "accounts-1")
    kept = tuple(one for one in accounts.backend_servers if one is not moved)
    groups["accounts"] = accounts.model_copy(update={"backend_servers": kept})
    groups["lab-files"] = files.model_copy(
        update={"backend_servers": (*files.backend_servers, moved)}
    )
    changed = nordvarde.model_copy(update={"groups_by_name": groups})
    assert finder.find(changed).queue_limit == 8


def test_unpublished_server_has_no_measuring_budget(nordvarde):
    """Guards against probing a server that is not published."""
    found = own_policies.OwnPolicyFinder(server_name="other").find(nordvarde)
    assert found.measuring is None
    assert found.queue_limit is None
