"""A real process in its own process group."""

import asyncio
import ctypes
import os
import pathlib
import re
import signal
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence

import laburnumford_objects
import laburnumford_testkit
from laburnumford_testkit import errors

_POLL_S = 0.01
_LIBC = ctypes.CDLL(None)
_PR_SET_PDEATHSIG = 1
_TAIL_BYTES = 4000


def _python_path() -> str:
    """Returns a PYTHONPATH that makes child processes run the tree of this process."""
    packages = pathlib.Path(laburnumford_testkit.__file__).parents[3]
    roots = sorted(str(path) for path in packages.glob("*/src"))
    own = str(pathlib.Path(laburnumford_objects.__file__).parents[1])
    return os.pathsep.join([own, *(root for root in roots if root != own)])


def _end_with_parent() -> None:
    """Asks the kernel to kill this process when its parent dies, such as in a killed test run."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """Starts a Python module as a process and ends it with its group.

    Standard output and error go to `<name>.out` and `<name>.err` in the
    folder, also across restarts. The process ends with the thread that started it, so that a
    killed test run leaves nothing behind.

    Args:
        name: name of the process in errors and of its log files.
        module: module to run, as after `python -m`.
        arguments: its arguments.
        folder: existing folder for logs.
        ready: pattern of the line on either stream that tells that the process is ready.
        environment: variables added to the environment of this process.
    """

    def __init__(
        self,
        *,
        name: str,
        module: str,
        arguments: Sequence[str] = (),
        folder: pathlib.Path,
        ready: str = r"^ready (\d+)$",
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.output_path = folder / f"{name}.out"
        self.error_path = folder / f"{name}.err"
        self.port: int | None = None
        self._command = [sys.executable, "-m", module, *arguments]
        self._ready = re.compile(ready, re.MULTILINE)
        self._environment = {**os.environ, "PYTHONPATH": _python_path(), **(environment or {})}
        self._popen: subprocess.Popen[bytes] | None = None
        self._offsets = (0, 0)

    @property
    def pid(self) -> int:
        """Process id, which is also the id of the process group."""
        return self._started().pid

    @property
    def returncode(self) -> int | None:
        """Exit status, or None while the process runs."""
        return self._started().poll()

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    def launch(self) -> None:
        """Starts the process without waiting for it to be ready."""
        if self.running:
            raise errors.ProcessError(f"process {self.name!r} runs already")
        with self.output_path.open("ab") as output, self.error_path.open("ab") as error:
            self._offsets = (output.tell(), error.tell())
            self._popen = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=error,
                env=self._environment,
                process_group=0,
                preexec_fn=_end_with_parent,
            )

    async def start(self, timeout_s: float = 15.0) -> None:
        """Starts the process and waits until it is ready.

        Raises:
            ProcessError: it ended or was not ready in time.
        """
        self.launch()
        await self.wait_ready(timeout_s)

    async def wait_ready(self, timeout_s: float = 15.0) -> None:
        """Waits for the line that tells that the process is ready.

        Raises:
            ProcessError: it ended or was not ready in time.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            found = self._ready.search(self.text())
            if found is not None:
                self.port = int(found.group(1)) if found.groups() else None
                return
            if not self.running:
                raise errors.ProcessError(
                    f"process {self.name!r} ended with {self.returncode}:\n{self.tail()}"
                )
            if time.monotonic() > deadline:
                raise errors.ProcessError(
                    f"process {self.name!r} was not ready after {timeout_s} s:\n{self.tail()}"
                )
            await asyncio.sleep(_POLL_S)

    def text(self) -> str:
        """Returns what the process has written since its last start."""
        parts = []
        paths = (self.output_path, self.error_path)
        for path, offset in zip(paths, self._offsets, strict=True):
            with path.open("rb") as stream:
                stream.seek(offset)
                parts.append(stream.read().decode("utf-8", "replace"))
        return "\n".join(parts)

    def tail(self) -> str:
        """Returns the end of what the process has written."""
        return self.text()[-_TAIL_BYTES:]

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process group, if the process runs."""
        if self.running:
            os.killpg(self.pid, number)

    def pause(self) -> None:
        """Stops the process with SIGSTOP."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Continues the process with SIGCONT."""
        self.send(signal.SIGCONT)

    async def wait(self, timeout_s: float) -> int:
        """Waits for the end and returns the exit status.

        Raises:
            ProcessError: the process still runs after `timeout_s`.
        """
        deadline = time.monotonic() + timeout_s
        while self._started().poll() is None:
            if time.monotonic() > deadline:
                raise errors.ProcessError(
                    f"process {self.name!r} still runs after {timeout_s} s:\n{self.tail()}"
                )
            await asyncio.sleep(_POLL_S)
        return self._started().returncode

    async def stop(self, timeout_s: float = 15.0) -> int:
        """Sends SIGTERM and returns the exit status.

        Raises:
            ProcessError: the process still runs after `timeout_s`.
        """
        self.send(signal.SIGTERM)
        return await self.wait(timeout_s)

    def kill(self) -> None:
        """Ends the process group with SIGKILL, also while it is paused."""
        if self._popen is not None and self._popen.poll() is None:
            os.killpg(self._popen.pid, signal.SIGKILL)
            self._popen.wait(timeout=10)

    def resident_bytes(self) -> int:
        """Returns the resident memory of the running process."""
        status = pathlib.Path(f"/proc/{self.pid}/statm").read_text(encoding="ascii")
        return int(status.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def cpu_s(self) -> float:
        """Returns the processor time of the running process in seconds, user and system."""
        status = pathlib.Path(f"/proc/{self.pid}/stat").read_text(encoding="ascii")
        fields = status.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def _started(self) -> subprocess.Popen[bytes]:
        if self._popen is None:
            raise errors.ProcessError(f"process {self.name!r} was not started")
        return self._popen
