"""Encoding of the published values: JSON text, compressed with zlib if it is long."""

import zlib

from laburnumford_objects import errors

MAX_VALUE_BYTES = 1_000_000  # the platform stores values of at most 1 MB
MAX_UNPACKED_BYTES = 64 * 1024 * 1024  # 10,000 backend servers take about 2.5 MB

# Shorter texts stay readable; a delta of one backend server takes about 400 bytes.
_MIN_COMPRESSED_TEXT_BYTES = 16 * 1024


def pack(text: bytes) -> bytes:
    """Returns the published value for `text`, a JSON object.

    The text starts with ``{``, which tells `unpack` that a value is not compressed.
    """
    return text if len(text) < _MIN_COMPRESSED_TEXT_BYTES else zlib.compress(text, 6)


def unpack(value: bytes, key: str) -> bytes:
    """Returns the text that `pack` was given.

    Args:
        value: the published value.
        key: key of the value, for error messages.

    Raises:
        CorruptVersionError: the value is truncated or altered, or its text is longer than
            `MAX_UNPACKED_BYTES`.
    """
    if value[:1] == b"{":
        return value
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(value, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise errors.CorruptVersionError(
            key, f"found a value that does not decompress ({error}); expected JSON or zlib"
        ) from error
    if decompressor.unconsumed_tail:
        raise errors.CorruptVersionError(
            key,
            f"found a text over {MAX_UNPACKED_BYTES} bytes; expected <= {MAX_UNPACKED_BYTES}",
        )
    if not decompressor.eof or decompressor.unused_data:
        raise errors.CorruptVersionError(
            key, f"found {len(value)} bytes that are not one whole zlib stream"
        )
    return text
