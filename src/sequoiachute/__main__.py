"""Entry point of the program; sets up eventlet before any other import."""

import os
import sys

os.environ["EVENTLET_HUB"] = "asyncio"
os.environ["EVENTLET_NO_GREENDNS"] = "yes"  # peers are addressed by IP


def run() -> None:
    """Run the command line and exit with its status."""
    import warnings

    warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")
    import eventlet

    eventlet.monkey_patch()

    from sequoiachute.core import main
    from sequoiachute.environment import create_environment

    sys.exit(main(sys.argv[1:], create_environment()))


if __name__ == "__main__":
    run()
