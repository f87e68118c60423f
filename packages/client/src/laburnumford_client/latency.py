"""Latency of a service, merged from the histograms of several nodes."""

import base64
import binascii
import struct
import zlib

from hdrh import histogram

from laburnumford_client import errors

_PERCENTILES_BY_NAME = {"p50_ms": 50.0, "p99_ms": 99.0, "p999_ms": 99.9}
# Range and precision with which nodes record. The decoder allocates memory for the range and
# precision in the header, so other values are rejected: a sender could exhaust the memory.
_LOWEST_LATENCY_US = 1
_HIGHEST_LATENCY_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_MAX_ENCODED_CHARS = 256 * 1024
_MAX_DECODED_BYTES = 1024 * 1024
_COMPRESSED_HEADER = struct.Struct(">II")
_HISTOGRAM_HEADER = struct.Struct(">IIIIQQd")


class Latency:
    """Merges latency histograms in the V2 encoding of HdrHistogram, in microseconds."""

    def __init__(self) -> None:
        self._merged = histogram.HdrHistogram(
            _LOWEST_LATENCY_US, _HIGHEST_LATENCY_US, _SIGNIFICANT_DIGITS
        )

    def add(self, encoded: str, source: str) -> None:
        """Adds an encoded histogram.

        Args:
            encoded: histogram in microseconds: V2 encoding, zlib, base64.
            source: node and field, for error messages.

        Raises:
            PageError: it is not a histogram, or its range or precision is not that of nodes.
        """
        try:
            _validate(encoded)
            decoded = histogram.HdrHistogram.decode(encoded)
            if decoded.get_total_count() < 0:
                raise ValueError("found a negative number of values; allowed: 0 or more")
            self._merged.add(decoded)
        except Exception as error:  # The library raises errors of many unrelated classes.
            reason = str(error) or type(error).__name__
            raise errors.PageError(f"{source}: cannot decode the histogram: {reason}") from error

    def summary(self) -> dict[str, float | int]:
        """Returns the number of values and the quantiles in milliseconds."""
        count = self._merged.get_total_count()
        summary: dict[str, float | int] = {"count": count}
        if count:
            for name, percentile in _PERCENTILES_BY_NAME.items():
                summary[name] = self._merged.get_value_at_percentile(percentile) / 1000
        return summary


def _validate(encoded: str) -> None:
    """Checks the size and the header before the library decodes the histogram."""
    if len(encoded) > _MAX_ENCODED_CHARS:
        raise ValueError(f"found {len(encoded)} characters; allowed: at most {_MAX_ENCODED_CHARS}")
    try:
        compressed = base64.b64decode(encoded, validate=True)
        decoder = zlib.decompressobj()
        payload = decoder.decompress(compressed[_COMPRESSED_HEADER.size :], _MAX_DECODED_BYTES)
    except (binascii.Error, zlib.error) as error:
        raise ValueError("found text that is not base64-encoded zlib data") from error
    if not decoder.eof or len(payload) < _HISTOGRAM_HEADER.size:
        raise ValueError(f"found a payload that is truncated or above {_MAX_DECODED_BYTES} bytes")
    found = _HISTOGRAM_HEADER.unpack_from(payload)[3:6]
    if found != (_SIGNIFICANT_DIGITS, _LOWEST_LATENCY_US, _HIGHEST_LATENCY_US):
        raise ValueError(
            f"found precision and range {found}; allowed:"
            f" {(_SIGNIFICANT_DIGITS, _LOWEST_LATENCY_US, _HIGHEST_LATENCY_US)} as nodes record"
        )
