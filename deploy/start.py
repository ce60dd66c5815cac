"""Run an entry or an agent on the platform: ``start.py entry|agent ADDRESS``."""

import os
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "src"))
os.environ["EVENTLET_HUB"] = "asyncio"
os.environ["EVENTLET_NO_GREENDNS"] = "yes"  # peers are addressed by IP


def run() -> None:
    """Run the role of the first argument and exit with its status.

    It first listens on the address of the second argument, for callers (entry) or the
    worker (agent): loading the libraries takes longer than callers retry a refused
    connection.
    """
    from sequoiachute.transport.listener import open_listener, split_address

    role, address = sys.argv[1:]
    listener = open_listener(*split_address(address))
    listening_at = time.monotonic()

    import warnings

    warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")
    import eventlet

    eventlet.monkey_patch()
    from sequoiachute.platform.settings import read_settings

    if role == "entry":
        from sequoiachute.platform import entry as process
    else:
        from sequoiachute.platform import agent as process
    sys.exit(process.run(read_settings(), listener, listening_at))


if __name__ == "__main__":
    run()
