"""Latency of a service, merged from the histograms of several nodes."""

import base64
import binascii
import struct
import zlib

from hdrh import histogram

from laburnumford_client import errors

_QUANTILES = {"p50_ms": 50.0, "p99_ms": 99.0, "p999_ms": 99.9}
# The range and the precision that nodes record with. A header that asks for more would make
# the decoder allocate as much memory as the sender likes.
_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_DIGITS = 3
_MAX_ENCODED = 256 * 1024
_MAX_DECODED = 1024 * 1024
_PREFIX = struct.Struct(">II")
_HEADER = struct.Struct(">IIIIQQd")


class Latency:
    """Merges histograms in the V2 encoding of HdrHistogram; unit: microseconds."""

    def __init__(self) -> None:
        self._merged = histogram.HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)

    def add(self, encoded: str, source: str) -> None:
        """Adds an encoded histogram.

        Args:
            encoded: histogram as a node encodes it.
            source: node and field, for error messages.

        Raises:
            PageError: it is not a histogram, or has another range or precision than nodes use.
        """
        try:
            _check(encoded)
            decoded = histogram.HdrHistogram.decode(encoded)
            if decoded.get_total_count() < 0:
                raise ValueError("found a negative number of values; allowed: from 0 on")
            self._merged.add(decoded)
        except Exception as error:  # The library raises errors of many unrelated classes.
            reason = str(error) or type(error).__name__
            raise errors.PageError(f"{source}: cannot decode the histogram: {reason}") from error

    def figures(self) -> dict[str, float | int]:
        """Returns the number of values and the quantiles in milliseconds."""
        count = self._merged.get_total_count()
        figures: dict[str, float | int] = {"count": count}
        if count:
            for name, percentile in _QUANTILES.items():
                figures[name] = self._merged.get_value_at_percentile(percentile) / 1000
        return figures


def _check(encoded: str) -> None:
    """Checks size and header before the library sees the histogram."""
    if len(encoded) > _MAX_ENCODED:
        raise ValueError(f"found {len(encoded)} characters; allowed: at most {_MAX_ENCODED}")
    try:
        packed = base64.b64decode(encoded, validate=True)
        decoder = zlib.decompressobj()
        payload = decoder.decompress(packed[_PREFIX.size :], _MAX_DECODED)
    except (binascii.Error, zlib.error) as error:
        raise ValueError("found no compressed base64 text") from error
    if not decoder.eof or len(payload) < _HEADER.size:
        raise ValueError(f"found a payload that is cut off or above {_MAX_DECODED} bytes")
    found = _HEADER.unpack_from(payload)[3:6]
    if found != (_DIGITS, _LOWEST_US, _HIGHEST_US):
        raise ValueError(
            f"found precision and range {found};"
            f" allowed: {(_DIGITS, _LOWEST_US, _HIGHEST_US)} as nodes record"
        )
