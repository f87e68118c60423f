"""Keys and values with their history."""

import asyncio
import bisect

from laburnumford_testkit import errors
from laburnumford_testkit.platform import mode as mode_module

VALUE_BYTES_LIMIT = 1_000_000


class ValueTooLargeError(errors.TestkitError):
    """A value exceeds the bound of the configuration service."""


class Store:
    """The state that readers see, which depends on the mode.

    Every write gets the next revision. Reads in a mode other than `ok` see the
    state at an earlier revision.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.mode = mode_module.Mode.OK
        self._frozen_at = 0
        self._backwards_revision = 0
        self._history: dict[str, list[tuple[int, bytes | None]]] = {}
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes | None) -> int:
        """Writes a value, or removes the key if `value` is None, and returns the revision.

        Raises:
            ValueTooLargeError: the value exceeds 1 MB.
        """
        if value is not None and len(value) > VALUE_BYTES_LIMIT:
            raise ValueTooLargeError(
                f"value of key {key!r} has {len(value)} bytes; allowed: {VALUE_BYTES_LIMIT}"
            )
        self.revision += 1
        self._history.setdefault(key, []).append((self.revision, value))
        self._wake()
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
        self._frozen_at = self.revision if revision is None else revision
        if mode is mode_module.Mode.BACKWARDS:
            if revision is None:
                self._frozen_at = self._before_last_head()
            self.revision += 1
            self._backwards_revision = self.revision
        self._wake()

    def get(self, key: str) -> tuple[bytes, int] | None:
        """Returns the value and revision of a key as readers see them, or None."""
        if self.mode is mode_module.Mode.OK or (
            self.mode is mode_module.Mode.HALF and key.endswith("head")
        ):
            return self.get_at(key, self.revision)
        found = self.get_at(key, self._frozen_at)
        if found is not None and self.mode is mode_module.Mode.BACKWARDS:
            return found[0], self._backwards_revision
        return found

    def get_at(self, key: str, revision: int) -> tuple[bytes, int] | None:
        """Returns the value and revision of a key at an earlier revision, or None."""
        history = self._history.get(key, [])
        index = bisect.bisect_right(history, revision, key=lambda entry: entry[0])
        if index == 0:
            return None
        written_at, value = history[index - 1]
        return None if value is None else (value, written_at)

    def keys(self) -> tuple[str, ...]:
        """Returns the keys that hold a value now."""
        return tuple(sorted(key for key, past in self._history.items() if past[-1][1] is not None))

    def next_change(self) -> asyncio.Event:
        """Returns what the next write or change of mode sets.

        Taken before the look at a value and waited for after it, it also shows a write
        between the two.
        """
        return self._changed

    async def wait_changed(self, timeout_s: float, change: asyncio.Event | None = None) -> None:
        """Waits at most `timeout_s` for a write or change of mode.

        Args:
            timeout_s: longest wait in seconds.
            change: result of an earlier `next_change`; without it, one from now on.
        """
        waited = self._changed if change is None else change
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await waited.wait()
        except TimeoutError:
            return

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _before_last_head(self) -> int:
        heads = [
            entry[0]
            for key, past in self._history.items()
            if key.endswith("head")
            for entry in past
        ]
        return max(heads, default=1) - 1
