"""Fixtures of the tests with sockets."""

import pytest

from laburnumford_fleet.bench import _fake_platform


@pytest.fixture
async def fake_platform():
    """Yields a running fake of the platform."""
    found = _fake_platform.FakePlatform()
    await found.start()
    yield found
    await found.close()
