"""gRPC channel to one neighbour."""

import asyncio
from typing import Final

import grpc
import grpc.aio

from laburnumford_fleet import errors, messages, meter

SERVICE: Final = "laburnumford.Fleet"
CALL_TIMEOUT_S: Final = 2.0
# Covers a snapshot part of 1 MB over a slow link between regions.
FETCH_TIMEOUT_S: Final = 5.0
# Keepalive pings and bandwidth probes are off, so an idle channel sends nothing. Channels do not
# share connections, so the backoff of one channel does not delay another.
OPTIONS: Final = (
    ("grpc.max_receive_message_length", messages.MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", messages.MAX_MESSAGE_BYTES),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.service_config_disable_resolution", 1),
)
_CLIENT_OPTIONS: Final = (*OPTIONS, ("grpc.use_local_subchannel_pool", 1))


class Channel:
    """Makes unary calls to the control address of one node.

    Args:
        address: ``ip:port``.
        counter: counts the control traffic.
    """

    def __init__(self, *, address: str, counter: meter.Meter) -> None:
        self._address = address
        self._counter = counter
        self._channel = grpc.aio.insecure_channel(_target(address), options=_CLIENT_OPTIONS)
        self._connected = False

    async def close(self) -> None:
        """Closes the connection."""
        await self._channel.close()

    async def call(self, method: str, request: bytes, *, timeout_s: float) -> bytes:
        """Sends one request and returns the answer.

        Raises:
            PeerError: the neighbour did not answer in time, or answered with an error.
        """
        try:
            answer: bytes = await self._channel.unary_unary(f"/{SERVICE}/{method}")(
                request, timeout=timeout_s
            )
        except (grpc.RpcError, grpc.aio.UsageError, grpc.aio.InternalError) as error:
            code = error.code().name if isinstance(error, grpc.aio.AioRpcError) else repr(error)
            if self._connected:
                self._counter.count_sent(len(request))
            else:
                self._counter.count_failed_connect()
            raise errors.PeerError(
                f"neighbour {self._address}: call {method} failed: {code}"
            ) from error
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            # The channel was closed during the call; the calling task itself is not cancelled.
            raise errors.PeerError(
                f"neighbour {self._address}: channel closed during call {method}"
            ) from None
        if not self._connected:
            self._connected = True
            self._counter.count_connect()
        self._counter.count_sent(len(request))
        self._counter.count_received(len(answer))
        return answer

    async def wait_disconnected(self) -> None:
        """Waits until the connection is neither ready nor connecting."""
        state = self._channel.get_state()
        while state in (grpc.ChannelConnectivity.READY, grpc.ChannelConnectivity.CONNECTING):
            await self._channel.wait_for_state_change(state)
            state = self._channel.get_state()


async def cancel_and_wait(task: "asyncio.Task[None] | None") -> None:
    """Cancels a task and waits until it has ended."""
    if task is None:
        return
    task.cancel()
    await asyncio.wait([task])


def _target(address: str) -> str:
    return f"ipv6:{address}" if address.startswith("[") else f"ipv4:{address}"
