"""Runs the one file and counts its children, first start included.

``/proc/PID/stat`` keeps the page faults of every child that was waited for,
also across ``exec``; no child runs without one. ``children`` lists the others.
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

CHILD_FAULTS_FIELD = 8  # of the fields after the command name, from zero
START_SECONDS = 60.0
POLL_SECONDS = 0.01
RUN_SECONDS = 2.0


class Start(NamedTuple):
    """One start: seconds until it listens, and what was seen of children."""

    seconds: float
    child_faults: int
    most_children: int
    command: str
    status: int


def write_settings(folder: str) -> tuple[str, str]:
    """Write settings of an entry; return their path and its address."""
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


def watch_start(program: str, root: str, settings: str, address: str) -> Start:
    """Start the entry, wait until it listens, and stop it."""
    # The interpreter itself: a version manager's wrapper would have children.
    interpreter = Path(sys.executable).resolve().parent
    path = f"{interpreter}{os.pathsep}{os.environ['PATH']}"
    environment = {**os.environ, "SEQUOIACHUTE_UNPACK": root, "PATH": path}
    arguments = [program, "entry", "--settings", settings]
    began = time.monotonic()
    process = subprocess.Popen(arguments, env=environment, stderr=subprocess.DEVNULL)
    try:
        most = 0
        while not _listens(process.pid, address):
            if time.monotonic() - began > START_SECONDS:
                raise TimeoutError(f"{program} does not listen on {address}")
            most = max(most, count_children(process.pid))
            time.sleep(POLL_SECONDS)
        seconds = time.monotonic() - began
        time.sleep(RUN_SECONDS)
        most = max(most, count_children(process.pid))
        faults = count_child_faults(process.pid)
        command = Path(f"/proc/{process.pid}/cmdline").read_bytes()
        process.send_signal(signal.SIGTERM)
        status = process.wait(START_SECONDS)
    finally:
        process.kill()
    text = command.replace(b"\0", b" ").decode()
    return Start(seconds, faults, most, text, status)


def count_children(pid: int) -> int:
    """Return how many children the process has now."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += len((task / "children").read_text().split())
    return total


def count_child_faults(pid: int) -> int:
    """Return the minor page faults of the children waited for so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[CHILD_FAULTS_FIELD])


def _listens(pid: int, address: str) -> bool:
    port = f":{int(address.rpartition(':')[2]):04X} "
    for line in Path(f"/proc/{pid}/net/tcp").read_text().splitlines():
        if port in line and line.split()[3] == "0A":
            return True
    return False


def main() -> int:
    """Start the program twice with an empty unpack folder; 1 if it has children."""
    program = str(Path(sys.argv[1]).resolve())
    failed = False
    with tempfile.TemporaryDirectory(prefix="sequoiachute-dist-") as folder:
        settings, address = write_settings(folder)
        for name in ("first start", "second start"):
            start = watch_start(program, f"{folder}/unpacked", settings, address)
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
