"""Tests of the search for the process that opened a connection."""

import os
import socket

import pytest

from laburnumford_testkit.processes import peers


@pytest.mark.parametrize(
    ("family", "host"),
    [(socket.AF_INET, "127.0.0.1"), (socket.AF_INET6, "::ffff:127.0.0.1")],
    ids=["ipv4", "mapped"],
)
def test_process_of_a_connection_is_found(family, host):
    """Fails if a partition does not pause connections of gRPC, which uses IPv6 sockets."""
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.socket(family, socket.SOCK_STREAM) as connecting,
    ):
        connecting.connect((host, listener.getsockname()[1]))
        accepted, remote = listener.accept()
        with accepted:
            assert peers.process_name_at({"own": os.getpid()}, remote) == "own"
