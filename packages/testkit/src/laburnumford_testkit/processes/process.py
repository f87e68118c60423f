"""A Python module that runs as a process in its own process group."""

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

_POLL_INTERVAL_S = 0.01
_LIBC = ctypes.CDLL(None)
_PR_SET_PDEATHSIG = 1
_TAIL_CHARACTERS = 4000


def _python_path() -> str:
    """Returns a PYTHONPATH with which child processes import the same sources as this process."""
    packages = pathlib.Path(laburnumford_testkit.__file__).parents[3]
    roots = sorted(str(path) for path in packages.glob("*/src"))
    own = str(pathlib.Path(laburnumford_objects.__file__).parents[1])
    return os.pathsep.join([own, *(root for root in roots if root != own)])


def _set_parent_death_signal() -> None:
    """Asks the kernel to kill this process when its parent ends, also if that is killed."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """Starts a Python module as a process and ends it with its group.

    Standard output and error are appended to `<name>.out` and `<name>.err` in the folder; a
    restart keeps what was written before. The kernel kills the process when the thread that
    started it ends, so that a killed test run leaves no processes behind.

    Args:
        name: name of the process in errors and of its log files.
        module: module to run, as after `python -m`.
        arguments: its arguments.
        folder: existing folder for the log files.
        ready_pattern: regular expression that matches, on either stream, when the process is ready;
            its first group, if any, is the port.
        environment: variables that are added to the environment of this process.

    Attributes:
        port: port that the process reported; None before that, or if `ready_pattern` has no group.
    """

    def __init__(
        self,
        *,
        name: str,
        module: str,
        arguments: Sequence[str] = (),
        folder: pathlib.Path,
        ready_pattern: str = r"^ready (\d+)$",
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.output_path = folder / f"{name}.out"
        self.error_path = folder / f"{name}.err"
        self.port: int | None = None
        self._command = [sys.executable, "-m", module, *arguments]
        self._ready_pattern = re.compile(ready_pattern, re.MULTILINE)
        self._environment = {**os.environ, "PYTHONPATH": _python_path(), **(environment or {})}
        self._popen: subprocess.Popen[bytes] | None = None
        self._start_offsets = (0, 0)

    @property
    def pid(self) -> int:
        """Process id, which is also the id of the process group."""
        return self._started_popen().pid

    @property
    def returncode(self) -> int | None:
        """Exit status, or None while the process runs."""
        return self._started_popen().poll()

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    def launch(self) -> None:
        """Starts the process without waiting until it is ready.

        Raises:
            ProcessError: it is already running.
        """
        if self.running:
            raise errors.ProcessError(
                f"process {self.name!r} is already running with id {self.pid}"
            )
        with self.output_path.open("ab") as output, self.error_path.open("ab") as error:
            self._start_offsets = (output.tell(), error.tell())
            self._popen = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=error,
                env=self._environment,
                process_group=0,
                preexec_fn=_set_parent_death_signal,
            )

    async def start(self, timeout_s: float = 15.0) -> None:
        """Starts the process and waits until it is ready.

        Raises:
            ProcessError: it ended or was not ready within `timeout_s`.
        """
        self.launch()
        await self.wait_ready(timeout_s)

    async def wait_ready(self, timeout_s: float = 15.0) -> None:
        """Waits until the output matches `ready_pattern`.

        Raises:
            ProcessError: it ended or was not ready within `timeout_s`.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            found = self._ready_pattern.search(self.output())
            if found is not None:
                self.port = int(found.group(1)) if found.groups() else None
                return
            if not self.running:
                raise errors.ProcessError(
                    f"process {self.name!r} ended with status {self.returncode} "
                    f"before it was ready:\n"
                    f"{self.output_tail()}"
                )
            if time.monotonic() > deadline:
                raise errors.ProcessError(
                    f"process {self.name!r} was not ready after {timeout_s} s:\n"
                    f"{self.output_tail()}"
                )
            await asyncio.sleep(_POLL_INTERVAL_S)

    def output(self) -> str:
        """Returns what the process has written to both streams since its last start."""
        parts = []
        paths = (self.output_path, self.error_path)
        for path, offset in zip(paths, self._start_offsets, strict=True):
            with path.open("rb") as stream:
                stream.seek(offset)
                parts.append(stream.read().decode("utf-8", "replace"))
        return "\n".join(parts)

    def output_tail(self) -> str:
        """Returns the end of `output()`."""
        return self.output()[-_TAIL_CHARACTERS:]

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process group, if the process runs."""
        if self.running:
            os.killpg(self.pid, number)

    def pause(self) -> None:
        """Pauses the process group with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes the process group with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    async def wait(self, timeout_s: float) -> int:
        """Waits until the process ends and returns its exit status.

        Raises:
            ProcessError: the process still runs after `timeout_s`.
        """
        deadline = time.monotonic() + timeout_s
        while self._started_popen().poll() is None:
            if time.monotonic() > deadline:
                raise errors.ProcessError(
                    f"process {self.name!r} still runs after {timeout_s} s:\n{self.output_tail()}"
                )
            await asyncio.sleep(_POLL_INTERVAL_S)
        return self._started_popen().returncode

    async def stop(self, timeout_s: float = 15.0) -> int:
        """Sends SIGTERM, waits until the process ends and returns its exit status.

        Raises:
            ProcessError: the process still runs after `timeout_s`.
        """
        self.send_signal(signal.SIGTERM)
        return await self.wait(timeout_s)

    def kill(self) -> None:
        """Ends the process group with SIGKILL, also while it is paused."""
        if self._popen is not None and self._popen.poll() is None:
            os.killpg(self._popen.pid, signal.SIGKILL)
            self._popen.wait(timeout=10)

    def resident_bytes(self) -> int:
        """Returns the resident memory of the running process in bytes."""
        statm = pathlib.Path(f"/proc/{self.pid}/statm").read_text(encoding="ascii")
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def cpu_s(self) -> float:
        """Returns the CPU time of the running process in seconds, user and system together."""
        stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text(encoding="ascii")
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def _started_popen(self) -> subprocess.Popen[bytes]:
        if self._popen is None:
            raise errors.ProcessError(f"process {self.name!r} was not started")
        return self._popen
