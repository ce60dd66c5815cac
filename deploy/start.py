"""Run an entry or an agent on the platform: ``start.py entry|agent``."""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))
os.environ["EVENTLET_HUB"] = "asyncio"
os.environ["EVENTLET_NO_GREENDNS"] = "yes"  # peers are addressed by IP


def run() -> None:
    """Run the role given as the first argument and exit with its status.

    It listens first: loading the libraries takes longer than callers retry a refused
    connection.
    """
    from sequoiachute.platform.settings import read_settings
    from sequoiachute.transport.listener import open_listener, split_address

    role = sys.argv[1]
    settings = read_settings()
    address = {"entry": settings.front, "agent": settings.control}[role]
    listener = open_listener(*split_address(address))

    import warnings

    warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")
    import eventlet

    eventlet.monkey_patch()
    from sequoiachute.platform import processes

    roles = {"entry": processes.run_entry, "agent": processes.run_agent}
    sys.exit(roles[role](settings, listener))


if __name__ == "__main__":
    run()
