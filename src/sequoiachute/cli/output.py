"""What commands write: lines for people, JSON for scripts, progress."""

from typing import Any

import msgspec

from sequoiachute.environment import Environment
from sequoiachute.protocol.api import JobView


def write_line(environment: Environment, text: str) -> None:
    """Write one line to standard output."""
    environment.stdout.write(f"{text}\n")


def write_json(environment: Environment, value: Any) -> None:
    """Write ``value`` as one line of JSON to standard output."""
    write_line(environment, msgspec.json.encode(value).decode())


def write_note(environment: Environment, text: str) -> None:
    """Write one line to standard error, apart from the command's result."""
    environment.stderr.write(f"{text}\n")
    environment.stderr.flush()


def write_job(environment: Environment, job: JobView, as_json: bool) -> None:
    """Write how a job stands."""
    if as_json:
        write_json(environment, job)
        return
    workers = ",".join(job["workers"])
    line = f"{job['job_id']}  {job['state']:<9}  {workers}  {job['reason']}"
    write_line(environment, line.rstrip())


class Progress:
    """Shows the state of long work in one line, on a terminal only."""

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._width = 0

    def show(self, text: str) -> None:
        """Replace the line by ``text``."""
        if not self._environment.is_terminal:
            return
        self._environment.stderr.write("\r" + text.ljust(self._width))
        self._environment.stderr.flush()
        self._width = len(text)

    def end(self) -> None:
        """End the line, if there is one."""
        if self._width:
            self._environment.stderr.write("\n")
            self._width = 0
