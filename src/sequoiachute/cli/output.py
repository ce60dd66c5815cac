"""Output of commands: text lines, JSON and a progress line."""

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
    """Write one line to standard error, separate from the result."""
    environment.stderr.write(f"{text}\n")
    environment.stderr.flush()


def write_job(environment: Environment, job: JobView, as_json: bool) -> None:
    """Write the state of a job, as JSON or one text line."""
    if as_json:
        write_json(environment, job)
        return
    workers = ",".join(job["workers"])
    line = f"{job['job_id']}  {job['state']:<9}  {workers}  {job['reason']}"
    write_line(environment, line.rstrip())


class ProgressLine:
    """Shows progress in one line that is overwritten, on a terminal only."""

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._width = 0

    def show(self, text: str) -> None:
        """Overwrite the line with ``text``."""
        if not self._environment.is_terminal:
            return
        self._environment.stderr.write("\r" + text.ljust(self._width))
        self._environment.stderr.flush()
        self._width = len(text)

    def end(self) -> None:
        """Terminate the line if anything was shown."""
        if self._width:
            self._environment.stderr.write("\n")
            self._width = 0
