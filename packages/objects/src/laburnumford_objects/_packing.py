"""Form of the published values."""

import zlib

from laburnumford_objects import errors

MAX_VALUE_BYTES = 1_000_000  # the platform takes values of at most 1 MB
MAX_UNPACKED_BYTES = 64 * 1024 * 1024  # 10,000 backend servers take about 2.5 MB

# Smaller values stay readable text; a change of one backend server takes about 400 bytes.
_COMPRESS_FROM_BYTES = 16 * 1024


def pack(text: bytes) -> bytes:
    """Returns `text`, which starts with ``{``, compressed with zlib if it is long."""
    return text if len(text) < _COMPRESS_FROM_BYTES else zlib.compress(text, 6)


def unpack(value: bytes, key: str) -> bytes:
    """Returns the text that was packed.

    Raises:
        BrokenVersionError: the value is cut or altered, or its text is too long.
    """
    if value[:1] == b"{":
        return value
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(value, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise errors.BrokenVersionError(
            key, f"found a value that does not decompress ({error}); expected JSON or zlib"
        ) from error
    if decompressor.unconsumed_tail:
        raise errors.BrokenVersionError(
            key, f"found a text over {MAX_UNPACKED_BYTES} bytes; expected at most that"
        )
    if not decompressor.eof or decompressor.unused_data:
        raise errors.BrokenVersionError(
            key, f"found {len(value)} bytes that are not one whole zlib stream"
        )
    return text
