"""Content derived from an id, so that a reader can detect missing, altered or foreign bytes."""

import hashlib

BLOCK_BYTES = 16384
DIGEST_BYTES = 16


def block(seed: str, index: int, length: int = BLOCK_BYTES) -> bytes:
    """Returns the first `length` bytes of block `index` of the content of `seed`."""
    return hashlib.shake_256(f"{seed}/{index}".encode()).digest(length)


def content(seed: str, length: int) -> bytes:
    """Returns the first `length` bytes of the content of `seed`."""
    if length <= BLOCK_BYTES:
        return block(seed, 0, length)
    full, rest = divmod(length, BLOCK_BYTES)
    return b"".join([*(block(seed, index) for index in range(full)), block(seed, full, rest)])


def digest(data: bytes) -> str:
    """Returns the digest that the fake backend server reports for a request body."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


class Verifier:
    """Compares a stream of bytes with the content of a seed.

    Args:
        seed: id from which the content is derived.
        length: length of the content in bytes if it is known, so that less than a full block is
            computed for short content.

    Attributes:
        matches: whether all bytes so far are equal to the content.
    """

    def __init__(self, *, seed: str, length: int | None = None) -> None:
        self._seed = seed
        self._first_block_bytes = BLOCK_BYTES if length is None else min(length, BLOCK_BYTES)
        self._index = -1
        self._block = b""
        self._offset = BLOCK_BYTES
        self.matches = True

    def feed(self, data: bytes) -> None:
        """Compares the next bytes; `matches` becomes false at the first difference."""
        position = 0
        while self.matches and position < len(data):
            if self._offset == BLOCK_BYTES:
                self._index += 1
                block_bytes = BLOCK_BYTES if self._index else self._first_block_bytes
                self._block = block(self._seed, self._index, block_bytes)
                self._offset = 0
            take = min(BLOCK_BYTES - self._offset, len(data) - position)
            expected = self._block[self._offset : self._offset + take]
            self.matches = expected == data[position : position + take]
            self._offset += take
            position += take
