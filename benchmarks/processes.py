"""Reads the resource use of processes from the operating system."""

import os
import shutil
import subprocess
from pathlib import Path
from typing import NamedTuple

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
MEGABYTE = 1024 * 1024


class Usage(NamedTuple):
    """Processor seconds since the start and resident megabytes."""

    cpu_seconds: float
    resident_megabytes: float


def read_usage(pid: int) -> Usage:
    """Return what process ``pid`` has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(ticks / TICKS_PER_SECOND, pages * PAGE_BYTES / MEGABYTE)


def read_tcp_bytes(port: int) -> int | None:
    """Return the bytes sent and received on open connections to ``port``.

    ``None`` if the system lacks the ``ss`` command.
    """
    if shutil.which("ss") is None:
        return None
    command = ["ss", "-tinH", "state", "established", f"sport = :{port}"]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    total = 0
    for word in output.split():
        name, _, value = word.partition(":")
        if name in ("bytes_acked", "bytes_received") and value.isdigit():
            total += int(value)
    return total
