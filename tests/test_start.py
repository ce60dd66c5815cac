import os
import subprocess
import sys
from pathlib import Path

import pytest

from standins.ports import free_address

START = Path(__file__).parent.parent / "deploy" / "start.py"
# Stands for the libraries: reports whether the address is reachable when they load.
LIBRARY = """
import socket, sys
with socket.socket() as client:
    sys.exit(client.connect_ex(("127.0.0.1", {port})))
"""


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_callers_are_not_refused_while_the_libraries_load(tmp_path, role):
    address = free_address()
    port = address.rpartition(":")[2]
    (tmp_path / "eventlet.py").write_text(LIBRARY.format(port=port))
    environment = {
        **os.environ,
        "PYTHONPATH": str(tmp_path),
    }
    ended = subprocess.run(
        [sys.executable, START, role, address], env=environment, timeout=20
    )
    assert ended.returncode == 0


def loaded_modules(statement):
    """Return the modules that a new interpreter has loaded after ``statement``."""
    script = f"import sys; {statement}; print(*sys.modules)"
    command = [sys.executable, "-S", "-W", "ignore", "-c", script]
    paths = [path for path in sys.path if path]
    source = str(START.parent.parent / "src")
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join([source, *paths])}
    ended = subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=20, check=True
    )
    return set(ended.stdout.split())


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_platform_processes_load_no_libraries_of_the_own_interface(role):
    """Memory is dear there: the web framework alone takes 3 MB of each process."""
    loaded = loaded_modules(f"from sequoiachute.platform import {role}")
    assert "eventlet" in loaded
    assert not loaded & {"falcon", "typer", "rich", "pygments", "yaml"}


def test_agent_loads_nothing_that_only_entries_need():
    loaded = loaded_modules("from sequoiachute.platform import agent")
    assert "sequoiachute.coordination.control" not in loaded
    assert "sequoiachute.coordination.scheduling" not in loaded


def test_listener_needs_no_library():
    """Callers whose connections are refused are through with their tries in 0.6 s."""
    loaded = loaded_modules("import sequoiachute.transport.listener")
    libraries = {"eventlet", "msgspec", "tomllib", "re", "typing", "pathlib"}
    assert not loaded & libraries
