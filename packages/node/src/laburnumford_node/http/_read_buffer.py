"""Buffer into which the sockets of this process are read."""

READ_BUFFER_BYTES = 32 * 1024

READ_BUFFER = memoryview(bytearray(READ_BUFFER_BYTES))
"""Shared by all connections: each read is parsed before the next one starts."""
