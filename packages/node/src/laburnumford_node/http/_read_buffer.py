"""The buffer that sockets of this process are read into."""

READ_BYTES = 32 * 1024

READ_BUFFER = memoryview(bytearray(READ_BYTES))
"""Shared by all connections: each read is parsed before the next one starts."""
