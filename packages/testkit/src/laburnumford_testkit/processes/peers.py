"""Search for the process at the other end of a loopback connection."""

import os
import pathlib
import socket
import struct
from collections.abc import Mapping

_ESTABLISHED = b"01"  # TCP state in the tables of /proc/net


def process_name_at(pid_by_name: Mapping[str, int], remote: tuple[str, int]) -> str | None:
    """Returns the name of the process whose socket has the local address `remote`, or None.

    Args:
        pid_by_name: ids of running processes by their names; only these are searched.
        remote: IP and port of the peer, as an accepted connection reports it.
    """
    # gRPC connects from IPv6 sockets, whose table `tcp6` has IPv4 addresses in mapped form. This
    # table is read first, because reading the 14,000 sockets of `tcp` blocks the event loop, and
    # with it the proxies, for 50 ms.
    for table_name, prefix in (("tcp6", "0000000000000000FFFF0000"), ("tcp", "")):
        wanted = {f"socket:[{inode}]" for inode in _established_inodes(remote, table_name, prefix)}
        if not wanted:
            continue
        for name, pid in pid_by_name.items():
            try:
                links = [os.readlink(path) for path in pathlib.Path(f"/proc/{pid}/fd").iterdir()]
            except OSError:
                # The process has ended, or has closed a descriptor while its folder was read.
                links = _readable_links(pid)
            if not wanted.isdisjoint(links):
                return name
    return None


def _readable_links(pid: int) -> list[str]:
    """Returns the targets of the open descriptors of a process, without those that fail."""
    links = []
    try:
        paths = list(pathlib.Path(f"/proc/{pid}/fd").iterdir())
    except OSError:
        return []
    for path in paths:
        try:
            links.append(os.readlink(path))
        except OSError:
            continue
    return links


def _established_inodes(local: tuple[str, int], table_name: str, prefix: str) -> set[str]:
    """Returns the inodes of the established connections with a local IPv4 address.

    Connections to different targets may share a local address, so there may be several.

    Args:
        local: local IP and port.
        table_name: file in `/proc/net`.
        prefix: hexadecimal digits before an IPv4 address in this table.
    """
    host, port = local
    (host_number,) = struct.unpack("=I", socket.inet_aton(host))
    # Searches the bytes of the table: splitting each of its 21,000 lines blocked the event loop
    # for 54 ms per connection.
    wanted = f": {prefix}{host_number:08X}:{port:04X} ".encode("ascii")
    table = pathlib.Path("/proc/net", table_name).read_bytes()
    found = set()
    position = table.find(wanted)
    while position >= 0:
        fields = table[position : table.find(b"\n", position)].split()
        if fields[3] == _ESTABLISHED:
            found.add(fields[9].decode("ascii"))
        position = table.find(wanted, position + 1)
    return found
