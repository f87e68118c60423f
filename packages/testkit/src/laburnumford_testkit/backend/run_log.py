"""Log of runs, in memory and in a file that can be read after the process was killed."""

import dataclasses
import json
import os
import pathlib
from typing import Any

from laburnumford_testkit.backend import run as run_module


class RunLog:
    """Records the start and the end of each run.

    Args:
        server: name of the backend server.
        path: file to which each start and end is appended as a JSON line, or None.
    """

    def __init__(self, *, server: str, path: pathlib.Path | None = None) -> None:
        self._server = server
        self._runs: list[run_module.Run] = []
        self._descriptor: int | None = None
        if path is not None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._descriptor = os.open(path, flags, 0o644)

    @property
    def runs(self) -> tuple[run_module.Run, ...]:
        """All runs in order of their start."""
        return tuple(self._runs)

    def start(self, *, call_id: str, key: str, method: str, path: str, now: float) -> int:
        """Records the start of a run at time `now` and returns its id."""
        run = run_module.Run(
            run_id=len(self._runs),
            server=self._server,
            call_id=call_id,
            key=key,
            method=method,
            path=path,
            started=now,
        )
        self._runs.append(run)
        self._write(dataclasses.asdict(run))
        return run.run_id

    def end(self, run_id: int, **changes: Any) -> None:
        """Records the end of a run; `changes` are fields of `Run`."""
        self._runs[run_id] = dataclasses.replace(self._runs[run_id], **changes)
        self._write({"run_id": run_id, "server": self._server, **changes})

    def close(self) -> None:
        """Closes the file, if there is one."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _write(self, line: dict[str, Any]) -> None:
        if self._descriptor is not None:
            # Unbuffered, so that no line is lost when the process is killed.
            os.write(self._descriptor, json.dumps(line).encode() + b"\n")


def load(path: pathlib.Path) -> tuple[run_module.Run, ...]:
    """Returns the runs of a file that a `RunLog` wrote.

    A restarted server appends to the same file and numbers its runs from 0 again. So each line
    with the start of a run adds an entry, also if its run id is already in use. Returns no runs
    if the file does not exist.
    """
    runs: list[run_module.Run] = []
    index_by_run_id: dict[int, int] = {}
    if not path.exists():
        return ()
    for text in path.read_text(encoding="utf-8").splitlines():
        line = json.loads(text)
        run_id = line["run_id"]
        if "started" in line:
            index_by_run_id[run_id] = len(runs)
            runs.append(run_module.Run(**line))
        else:
            index = index_by_run_id[run_id]
            runs[index] = dataclasses.replace(runs[index], **line)
    return tuple(runs)
