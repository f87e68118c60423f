"""Fixtures for tests with real processes."""

import contextlib
import pathlib

import pytest

from laburnumford_objects import deployment
from laburnumford_testkit.caller import caller as callers
from laburnumford_testkit.caller import pool
from laburnumford_testkit.processes import cluster

_EXAMPLES = pathlib.Path(__file__).parents[6] / "examples"


@pytest.fixture
def examples():
    """Returns the folder of the example deployments."""
    return _EXAMPLES


@pytest.fixture
def run_cluster(tmp_path):
    """Returns a function that gives the context manager of a running cluster."""

    @contextlib.asynccontextmanager
    async def run(name="nordvarde", **parameters):
        objects = deployment.load(str(_EXAMPLES / f"{name}.jsonc"))
        async with cluster.Cluster(objects=objects, folder=tmp_path, **parameters) as running:
            yield running

    return run


@pytest.fixture
def make_caller():
    """Returns a function that makes callers."""
    made = []

    def make(name="c", **parameters):
        connections = pool.Pool()
        made.append(connections)
        return callers.Caller(pool=connections, name=name, **parameters)

    yield make
    for connections in made:
        connections.close()
