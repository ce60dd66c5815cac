import os
import subprocess
import sys
from pathlib import Path

import pytest

from standins.ports import free_address
from tests.test_platform_settings import SETTINGS_TOML

START = Path(__file__).parent.parent / "deploy" / "start.py"
# Stands for the libraries: reports whether the address is reachable when they load.
LIBRARY = """
import socket, sys
with socket.socket() as client:
    sys.exit(client.connect_ex(("127.0.0.1", {port})))
"""


@pytest.mark.parametrize("role, key", [("entry", "front"), ("agent", "control")])
def test_callers_are_not_refused_while_the_libraries_load(tmp_path, role, key):
    address = free_address()
    port = address.rpartition(":")[2]
    listen = f'[listen]\n{key} = "{address}"\n'
    settings = SETTINGS_TOML.partition("[listen]")[0] + listen
    settings += '[platform]\naddress = "127.0.0.1:1"\n'
    (tmp_path / "local.toml").write_text(settings)
    (tmp_path / "eventlet.py").write_text(LIBRARY.format(port=port))
    environment = {
        **os.environ,
        "SEQUOIACHUTE_BOOT": str(tmp_path / "local.toml"),
        "PYTHONPATH": str(tmp_path),
    }
    ended = subprocess.run([sys.executable, START, role], env=environment, timeout=20)
    assert ended.returncode == 0


def test_platform_processes_load_no_libraries_of_the_own_interface():
    """Memory is dear there: the web framework alone takes 3 MB of each process."""
    script = (
        "import sys; from sequoiachute.platform import processes;"
        "print(*sorted({name.partition('.')[0] for name in sys.modules}))"
    )
    command = [sys.executable, "-W", "ignore", "-c", script]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=20)
    loaded = set(ended.stdout.split())
    assert "eventlet" in loaded
    assert not loaded & {"falcon", "typer", "rich", "pygments"}
