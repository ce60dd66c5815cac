"""Run an entry or an agent on the platform: ``start.py entry|agent``."""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))
os.environ["EVENTLET_HUB"] = "asyncio"
os.environ["EVENTLET_NO_GREENDNS"] = "yes"  # peers are addressed by IP


def run() -> None:
    """Run the role given as the first argument and exit with its status."""
    import warnings

    warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")
    import eventlet

    eventlet.monkey_patch()
    from sequoiachute.platform import processes
    from sequoiachute.platform.settings import read_settings

    roles = {"entry": processes.run_entry, "agent": processes.run_agent}
    sys.exit(roles[sys.argv[1]](read_settings()))


if __name__ == "__main__":
    run()
