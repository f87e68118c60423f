"""Fixtures of the tests with sockets."""

import pytest

from laburnumford_fleet.bench import _stand_in


@pytest.fixture
async def stand_in():
    """Returns a running stand-in for the platform."""
    found = _stand_in.StandIn()
    await found.start()
    yield found
    await found.close()
