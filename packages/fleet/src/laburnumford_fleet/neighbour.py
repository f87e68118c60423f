"""Connection to one neighbour and the task that serves it."""

import asyncio
import contextlib
import logging
import random
import time
from collections.abc import Callable

from laburnumford_fleet import channel, errors, local_state, messages, platform, supervision

_log = logging.getLogger(__name__)

# A restarted neighbour is back within seconds. At the cap the mean backoff is 2.75 s; with 700 bytes
# an attempt, 6 lost neighbours cost about 6 * 700 / 2.75 = 1.5 KB/s, half of the control budget.
_BACKOFF_BASE_S = 0.3
_BACKOFF_CAP_S = 5.0
_MIN_BACKOFF_S = 0.1
# Bounds the wait of an idle task. The exchange task normally wakes each neighbour sooner.
_MAX_IDLE_WAIT_S = 120.0


class Neighbour:
    """Announces the version in force to one neighbour and exchanges state with it.

    Args:
        address: control address, ``ip:port``.
        name: server name, empty for a seed whose name is not known yet.
        local: state of this node.
        generator: source of the jitter.
        on_lost: called when the neighbour stops answering or its connection is lost.
    """

    def __init__(
        self,
        *,
        address: str,
        name: str,
        local: local_state.LocalState,
        generator: random.Random,
        on_lost: Callable[[], None],
    ) -> None:
        self.address = address
        self.name = name
        self.version = 0
        self.last_received_at: float | None = None
        self.silent_since: float | None = None
        self.failed_attempts = 0
        self._local = local
        self._generator = generator
        self._on_lost = on_lost
        self._channel: channel.Channel | None = None
        self._wake = asyncio.Event()
        self._exchange_due = False
        self._reports_due = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the task."""
        name = f"neighbour {self.address}"
        self._task = asyncio.create_task(
            supervision.run(name, self._run, self._generator), name=name
        )

    async def close(self) -> None:
        """Cancels the task, which closes the connection."""
        await channel.cancel_and_wait(self._task)

    @property
    def connected(self) -> bool:
        """Whether an exchange succeeded on the current connection."""
        return self._channel is not None

    def wake(self, *, exchange: bool = False, reports: bool = False) -> None:
        """Makes the task announce a new version, exchange state or send reports at once."""
        self._exchange_due = self._exchange_due or exchange
        self._reports_due = self._reports_due or reports
        self._wake.set()

    def observe_message(self, version: int) -> None:
        """Records a message of the neighbour that carried its version in force."""
        self.last_received_at = time.monotonic()
        self.version = max(self.version, version)
        if self._channel is None:
            # The neighbour is running, so the backoff before the next attempt ends here.
            self._wake.set()

    async def fetch(
        self, request: messages.Fetch, *, timeout_s: float = channel.FETCH_TIMEOUT_S
    ) -> messages.Changes:
        """Fetches changes or a part of a snapshot.

        Raises:
            PeerError: the neighbour is not connected or did not answer.
            MessageError: the answer is malformed.
        """
        if self._channel is None:
            raise errors.PeerError(f"neighbour {self.address}: not connected")
        data = await self._channel.call("Fetch", messages.encode(request), timeout_s=timeout_s)
        return messages.decode(messages.Changes, data, max_bytes=messages.MAX_MESSAGE_BYTES)

    async def _run(self) -> None:
        while True:
            connection = channel.Channel(address=self.address, counter=self._local.counter)
            disconnect_task: asyncio.Task[None] | None = None
            try:
                if self.silent_since is not None:
                    # The neighbour may have missed changes in a partition, so they are queued again.
                    self._local.view.requeue(since=self.silent_since)
                await self._exchange(connection)
                self.failed_attempts = 0
                self.silent_since = None
                self._channel = connection
                disconnect_task = asyncio.create_task(connection.wait_disconnected())
                disconnect_task.add_done_callback(lambda _: self._wake.set())
                await self._serve(connection, disconnect_task)
            except (errors.PeerError, errors.MessageError) as error:
                if self.failed_attempts == 0:
                    _log.info("fleet: %s", error)
            finally:
                self._channel = None
                await channel.cancel_and_wait(disconnect_task)
                await connection.close()
            self.failed_attempts += 1
            now = time.monotonic()
            if self.silent_since is None:
                self.silent_since = now
                self._on_lost()
            if self.name:
                self._local.view.observe_silence(self.name, now=now)
            # A message of the neighbour ends the backoff, but not this first part, which bounds the
            # rate of attempts.
            await asyncio.sleep(_MIN_BACKOFF_S * self._generator.uniform(0.5, 1.0))
            self._wake.clear()
            await self._wait(
                platform.backoff_s(
                    attempt=self.failed_attempts,
                    generator=self._generator,
                    base_s=_BACKOFF_BASE_S,
                    cap_s=_BACKOFF_CAP_S,
                )
            )

    async def _serve(
        self, connection: channel.Channel, disconnect_task: "asyncio.Task[None]"
    ) -> None:
        while True:
            if disconnect_task.done():
                raise errors.PeerError(f"neighbour {self.address}: connection lost")
            if self._exchange_due:
                await self._exchange(connection)
            elif self._reports_due or self._local.store.version > self.version:
                await self._announce(connection)
            else:
                await self._wait(_MAX_IDLE_WAIT_S)

    async def _wait(self, timeout_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()
        self._wake.clear()

    async def _exchange(self, connection: channel.Channel) -> None:
        self._exchange_due = False
        self._reports_due = False
        message = self._local.exchange_message()
        data = await connection.call(
            "Exchange", messages.encode(message), timeout_s=channel.CALL_TIMEOUT_S
        )
        answer = messages.decode(messages.Exchange, data)
        self._local.view.observe_sent(message.reports)
        self.name = answer.node
        # The neighbour pulls the version of the exchange, which is not announced to it again.
        self.version = max(answer.version, message.version)
        self.last_received_at = time.monotonic()
        self._local.observe(answer)

    async def _announce(self, connection: channel.Channel) -> None:
        self._reports_due = False
        message = self._local.announce_message()
        data = await connection.call(
            "Announce", messages.encode(message), timeout_s=channel.CALL_TIMEOUT_S
        )
        answer = messages.decode(messages.Acknowledge, data)
        self._local.view.observe_sent(message.reports)
        self.last_received_at = time.monotonic()
        # The neighbour pulls the announced version, which is not announced to it again.
        self.version = max(answer.version, message.version)
        self._local.observe_version(self.name, answer.version)
