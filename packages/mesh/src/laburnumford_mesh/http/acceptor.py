"""Accepts connections on a listening socket, within limits on connections and descriptors."""

import asyncio
import errno
import logging
import select
import socket
from collections.abc import Callable

_LOG = logging.getLogger("laburnumford.mesh")
_MAX_ACCEPTS = 64
"""Connections accepted in one step of the event loop, so that a burst delays no open one."""

_PAUSE_S = 0.1
"""Seconds without accepting when descriptors are short; waiting connections stay in the backlog."""

_SHORTAGE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class Acceptor:
    """Accepts connections and creates their transports.

    `asyncio.Server` accepts its whole backlog before it creates the first protocol. A burst
    would hold as many descriptors as the backlog has places, whatever the limit.

    Args:
        listening: listening socket that does not block.
        make_protocol: returns the protocol of a new connection, or None if the limit on
            connections is reached.
        on_refused: called for each connection that is closed on accept.
        max_descriptors: number of open descriptors above which accepting pauses; None for no
            limit.
    """

    def __init__(
        self,
        *,
        listening: socket.socket,
        make_protocol: Callable[[], asyncio.Protocol | None],
        on_refused: Callable[[], None],
        max_descriptors: int | None,
    ) -> None:
        self._listening = listening
        self._make_protocol = make_protocol
        self._on_refused = on_refused
        self._max_descriptors = max_descriptors
        self._loop = asyncio.get_running_loop()
        self._resume_handle: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    @property
    def port(self) -> int:
        """Port of the listening socket."""
        return int(self._listening.getsockname()[1])

    def start(self) -> None:
        """Starts to accept connections."""
        self._resume_handle = None
        self._loop.add_reader(self._listening.fileno(), self._accept_waiting)

    def has_waiting(self) -> bool:
        """Returns whether a connection waits to be accepted."""
        if self._closed:
            return False
        poll = select.poll()
        poll.register(self._listening, select.POLLIN)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Stops accepting and closes the listening socket."""
        if self._closed:
            return
        self._closed = True
        if self._resume_handle is not None:
            self._resume_handle.cancel()
        self._loop.remove_reader(self._listening.fileno())
        self._listening.close()

    async def wait_closed(self) -> None:
        """Waits until no transport is being created any more."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept_waiting(self) -> None:
        for _ in range(_MAX_ACCEPTS):
            try:
                accepted, _ = self._listening.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno not in _SHORTAGE_ERRORS:
                    raise
                _LOG.warning("cannot accept a connection: %s", error)
                self._pause()
                return
            if self._are_descriptors_short(accepted):
                self._refuse(accepted)
                self._pause()
                return
            self._serve(accepted)

    def _are_descriptors_short(self, accepted: socket.socket) -> bool:
        # The system assigns the lowest free descriptor, so that all below it are open.
        return self._max_descriptors is not None and accepted.fileno() >= self._max_descriptors

    def _serve(self, accepted: socket.socket) -> None:
        protocol = self._make_protocol()
        if protocol is None:
            self._refuse(accepted)
            return
        accepted.setblocking(False)
        task = self._loop.create_task(self._create_transport(protocol, accepted))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _create_transport(self, protocol: asyncio.Protocol, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: protocol, accepted)
        except OSError as error:
            accepted.close()
            protocol.connection_lost(error)

    def _refuse(self, accepted: socket.socket) -> None:
        accepted.close()
        self._on_refused()

    def _pause(self) -> None:
        self._loop.remove_reader(self._listening.fileno())
        self._resume_handle = self._loop.call_later(_PAUSE_S, self.start)
