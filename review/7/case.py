"""A cancelled job's task runs on after the entries have started anew."""

import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from site2 import BOUNDS, BROKEN, HELD, TROUBLE, NotRunError, Site, play  # noqa: E402

JOB = "7000000000000001"
FREEZE_SECONDS = 3.5
EARLIER_JOBS = 60


def body(site: Site) -> int:
    """Cancel a job while one agent is frozen, kill the entries, and look."""
    for number in range(EARLIER_JOBS):
        # Small jobs of an ordinary day, with specs of some size.
        spec = "x" * 3900 + " work_s=0.1"
        site.submit(f"70000000000001{number:02x}", [{"count": 1, "cpu": 100}], spec)
    count = len(site.workers)
    step = {"count": count, "cpu": 1000, "anti_affinity": 1, "persistent": True}
    if not site.submit(JOB, [step], "a service"):
        raise NotRunError("the job was not accepted")
    site.wait(10, lambda: len(site.running(JOB)) == count, "tasks at work")
    time.sleep(2.0)
    began = time.monotonic()
    if TROUBLE:
        site.agents[0].send(signal.SIGSTOP)
    time.sleep(0.5)
    status, _ = site.call("DELETE", f"/q2/{JOB}")
    if status != 200:
        raise NotRunError("the cancellation was not acknowledged")
    time.sleep(1.0)
    if TROUBLE:
        for entry in site.entries:
            entry.send(signal.SIGKILL)
        time.sleep(0.3)
        for entry in site.entries:
            entry.start()
    time.sleep(max(0.0, began + FREEZE_SECONDS - time.monotonic()))
    if TROUBLE:
        site.agents[0].send(signal.SIGCONT)
    # Every machine is in touch contact_ms after this; then the rule gives cancel_ms
    # and stop_ms.
    bounds = ("contact_ms", "cancel_ms", "stop_ms")
    allowed = sum(BOUNDS[name] for name in bounds) / 1000
    time.sleep(allowed + 1.0)
    for _ in range(10):
        site.record(f"job is shown as {site.state(JOB)}, runs: {site.running(JOB)}")
        if not site.running(JOB):
            return HELD
        time.sleep(1.0)
    return BROKEN


if __name__ == "__main__":
    sys.exit(play(FOLDER, [["a", f"r1-{n // 3}"] for n in range(10)], body))
