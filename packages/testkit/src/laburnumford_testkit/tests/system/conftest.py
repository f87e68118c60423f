"""Fixtures of the tests with real processes."""

import contextlib
import pathlib

import pytest

from laburnumford_objects import deployment
from laburnumford_testkit.caller import caller as callers
from laburnumford_testkit.caller import pool
from laburnumford_testkit.processes import cluster

_EXAMPLES_FOLDER = pathlib.Path(__file__).parents[6] / "examples"


@pytest.fixture
def examples():
    """Returns the folder of the example deployments."""
    return _EXAMPLES_FOLDER


@pytest.fixture
def run_cluster(tmp_path):
    """Returns a function that returns the context manager of a running cluster."""

    @contextlib.asynccontextmanager
    async def run(name="nordvarde", **parameters):
        objects = deployment.load(str(_EXAMPLES_FOLDER / f"{name}.jsonc"))
        async with cluster.Cluster(objects=objects, folder=tmp_path, **parameters) as running:
            yield running

    return run


@pytest.fixture
def make_caller():
    """Returns a function that makes callers; their connections are closed after the test."""
    pools = []

    def make(name="c", **parameters):
        connections = pool.Pool()
        pools.append(connections)
        return callers.Caller(pool=connections, name=name, **parameters)

    yield make
    for connections in pools:
        connections.close()
