"""Keys and values of the fake configuration service, with their history."""

import asyncio
import bisect

from laburnumford_testkit import errors
from laburnumford_testkit.platform import mode as mode_module

MAX_VALUE_BYTES = 1_000_000


class ValueTooLargeError(errors.TestkitError):
    """A value exceeds the size limit of the configuration service."""


class Store:
    """Holds all revisions of the keys; the mode decides which one readers see.

    Every write gets the next revision. Reads in a mode other than `ok` see the
    state at an earlier revision.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.mode = mode_module.Mode.OK
        self._frozen_revision = 0
        self._backwards_revision = 0
        self._history: dict[str, list[tuple[int, bytes | None]]] = {}
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes | None) -> int:
        """Writes a value, or removes the key if `value` is None, and returns the revision.

        Raises:
            ValueTooLargeError: the value exceeds 1 MB.
        """
        if value is not None and len(value) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(
                f"value of key {key!r} has {len(value)} bytes; allowed: at most {MAX_VALUE_BYTES}"
            )
        self.revision += 1
        self._history.setdefault(key, []).append((self.revision, value))
        self._notify_changed()
        return self.revision

    def set_mode(self, mode: mode_module.Mode, revision: int | None = None) -> None:
        """Changes the mode.

        Args:
            mode: the mode from now on.
            revision: the revision that readers see in the modes `stale`, `half` and
                `backwards`; default the current one, and in `backwards` the one before the
                last write of a key that ends in `head`.
        """
        self.mode = mode
        self._frozen_revision = self.revision if revision is None else revision
        if mode is mode_module.Mode.BACKWARDS:
            if revision is None:
                self._frozen_revision = self._revision_before_last_head()
            self.revision += 1
            self._backwards_revision = self.revision
        self._notify_changed()

    def get(self, key: str) -> tuple[bytes, int] | None:
        """Returns the value and revision of a key as readers see them in this mode, or None."""
        if self.mode is mode_module.Mode.OK or (
            self.mode is mode_module.Mode.HALF and key.endswith("head")
        ):
            return self.get_at(key, self.revision)
        found = self.get_at(key, self._frozen_revision)
        if found is not None and self.mode is mode_module.Mode.BACKWARDS:
            return found[0], self._backwards_revision
        return found

    def get_at(self, key: str, revision: int) -> tuple[bytes, int] | None:
        """Returns the value of a key at `revision` and the revision of its write, or None."""
        history = self._history.get(key, [])
        index = bisect.bisect_right(history, revision, key=lambda entry: entry[0])
        if index == 0:
            return None
        written_at, value = history[index - 1]
        return None if value is None else (value, written_at)

    def keys(self) -> tuple[str, ...]:
        """Returns the keys that hold a value now."""
        return tuple(
            sorted(
                key for key, key_history in self._history.items() if key_history[-1][1] is not None
            )
        )

    def next_change_event(self) -> asyncio.Event:
        """Returns the event that the next write or change of mode sets.

        A reader that takes the event before it reads a value, and then waits for it, does not
        miss a write in between.
        """
        return self._changed

    async def wait_changed(
        self, timeout_s: float, change_event: asyncio.Event | None = None
    ) -> None:
        """Waits at most `timeout_s` for a write or change of mode.

        Args:
            timeout_s: longest wait in seconds.
            change_event: result of an earlier `next_change_event`; default the current one.
        """
        awaited = self._changed if change_event is None else change_event
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await awaited.wait()
        except TimeoutError:
            return

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _revision_before_last_head(self) -> int:
        head_revisions = [
            entry[0]
            for key, key_history in self._history.items()
            if key.endswith("head")
            for entry in key_history
        ]
        return max(head_revisions, default=1) - 1
