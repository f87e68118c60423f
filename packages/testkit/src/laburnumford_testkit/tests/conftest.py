"""Shared fixtures: test processes, fake backend servers and caller connections."""

import asyncio
import random

import pytest
import pytest_asyncio

from laburnumford_testkit import backend, caller, listening, processes


@pytest_asyncio.fixture
async def start_process(tmp_path):
    """Returns a function that starts a process of the testkit; all are killed after the test."""
    started: list[processes.process.Process] = []

    async def start(kind, *arguments):
        process = processes.process.Process(
            name=f"{kind}{len(started)}",
            module=f"laburnumford_testkit.{kind}",
            arguments=arguments,
            folder=tmp_path,
        )
        started.append(process)
        await process.start()
        return process

    yield start
    for process in started:
        process.kill()


@pytest_asyncio.fixture
async def start_server():
    """Returns a function that starts a fake backend server in this process."""
    listeners: list[asyncio.Server] = []

    async def start(**parameters):
        parameters = {"name": "s", "generator": random.Random(1), **parameters}
        state = backend.server.Server(**parameters)
        bound = listening.bind(0)
        listener = await asyncio.get_running_loop().create_server(
            lambda: backend.connection.Connection(server=state), sock=bound
        )
        listeners.append(listener)
        return state, f"127.0.0.1:{bound.getsockname()[1]}"

    yield start
    for listener in listeners:
        listener.close()


@pytest.fixture
def pool():
    """Returns a connection pool for callers; it is closed after the test."""
    created = caller.pool.Pool()
    yield created
    created.close()
