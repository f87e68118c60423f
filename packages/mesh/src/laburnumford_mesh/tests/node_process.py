"""Runs one node in a process of its own, so that a test can read the memory of the process.

Usage: ``python -m laburnumford_mesh.tests.node_process IP SERVER_ADDRESS MEMORY_BYTES``.
"""

import asyncio
import contextlib
import os
import pathlib
import sys
from typing import Any

from laburnumford_mesh import event_log, node
from laburnumford_mesh.tests import conftest

SERVER_ID = "measured"
CONFIGURATION = conftest.make_configuration(timeout_s=20.0)


class NodeProcess:
    """A node in a child process.

    Args:
        ip: IP address of the node.
        server_address: ``ip:port`` of its backend server, whose id is `SERVER_ID`.
        memory_bytes: memory in the settings of the node.
    """

    def __init__(self, ip, server_address, memory_bytes):
        self._arguments = (ip, server_address, str(memory_bytes))
        self._process: Any = None

    async def start(self):
        """Starts the process."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "laburnumford_mesh.tests.node_process",
            *self._arguments,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            stdout=asyncio.subprocess.DEVNULL,
        )

    @property
    def alive(self):
        """Whether the process runs."""
        return self._process.returncode is None

    def peak_bytes(self):
        """Returns the largest resident memory of the process so far."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text(encoding="ascii")
        values = dict(line.split(":", 1) for line in status.splitlines())
        return int(values["VmHWM"].split()[0]) * 1024

    async def stop(self):
        """Ends the process."""
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        await self._process.wait()


async def _run(ip, server_address, memory_bytes):
    source = conftest.FakeStore()
    objects = {
        "op/config": CONFIGURATION,
        "servers/0": conftest.make_entry(SERVER_ID, server_address),
    }
    for key in objects:
        source.put(key, key.encode())
    own = conftest.make_settings(0, ip, server_address, memory_bytes=memory_bytes)
    made = node.Node(
        own_settings=own,
        names=conftest.NAMES,
        source=source,
        decode=lambda found: objects.get(found.key),
        log=event_log.EventLog(node=own.node),
        load_settings=lambda: own,
    )
    await made.run()


if __name__ == "__main__":
    asyncio.run(_run(sys.argv[1], sys.argv[2], int(sys.argv[3])))
