"""Tests of calls to other nodes."""

import asyncio
import time

import pytest

from laburnumford_node import errors, payload, peer_client, reason
from laburnumford_node.http import pool

_HELLO = b"HTTP/1.1 204 No Content\r\nlaburnumford-connection: n1\r\nlaburnumford-node: server-1\r\n\r\n"


@pytest.fixture
async def peer():
    """Yields the address of a peer that answers only hellos, and the list of its other requests."""
    received = []

    async def serve(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"GET /.laburnumford/hello"):
                    writer.write(_HELLO)
                else:
                    received.append(head)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    yield f"{host}:{port}", received
    listener.close()


@pytest.fixture
def client():
    """Yields a client for other nodes."""
    connections = pool.Pool(
        clock=time.monotonic,
        connect_timeout_s=1.0,
        idle_timeout_s=60.0,
        on_connect=peer_client.send_hello,
    )
    yield peer_client.PeerClient(connections=connections, clock=time.monotonic)
    connections.close()


async def _call(client, address, node, timeout_s=5.0):
    await client.call(
        address=address,
        node=node,
        method=b"POST",
        target=b"/",
        head=[(b"host", b"x")],
        payload=payload.Payload(data=b""),
        deadline_s=time.monotonic() + timeout_s,
        on_end=lambda _: None,
    )


async def test_node_of_another_name_gets_no_call(client, peer):
    """Guards against a call to the server of another VM that now has the address."""
    address, received = peer
    with pytest.raises(errors.NotWrittenError, match="found node b'server-1'; wanted 'server-2'"):
        await _call(client, address, "server-2")
    assert received == []


async def test_call_to_silent_node_ends_at_the_deadline(client, peer):
    """Guards against waiting without limit for the answer of a paused node."""
    address, received = peer
    with pytest.raises(errors.UnknownOutcomeError) as caught:
        await _call(client, address, "server-1", timeout_s=0.2)
    assert caught.value.reason is reason.Reason.TIMEOUT
    assert len(received) == 1


async def test_request_past_its_deadline_is_not_sent(client, peer):
    """Guards against a request that is sent after its deadline."""
    address, received = peer
    with pytest.raises(errors.NotWrittenError):
        await _call(client, address, "server-1", timeout_s=-1.0)
    assert received == []
