"""Checks that the single-file executable starts without child processes.

``/proc/PID/stat`` counts the page faults of every child that was waited for, also
across ``exec``, and every child has at least one; ``children`` lists the others.
Run by ``make dist-check``.
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import yaml

from standins.ports import free_address

CHILD_FAULTS_FIELD = 8  # cminflt; counted from zero after the command name
START_TIMEOUT_SECONDS = 60.0  # also for the stop
POLL_SECONDS = 0.01
TCP_LISTEN = "0A"  # state in /proc/PID/net/tcp
RUN_SECONDS = 2.0  # after the start, in which later children would show


class StartMeasurement(NamedTuple):
    """A start of the executable.

    Attributes
    ----------
    seconds : float
        Time until it listened.
    child_faults : int
        Minor page faults of the children waited for; 0 means there were none.
    most_children : int
        Largest number of children seen at a time.
    command : str
        Its command line after the start.
    status : int
        Its exit status.
    """

    seconds: float
    child_faults: int
    most_children: int
    command: str
    status: int


def write_settings(folder: str) -> tuple[str, str]:
    """Write settings of an entry; return their path and its HTTP address."""
    settings = {
        "entry_id": "entry-1",
        "region": "bavaria",
        "data_centre": "muc-1",
        "http_address": free_address(),
        "rpc_address": free_address(),
        "log_service": f"http://{free_address()}",
        "leave_grace_seconds": 0.1,
        "keys": [],
    }
    path = Path(folder) / "entry.yaml"
    path.write_text(yaml.safe_dump(settings), encoding="utf-8")
    return str(path), settings["http_address"]


def measure_start(
    program: str, root: str, settings: str, address: str
) -> StartMeasurement:
    """Start the entry, wait until it listens, stop it and return what was measured."""
    # Put the interpreter itself first in PATH: a version manager's wrapper starts
    # children.
    interpreter = Path(sys.executable).resolve().parent
    path = f"{interpreter}{os.pathsep}{os.environ['PATH']}"
    environment = {**os.environ, "SEQUOIACHUTE_UNPACK": root, "PATH": path}
    arguments = [program, "entry", "--settings", settings]
    began = time.monotonic()
    process = subprocess.Popen(arguments, env=environment, stderr=subprocess.DEVNULL)
    try:
        most_children = 0
        while not _is_listening(process.pid, address):
            if time.monotonic() - began > START_TIMEOUT_SECONDS:
                raise TimeoutError(
                    f"{program} does not listen on {address} "
                    f"after {START_TIMEOUT_SECONDS} s"
                )
            most_children = max(most_children, count_children(process.pid))
            time.sleep(POLL_SECONDS)
        seconds = time.monotonic() - began
        time.sleep(RUN_SECONDS)
        most_children = max(most_children, count_children(process.pid))
        child_faults = count_child_faults(process.pid)
        command = Path(f"/proc/{process.pid}/cmdline").read_bytes()
        process.send_signal(signal.SIGTERM)
        status = process.wait(START_TIMEOUT_SECONDS)
    finally:
        process.kill()
    command_line = command.replace(b"\0", b" ").decode()
    return StartMeasurement(seconds, child_faults, most_children, command_line, status)


def count_children(pid: int) -> int:
    """Return the number of children that the process has now."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += len((task / "children").read_text().split())
    return total


def count_child_faults(pid: int) -> int:
    """Return the minor page faults of the children waited for so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[CHILD_FAULTS_FIELD])


def _is_listening(pid: int, address: str) -> bool:
    port = f":{int(address.rpartition(':')[2]):04X} "
    for line in Path(f"/proc/{pid}/net/tcp").read_text().splitlines():
        if port in line and line.split()[3] == TCP_LISTEN:
            return True
    return False


def main() -> int:
    """Measure a first start, which unpacks the archive, and a second one.

    Returns 1 if either had children or a non-zero exit status.
    """
    program = str(Path(sys.argv[1]).resolve())
    failed = False
    with tempfile.TemporaryDirectory(prefix="sequoiachute-dist-") as folder:
        settings, address = write_settings(folder)
        for name in ("first start", "second start"):
            start = measure_start(program, f"{folder}/unpacked", settings, address)
            clean = not (start.child_faults or start.most_children or start.status)
            failed = failed or not clean
            print(
                f"{name}: {start.seconds:.1f} s, same pid, exit {start.status}, "
                f"page faults of children {start.child_faults}, "
                f"children seen {start.most_children}"
            )
            print(f"  {start.command}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
